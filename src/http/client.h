// HTTP/1.1 client over evhttp, with kept connections.
//
//     HttpClient client(loop);
//     client.fetch(address, {"GET", "/health"}, [](const HttpResult &result) { ... });
#pragma once

#include "base/address.h"
#include "http/types.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <optional>

namespace Parsleytrail
{

/// A request to send.
struct HttpClientRequest {
    std::string method = "GET";         ///< any of libevent's methods
    std::string path = "/";             ///< with query
    HttpHeaders headers;                ///< besides Host and Content-Length
    std::string body;                   ///< whole
    milliseconds timeout{5000};         ///< for the whole answer
    bool useFreshConnection = false;    ///< see HttpFailure::wasHandedOver
    std::size_t maxBodyBytes = 8 << 20; ///< longest answer taken
};

/// Why a request got no (whole) answer.
struct HttpFailure {
    Error error;                 ///< step "HTTP request" and the peer
    bool mayHaveBeenSent = true; ///< false only when no byte of the request left this process
    bool hasWritten = true;      ///< bytes of it went to a socket that had not been seen to close
    bool isTimeout = false;      ///< the time ran out
};

/// Result of fetch().
struct HttpResult {
    std::optional<HttpFailure> failure; ///< set: the rest is not valid
    int status = 0;                     ///< of the answer
    HttpHeaders headers;                ///< of the answer
    std::string body;                   ///< of the answer

    bool isOk() const
    {
        return !failure && status >= 200 && status < 300;
    }
};

/// Callbacks of a request whose answer is taken in parts.
struct HttpStreamHandlers {
    std::function<void(int status, const HttpHeaders &)> onHead;    ///< once
    std::function<void(std::string_view)> onData;                   ///< for each part
    std::function<void(const std::optional<HttpFailure> &)> onDone; ///< once, at the end
};

struct HttpCallState;
struct HttpClientState;

/// A request on its way. Letting it go does not cancel it.
class HttpCall
{
public:
    ~HttpCall();
    /// Breaks the request's connection; no callback follows.
    void cancel();
    /// Stops and starts reading the answer.
    void pauseReading(bool isPaused);

private:
    friend class HttpClient;
    HttpCall();
    std::shared_ptr<HttpCallState> d;
};
using HttpCallPtr = std::shared_ptr<HttpCall>;

/// Sends requests; keeps idle connections for each address.
class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();

    HttpCallPtr fetch(const Address &address, HttpClientRequest request, std::function<void(const HttpResult &)> done);
    HttpCallPtr stream(const Address &address, HttpClientRequest request, HttpStreamHandlers handlers);

private:
    std::shared_ptr<HttpClientState> d;
};

} // namespace Parsleytrail
