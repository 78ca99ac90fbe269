// Index: [SECTION] Session, [SECTION] CallerSessions
#include "relay/caller_session_private.h"

#include "base/text.h"

#include <event2/util.h>

#include <algorithm>

namespace Parsleytrail
{

// [SECTION] Session

/// Interval of checking sessions for timeouts, which are several seconds long.
constexpr milliseconds sessionCheckInterval{250};
/// Unprocessed bytes at which reading pauses: of a request that is being received, and behind one that is being answered. The latter
/// has to be read on only to notice that its caller disconnects.
constexpr std::size_t receivingInputLimit = 64 * 1024;
constexpr std::size_t answeringInputLimit = 16 * 1024;
/// A request is received for this many times headerTimeout at most. Each of its parts may take headerTimeout, so that a caller who sends
/// a byte at a time would never end.
constexpr int maxReceiveTimeouts = 20;
/// Retry-After of a refusal for want of memory: callers that hold it have to send or read something within some seconds, and most do so
/// at once.
constexpr std::string_view refusalRetryAfterSeconds = "0.5";
constexpr std::string_view memoryRefusalText = "no memory for the request now";

/// Share of all places that is freed when there is none for another connection: finding the connections takes a look at all.
constexpr double freedShare = 0.03;

ClientMemory *CallerSessions::Private::memory() const
{
    return memoryGuard ? &memoryGuard->memory() : nullptr;
}

/// Whether no request is being received or answered.
bool CallerSession::isIdle() const
{
    return !isAnswering && !hasPartialHead && !isReadingBody;
}

/// Whether a request is being received, which certainly has not run.
bool CallerSession::isReceiving() const
{
    return exchange && !isAnswering && !isOver && (hasPartialHead || isReadingBody);
}

void CallerSession::start()
{
    waitingSince = owner->clock.now();
    Connection::Handlers handlers;
    handlers.onInput = [self = shared_from_this()] {
        self->handleInput();
    };
    handlers.onEnd = [self = shared_from_this()](ConnectionEnd) {
        self->end();
    };
    handlers.onDrained = [self = shared_from_this()] {
        if (self->exchange && self->exchange->d->onDrained) {
            const auto onDrained = self->exchange->d->onDrained;
            onDrained();
        }
    };
    connection->setHandlers(std::move(handlers));
}

void CallerSession::handleInput()
{
    while (connection->isOpen() && !isOver && !isAnswering && !connection->input().empty()) {
        const std::size_t before = connection->input().size();
        if (isReadingBody) {
            handleBody();
        } else {
            handleHead();
        }
        if (connection->input().size() == before) {
            break;
        }
    }
    if (!isOver) {
        const std::size_t limit = isAnswering ? answeringInputLimit : std::max(receivingInputLimit, owner->limits.maxHeaderBytes + 1);
        connection->setInputLimit(limit);
        connection->pauseReading(connection->input().size() >= limit);
        connection->updateCharge();
    }
}

/// How long a request may take from its first byte to its last.
static milliseconds receiveTimeOf(const HttpHead &head, const SessionLimits &limits)
{
    const milliseconds longest = limits.headerTimeout * maxReceiveTimeouts;
    std::int64_t callerMs = longest.count();
    const bool hasDeadline = !limits.deadlineField.empty() && parseNumber(head.find(limits.deadlineField), callerMs) && callerMs > 0;
    return hasDeadline ? std::min(longest, milliseconds(callerMs)) : longest;
}

void CallerSession::handleHead()
{
    if (!hasPartialHead) {
        hasPartialHead = true;
        waitingSince = owner->clock.now();
        connection->setMemoryUse(MemoryUse::Receiving);
    }
    if (!exchange) {
        exchange.reset(new CallerExchange(owner->memory()));
        exchange->d->session = weak_from_this();
        exchange->d->receivedAt = waitingSince;
    }
    HttpHead &head = exchange->d->head;
    switch (parseRequestHead(connection->input(), owner->limits.maxHeaderBytes, head)) {
    case ParseResult::Incomplete:
        return;
    case ParseResult::Malformed:
        return refuse(400, "malformed request head");
    case ParseResult::TooLarge:
        return refuse(431, "request head too large");
    case ParseResult::Complete:
        break;
    }
    hasPartialHead = false;
    const BodyPlan plan = planRequestBody(head);
    if (plan.isAmbiguous) {
        return refuse(400, "ambiguous length of the body");
    }
    if (plan.reader.framing == BodyFraming::Length && plan.reader.remaining > owner->limits.maxBodyBytes) {
        return refuse(413, "body too large");
    }
    if (refuseForMemory(plan.reader.remaining)) {
        return;
    }
    connection->input().erase(0, head.text.size());
    bodyReader = plan.reader;
    bodyReader.trailerBytesLeft = owner->limits.maxHeaderBytes;
    exchange->d->updateCharge();
    if (bodyReader.isComplete) {
        return dispatchRequest();
    }
    isReadingBody = true;
    waitingSince = owner->clock.now();
    receiveUntil = exchange->d->receivedAt + receiveTimeOf(head, owner->limits);
    if (head.listHas("Expect", "100-continue")) {
        connection->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void CallerSession::handleBody()
{
    std::string &body = exchange->d->body;
    const std::size_t received = connection->input().size();
    const bool hasLength = bodyReader.framing == BodyFraming::Length;
    const std::size_t more = hasLength ? std::min<std::uint64_t>(received, bodyReader.remaining) : received;
    growBuffer(body, more, hasLength ? body.size() + bodyReader.remaining : owner->limits.maxBodyBytes);
    const std::size_t used = readBody(bodyReader, connection->input(), body);
    connection->input().erase(0, used);
    waitingSince = owner->clock.now();
    exchange->d->updateCharge();
    if (bodyReader.isMalformed) {
        return refuse(400, "malformed body");
    }
    if (body.size() > owner->limits.maxBodyBytes) {
        return refuse(413, "body too large");
    }
    if (refuseForMemory(body.size())) {
        return;
    }
    if (bodyReader.isComplete) {
        isReadingBody = false;
        trimBuffer(body);
        dispatchRequest();
    }
}

/// Rejects a request that could not be read and closes the connection, as the end of the request is unknown.
void CallerSession::refuse(int status, std::string_view text)
{
    isAnswering = true;
    ++owner->openExchanges;
    exchange->d->closes = true;
    if (status == 503) {
        exchange->reply(status, {{"Retry-After", std::string(refusalRetryAfterSeconds)}}, text);
    } else {
        exchange->reply(status, {}, text);
    }
}

/// Refuses a request that can't be served beside what others hold, as soon as that is known.
bool CallerSession::refuseForMemory(std::uint64_t bodyBytes)
{
    if (!owner->memoryGuard || hasRoomFor(owner->memoryGuard->memory(), bodyBytes)) {
        return false;
    }
    owner->memoryGuard->countRefused();
    refuse(503, memoryRefusalText);
    return true;
}

/// Ends a response that its caller does not read, as if the caller had disconnected.
void CallerSession::giveUpUnreadResponse()
{
    connection->reset();
    end();
}

void CallerSession::dispatchRequest()
{
    isAnswering = true;
    ++owner->openExchanges;
    connection->setMemoryUse(MemoryUse::Working);
    exchange->d->charge.setUse(MemoryUse::Working);
    exchange->d->updateCharge();
    exchange->d->closes = !exchange->d->head.keepsConnection();
    const CallerExchangePtr ready = exchange;
    owner->handler(ready);
}

/// Called when the response is complete: closes the connection or continues with the next request.
void CallerSession::finishExchange()
{
    const CallerExchangePtr done = std::move(exchange);
    exchange.reset();
    --owner->openExchanges;
    isAnswering = false;
    isReadingBody = false;
    hasPartialHead = false;
    hasServed = true;
    waitingSince = owner->clock.now();
    if (done->d->closes || owner->isDraining) {
        isOver = true;
        owner->closing.insert(connection);
        connection->closeAfterWriting([owner = owner, raw = connection.get()] {
            owner->closing.erase(raw->shared_from_this());
        });
        owner->sessions.erase(shared_from_this());
        return;
    }
    if (!connection->input().empty()) {
        // Deferred to the loop, so that a sequence of pipelined requests does not recurse on the stack.
        owner->loop.defer([self = shared_from_this()] {
            self->handleInput();
        });
    }
}

/// Called when the connection has ended.
void CallerSession::end()
{
    const auto self = shared_from_this();
    connection->close();
    owner->sessions.erase(self);
    const CallerExchangePtr aborted = std::move(exchange);
    exchange.reset();
    if (!aborted || !isAnswering) {
        return;
    }
    --owner->openExchanges;
    aborted->d->isOver = true;
    if (const auto onDisconnected = std::move(aborted->d->onDisconnected)) {
        onDisconnected();
    }
}

void CallerSession::checkTimeouts(TimePoint now)
{
    if (isAnswering) {
        return;
    }
    if (isIdle() && connection->unsentBytes() > 0) {
        waitingSince = now; // the last response is still being sent
        return;
    }
    const milliseconds limit = isIdle() ? owner->limits.idleTimeout : owner->limits.headerTimeout;
    const bool isTooSlow = isReadingBody && now >= receiveUntil;
    if (now - waitingSince < limit && !isTooSlow) {
        return;
    }
    if (isIdle()) {
        connection->close();
        owner->sessions.erase(shared_from_this());
        return;
    }
    refuse(408, "request not complete in time");
}

// [SECTION] CallerSessions

CallerSessions::CallerSessions(EventLoop &loop, const Clock &clock, Handler handler, MemoryGuard *memoryGuard)
    : d(std::make_unique<Private>(Private{loop, clock, std::move(handler)}))
{
    d->memoryGuard = memoryGuard;
    if (memoryGuard) {
        d->memorySource = memoryGuard->addSource([this](std::vector<MemoryHolder> &holders) {
            d->listHolders(holders);
        });
    }
    d->tick = std::make_unique<Timer>(loop, [this] {
        const auto sessions = d->sessions;
        const TimePoint now = d->clock.now();
        for (const auto &session : sessions) {
            session->checkTimeouts(now);
        }
    });
    d->tick->startRepeating(sessionCheckInterval);
}

CallerSessions::~CallerSessions()
{
    for (const auto &session : std::exchange(d->sessions, {})) {
        session->connection->close();
    }
    for (const ConnectionPtr &connection : std::exchange(d->closing, {})) {
        connection->close();
    }
}

void CallerSessions::setLimits(const SessionLimits &limits)
{
    d->limits = limits;
}

/// Lists the sessions with a request that is not complete, or with a response that is not read.
void CallerSessions::Private::listHolders(std::vector<MemoryHolder> &holders)
{
    for (const auto &session : sessions) {
        if (session->isReceiving()) {
            const std::size_t bytes = session->connection->chargedBytes() + session->exchange->d->charge.bytes();
            holders.push_back({MemoryUse::Receiving, session->exchange->d->receivedAt, bytes, [session] {
                                   if (session->isReceiving()) {
                                       session->refuse(503, memoryRefusalText);
                                   }
                               }});
        } else if (session->connection->unsentBytes() > 0) {
            holders.push_back({MemoryUse::Working, {}, session->connection->chargedBytes(), [session] {
                                   session->giveUpUnreadResponse();
                               }});
        }
    }
    for (const ConnectionPtr &connection : closing) {
        holders.push_back({MemoryUse::Working, {}, connection->chargedBytes(), [this, connection] {
                               connection->reset();
                               closing.erase(connection);
                           }});
    }
}

/// The longer a connection goes without a request, the less it is missed: those that never had one go first, those on which one is
/// being received last.
static bool closesBefore(const CallerSession &a, const CallerSession &b)
{
    if (a.isIdle() != b.isIdle()) {
        return a.isIdle();
    }
    if (!a.isIdle()) {
        return a.exchange->receivedAt() < b.exchange->receivedAt();
    }
    return a.hasServed != b.hasServed ? b.hasServed : a.waitingSince < b.waitingSince;
}

/// Closes some of the connections without a complete request, or if these are too few, some that only their last response keeps open.
void CallerSessions::Private::closeUnserved()
{
    std::vector<std::shared_ptr<CallerSession>> unserved;
    for (const auto &session : sessions) {
        const bool isQuiet = session->isIdle() && session->connection->input().empty() && session->connection->unsentBytes() == 0;
        if (isQuiet || session->isReceiving()) {
            unserved.push_back(session);
        }
    }
    const std::size_t wanted = static_cast<std::size_t>(freedShare * static_cast<double>(limits.maxConnections)) + 1;
    const std::size_t count = std::min(unserved.size(), wanted);
    std::partial_sort(unserved.begin(), unserved.begin() + static_cast<std::ptrdiff_t>(count), unserved.end(), [](const auto &a, const auto &b) {
        return closesBefore(*a, *b);
    });
    unserved.resize(count);
    for (const auto &session : unserved) {
        session->connection->close();
        sessions.erase(session);
    }
    std::size_t closed = count;
    // Callers that read their last response slowly have no claim to a place either.
    for (auto it = closing.begin(); it != closing.end() && closed < wanted; ++closed) {
        (*it)->reset();
        it = closing.erase(it);
    }
    closedForOthers += closed;
}

bool CallerSessions::add(int socket)
{
    const auto isFull = [this] {
        return d->limits.maxConnections > 0 && d->sessions.size() + d->closing.size() >= d->limits.maxConnections;
    };
    if (isFull()) {
        d->closeUnserved();
    }
    if (isFull()) {
        evutil_closesocket(socket);
        return false;
    }
    const auto session = std::make_shared<CallerSession>();
    session->owner = d.get();
    session->connection = Connection::adopt(d->loop, socket, d->memory());
    session->connection->setInputLimit(receivingInputLimit);
    d->sessions.insert(session);
    session->start();
    return true;
}

void CallerSessions::beginDrain()
{
    d->isDraining = true;
}

void CallerSessions::closeIdle()
{
    const auto sessions = d->sessions;
    for (const auto &session : sessions) {
        if (session->isIdle() && session->connection->unsentBytes() == 0) {
            session->connection->close();
            d->sessions.erase(session);
        }
    }
}

std::size_t CallerSessions::incompleteRequests() const
{
    const auto count = std::count_if(d->sessions.begin(), d->sessions.end(), [](const auto &session) {
        return session->isReceiving();
    });
    return static_cast<std::size_t>(count);
}

void CallerSessions::refuseIncomplete()
{
    const auto sessions = d->sessions;
    for (const auto &session : sessions) {
        if (session->isReceiving()) {
            session->refuse(503, "stopping");
        }
    }
}

std::size_t CallerSessions::unsentResponses() const
{
    const auto isUnsent = [](const ConnectionPtr &connection) {
        return connection->unsentBytes() > 0;
    };
    const auto kept = std::count_if(d->sessions.begin(), d->sessions.end(), [&](const auto &session) {
        return session->isIdle() && isUnsent(session->connection);
    });
    return static_cast<std::size_t>(kept + std::count_if(d->closing.begin(), d->closing.end(), isUnsent));
}

std::size_t CallerSessions::count() const
{
    return d->sessions.size();
}

std::uint64_t CallerSessions::closedForOthers() const
{
    return d->closedForOthers;
}

std::size_t CallerSessions::openExchanges() const
{
    return d->openExchanges;
}

} // namespace Parsleytrail
