// Stand-in for the platform: transactional tables, objects, membership list, weights.
//
// HTTP interface (JSON):
//   GET  /tables/T/rows/K                 {"key","version","value"}, 404
//   GET  /tables/T/rows?from=&to=&limit=  {"rows":[...]}
//   PUT  /tables/T/rows/K                 {"value","if-version"}; 409 if another version is there (0: absent)
//   DELETE /tables/T/rows/K?if-version=N
//   POST /transactions                    {"writes":[{"table","key","value","if-version"}]}; all or none, 409
//   PUT  /objects/N (201; 200 if it was there), GET /objects/N
//   GET  /membership, PUT /membership/ID {"role","host","port","state"}, DELETE /membership/ID
//   GET  /weights/N                       at a limited rate: 429
//   POST /faults                          {"down"?, "slow-ms"?, "lose-answers"?: count, "list-lag-ms"?}
//   GET  /counters                        {"reads","writes","refused"}
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"

#include <memory>
#include <string>

namespace Parsleytrail::StandIn
{

/// Faults that can be set.
struct PlatformFaults {
    bool isDown = false;           ///< every call gets 503
    bool isUnresponsive = false;   ///< calls are taken and never answered
    milliseconds responseDelay{0}; ///< calls take this long
    int unansweredWrites = 0;      ///< so many writes take effect and are not answered
    milliseconds membershipLag{0}; ///< the membership list shows a change after this long
};

/// The platform on the loop of its process.
class Platform
{
public:
    explicit Platform(EventLoop &loop);
    ~Platform();

    Result<Address> listen(const Address &address);
    PlatformFaults &faults();
    std::uint64_t reads() const;
    std::uint64_t writes() const;
    /// Puts an instance on the list at once.
    void listInstance(const std::string &id, const std::string &role, const Address &address, bool isLeaving);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
