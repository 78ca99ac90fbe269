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
    int priority = 0;        ///< 0 is the most urgent; all equal where urgency does not matter
};

/// Cost of the requests that each workspace has started, with exponential decay. Workspaces with less go first.
struct FairShareLedger {
    std::map<WorkspaceName, double> startedCost; ///< started cost in tokens, as of `decayedAt`
    TimePoint decayedAt{};                       ///< time of the last decay; zero: none yet
};
void recordStart(FairShareLedger &ledger, const WaitingRequest &request, TimePoint now);

constexpr std::chrono::seconds startedCostHalfLife{5}; ///< after this time a started cost counts half
/// A started cost as of `since`, reduced by the decay until `now`.
double decayedCost(double cost, TimePoint since, TimePoint now);

/// Started cost of a workspace, as of the last decay of the ledger. Comparable with that of other workspaces at any time.
double startedCostOf(const FairShareLedger &ledger, const WorkspaceName &workspace);

/// Order of the requests of one workspace.
enum class StartOrder : std::uint8_t {
    ByWorth,  ///< highest worth for its cost first, then the oldest
    ByArrival ///< the oldest first, whatever its size; between workspaces with equal started cost too
};

/// Index of the request to start next; waiting.size() if none can start in time.
///
/// Only the requests of the most urgent priority that waits are considered. Among their workspaces the one with the lowest
/// started cost for its worth goes first, so that a large workspace can't starve small ones. Within a workspace `order` decides.
std::size_t selectNext(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, TimePoint now, StartOrder order = StartOrder::ByWorth);
/// Indices, ascending, of requests that can no longer start in time.
std::vector<std::size_t> expiredRequests(const std::vector<WaitingRequest> &waiting, TimePoint now);

} // namespace Parsleytrail
