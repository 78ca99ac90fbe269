#include "policy/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Parsleytrail
{

constexpr double minUtilization = 0.8;   ///< the limit grows only while this share of it is in use
constexpr std::uint32_t minSamples = 20; ///< needed to change the limit; a window with fewer continues

void recordLatency(AdmissionLimit &admission, double seconds, double targetSeconds, std::size_t running, TimePoint now)
{
    ++admission.samples;
    admission.misses += seconds > targetSeconds ? 1 : 0;
    if (admission.windowEndsAt == TimePoint{}) {
        admission.windowEndsAt = now + admission.window;
    }
    if (now < admission.windowEndsAt || admission.samples < minSamples) {
        return;
    }
    const bool isOverloaded = admission.misses > admission.allowedMissRatio * admission.samples;
    const bool isUtilized = static_cast<double>(running) >= minUtilization * admission.limit;
    if (isOverloaded) {
        // Decreases from the number of running streams, as the limit itself may never have been reached.
        admission.limit = std::min(admission.limit, static_cast<double>(running)) * admission.decrease;
    } else if (isUtilized) {
        admission.limit += admission.increase + 0.02 * admission.limit;
    }
    admission.limit = std::clamp(admission.limit, admission.minLimit, admission.maxLimit);
    admission.samples = 0;
    admission.misses = 0;
    admission.windowEndsAt = now + admission.window;
}

double decayedCost(double cost, TimePoint since, TimePoint now)
{
    const double halfLives = std::chrono::duration<double>(now - since) / std::chrono::duration<double>(startedCostHalfLife);
    return cost * std::exp2(-halfLives);
}

void recordStart(FairShareLedger &ledger, const WaitingRequest &request, TimePoint now)
{
    if (ledger.decayedAt != TimePoint{}) {
        for (auto &[workspace, total] : ledger.startedCost) {
            total = decayedCost(total, ledger.decayedAt, now);
        }
        std::erase_if(ledger.startedCost, [](const auto &item) {
            return item.second < 1;
        });
    }
    ledger.decayedAt = now;
    ledger.startedCost[request.workspace] += request.cost;
}

double startedCostOf(const FairShareLedger &ledger, const WorkspaceName &workspace)
{
    const auto it = ledger.startedCost.find(workspace);
    return it == ledger.startedCost.end() ? 0 : it->second;
}

/// Whether `a` starts before `b`, which waits in the same workspace.
static bool startsBefore(const WaitingRequest &a, const WaitingRequest &b, StartOrder order)
{
    const double worthA = a.worth / std::max(a.cost, 1.0);
    const double worthB = b.worth / std::max(b.cost, 1.0);
    return order == StartOrder::ByWorth && worthA != worthB ? worthA > worthB : a.arrivedAt < b.arrivedAt;
}

/// The most urgent priority of the requests that can start in time.
static int mostUrgentPriority(const std::vector<WaitingRequest> &waiting, TimePoint now)
{
    int priority = std::numeric_limits<int>::max();
    for (const WaitingRequest &request : waiting) {
        priority = now < request.startBy ? std::min(priority, request.priority) : priority;
    }
    return priority;
}

std::size_t selectNext(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, TimePoint now, StartOrder order)
{
    const int priority = mostUrgentPriority(waiting, now);
    std::map<WorkspaceName, std::size_t> best; // request to start first, by workspace
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (now >= waiting[i].startBy || waiting[i].priority != priority) {
            continue;
        }
        const auto [known, isNew] = best.emplace(waiting[i].workspace, i);
        if (!isNew && startsBefore(waiting[i], waiting[known->second], order)) {
            known->second = i;
        }
    }
    std::size_t chosen = waiting.size();
    double lowestCost = 0;
    for (const auto &[workspace, index] : best) {
        // Weighted, so that a workspace whose responses are worth more may start more.
        const double weightedCost = startedCostOf(ledger, workspace) / std::max(waiting[index].worth, 1e-6);
        const bool isNone = chosen == waiting.size();
        const bool isEarlier = order == StartOrder::ByArrival && !isNone && weightedCost == lowestCost && waiting[index].arrivedAt < waiting[chosen].arrivedAt;
        if (isNone || weightedCost < lowestCost || isEarlier) {
            chosen = index;
            lowestCost = weightedCost;
        }
    }
    return chosen;
}

std::vector<std::size_t> expiredRequests(const std::vector<WaitingRequest> &waiting, TimePoint now)
{
    std::vector<std::size_t> late;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (now >= waiting[i].startBy) {
            late.push_back(i);
        }
    }
    return late;
}

} // namespace Parsleytrail
