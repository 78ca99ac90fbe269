// Index: [SECTION] TargetConnectionPool, [SECTION] TargetExchange
#include "relay/target_exchange.h"

#include "base/event_boundary.h"
#include "base/text.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Parsleytrail
{

// [SECTION] TargetConnectionPool

constexpr milliseconds connectTimeout{1000};            ///< connecting within a region takes milliseconds; a lost SYN is retransmitted after a second
constexpr milliseconds defaultKeepAliveTimeout{4000};   ///< for targets that don't send a Keep-Alive timeout
constexpr milliseconds keepAliveMargin{1000};           ///< targets count in whole seconds, starting before the response arrives here
constexpr milliseconds sweepInterval{500};              ///< interval of closing expired idle connections
constexpr int maxInterimResponses = 16;                 ///< before the response itself
constexpr std::size_t maxSkippedBytes = 1 << 20;        ///< of responses to earlier requests
constexpr std::size_t maxResponseHeadBytes = 32 * 1024; ///< twice the default limit for callers' heads

struct IdleConnection {
    ConnectionPtr connection;
    TimePoint until{}; ///< expiry time
};

struct TargetConnectionPool::Private {
    EventLoop &loop;
    const Clock &clock;
    ClientMemory *memory = nullptr;
    std::map<Address, std::vector<IdleConnection>> idle{};
    std::unique_ptr<Timer> sweep{};

    void removeIdle(const Address &address, const Connection *connection)
    {
        auto &list = idle[address];
        std::erase_if(list, [&](const IdleConnection &entry) {
            return entry.connection.get() == connection;
        });
    }
    void dropExpired()
    {
        const TimePoint now = clock.now();
        for (auto &[address, list] : idle) {
            std::erase_if(list, [&](const IdleConnection &entry) {
                if (entry.until <= now) {
                    entry.connection->close();
                }
                return entry.until <= now;
            });
        }
        std::erase_if(idle, [](const auto &entry) {
            return entry.second.empty();
        });
    }
};

TargetConnectionPool::TargetConnectionPool(EventLoop &loop, const Clock &clock, ClientMemory *memory)
    : d(std::make_unique<Private>(Private{loop, clock, memory}))
{
    d->sweep = std::make_unique<Timer>(loop, [this] {
        d->dropExpired();
    });
    d->sweep->startRepeating(sweepInterval);
}

TargetConnectionPool::~TargetConnectionPool()
{
    for (auto &[address, list] : d->idle) {
        for (IdleConnection &entry : list) {
            entry.connection->close();
        }
    }
}

ConnectionPtr TargetConnectionPool::acquireIdle(const Address &address)
{
    const auto it = d->idle.find(address);
    const TimePoint now = d->clock.now();
    while (it != d->idle.end() && !it->second.empty()) {
        const IdleConnection entry = std::move(it->second.back());
        it->second.pop_back();
        if (entry.connection->isOpen() && entry.until > now) {
            return entry.connection;
        }
        entry.connection->close();
    }
    return nullptr;
}

void TargetConnectionPool::release(const Address &address, const ConnectionPtr &connection, milliseconds idleTimeout)
{
    if (idleTimeout <= milliseconds(0)) {
        connection->close();
        return;
    }
    Connection::Handlers handlers;
    // Bytes received while no request is outstanding belong to no request: the connection is not usable any more.
    handlers.onInput = [this, address, raw = connection.get()] {
        const auto self = raw->shared_from_this();
        self->close();
        d->removeIdle(address, raw);
    };
    handlers.onEnd = [this, address, raw = connection.get()](ConnectionEnd) {
        d->removeIdle(address, raw);
    };
    connection->setHandlers(std::move(handlers));
    d->idle[address].push_back({connection, d->clock.now() + idleTimeout});
}

void TargetConnectionPool::drop(const Address &address)
{
    const auto it = d->idle.find(address);
    if (it == d->idle.end()) {
        return;
    }
    for (const IdleConnection &entry : it->second) {
        entry.connection->close();
    }
    d->idle.erase(it);
}

EventLoop &TargetConnectionPool::loop() const
{
    return d->loop;
}

ClientMemory *TargetConnectionPool::memory() const
{
    return d->memory;
}

// [SECTION] TargetExchange

struct TargetExchange::Private {
    TargetConnectionPool *connections = nullptr;
    TargetRequest request;
    Handlers handlers;
    ConnectionPtr connection;
    HttpHead head;
    BodyReader bodyReader;
    std::string body;        ///< decoded body bytes that the handler has not consumed
    MemoryCharge bodyCharge; ///< `body`
    EventBoundary eventBoundary;
    int interimResponses = 0;
    std::size_t skippedBytes = 0;
    bool isReused = false;
    bool hasHead = false;
    bool isOver = false;
    bool isSkippingBody = false; ///< the response being read belongs to an earlier request
    bool isPaused = false;       ///< reading was paused by the owner
    bool isEventStream = false;

    explicit Private(ClientMemory *memory)
        : bodyCharge(memory)
    {
    }
    void finish(TargetExchange &self);
    void fail(TargetExchange &self, std::string text, bool mayHaveRun);
    void handleInput(TargetExchange &self);
    bool handleHead(TargetExchange &self);
    void handleEnd(TargetExchange &self, ConnectionEnd end);
};

TargetExchange::TargetExchange(ClientMemory *memory)
    : d(std::make_unique<Private>(memory))
{
}

TargetExchange::~TargetExchange()
{
    if (d->connection) {
        d->connection->close();
    }
}

static milliseconds keepAliveTimeout(const HttpHead &head)
{
    if (!head.keepsConnection()) {
        return milliseconds(0);
    }
    std::string_view remainder = head.find("Keep-Alive");
    const std::size_t at = remainder.find("timeout=");
    if (at == std::string_view::npos) {
        return defaultKeepAliveTimeout;
    }
    remainder = remainder.substr(at + std::string_view("timeout=").size());
    int seconds = 0;
    parseNumber(remainder.substr(0, remainder.find_first_not_of("0123456789")), seconds);
    return std::min(milliseconds(std::chrono::seconds(seconds)) - keepAliveMargin, milliseconds(std::chrono::minutes(1)));
}

std::shared_ptr<TargetExchange> TargetExchange::start(TargetConnectionPool &connections, TargetRequest request, Handlers handlers)
{
    std::shared_ptr<TargetExchange> exchange(new TargetExchange(connections.memory()));
    Private &data = *exchange->d;
    data.connections = &connections;
    data.request = std::move(request);
    data.handlers = std::move(handlers);
    if (data.request.allowsReuse) {
        data.connection = connections.acquireIdle(data.request.address);
        data.isReused = data.connection != nullptr;
    }
    if (!data.connection) {
        data.connection = Connection::connect(connections.loop(), data.request.address, connectTimeout, connections.memory());
    }
    if (!data.connection) {
        connections.loop().defer([exchange] {
            exchange->d->fail(*exchange, "no socket", false);
        });
        return exchange;
    }
    data.connection->resetHasWritten();
    Connection::Handlers connectionHandlers;
    connectionHandlers.onInput = [exchange] {
        exchange->d->handleInput(*exchange);
    };
    connectionHandlers.onEnd = [exchange](ConnectionEnd end) {
        exchange->d->handleEnd(*exchange, end);
    };
    data.connection->setHandlers(std::move(connectionHandlers));
    data.connection->write(data.request.bytes);
    releaseBuffer(data.request.bytes); // the connection holds what the socket did not take
    return exchange;
}

/// Called when the framing says that the response is complete: returns the connection to the pool if it can be reused.
void TargetExchange::Private::finish(TargetExchange &self)
{
    if (isEventStream && eventBoundary.isWithinEvent) {
        return fail(self, "stream ended within an event", true);
    }
    const auto keepSelf = self.shared_from_this();
    isOver = true;
    // A target may respond before it has read the entire request. It would read the next request as the remainder of this one.
    const bool isReusable =
        connection->isOpen() && connection->input().empty() && connection->unsentBytes() == 0 && bodyReader.framing != BodyFraming::UntilClose;
    const milliseconds idleTimeout = isReusable ? keepAliveTimeout(head) : milliseconds(0);
    connections->release(request.address, std::exchange(connection, nullptr), idleTimeout);
    const auto onDone = std::move(handlers.onDone);
    handlers = {};
    onDone();
}

void TargetExchange::Private::fail(TargetExchange &self, std::string text, bool mayHaveRun)
{
    if (isOver) {
        return;
    }
    const auto keepSelf = self.shared_from_this();
    isOver = true;
    if (connection) {
        connection->close();
        connection.reset();
    }
    const auto onFailure = std::move(handlers.onFailure);
    handlers = {};
    onFailure({std::move(text), mayHaveRun, isReused, hasHead});
}

/// Parses a head. Returns false if it is incomplete or the exchange is over.
bool TargetExchange::Private::handleHead(TargetExchange &self)
{
    std::string &input = connection->input();
    const ParseResult result = parseResponseHead(input, maxResponseHeadBytes, head);
    if (result == ParseResult::Incomplete) {
        return false;
    }
    if (result != ParseResult::Complete) {
        fail(self, "bytes that are no answer", true);
        return false;
    }
    input.erase(0, head.text.size());
    const BodyPlan plan = planResponseBody(head, request.isHead);
    if (plan.isAmbiguous) {
        fail(self, "ambiguous length of the answer", true);
        return false;
    }
    if (head.status < 200) {
        if (++interimResponses > maxInterimResponses) {
            fail(self, "interim responses without end", true);
            return false;
        }
        return !input.empty();
    }
    bodyReader = plan.reader;
    bodyReader.trailerBytesLeft = maxResponseHeadBytes;
    const std::string_view id = head.find(request.idField);
    // A target may have sent a second response to an earlier request on this connection. Its id differs from the expected one.
    isSkippingBody = !request.id.empty() && !id.empty() && id != request.id;
    if (isSkippingBody && (!isReused || bodyReader.framing == BodyFraming::UntilClose)) {
        fail(self, "answer with another request's id", true);
        return false;
    }
    hasHead = !isSkippingBody;
    isEventStream = hasHead && request.wantsEvents && head.status == 200 && mayBeEventStream(head.find("Content-Type"));
    if (hasHead) {
        handlers.onHead(head);
    }
    return !isOver;
}

void TargetExchange::Private::handleInput(TargetExchange &self)
{
    const auto keepSelf = self.shared_from_this();
    while (!isOver) {
        std::string &input = connection->input();
        const bool needsHead = !hasHead && !isSkippingBody;
        if (needsHead && (input.empty() || !handleHead(self))) {
            return;
        }
        if (isOver || (!hasHead && !isSkippingBody)) {
            continue;
        }
        const std::size_t bodySize = body.size();
        const std::size_t used = readBody(bodyReader, connection->input(), body);
        connection->input().erase(0, used);
        if (isEventStream) {
            advance(eventBoundary, std::string_view(body).substr(bodySize));
        }
        connection->pauseReading(isPaused);
        if (bodyReader.isMalformed) {
            return fail(self, "malformed body", true);
        }
        if (isSkippingBody) {
            skippedBytes += used;
            if (skippedBytes > maxSkippedBytes) {
                return fail(self, "another request's answer without end", true);
            }
            body.clear();
            if (!bodyReader.isComplete) {
                return;
            }
            isSkippingBody = false;
            continue;
        }
        if (!body.empty()) {
            handlers.onBody(body);
        }
        trimBuffer(body);
        bodyCharge.set(body.capacity());
        if (!isOver && bodyReader.isComplete) {
            finish(self);
        }
        return;
    }
}

void TargetExchange::Private::handleEnd(TargetExchange &self, ConnectionEnd end)
{
    const bool endsAnswer = hasHead && bodyReader.framing == BodyFraming::UntilClose && end == ConnectionEnd::PeerClosed;
    if (endsAnswer) {
        return finish(self);
    }
    const bool isNotSent = end == ConnectionEnd::NotEstablished || !connection->hasWritten();
    fail(self, std::string("connection ") + toString(end), !isNotSent);
}

void TargetExchange::cancel()
{
    if (d->isOver) {
        return;
    }
    d->isOver = true;
    d->handlers = {};
    if (d->connection) {
        d->connection->close();
        d->connection.reset();
    }
}

void TargetExchange::pauseReading(bool isPaused)
{
    d->isPaused = isPaused;
    if (!d->isOver && d->connection) {
        d->connection->pauseReading(isPaused);
    }
}

const HttpHead &TargetExchange::head() const
{
    return d->head;
}

BodyFraming TargetExchange::framing() const
{
    return d->bodyReader.framing;
}

std::size_t TargetExchange::unconsumedBytes() const
{
    return d->body.size();
}

} // namespace Parsleytrail
