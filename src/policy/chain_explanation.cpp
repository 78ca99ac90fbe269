#include "policy/chain_explanation.h"

#include "policy/cross_data_center_budget.h"
#include "policy/prefill_forecast.h"

#include <algorithm>

namespace Parsleytrail
{

std::string_view toString(EngineObstacle obstacle)
{
    switch (obstacle) {
    case EngineObstacle::None:
        return "";
    case EngineObstacle::NoLayers:
        return "no-layers";
    case EngineObstacle::UnknownAccelerator:
        return "unknown-accelerator";
    case EngineObstacle::Draining:
        return "draining";
    case EngineObstacle::NeedsProbe:
        return "needs-probe";
    case EngineObstacle::AvoidedAfterFailures:
        return "avoided-after-failures";
    case EngineObstacle::AvoidedAfterRefusals:
        return "avoided-after-refusals";
    case EngineObstacle::FailedThisRequest:
        return "failed-this-request";
    case EngineObstacle::NoFreeKvCache:
        return "no-free-kv-cache";
    case EngineObstacle::NoFreeSlot:
        return "no-free-slot";
    case EngineObstacle::Silent:
        return "silent";
    case EngineObstacle::Paused:
        return "paused";
    case EngineObstacle::OverRequestLimit:
        return "over-request-limit";
    }
    return "";
}

static void addTerms(StageCost &sum, const StageCost &cost)
{
    sum.hop += cost.hop;
    sum.remoteStart += cost.remoteStart;
    sum.kvPressure += cost.kvPressure;
    sum.avoidedByPeers += cost.avoidedByPeers;
    sum.backlog += cost.backlog;
    sum.steps += cost.steps;
}

/// Forecast of the time to the first event, ms. Each engine processes the prompt once the one before it has, and the prompts that it was
/// sent earlier. Then follow one pass, the hops, and the way to the first engine and back.
static std::optional<double> forecastFirstEvent(const EngineModel &model, const std::string &home, const ExplainedChain &chain)
{
    if (model.prefillChunkTokens <= 0) {
        return std::nullopt;
    }
    double processedMs = 0;
    std::string_view before = chain.dataCenter;
    for (const ExplainedStage &stage : chain.stages) {
        processedMs += dataCenterDelayMs(model, before, stage.dataCenter);
        processedMs = std::max(processedMs, stage.backlogMs) + stage.prefillMs;
        before = stage.dataCenter;
    }
    return processedMs + chain.terms.steps + 2 * dataCenterDelayMs(model, home, chain.dataCenter);
}

static ExplainedChain explainChain(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, const RatedChain &rated)
{
    const EngineModel &model = *context.model;
    ExplainedChain chain;
    chain.dataCenter = rated.dataCenter;
    chain.cost = rated.costMs;
    for (std::size_t i = 0; i < rated.stages.size(); ++i) {
        const ChainStage &stage = rated.stages[i];
        const Target &target = *findTarget(fleet, stage.id);
        const AcceleratorKind &kind = *findKind(model, target.registered.accelerator);
        chain.stages.push_back({stage, target.registered.dataCenter, rated.costs[i], prefillBacklogMs(target, context.now),
                                prefillMs(model, kind, demand.promptTokens, stage.layers.count())});
        addTerms(chain.terms, rated.costs[i]);
    }
    chain.firstEventMs = forecastFirstEvent(model, context.dataCenter, chain);
    chain.crossDataCenterBytes = crossDataCenterBytes(fleet, model, rated.stages, demand);
    return chain;
}

/// When the state that excludes the engine ends; zero if it ends with an event.
static TimePoint endOf(EngineObstacle obstacle, const Target &target)
{
    switch (obstacle) {
    case EngineObstacle::AvoidedAfterFailures:
    case EngineObstacle::AvoidedAfterRefusals:
        return target.avoidUntil;
    case EngineObstacle::Silent:
        return target.noNewStreamsUntil;
    case EngineObstacle::Paused:
        return target.pausedUntil;
    default:
        return {};
    }
}

static ExplainedObstacle explainObstacle(const RatedEngine &engine, TimePoint now)
{
    const Target &target = *engine.target;
    ExplainedObstacle explained;
    explained.id = target.registered.id;
    explained.dataCenter = target.registered.dataCenter;
    explained.layers = target.registered.layers;
    explained.isOnlyAsFirst = engine.inChains == EngineObstacle::None;
    explained.obstacle = explained.isOnlyAsFirst ? engine.asFirst : engine.inChains;
    const TimePoint end = endOf(explained.obstacle, target);
    explained.timeLeft = end > now ? std::chrono::ceil<milliseconds>(end - now) : milliseconds(0);
    explained.openRequests = totalOpenRequests(target);
    explained.slots = target.registered.slots;
    explained.requestsPerSecond = limitInForce(target.demand, now);
    return explained;
}

/// The rating of the chains within data centres where `selectStart` decides. Data centres that it did not consider are rated by cost.
static ChainRating rateStart(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, std::mt19937_64 &random,
                             const SelectStartFunction &selectStart)
{
    ChainTuning tuning;
    tuning.allowsCrossDataCenter = false;
    tuning.remoteStartMs = 0; // as in the selection by forecast, so that costs can be compared
    std::mt19937_64 copy = random;
    ChainRating rating = rateChains(fleet, context, demand, copy, tuning);
    StartSelection start = selectStart(context, random);
    rating.selected = std::move(start.selected);
    for (RatedChain &chain : start.chains) {
        std::erase_if(rating.chains, [&](const RatedChain &byCost) {
            return byCost.dataCenter == chain.dataCenter;
        });
        rating.chains.push_back(std::move(chain));
    }
    return rating;
}

/// The rating of the chains within data centres, or of all chains if there is none and they are allowed.
static ChainRating rateAllowedChains(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, const ChainLimits &limits,
                                     std::mt19937_64 &random, const SelectStartFunction &selectStart, bool &allowsCrossDataCenter)
{
    ChainTuning tuning;
    tuning.allowsCrossDataCenter = false;
    ChainRating rating = selectStart ? rateStart(fleet, context, demand, random, selectStart) : rateChains(fleet, context, demand, random, tuning);
    allowsCrossDataCenter = rating.selected.empty() && limits.hasCrossDataCenterBudget;
    if (allowsCrossDataCenter) {
        tuning.allowsCrossDataCenter = true;
        rating = rateChains(fleet, context, demand, random, tuning);
    }
    return rating;
}

/// Whether the first engine takes the request under the limit that it may name. Counts the request in a copy only.
static bool wouldAdmit(const Fleet &fleet, const TargetId &first, const ChainLimits &limits, TimePoint now)
{
    RequestDemand demand = findTarget(fleet, first)->demand;
    return admitRequest(demand, limits.entries, now);
}

ChainExplanation explainChains(const Fleet &fleet, ChainSelectionContext context, const StreamDemand &demand, const ChainLimits &limits, std::mt19937_64 random,
                               const SelectStartFunction &selectStart)
{
    ChainExplanation explanation;
    ChainRating rating = rateAllowedChains(fleet, context, demand, limits, random, selectStart, explanation.allowsCrossDataCenter);
    while (!rating.selected.empty() && !wouldAdmit(fleet, rating.selected.front().id, limits, context.now)) {
        context.excludedAsFirst.insert(rating.selected.front().id);
        rating = rateAllowedChains(fleet, context, demand, limits, random, selectStart, explanation.allowsCrossDataCenter);
    }
    for (const RatedChain &chain : rating.chains) {
        if (chain.stages == rating.selected) {
            explanation.selected = explanation.chains.size();
        }
        explanation.chains.push_back(explainChain(fleet, context, demand, chain));
    }
    for (const RatedEngine &engine : rating.engines) {
        if (engine.inChains != EngineObstacle::None || engine.asFirst != EngineObstacle::None) {
            explanation.obstacles.push_back(explainObstacle(engine, context.now));
        }
    }
    explanation.freeCapacity = freeCapacityLeft(fleet, context, demand);
    return explanation;
}

} // namespace Parsleytrail
