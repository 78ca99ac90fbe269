#include "policy/budget.h"

#include <algorithm>

namespace Parsleytrail
{

void refill(TokenBucket &bucket, TimePoint now)
{
    if (bucket.lastRefillAt == TimePoint{}) {
        bucket.tokens = bucket.burst;
        bucket.lastRefillAt = now;
    }
    const std::chrono::duration<double> passed = now - bucket.lastRefillAt;
    bucket.tokens = std::min(bucket.burst, bucket.tokens + passed.count() * bucket.perSecond);
    bucket.lastRefillAt = now;
}

bool tryConsume(TokenBucket &bucket, TimePoint now)
{
    refill(bucket, now);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void recordRequest(RetryBudget &budget)
{
    budget.available = std::min(budget.burst, budget.available + budget.share);
}

bool tryConsumeRetry(RetryBudget &budget)
{
    if (budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

} // namespace Parsleytrail
