#include "policy/shared_budget.h"

#include <algorithm>

namespace Parsleytrail
{

double retryBurstShare(const SharedBudgetLimits &limits, int entries)
{
    const bool isNone = limits.share <= 0 && limits.burst <= 0;
    return isNone ? 0 : std::max(1.0, limits.burst * usableBudgetShare / std::max(entries, 1));
}

RetryBudget makeRetryBudget(const SharedBudgetLimits &limits, int entries)
{
    RetryBudget budget;
    budget.share = limits.share * usableBudgetShare;
    budget.burst = retryBurstShare(limits, entries);
    budget.available = std::min(1.0, budget.burst);
    return budget;
}

void resizeRetryBudget(RetryBudget &budget, const SharedBudgetLimits &limits, int entries)
{
    budget.burst = retryBurstShare(limits, entries);
    budget.available = std::min(budget.available, budget.burst);
}

void grantRetryBurst(RetryBudget &budget)
{
    budget.available = budget.burst;
}

int entriesToShareWith(const EntryCount &count, TimePoint now)
{
    const int seen = 1 + count.mostPeersSeen;
    const bool mayMissSome = count.mayHavePeers && (count.mostPeersSeen == 0 || now - count.startedAt < peerDiscoveryTime);
    return mayMissSome ? std::max(seen, assumedEntries) : seen;
}

int knownEntriesToShareWith(const EntryCount &count, TimePoint now)
{
    return count.mostPeersSeen > 0 ? 1 + count.mostPeersSeen : entriesToShareWith(count, now);
}

} // namespace Parsleytrail
