#include "relay/stream_recovery.h"

#include "base/log.h"
#include "policy/prefill_forecast.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Parsleytrail
{

static bool passes(const Forwarding &forwarding, const TargetId &engine)
{
    const std::vector<ChainStage> *chain = forwarding.activity().chain;
    return chain && std::any_of(chain->begin(), chain->end(), [&engine](const ChainStage &stage) {
               return stage.id == engine;
           });
}

std::vector<ForwardingPtr> orderedStreamsOf(RelayContext &context, const std::vector<ForwardingPtr> &forwardings, const TargetId &lost)
{
    const TimePoint now = context.clock.now();
    std::vector<ForwardingPtr> affected;
    std::vector<LostStream> streams;
    for (const ForwardingPtr &forwarding : forwardings) {
        if (passes(*forwarding, lost)) {
            affected.push_back(forwarding);
            streams.push_back(forwarding->recoveryState(now).urgency);
        }
    }
    std::vector<ForwardingPtr> ordered;
    ordered.reserve(affected.size());
    for (const std::size_t index : recoveryOrder(streams)) {
        ordered.push_back(affected[index]);
    }
    const bool isNewLoss = !ordered.empty() && !context.lostEngines.losses.contains(lost);
    const bool hasPriorities = std::any_of(streams.begin(), streams.end(), [](const LostStream &stream) {
        return stream.hasPriorities;
    });
    if (isNewLoss) {
        const double multiplier = rememberedMultiplier(context.lostEngines, context.fleet, lost, now);
        if (hasPriorities) {
            logEvent(Event::EngineStreamsLost,
                     {{"target", lost.value}, {"streams", std::to_string(ordered.size())}, {"multiplier", std::to_string(multiplier)}});
        }
    }
    return ordered;
}

bool hasMoreUrgentStreams(const std::vector<ForwardingPtr> &forwardings, const ServiceName &service, int priority, TimePoint now)
{
    return std::any_of(forwardings.begin(), forwardings.end(), [&](const ForwardingPtr &forwarding) {
        const RecoveryState state = forwarding->recoveryState(now);
        return !forwarding->isOver() && state.service && state.service->name == service && state.urgency.priority < priority;
    });
}

static std::int64_t wholeMs(TimePoint::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

nlohmann::json recoveryDump(const RelayContext &context, const std::vector<ForwardingPtr> &forwardings, TimePoint now)
{
    const RelayMetrics &metrics = context.metrics;
    nlohmann::json dump = {{"moves", metrics.recoveryMoves},     {"restarts", metrics.recoveryRestarts},    {"giveWays", metrics.recoveryGiveWays},
                           {"retriesLeft", metrics.retriesLeft}, {"lostEngines", nlohmann::json::object()}, {"givingWay", nlohmann::json::array()}};
    for (const auto &[id, loss] : context.lostEngines.losses) {
        dump["lostEngines"][id.value] = {{"multiplier", loss.multiplier}, {"lostForMs", wholeMs(now - loss.lostAt)}};
    }
    for (const ForwardingPtr &forwarding : forwardings) {
        const RecoveryState state = forwarding->recoveryState(now);
        if (!forwarding->isOver() && state.givesWayUntil != TimePoint()) {
            dump["givingWay"].push_back({{"id", std::string(state.id)},
                                         {"priority", state.urgency.priority},
                                         {"msLeft", state.urgency.msLeft},
                                         {"givesWayForMs", wholeMs(state.givesWayUntil - now)}});
        }
    }
    return dump;
}

struct RecoveryQueue::Private {
    explicit Private(EventLoop &eventLoop)
        : loop(eventLoop)
    {
    }

    void run();

    EventLoop &loop;
    std::vector<LostStream> streams;
    std::vector<std::function<void()>> recoveries; ///< of the streams with the same index
};

RecoveryQueue::RecoveryQueue(EventLoop &loop)
    : d(std::make_shared<Private>(loop))
{
}

RecoveryQueue::~RecoveryQueue() = default;

void RecoveryQueue::add(const LostStream &stream, std::function<void()> recover)
{
    d->streams.push_back(stream);
    d->recoveries.push_back(std::move(recover));
    if (d->streams.size() == 1) {
        d->loop.defer([weak = std::weak_ptr(d)] {
            if (const auto self = weak.lock()) {
                self->run();
            }
        });
    }
}

void RecoveryQueue::Private::run()
{
    const std::vector<LostStream> batch = std::exchange(streams, {});
    const std::vector<std::function<void()>> work = std::exchange(recoveries, {});
    for (const std::size_t index : recoveryOrder(batch)) {
        work[index]();
    }
}

std::vector<ChainStage> addedStages(const StreamMove &move)
{
    std::vector<ChainStage> added;
    std::copy_if(move.chain.begin(), move.chain.end(), std::back_inserter(added), [&move](const ChainStage &stage) {
        return std::none_of(move.previous.begin(), move.previous.end(), [&stage](const ChainStage &old) {
            return old.id == stage.id && old.layers.contains(stage.layers);
        });
    });
    return added;
}

/// Time in ms in which the engine processes a moved stream's tokens through the layers of its stage.
static double prefillOfStage(const EngineModel &model, const Target &target, const ChainStage &stage, double tokens)
{
    const AcceleratorKind *kind = findKind(model, target.registered.accelerator);
    return kind ? prefillMs(model, *kind, tokens, stage.layers.count()) : 0;
}

double eventDelayOfMove(const RelayContext &context, const EngineModel &model, const StreamMove &move)
{
    const TimePoint now = context.clock.now();
    std::vector<StagePrefill> stages;
    for (const ChainStage &stage : addedStages(move)) {
        if (const Target *target = findTarget(context.fleet, stage.id)) {
            stages.push_back({prefillBacklogMs(*target, now), prefillOfStage(model, *target, stage, move.tokens)});
        }
    }
    return moveDelayMs(stages, move.multiplier) + context.averageEventGapMs;
}

void addPrefillOfMove(RelayContext &context, const EngineModel &model, const StreamMove &move)
{
    const TimePoint now = context.clock.now();
    for (const ChainStage &stage : addedStages(move)) {
        if (Target *target = findTarget(context.fleet, stage.id)) {
            addPrefill(*target, prefillOfStage(model, *target, stage, move.tokens) * move.multiplier, now);
        }
    }
}

double largestBacklogMs(const RelayContext &context, const std::vector<ChainStage> &stages)
{
    const TimePoint now = context.clock.now();
    double backlogMs = 0;
    for (const ChainStage &stage : stages) {
        const Target *target = findTarget(context.fleet, stage.id);
        backlogMs = std::max(backlogMs, target ? prefillBacklogMs(*target, now) : 0);
    }
    return backlogMs;
}

double eventDelayOfStart(const RelayContext &context, const std::vector<ChainStage> &chain)
{
    const bool isKnown = !chain.empty() && context.firstEventDelay.hasSamples;
    return isKnown ? context.firstEventDelay.averageMs + largestBacklogMs(context, chain) : unlimitedMs;
}

} // namespace Parsleytrail
