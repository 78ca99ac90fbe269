#include "policy/budget.h"

#include <algorithm>

namespace Parsleytrail
{

void refill(RateBudget &budget, TimePoint now)
{
    if (budget.filledAt == TimePoint{}) {
        budget.tokens = budget.burst;
        budget.filledAt = now;
    }
    const std::chrono::duration<double> passed = now - budget.filledAt;
    budget.tokens = std::min(budget.burst, budget.tokens + passed.count() * budget.perSecond);
    budget.filledAt = now;
}

bool tryTake(RateBudget &budget, TimePoint now)
{
    refill(budget, now);
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

void noteRequest(RetryBudget &budget)
{
    budget.saved = std::min(budget.burst, budget.saved + budget.share);
}

bool tryRetry(RetryBudget &budget)
{
    if (budget.saved < 1) {
        return false;
    }
    budget.saved -= 1;
    return true;
}

} // namespace Parsleytrail
