// Index: [SECTION] Connections, [SECTION] One request, [SECTION] HttpCall, [SECTION] HttpClient
#include "http/client.h"

#include "http/http_message.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <set>

namespace Parsleytrail
{

// [SECTION] Connections

constexpr std::size_t maxIdleConnections = 32;  ///< kept open for each address
constexpr std::size_t maxHeadBytes = 64 * 1024; ///< of a response, and of its trailer

/// evhttp holds a chunk until it has all of it.
constexpr std::uint64_t maxChunkBytes = 128 << 20;

/// Checks a response while evhttp reads it, which takes any number for a status, any text for a header field, and lines of any length
/// between chunks.
struct ResponseCheck {
    enum class State : std::uint8_t { InHead, InChunks, Sound, Malformed };

    State state = State::InHead;
    bool isHead = false;    ///< the request's method is HEAD
    std::string bytes;      ///< received and not checked yet
    BodyReader chunks;      ///< of a chunked body
    std::string chunkBytes; ///< read by `chunks`; not used

    bool hasSoundHead() const
    {
        return state == State::InChunks || state == State::Sound;
    }
    void advance(evbuffer *input, std::size_t added);
    void checkHead();
    void checkChunks();
};

/// Takes the last `added` bytes of `input`.
void ResponseCheck::advance(evbuffer *input, std::size_t added)
{
    if (state == State::Sound || state == State::Malformed) {
        return;
    }
    if (state == State::InChunks && bytes.empty() && chunks.isInChunk) {
        const std::size_t skipped = std::min<std::uint64_t>(chunks.remaining, added);
        chunks.remaining -= skipped;
        added -= skipped;
    }
    if (added == 0) {
        return;
    }
    const std::size_t before = bytes.size();
    evbuffer_ptr from{};
    bytes.resize(before + added);
    evbuffer_ptr_set(input, &from, evbuffer_get_length(input) - added, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(input, &from, bytes.data() + before, added);
    const bool hasNewLine = bytes.find('\n', before) != std::string::npos;
    if (state == State::InHead && (hasNewLine || bytes.size() > maxHeadBytes)) {
        checkHead();
    }
    if (state == State::InChunks) {
        checkChunks();
    }
}

/// Checks the head, after interim responses.
void ResponseCheck::checkHead()
{
    HttpHead head;
    ParseResult result = parseResponseHead(bytes, maxHeadBytes, head);
    while (result == ParseResult::Complete && head.status < 200) {
        bytes.erase(0, head.text.size());
        result = parseResponseHead(bytes, maxHeadBytes, head);
    }
    if (result == ParseResult::Incomplete) {
        return;
    }
    const BodyPlan plan = result == ParseResult::Complete ? planResponseBody(head, isHead) : BodyPlan{{}, true};
    chunks = plan.reader;
    state = plan.isAmbiguous ? State::Malformed : chunks.framing == BodyFraming::Chunked ? State::InChunks : State::Sound;
    if (state == State::InChunks) {
        bytes.erase(0, head.text.size());
    } else {
        bytes = {};
    }
}

void ResponseCheck::checkChunks()
{
    bytes.erase(0, readBody(chunks, bytes, chunkBytes));
    chunkBytes.clear();
    if (chunks.isMalformed || chunks.remaining > maxChunkBytes) {
        state = State::Malformed;
    } else if (chunks.isComplete) {
        state = State::Sound;
    }
}

/// A persistent connection and the state of its current request.
struct HttpConnection {
    evhttp_connection *raw = nullptr; ///< owned connection of evhttp
    Address address;                  ///< address of the server
    bool isFresh = true;              ///< the current request is the first on this connection
    bool hasWritten = false;          ///< a byte of the current request was written to the socket
    std::size_t receivedBytes = 0;    ///< since the start of the current request, with heads and framing
    std::size_t maxReceivedBytes = 0; ///< with more bytes, onRefused is called
    ResponseCheck check;              ///< of the current response
    /// Called once if the bytes received are no response, with the reason; must not free the connection.
    std::function<void(const char *)> onRefused;

    ~HttpConnection()
    {
        evhttp_connection_free(raw);
    }
};
using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

struct HttpCallState;

/// State of the client: idle connections and requests in progress.
struct HttpClientState : std::enable_shared_from_this<HttpClientState> {
    explicit HttpClientState(EventLoop &eventLoop)
        : loop(eventLoop)
    {
    }

    EventLoop &loop;
    std::map<Address, std::vector<HttpConnectionPtr>> idleConnections;
    std::set<std::shared_ptr<HttpCallState>> calls; ///< requests in progress

    HttpConnectionPtr acquireConnection(const Address &address, bool isFresh);
    void releaseConnection(const HttpConnectionPtr &connection);
};

HttpConnectionPtr HttpClientState::acquireConnection(const Address &address, bool isFresh)
{
    auto &available = idleConnections[address];
    if (!isFresh && !available.empty()) {
        HttpConnectionPtr connection = available.back();
        available.pop_back();
        connection->isFresh = false;
        connection->hasWritten = false;
        connection->receivedBytes = 0;
        return connection;
    }
    auto connection = std::make_shared<HttpConnection>();
    connection->address = address;
    connection->raw = evhttp_connection_base_new(loop.base(), nullptr, address.host.c_str(), address.port);
    const auto onOutput = [](evbuffer *, const evbuffer_cb_info *info, void *arg) {
        if (info->n_deleted > 0) {
            static_cast<HttpConnection *>(arg)->hasWritten = true;
        }
    };
    evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(connection->raw)), onOutput, connection.get());
    const auto onInput = [](evbuffer *input, const evbuffer_cb_info *info, void *arg) {
        auto *self = static_cast<HttpConnection *>(arg);
        if (info->n_added > 0) {
            self->check.advance(input, info->n_added);
        }
        self->receivedBytes += info->n_added;
        const bool isMalformed = self->check.state == ResponseCheck::State::Malformed;
        if ((isMalformed || self->receivedBytes > self->maxReceivedBytes) && self->onRefused) {
            std::exchange(self->onRefused, nullptr)(isMalformed ? "malformed answer" : "answer without end");
        }
    };
    evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(connection->raw)), onInput, connection.get());
    evhttp_connection_set_max_headers_size(connection->raw, maxHeadBytes);
    return connection;
}

void HttpClientState::releaseConnection(const HttpConnectionPtr &connection)
{
    auto &available = idleConnections[connection->address];
    if (available.size() < maxIdleConnections) {
        available.push_back(connection);
    }
}

// [SECTION] One request

struct HttpCallState : std::enable_shared_from_this<HttpCallState> {
    HttpClientState *client = nullptr;
    HttpConnectionPtr connection;
    evhttp_request *raw = nullptr; ///< owned by the connection
    HttpStreamHandlers handlers;
    std::unique_ptr<Timer> deadline;
    std::size_t maxBodyBytes = 0;
    std::size_t bodyBytes = 0;
    const char *errorText = "connection lost";
    bool hasHead = false;
    bool isOver = false;
    bool isPaused = false;

    void finish(const std::optional<HttpFailure> &failure);
    void discardConnection();
    void failWith(const std::string &text, bool isTimeout);
    void handleHead();
    void handleData();
    static void onComplete(evhttp_request *request, void *arg);
};

/// Closes the connection. Freeing it is deferred, since evhttp may be on the call stack and still use it.
void HttpCallState::discardConnection()
{
    if (raw) {
        evhttp_request_set_chunked_cb(raw, nullptr);
        evhttp_request_set_header_cb(raw, nullptr);
        evhttp_request_set_error_cb(raw, nullptr);
    }
    raw = nullptr;
    client->loop.defer([keep = std::move(connection)] {});
    connection.reset();
}

void HttpCallState::finish(const std::optional<HttpFailure> &failure)
{
    if (isOver) {
        return;
    }
    isOver = true;
    deadline->stop();
    const auto self = shared_from_this();
    const auto done = std::move(handlers.onDone);
    handlers = {};
    client->calls.erase(self);
    // evhttp holds a pointer to this object until the connection is freed or the request has ended.
    client->loop.defer([self] {});
    if (done) {
        done(failure);
    }
}

void HttpCallState::failWith(const std::string &text, bool isTimeout)
{
    HttpFailure failure;
    failure.error = {"HTTP request", connection->address.toString(), text};
    // On a reused connection the bytes may sit in a socket that the server has just closed, so that it is unknown whether
    // the server received them.
    failure.mayHaveBeenSent = !connection->isFresh || connection->hasWritten;
    failure.hasWritten = connection->hasWritten;
    failure.isTimeout = isTimeout;
    discardConnection();
    finish(failure);
}

void HttpCallState::handleHead()
{
    if (hasHead || !raw) {
        return;
    }
    hasHead = true;
    if (!connection->check.hasSoundHead()) {
        return failWith("malformed answer", false);
    }
    HttpHeaders headers;
    const evkeyvalq *fields = evhttp_request_get_input_headers(raw);
    for (const evkeyval *field = fields->tqh_first; field; field = field->next.tqe_next) {
        headers.push_back({field->key, field->value});
    }
    if (handlers.onHead) {
        handlers.onHead(evhttp_request_get_response_code(raw), headers);
    }
}

void HttpCallState::handleData()
{
    evbuffer *buffer = evhttp_request_get_input_buffer(raw);
    const std::size_t size = evbuffer_get_length(buffer);
    if (size == 0) {
        return;
    }
    handleHead();
    if (isOver) {
        return;
    }
    bodyBytes += size;
    if (bodyBytes > maxBodyBytes) {
        return failWith("answer over " + std::to_string(maxBodyBytes) + " bytes", false);
    }
    std::string bytes(size, '\0');
    evbuffer_remove(buffer, bytes.data(), size);
    if (handlers.onData) {
        handlers.onData(bytes);
    }
    if (isPaused && connection) {
        // evhttp enables reading again after this callback returns, so reading is disabled in a deferred call.
        client->loop.defer([self = shared_from_this()] {
            if (self->isPaused && self->connection) {
                bufferevent_disable(evhttp_connection_get_bufferevent(self->connection->raw), EV_READ);
            }
        });
    }
}

void HttpCallState::onComplete(evhttp_request *request, void *arg)
{
    const auto self = static_cast<HttpCallState *>(arg)->shared_from_this();
    if (self->isOver) {
        return;
    }
    if (!request || evhttp_request_get_response_code(request) == 0) {
        self->raw = nullptr;
        return self->failWith(self->errorText, false);
    }
    self->handleHead();
    if (!self->isOver && self->raw) {
        self->handleData();
    }
    if (self->isOver || !self->connection) {
        return;
    }
    self->raw = nullptr;
    self->connection->onRefused = nullptr;
    self->client->loop.defer([client = self->client->weak_from_this(), connection = self->connection] {
        // Bytes behind the response belong to no request: the next one must not get them as its own response.
        const bool hasMore = evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(connection->raw))) > 0;
        if (const auto state = client.lock(); state && !hasMore) {
            state->releaseConnection(connection);
        }
    });
    self->connection.reset();
    self->finish(std::nullopt);
}

// [SECTION] HttpCall

HttpCall::HttpCall() = default;
HttpCall::~HttpCall() = default;

void HttpCall::cancel()
{
    if (d->isOver) {
        return;
    }
    d->handlers = {};
    d->discardConnection();
    d->finish(std::nullopt);
}

void HttpCall::pauseReading(bool isPaused)
{
    if (d->isOver || !d->connection || d->isPaused == isPaused) {
        return;
    }
    d->isPaused = isPaused;
    bufferevent *bev = evhttp_connection_get_bufferevent(d->connection->raw);
    if (isPaused) {
        bufferevent_disable(bev, EV_READ);
    } else {
        bufferevent_enable(bev, EV_READ);
        bufferevent_trigger(bev, EV_READ, 0);
    }
}

// [SECTION] HttpClient

HttpClient::HttpClient(EventLoop &loop)
    : d(std::make_shared<HttpClientState>(loop))
{
}

HttpClient::~HttpClient()
{
    const auto open = d->calls;
    for (const auto &call : open) {
        call->handlers = {};
        call->isOver = true;
        call->raw = nullptr;
        call->connection.reset();
        call->deadline.reset();
    }
}

static evhttp_cmd_type toEvhttpCommand(const std::string &method)
{
    static const std::map<std::string, evhttp_cmd_type> commands = {
        {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},       {"HEAD", EVHTTP_REQ_HEAD},   {"PUT", EVHTTP_REQ_PUT},
        {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS}, {"PATCH", EVHTTP_REQ_PATCH},
    };
    const auto it = commands.find(method);
    return it == commands.end() ? EVHTTP_REQ_GET : it->second;
}

HttpCallPtr HttpClient::stream(const Address &address, HttpClientRequest request, HttpStreamHandlers handlers)
{
    const HttpCallPtr call(new HttpCall);
    call->d = std::make_shared<HttpCallState>();
    HttpCallState *state = call->d.get();
    state->client = d.get();
    state->handlers = std::move(handlers);
    state->maxBodyBytes = request.maxBodyBytes;
    state->connection = d->acquireConnection(address, request.useFreshConnection);
    state->connection->check = {};
    state->connection->check.isHead = request.method == "HEAD";
    // A body of single-byte chunks has several times its own length. Interim responses have no body at all.
    constexpr std::size_t framingFactor = 8;
    const bool isBounded = request.maxBodyBytes < (SIZE_MAX - maxHeadBytes) / framingFactor;
    state->connection->maxReceivedBytes = isBounded ? request.maxBodyBytes * framingFactor + maxHeadBytes : SIZE_MAX;
    state->connection->onRefused = [weak = std::weak_ptr(call->d), &loop = d->loop](const char *reason) {
        loop.defer([weak, reason] {
            const auto self = weak.lock();
            if (self && !self->isOver) {
                self->failWith(reason, false);
            }
        });
    };
    state->raw = evhttp_request_new(HttpCallState::onComplete, state);
    evhttp_request_set_header_cb(state->raw, [](evhttp_request *, void *arg) {
        const auto self = static_cast<HttpCallState *>(arg)->shared_from_this();
        self->handleHead();
        return 0;
    });
    evhttp_request_set_chunked_cb(state->raw, [](evhttp_request *, void *arg) {
        const auto self = static_cast<HttpCallState *>(arg)->shared_from_this();
        if (!self->isOver && self->raw) {
            self->handleData();
        }
    });
    evhttp_request_set_error_cb(state->raw, [](evhttp_request_error error, void *arg) {
        auto *self = static_cast<HttpCallState *>(arg);
        self->errorText = error == EVREQ_HTTP_TIMEOUT ? "no answer in time" : error == EVREQ_HTTP_INVALID_HEADER ? "malformed answer" : "connection lost";
    });
    evkeyvalq *fields = evhttp_request_get_output_headers(state->raw);
    evhttp_add_header(fields, "Host", address.toString().c_str());
    for (const HttpHeader &header : request.headers) {
        evhttp_add_header(fields, header.name.c_str(), header.value.c_str());
    }
    const bool hasBody = !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (hasBody) {
        evhttp_add_header(fields, "Content-Length", std::to_string(request.body.size()).c_str());
        evbuffer_add(evhttp_request_get_output_buffer(state->raw), request.body.data(), request.body.size());
    }
    state->deadline = std::make_unique<Timer>(d->loop, [weak = std::weak_ptr(call->d)] {
        const auto self = weak.lock();
        if (self && !self->isOver) {
            self->failWith("no answer in time", true);
        }
    });
    state->deadline->start(request.timeout);
    d->calls.insert(call->d);
    const auto keep = call->d;
    const int makeResult = evhttp_make_request(state->connection->raw, state->raw, toEvhttpCommand(request.method), request.path.c_str());
    if (makeResult != 0 && !state->isOver) {
        d->loop.defer([keep] {
            if (!keep->isOver) {
                keep->raw = nullptr;
                keep->failWith("request could not be started", false);
            }
        });
    }
    if (state->connection) {
        const int on = 1;
        const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(state->connection->raw));
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    return call;
}

HttpCallPtr HttpClient::fetch(const Address &address, HttpClientRequest request, std::function<void(const HttpResult &)> done)
{
    auto result = std::make_shared<HttpResult>();
    HttpStreamHandlers handlers;
    handlers.onHead = [result](int status, const HttpHeaders &headers) {
        result->status = status;
        result->headers = headers;
    };
    handlers.onData = [result](std::string_view bytes) {
        result->body.append(bytes);
    };
    handlers.onDone = [result, done = std::move(done)](const std::optional<HttpFailure> &failure) {
        result->failure = failure;
        done(*result);
    };
    return stream(address, std::move(request), std::move(handlers));
}

} // namespace Parsleytrail
