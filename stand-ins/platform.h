// Stand-in for the platform: transactional tables, objects, membership list, weights.
//
// HTTP interface (JSON):
//   GET  /tables/T/rows/K                 {"key","version","value"}, 404
//   GET  /tables/T/rows?from=&to=&limit=  {"rows":[...]}
//   PUT  /tables/T/rows/K                 {"value","if-version"}; 409 if the row has another version (0: no row)
//   DELETE /tables/T/rows/K?if-version=N
//   POST /transactions                    {"writes":[{"table","key","value","if-version"}]}; all writes or none;
//                                         409 if a version differs
//   PUT  /objects/N (201; 200 if the object exists: its content stays unchanged), GET /objects/N
//   GET  /membership, PUT /membership/ID {"role","host","port","state"}, DELETE /membership/ID
//   GET  /weights/N                       429 above the rate limit
//   POST /faults                          {"down"?, "silent"?, "slow-ms"?, "lose-answers"?: count, "list-lag-ms"?};
//                                         see PlatformFaults
//   GET  /counters                        {"reads","writes","refused"}
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"

#include <memory>
#include <string>

namespace Parsleytrail::StandIn
{

/// Faults that can be injected.
struct PlatformFaults {
    bool isDown = false;           ///< every call is answered with 503
    bool isUnresponsive = false;   ///< calls are accepted but never answered
    milliseconds responseDelay{0}; ///< delay of every response
    int unansweredWrites = 0;      ///< the next N writes take effect but get no response: their connection is aborted
    milliseconds membershipLag{0}; ///< delay until a change is visible in the membership list
};

/// The platform's HTTP server; runs on the caller's event loop.
class Platform
{
public:
    explicit Platform(EventLoop &loop);
    ~Platform();

    /// Listens on the address; port 0 picks a free one. Returns the bound address.
    Result<Address> listen(const Address &address);
    PlatformFaults &faults();
    /// Number of GET requests (reads) and of all other requests (writes). Requests refused because of a fault and requests
    /// to /faults and /counters don't count.
    std::uint64_t reads() const;
    std::uint64_t writes() const;
    /// Writes a row whatever its version, as another writer may.
    void writeRow(const std::string &table, const std::string &key, const std::string &value);
    /// Adds an instance to the membership list or replaces it; visible at once unless membershipLag is set.
    void listInstance(const std::string &id, const std::string &role, const Address &address, bool isLeaving);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
