// One request to one target: kept connections, sending, and reading the answer with every doubt settled.
#pragma once

#include "relay/connection.h"
#include "relay/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace Parsleytrail
{

/// Kept connections to targets.
class TargetConnectionPool
{
public:
    TargetConnectionPool(EventLoop &loop, const Clock &clock);
    ~TargetConnectionPool();

    /// A kept connection that is known to be open; null if there is none.
    ConnectionPtr acquireIdle(const Address &address);
    /// Keeps an idle connection for up to `time`.
    void release(const Address &address, const ConnectionPtr &connection, milliseconds idleTimeout);
    /// Drops all kept connections to an address: its target is gone.
    void drop(const Address &address);
    EventLoop &loop() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Why there is no (whole) answer.
struct TargetFailure {
    std::string text;             ///< for logs
    bool mayHaveRun = true;       ///< false only if no byte of the request left, or no connection was made
    bool isReused = false;        ///< a kept connection: the target may have closed it before the request came
    bool hasResponseHead = false; ///< the head of an answer was read
};

/// What to send.
struct TargetRequest {
    Address address;         ///< target
    std::string bytes;       ///< head and body
    bool isHead = false;     ///< method HEAD: the answer has no body
    bool allowsReuse = true; ///< a kept connection may be used
    std::string idField;     ///< name of the field with the id that the answer must echo
    std::string id;          ///< expected id; empty: any
};

/// A request on its way.
class TargetExchange : public std::enable_shared_from_this<TargetExchange>
{
public:
    struct Handlers {
        std::function<void(const HttpHead &)> onHead;         ///< once
        std::function<void(std::string &)> onBody;            ///< body bytes so far; the handler erases what it used
        std::function<void()> onDone;                         ///< the answer is whole
        std::function<void(const TargetFailure &)> onFailure; ///< no whole answer will come
    };
    static std::shared_ptr<TargetExchange> start(TargetConnectionPool &connections, TargetRequest request, Handlers handlers);
    ~TargetExchange();

    /// Breaks the connection, so that the target stops work; no handler follows.
    void cancel();
    void pauseReading(bool isPaused);
    const HttpHead &head() const;

private:
    struct Private;
    TargetExchange();
    std::unique_ptr<Private> d;
};
using TargetExchangePtr = std::shared_ptr<TargetExchange>;

} // namespace Parsleytrail
