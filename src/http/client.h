// HTTP/1.1 client over libevent's evhttp, with persistent connections.
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

/// A request to send and its limits.
struct HttpClientRequest {
    std::string method = "GET";         ///< GET, POST, HEAD, PUT, DELETE, OPTIONS or PATCH
    std::string path = "/";             ///< including the query
    HttpHeaders headers;                ///< in addition to Host and Content-Length
    std::string body;                   ///< complete body
    milliseconds timeout{5000};         ///< longest wait until the response is complete
    bool useFreshConnection = false;    ///< opens a new connection instead of reusing an idle one; see HttpFailure::mayHaveBeenSent
    std::size_t maxBodyBytes = 8 << 20; ///< a longer response body fails the request, and so do eight times as many bytes of any kind
};

/// Why a request received no response or an incomplete one.
struct HttpFailure {
    Error error;                 ///< step "HTTP request", the peer's address and the cause
    bool mayHaveBeenSent = true; ///< false only if no byte of the request left this process; always true on a reused connection
    bool hasWritten = true;      ///< bytes of the request were written to a socket that was not known to be closed
    bool isTimeout = false;      ///< the request's timeout has passed
};

/// Result of fetch().
struct HttpResult {
    std::optional<HttpFailure> failure; ///< if set, the other fields are not valid
    int status = 0;                     ///< HTTP status of the response
    HttpHeaders headers;                ///< header fields of the response
    std::string body;                   ///< complete body of the response

    bool isOk() const
    {
        return !failure && status >= 200 && status < 300;
    }
};

/// Callbacks of a request whose response is processed as it arrives.
struct HttpStreamHandlers {
    std::function<void(int status, const HttpHeaders &)> onHead;    ///< called once, with the status and the header fields
    std::function<void(std::string_view)> onData;                   ///< called for each part of the body
    std::function<void(const std::optional<HttpFailure> &)> onDone; ///< called once, at the end of the response or on failure
};

struct HttpCallState;
struct HttpClientState;

/// Handle of a request in progress. Releasing it does not cancel the request.
class HttpCall
{
public:
    ~HttpCall();
    /// Closes the request's connection; no further callback is called.
    void cancel();
    /// Pauses or resumes reading the response.
    void pauseReading(bool isPaused);

private:
    friend class HttpClient;
    HttpCall();
    std::shared_ptr<HttpCallState> d;
};
using HttpCallPtr = std::shared_ptr<HttpCall>;

/// Sends requests; keeps idle connections open for each address.
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
