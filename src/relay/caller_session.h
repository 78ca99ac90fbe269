// Callers' connections: reads whole requests, and sends answers whole or in parts.
//
// A request is handed on when its head and body are there, so that one that never became whole certainly never ran. One
// request at a time is answered on a connection; what a caller sends ahead waits.
#pragma once

#include "relay/connection.h"
#include "relay/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace Parsleytrail
{

/// Limits and state that all sessions of a process share.
struct SessionLimits {
    std::size_t maxHeaderBytes = 16384; ///< over it: 431
    std::size_t maxBodyBytes = 1 << 20; ///< over it: 413
    milliseconds headerTimeout{5000};   ///< for a head, and for each part of a body; over it: 408
    milliseconds idleTimeout{15000};    ///< between requests
};

/// A field of an answer.
struct ResponseField {
    std::string_view name; ///< as sent
    std::string value;     ///< as sent
};

/// A request and its answer.
class CallerExchange
{
public:
    ~CallerExchange();

    const HttpHead &head() const;
    const std::string &body() const;
    /// When the head's first byte was read.
    TimePoint receivedAt() const;
    /// Called once if the caller goes away before the answer is complete.
    void onDisconnected(std::function<void()> handler);
    /// Called when the caller has taken all bytes given so far.
    void onDrained(std::function<void()> handler);

    /// Sends a whole answer of this process's own, with Content-Length.
    void reply(int status, std::initializer_list<ResponseField> fields, std::string_view body = {});
    /// Sends the head of a relayed answer: the target's status line and fields, and the framing given. `bodyBytes` is sent
    /// with it; without a length the body is chunked, or ends with the connection towards an HTTP/1.0 caller.
    void begin(const HttpHead &response, const std::uint64_t *length);
    void send(std::string_view bytes);
    /// The answer is whole.
    void complete();
    /// Breaks the connection, so that the caller sees that the answer is not whole.
    void abort();

    bool isOpen() const;
    bool isBegun() const;
    /// Bytes that the caller has not taken yet.
    std::size_t unsentBytes() const;

private:
    friend class CallerSessions;
    friend struct CallerSession;
    struct Private;
    CallerExchange();
    std::unique_ptr<Private> d;
};
using CallerExchangePtr = std::shared_ptr<CallerExchange>;

/// All callers' connections of a process.
class CallerSessions
{
public:
    using Handler = std::function<void(const CallerExchangePtr &)>;

    CallerSessions(EventLoop &loop, const Clock &clock, Handler handler);
    ~CallerSessions();

    void setLimits(const SessionLimits &limits);
    /// Takes over an accepted socket.
    void add(int socket);
    /// From now on each answer closes its connection.
    void beginDrain();
    /// Closes connections without a request.
    void closeIdle();
    std::size_t count() const;
    /// Requests read and not yet answered.
    std::size_t openExchanges() const;

private:
    friend struct CallerSession;
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
