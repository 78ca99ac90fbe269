// Admission: how many streams may run at once, and which of the waiting ones runs next.
//
// Past saturation every further stream slows all others: first tokens and gaps miss their targets for everyone, and
// nothing that is answered is worth having. The limit follows what streams measure: it grows slowly while gaps between
// tokens keep to the target and shrinks at once when they don't. Requests over it wait in a short queue; one that can't
// have its first token in time is refused early, as not run.
// Pure: times and randomness are passed in.
#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Parsleytrail
{

/// Limit on the streams that run at once, by additive increase and multiplicative decrease.
struct AdmissionLimit {
    double limit = 64;              ///< streams
    double minLimit = 4;            ///< never below
    double maxLimit = 100000;       ///< never above
    double increase = 1;            ///< streams added for each window without a miss while the limit is used
    double decrease = 0.85;         ///< factor for each window with too many misses
    double allowedMissRatio = 0.05; ///< misses allowed: 95 in 100 must keep to the target
    std::uint32_t samples = 0;      ///< gaps seen in this window
    std::uint32_t misses = 0;       ///< of them over the target
    TimePoint windowEndsAt{};       ///< end of this window
    milliseconds window{250};       ///< length of a window
};
/// Notes one gap between tokens, or one first token, against its target. `running` is the number of streams now.
void recordLatency(AdmissionLimit &admission, double seconds, double targetSeconds, std::size_t running, TimePoint now);

/// A request that waits.
struct WaitingRequest {
    RequestId id;            ///< request
    WorkspaceName workspace; ///< of the caller
    double worth = 1;        ///< of its answer
    double cost = 1;         ///< expected, in tokens
    TimePoint arrivedAt{};   ///< when it came
    TimePoint startBy{};     ///< started later, its first token would be late
};

/// What each workspace was given of late, decaying; the one that was given least goes first.
struct FairShareLedger {
    std::map<WorkspaceName, double> startedCost; ///< cost started, decayed
    TimePoint decayedAt{};                       ///< last decay
};
void recordStart(FairShareLedger &ledger, const WaitingRequest &request, TimePoint now);

constexpr std::chrono::seconds startedCostHalfLife{5}; ///< after this time half of what a workspace was given is forgotten

/// Index of the request to start next; waiting.size() if none.
///
/// Among the workspaces with waiting requests the one that was given least for its weight goes first, so that a large one
/// can't shut out the small ones; within it the highest worth for its cost, then the oldest.
std::size_t selectNext(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, TimePoint now);
/// Indices, ascending, of requests that can't start in time any more.
std::vector<std::size_t> expiredRequests(const std::vector<WaitingRequest> &waiting, TimePoint now);

} // namespace Parsleytrail
