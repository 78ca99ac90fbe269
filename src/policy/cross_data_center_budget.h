// Limits the activation traffic that the chains of this entry send between data centres.
//
// If no data centre has free capacity for a complete chain, a chain may use engines of several. The activations of each token
// of prompt and answer then pass over a link that all data centres share. Above the link's capacity, all streams on it delay
// each other, and the KV cache that they occupy meanwhile fills the engines on both sides: a full fleet becomes a stalled one.
//
// The entries split the link by demand: an entry's share is that of its open streams. The rate follows the link as the entry observes
// it: while its own streams on chains across data centres have long gaps, it sends less.
//
//     TokenBucket budget = makeCrossDataCenterBudget(model, share * link.rateFactor);
//     if (hasCrossDataCenterBudget(budget, now)) ... selectChain(), then
//         consumeCrossDataCenterBudget(budget, crossDataCenterBytes(...));
//
// Pure: the caller passes the time in.
#pragma once

#include "policy/budget.h"
#include "policy/chain_selection.h"

namespace Parsleytrail
{

/// Share of the link's capacity that chains may use. The remainder absorbs bursts of tokens, as transfers queue behind each other.
constexpr double linkUtilizationLimit = 0.6;
/// Unused capacity that may accumulate, as a time of refill.
constexpr std::chrono::duration<double> burstDuration{1.0};

/// The budget of an entry that may use this share of the link. Its tokens are bytes and may be negative. If the link's capacity is
/// unknown, the rate is zero and the traffic is not limited.
TokenBucket makeCrossDataCenterBudget(const EngineModel &model, double share);
/// Whether any budget is left. A chain may consume more than that; the debt is refilled before the next one is allowed.
bool hasCrossDataCenterBudget(TokenBucket &budget, TimePoint now);
void consumeCrossDataCenterBudget(TokenBucket &budget, double bytes);

/// Average gap between events, relative to the target of the route, above which the link counts as overloaded. At half of it a single
/// further delay of the same size still leaves the stream on time.
constexpr double overloadedGapRatio = 0.5;
/// Factor on the rate after a second in which the link was overloaded.
constexpr double linkRateDecay = 0.5;
/// Part of the configured rate by which it grows back in a second.
constexpr double linkRateGrowth = 0.1;
/// Least factor on the rate. A rate of zero would mean that the link is not limited.
constexpr double minLinkRateFactor = 0.02;

/// What an entry observes of the link.
struct ObservedLink {
    double rateFactor = 1;   ///< on the entry's share of the configured rate
    double gapRatioSum = 0;  ///< gaps since the last adaptation, each relative to the target of its route
    int gaps = 0;            ///< number of these gaps
    double lastGapRatio = 0; ///< average of the second before the last adaptation; 0: no gaps
};
/// Records the gap between two events of a stream on a chain across data centres. Ignored if the route has no target.
void recordCrossDataCenterGap(ObservedLink &link, double gapMs, milliseconds targetGap);
/// Adapts the rate to the gaps since the last call. Called once a second. Returns whether the rate has changed.
bool adaptLinkRate(ObservedLink &link);

/// Activations that a request sends between data centres on this chain, bytes; 0 for a chain inside one data centre.
double crossDataCenterBytes(const Fleet &fleet, const EngineModel &model, const std::vector<ChainStage> &chain, const StreamDemand &demand);

} // namespace Parsleytrail
