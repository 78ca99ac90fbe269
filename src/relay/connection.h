// A TCP connection on the loop: bytes in, bytes out, with a limit on what may be waiting.
//
// Writes go to the socket at once; only what it does not take waits for the loop. A relayed event costs one read and one
// write, where buffered writes of the library cost two more system calls each.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
    PeerClosed,    ///< the peer closed it in order
    Reset,         ///< reset, or failed otherwise
    NotEstablished ///< it was never established
};
const char *toString(ConnectionEnd end);

/// A connection. Its owner holds the pointer; callbacks come on the loop and may drop it.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    struct Handlers {
        std::function<void()> onConnected;        ///< a connection that was begun here is established
        std::function<void()> onInput;            ///< input() has grown
        std::function<void(ConnectionEnd)> onEnd; ///< once; not after close()
        std::function<void()> onDrained;          ///< all that was written has been handed to the socket
    };

    /// Takes over an accepted socket.
    static std::shared_ptr<Connection> adopt(EventLoop &loop, int socket);
    /// Begins a connection; onEnd tells NotMade if it fails or takes longer than `limit`.
    static std::shared_ptr<Connection> connect(EventLoop &loop, const Address &address, milliseconds timeout);
    ~Connection();

    void setHandlers(Handlers handlers);
    /// Bytes received and not yet taken. The owner erases what it used.
    std::string &input();
    void write(std::string_view bytes);
    /// Bytes that the socket has not taken yet.
    std::size_t unsentBytes() const;
    /// Whether any byte was handed to the socket since markWrites().
    bool hasWritten() const;
    void resetHasWritten();
    void pauseReading(bool isPaused);
    bool isConnected() const;
    bool isOpen() const;
    /// Closes at once; no handler follows.
    void close();
    /// Closes with a reset, so that the peer can't take what it has for a whole answer; no handler follows.
    void reset();
    /// Sends what is waiting, then closes, reading and dropping what the peer still sends for up to a second: closing with
    /// unread bytes would reset the connection and could destroy the answer on its way. The owner keeps the connection
    /// until `onClosed`; no other handler follows.
    void closeAfterWriting(std::function<void()> onClosed);

private:
    struct Private;
    Connection();
    std::unique_ptr<Private> d;
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// Accepts connections on an address.
class Listener
{
public:
    using Handler = std::function<void(int socket)>;

    Listener(EventLoop &loop, Handler handler);
    ~Listener();
    /// Fails with the step "listen".
    Result<void> listen(const Address &address);
    /// Connections that come while it does not accept wait in the system's queue.
    void setAccepting(bool isAccepting);
    /// Port that was taken.
    std::uint16_t port() const;
    void close();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
