// HTTP/1.1 server over libevhtp.
//
//     HttpServer server(loop, limits, [](const ExchangePtr &exchange) { exchange->reply(200, {}, "hello"); });
//     server.listen({"127.0.0.1", 0});
//
// The handler is called once the complete request is received. It may respond at once, or keep the exchange and respond
// later: with one reply(), or in chunks with beginStream(), pushChunk() and endStream().
#pragma once

#include "base/address.h"
#include "http/types.h"
#include "wire/event_loop.h"
#include "wire/memory_guard.h"

#include <functional>
#include <memory>
#include <optional>

namespace Parsleytrail
{

/// Limits on requests and idle connections.
struct HttpLimits {
    std::size_t maxHeaderBytes = 16384; ///< all header fields together; a larger header is refused with 431
    std::size_t maxBodyBytes = 1 << 20; ///< a larger body is refused with 413
    milliseconds idleTimeout{75000};    ///< a connection that completes no request for this long is closed
    std::size_t maxConnections = 0;     ///< exceeded: a connection without a complete request is closed, or the new one; 0: no limit
    MemoryGuard *memoryGuard = nullptr; ///< account that is charged for connections and requests; one without room for a request: 503
};

/// A received request.
struct HttpRequest {
    std::string method;  ///< for example GET
    std::string path;    ///< without the query, not decoded
    std::string query;   ///< after the question mark, not decoded
    HttpHeaders headers; ///< names and values as sent
    std::string body;    ///< complete body
};

/// A request and its response.
class Exchange
{
public:
    ~Exchange();

    const HttpRequest &request() const;
    /// Sends a complete response. Does nothing if the caller has disconnected or a response was started.
    void reply(int status, const HttpHeaders &headers, std::string_view body);
    /// Starts a chunked response. Does nothing if the caller has disconnected or a response was started.
    void beginStream(int status, const HttpHeaders &headers);
    void pushChunk(std::string_view bytes);
    void endStream();
    /// Closes the connection, so that the caller sees that the response is incomplete.
    void abort();
    /// Sets the handler that is called once if the caller disconnects before the response is complete.
    void onDisconnected(std::function<void()> handler);
    /// Sets the handler that is called each time all buffered bytes of a chunked response have been passed to the socket.
    void onDrained(std::function<void()> handler);
    /// Whether the caller is connected and the response is not complete.
    bool isOpen() const;
    /// Whether reply() or beginStream() was called.
    bool isBegun() const;
    /// Bytes of the response that are buffered and not yet passed to the socket.
    std::size_t unsentBytes() const;

private:
    friend class HttpServer;
    struct Private;
    explicit Exchange(ClientMemory *memory);
    std::unique_ptr<Private> d;
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// Accepts connections and parses requests.
class HttpServer
{
public:
    using Handler = std::function<void(const ExchangePtr &)>;
    /// Creates the response body for a request that the server itself refuses (400, 413, 431, 503).
    using RefusalBody = std::function<std::string(int status, const std::string &text)>;

    HttpServer(EventLoop &loop, HttpLimits limits, Handler handler, RefusalBody refusalBody = {});
    ~HttpServer();

    /// Listens; returns the address with the port that is bound. Fails with the step "listen for HTTP".
    Result<Address> listen(const Address &address);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Decoded value of a parameter of a query string, empty for one without "="; std::nullopt if it is missing.
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

} // namespace Parsleytrail
