// Judges the promises from the histories of a run.
//
// Every process records what it did as JSON lines (base/history.h); the stand-ins and the callers of a run add theirs:
//   {"event":"engine-step","engine","stream","position","positions"}   as the engine ran it
//   {"event":"booked","reference"}                                     as the application ran it
//   {"event":"caller-answer","request","text","expected"}              as a caller got it, whole
//   {"event":"caller-outcome","reference","outcome"}                   as a caller was told
//   {"event":"left","target"}                                          the target was asked to leave
// Lines stand in the order in which they were recorded; "at" is monotonic, in microseconds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Parsleytrail
{

/// The promises, as the brief lists them.
enum class Guarantee {
    LayersOnceInOrder,   ///< every layer runs exactly once for each token, in order
    OwnCompleteResponse, ///< a caller receives the whole answer to its own request
    NotRunIsReliable,    ///< a request said not to be run was not run
    AtMostOnce,          ///< a non-idempotent request runs at most once
    NoWorkWhenLeaving,   ///< a leaving target receives no new work after a few seconds
    GracefulStop,        ///< a graceful shutdown cuts off no request
    NewestConfiguration  ///< a configuration never reverts, and a version is one file for all
};
const char *toString(Guarantee guarantee);

/// A broken promise.
struct Violation {
    Guarantee guarantee = Guarantee::LayersOnceInOrder; ///< which
    std::string text;                                   ///< what is wrong
    std::string event;                                  ///< the offending line
};

constexpr std::int64_t leavingGraceMicros = 3000000; ///< new work may still come for this long

/// Judges a run. Lines that are no JSON objects are violations of nothing and are ignored.
std::vector<Violation> checkHistory(const std::vector<std::string> &lines);

} // namespace Parsleytrail
