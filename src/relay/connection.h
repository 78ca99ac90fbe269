// Non-blocking TCP connections and listeners on the event loop.
//
// Reading stops while too much received data is unprocessed. Writes go to the socket immediately; only bytes that the
// socket does not accept are buffered until the loop reports it writable. A relayed event therefore costs one read and one
// write, where libevent's buffered writes cost two more system calls each.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "policy/client_memory.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
    PeerClosed,    ///< the peer closed it with an orderly shutdown: all that it sent was received
    Reset,         ///< it was reset or failed in another way
    NotEstablished ///< it could not be established
};
const char *toString(ConnectionEnd end);

/// A TCP connection. The owner holds the pointer; handlers are called from the event loop and may release it.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    struct Handlers {
        std::function<void()> onConnected;        ///< an outgoing connection is established
        std::function<void()> onInput;            ///< bytes were appended to input()
        std::function<void(ConnectionEnd)> onEnd; ///< called at most once, never after close()
        std::function<void()> onDrained;          ///< all buffered bytes have been passed to the socket
    };

    /// Takes ownership of an accepted socket. What the connection holds is charged to `memory`, unless that is null.
    static std::shared_ptr<Connection> adopt(EventLoop &loop, int socket, ClientMemory *memory = nullptr);
    /// Starts connecting; onEnd gets NotEstablished if that fails or takes longer than `timeout`. Returns null if no socket
    /// could be created.
    static std::shared_ptr<Connection> connect(EventLoop &loop, const Address &address, milliseconds timeout, ClientMemory *memory = nullptr);
    ~Connection();

    void setHandlers(Handlers handlers);
    /// Bytes received and not yet processed. The owner erases what it has consumed.
    std::string &input();
    void write(std::string_view bytes);
    /// Most bytes that input() may have; reading pauses at that many.
    void setInputLimit(std::size_t bytes);
    /// What its memory is held for; at first MemoryUse::Working. While it is Receiving, nothing is read as long as the account is over its
    /// limit.
    void setMemoryUse(MemoryUse use);
    /// Bytes charged to the account.
    std::size_t chargedBytes() const;
    /// Charges what input() holds now. Called by an owner that has changed it outside of a handler.
    void updateCharge();
    /// Number of buffered bytes that the socket has not accepted yet.
    std::size_t unsentBytes() const;
    /// Whether any byte was passed to the socket since resetHasWritten().
    bool hasWritten() const;
    void resetHasWritten();
    void pauseReading(bool isPaused);
    bool isConnected() const;
    bool isOpen() const;
    /// Closes immediately; no handler is called afterwards.
    void close();
    /// Closes with a TCP reset, so that the peer can't mistake what it has received for a complete response. No handler is
    /// called afterwards.
    void reset();
    /// Sends the buffered bytes, for as long as the peer takes some, then closes. Until then, and for up to a second after, bytes from
    /// the peer are read and discarded: closing a socket with unread bytes resets the connection, which could destroy the response in
    /// transit. The owner keeps the connection until `onClosed` is called; no other handler is called.
    void closeAfterWriting(std::function<void()> onClosed);

private:
    struct Private;
    explicit Connection(ClientMemory *memory);
    void recordSendError(int error);
    void discardSentBytes();
    std::unique_ptr<Private> d;
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// Accepts TCP connections on one address. After an error of accept(), which is logged, it pauses: the next try would fail too.
class Listener
{
public:
    using Handler = std::function<void(int socket)>;

    Listener(EventLoop &loop, Handler handler);
    ~Listener();
    /// `receiveBufferBytes` limits what the kernel holds of each accepted connection; 0: as the system sets it. An error has the step
    /// "listen".
    Result<void> listen(const Address &address, std::size_t receiveBufferBytes = 0);
    /// While not accepting, new connections wait in the kernel's backlog.
    void setAccepting(bool isAccepting);
    /// Port that the listener is bound to.
    std::uint16_t port() const;
    void close();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
