// Index: [SECTION] Encoding, [SECTION] Steps, [SECTION] Health, [SECTION] EngineClient
#include "sidecar/engine_client.h"

#include "base/digest.h"
#include "base/log.h"
#include "policy/progress.h"

#include <nlohmann/json.hpp>

#include <deque>

namespace Parsleytrail
{

using nlohmann::json;

constexpr std::size_t maxStepResponseBytes = 64u << 20;
constexpr std::uint32_t failuresUntilUnhealthy = 2; ///< failed status queries in a row
constexpr milliseconds minStepStallTimeout{250};    ///< a busy machine may delay an engine this long
constexpr milliseconds maxStepStallTimeout{5000};   ///< also applies before the first step was timed

// [SECTION] Encoding

static json encodeItem(const StepItem &item)
{
    json encoded = {{"stream", item.request.value}, {"position", item.input.position}, {"model", item.model.value},
                    {"version", item.version},      {"adapter", item.adapter},         {"priority", item.priority}};
    if (item.isReset) {
        encoded["reset"] = true;
    }
    if (item.input.withPrompt) {
        encoded["prompt"] = item.prompt;
    }
    if (item.promptLength > 0) {
        encoded["promptLength"] = item.promptLength;
    }
    encoded[item.isFirst ? "tokens" : "activations"] = item.input.values;
    return encoded;
}

/// Throws json::exception if a field is missing or has the wrong type.
static StepResult decodeItem(const json &item)
{
    StepResult result;
    if (item.contains("error")) {
        result.end = StepEnd::Refused;
        result.error = item["error"].get<std::string>();
        return result;
    }
    result.end = StepEnd::Done;
    result.promptLength = item.at("promptLength").get<std::uint32_t>();
    result.positions = item.at("positions").get<std::uint32_t>();
    if (item.contains("activations")) {
        result.activations = item["activations"].get<std::vector<std::uint64_t>>();
    }
    if (item.contains("tokens")) {
        for (const json &token : item["tokens"]) {
            const bool isEnd = token.at(2).get<bool>();
            result.tokens.push_back({token.at(0).get<std::uint32_t>(), token.at(1).get<std::string>(), isEnd ? FinishReason::Stop : FinishReason::None});
        }
    }
    return result;
}

// [SECTION] Steps

/// A queued item and its completion callback.
struct PendingItem {
    StepItem item;               ///< stream and positions to apply
    EngineClient::StepDone done; ///< called once with the result
};

struct EngineClient::Private {
    SidecarContext &context;
    std::deque<PendingItem> queue{};
    std::size_t inFlight = 0;
    bool isSendScheduled = false;
    bool isExclusiveInFlight = false; ///< the item in flight must be the only one at the engine
    std::uint64_t engineCrashes = 0;  ///< number of engine crashes detected by broken steps
    bool hasStepSinceCrash = true;    ///< a step succeeded after the last crash; broken steps with none succeeding in between belong to the same crash
    EngineState engineState{};
    std::uint32_t failedStatusQueries = 0;
    bool isRefreshing = false;
    TimeEstimate stepTime{};
    TimeEstimate itemTime{};       ///< duration of a step divided by the number of its streams
    std::size_t itemsInFlight = 0; ///< number of streams in all steps in flight
    TimePoint lastProgressAt{};    ///< when a step last succeeded, or was sent to the idle engine
    TimeHistogram &stepHistogram;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    bool canSend() const;
    std::uint64_t crashId();
    void scheduleSend();
    void send();
    void finish(std::vector<PendingItem> &items, const HttpResult &result, double seconds);
    void handleStatus(const HttpResult &result);
};

bool EngineClient::Private::canSend() const
{
    if (queue.empty() || isExclusiveInFlight) {
        return false;
    }
    return inFlight < (queue.front().item.isExclusive ? 1 : maxStepsInFlight);
}

/// Id of the engine crash that broke a step; counts a new crash if a step succeeded since the last one.
std::uint64_t EngineClient::Private::crashId()
{
    if (hasStepSinceCrash) {
        ++engineCrashes;
        hasStepSinceCrash = false;
    }
    return hash64(context.settings.id, context.incarnation.value + engineCrashes);
}

void EngineClient::Private::scheduleSend()
{
    if (isSendScheduled || !canSend()) {
        return;
    }
    isSendScheduled = true;
    // Deferred, so that items of other frames handled in this iteration of the loop join the same request.
    context.loop.defer([this, weak = std::weak_ptr(alive)] {
        if (!weak.expired()) {
            isSendScheduled = false;
            send();
        }
    });
}

void EngineClient::Private::send()
{
    if (!canSend()) {
        return;
    }
    std::vector<PendingItem> items;
    json encoded = json::array();
    const bool isExclusive = queue.front().item.isExclusive;
    while (!queue.empty() && items.size() < (isExclusive ? 1 : maxItemsInStep) && queue.front().item.isExclusive == isExclusive) {
        items.push_back(std::move(queue.front()));
        queue.pop_front();
        encoded.push_back(encodeItem(items.back().item));
    }
    isExclusiveInFlight = isExclusive;
    HttpClientRequest request;
    request.method = "POST";
    request.path = "/engine/v1/step";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = json{{"items", std::move(encoded)}}.dump(-1, ' ', false, json::error_handler_t::replace);
    request.timeout = context.settings.stepTimeout;
    request.maxBodyBytes = maxStepResponseBytes;
    const TimePoint started = context.clock.now();
    if (inFlight == 0) {
        lastProgressAt = started;
    }
    ++inFlight;
    itemsInFlight += items.size();
    const auto shared = std::make_shared<std::vector<PendingItem>>(std::move(items));
    context.client.fetch(context.targetAddress, std::move(request), [this, shared, started, weak = std::weak_ptr(alive)](const HttpResult &result) {
        if (weak.expired()) {
            return;
        }
        --inFlight;
        itemsInFlight -= shared->size();
        isExclusiveInFlight = false;
        const TimePoint now = context.clock.now();
        const double seconds = std::chrono::duration<double>(now - started).count();
        if (result.isOk()) {
            lastProgressAt = now;
            recordTime(stepTime, seconds);
            recordTime(itemTime, seconds / static_cast<double>(shared->size()));
            hasStepSinceCrash = true;
            stepHistogram.record(seconds);
        }
        scheduleSend();
        finish(*shared, result, seconds);
    });
    scheduleSend();
}

void EngineClient::Private::finish(std::vector<PendingItem> &items, const HttpResult &result, double seconds)
{
    StepResult failedStep;
    std::vector<StepResult> results;
    if (result.failure) {
        failedStep.end = result.failure->isTimeout ? StepEnd::TimedOut : StepEnd::Lost;
        failedStep.error = result.failure->error.toString();
        if (failedStep.end == StepEnd::Lost && result.failure->hasWritten) {
            failedStep.crash = crashId();
        }
    } else {
        const json response = json::parse(result.body, nullptr, false);
        failedStep.error = "malformed answer with status " + std::to_string(result.status);
        try {
            for (const json &item : response.at("items")) {
                results.push_back(decodeItem(item));
            }
        } catch (const json::exception &) {
            results.clear();
        }
    }
    if (results.size() != items.size()) {
        results.assign(items.size(), failedStep);
    }
    const auto share = static_cast<std::uint64_t>(seconds * 1e6 / static_cast<double>(std::max<std::size_t>(items.size(), 1)));
    for (std::size_t i = 0; i < items.size(); ++i) {
        results[i].acceleratorMicros = share;
        items[i].done(results[i]);
    }
}

// [SECTION] Health

void EngineClient::Private::handleStatus(const HttpResult &result)
{
    const json response = result.isOk() ? json::parse(result.body, nullptr, false) : json();
    if (!response.is_object()) {
        ++failedStatusQueries;
        if (failedStatusQueries >= failuresUntilUnhealthy && engineState.isHealthy) {
            engineState.isHealthy = false;
            logEvent(Event::TargetUnhealthy, {{"peer", context.targetAddress.toString()}});
        }
        return;
    }
    failedStatusQueries = 0;
    if (!engineState.isHealthy) {
        logEvent(Event::TargetHealthy, {{"peer", context.targetAddress.toString()}});
    }
    try {
        EngineState updated;
        updated.isHealthy = true;
        updated.model.value = response.value("model", "");
        updated.version = response.value("version", "");
        updated.adapters = response.value("adapters", std::vector<std::string>());
        updated.layerBegin = response.value("layerBegin", 0u);
        updated.layerEnd = response.value("layerEnd", 0u);
        updated.kvUsed = response.value("kvUsed", 0u);
        updated.kvCapacity = response.value("kvCapacity", 0u);
        engineState = std::move(updated);
    } catch (const json::exception &) {
        engineState.isHealthy = false;
    }
}

// [SECTION] EngineClient

EngineClient::EngineClient(SidecarContext &context)
    : d(new Private{.context = context,
                    .stepHistogram = context.metrics.histogram("parsley_engine_step_seconds", "Time of a request to the engine for one step.")})
{
}

EngineClient::~EngineClient() = default;

void EngineClient::submit(StepItem item, StepDone done)
{
    d->queue.push_back({std::move(item), std::move(done)});
    d->scheduleSend();
}

void EngineClient::cancel(const std::vector<RequestId> &requests)
{
    if (requests.empty()) {
        return;
    }
    json streams = json::array();
    for (const RequestId &request : requests) {
        streams.push_back(request.value);
    }
    HttpClientRequest request;
    request.method = "POST";
    request.path = "/engine/v1/cancel";
    request.body = json{{"streams", std::move(streams)}}.dump();
    // The response is ignored and a failed cancellation is not retried: the engine frees a stream that gets no more steps, and
    // resets one that is opened again.
    d->context.client.fetch(d->context.targetAddress, std::move(request), [](const HttpResult &) {});
}

void EngineClient::refresh(std::function<void()> changed)
{
    if (d->isRefreshing) {
        return;
    }
    d->isRefreshing = true;
    HttpClientRequest request;
    request.path = "/engine/v1/status";
    request.timeout = d->context.settings.stepTimeout;
    d->context.client.fetch(d->context.targetAddress, std::move(request),
                            [this, changed = std::move(changed), weak = std::weak_ptr(d->alive)](const HttpResult &result) {
                                if (weak.expired()) {
                                    return;
                                }
                                d->isRefreshing = false;
                                d->handleStatus(result);
                                changed();
                            });
}

const EngineState &EngineClient::engineState() const
{
    return d->engineState;
}

std::size_t EngineClient::queued() const
{
    return d->queue.size();
}

bool EngineClient::isMakingProgress() const
{
    // Steps take longer when more streams share them, e.g. after a burst. With a limit derived from earlier, smaller steps
    // alone, the engine would be classified as stuck exactly when it has the most work. So the limit grows with the number of streams
    // in flight.
    const milliseconds byStepTime = adaptiveTimeout(d->stepTime, minStepStallTimeout, maxStepStallTimeout);
    const auto items = static_cast<double>(d->itemsInFlight);
    const TimeEstimate itemsEstimate{d->itemTime.meanSeconds * items, d->itemTime.deviationSeconds * items};
    const milliseconds byItemCount = adaptiveTimeout(itemsEstimate, minStepStallTimeout, maxStepStallTimeout);
    return d->context.clock.now() - d->lastProgressAt < std::max(byStepTime, byItemCount);
}

std::uint32_t EngineClient::stepMicros() const
{
    return static_cast<std::uint32_t>(d->stepTime.meanSeconds * 1e6);
}

} // namespace Parsleytrail
