// Limits the activation traffic that the chains of this entry send between data centres.
//
// If no data centre has free capacity for a complete chain, a chain may use engines of several. The activations of each token
// of prompt and answer then pass over a link that all data centres share. Above the link's capacity, all streams on it delay
// each other, and the KV cache that they occupy meanwhile fills the engines on both sides: a full fleet becomes a stalled one.
//
//     TokenBucket budget = makeCrossDataCenterBudget(model, entries);
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

/// The budget of one of `entries` entries, which split the link evenly because they don't coordinate. Its tokens are bytes and
/// may be negative. If the link's capacity is unknown, the rate is zero and the traffic is not limited.
TokenBucket makeCrossDataCenterBudget(const EngineModel &model, int entries);
/// Whether any budget is left. A chain may consume more than that; the debt is refilled before the next one is allowed.
bool hasCrossDataCenterBudget(TokenBucket &budget, TimePoint now);
void consumeCrossDataCenterBudget(TokenBucket &budget, double bytes);

/// Activations that a request sends between data centres on this chain, bytes; 0 for a chain inside one data centre.
double crossDataCenterBytes(const Fleet &fleet, const EngineModel &model, const std::vector<ChainStage> &chain, const StreamDemand &demand);

} // namespace Parsleytrail
