// Index: [SECTION] Connection hooks, [SECTION] HttpServer, [SECTION] Query strings
#include "http/server.h"

#include "base/text.h"
#include "http/exchange_private.h"
#include "wire/buffer_charge.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <netinet/tcp.h>

#include <map>
#include <unordered_map>

namespace Parsleytrail
{

constexpr int sweepsPerIdleTimeout = 5; ///< number of checks for idle connections within idleTimeout
/// Unprocessed bytes at which reading from a connection pauses, for example behind a request that is being answered.
constexpr std::size_t maxInputBytes = 64 * 1024;
/// After a refusal in the middle of a request its bytes are read and discarded for up to twice this time, so that the caller, which may
/// still be writing, can read the refusal.
constexpr milliseconds discardInterval{500};
constexpr std::string_view memoryRetryAfterSeconds = "1"; ///< Retry-After of a refusal for want of memory
// [SECTION] Connection hooks

namespace
{

/// State of a caller's connection.
struct ConnectionState {
    int idleSweeps = 0;                   ///< sweeps since the last complete request
    bool isLost = false;                  ///< closed by the caller, or failed
    bool isClosedByServer = false;        ///< closed on purpose: idle, after a response that ends it, or at shutdown
    bool isHeadTooLarge = false;          ///< closed because of the header fields of its request
    int discardIntervals = -1;            ///< since its request was refused in the middle; -1: it was not
    std::size_t headBytes = 0;            ///< of the header fields received of the present request
    TimePoint since{};                    ///< when it was accepted, completed its last request, or sent its last head
    MemoryCharge charge;                  ///< the connection itself, and a head that is not complete
    std::unique_ptr<BufferCharge> input;  ///< bytes that libevhtp has not processed
    std::unique_ptr<BufferCharge> output; ///< bytes that the socket has not accepted

    explicit ConnectionState(ClientMemory *memory = nullptr)
        : charge(memory)
    {
    }
    std::size_t bytes() const
    {
        return charge.bytes() + (input ? input->bytes() : 0) + (output ? output->bytes() : 0);
    }
};

} // namespace

struct HttpServer::Private {
    EventLoop &loop;
    HttpLimits limits;
    Handler handler;
    RefusalBody refusalBody;
    evhtp_t *htp = nullptr;
    std::unordered_map<evhtp_request_t *, ExchangePtr> exchanges;
    std::unordered_map<evhtp_connection_t *, evhtp_request_t *> activeRequests; ///< current request of each connection
    std::map<evhtp_connection_t *, ConnectionState> connections;                ///< all open connections; libevhtp keeps no list of them
    ConnectionState discardedState;                                             ///< written to for connections that are already closed, see stateOf()
    std::unique_ptr<Timer> sweepTimer;
    std::unique_ptr<Timer> discardTimer{}; ///< runs while there are connections with a request that was refused in the middle
    std::shared_ptr<const MemorySource> memorySource{};

    ClientMemory *memory() const
    {
        return limits.memoryGuard ? &limits.memoryGuard->memory() : nullptr;
    }

    TimePoint now() const
    {
        return limits.memoryGuard ? limits.memoryGuard->now() : TimePoint();
    }

    /// libevhtp calls the end hook of a request after that of its connection. What it writes then goes to a discarded state:
    /// adding the connection, which is freed already, to `connections` again would free it twice at shutdown.
    ConnectionState &stateOf(evhtp_connection_t *connection)
    {
        const auto it = connections.find(connection);
        return it == connections.end() ? discardedState : it->second;
    }

    ExchangePtr find(evhtp_request_t *raw) const
    {
        const auto it = exchanges.find(raw);
        return it == exchanges.end() ? nullptr : it->second;
    }

    std::string refusalText(int status, const std::string &text) const
    {
        return refusalBody ? refusalBody(status, text) : text + "\n";
    }

    /// Detaches the exchange when its caller disconnects or libevhtp frees its request; calls the disconnect handler if the
    /// response is incomplete.
    static void handleDisconnect(const ExchangePtr &exchange)
    {
        exchange->d->unwatchOutput();
        exchange->d->raw = nullptr;
        const auto disconnectHandler = std::move(exchange->d->disconnectHandler);
        exchange->d->disconnectHandler = nullptr;
        exchange->d->drainedHandler = nullptr;
        if (disconnectHandler && !exchange->d->isEnded) {
            exchange->d->loop->defer(disconnectHandler);
        }
    }

    static evhtp_res onHeader(evhtp_request_t *raw, evhtp_header_t *field, void *arg);
    static evhtp_res onHeaders(evhtp_request_t *raw, evhtp_headers_t *headers, void *arg);
    static evhtp_res onRead(evhtp_request_t *raw, evbuffer *bytes, void *arg);
    static evhtp_res onRequestFini(evhtp_request_t *raw, void *arg);
    std::string refusalBytes(int status, const std::string &text) const;
    bool refuseForMemory(evhtp_request_t *raw, std::size_t bodyBytes);
    void refuseInTheMiddle(evhtp_connection_t *connection);
    void giveUpUnreadResponse(evhtp_connection_t *connection);
    ExchangePtr activeExchange(evhtp_connection_t *connection) const;
    void listHolders(std::vector<MemoryHolder> &holders);
    void closeDiscarded();
    void closeUnserved();
    static evhtp_res onConnectionFini(evhtp_connection_t *connection, void *arg);
    static void onEvent(evhtp_connection_t *connection, short events, void *arg);
    static evhtp_res onAccept(evhtp_connection_t *connection, void *arg);
    static void onRequest(evhtp_request_t *raw, void *arg);
    void closeIdle();
};

static int collectHeader(evhtp_kv_t *field, void *arg)
{
    auto *headers = static_cast<HttpHeaders *>(arg);
    headers->push_back({std::string(field->key, field->klen), std::string(field->val, field->vlen)});
    return 0;
}

static bool hasLength(const HttpHeaders &headers)
{
    return !findHeader(headers, "Content-Length").empty();
}

/// Counts the header fields as they come: libevhtp would collect any number of them before it calls onHeaders().
evhtp_res HttpServer::Private::onHeader(evhtp_request_t *raw, evhtp_header_t *field, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    ConnectionState &state = server->stateOf(raw->conn);
    state.headBytes += field->klen + field->vlen + headerFieldOverheadBytes;
    state.charge.set(connectionOverheadBytes + state.headBytes);
    constexpr std::size_t excess = 4; // onHeaders() refuses what is over the limit with a response; this ends what has no end
    if (state.headBytes > server->limits.maxHeaderBytes * excess) {
        state.isHeadTooLarge = true;
        return EVHTP_RES_FATAL;
    }
    return EVHTP_RES_OK;
}

evhtp_res HttpServer::Private::onHeaders(evhtp_request_t *raw, evhtp_headers_t *headers, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const ExchangePtr exchange(new Exchange(server->memory()));
    Exchange::Private &d = *exchange->d;
    ConnectionState &state = server->stateOf(raw->conn);
    state.since = server->now();
    state.headBytes = 0;
    state.charge.set(connectionOverheadBytes);
    d.raw = raw;
    d.loop = &server->loop;
    d.request.method = htparser_get_methodstr_m(raw->method);
    if (raw->uri && raw->uri->path && raw->uri->path->full) {
        d.request.path = raw->uri->path->full;
    }
    if (raw->uri && raw->uri->query_raw) {
        d.request.query = reinterpret_cast<const char *>(raw->uri->query_raw);
    }
    evhtp_kvs_for_each(headers, collectHeader, &d.request.headers);
    std::size_t headerBytes = 0;
    for (const HttpHeader &header : d.request.headers) {
        headerBytes += header.name.size() + header.value.size() + 4;
    }
    if (headerBytes > server->limits.maxHeaderBytes) {
        d.refusalStatus = 431;
        d.refusalText = "request headers over " + std::to_string(server->limits.maxHeaderBytes) + " bytes";
    }
    d.expectedBytes = server->limits.maxBodyBytes;
    parseNumber(findHeader(d.request.headers, "Content-Length"), d.expectedBytes);
    if (state.discardIntervals >= 0) {
        d.refusalStatus = 503; // refused while its head was received; nothing more of it is kept
    }
    server->exchanges[raw] = exchange;
    server->activeRequests[raw->conn] = raw;
    d.updateCharge();
    if (!d.refusalStatus && d.expectedBytes <= server->limits.maxBodyBytes && hasLength(d.request.headers)) {
        server->refuseForMemory(raw, d.expectedBytes);
    }
    return EVHTP_RES_OK;
}

/// Refuses a request that can't be served beside what other callers hold, as soon as that is known.
bool HttpServer::Private::refuseForMemory(evhtp_request_t *raw, std::size_t bodyBytes)
{
    if (!limits.memoryGuard || hasRoomFor(limits.memoryGuard->memory(), bodyBytes)) {
        return false;
    }
    limits.memoryGuard->countRefused();
    refuseInTheMiddle(raw->conn);
    return true;
}

/// Sends 503 before the request is complete. The memory of the request is freed, and what still comes of it is discarded until
/// closeDiscarded() closes the connection.
void HttpServer::Private::refuseInTheMiddle(evhtp_connection_t *connection)
{
    ConnectionState &state = stateOf(connection);
    if (state.discardIntervals >= 0) {
        return;
    }
    state.discardIntervals = 0;
    state.isClosedByServer = true;
    if (const ExchangePtr exchange = activeExchange(connection)) {
        exchange->d->refusalStatus = 503;
        releaseBuffer(exchange->d->request.body);
        exchange->d->updateCharge();
    }
    const std::string response = refusalBytes(503, "no memory for the request now");
    bufferevent *bev = evhtp_connection_get_bev(connection);
    bufferevent_write(bev, response.data(), response.size());
    // libevhtp would parse what still comes, and let it wait in the input while there is much of it.
    const auto discard = [](bufferevent *from, void *) {
        evbuffer *input = bufferevent_get_input(from);
        evbuffer_drain(input, evbuffer_get_length(input));
    };
    bufferevent_setcb(bev, discard, nullptr, nullptr, nullptr);
    if (!discardTimer->isRunning()) {
        discardTimer->startRepeating(discardInterval);
    }
}

/// Closes the connections whose caller has had time to read a refusal in the middle of its request.
void HttpServer::Private::closeDiscarded()
{
    std::vector<evhtp_connection_t *> over;
    bool isAnyLeft = false;
    for (auto &[connection, state] : connections) {
        if (state.discardIntervals < 0) {
            continue;
        }
        if (++state.discardIntervals > 1) {
            over.push_back(connection);
        } else {
            isAnyLeft = true;
        }
    }
    for (evhtp_connection_t *connection : over) {
        evhtp_connection_free(connection);
    }
    if (!isAnyLeft) {
        discardTimer->stop();
    }
}

/// The exchange of a connection's present request; null if it has none.
ExchangePtr HttpServer::Private::activeExchange(evhtp_connection_t *connection) const
{
    const auto open = activeRequests.find(connection);
    return open == activeRequests.end() ? nullptr : find(open->second);
}

/// Ends a response that its caller does not read, as if the caller had disconnected.
void HttpServer::Private::giveUpUnreadResponse(evhtp_connection_t *connection)
{
    stateOf(connection).isClosedByServer = true;
    const ExchangePtr exchange = activeExchange(connection);
    if (!exchange || !exchange->isOpen()) {
        return evhtp_connection_free(connection);
    }
    if (const auto disconnectHandler = std::move(exchange->d->disconnectHandler)) {
        loop.defer(disconnectHandler);
    }
    exchange->abort();
}

/// Lists the connections with a request that is not complete, or with a response that is not read.
void HttpServer::Private::listHolders(std::vector<MemoryHolder> &holders)
{
    for (const auto &[connection, state] : connections) {
        if (state.discardIntervals >= 0) {
            continue; // closed soon, and holds little
        }
        const ExchangePtr exchange = activeExchange(connection);
        const bool isHandled = exchange && exchange->d->isHandled;
        evhtp_connection_t *raw = connection;
        if (!isHandled && (exchange || state.headBytes > 0)) {
            const std::size_t bytes = state.bytes() + (exchange ? exchange->d->charge.bytes() : 0);
            holders.push_back({MemoryUse::Receiving, state.since, bytes, [this, raw] {
                                   if (connections.count(raw) > 0) {
                                       refuseInTheMiddle(raw);
                                   }
                               }});
        } else if (state.output && state.output->bytes() > 0) {
            holders.push_back({MemoryUse::Working, {}, state.output->bytes(), [this, raw] {
                                   if (connections.count(raw) > 0) {
                                       giveUpUnreadResponse(raw);
                                   }
                               }});
        }
    }
}

/// Closes the connection that has gone without a complete request for longest.
void HttpServer::Private::closeUnserved()
{
    evhtp_connection_t *longest = nullptr;
    TimePoint since{};
    for (const auto &[connection, state] : connections) {
        const ExchangePtr exchange = activeExchange(connection);
        const bool isResponding = (exchange && exchange->d->isHandled && !exchange->d->isEnded) || (state.output && state.output->bytes() > 0);
        if (!isResponding && (!longest || state.since < since)) {
            longest = connection;
            since = state.since;
        }
    }
    if (longest) {
        stateOf(longest).isClosedByServer = true;
        evhtp_connection_free(longest);
    }
}

evhtp_res HttpServer::Private::onRead(evhtp_request_t *raw, evbuffer *bytes, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const ExchangePtr exchange = server->find(raw);
    const std::size_t size = evbuffer_get_length(bytes);
    if (exchange) {
        Exchange::Private &d = *exchange->d;
        d.bodyBytes += size;
        if (d.bodyBytes > server->limits.maxBodyBytes && !d.refusalStatus) {
            d.refusalStatus = 413;
            d.refusalText = "request body over " + std::to_string(server->limits.maxBodyBytes) + " bytes";
            d.request.body.clear();
        }
        if (!d.refusalStatus) {
            const std::size_t before = d.request.body.size();
            growBuffer(d.request.body, size, d.expectedBytes);
            d.request.body.resize(before + size);
            evbuffer_copyout(bytes, d.request.body.data() + before, size);
            server->refuseForMemory(raw, d.request.body.size());
        }
        d.updateCharge();
    }
    evbuffer_drain(bytes, size);
    return EVHTP_RES_OK;
}

void HttpServer::Private::onRequest(evhtp_request_t *raw, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const ExchangePtr exchange = server->find(raw);
    if (!exchange) {
        evhtp_send_reply(raw, 500);
        return;
    }
    exchange->d->isHandled = true;
    ConnectionState &state = server->stateOf(raw->conn);
    state.idleSweeps = 0;
    state.since = server->now();
    evhtp_request_pause(raw);
    if (state.discardIntervals >= 0) {
        return; // refused already; closeDiscarded() closes the connection
    }
    trimBuffer(exchange->d->request.body);
    exchange->d->charge.setUse(MemoryUse::Working);
    exchange->d->updateCharge();
    // libevhtp stops reading from a paused connection, so that a disconnected caller would not be noticed and the engines
    // would continue to work for it. Reading into the input buffer is enabled again; libevhtp doesn't process the buffer
    // until the request is resumed.
    bufferevent_enable(evhtp_connection_get_bev(raw->conn), EV_READ);
    if (exchange->d->refusalStatus) {
        exchange->reply(exchange->d->refusalStatus, {{"Connection", "close"}, {"Content-Type", "application/problem+json"}, {"parsley-outcome", "not-run"}},
                        server->refusalText(exchange->d->refusalStatus, exchange->d->refusalText));
        return;
    }
    server->handler(exchange);
}

evhtp_res HttpServer::Private::onRequestFini(evhtp_request_t *raw, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const auto it = server->exchanges.find(raw);
    if (it != server->exchanges.end()) {
        const ExchangePtr exchange = it->second;
        server->exchanges.erase(it);
        const bool endsConnection = !(raw->flags & EVHTP_REQ_FLAG_KEEPALIVE);
        if (exchange->d->isEnded && endsConnection) {
            server->stateOf(raw->conn).isClosedByServer = true;
        }
        handleDisconnect(exchange);
    }
    if (const auto open = server->activeRequests.find(raw->conn); open != server->activeRequests.end() && open->second == raw) {
        server->activeRequests.erase(open);
    }
    return EVHTP_RES_OK;
}

/// A whole response that refuses a request, for where libevhtp sends none.
std::string HttpServer::Private::refusalBytes(int status, const std::string &text) const
{
    const std::string body = refusalText(status, text);
    const std::string retryAfter = status == 503 ? "Retry-After: " + std::string(memoryRetryAfterSeconds) + "\r\n" : std::string();
    return "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status)
           + "\r\nConnection: close\r\nparsley-outcome: not-run\r\nContent-Type: application/problem+json\r\n" + retryAfter
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

evhtp_res HttpServer::Private::onConnectionFini(evhtp_connection_t *connection, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const ConnectionState &state = server->stateOf(connection);
    // libevhtp closes the connection of a malformed request without a response.
    const bool isMalformed = !state.isLost && !state.isClosedByServer && evhtp_connection_get_bev(connection);
    const std::string response = !isMalformed           ? std::string()
                                 : state.isHeadTooLarge ? server->refusalBytes(431, "request headers over the limit")
                                                        : server->refusalBytes(400, "malformed HTTP request");
    server->activeRequests.erase(connection);
    server->connections.erase(connection);
    if (isMalformed) {
        send(bufferevent_getfd(evhtp_connection_get_bev(connection)), response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    return EVHTP_RES_OK;
}

void HttpServer::Private::onEvent(evhtp_connection_t *connection, short events, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const auto open = server->activeRequests.find(connection);
    const ExchangePtr exchange = open == server->activeRequests.end() ? nullptr : server->find(open->second);
    const bool isLost = events & (BEV_EVENT_EOF | BEV_EVENT_ERROR);
    server->stateOf(connection).isLost = isLost;
    if (!exchange || !exchange->d->isHandled || !isLost || exchange->d->isEnded || !exchange->d->raw) {
        return;
    }
    evhtp_request_t *raw = exchange->d->raw;
    handleDisconnect(exchange);
    // libevhtp frees a paused connection only when its request is resumed.
    server->exchanges.erase(raw);
    evhtp_request_resume(raw);
}

evhtp_res HttpServer::Private::onAccept(evhtp_connection_t *connection, void *arg)
{
    auto *server = static_cast<Private *>(arg);
    const auto isFull = [server] {
        return server->limits.maxConnections > 0 && server->connections.size() >= server->limits.maxConnections;
    };
    if (isFull()) {
        server->closeUnserved();
    }
    if (isFull()) {
        return EVHTP_RES_ERROR;
    }
    ConnectionState &state = server->connections.try_emplace(connection, server->memory()).first->second;
    bufferevent *bev = evhtp_connection_get_bev(connection);
    bufferevent_setwatermark(bev, EV_READ, 0, maxInputBytes);
    state.since = server->now();
    state.charge.set(connectionOverheadBytes);
    state.input = std::make_unique<BufferCharge>(bufferevent_get_input(bev), server->memory());
    state.output = std::make_unique<BufferCharge>(bufferevent_get_output(bev), server->memory());
    const int on = 1;
    setsockopt(connection->sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto hook = [&](evhtp_hook_type type, auto function) {
        // libevhtp stores all hooks as one function type and casts them back according to `type`.
        evhtp_connection_set_hook(connection, type, reinterpret_cast<evhtp_hook>(reinterpret_cast<void *>(function)), arg);
    };
    hook(evhtp_hook_on_header, onHeader);
    hook(evhtp_hook_on_headers, onHeaders);
    hook(evhtp_hook_on_read, onRead);
    hook(evhtp_hook_on_request_fini, onRequestFini);
    hook(evhtp_hook_on_connection_fini, onConnectionFini);
    hook(evhtp_hook_on_event, onEvent);
    return EVHTP_RES_OK;
}

/// Closes connections without a complete request: a caller that sends none, or part of one, would otherwise keep its
/// connection and the memory for it for ever.
void HttpServer::Private::closeIdle()
{
    std::vector<evhtp_connection_t *> idle;
    for (auto &[connection, state] : connections) {
        const auto open = activeRequests.find(connection);
        const ExchangePtr exchange = open == activeRequests.end() ? nullptr : find(open->second);
        const bool isResponding = exchange && exchange->d->isHandled && !exchange->d->isEnded;
        state.idleSweeps = isResponding ? 0 : state.idleSweeps + 1;
        if (state.idleSweeps > sweepsPerIdleTimeout) {
            state.isClosedByServer = true;
            idle.push_back(connection);
        }
    }
    for (evhtp_connection_t *connection : idle) {
        evhtp_connection_free(connection);
    }
}

// [SECTION] HttpServer

HttpServer::HttpServer(EventLoop &loop, HttpLimits limits, Handler handler, RefusalBody refusalBody)
    : d(new Private{loop, limits, std::move(handler), std::move(refusalBody), nullptr, {}, {}, {}, ConnectionState(), nullptr})
{
    d->discardTimer = std::make_unique<Timer>(loop, [state = d.get()] {
        state->closeDiscarded();
    });
    if (limits.memoryGuard) {
        d->memorySource = limits.memoryGuard->addSource([state = d.get()](std::vector<MemoryHolder> &holders) {
            state->listHolders(holders);
        });
    }
    d->htp = evhtp_new(loop.base(), nullptr);
    // A body of up to 16 times the limit is read and discarded, so that the caller, which may still be writing, can read the
    // refusal; beyond that libevhtp closes the connection.
    evhtp_set_max_body_size(d->htp, d->limits.maxBodyBytes * 16);
    evhtp_set_post_accept_cb(d->htp, Private::onAccept, d.get());
    evhtp_set_gencb(d->htp, Private::onRequest, d.get());
    d->sweepTimer = std::make_unique<Timer>(loop, [state = d.get()] {
        state->closeIdle();
    });
    d->sweepTimer->startRepeating(limits.idleTimeout / sweepsPerIdleTimeout);
}

HttpServer::~HttpServer()
{
    for (auto &[raw, exchange] : d->exchanges) {
        exchange->d->unwatchOutput();
        exchange->d->disconnectHandler = nullptr;
        exchange->d->raw = nullptr;
        exchange->d->charge.set(0); // its owner may outlive the account
    }
    if (d->htp->server) {
        evhtp_unbind_socket(d->htp);
    }
    std::vector<evhtp_connection_t *> open;
    for (auto &[connection, state] : d->connections) {
        state.isClosedByServer = true;
        open.push_back(connection);
    }
    d->exchanges.clear();
    for (evhtp_connection_t *connection : open) {
        evhtp_connection_free(connection);
    }
    evhtp_free(d->htp);
}

Result<Address> HttpServer::listen(const Address &address)
{
    if (evhtp_bind_socket(d->htp, address.host.c_str(), address.port, 1024) != 0) {
        return fail("listen for HTTP", address.toString(), evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    }
    if (d->limits.memoryGuard) {
        // Accepted sockets inherit it.
        const int receiveBuffer = static_cast<int>(d->limits.memoryGuard->memory().limits.receiveBufferBytes);
        setsockopt(evconnlistener_get_fd(d->htp->server), SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(d->htp->server), reinterpret_cast<sockaddr *>(&bound), &size);
    return Address{address.host, ntohs(bound.sin_port)};
}

// [SECTION] Query strings

std::optional<std::string> queryParameter(std::string_view query, std::string_view name)
{
    evkeyvalq fields{};
    std::optional<std::string> result;
    if (evhttp_parse_query_str(std::string(query).c_str(), &fields) == 0) {
        if (const char *value = evhttp_find_header(&fields, std::string(name).c_str())) {
            result = value;
        }
    }
    evhttp_clear_headers(&fields);
    // evhttp ignores parameters without "=", such as ?dry-run.
    std::string_view remaining = query;
    while (!result && !remaining.empty()) {
        const std::size_t end = remaining.find('&');
        if (remaining.substr(0, end) == name) {
            result = "";
        }
        remaining = end == std::string_view::npos ? std::string_view() : remaining.substr(end + 1);
    }
    return result;
}

} // namespace Parsleytrail
