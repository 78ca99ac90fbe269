// Budgets: a token bucket for rates, and a retry budget that is a share of the requests.
//
// Pure: the caller passes the time in.
#pragma once

#include "base/clock.h"

namespace Parsleytrail
{

/// Token bucket.
struct TokenBucket {
    double perSecond = 0; ///< refill rate
    double burst = 0;     ///< most tokens held

    double tokens = 0;        ///< held now; starts at burst after the first call
    TimePoint lastRefillAt{}; ///< time of the last refill; zero: never
};
/// Adds what has come since the last refill.
void refill(TokenBucket &bucket, TimePoint now);
/// Takes one token; false if there is none.
bool tryConsume(TokenBucket &bucket, TimePoint now);

/// New attempts allowed as a share of requests.
///
/// A fault that fails every request would otherwise double the load just when capacity is short; with the budget the
/// extra load is at most `share` of the load, whatever fails.
struct RetryBudget {
    double share = 0.2;    ///< attempts earned by each request
    double burst = 20;     ///< most attempts saved up
    double available = 20; ///< attempts that may be made now
};
void recordRequest(RetryBudget &budget);
/// Takes one attempt; false if the budget is spent.
bool tryConsumeRetry(RetryBudget &budget);

} // namespace Parsleytrail
