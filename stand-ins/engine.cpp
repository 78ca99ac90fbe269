// Index: [SECTION] State, [SECTION] Steps, [SECTION] Orders and state, [SECTION] Faults, [SECTION] Engine
#include "stand-ins/engine.h"

#include "base/digest.h"
#include "http/server.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

namespace Parsleytrail::StandIn
{

using nlohmann::json;

// [SECTION] State

namespace
{

/// A step request that is queued or runs.
struct PendingStep {
    ExchangePtr exchange; ///< receives the response
    json items;           ///< items of the request, as received
};

/// A change of the prefix cache.
struct CacheEvent {
    std::uint64_t sequence = 0; ///< increases by one per event
    std::uint64_t prefix = 0;   ///< hash of the prompt
    bool isStored = true;       ///< stored; false: evicted
};

json errorItem(const std::string &stream, const char *text)
{
    return {{"stream", stream}, {"error", text}};
}

} // namespace

struct Engine::Private {
    EventLoop &loop;
    EngineOptions options;
    SystemClock clock;
    std::unique_ptr<HttpServer> server;
    Timer stepTimer;
    std::deque<PendingStep> queuedSteps;
    std::vector<PendingStep> runningSteps;
    std::vector<json> runningResults; ///< results of runningSteps, in the same order
    std::unordered_map<std::string, LayerState> streams;
    std::list<std::uint64_t> prefixes; ///< hashes of cached prompts, most recently used first
    std::deque<CacheEvent> events;
    std::uint64_t eventSequence = 0;
    std::uint64_t fencingFloor = 0; ///< highest fencing number received
    std::vector<StepRecord> records;
    bool isRecording = false;
    std::uint64_t positionsApplied = 0;
    std::uint32_t kvUsed = 0; ///< positions of all streams
    std::string crashText;    ///< see Engine::crashOn; empty: none
    bool isHanging = false;
    double slowdownFactor = 1;
    bool isDead = false;
    json lastReport = json::object();                           ///< load as last reported
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< deferred work checks that it has not expired
    TimePoint lastReportAt{};

    Private(EventLoop &eventLoop, EngineOptions engineOptions)
        : loop(eventLoop)
        , options(std::move(engineOptions))
        , stepTimer(eventLoop, [this] {
            finishStep();
        })
    {
    }

    void handle(const ExchangePtr &exchange);
    void startStep();
    void finishStep();
    json runItem(const json &item, std::uint32_t &positions);
    json applyItem(LayerState &state, const json &item, const Weights &weights, std::vector<std::uint64_t> inputs, std::uint32_t promptLength,
                   std::uint32_t &positions);
    bool cachePrefix(const std::string &prompt);
    void dropStream(const std::string &stream);
    void handleOrder(const ExchangePtr &exchange, const json &body);
    void exportState(const ExchangePtr &exchange);
    void importState(const ExchangePtr &exchange, const json &body);
    void reportStatus(const ExchangePtr &exchange);
    void setFaults(const ExchangePtr &exchange, const json &body);
    void die();
};

static void answer(const ExchangePtr &exchange, int status, const json &body)
{
    exchange->reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

// [SECTION] Steps

void Engine::Private::startStep()
{
    if (!runningSteps.empty() || queuedSteps.empty() || isDead) {
        return;
    }
    std::uint32_t items = 0;
    std::uint32_t positions = 0;
    while (!queuedSteps.empty() && items < options.maxBatch) {
        runningSteps.push_back(std::move(queuedSteps.front()));
        queuedSteps.pop_front();
        json results = json::array();
        for (const json &item : runningSteps.back().items) {
            const bool containsCrashText = !crashText.empty() && item.value("prompt", "").find(crashText) != std::string::npos;
            if (containsCrashText) {
                return die();
            }
            results.push_back(runItem(item, positions));
            ++items;
        }
        runningResults.push_back(std::move(results));
    }
    const double layers = options.layerEnd - options.layerBegin;
    const double micros = static_cast<double>(options.fixedStepTime.count()) + positions * layers * options.microsPerPositionLayer;
    stepTimer.start(microseconds(static_cast<std::int64_t>(micros * slowdownFactor)));
}

void Engine::Private::finishStep()
{
    if (isHanging) {
        return;
    }
    std::vector<PendingStep> done;
    done.swap(runningSteps);
    std::vector<json> results;
    results.swap(runningResults);
    for (std::size_t i = 0; i < done.size(); ++i) {
        answer(done[i].exchange, 200, {{"items", std::move(results[i])}});
    }
    startStep();
}

void Engine::Private::dropStream(const std::string &stream)
{
    const auto it = streams.find(stream);
    if (it != streams.end()) {
        kvUsed -= it->second.positions;
        streams.erase(it);
    }
}

/// Makes the prompt the most recent one in the prefix cache; returns whether it was in it before.
bool Engine::Private::cachePrefix(const std::string &prompt)
{
    const std::uint64_t hash = hash64(prompt);
    for (auto it = prefixes.begin(); it != prefixes.end(); ++it) {
        if (*it == hash) {
            prefixes.splice(prefixes.begin(), prefixes, it);
            return true;
        }
    }
    prefixes.push_front(hash);
    events.push_back({++eventSequence, hash, true});
    if (prefixes.size() > options.prefixCapacity) {
        events.push_back({++eventSequence, prefixes.back(), false});
        prefixes.pop_back();
    }
    while (events.size() > options.prefixCapacity) {
        events.pop_front(); // readers that poll too rarely miss these
    }
    return false;
}

/// Runs one item of a step; returns its result and adds the positions that cost time to `positions`.
json Engine::Private::runItem(const json &item, std::uint32_t &positions)
{
    const std::string stream = item.value("stream", "");
    const Weights weights{item.value("model", ""), item.value("version", ""), item.value("adapter", "")};
    if (weights.model != options.weights.model || weights.version != options.weights.version) {
        return errorItem(stream, "model not loaded");
    }
    if (item.value("reset", false)) {
        dropStream(stream);
        streams[stream] = makeLayers(options.layerBegin, options.layerEnd);
    }
    const auto state = streams.find(stream);
    if (state == streams.end()) {
        return errorItem(stream, "unknown stream");
    }
    const std::uint32_t position = item.value("position", 0u);
    if (position != state->second.positions) {
        return errorItem(stream, "wrong position");
    }
    std::vector<std::uint64_t> inputs;
    std::uint32_t promptLength = item.value("promptLength", 0u);
    std::uint32_t cachedPositions = 0;
    if (item.contains("prompt")) {
        const auto &prompt = item["prompt"].get_ref<const std::string &>();
        for (const std::uint32_t token : tokenize(prompt)) {
            inputs.push_back(embed(token, position + static_cast<std::uint32_t>(inputs.size())));
        }
        promptLength = static_cast<std::uint32_t>(inputs.size());
        cachedPositions = cachePrefix(prompt) ? promptLength : 0;
    }
    if (item.contains("tokens")) {
        for (const std::uint32_t token : item["tokens"].get<std::vector<std::uint32_t>>()) {
            inputs.push_back(embed(token, position + static_cast<std::uint32_t>(inputs.size())));
        }
    }
    if (item.contains("activations")) {
        inputs = item["activations"].get<std::vector<std::uint64_t>>();
    }
    if (kvUsed + inputs.size() > options.kvCapacity) {
        return errorItem(stream, "KV cache full");
    }
    const auto all = static_cast<std::uint32_t>(inputs.size());
    json result = applyItem(state->second, item, weights, std::move(inputs), promptLength, positions);
    positions -= std::min(cachedPositions, all);
    return result;
}

json Engine::Private::applyItem(LayerState &state, const json &item, const Weights &weights, std::vector<std::uint64_t> inputs, std::uint32_t promptLength,
                                std::uint32_t &positions)
{
    const std::string stream = item.value("stream", "");
    const std::uint32_t first = state.positions;
    const bool producesTokens = options.layerEnd == options.modelLayers;
    json tokens = json::array();
    for (std::uint64_t &activation : inputs) {
        activation = applyLayers(state, weights, activation);
        if (producesTokens && state.positions >= promptLength) {
            const GeneratedToken token = pickToken(activation);
            tokens.push_back({token.token, token.text, token.isEnd});
        }
    }
    const auto count = static_cast<std::uint32_t>(inputs.size());
    positions += count;
    positionsApplied += count;
    kvUsed += count;
    if (isRecording) {
        records.push_back({options.id, stream, options.layerBegin, options.layerEnd, first, count});
    }
    json result = {{"stream", stream}, {"promptLength", promptLength}, {"positions", count}};
    if (producesTokens) {
        result["tokens"] = std::move(tokens);
    } else {
        result["activations"] = std::move(inputs);
    }
    return result;
}

// [SECTION] Orders and state

void Engine::Private::handleOrder(const ExchangePtr &exchange, const json &body)
{
    const std::uint64_t fencing = body.value("fencing", std::uint64_t{0});
    if (options.checksFencing && fencing < fencingFloor) {
        return answer(exchange, 409, {{"error", "old fencing number"}, {"floor", fencingFloor}});
    }
    fencingFloor = std::max(fencingFloor, fencing);
    const std::string action = body.value("action", "");
    if (action == "load") {
        options.weights.model = body.value("model", options.weights.model);
        options.weights.version = body.value("version", options.weights.version);
        options.adapters = body.value("adapters", options.adapters);
        options.layerBegin = body.value("layerBegin", options.layerBegin);
        options.layerEnd = body.value("layerEnd", options.layerEnd);
    } else if (action == "unload") {
        options.weights = {};
    } else if (action != "role") {
        return answer(exchange, 400, {{"error", "unknown action"}});
    }
    if (action != "role") {
        streams.clear();
        kvUsed = 0;
    }
    answer(exchange, 200, json::object());
}

void Engine::Private::exportState(const ExchangePtr &exchange)
{
    const std::string stream = queryParameter(exchange->request().query, "stream").value_or("");
    const auto state = streams.find(stream);
    if (state == streams.end()) {
        return answer(exchange, 404, {{"error", "unknown stream"}});
    }
    answer(exchange, 200, {{"stream", stream}, {"begin", state->second.begin}, {"positions", state->second.positions}, {"digests", state->second.digests}});
}

void Engine::Private::importState(const ExchangePtr &exchange, const json &body)
{
    LayerState state{body.value("begin", 0u), body.value("positions", 0u), body.value("digests", std::vector<std::uint64_t>())};
    if (state.begin != options.layerBegin || state.digests.size() != options.layerEnd - options.layerBegin) {
        return answer(exchange, 409, {{"error", "other layers"}});
    }
    const std::string stream = body.value("stream", "");
    dropStream(stream);
    kvUsed += state.positions;
    streams[stream] = std::move(state);
    answer(exchange, 200, json::object());
}

void Engine::Private::reportStatus(const ExchangePtr &exchange)
{
    const TimePoint now = clock.now();
    if (lastReportAt == TimePoint{} || now - lastReportAt >= options.reportLag) {
        lastReportAt = now;
        lastReport = {{"streams", streams.size()},        {"waiting", queuedSteps.size()},    {"kvUsed", kvUsed},
                      {"kvCapacity", options.kvCapacity}, {"model", options.weights.model},   {"version", options.weights.version},
                      {"adapters", options.adapters},     {"layerBegin", options.layerBegin}, {"layerEnd", options.layerEnd}};
    }
    answer(exchange, 200, lastReport);
}

// [SECTION] Faults

void Engine::Private::die()
{
    isDead = true;
    stepTimer.stop();
    // This may run in a handler of the server, which can't be destroyed before the handler returns.
    loop.defer([this, weak = std::weak_ptr(alive)] {
        if (weak.expired()) {
            return;
        }
        server.reset();
        queuedSteps.clear();
        runningSteps.clear();
        runningResults.clear();
        streams.clear();
        kvUsed = 0;
    });
}

void Engine::Private::setFaults(const ExchangePtr &exchange, const json &body)
{
    crashText = body.value("crash-on", crashText);
    slowdownFactor = body.value("slow", slowdownFactor);
    const bool wasHanging = isHanging;
    isHanging = body.value("hang", isHanging);
    if (wasHanging && !isHanging && !runningSteps.empty()) {
        finishStep();
    }
    answer(exchange, 200, json::object());
    if (body.value("die", false)) {
        die();
    }
}

void Engine::Private::handle(const ExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const bool hasBody = request.method == "POST" || request.method == "PUT";
    const json body = hasBody ? json::parse(request.body, nullptr, false) : json::object();
    if (!body.is_object()) {
        return answer(exchange, 400, {{"error", "malformed JSON"}});
    }
    try {
        if (request.path == "/engine/v1/step" && hasBody) {
            queuedSteps.push_back({exchange, body.value("items", json::array())});
            return startStep();
        }
        if (request.path == "/engine/v1/cancel" && hasBody) {
            for (const std::string &stream : body.value("streams", std::vector<std::string>())) {
                dropStream(stream);
            }
            return answer(exchange, 200, json::object());
        }
        if (request.path == "/engine/v1/orders" && hasBody) {
            return handleOrder(exchange, body);
        }
        if (request.path == "/engine/v1/faults" && hasBody) {
            return setFaults(exchange, body);
        }
        if (request.path == "/engine/v1/kv") {
            return hasBody ? importState(exchange, body) : exportState(exchange);
        }
        if (request.path == "/engine/v1/status") {
            return reportStatus(exchange);
        }
        if (request.path == "/engine/v1/events") {
            const std::string since = queryParameter(request.query, "since").value_or("0");
            json list = json::array();
            for (const CacheEvent &event : events) {
                if (event.sequence > std::strtoull(since.c_str(), nullptr, 10)) {
                    list.push_back({{"sequence", event.sequence}, {"prefix", event.prefix}, {"stored", event.isStored}});
                }
            }
            return answer(exchange, 200, {{"events", list}});
        }
        answer(exchange, 404, {{"error", "no such path"}});
    } catch (const json::exception &error) {
        answer(exchange, 400, {{"error", error.what()}});
    }
}

// [SECTION] Engine

Engine::Engine(EventLoop &loop, EngineOptions options)
    : d(std::make_unique<Private>(loop, std::move(options)))
{
}

Engine::~Engine() = default;

Result<Address> Engine::listen(const Address &address)
{
    HttpLimits limits;
    limits.maxBodyBytes = 64u << 20;
    d->server = std::make_unique<HttpServer>(d->loop, limits, [this](const ExchangePtr &exchange) {
        d->handle(exchange);
    });
    return d->server->listen(address);
}

const std::vector<StepRecord> &Engine::records() const
{
    return d->records;
}

void Engine::recordSteps(bool isOn)
{
    d->isRecording = isOn;
}

std::uint64_t Engine::positionsApplied() const
{
    return d->positionsApplied;
}

std::size_t Engine::openStreams() const
{
    return d->streams.size();
}

bool Engine::isDead() const
{
    return d->isDead;
}

void Engine::crashOn(std::string text)
{
    d->crashText = std::move(text);
}

void Engine::setHanging(bool isHanging)
{
    d->isHanging = isHanging;
    if (!isHanging && !d->runningSteps.empty() && !d->stepTimer.isRunning()) {
        d->finishStep();
    }
}

void Engine::setSlowdownFactor(double factor)
{
    d->slowdownFactor = factor;
}

void Engine::die()
{
    d->die();
}

} // namespace Parsleytrail::StandIn
