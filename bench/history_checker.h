// Checks the guarantees of the system against the histories of a run.
//
// Every process records its events as JSON lines (base/history.h); the stand-ins and the callers of a run add these:
//   {"event":"engine-step","engine","stream","position","positions"}   an engine ran a step
//   {"event":"booked","reference"}                                     the application ran a booking
//   {"event":"caller-answer","request","text","expected"}              a caller received a complete response
//   {"event":"caller-outcome","reference","outcome"}                   outcome that a caller was given
//   {"event":"left","target"}                                          a target was asked to leave
// Lines are in the order in which they were recorded; "at" is monotonic, in microseconds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Parsleytrail
{

/// The guarantees of the system.
enum class Guarantee {
    LayersOnceInOrder,   ///< every layer runs exactly once for each token, in order
    OwnCompleteResponse, ///< a caller receives the complete response to its own request
    NotRunIsReliable,    ///< a request reported as not run was not run
    AtMostOnce,          ///< a non-idempotent request runs at most once
    NoWorkWhenLeaving,   ///< a leaving target receives no new work after leavingGraceMicros
    GracefulStop,        ///< a graceful shutdown cuts off no request
    NewestConfiguration  ///< a running process never returns to an older configuration; a version has the same content everywhere
};
/// Short text for reports.
const char *toString(Guarantee guarantee);

/// A violated guarantee.
struct Violation {
    Guarantee guarantee = Guarantee::LayersOnceInOrder; ///< the guarantee
    std::string text;                                   ///< description of the violation
    std::string event;                                  ///< the event that violates it, as JSON
};

constexpr std::int64_t leavingGraceMicros = 3000000; ///< time after "left" during which new work is allowed

/// Checks all guarantees for one run. Lines that aren't JSON objects are ignored.
std::vector<Violation> checkHistory(const std::vector<std::string> &lines);

} // namespace Parsleytrail
