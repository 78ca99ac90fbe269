// Budgets: a token bucket that limits a rate, and a retry budget that limits retries to a share of the requests.
//
// Pure functions: the caller passes the time in.
#pragma once

#include "base/clock.h"

namespace Parsleytrail
{

/// Token bucket that limits the rate of an operation.
struct TokenBucket {
    double perSecond = 0; ///< tokens added in a second
    double burst = 0;     ///< capacity in tokens

    double tokens = 0;        ///< tokens held now; the first refill sets them to burst
    TimePoint lastRefillAt{}; ///< time of the last refill; zero: none yet
};
/// Adds the tokens earned since the last refill.
void refill(TokenBucket &bucket, TimePoint now);
/// Consumes one token; false if there is none.
bool tryConsume(TokenBucket &bucket, TimePoint now);

/// Limits retries to a share of the requests.
///
/// Without it, a fault that fails every request would double the load just when capacity is short. With it, the extra load is
/// at most `share` of the load, whatever fails.
struct RetryBudget {
    double share = 0.2;    ///< retries earned by each request
    double burst = 20;     ///< most retries that can be saved up
    double available = 20; ///< retries allowed now
};
/// Adds what one request earns.
void recordRequest(RetryBudget &budget);
/// Consumes one retry; false if the budget is spent.
bool tryConsumeRetry(RetryBudget &budget);

} // namespace Parsleytrail
