#include "policy/shared_budget.h"

#include <algorithm>

namespace Parsleytrail
{

double retryPart(const SharedBudgetTerms &terms, int entries)
{
    const bool isNone = terms.share <= 0 && terms.burst <= 0;
    return isNone ? 0 : std::max(1.0, terms.burst * sharedBudgetUse / std::max(entries, 1));
}

RetryBudget makeRetryPart(const SharedBudgetTerms &terms, int entries)
{
    RetryBudget budget;
    budget.share = terms.share * sharedBudgetUse;
    budget.burst = retryPart(terms, entries);
    budget.saved = std::min(1.0, budget.burst);
    return budget;
}

void resizeRetryPart(RetryBudget &budget, const SharedBudgetTerms &terms, int entries)
{
    budget.burst = retryPart(terms, entries);
    budget.saved = std::min(budget.saved, budget.burst);
}

void grantRetryPart(RetryBudget &budget)
{
    budget.saved = budget.burst;
}

int entriesToShareWith(const EntryCount &count, TimePoint now)
{
    const int heard = 1 + count.mostHeard;
    const bool mayMissSome = count.mayHavePeers && (count.mostHeard == 0 || now - count.startedAt < hearingTime);
    return mayMissSome ? std::max(heard, assumedEntries) : heard;
}

} // namespace Parsleytrail
