// Stand-in for the booking application.
//
//   POST /bookings {"wheel"}      201 {"booking": N}; runs once for each call
//   GET  /bookings                {"bookings":[{"booking","wheel","reference"}]}
//   DELETE /bookings/N            200, or 404
//   ANY  /echo                    method, path, headers and body come back
//   GET  /bytes?count=N&chunk=M   N bytes in chunks of M
//   POST /faults {"crash"?: "none"|"before"|"after", "slow-ms"?, "hang"?}
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail::StandIn
{

/// One booking as the application ran it.
struct Booking {
    std::uint64_t number = 0; ///< from 1
    std::string wheel;        ///< what was booked
    std::string reference;    ///< X-Request-Id of the call
    bool isCancelled = false; ///< deleted later
};

/// Faults of the application.
enum class ApplicationCrash { None, Before, After };

/// The application on the loop of its process.
class Application
{
public:
    explicit Application(EventLoop &loop);
    ~Application();

    Result<Address> listen(const Address &address);
    const std::vector<Booking> &bookings() const;
    /// Breaks the connection of calls before or after running them.
    void setCrash(ApplicationCrash crash);
    /// Answers after this time.
    void setResponseDelay(milliseconds delay);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
