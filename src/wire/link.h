// Links: TCP connections that carry frames between processes of the system.
//
//     LinkServer server(loop, self, handlers);  server.listen({"127.0.0.1", 0});
//     LinkPool pool(loop, self, handlers);      pool.link(address)->send(message);
//
// Both ends send Hello first; a link whose peer sends anything else first is closed. Handlers get the link as a
// shared_ptr and may close it or let it go at any time.
#pragma once

#include "base/address.h"
#include "generated/messages.h"
#include "wire/event_loop.h"
#include "wire/frame.h"

#include <functional>
#include <memory>

struct bufferevent;

namespace Parsleytrail
{

class Link;
using LinkPtr = std::shared_ptr<Link>;

/// What this process says of itself, and its limits.
struct LinkIdentity {
    Hello hello;                                    ///< sent first on each link
    std::uint16_t wireVersion = currentWireVersion; ///< newest version written and read
};

/// What a process does with its links.
struct LinkHandlers {
    std::function<void(const LinkPtr &)> onReady;                 ///< the peer's Hello came; may be empty
    std::function<bool(const LinkPtr &, const Frame &)> onFrame;  ///< false: the frame is malformed or unexpected; the link is closed
    std::function<void(const LinkPtr &, const Error &)> onClosed; ///< once, whichever side closed it, unless this side called close()
};

/// One connection.
class Link : public std::enable_shared_from_this<Link>
{
public:
    ~Link();

    /// Sends a message; dropped if the link is closed, or, with a line in the log, if the message is over one of its limits.
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
    /// The peer's Hello; empty process until it came.
    const Hello &peer() const;
    /// Address of the peer, for errors.
    const std::string &peerName() const;
    /// Bytes waiting to be written.
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

/// Accepts links.
class LinkServer
{
public:
    LinkServer(EventLoop &loop, LinkIdentity identity, LinkHandlers handlers);
    ~LinkServer();

    /// Listens; returns the address, with the port that was taken. Fails with the step "listen for links".
    Result<Address> listen(const Address &address);
    /// Calls for each open link.
    void forEach(const std::function<void(const LinkPtr &)> &visit) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Makes links on demand, one for each address.
class LinkPool
{
public:
    LinkPool(EventLoop &loop, LinkIdentity identity, LinkHandlers handlers);
    ~LinkPool();

    /// The link to an address, made if there is none. What is sent before it is connected waits in its buffer;
    /// if it can't be connected within `connectTimeout`, onClosed is called.
    LinkPtr link(const Address &address);
    /// The link to an address, or null.
    LinkPtr find(const Address &address) const;
    /// Number of links open.
    std::size_t size() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr milliseconds connectTimeout{1000};          ///< longest wait for a connection and the peer's Hello
constexpr std::size_t maxLinkBufferBytes = 64u << 20; ///< a peer that reads more slowly than this loses the link

} // namespace Parsleytrail
