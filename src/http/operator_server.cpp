#include "http/operator_server.h"

#include "base/digest.h"
#include "base/ini.h"
#include "base/text.h"
#include "http/problem.h"

#include <map>

namespace Parsleytrail
{

constexpr std::string_view operatorPrefix = "/operator/v1";

std::string bearerToken(const HttpHeaders &headers)
{
    const std::string field = findHeader(headers, "Authorization");
    constexpr std::size_t schemeSize = 7;
    const bool isBearer = field.size() > schemeSize && equalsIgnoringCase(std::string_view(field).substr(0, schemeSize), "Bearer ");
    return isBearer ? std::string(trimmed(std::string_view(field).substr(schemeSize))) : std::string();
}

struct OperatorServer::Private {
    std::string keyDigest;
    OperatorViews views;
    std::map<std::string, Handler> paths;
    std::unique_ptr<HttpServer> server;

    void handle(const ExchangePtr &exchange);
};

void OperatorServer::Private::handle(const ExchangePtr &exchange)
{
    std::string_view path = exchange->request().path;
    if (!consumePrefix(path, operatorPrefix)) {
        return replyProblem(exchange, {404, "", "no such path; operators' paths start with /operator/v1"});
    }
    const std::string name(path);
    if (name == "/health") {
        return exchange->reply(200, {{"Content-Type", "text/plain"}}, "ok\n");
    }
    if (name == "/ready") {
        const bool isReady = views.isReady();
        return exchange->reply(isReady ? 200 : 503, {{"Content-Type", "text/plain"}}, isReady ? "ready\n" : "not ready\n");
    }
    const std::string token = bearerToken(exchange->request().headers);
    if (token.empty() || !equalConstantTime(sha256Hex(token), keyDigest)) {
        return replyProblem(exchange, {401, "", "expected the operators' credential as a bearer token"}, {{"WWW-Authenticate", "Bearer"}});
    }
    const auto handler = paths.find(name);
    if (handler == paths.end()) {
        return replyProblem(exchange, {404, "", "no such path"});
    }
    handler->second(exchange);
}

OperatorServer::OperatorServer(EventLoop &loop, std::string keyDigest, OperatorViews views, MemoryGuard &memoryGuard)
    : d(new Private{std::move(keyDigest), std::move(views), {}, {}})
{
    HttpLimits limits;
    limits.maxBodyBytes = maxIniBytes;
    limits.maxConnections = maxOtherConnections;
    limits.memoryGuard = &memoryGuard;
    d->server = std::make_unique<HttpServer>(
        loop, limits,
        [this](const ExchangePtr &exchange) {
            d->handle(exchange);
        },
        [](int status, const std::string &text) {
            return problemBody({status, "", text});
        });
    const HttpHeaders json = {{"Content-Type", "application/json"}};
    addPath("/state", [this, json](const ExchangePtr &exchange) {
        exchange->reply(200, json, d->views.state());
    });
    addPath("/status", [this, json](const ExchangePtr &exchange) {
        exchange->reply(200, json, d->views.status());
    });
    addPath("/metrics", [this](const ExchangePtr &exchange) {
        d->views.refreshMetrics();
        exchange->reply(200, {{"Content-Type", "application/openmetrics-text; version=1.0.0; charset=utf-8"}}, d->views.metrics->openMetricsText());
    });
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::addPath(const std::string &path, Handler handler)
{
    d->paths[path] = std::move(handler);
}

Result<Address> OperatorServer::listen(const Address &address)
{
    return d->server->listen(address);
}

} // namespace Parsleytrail
