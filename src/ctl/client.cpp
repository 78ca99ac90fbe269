#include "ctl/client.h"

namespace Parsleytrail
{

HttpResult sendOperatorRequest(const OperatorEndpoint &endpoint, const std::string &method, const std::string &path, const std::string &body,
                               const HttpHeaders &headers)
{
    EventLoop loop;
    HttpClient client(loop);
    HttpClientRequest request;
    request.method = method;
    request.path = path;
    request.headers = headers;
    if (!endpoint.key.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + endpoint.key});
    }
    request.body = body;
    request.timeout = endpoint.timeout;
    request.useFreshConnection = true;
    request.maxBodyBytes = 64u << 20;
    HttpResult result;
    bool isDone = false;
    client.fetch(endpoint.address, std::move(request), [&](const HttpResult &response) {
        result = response;
        isDone = true;
    });
    loop.runUntil(
        [&isDone] {
            return isDone;
        },
        endpoint.timeout + milliseconds(1000));
    return result;
}

} // namespace Parsleytrail
