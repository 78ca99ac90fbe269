#include "entry/caller_api.h"

#include "base/digest.h"
#include "base/text.h"
#include "http/operator_server.h"
#include "http/problem.h"

#include <nlohmann/json.hpp>

namespace Parsleytrail
{

constexpr std::size_t maxRequestIdBytes = 128;
constexpr std::string_view completionPrefix = "/v1/";
constexpr std::string_view servicePrefix = "/services/";

struct CallerApi::Private {
    EntryContext &context;
    Completions &completions;
    ServiceCalls &calls;
    std::function<const Configuration &()> configuration;
    std::function<bool()> isReady;
    std::unique_ptr<HttpServer> server;

    void handle(const ExchangePtr &exchange);
    void refuse(const ExchangePtr &exchange, const std::string &requestId, const CompletionError &error) const;
    bool authenticate(const HttpRequest &request, Caller &caller) const;
    void route(const ExchangePtr &exchange, const Caller &caller);
    void routeService(const ExchangePtr &exchange, const Caller &caller, std::string_view path);
};

/// Value of X-Request-Id in the response: the caller's own id if it is safe to repeat, otherwise the generated one.
static std::string publicRequestId(const HttpRequest &request, const RequestId &generated)
{
    const std::string received = findHeader(request.headers, "X-Request-Id");
    const bool isSafe = !received.empty() && received.size() <= maxRequestIdBytes && std::all_of(received.begin(), received.end(), [](unsigned char c) {
        return std::isgraph(c);
    });
    return isSafe ? received : generated.value;
}

void CallerApi::Private::refuse(const ExchangePtr &exchange, const std::string &requestId, const CompletionError &error) const
{
    const bool isCompletion = exchange->request().path.starts_with(completionPrefix);
    if (isCompletion) {
        return replyCompletionError(exchange, error, requestId);
    }
    replyProblem(exchange, {error.status, "", error.message, error.outcome, error.retryAfterSeconds}, {{"X-Request-Id", requestId}});
}

bool CallerApi::Private::authenticate(const HttpRequest &request, Caller &caller) const
{
    const std::string key = bearerToken(request.headers);
    const Configuration &active = configuration();
    // Keys are looked up by digest, so that the duration of the search reveals nothing about the key.
    const auto workspace = key.empty() ? active.workspaceByKeyDigest.end() : active.workspaceByKeyDigest.find(sha256Hex(key));
    if (workspace == active.workspaceByKeyDigest.end()) {
        return false;
    }
    caller.workspace.value = workspace->second;
    caller.section = &active.workspaces.at(workspace->second);
    return true;
}

void CallerApi::Private::routeService(const ExchangePtr &exchange, const Caller &caller, std::string_view path)
{
    const std::size_t slash = path.find('/');
    const std::string service(path.substr(0, slash));
    const std::string remainder(slash == std::string_view::npos ? "/" : path.substr(slash));
    calls.serve(exchange, caller, service, remainder, configuration());
}

void CallerApi::Private::route(const ExchangePtr &exchange, const Caller &caller)
{
    const HttpRequest &request = exchange->request();
    std::string_view path = request.path;
    if (consumePrefix(path, servicePrefix)) {
        return routeService(exchange, caller, path);
    }
    const bool isChat = path == "/v1/chat/completions";
    const bool isText = path == "/v1/completions";
    const bool isModels = path == "/v1/models";
    if (!isChat && !isText && !isModels) {
        return refuse(exchange, caller.publicId, {404, "no such path: " + request.path, "invalid_request_error", "", "not_found"});
    }
    if (request.method != (isModels ? "GET" : "POST")) {
        return refuse(exchange, caller.publicId,
                      {405, std::string("expected the method ") + (isModels ? "GET" : "POST"), "invalid_request_error", "", "method_not_allowed"});
    }
    if (isModels) {
        return completions.models(exchange, caller, configuration());
    }
    isChat ? completions.chat(exchange, caller, configuration()) : completions.complete(exchange, caller, configuration());
}

void CallerApi::Private::handle(const ExchangePtr &exchange)
{
    Caller caller;
    caller.request.value = randomHex();
    caller.publicId = publicRequestId(exchange->request(), caller.request);
    if (!isReady()) {
        const char *reason = context.isDraining ? "this entry is stopping" : "this entry does not hold a configuration yet";
        return refuse(exchange, caller.publicId, {503, reason, "server_error", "", "not_ready", Outcome::NotRun, 1});
    }
    if (!authenticate(exchange->request(), caller)) {
        return refuse(exchange, caller.publicId, {401, "expected a workspace's key as a bearer token", "invalid_request_error", "", "invalid_api_key"});
    }
    route(exchange, caller);
}

/// Body of a refusal before the path is known. It has the fields of both error formats, that of the completion protocol and
/// that of plain services, so that every client finds the one it expects.
static std::string earlyRefusal(int status, const std::string &text)
{
    nlohmann::json body = nlohmann::json::parse(problemBody({status, "", text}));
    CompletionError error;
    error.message = text;
    body["error"] = nlohmann::json::parse(completionErrorBody(error))["error"];
    return body.dump();
}

CallerApi::CallerApi(EntryContext &context, Completions &completions, ServiceCalls &calls, std::function<const Configuration &()> configuration,
                     std::function<bool()> isReady)
    : d(new Private{context, completions, calls, std::move(configuration), std::move(isReady), nullptr})
{
    HttpLimits limits;
    limits.maxHeaderBytes = static_cast<std::size_t>(context.settings.maxHeaderBytes);
    limits.maxBodyBytes = static_cast<std::size_t>(context.settings.maxBodyBytes);
    limits.maxConnections = clientConnections(descriptorLimit());
    limits.memoryGuard = &context.memoryGuard;
    d->server = std::make_unique<HttpServer>(
        context.loop, limits,
        [this](const ExchangePtr &exchange) {
            d->handle(exchange);
        },
        earlyRefusal);
}

CallerApi::~CallerApi() = default;

Result<Address> CallerApi::listen(const Address &address)
{
    return d->server->listen(address);
}

} // namespace Parsleytrail
