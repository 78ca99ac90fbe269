// Index: [SECTION] Sockets, [SECTION] Connection, [SECTION] Listener
#include "relay/connection.h"

#include "base/log.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace Parsleytrail
{

// [SECTION] Sockets

/// A connection whose sent bytes stay unacknowledged for this long fails, as a peer that lost power never resets it. Long
/// enough for two retransmissions, so that a lost packet does not fail the connection.
constexpr milliseconds sendTimeout{2500};
/// An idle connection is probed after this time, then once a second. After two unanswered probes, it ends when the third
/// would be due.
constexpr int keepAliveSeconds = 2;
constexpr int keepAliveProbes = 2;
constexpr milliseconds lingerTime{1000};              ///< for closeAfterWriting(); longer than a round trip to any caller
constexpr milliseconds closingStallTime{4000};        ///< for closeAfterWriting(): a peer that takes nothing for this long does not read any more
constexpr std::size_t maxReadBytes = 64 * 1024;       ///< upper bound of one read from a socket
constexpr std::size_t defaultInputLimit = 256 * 1024; ///< for setInputLimit()
/// Capacity that an empty buffer keeps, so that ordinary messages allocate nothing.
constexpr std::size_t keptBufferBytes = 4096;
/// Receive buffer of a connection to a target, if it is charged: its owner pauses reading while a client doesn't read its response, and
/// the target goes on sending.
constexpr int targetReceiveBufferBytes = 64 * 1024;

const char *toString(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::PeerClosed:
        return "closed";
    case ConnectionEnd::Reset:
        return "reset";
    case ConnectionEnd::NotEstablished:
        return "not-made";
    }
    return "unknown";
}

static void setOption(int socket, int level, int name, int value)
{
    // Errors are ignored: a socket without one of these options still works and only detects a lost peer later.
    setsockopt(socket, level, name, &value, sizeof value);
}

static void prepareSocket(int socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(sendTimeout.count()));
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

static sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

// [SECTION] Connection

struct Connection::Private {
    int socket = -1;
    event *readEvent = nullptr;
    event *writeEvent = nullptr;
    std::unique_ptr<Timer> timeoutTimer; ///< limits connecting, later closing
    Handlers handlers;
    std::string input;
    std::string output;           ///< buffered until the socket accepts it
    std::size_t outputOffset = 0; ///< offset of the first byte of `output` that was not sent
    bool isConnected = true;
    bool isPaused = false;
    bool isClosing = false; ///< closeAfterWriting() was called
    bool hasWritten = false;
    bool hasSendFailed = false; ///< nothing can be sent any more; what was received may still be read
    bool wasReset = false;      ///< sending has taken the error of the socket: reading will show an orderly end
    std::size_t inputLimit = defaultInputLimit;
    std::size_t receiveBufferBytes = 0; ///< that the kernel may hold while the connection is not read
    MemoryUse memoryUse = MemoryUse::Working;
    MemoryCharge charge;

    explicit Private(ClientMemory *memory)
        : charge(memory)
    {
    }
    bool mustWaitForMemory() const;
    void updateCharge();
    void release()
    {
        if (socket < 0) {
            return;
        }
        event_free(readEvent);
        event_free(writeEvent);
        ::close(socket);
        socket = -1;
        timeoutTimer.reset();
        updateCharge();
    }
};

/// Whether a read has to wait until the account of memory has room again.
bool Connection::Private::mustWaitForMemory() const
{
    return memoryUse == MemoryUse::Receiving && charge.memory() && isOver(*charge.memory());
}

void Connection::Private::updateCharge()
{
    if (!charge.memory()) {
        return;
    }
    const std::size_t inKernel = isPaused ? receiveBufferBytes : 0;
    charge.set(socket < 0 ? 0 : connectionOverheadBytes + input.capacity() + output.capacity() + inKernel);
}

/// Frees the memory of an empty buffer, unless it is little.
static void releaseIfEmpty(std::string &buffer)
{
    if (buffer.empty() && buffer.capacity() > keptBufferBytes) {
        releaseBuffer(buffer);
    }
}

Connection::Connection(ClientMemory *memory)
    : d(std::make_unique<Private>(memory))
{
}

Connection::~Connection()
{
    d->release();
}

/// Closes a connection and calls its onEnd handler, at most once.
static void endConnection(Connection &connection, Connection::Handlers &handlers, ConnectionEnd end)
{
    const auto onEnd = std::move(handlers.onEnd);
    connection.close();
    if (onEnd) {
        onEnd(end);
    }
}

std::shared_ptr<Connection> Connection::adopt(EventLoop &loop, int socket, ClientMemory *memory)
{
    std::shared_ptr<Connection> connection(new Connection(memory));
    Private &data = *connection->d;
    data.socket = socket;
    data.receiveBufferBytes = memory ? memory->limits.receiveBufferBytes : 0;
    data.updateCharge();
    prepareSocket(socket);
    Connection *self = connection.get();
    const auto onReadable = [](evutil_socket_t, short, void *arg) {
        const auto self = static_cast<Connection *>(arg)->shared_from_this();
        Private &data = *self->d;
        static std::array<char, maxReadBytes> buffer;
        if (data.mustWaitForMemory()) {
            return data.charge.memory()->onOver();
        }
        const std::size_t room = data.isClosing ? buffer.size() : data.inputLimit - std::min(data.inputLimit - 1, data.input.size());
        const ssize_t size = recv(data.socket, buffer.data(), std::min(buffer.size(), room), 0);
        if (size > 0) {
            if (data.isClosing) {
                return;
            }
            data.input.append(buffer.data(), size);
            if (data.input.size() >= data.inputLimit) {
                self->pauseReading(true);
            }
            if (data.handlers.onInput) {
                // Call a copy, as the handler may replace the handlers.
                const auto onInput = data.handlers.onInput;
                onInput();
            }
            self->updateCharge();
            return;
        }
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        endConnection(*self, data.handlers, size == 0 && !data.wasReset ? ConnectionEnd::PeerClosed : ConnectionEnd::Reset);
    };
    const auto onWritable = [](evutil_socket_t, short, void *arg) {
        const auto self = static_cast<Connection *>(arg)->shared_from_this();
        Private &data = *self->d;
        if (!data.isConnected) {
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(data.socket, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0) {
                return endConnection(*self, data.handlers, ConnectionEnd::NotEstablished);
            }
            data.isConnected = true;
            data.timeoutTimer->stop();
            event_add(data.readEvent, nullptr);
            if (data.handlers.onConnected) {
                const auto onConnected = data.handlers.onConnected;
                onConnected();
            }
        }
        if (data.socket >= 0) {
            self->write({});
        }
    };
    data.readEvent = event_new(loop.base(), socket, EV_READ | EV_PERSIST, onReadable, self);
    data.writeEvent = event_new(loop.base(), socket, EV_WRITE, onWritable, self);
    data.timeoutTimer = std::make_unique<Timer>(loop, [self] {
        const auto keepSelf = self->shared_from_this();
        endConnection(*self, self->d->handlers, self->d->isConnected ? ConnectionEnd::Reset : ConnectionEnd::NotEstablished);
    });
    event_add(data.readEvent, nullptr);
    return connection;
}

std::shared_ptr<Connection> Connection::connect(EventLoop &loop, const Address &address, milliseconds timeout, ClientMemory *memory)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return nullptr;
    }
    const auto connection = adopt(loop, socket, memory);
    Private &data = *connection->d;
    data.isConnected = false;
    if (memory) {
        setOption(socket, SOL_SOCKET, SO_RCVBUF, targetReceiveBufferBytes);
        data.receiveBufferBytes = targetReceiveBufferBytes;
    }
    event_del(data.readEvent);
    const sockaddr_in target = socketAddress(address);
    const int result = ::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    data.timeoutTimer->start(result != 0 && errno != EINPROGRESS ? milliseconds(0) : timeout);
    event_add(data.writeEvent, nullptr);
    return connection;
}

void Connection::setHandlers(Handlers handlers)
{
    d->handlers = std::move(handlers);
}

std::string &Connection::input()
{
    return d->input;
}

void Connection::write(std::string_view bytes)
{
    if (d->socket < 0) {
        return;
    }
    if (unsentBytes() > 0 || !d->isConnected) {
        discardSentBytes();
        d->output.append(bytes);
        bytes = std::string_view(d->output).substr(d->outputOffset);
    }
    std::size_t sent = 0;
    if (!bytes.empty() && d->isConnected) {
        const ssize_t size = d->hasSendFailed ? 0 : send(d->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size < 0) {
            recordSendError(errno);
        }
        sent = size > 0 ? size : 0;
        d->hasWritten = d->hasWritten || sent > 0;
    }
    const bool wasWaiting = unsentBytes() > 0;
    if (wasWaiting) {
        d->outputOffset += sent;
    } else if (sent < bytes.size()) {
        d->output.assign(bytes.substr(sent));
        d->outputOffset = 0;
    }
    if (d->isClosing && sent > 0) {
        d->timeoutTimer->start(unsentBytes() > 0 ? closingStallTime : lingerTime);
    }
    if (unsentBytes() > 0) {
        if (!d->hasSendFailed) {
            event_add(d->writeEvent, nullptr);
        }
        d->updateCharge();
        return;
    }
    d->output.clear();
    d->outputOffset = 0;
    releaseIfEmpty(d->output);
    d->updateCharge();
    if (d->isClosing) {
        shutdown(d->socket, SHUT_WR);
    } else if (wasWaiting && d->handlers.onDrained) {
        const auto onDrained = d->handlers.onDrained;
        onDrained();
    }
}

/// A failed socket becomes readable, so that onEnd is called from the loop and never from within write(). The error is reported only once, here:
/// afterwards reading shows what was received and then an orderly end, also where the peer has reset the connection.
void Connection::recordSendError(int error)
{
    if (error == EAGAIN || error == EINTR) {
        return;
    }
    d->hasSendFailed = true;
    // EPIPE: the peer had ended its direction in an orderly way before it reset the connection, and everything it sent was received.
    d->wasReset = error != EPIPE;
}

/// Drops the part of the output that was sent, once it is more than what is left: a stream's output would grow for as long as its
/// client never reads all.
void Connection::discardSentBytes()
{
    if (d->outputOffset > std::max(unsentBytes(), keptBufferBytes)) {
        d->output.erase(0, d->outputOffset);
        d->outputOffset = 0;
    }
}

void Connection::setInputLimit(std::size_t bytes)
{
    d->inputLimit = bytes;
}

void Connection::setMemoryUse(MemoryUse use)
{
    d->memoryUse = use;
    d->charge.setUse(use);
}

std::size_t Connection::chargedBytes() const
{
    return d->charge.bytes();
}

void Connection::updateCharge()
{
    releaseIfEmpty(d->input);
    d->updateCharge();
}

std::size_t Connection::unsentBytes() const
{
    return d->output.size() - d->outputOffset;
}

bool Connection::hasWritten() const
{
    return d->hasWritten;
}

void Connection::resetHasWritten()
{
    d->hasWritten = false;
}

void Connection::pauseReading(bool isPaused)
{
    if (d->socket < 0 || d->isPaused == isPaused || !d->isConnected) {
        return;
    }
    d->isPaused = isPaused;
    if (isPaused) {
        event_del(d->readEvent);
    } else {
        event_add(d->readEvent, nullptr);
    }
    d->updateCharge();
}

bool Connection::isConnected() const
{
    return d->socket >= 0 && d->isConnected;
}

bool Connection::isOpen() const
{
    return d->socket >= 0;
}

void Connection::close()
{
    // The handlers hold references to their owners, which hold this connection: clearing them breaks the reference cycle.
    const Handlers dropped = std::move(d->handlers);
    d->handlers = {};
    d->release();
}

void Connection::reset()
{
    if (d->socket < 0) {
        return;
    }
    const linger immediately{1, 0};
    setsockopt(d->socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close();
}

void Connection::closeAfterWriting(std::function<void()> onClosed)
{
    if (d->socket < 0) {
        return;
    }
    d->isClosing = true;
    d->handlers = {};
    d->handlers.onEnd = [onClosed = std::move(onClosed)](ConnectionEnd) {
        onClosed();
    };
    setMemoryUse(MemoryUse::Working);
    d->input.clear();
    updateCharge();
    pauseReading(false);
    d->timeoutTimer->start(unsentBytes() > 0 ? closingStallTime : lingerTime);
    if (unsentBytes() == 0) {
        shutdown(d->socket, SHUT_WR);
    }
}

// [SECTION] Listener

struct Listener::Private {
    EventLoop &loop;
    Handler handler;
    evconnlistener *listener = nullptr;
    bool isAccepting = true;
    std::unique_ptr<Timer> resumeTimer{}; ///< runs while no connection is accepted after an error

    void applyAccepting() const;
    void handleError();
};

/// An error of accept() mostly means that no descriptor is free. The connection stays in the backlog, so that the next try follows at once.
constexpr milliseconds acceptErrorPause{100};

void Listener::Private::applyAccepting() const
{
    if (!listener) {
        return;
    }
    if (isAccepting && !resumeTimer->isRunning()) {
        evconnlistener_enable(listener);
    } else {
        evconnlistener_disable(listener);
    }
}

void Listener::Private::handleError()
{
    logEvent(Event::AcceptFailed, {{"reason", std::strerror(errno)}, {"pause_ms", std::to_string(acceptErrorPause.count())}});
    resumeTimer->start(acceptErrorPause);
    applyAccepting();
}

constexpr int listenBacklog = 512; ///< not yet accepted connections: enough for all callers of a data centre reconnecting at once

Listener::Listener(EventLoop &loop, Handler handler)
    : d(std::make_unique<Private>(Private{loop, std::move(handler)}))
{
    d->resumeTimer = std::make_unique<Timer>(loop, [this] {
        d->applyAccepting();
    });
}

Listener::~Listener()
{
    close();
}

Result<void> Listener::listen(const Address &address, std::size_t receiveBufferBytes)
{
    const sockaddr_in local = socketAddress(address);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *arg) {
        static_cast<Private *>(arg)->handler(socket);
    };
    const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    d->listener = evconnlistener_new_bind(d->loop.base(), onAccept, d.get(), flags, listenBacklog, reinterpret_cast<const sockaddr *>(&local), sizeof local);
    if (!d->listener) {
        return fail("listen", address.toString(), std::strerror(errno));
    }
    evconnlistener_set_error_cb(d->listener, [](evconnlistener *, void *arg) {
        static_cast<Private *>(arg)->handleError();
    });
    if (receiveBufferBytes > 0) {
        // Accepted sockets inherit it; the system then no longer raises the buffers of connections by itself.
        setOption(evconnlistener_get_fd(d->listener), SOL_SOCKET, SO_RCVBUF, static_cast<int>(receiveBufferBytes));
    }
    d->applyAccepting();
    return {};
}

void Listener::setAccepting(bool isAccepting)
{
    d->isAccepting = isAccepting;
    d->applyAccepting();
}

std::uint16_t Listener::port() const
{
    sockaddr_in local{};
    socklen_t size = sizeof local;
    getsockname(evconnlistener_get_fd(d->listener), reinterpret_cast<sockaddr *>(&local), &size);
    return ntohs(local.sin_port);
}

void Listener::close()
{
    if (d->listener) {
        evconnlistener_free(d->listener);
        d->listener = nullptr;
    }
}

} // namespace Parsleytrail
