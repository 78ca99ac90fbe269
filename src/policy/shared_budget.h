// One entry's share of a retry budget that all entries have in common, consumed without a query to the others.
//
// The share must be safe while nothing is received from the others: right after a start, while cut off, and when all entries
// start at once. So an entry starts with one retry, earns a share of its own requests, and is granted its share of the burst
// only after it has run for a full window of the budget: by then, whatever the process before it spent is outside of the
// window.
//
//     SharedBudgetLimits limits{share, burst, window};
//     RetryBudget budget = makeRetryBudget(limits, entries);
//     resizeRetryBudget(budget, limits, entries);   // when the number of entries changes
//     grantRetryBurst(budget);                      // once, after limits.window
//
// Pure functions: the caller passes the time in.
#pragma once

#include "policy/budget.h"

namespace Parsleytrail
{

/// Limits that the platform sets for all entries together.
struct SharedBudgetLimits {
    double share = 0.2;              ///< retries, as a share of requests
    double burst = 100;              ///< retries on top of the share, in each window
    std::chrono::seconds window{10}; ///< length of the window
};

/// Fraction of the limits that is used. Entries that start or stop change the shares of all, and it takes time until all have
/// received the change.
constexpr double usableBudgetShare = 0.85;

/// An entry's share of the burst: the retries that it may save up. At least one, as a smaller share could never be used, unless
/// the limits allow no retries at all.
double retryBurstShare(const SharedBudgetLimits &limits, int entries);
/// Budget of an entry that has just started.
RetryBudget makeRetryBudget(const SharedBudgetLimits &limits, int entries);
/// Adapts the budget to another number of entries.
void resizeRetryBudget(RetryBudget &budget, const SharedBudgetLimits &limits, int entries);
/// Fills the budget up. To be called once, when the entry has run for a full window.
void grantRetryBurst(RetryBudget &budget);

/// State from which an entry estimates the number of entries.
struct EntryCount {
    bool mayHavePeers = true; ///< the settings name other entries
    TimePoint startedAt{};    ///< start of this process
    int mostPeersSeen = 0;    ///< highest number of other entries that were known at once
};
/// Number of entries that share the budget, this one included. It does not fall when entries are lost, as they may come back or
/// be cut off from this one only, and keep their shares. It is at least `assumedEntries` while there may be entries that are not
/// known yet.
int entriesToShareWith(const EntryCount &count, TimePoint now);
/// The same as soon as any other entry is known: too low for a moment after a start. For limits that may be exceeded for seconds.
int knownEntriesToShareWith(const EntryCount &count, TimePoint now);

constexpr int assumedEntries = 400;             ///< while no others are known: the most that any fleet is expected to have
constexpr milliseconds peerDiscoveryTime{2000}; ///< after a start, until all others should be known

} // namespace Parsleytrail
