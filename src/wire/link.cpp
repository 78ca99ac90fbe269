#include "wire/link.h"

#include "base/log.h"
#include "wire/buffer_charge.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

#include <map>
#include <set>

namespace Parsleytrail
{

// [SECTION] Link

struct Link::Private {
    bufferevent *bev = nullptr; ///< owned; null once closed
    EventLoop *loop = nullptr;
    const LinkIdentity *identity = nullptr;
    const LinkHandlers *handlers = nullptr;
    std::function<void(Link &)> removeFromOwner; ///< removes the link from its server or pool; called before onClosed
    Hello peer;
    bool hasPeer = false;
    std::string peerName;
    std::string sendBuffer; ///< reused, so that sending doesn't allocate once the buffer has grown
    std::unique_ptr<Timer> helloTimer;
    std::unique_ptr<BufferCharge> inputCharge;
    std::unique_ptr<BufferCharge> outputCharge;

    static void create(Link &link, EventLoop &loop, bufferevent *bev, const LinkIdentity &identity, const LinkHandlers &handlers, std::string peerName,
                       ClientMemory *memory);
    static void fail(const LinkPtr &link, const std::string &step, const std::string &text);
    static void readFrames(const LinkPtr &link);
    static bool handleFrame(const LinkPtr &link, const Frame &frame);
};

Link::Link()
    : d(std::make_unique<Private>())
{
}

Link::~Link()
{
    close();
}

void Link::close()
{
    d->helloTimer.reset();
    if (!d->bev) {
        return;
    }
    d->inputCharge.reset();
    d->outputCharge.reset();
    bufferevent_free(d->bev);
    d->bev = nullptr;
    if (d->removeFromOwner) {
        d->removeFromOwner(*this);
    }
}

bool Link::isOpen() const
{
    return d->bev != nullptr;
}

const Hello &Link::peer() const
{
    return d->peer;
}

const std::string &Link::peerName() const
{
    return d->peerName;
}

std::size_t Link::unsentBytes() const
{
    return d->bev ? evbuffer_get_length(bufferevent_get_output(d->bev)) : 0;
}

std::uint16_t Link::wireVersion() const
{
    return d->identity->wireVersion;
}

std::string &Link::beginSend()
{
    d->sendBuffer.clear();
    return d->sendBuffer;
}

void Link::logUnsent(std::uint16_t message) const
{
    logEvent(Event::FrameUnsent, {{"peer", d->peerName}, {"message", std::to_string(message)}, {"reason", "over a limit"}});
}

void Link::endSend()
{
    if (!d->bev) {
        return;
    }
    bufferevent_write(d->bev, d->sendBuffer.data(), d->sendBuffer.size());
    if (unsentBytes() > maxLinkBufferBytes) {
        // If the peer stops reading, the send buffer would grow without bound. Closing the link frees the buffer, and the
        // peer's streams are taken over by other stages.
        d->loop->defer([link = shared_from_this()] {
            Private::fail(link, "send frame", "the peer reads too slowly");
        });
    }
}

void Link::Private::fail(const LinkPtr &link, const std::string &step, const std::string &text)
{
    if (!link->isOpen()) {
        return;
    }
    const LinkHandlers *handlers = link->d->handlers;
    link->close();
    handlers->onClosed(link, Error{step, link->d->peerName, text});
}

bool Link::Private::handleFrame(const LinkPtr &link, const Frame &frame)
{
    Private &d = *link->d;
    if (d.hasPeer) {
        return d.handlers->onFrame(link, frame);
    }
    if (frame.message != Hello::messageId || !decodeFrame(frame, d.peer)) {
        return false;
    }
    d.hasPeer = true;
    d.helloTimer.reset();
    if (d.handlers->onReady) {
        d.handlers->onReady(link);
    }
    return true;
}

void Link::Private::readFrames(const LinkPtr &link)
{
    Private &d = *link->d;
    while (d.bev) {
        evbuffer *input = bufferevent_get_input(d.bev);
        if (evbuffer_get_length(input) < frameHeaderBytes) {
            return;
        }
        FrameHeader header;
        if (!readHeader(evbuffer_pullup(input, frameHeaderBytes), maxFrameBytes, header)) {
            logEvent(Event::FrameRefused, {{"peer", d.peerName}, {"reason", "bad header"}});
            return fail(link, "read frame", "bad header");
        }
        const std::size_t frameBytes = frameHeaderBytes + header.payloadBytes;
        if (evbuffer_get_length(input) < frameBytes) {
            return;
        }
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(frameBytes)));
        const std::uint16_t version = std::min(header.version, d.identity->wireVersion);
        const bool isAccepted = handleFrame(link, {version, header.message, {bytes + frameHeaderBytes, header.payloadBytes}});
        if (!isAccepted) {
            logEvent(Event::FrameRefused, {{"peer", d.peerName}, {"message", std::to_string(header.message)}});
            return fail(link, "read frame", "malformed or unexpected message " + std::to_string(header.message));
        }
        if (d.bev) {
            evbuffer_drain(input, frameBytes);
        }
    }
}

void Link::Private::create(Link &link, EventLoop &loop, bufferevent *bev, const LinkIdentity &identity, const LinkHandlers &handlers, std::string peerName,
                           ClientMemory *memory)
{
    Private &d = *link.d;
    d.bev = bev;
    d.loop = &loop;
    d.identity = &identity;
    d.handlers = &handlers;
    d.peerName = std::move(peerName);
    d.inputCharge = std::make_unique<BufferCharge>(bufferevent_get_input(bev), memory);
    d.outputCharge = std::make_unique<BufferCharge>(bufferevent_get_output(bev), memory);
    const auto onRead = [](bufferevent *, void *arg) {
        readFrames(static_cast<Link *>(arg)->shared_from_this());
    };
    const auto onEvent = [](bufferevent *, short events, void *arg) {
        if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) {
            const char *text = events & BEV_EVENT_EOF ? "closed by the peer" : evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
            fail(static_cast<Link *>(arg)->shared_from_this(), "keep link", text);
        }
    };
    bufferevent_setcb(bev, onRead, nullptr, onEvent, &link);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    // A peer that accepts the connection but never sends Hello (a stopped process, or one of another system) would block
    // its streams for ever.
    d.helloTimer = std::make_unique<Timer>(loop, [weak = link.weak_from_this()] {
        if (const LinkPtr strong = weak.lock()) {
            fail(strong, "connect", "no answer in time");
        }
    });
    d.helloTimer->start(connectTimeout);
    link.send(identity.hello);
}

static void setNoDelay(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

static std::string formatAddress(const sockaddr *address)
{
    const auto *v4 = reinterpret_cast<const sockaddr_in *>(address);
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof text);
    return std::string(text) + ":" + std::to_string(ntohs(v4->sin_port));
}

// [SECTION] LinkServer

struct LinkServer::Private {
    EventLoop &loop;
    LinkIdentity identity;
    LinkHandlers handlers;
    ClientMemory *memory = nullptr;
    evconnlistener *listener = nullptr;
    std::set<LinkPtr> links;

    void accept(evutil_socket_t socket, const sockaddr *from)
    {
        setNoDelay(socket);
        bufferevent *bev = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        const LinkPtr link(new Link);
        links.insert(link);
        link->d->removeFromOwner = [this](Link &closed) {
            links.erase(closed.shared_from_this());
        };
        Link::Private::create(*link, loop, bev, identity, handlers, formatAddress(from), memory);
    }
};

LinkServer::LinkServer(EventLoop &loop, LinkIdentity identity, LinkHandlers handlers, ClientMemory *memory)
    : d(new Private{loop, std::move(identity), std::move(handlers), memory, nullptr, {}})
{
}

LinkServer::~LinkServer()
{
    if (d->listener) {
        evconnlistener_free(d->listener);
    }
    const std::set<LinkPtr> open = d->links;
    for (const LinkPtr &link : open) {
        link->close();
    }
}

Result<Address> LinkServer::listen(const Address &address)
{
    const sockaddr_in localAddress = toSockaddr(address);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *from, int, void *arg) {
        static_cast<Private *>(arg)->accept(socket, from);
    };
    d->listener = evconnlistener_new_bind(d->loop.base(), onAccept, d.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 1024,
                                          reinterpret_cast<const sockaddr *>(&localAddress), sizeof localAddress);
    if (!d->listener) {
        return fail("listen for links", address.toString(), evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(d->listener), reinterpret_cast<sockaddr *>(&bound), &size);
    return Address{address.host, ntohs(bound.sin_port)};
}

void LinkServer::forEach(const std::function<void(const LinkPtr &)> &visit) const
{
    const std::set<LinkPtr> open = d->links;
    for (const LinkPtr &link : open) {
        visit(link);
    }
}

// [SECTION] LinkPool

struct LinkPool::Private {
    EventLoop &loop;
    LinkIdentity identity;
    LinkHandlers handlers;
    ClientMemory *memory = nullptr;
    std::map<Address, LinkPtr> links{};
};

LinkPool::LinkPool(EventLoop &loop, LinkIdentity identity, LinkHandlers handlers, ClientMemory *memory)
    : d(new Private{loop, std::move(identity), std::move(handlers), memory})
{
}

LinkPool::~LinkPool()
{
    const std::map<Address, LinkPtr> open = d->links;
    for (const auto &[address, link] : open) {
        link->close();
    }
}

LinkPtr LinkPool::link(const Address &address)
{
    if (const LinkPtr existing = find(address)) {
        return existing;
    }
    const LinkPtr link(new Link);
    d->links[address] = link;
    link->d->removeFromOwner = [this, address](Link &closed) {
        const auto it = d->links.find(address);
        if (it != d->links.end() && it->second.get() == &closed) {
            // The link may be inside one of its own callbacks, so its destruction is deferred.
            d->loop.defer([keep = it->second] {});
            d->links.erase(it);
        }
    };
    bufferevent *bev = bufferevent_socket_new(d->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    Link::Private::create(*link, d->loop, bev, d->identity, d->handlers, address.toString(), d->memory);
    const sockaddr_in peerAddress = toSockaddr(address);
    if (bufferevent_socket_connect(bev, reinterpret_cast<const sockaddr *>(&peerAddress), sizeof peerAddress) == 0 && bufferevent_getfd(bev) >= 0) {
        setNoDelay(bufferevent_getfd(bev));
    }
    return link;
}

LinkPtr LinkPool::find(const Address &address) const
{
    const auto it = d->links.find(address);
    return it == d->links.end() ? nullptr : it->second;
}

std::size_t LinkPool::size() const
{
    return d->links.size();
}

} // namespace Parsleytrail
