// HTTP/1.1 client side of the relay: a pool of idle connections to targets, and exchanges that send one request to one
// target and read the response. An exchange that ends without a complete response reports whether the target may have run
// the request.
#pragma once

#include "http/http_message.h"
#include "relay/connection.h"

#include <functional>
#include <memory>
#include <string>

namespace Parsleytrail
{

/// Pool of idle connections to targets.
class TargetConnectionPool
{
public:
    /// What the connections hold is charged to `memory`, unless that is null.
    TargetConnectionPool(EventLoop &loop, const Clock &clock, ClientMemory *memory = nullptr);
    ~TargetConnectionPool();

    /// Takes an open idle connection to an address out of the pool; null if there is none.
    ConnectionPtr acquireIdle(const Address &address);
    /// Puts an idle connection into the pool for up to `idleTimeout`; closes it if that is zero or less.
    void release(const Address &address, const ConnectionPtr &connection, milliseconds idleTimeout);
    /// Closes all idle connections to an address whose target was removed.
    void drop(const Address &address);
    EventLoop &loop() const;
    ClientMemory *memory() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Why there is no complete response.
struct TargetFailure {
    std::string text;             ///< for logs and error responses
    bool mayHaveRun = true;       ///< false only if no byte of the request was sent or no connection was established
    bool isReused = false;        ///< sent on a pooled connection, which the target may have closed before the request arrived
    bool hasResponseHead = false; ///< the head of a response was read
};

/// A request to send to a target.
struct TargetRequest {
    Address address;          ///< address of the target
    std::string bytes;        ///< head and body
    bool isHead = false;      ///< the method is HEAD, so the response has no body
    bool allowsReuse = true;  ///< a pooled connection may be used
    bool wantsEvents = false; ///< a successful response is an event stream, which is complete only at the end of an event
    std::string idField;      ///< name of the header field in which the response echoes the id
    std::string id;           ///< id expected in the response; empty: any
};

/// One request to one target and the response.
class TargetExchange : public std::enable_shared_from_this<TargetExchange>
{
public:
    struct Handlers {
        std::function<void(const HttpHead &)> onHead;         ///< called once with the head of the response
        std::function<void(std::string &)> onBody;            ///< received body bytes; the handler erases those that it has consumed
        std::function<void()> onDone;                         ///< the response is complete
        std::function<void(const TargetFailure &)> onFailure; ///< there won't be a complete response
    };
    static std::shared_ptr<TargetExchange> start(TargetConnectionPool &connections, TargetRequest request, Handlers handlers);
    ~TargetExchange();

    /// Closes the connection, so that the target stops working on the request. No handler is called afterwards.
    void cancel();
    void pauseReading(bool isPaused);
    const HttpHead &head() const;
    /// How the end of the response's body is determined. Valid once onHead was called.
    BodyFraming framing() const;
    /// Number of received body bytes that the handler has not consumed.
    std::size_t unconsumedBytes() const;

private:
    struct Private;
    explicit TargetExchange(ClientMemory *memory);
    std::unique_ptr<Private> d;
};
using TargetExchangePtr = std::shared_ptr<TargetExchange>;

} // namespace Parsleytrail
