#include "stand-ins/raw_target.h"

#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <map>
#include <set>
#include <stdexcept>

namespace Parsleytrail::StandIn
{

std::string RawRequest::field(std::string_view name) const
{
    HttpHead parsed;
    parseRequestHead(head, head.size(), parsed);
    return std::string(parsed.find(name));
}

/// An accepted connection and its number.
struct RawConnection {
    ConnectionPtr connection;
    int number = 0;
};

constexpr std::size_t maxRequestBytes = 4 << 20;
constexpr std::uint64_t longBodyBytes = 16 * 1024; ///< see RawTargetOptions

/// Listening socket whose connections have small receive buffers and segments.
class NarrowListener
{
public:
    NarrowListener(EventLoop &loop, std::function<void(int socket)> handler)
        : m_handler(std::move(handler))
        , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        constexpr int receiveBufferBytes = 4096;
        constexpr int segmentBytes = 1400;
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(m_socket, SOMAXCONN) != 0) {
            throw std::runtime_error("no port to listen on");
        }
        const auto onReadable = [](evutil_socket_t listening, short, void *arg) {
            const int accepted = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted >= 0) {
                static_cast<NarrowListener *>(arg)->m_handler(accepted);
            }
        };
        m_event = event_new(loop.base(), m_socket, EV_READ | EV_PERSIST, onReadable, this);
        event_add(m_event, nullptr);
    }
    ~NarrowListener()
    {
        event_free(m_event);
        evutil_closesocket(m_socket);
    }
    NarrowListener(const NarrowListener &) = delete;
    NarrowListener &operator=(const NarrowListener &) = delete;

    std::uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        return ntohs(address.sin_port);
    }

private:
    std::function<void(int)> m_handler;
    int m_socket;
    event *m_event = nullptr;
};

struct RawTarget::Private {
    Private(EventLoop &eventLoop, Handler onRequest, RawTargetOptions targetOptions)
        : loop(eventLoop)
        , handler(std::move(onRequest))
        , options(targetOptions)
    {
    }

    EventLoop &loop;
    Handler handler;
    RawTargetOptions options;
    std::unique_ptr<Listener> listener;
    std::unique_ptr<NarrowListener> narrowListener;
    std::vector<RawRequest> requests;
    std::map<int, ConnectionPtr> connections; ///< open, by number
    std::set<ConnectionPtr> closing;          ///< still writing their last response
    std::vector<std::unique_ptr<Timer>> delayTimers;
    Address address;
    bool isCrashed = false;
    int accepted = 0;
    int closed = 0;

    void handleInput(int number);
    void accept(int socket);
    void reply(int number, const RawReply &reply);
    void resetLater(int number, milliseconds delay);
    void listen();
    void crash();
};

void RawTarget::Private::handleInput(int number)
{
    const auto it = connections.find(number);
    if (it == connections.end()) {
        return;
    }
    std::string &input = it->second->input();
    HttpHead head;
    if (parseRequestHead(input, 1 << 20, head) != ParseResult::Complete) {
        return;
    }
    BodyPlan plan = planRequestBody(head);
    RawRequest request;
    const std::size_t used = readBody(plan.reader, std::string_view(input).substr(head.text.size()), request.body);
    const bool isEarly = options.respondsBeforeLongBodies && plan.reader.remaining + request.body.size() > longBodyBytes;
    if (!plan.reader.isComplete && !isEarly) {
        return;
    }
    if (isEarly) {
        it->second->pauseReading(true);
        request.body.clear();
    }
    request.head = head.text;
    request.connection = number;
    input.erase(0, head.text.size() + used);
    requests.push_back(request);
    const RawReply answer = handler(request);
    if (answer.delay == milliseconds(0)) {
        return reply(number, answer);
    }
    delayTimers.push_back(std::make_unique<Timer>(loop, [this, number, answer] {
        reply(number, answer);
    }));
    delayTimers.back()->start(answer.delay);
}

void RawTarget::Private::reply(int number, const RawReply &reply)
{
    const auto it = connections.find(number);
    if (it == connections.end()) {
        return;
    }
    if (reply.crashes) {
        return crash();
    }
    const ConnectionPtr connection = it->second;
    connection->write(reply.bytes);
    if (reply.resets && reply.resetDelay > milliseconds(0)) {
        return resetLater(number, reply.resetDelay);
    }
    if (reply.resets || reply.closes) {
        connections.erase(it);
        if (reply.resets) {
            if (reply.endsBeforeReset) {
                connection->closeAfterWriting([] {}); // nothing is unsent, so that this ends the sending direction at once
            }
            connection->reset();
        } else {
            closing.insert(connection);
            connection->closeAfterWriting([this, connection = connection.get()] {
                closing.erase(connection->shared_from_this());
            });
        }
    }
}

void RawTarget::Private::resetLater(int number, milliseconds delay)
{
    delayTimers.push_back(std::make_unique<Timer>(loop, [this, number] {
        const auto it = connections.find(number);
        if (it != connections.end()) {
            const ConnectionPtr connection = it->second;
            connections.erase(it);
            connection->reset();
        }
    }));
    delayTimers.back()->start(delay);
}

void RawTarget::Private::accept(int socket)
{
    const int number = ++accepted;
    const ConnectionPtr connection = Connection::adopt(loop, socket);
    connection->setInputLimit(maxRequestBytes);
    connections[number] = connection;
    Connection::Handlers handlers;
    handlers.onInput = [this, number] {
        handleInput(number);
    };
    handlers.onEnd = [this, number](ConnectionEnd) {
        ++closed;
        connections.erase(number);
    };
    connection->setHandlers(std::move(handlers));
}

void RawTarget::Private::listen()
{
    const auto onAccepted = [this](int socket) {
        accept(socket);
    };
    if (options.respondsBeforeLongBodies) {
        narrowListener = std::make_unique<NarrowListener>(loop, onAccepted);
        address.port = narrowListener->port();
        return;
    }
    listener = std::make_unique<Listener>(loop, onAccepted);
    Error error;
    runCatching(
        [this] {
            return listener->listen(address);
        },
        error);
    address.port = listener->port();
}

void RawTarget::Private::crash()
{
    isCrashed = true;
    listener.reset();
    narrowListener.reset();
    delayTimers.clear();
    for (const auto &[number, connection] : std::exchange(connections, {})) {
        connection->reset();
    }
}

RawTarget::RawTarget(EventLoop &loop, Handler handler, RawTargetOptions options)
    : d(std::make_unique<Private>(loop, std::move(handler), options))
{
    d->address = {"127.0.0.1", 0};
    d->listen();
}

RawTarget::~RawTarget()
{
    closeConnections();
    for (const ConnectionPtr &connection : std::exchange(d->closing, {})) {
        connection->close();
    }
}

Address RawTarget::address() const
{
    return d->address;
}

const std::vector<RawRequest> &RawTarget::requests() const
{
    return d->requests;
}

int RawTarget::closedConnections() const
{
    return d->closed;
}

void RawTarget::sendUnsolicited(const std::string &bytes)
{
    for (const auto &[number, connection] : d->connections) {
        connection->write(bytes);
    }
}

void RawTarget::crash()
{
    d->crash();
}

void RawTarget::restart()
{
    d->isCrashed = false;
    d->listen();
}

bool RawTarget::isCrashed() const
{
    return d->isCrashed;
}

void RawTarget::closeConnections()
{
    for (const auto &[number, connection] : std::exchange(d->connections, {})) {
        connection->close();
    }
}

std::string sealedAnswer(const RawRequest &request, const std::string &body, const std::string &statusLine, const std::string &extraFields)
{
    return statusLine + "\r\nX-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\nX-Response-Seal: seal-1\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n" + extraFields + "\r\n" + body;
}

} // namespace Parsleytrail::StandIn
