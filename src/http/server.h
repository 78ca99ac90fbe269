// HTTP/1.1 server over libevhtp.
//
//     HttpServer server(loop, limits, [](const ExchangePtr &exchange) { exchange->reply(200, {}, "hello"); });
//     server.listen({"127.0.0.1", 0});
//
// The handler is called when the whole request is there. It may answer at once or keep the exchange and answer
// later, whole with reply() or in parts with beginStream(), pushChunk(), endStream().
#pragma once

#include "base/address.h"
#include "http/types.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <optional>

namespace Parsleytrail
{

/// Limits on what callers send.
struct HttpLimits {
    std::size_t maxHeaderBytes = 16384; ///< all fields together; over it: 431
    std::size_t maxBodyBytes = 1 << 20; ///< over it: 413
    milliseconds idleTimeout{75000};    ///< a connection without a whole request for this long is closed
};

/// A received request.
struct HttpRequest {
    std::string method;  ///< e.g. GET
    std::string path;    ///< without query, as sent
    std::string query;   ///< after the question mark, as sent
    HttpHeaders headers; ///< as sent
    std::string body;    ///< whole
};

/// One request and its answer.
class Exchange
{
public:
    ~Exchange();

    const HttpRequest &request() const;
    /// Sends a whole answer. Does nothing if the caller is gone or the answer was begun.
    void reply(int status, const HttpHeaders &headers, std::string_view body);
    /// Begins an answer in parts.
    void beginStream(int status, const HttpHeaders &headers);
    void pushChunk(std::string_view bytes);
    void endStream();
    /// Breaks the connection, so that the caller sees that the answer is not whole.
    void abort();
    /// Called once if the caller goes away before the answer is complete.
    void onDisconnected(std::function<void()> handler);
    /// Called each time the caller has taken all bytes given so far.
    void onDrained(std::function<void()> handler);
    /// Whether the answer can still be sent.
    bool isOpen() const;
    /// Whether reply() or beginStream() was called.
    bool isBegun() const;
    /// Bytes that the caller has not taken yet.
    std::size_t unsentBytes() const;

private:
    friend class HttpServer;
    struct Private;
    Exchange();
    std::unique_ptr<Private> d;
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// Listens and parses requests.
class HttpServer
{
public:
    using Handler = std::function<void(const ExchangePtr &)>;
    /// Makes the answer's body for a request refused before it was whole (400, 413, 431).
    using RefusalBody = std::function<std::string(int status, const std::string &text)>;

    HttpServer(EventLoop &loop, HttpLimits limits, Handler handler, RefusalBody refusalBody = {});
    ~HttpServer();

    /// Listens; returns the address, with the port that was taken. Fails with the step "listen for HTTP".
    Result<Address> listen(const Address &address);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Value of a parameter of a query string, decoded; nothing if it is missing.
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

} // namespace Parsleytrail
