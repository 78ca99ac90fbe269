#include "relay/data_center_search.h"

#include "base/log.h"
#include "policy/prefill_forecast.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Parsleytrail
{

bool choosesDataCenter(const RelayContext &context, const ServiceSpec &service)
{
    const bool hasConstants = service.engine->prefillChunkTokens > 0 && !service.engine->delays.empty();
    if (!hasConstants || context.settings.dataCenter.empty()) {
        return false;
    }
    const std::string *first = nullptr;
    for (const auto &[id, target] : context.fleet.targets) {
        if (target.registered.service != service.name) {
            continue;
        }
        first = first ? first : &target.registered.dataCenter;
        if (*first != target.registered.dataCenter) {
            return true;
        }
    }
    return false;
}

/// A data centre as an option, and the chain that the stream would be sent to there.
struct RatedOption {
    DataCenterOption option;
    std::vector<ChainStage> chain;
};

/// State of the choice for a service; that of a new one if no stream of it has started yet.
static const DataCenterChoice &choiceStateOf(const RelayContext &context, const ServiceName &service)
{
    static const DataCenterChoice fresh;
    const auto it = context.dataCenterChoices.find(service);
    return it != context.dataCenterChoices.end() ? it->second : fresh;
}

static RatedOption rateDataCenter(const RelayContext &context, std::mt19937_64 &random, const ServiceSpec &service, const ChainSelectionContext &selection,
                                  const StreamDemand &demand, const std::string &dataCenter, const SelectChainFunction &select)
{
    ChainTuning tuning;
    tuning.allowsCrossDataCenter = false;
    tuning.remoteStartMs = 0; // the delay of the link is part of the forecast
    tuning.onlyDataCenter = dataCenter;
    RatedChain rated = select(context.fleet, selection, demand, random, tuning);
    RatedOption result;
    result.option.dataCenter = dataCenter;
    result.option.hasChain = !rated.stages.empty();
    result.option.costMs = rated.costMs;
    const EngineModel &model = *service.engine;
    const double unloadedMs = unloadedFirstEventMs(context.fleet, model, rated.stages, demand.promptTokens);
    const double backlogMs = chainBacklogMs(context.fleet, rated.stages, selection.now);
    const double linkMs = dataCenterDelayMs(model, selection.dataCenter, dataCenter);
    result.option.firstEventMs = firstEventForecastMs(choiceStateOf(context, service.name), dataCenter, unloadedMs, backlogMs, linkMs, selection.now);
    result.chain = std::move(rated.stages);
    return result;
}

static ChoiceInputs inputsOf(const RelayContext &context, std::mt19937_64 &random, const ServiceSpec &service, const ChainSelectionContext &selection)
{
    const TimePoint now = selection.now;
    const bool isAlone = hearsNoPeers(context);
    ChoiceInputs inputs;
    inputs.hasTarget = selection.nextEventDue != TimePoint();
    inputs.msLeft = std::chrono::duration<double, std::milli>(selection.nextEventDue - now).count();
    inputs.reportAge = isAlone ? std::chrono::duration_cast<milliseconds>(now - context.peersHeardAt) : milliseconds(0);
    inputs.demandShare = demandShare(context.fleet, service.name, isAlone, knownEntriesToShareWith(context.entryCount, now));
    inputs.draw = drawShare(random);
    return inputs;
}

StartChoice chooseStart(const RelayContext &context, std::mt19937_64 &random, const ServiceSpec &service, const ChainSelectionContext &selection,
                        const StreamDemand &demand, const SelectChainFunction &select)
{
    std::vector<RatedOption> options = {rateDataCenter(context, random, service, selection, demand, selection.dataCenter, select)};
    StartChoice start;
    start.inputs = inputsOf(context, random, service, selection);
    start.inputs->local = options.front().option;
    if (mayLeave(*start.inputs)) {
        for (const DataCenterFreeCapacity &capacity : freeCapacityLeft(context.fleet, selection, demand).dataCenters) {
            if (capacity.dataCenter == selection.dataCenter) {
                continue;
            }
            options.push_back(rateDataCenter(context, random, service, selection, demand, capacity.dataCenter, select));
            options.back().option.fittingStreams = fittingStreams(capacity);
            start.inputs->others.push_back(options.back().option);
        }
    }
    start.choice = chooseDataCenter(choiceStateOf(context, service.name), *start.inputs, selection.now);
    for (RatedOption &option : options) {
        if (option.option.dataCenter == start.choice.dataCenter) {
            start.chain = std::move(option.chain);
        }
    }
    return start;
}

static std::string rounded(double value)
{
    return absl::StrCat(absl::SixDigits(value));
}

static void logStartElsewhere(const ServiceSpec &service, const StartChoice &start)
{
    const ChoiceInputs &inputs = *start.inputs;
    const auto chosen = std::find_if(inputs.others.begin(), inputs.others.end(), [&](const DataCenterOption &option) {
        return option.dataCenter == start.choice.dataCenter;
    });
    logEvent(Event::DataCenterChosen, {{"service", service.name.value},
                                       {"reason", std::string(choiceReasonName(start.choice.reason))},
                                       {"to", start.choice.dataCenter},
                                       {"first", start.chain.front().id.value},
                                       {"local_ms", inputs.local.hasChain ? rounded(inputs.local.firstEventMs) : "none"},
                                       {"other_ms", chosen != inputs.others.end() ? rounded(chosen->firstEventMs) : "none"},
                                       {"left_ms", inputs.hasTarget ? rounded(inputs.msLeft) : "none"},
                                       {"share", rounded(start.choice.share)},
                                       {"allowance", rounded(start.choice.allowance)},
                                       {"demand_share", rounded(inputs.demandShare)}});
}

void recordStart(RelayContext &context, const ServiceSpec &service, const StartChoice &start)
{
    if (!start.inputs || start.choice.reason == ChoiceReason::NoChain) {
        return;
    }
    recordChoice(context.dataCenterChoices[service.name], *start.inputs, start.choice, context.clock.now());
    const bool isElsewhere = start.choice.dataCenter != start.inputs->local.dataCenter;
    context.metrics.streamsSentElsewhere += start.choice.reason == ChoiceReason::ElsewhereInTime ? 1 : 0;
    context.metrics.streamsWithoutLocalChain += start.choice.reason == ChoiceReason::NoLocalChain ? 1 : 0;
    context.metrics.lateStreamsKept += !isElsewhere && start.choice.reason != ChoiceReason::LocalInTime ? 1 : 0;
    if (isElsewhere) {
        logStartElsewhere(service, start);
    }
}

void recordFirstEventOf(RelayContext &context, const ServiceSpec &service, const std::vector<ChainStage> &chain, double waitMs)
{
    const Target *first = chain.empty() ? nullptr : findTarget(context.fleet, chain.front().id);
    if (!first || service.engine->prefillChunkTokens <= 0) {
        return;
    }
    const std::string &dataCenter = first->registered.dataCenter;
    const double linkMs = dataCenterDelayMs(*service.engine, context.settings.dataCenter, dataCenter);
    recordFirstEvent(context.dataCenterChoices[service.name], dataCenter, waitMs - 2 * linkMs, context.clock.now());
}

static void logStays(const ServiceName &service, const StayCounts &stays)
{
    if (stays.total() == 0) {
        return;
    }
    logEvent(Event::StreamsStayed, {{"service", service.value},
                                    {"by_share", std::to_string(stays.byShare)},
                                    {"by_allowance", std::to_string(stays.byAllowance)},
                                    {"late_everywhere", std::to_string(stays.lateEverywhere)},
                                    {"by_stale_reports", std::to_string(stays.byStaleReports)}});
}

void adaptDataCenterChoices(RelayContext &context)
{
    for (auto &[service, choice] : context.dataCenterChoices) {
        logStays(service, choice.stays);
        const double shareBefore = choice.leavingShare;
        const int misses = choice.localMisses;
        adaptLeavingShare(choice);
        if (choice.leavingShare != shareBefore) {
            logEvent(Event::LeavingShareChanged, {{"service", service.value},
                                                  {"share", rounded(choice.leavingShare)},
                                                  {"local_misses", std::to_string(misses)},
                                                  {"arrivals", rounded(choice.arrivalsPerSecond)}});
        }
    }
    for (auto &[service, link] : context.observedLinks) {
        const double factorBefore = link.rateFactor;
        if (adaptLinkRate(link)) {
            context.metrics.linkRateReductions += link.rateFactor < factorBefore ? 1 : 0;
            logEvent(Event::LinkRateChanged, {{"service", service.value}, {"factor", rounded(link.rateFactor)}, {"gap_ratio", rounded(link.lastGapRatio)}});
        }
    }
}

void describeDataCenterChoices(const RelayContext &context, nlohmann::json &state)
{
    const TimePoint now = context.clock.now();
    for (const auto &[service, choice] : context.dataCenterChoices) {
        nlohmann::json &shown = state["dataCenterChoices"][service.value];
        shown["leavingShare"] = choice.leavingShare;
        shown["arrivalsPerSecond"] = choice.arrivalsPerSecond;
        shown["hearsNoPeers"] = hearsNoPeers(context);
        for (const auto &[dataCenter, allowance] : choice.allowances) {
            shown["leaving"][dataCenter] = {{"left", allowance.left}, {"leaves", allowance.leaves}};
        }
        for (const auto &[dataCenter, observed] : choice.observed) {
            shown["firstEvents"][dataCenter] = {{"averageMs", observed.delay.averageMs}, {"isCurrent", now - observed.observedAt < firstEventLifetime}};
        }
    }
    for (const auto &[service, link] : context.observedLinks) {
        state["linkRates"][service.value] = {{"factor", link.rateFactor}, {"gapRatio", link.lastGapRatio}};
    }
    for (const auto &[id, target] : context.fleet.targets) {
        if (prefillBacklogMs(target, now) > 0) {
            state["prefillBacklogMs"][id.value] = prefillBacklogMs(target, now);
        }
    }
}

} // namespace Parsleytrail
