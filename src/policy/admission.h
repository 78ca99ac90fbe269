// Admission control: how many streams may run at once, and which waiting request starts next.
//
// Past saturation each further stream slows down all others: first tokens and gaps between tokens miss their targets for
// everyone, and no response is of use any more. So the limit follows the measured latencies: it grows slowly while they meet
// their targets and shrinks at once when they do not. Requests over the limit wait in a short queue; one that cannot get its
// first token in time is refused early, with the outcome not-run.
//
// Pure functions: times are passed in.
#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Parsleytrail
{

/// Limit on the streams that run at once; additive increase, multiplicative decrease.
struct AdmissionLimit {
    double limit = 64;              ///< streams allowed at once
    double minLimit = 4;            ///< lower bound of the limit
    double maxLimit = 100000;       ///< upper bound of the limit
    double increase = 1;            ///< streams added, besides 2% of the limit, after a window in which the limit is in use and latencies meet their targets
    double decrease = 0.85;         ///< factor on the limit after a window with too many misses
    double allowedMissRatio = 0.05; ///< misses allowed: 95 in 100 latencies must meet their target
    std::uint32_t samples = 0;      ///< latencies recorded in this window
    std::uint32_t misses = 0;       ///< latencies over their target in this window
    TimePoint windowEndsAt{};       ///< end of this window; zero: none has begun
    milliseconds window{250};       ///< length of a window
};
/// Records the time to a first token, or a gap between tokens, and its target. Adapts the limit at the end of each window.
/// `running` is the number of streams that run now.
void recordLatency(AdmissionLimit &admission, double seconds, double targetSeconds, std::size_t running, TimePoint now);

/// A request that waits to start.
struct WaitingRequest {
    RequestId id;
    WorkspaceName workspace; ///< workspace of the caller
    double worth = 1;        ///< value of its response, by the settings of the workspace
    double cost = 1;         ///< expected cost, in tokens
    TimePoint arrivedAt{};   ///< when it arrived
    TimePoint startBy{};     ///< if it starts later, its first token is late
};

/// Cost of the requests that each workspace has started, with exponential decay. Workspaces with less go first.
struct FairShareLedger {
    std::map<WorkspaceName, double> startedCost; ///< started cost in tokens, as of `decayedAt`
    TimePoint decayedAt{};                       ///< time of the last decay; zero: none yet
};
void recordStart(FairShareLedger &ledger, const WaitingRequest &request, TimePoint now);

constexpr std::chrono::seconds startedCostHalfLife{5}; ///< after this time a started cost counts half
/// What is left at `now` of a started cost as of `since`.
double decayedCost(double cost, TimePoint since, TimePoint now);

/// Index of the request to start next; waiting.size() if none can start in time.
///
/// Among the workspaces with waiting requests the one with the lowest started cost for its worth goes first, so that a large
/// workspace can't starve small ones. Within a workspace the request with the highest worth for its cost goes first, then the
/// oldest.
std::size_t selectNext(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, TimePoint now);
/// Indices, ascending, of requests that can no longer start in time.
std::vector<std::size_t> expiredRequests(const std::vector<WaitingRequest> &waiting, TimePoint now);

} // namespace Parsleytrail
