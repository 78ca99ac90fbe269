#include "tests/relay_system.h"

#include "base/text.h"
#include "http/client.h"
#include "stand-ins/registry_entry.h"
#include "tests/store_path.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>

namespace Parsleytrail::Test
{

using Json = nlohmann::json;

// [SECTION] RawCall

static bool parseHead(const RawCall &call, HttpHead &head)
{
    return parseResponseHead(call.received, 1 << 20, head) == ParseResult::Complete;
}

/// Body bytes received, and whether the body is complete.
static std::pair<std::string, bool> parseBody(const RawCall &call)
{
    HttpHead head;
    if (!parseHead(call, head)) {
        return {};
    }
    BodyPlan plan = planResponseBody(head, false);
    std::string body;
    readBody(plan.reader, std::string_view(call.received).substr(head.text.size()), body);
    const bool isEndedByClose = plan.reader.framing == BodyFraming::UntilClose && call.isClosed && !call.isReset;
    return {body, plan.reader.isComplete || isEndedByClose};
}

int RawCall::status() const
{
    HttpHead head;
    return parseHead(*this, head) ? head.status : 0;
}

std::string RawCall::field(std::string_view name) const
{
    HttpHead head;
    return parseHead(*this, head) ? std::string(head.find(name)) : std::string();
}

std::string RawCall::body() const
{
    return parseBody(*this).first;
}

bool RawCall::hasCompleteResponse() const
{
    return parseBody(*this).second;
}

std::vector<int> RawCall::eventIds() const
{
    std::vector<int> ids;
    const std::string text = body();
    std::string_view rest = text;
    StreamEvent event;
    while (parseEvent(rest, event) == ParseResult::Complete) {
        ids.push_back(static_cast<int>(event.id));
        rest = rest.substr(event.bytes.size());
    }
    return ids;
}

std::size_t countStatus(const std::vector<RawCallPtr> &calls, int status)
{
    return std::count_if(calls.begin(), calls.end(), [status](const RawCallPtr &call) {
        return call->status() == status;
    });
}

// [SECTION] RelaySystem

struct RunningRelay {
    RelaySettings settings;
    std::unique_ptr<StorePath> storePath; ///< null: it reaches the store directly
    std::unique_ptr<Relay> relay;
    int starts = 0;
};

struct RelaySystem::Private {
    explicit Private(RelaySystemOptions systemOptions)
        : options(std::move(systemOptions))
        , store(loop)
        , engines(loop, options.engineOptions)
        , client(loop)
    {
    }

    RelaySystemOptions options;
    EventLoop loop;
    SystemClock clock;
    std::unique_ptr<PlatformAdapter> adapter = makePlatformAdapter();
    StandIn::TableStore store;
    StandIn::ChainEngines engines;
    HttpClient client;
    std::vector<std::unique_ptr<StandIn::RawTarget>> targets;
    std::vector<std::unique_ptr<RunningRelay>> relays;
    std::map<std::string, Address> engineAddresses;
    std::map<std::string, int> heartbeats;
    std::map<std::string, TimePoint> crashedAt; ///< engines that are down, and since when
    std::vector<std::unique_ptr<Timer>> timers;
    Address storeAddress;
};

RelaySystem::RelaySystem(RelaySystemOptions options)
    : d(std::make_unique<Private>(std::move(options)))
{
    Error error;
    const bool isListening = runCatching(
        [this]() -> Result<void> {
            BOOST_LEAF_ASSIGN(d->storeAddress, d->store.listen({"127.0.0.1", 0}));
            return {};
        },
        error);
    BOOST_REQUIRE_MESSAGE(isListening, error.toString());
    configure(d->options.version);
    for (int i = 0; i < d->options.engines; ++i) {
        const std::string id = "engine-" + std::to_string(i);
        d->engineAddresses[id] = d->engines.add(id);
        registerEngine(id);
    }
    for (int i = 0; i < d->options.relays; ++i) {
        d->relays.push_back(std::make_unique<RunningRelay>());
        startRelay(d->relays.size() - 1);
    }
}

RelaySystem::~RelaySystem()
{
    d->relays.clear();
}

void RelaySystem::startRelay(std::size_t index)
{
    RunningRelay &running = *d->relays.at(index);
    RelaySettings &settings = running.settings;
    settings.id = "entry-" + std::to_string(index);
    settings.dataCenter = "dc-1";
    // All relays use the same peer port, as they do on separate instances: each has its own loopback address.
    settings.host = "127.0.0." + std::to_string(10 + index);
    settings.callerAddress = settings.host + ":0";
    settings.readinessAddress = settings.host + ":0";
    // Derived from the process id, so that concurrent test runs on this machine use different ports.
    constexpr int firstPort = 10000;
    constexpr int portsOfRun = 2; // a test may give one relay the next port
    constexpr int runs = 10000;
    settings.peerPort = firstPort + getpid() % runs * portsOfRun;
    settings.metricsPort = 0;
    settings.seeds = {"127.0.0.10:1"};
    if (d->options.hasStorePaths && !running.storePath) {
        running.storePath = std::make_unique<StorePath>(d->loop, d->storeAddress);
    }
    settings.store = (running.storePath ? running.storePath->address() : d->storeAddress).toString();
    settings.storeWatch = milliseconds(300);
    settings.stopTimeout = milliseconds(8000);
    if (d->options.tuneRelay) {
        d->options.tuneRelay(settings);
    }
    running.relay = std::make_unique<Relay>(d->loop, d->clock, *d->adapter, settings);
    Error error;
    const bool isStarted = runCatching(
        [&running] {
            return running.relay->start();
        },
        error);
    BOOST_REQUIRE_MESSAGE(isStarted, error.toString());
}

void RelaySystem::stopRelay(std::size_t index)
{
    d->relays.at(index)->relay.reset();
}

void RelaySystem::wait(const char *what, const std::function<bool()> &done)
{
    BOOST_REQUIRE_MESSAGE(d->loop.runUntil(done, milliseconds(60000)), "waited too long: " << what);
}

void RelaySystem::idle(milliseconds time)
{
    d->loop.runUntil(
        [] {
            return false;
        },
        time);
}

StandIn::RawTarget &RelaySystem::addTarget(const std::string &id, StandIn::RawTarget::Handler handler, StandIn::RawTargetOptions options)
{
    d->targets.push_back(std::make_unique<StandIn::RawTarget>(d->loop, std::move(handler), options));
    registerTarget(id, "shop", d->targets.back()->address());
    return *d->targets.back();
}

void RelaySystem::registerTarget(const std::string &id, const std::string &service, const Address &address, const std::string &state)
{
    RegisteredTarget target{{id}, {service}, address, "dc-1", state == "draining", d->options.slots, {}, {}, 1000};
    if (service == "chat") {
        target.accelerator = "small";
        target.layers = d->engines.layers(id);
    }
    d->store.put("servers", id, StandIn::registryEntry(target, ++d->heartbeats[id]));
}

void RelaySystem::registerEngine(const std::string &id, const std::string &state)
{
    registerTarget(id, "chat", d->engineAddresses.at(id), state);
}

void RelaySystem::unregister(const std::string &id)
{
    d->store.remove("servers", id);
}

void RelaySystem::superviseEngines(milliseconds downTime)
{
    constexpr milliseconds heartbeatInterval{100};
    d->timers.push_back(std::make_unique<Timer>(d->loop, [this, downTime] {
        writeEngineEntries(downTime);
    }));
    d->timers.back()->startRepeating(heartbeatInterval);
}

std::vector<std::string> RelaySystem::engineIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, address] : d->engineAddresses) {
        ids.push_back(id);
    }
    return ids;
}

void RelaySystem::writeEngineEntries(milliseconds downTime)
{
    const TimePoint now = d->clock.now();
    const std::map<std::string, Address> engines = d->engineAddresses;
    for (const auto &[id, address] : engines) {
        if (!d->engines.isCrashed(id)) {
            registerEngine(id);
            continue;
        }
        const TimePoint since = d->crashedAt.try_emplace(id, now).first->second;
        if (now - since < downTime) {
            continue;
        }
        unregister(id);
        d->engineAddresses.erase(id);
        const std::string successor = id + "+";
        d->engineAddresses[successor] = d->engines.add(successor);
        registerEngine(successor);
    }
}

void RelaySystem::configure(int version, const std::vector<std::string> &keys)
{
    const int layers = d->options.engineOptions.layers;
    const auto route = [this](const char *name, const char *prefix, const char *kind, const char *service, int attempts) {
        return Json{{"name", name},
                    {"host", "host.example"},
                    {"prefix", prefix},
                    {"kind", kind},
                    {"timeoutMs", d->options.callTimeout.count()},
                    {"targetLatencyMs", 300},
                    {"priority", 1},
                    {"service", service},
                    {"maxAttempts", attempts},
                    {"public", false}};
    };
    Json stream = route("r-chat", "/chat/", "streaming", "chat", 2);
    stream["resumable"] = true;
    stream["timeoutMs"] = 20000;
    Json batch = stream;
    if (d->options.hasPriorities) {
        stream["targetGapMs"] = 250;
        batch = stream;
        batch["name"] = "r-batch";
        batch["prefix"] = "/batch/";
        batch["priority"] = 7;
    }
    Json unresumable = route("r-talk", "/talk/", "streaming", "chat", 2);
    unresumable["timeoutMs"] = 20000;
    unresumable["priority"] = d->options.talkPriority;
    for (Json *chat : {&stream, &unresumable}) {
        (*chat)["targetLatencyMs"] = d->options.streamTarget.count();
    }
    const Json feed = route("r-feed", "/feed/", "streaming", "shop", 2);
    Json open = route("r-open", "/open/", "idempotent", "shop", 2);
    open["public"] = true;
    // Large enough that only a single copy of the model leaves memory for 192 streams: the loss of an engine leaves a coverage gap.
    constexpr int kvTokenBytes = 45000;
    Json engine = {{"batchSlots", 192},
                   {"kvTokenBytes", kvTokenBytes},
                   {"stride", 1},
                   {"models", Json::array({{{"name", "m"}, {"loadS", 1.0}}})},
                   {"step_ms", 1.0},
                   {"per_seq_ms", 0.001},
                   {"read_per_s", d->options.prefillTokensPerMs * 1000},
                   {"loads_at_once", 6},
                   {"usual", {{"prompt", 100}, {"answer", 20}}},
                   {"layers", layers},
                   {"layerMb", 100.0},
                   {"kinds", Json::array({{{"name", "small"}, {"mb", 640.0}, {"pace", 1.0}, {"readX", 1.0}}})}};
    Json routes = Json::array(
        {route("r-book", "/book/", "non_idempotent", "shop", 1), route("r-read", "/read/", "idempotent", "shop", 2), stream, unresumable, feed, open});
    if (d->options.hasPriorities) {
        routes.push_back(batch);
        engine["chunk"] = 512;
    }
    const Json configuration = {
        {"version", version},
        {"routes", routes},
        {"services", Json::array({{{"name", "shop"}, {"healthPath", "/health"}, {"maxConnections", 100}},
                                  {{"name", "chat"}, {"healthPath", "/health"}, {"maxConnections", 100}, {"engine", engine}}})},
        {"limits", {{"maxHeaderBytes", 4096}, {"maxBodyBytes", d->options.maxBodyBytes}, {"headerTimeoutMs", 400}, {"idleTimeoutMs", 3000}}},
        {"tenants", Json::array({{{"name", "studio"}, {"apiKeys", keys}}})}};
    d->store.put("op", "config", configuration.dump());
}

bool RelaySystem::isReady(std::size_t relay)
{
    return d->relays.at(relay)->relay->isReady();
}

void RelaySystem::waitReady()
{
    wait("all relays ready", [this] {
        for (std::size_t i = 0; i < d->relays.size(); ++i) {
            if (!isReady(i)) {
                return false;
            }
        }
        return true;
    });
}

void RelaySystem::waitState(const std::string &text)
{
    wait(text.c_str(), [this, &text] {
        return relay().dumpState().find(text) != std::string::npos;
    });
}

void RelaySystem::waitPlaced()
{
    wait("layers placed", [this] {
        std::vector<int> copies(d->options.engineOptions.layers, 0);
        for (const auto &[id, address] : d->engineAddresses) {
            const LayerRange layers = d->engines.layers(id);
            for (int layer = layers.from; layer < layers.to; ++layer) {
                ++copies[layer];
            }
        }
        return std::find(copies.begin(), copies.end(), 0) == copies.end();
    });
    for (const auto &[id, address] : d->engineAddresses) {
        registerEngine(id);
    }
    wait("layers known to all relays", [this] {
        return std::all_of(d->relays.begin(), d->relays.end(), [this](const std::unique_ptr<RunningRelay> &running) {
            return !running->relay || hasReceivedLayers(*running->relay);
        });
    });
}

/// Whether a relay has received the layers that each engine holds.
bool RelaySystem::hasReceivedLayers(const Relay &relay) const
{
    const Json state = Json::parse(relay.dumpState());
    return std::all_of(d->engineAddresses.begin(), d->engineAddresses.end(), [&](const auto &engine) {
        const LayerRange held = d->engines.layers(engine.first);
        const Json known = state.value("targets", Json::object()).value(engine.first, Json::object());
        return known.value("layers", Json::array()) == Json({held.from, held.to});
    });
}

RawCallPtr RelaySystem::send(const std::string &bytes, std::size_t relay)
{
    auto call = std::make_shared<RawCall>();
    const RunningRelay &running = *d->relays.at(relay);
    call->connection = Connection::connect(d->loop, {running.settings.host, running.relay->callerPort()}, milliseconds(5000));
    Connection::Handlers handlers;
    handlers.onInput = [raw = call.get()] {
        raw->received += raw->connection->input();
        raw->connection->input().clear();
    };
    handlers.onEnd = [raw = call.get()](ConnectionEnd end) {
        raw->isClosed = true;
        raw->isReset = end == ConnectionEnd::Reset;
    };
    call->connection->setHandlers(std::move(handlers));
    call->connection->write(bytes);
    return call;
}

std::string RelaySystem::request(const std::string &method, const std::string &path, const std::string &id, const std::string &body,
                                 const std::string &extraFields) const
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: " + id
                       + "\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token key-1\r\n" + extraFields;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

RawCallPtr RelaySystem::call(const std::string &method, const std::string &path, const std::string &id, const std::string &body, const std::string &extraFields)
{
    return send(request(method, path, id, body, extraFields));
}

RawCallPtr RelaySystem::stream(const std::string &id, const std::string &extraFields)
{
    return call("POST", "/chat/x", id, "question", "X-Model: m\r\nX-Token-Usage: 100,20\r\n" + extraFields);
}

RawCallPtr RelaySystem::lessUrgentStream(const std::string &id, const std::string &extraFields)
{
    return call("POST", "/batch/x", id, "question", "X-Model: m\r\nX-Token-Usage: 100,20\r\n" + extraFields);
}

RawCallPtr RelaySystem::sizedStream(const std::string &path, const std::string &id, int promptTokens, const std::string &extraFields)
{
    return call("POST", path, id, "question", "X-Model: m\r\nX-Token-Usage: " + std::to_string(promptTokens) + ",20\r\n" + extraFields);
}

RawCallPtr RelaySystem::unresumableStream(const std::string &id, const std::string &httpVersion)
{
    std::string text = request("POST", "/talk/x", id, "question", "X-Model: m\r\nX-Token-Usage: 100,20\r\n");
    text.replace(text.find("HTTP/1.1"), 8, httpVersion);
    return send(text);
}

std::vector<RawCallPtr> RelaySystem::startRepeatedly(milliseconds interval, milliseconds time, const std::function<RawCallPtr(std::size_t)> &start)
{
    std::vector<RawCallPtr> calls;
    Timer timer(d->loop, [&] {
        calls.push_back(start(calls.size()));
    });
    timer.startRepeating(interval);
    idle(time);
    timer.stop();
    wait("answers", [&] {
        return std::all_of(calls.begin(), calls.end(), [](const RawCallPtr &call) {
            return call->hasCompleteResponse();
        });
    });
    return calls;
}

EventLoop &RelaySystem::loop()
{
    return d->loop;
}

void RelaySystem::cutStore(std::size_t relay)
{
    d->relays.at(relay)->storePath->cut();
}

void RelaySystem::healStore(std::size_t relay)
{
    d->relays.at(relay)->storePath->heal();
}

StandIn::TableStore &RelaySystem::store()
{
    return d->store;
}

StandIn::ChainEngines &RelaySystem::engines()
{
    return d->engines;
}

Relay &RelaySystem::relay(std::size_t index)
{
    return *d->relays.at(index)->relay;
}

} // namespace Parsleytrail::Test
