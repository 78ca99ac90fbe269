// Stand-in for the booking application: every POST /bookings adds a booking, so that tests detect a call
// that ran twice.
//
//   POST /bookings {"wheel"}      201 {"booking": N}; every call creates a new booking
//   GET  /bookings                {"bookings":[{"booking","wheel","reference"}]}
//   DELETE /bookings/N            200, or 404
//   ANY  /echo                    returns method, path, query, headers and body of the request as JSON
//   GET  /events[?cut]           two events; with `cut` the response ends in the middle of the second one
//   GET  /bytes?count=N&chunk=M   N bytes, streamed in chunks of M bytes
//   POST /faults {"crash"?: "none"|"before"|"after", "slow-ms"?}
//                                 see setCrash and setResponseDelay; an absent field clears its fault
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail::StandIn
{

/// A booking that the application created.
struct Booking {
    std::uint64_t number = 0; ///< id, counted from 1
    std::string wheel;        ///< what was booked
    std::string reference;    ///< X-Request-Id of the call that created it
    bool isCancelled = false; ///< set by DELETE; the booking is no longer listed
};

/// When the connection of a call is aborted: never, before the call runs, or after a booking was created.
enum class ApplicationCrash { None, Before, After };

/// The application's HTTP server; runs on the caller's event loop.
class Application
{
public:
    explicit Application(EventLoop &loop);
    ~Application();

    /// Listens on the address; port 0 picks a free one. Returns the bound address.
    Result<Address> listen(const Address &address);
    /// All bookings ever created, cancelled ones included.
    const std::vector<Booking> &bookings() const;
    /// Aborts the connection of calls before they run, or of bookings after they ran.
    void setCrash(ApplicationCrash crash);
    /// Each call whose query contains `text` crashes the application: it aborts the call and stops listening until restart().
    void crashOnQuery(const std::string &text);
    /// Number of crashes so far, and whether it is down after the last one.
    int crashes() const;
    bool isDown() const;
    /// Listens again at the same address. Returns whether it does.
    bool restart();
    /// Delays the execution of every call by this time.
    void setResponseDelay(milliseconds delay);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
