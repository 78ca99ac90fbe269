// Limits how much the chains of this entry send between data centres.
//
// Where no data centre has a whole chain with room, a chain may take parts in several. The activations of each token of
// prompt and answer then cross a pipe that all data centres share. Over its capacity every stream that crosses waits for
// all others, and the KV cache that they hold meanwhile fills the engines at both ends: a full fleet becomes a stalled one.
//
//     RateBudget budget = makeCrossingBudget(model, entries);
//     if (mayCross(budget, now)) ... chooseChain(), then noteCrossing(budget, crossingBytes(...));
//
// Pure: the caller passes the time in.
#pragma once

#include "policy/budget.h"
#include "policy/chain_selection.h"

namespace Parsleytrail
{

/// Part of the pipe's capacity that chains may use: tokens come in bursts, and a transfer waits for all before it.
constexpr double linkUtilizationLimit = 0.6;
/// Unused capacity that is saved up, as a time of refill.
constexpr std::chrono::duration<double> burstDuration{1.0};

/// The part of one of `entries` that share the pipe evenly, as they do not coordinate. Its tokens are bytes; below zero
/// while what crossed last is paid back. Without a known capacity it has no rate, and crossing is not limited.
RateBudget makeCrossDataCenterBudget(const EngineModel &model, int entries);
/// Whether anything is left. What a chain takes may be more than that: it is paid back before the next one.
bool hasCrossDataCenterBudget(RateBudget &budget, TimePoint now);
void consumeCrossDataCenterBudget(RateBudget &budget, double bytes);

/// Activations that a request sends between data centres on this chain, bytes; 0 for a chain inside one.
double crossDataCenterBytes(const Fleet &fleet, const EngineModel &model, const std::vector<ChainStage> &chain, const StreamDemand &demand);

} // namespace Parsleytrail
