// One entry's part of budgets that all entries share without asking each other before each use.
//
// A part has to be safe when the others are not heard: right after a start, while cut off, and when all entries start at
// once. So an entry begins with one repeat, earns a share of its own requests, and is granted its part of the burst only
// once it has run for a whole window of the budget: what the process before it spent is out of the window by then.
//
//     SharedBudgetTerms terms{share, burst, window};
//     RetryBudget budget = makeRetryPart(terms, entries);
//     resizeRetryPart(budget, terms, entries);   // more entries were heard of
//     grantRetryPart(budget);                    // once, after terms.window
//
// Pure: the caller passes the time in.
#pragma once

#include "policy/budget.h"

namespace Parsleytrail
{

/// What the platform allows all entries together.
struct SharedBudgetLimits {
    double share = 0.2;              ///< repeated sends, as a share of requests
    double burst = 100;              ///< repeated sends on top, in each window
    std::chrono::seconds window{10}; ///< length of the window
};

/// Part of what the platform allows that is used: entries that start or stop change the parts, and news of them takes time.
constexpr double usableBudgetShare = 0.85;

/// Repeats that an entry may save up; at least one, as a smaller part could never be used, unless none are allowed at all.
double retryBurstShare(const SharedBudgetLimits &limits, int entries);
/// The part of an entry that has just started.
RetryBudget makeRetryBudget(const SharedBudgetLimits &limits, int entries);
/// Adapts the part to another number of entries.
void resizeRetryBudget(RetryBudget &budget, const SharedBudgetLimits &limits, int entries);
/// Fills the part up. Only once, when the entry has run for a whole window.
void grantRetryBurst(RetryBudget &budget);

/// How many entries there are, as one of them knows.
struct EntryCount {
    bool mayHavePeers = true; ///< the settings name others
    TimePoint startedAt{};    ///< of this process
    int mostPeersSeen = 0;    ///< most other entries that it ever heard of at once
};
/// Entries to share with, this one included. Entries that are gone may be back, or only cut off from this one: their part
/// stays theirs, so that the number does not fall. While others may be there and were not heard of, it is high.
int entriesToShareWith(const EntryCount &count, TimePoint now);

constexpr int assumedEntries = 400;             ///< while nobody was heard of: as many as any fleet is expected to have
constexpr milliseconds peerDiscoveryTime{2000}; ///< after a start, until all others should have been heard of

} // namespace Parsleytrail
