// Links: TCP connections that carry frames between the processes of the system.
//
//     LinkServer server(loop, self, handlers);  server.listen({"127.0.0.1", 0});
//     LinkPool pool(loop, self, handlers);      pool.link(address)->send(message);
//
// Both ends send Hello first; a link whose peer sends anything else first is closed. Handlers receive the link as a
// shared_ptr and may close or release it at any time, also from within a handler.
#pragma once

#include "base/address.h"
#include "generated/messages.h"
#include "policy/client_memory.h"
#include "wire/event_loop.h"
#include "wire/frame.h"

#include <functional>
#include <memory>

struct bufferevent;

namespace Parsleytrail
{

class Link;
using LinkPtr = std::shared_ptr<Link>;

/// What this process announces on its links, and the wire version it supports.
struct LinkIdentity {
    Hello hello;                                    ///< first message on each link
    std::uint16_t wireVersion = currentWireVersion; ///< newest wire version to write and read
};

/// Callbacks for the links of a server or pool.
struct LinkHandlers {
    std::function<void(const LinkPtr &)> onReady;                 ///< the peer's Hello was received; may be empty
    std::function<bool(const LinkPtr &, const Frame &)> onFrame;  ///< returns false if the frame is malformed or unexpected; the link is then closed
    std::function<void(const LinkPtr &, const Error &)> onClosed; ///< called once when the peer closes the link or it fails; not called by close()
};

/// A TCP connection that carries frames.
class Link : public std::enable_shared_from_this<Link>
{
public:
    ~Link();

    /// Sends a message. Dropped if the link is closed; dropped and logged if the message exceeds one of its limits.
    template<typename Message>
    void send(const Message &message)
    {
        std::string &buffer = beginSend();
        if (appendFrame(message, wireVersion(), buffer)) {
            endSend();
        } else {
            logUnsent(Message::messageId);
        }
    }
    /// Closes without calling onClosed.
    void close();
    bool isOpen() const;
    /// The peer's Hello; its `process` is empty until it is received.
    const Hello &peer() const;
    /// Address of the peer, for logs and errors.
    const std::string &peerName() const;
    /// Bytes that are buffered and not yet passed to the socket.
    std::size_t unsentBytes() const;

private:
    friend class LinkServer;
    friend class LinkPool;
    struct Private;
    Link();
    std::string &beginSend();
    void endSend();
    void logUnsent(std::uint16_t message) const;
    std::uint16_t wireVersion() const;

    std::unique_ptr<Private> d;
};

/// Accepts links on a listening socket.
class LinkServer
{
public:
    /// What links hold is charged to `memory`, unless that is null.
    LinkServer(EventLoop &loop, LinkIdentity identity, LinkHandlers handlers, ClientMemory *memory = nullptr);
    ~LinkServer();

    /// Listens; returns the address with the port that is bound. Fails with the step "listen for links".
    Result<Address> listen(const Address &address);
    /// Calls `visit` for each open link. `visit` may close links.
    void forEach(const std::function<void(const LinkPtr &)> &visit) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Opens links on demand, one for each address.
class LinkPool
{
public:
    /// What links hold is charged to `memory`, unless that is null.
    LinkPool(EventLoop &loop, LinkIdentity identity, LinkHandlers handlers, ClientMemory *memory = nullptr);
    ~LinkPool();

    /// The link to an address, opened if there is none. Messages sent before it is connected are buffered;
    /// onClosed is called if the peer's Hello is not received within `connectTimeout`.
    LinkPtr link(const Address &address);
    /// The existing link to an address, or null.
    LinkPtr find(const Address &address) const;
    /// Number of open links, including those that are still connecting.
    std::size_t size() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr milliseconds connectTimeout{1000};          ///< limit for connecting and receiving the peer's Hello
constexpr std::size_t maxLinkBufferBytes = 64u << 20; ///< above this many unsent bytes the link is closed, since the peer reads too slowly

} // namespace Parsleytrail
