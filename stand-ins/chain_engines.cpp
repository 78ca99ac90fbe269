// Index: [SECTION] State, [SECTION] Streams, [SECTION] Orders and reports, [SECTION] ChainEngines
#include "stand-ins/chain_engines.h"

#include "base/text.h"
#include "http/http_message.h"
#include "relay/connection.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace Parsleytrail::StandIn
{

using Json = nlohmann::json;

// [SECTION] State

/// One stage of a chain: an engine's address and the layers that it applies.
struct EngineStage {
    std::string address;
    LayerRange layers;
};

struct ChainEngine;

/// A stream, owned by the first engine of its chain.
struct EngineStream {
    ChainEngine *engine = nullptr;
    ConnectionPtr connection;
    std::string id;
    std::vector<EngineStage> chain;
    int next = 1;               ///< id of the next event to send
    bool crashesEngine = false; ///< its prompt has a part that crashes engines
    std::unique_ptr<Timer> eventTimer;
    TimePoint resumesAt{};         ///< when the engines have processed its tokens after a move
    TimePoint stalledAt{};         ///< when it began to stall; the epoch if it makes progress
    std::string unavailableEngine; ///< address of the first unavailable engine; empty if none
};

/// An engine and the faults injected into it.
struct ChainEngine {
    std::string id;
    std::string address; ///< as chains identify it, HOST:PORT
    std::unique_ptr<Listener> listener;
    std::set<ConnectionPtr> connections;
    LayerRange layers;
    LayerRange loadingLayers; ///< layers of the order being executed
    std::unique_ptr<Timer> loadTimer;
    std::uint64_t orderCount = 0; ///< placement orders accepted
    bool isBusy = false;          ///< loads a layer range
    TimePoint prefillUntil{};     ///< processes the tokens of moved streams until then
    bool isUnresponsive = false;
    bool isDead = false;
    bool refusesNewStreams = false;
    bool ignoresNewStreams = false;
    bool ignoresMoves = false;
    bool endsStreamsWithoutEvents = false;
    bool saysLeaving = false;
    double namedLimit = 0;  ///< requests a second; zero: none
    std::string retryAfter; ///< refuses new streams with this Retry-After; empty: takes them
    std::vector<TimePoint> pauseRequests;
    std::vector<TimePoint> streamStarts;
    bool isAlive() const
    {
        return !isUnresponsive && !isDead;
    }
};

struct ChainEngines::Private {
    Private(EventLoop &eventLoop, ChainEnginesOptions engineOptions)
        : loop(eventLoop)
        , options(engineOptions)
    {
    }

    EventLoop &loop;
    ChainEnginesOptions options;
    std::map<std::string, std::unique_ptr<ChainEngine>> engines;
    std::set<std::shared_ptr<EngineStream>> streams;
    std::set<ConnectionPtr> closing; ///< closed by an engine, with bytes that may still have to be sent
    std::string crashingPart;        ///< part of a prompt that crashes engines; empty: none
    std::vector<TimePoint> arrivalsOfCrashingPart;
    std::vector<std::string> movedIds;
    std::vector<std::string> startedIds;
    std::map<std::string, std::string> priorities; ///< by request
    std::vector<TimePoint> crashesByPromptPart;
    TimePoint eventsHeldUntil{};
    bool dropsOrderResponses = false;
    int startedStreams = 0;
    int movedStreams = 0;
    int ignoredStreams = 0;
    int ignoredMoves = 0;
    int acceptedPlacements = 0;
    int refusedPlacements = 0;
    int invalidChains = 0;

    ChainEngine *engineAt(const std::string &address);
    std::vector<EngineStage> parseChain(std::string_view text);
    bool coversAllLayers(const std::vector<EngineStage> &chain) const;
    std::string findUnavailableEngine(const std::vector<EngineStage> &chain);
    void handleInput(ChainEngine &engine, const ConnectionPtr &connection);
    void answer(const ConnectionPtr &connection, int status, const std::string &body, const std::string &fields = {});
    void beginStream(ChainEngine &engine, const ConnectionPtr &connection, const HttpHead &head);
    bool hasCrashingPart(const HttpHead &head) const;
    void crash(ChainEngine &engine);
    void sendEvent(const std::shared_ptr<EngineStream> &stream);
    void sendPart(const EngineStream &stream, std::string_view bytes);
    void endStream(const std::shared_ptr<EngineStream> &stream);
    void closeConnection(const ConnectionPtr &connection);
    void order(ChainEngine &engine, const ConnectionPtr &connection, const Json &body);
    void place(ChainEngine &engine, const ConnectionPtr &connection, const Json &body);
    void move(ChainEngine &engine, const ConnectionPtr &connection, const Json &body);
    void prefillMoved(EngineStream &stream, const std::vector<EngineStage> &chain);
    void report(ChainEngine &engine, const ConnectionPtr &connection);
    void dropStreams(const ConnectionPtr &connection);
};

ChainEngine *ChainEngines::Private::engineAt(const std::string &address)
{
    for (auto &[id, engine] : engines) {
        if (engine->address == address) {
            return engine.get();
        }
    }
    return nullptr;
}

/// Parses "HOST:PORT=FROM-TO,...".
std::vector<EngineStage> ChainEngines::Private::parseChain(std::string_view text)
{
    std::vector<EngineStage> chain;
    for (const std::string &word : splitList(text, ',')) {
        const std::size_t equals = word.find('=');
        const std::size_t dash = word.find('-', equals);
        EngineStage stage;
        stage.address = word.substr(0, equals);
        parseNumber(std::string_view(word).substr(equals + 1, dash - equals - 1), stage.layers.from);
        parseNumber(std::string_view(word).substr(dash + 1), stage.layers.to);
        chain.push_back(stage);
    }
    return chain;
}

bool ChainEngines::Private::coversAllLayers(const std::vector<EngineStage> &chain) const
{
    int next = 0;
    for (const EngineStage &stage : chain) {
        if (stage.layers.from != next || stage.layers.count() <= 0) {
            return false;
        }
        next = stage.layers.to;
    }
    return next == options.layers;
}

/// Address of the first engine of the chain that doesn't respond or doesn't hold its layers; empty if all can serve.
std::string ChainEngines::Private::findUnavailableEngine(const std::vector<EngineStage> &chain)
{
    for (const EngineStage &stage : chain) {
        const ChainEngine *engine = engineAt(stage.address);
        if (!engine || !engine->isAlive() || !engine->layers.contains(stage.layers)) {
            return stage.address;
        }
    }
    return {};
}

// [SECTION] Streams

void ChainEngines::Private::answer(const ConnectionPtr &connection, int status, const std::string &body, const std::string &fields)
{
    connection->write(absl::StrCat("HTTP/1.1 ", status, " Status\r\nContent-Length: ", body.size(), "\r\n", fields, "\r\n", body));
}

void ChainEngines::Private::beginStream(ChainEngine &engine, const ConnectionPtr &connection, const HttpHead &head)
{
    auto stream = std::make_shared<EngineStream>();
    stream->engine = &engine;
    stream->crashesEngine = hasCrashingPart(head);
    if (stream->crashesEngine) {
        arrivalsOfCrashingPart.push_back(std::chrono::steady_clock::now());
    }
    stream->connection = connection;
    stream->id = std::string(head.find("X-Attempt-Id"));
    stream->chain = parseChain(head.find("X-Hop-Count"));
    std::string unavailable = findUnavailableEngine(stream->chain);
    for (const EngineStage &stage : stream->chain) {
        unavailable = unavailable.empty() && engineAt(stage.address)->refusesNewStreams ? stage.address : unavailable;
    }
    if (!unavailable.empty()) {
        return answer(connection, 503, {}, "X-Not-Executed: 1\r\nAt-Server: " + unavailable + "\r\n");
    }
    if (!engine.retryAfter.empty()) {
        engine.pauseRequests.push_back(std::chrono::steady_clock::now());
        return answer(connection, 503, {}, "X-Not-Executed: 1\r\nRetry-After: " + engine.retryAfter + "\r\n");
    }
    invalidChains += coversAllLayers(stream->chain) ? 0 : 1;
    if (engine.ignoresNewStreams) {
        ++ignoredStreams;
        return;
    }
    int last = 0;
    parseNumber(head.find("Last-Event-Id"), last);
    stream->next = last + 1;
    ++startedStreams;
    startedIds.push_back(stream->id);
    priorities[stream->id] = std::string(head.find("X-Request-Priority"));
    engine.streamStarts.push_back(std::chrono::steady_clock::now());
    std::string statements = engine.namedLimit > 0 ? absl::StrCat("\r\nServer-Limit: ", engine.namedLimit) : std::string();
    statements += engine.saysLeaving ? "\r\nServer-Leaving: 1" : "";
    const std::string framing = options.framing == StreamFraming::Chunked ? "\r\nTransfer-Encoding: chunked" : "\r\nConnection: close";
    connection->write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + stream->id + "\r\nX-Response-Seal: seal-" + engine.id + statements
                      + "\r\nContent-Type: text/event-stream" + framing + "\r\n\r\n");
    if (engine.endsStreamsWithoutEvents) {
        return endStream(stream);
    }
    stream->eventTimer = std::make_unique<Timer>(loop, [this, weak = std::weak_ptr(stream)] {
        if (const auto self = weak.lock()) {
            sendEvent(self);
        }
    });
    stream->eventTimer->startRepeating(options.eventInterval);
    streams.insert(stream);
}

/// Whether a part of the prompt other than the last one crashes engines.
bool ChainEngines::Private::hasCrashingPart(const HttpHead &head) const
{
    const std::vector<std::string> parts = splitList(head.find("X-Prompt-Prefix"), ',');
    const auto matches = [this](const std::string &part) {
        return part.substr(0, part.find(':')) == crashingPart;
    };
    return !crashingPart.empty() && !parts.empty() && std::any_of(parts.begin(), parts.end() - 1, matches);
}

void ChainEngines::Private::crash(ChainEngine &engine)
{
    engine.isDead = true;
    engine.listener->close();
    for (const ConnectionPtr &connection : std::exchange(engine.connections, {})) {
        dropStreams(connection);
        connection->reset();
    }
}

void ChainEngines::Private::sendEvent(const std::shared_ptr<EngineStream> &stream)
{
    if (stream->crashesEngine) {
        crashesByPromptPart.push_back(std::chrono::steady_clock::now());
        return crash(*stream->engine);
    }
    stream->unavailableEngine = findUnavailableEngine(stream->chain);
    const TimePoint now = std::chrono::steady_clock::now();
    if (now < eventsHeldUntil || now < stream->resumesAt) {
        return;
    }
    if (!stream->unavailableEngine.empty()) {
        stream->stalledAt = stream->stalledAt == TimePoint() ? now : stream->stalledAt;
        if (now - stream->stalledAt >= options.stallTimeout) {
            stream->connection->close();
            streams.erase(stream);
        }
        return;
    }
    stream->stalledAt = TimePoint();
    sendPart(*stream, absl::StrCat("id: ", stream->next, "\ndata: token-", stream->next, "\n\n"));
    const bool isLast = stream->next++ == options.events;
    if (isLast) {
        endStream(stream);
    }
}

/// Sends a part of a stream's body in the framing of the test.
void ChainEngines::Private::sendPart(const EngineStream &stream, std::string_view bytes)
{
    if (options.framing == StreamFraming::UntilClose) {
        return stream.connection->write(bytes);
    }
    std::string chunk;
    appendChunk(chunk, bytes);
    stream.connection->write(chunk);
}

/// Marks the end of a stream's body in the framing of the test.
void ChainEngines::Private::endStream(const std::shared_ptr<EngineStream> &stream)
{
    streams.erase(stream);
    if (options.framing == StreamFraming::UntilClose) {
        return closeConnection(stream->connection);
    }
    stream->connection->write("0\r\n\r\n");
}

void ChainEngines::Private::closeConnection(const ConnectionPtr &connection)
{
    for (auto &[id, engine] : engines) {
        engine->connections.erase(connection);
    }
    closing.insert(connection);
    connection->closeAfterWriting([this, raw = connection.get()] {
        closing.erase(raw->shared_from_this());
    });
}

void ChainEngines::Private::dropStreams(const ConnectionPtr &connection)
{
    std::erase_if(streams, [&](const std::shared_ptr<EngineStream> &stream) {
        return stream->connection == connection;
    });
}

// [SECTION] Orders and reports

void ChainEngines::Private::report(ChainEngine &engine, const ConnectionPtr &connection)
{
    Json stalled = Json::array();
    for (const auto &stream : streams) {
        if (stream->engine == &engine && !stream->unavailableEngine.empty()) {
            stalled.push_back({{"id", stream->id}, {"address", stream->unavailableEngine}});
        }
    }
    const Json body = {
        {"busy", engine.isBusy}, {"seqNo", engine.orderCount}, {"layers", {{"from", engine.layers.from}, {"to", engine.layers.to}}}, {"stalled", stalled}};
    answer(connection, 200, body.dump(), engine.saysLeaving ? "Server-Leaving: 1\r\n" : "");
}

void ChainEngines::Private::place(ChainEngine &engine, const ConnectionPtr &connection, const Json &body)
{
    const bool isExpected = body.value("expectedRevision", engine.orderCount) == engine.orderCount;
    if (!isExpected || engine.isBusy) {
        ++refusedPlacements;
        return answer(connection, 409, {});
    }
    ++acceptedPlacements;
    ++engine.orderCount;
    engine.isBusy = true;
    engine.loadingLayers = {body.at("from"), body.at("to")};
    engine.loadTimer = std::make_unique<Timer>(loop, [&engine] {
        engine.isBusy = false;
        engine.layers = engine.loadingLayers;
    });
    engine.loadTimer->start(options.loadTime);
    if (!dropsOrderResponses) {
        answer(connection, 202, {});
    }
}

/// Lets the engines that the stream did not use before process its tokens after those of the streams moved there earlier.
void ChainEngines::Private::prefillMoved(EngineStream &stream, const std::vector<EngineStage> &chain)
{
    const TimePoint now = std::chrono::steady_clock::now();
    for (const EngineStage &stage : chain) {
        const bool isKept = std::any_of(stream.chain.begin(), stream.chain.end(), [&stage](const EngineStage &old) {
            return old.address == stage.address;
        });
        if (ChainEngine *engine = isKept ? nullptr : engineAt(stage.address)) {
            engine->prefillUntil = std::max(now, engine->prefillUntil) + options.prefillTime;
            stream.resumesAt = std::max(stream.resumesAt, engine->prefillUntil);
        }
    }
}

void ChainEngines::Private::move(ChainEngine &engine, const ConnectionPtr &connection, const Json &body)
{
    if (engine.ignoresMoves) {
        ++ignoredMoves;
        return;
    }
    for (const auto &stream : streams) {
        if (stream->engine != &engine || stream->id != body.at("id")) {
            continue;
        }
        const std::vector<EngineStage> chain = parseChain(body.at("path").get<std::string>());
        if (!findUnavailableEngine(chain).empty()) {
            return answer(connection, 409, {});
        }
        invalidChains += coversAllLayers(chain) ? 0 : 1;
        prefillMoved(*stream, chain);
        stream->chain = chain;
        ++movedStreams;
        movedIds.push_back(stream->id);
        return answer(connection, 200, {});
    }
    answer(connection, 404, {});
}

void ChainEngines::Private::handleInput(ChainEngine &engine, const ConnectionPtr &connection)
{
    if (!engine.isAlive()) {
        return;
    }
    HttpHead head;
    std::string &input = connection->input();
    if (parseRequestHead(input, 1 << 20, head) != ParseResult::Complete) {
        return;
    }
    BodyPlan plan = planRequestBody(head);
    std::string body;
    const std::size_t used = readBody(plan.reader, std::string_view(input).substr(head.text.size()), body);
    if (!plan.reader.isComplete) {
        return;
    }
    input.erase(0, head.text.size() + used);
    const std::string_view expected = head.find("X-Expect-Instance");
    if (!expected.empty() && expected != engine.id) {
        answer(connection, 421, {});
    } else if (head.path() == "/report") {
        report(engine, connection);
    } else if (head.path() == "/order") {
        const Json order = Json::parse(body);
        order.at("op") == "place" ? place(engine, connection, order) : move(engine, connection, order);
    } else {
        beginStream(engine, connection, head);
    }
}

// [SECTION] ChainEngines

ChainEngines::ChainEngines(EventLoop &loop, ChainEnginesOptions options)
    : d(std::make_unique<Private>(loop, options))
{
}

ChainEngines::~ChainEngines()
{
    d->streams.clear();
    for (const ConnectionPtr &connection : std::exchange(d->closing, {})) {
        connection->close();
    }
    for (auto &[id, engine] : d->engines) {
        for (const ConnectionPtr &connection : std::exchange(engine->connections, {})) {
            connection->close();
        }
    }
}

Address ChainEngines::add(const std::string &id, const Address &registered)
{
    auto engine = std::make_unique<ChainEngine>();
    ChainEngine &added = *engine;
    added.id = id;
    added.listener = std::make_unique<Listener>(d->loop, [this, &added](int socket) {
        const ConnectionPtr connection = Connection::adopt(d->loop, socket);
        added.connections.insert(connection);
        Connection::Handlers handlers;
        handlers.onInput = [this, &added, raw = connection.get()] {
            d->handleInput(added, raw->shared_from_this());
        };
        handlers.onEnd = [this, &added, raw = connection.get()](ConnectionEnd) {
            const ConnectionPtr self = raw->shared_from_this();
            d->dropStreams(self);
            added.connections.erase(self);
        };
        connection->setHandlers(std::move(handlers));
    });
    Error error;
    runCatching(
        [&added] {
            return added.listener->listen({"127.0.0.1", 0});
        },
        error);
    const Address address{"127.0.0.1", added.listener->port()};
    added.address = (registered.port == 0 ? address : registered).toString();
    d->engines[id] = std::move(engine);
    return address;
}

void ChainEngines::makeUnresponsive(const std::string &id)
{
    d->engines.at(id)->isUnresponsive = true;
}

void ChainEngines::holdEvents(milliseconds time)
{
    d->eventsHeldUntil = std::chrono::steady_clock::now() + time;
}

void ChainEngines::crash(const std::string &id)
{
    d->crash(*d->engines.at(id));
}

void ChainEngines::crashOnPromptPart(const std::string &part)
{
    d->crashingPart = part;
}

const std::vector<TimePoint> &ChainEngines::arrivalsOfCrashingPart() const
{
    return d->arrivalsOfCrashingPart;
}

const std::vector<TimePoint> &ChainEngines::crashesByPromptPart() const
{
    return d->crashesByPromptPart;
}

bool ChainEngines::isCrashed(const std::string &id) const
{
    return d->engines.at(id)->isDead;
}

void ChainEngines::refuseNewStreams(const std::string &id)
{
    d->engines.at(id)->refusesNewStreams = true;
}

void ChainEngines::ignoreNewStreams(const std::string &id)
{
    d->engines.at(id)->ignoresNewStreams = true;
}

void ChainEngines::nameLimit(const std::string &id, double perSecond)
{
    d->engines.at(id)->namedLimit = perSecond;
}

void ChainEngines::sayLeaving(const std::string &id)
{
    d->engines.at(id)->saysLeaving = true;
}

void ChainEngines::requestPauses(const std::string &id, const std::string &retryAfter)
{
    d->engines.at(id)->retryAfter = retryAfter;
}

const std::vector<TimePoint> &ChainEngines::pauseRequests(const std::string &id) const
{
    return d->engines.at(id)->pauseRequests;
}

const std::vector<TimePoint> &ChainEngines::streamStarts(const std::string &id) const
{
    return d->engines.at(id)->streamStarts;
}

void ChainEngines::ignoreMoves(const std::string &id)
{
    d->engines.at(id)->ignoresMoves = true;
}

void ChainEngines::cutStreams(const std::string &id, StreamCut cut)
{
    const auto streams = d->streams;
    for (const auto &stream : streams) {
        if (stream->engine->id != id) {
            continue;
        }
        d->sendPart(*stream, "id: 99");
        if (cut == StreamCut::End) {
            d->endStream(stream);
            continue;
        }
        d->streams.erase(stream);
        if (cut == StreamCut::Close) {
            d->closeConnection(stream->connection);
        } else {
            stream->connection->reset();
        }
    }
}

void ChainEngines::endStreamsWithoutEvents(const std::string &id)
{
    d->engines.at(id)->endsStreamsWithoutEvents = true;
}

void ChainEngines::dropOrderResponses(bool drops)
{
    d->dropsOrderResponses = drops;
}

LayerRange ChainEngines::layers(const std::string &id) const
{
    return d->engines.at(id)->layers;
}

void ChainEngines::setLayers(const std::string &id, LayerRange layers)
{
    d->engines.at(id)->layers = layers;
}

int ChainEngines::startedStreams() const
{
    return d->startedStreams;
}

int ChainEngines::openStreams() const
{
    return static_cast<int>(d->streams.size());
}

int ChainEngines::ignoredStreams() const
{
    return d->ignoredStreams;
}

int ChainEngines::ignoredMoves() const
{
    return d->ignoredMoves;
}

int ChainEngines::movedStreams() const
{
    return d->movedStreams;
}

const std::vector<std::string> &ChainEngines::movedIds() const
{
    return d->movedIds;
}

const std::vector<std::string> &ChainEngines::startedIds() const
{
    return d->startedIds;
}

std::string ChainEngines::requestPriority(const std::string &id) const
{
    const auto it = d->priorities.find(id);
    return it == d->priorities.end() ? std::string() : it->second;
}

int ChainEngines::acceptedPlacements() const
{
    return d->acceptedPlacements;
}

int ChainEngines::refusedPlacements() const
{
    return d->refusedPlacements;
}

int ChainEngines::invalidChains() const
{
    return d->invalidChains;
}

} // namespace Parsleytrail::StandIn
