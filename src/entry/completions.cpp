// Index: [SECTION] Errors, [SECTION] Requests, [SECTION] Completions
#include "entry/completions.h"

#include "base/digest.h"
#include "entry/completion_answer.h"

#include <nlohmann/json.hpp>

#include <map>

namespace Parsleytrail
{

using nlohmann::json;

constexpr std::size_t maxCallerBacklogBytes = 1 << 20; ///< unsent bytes above which the response to a slow reader is aborted

namespace
{

/// A response in progress, with the state of its request.
struct OpenAnswer : CompletionAnswer {
    WorkspaceName workspace;        ///< workspace of the caller
    UsageOwner owner;               ///< whom the usage is recorded for
    double firstTokenTarget = 0;    ///< target for the time to the first token, in seconds
    double betweenTokensTarget = 0; ///< target for the time between tokens, in seconds; 0: none
    TimePoint startedAt{};          ///< time of admission; zero while the request waits
    TimePoint lastTokenAt{};        ///< time of the last token; zero before the first
};

// [SECTION] Errors

CompletionError quarantinedInputError(Outcome outcome)
{
    CompletionError error;
    error.status = 422;
    error.message = "this input, or a message of it, was being run at separate crashes of engines and is refused; the operator can lift it";
    error.code = "input_refused";
    error.outcome = outcome;
    return error;
}

CompletionError toError(const StreamFailure &failure)
{
    if (failure.isQuarantined) {
        return quarantinedInputError(failure.outcome);
    }
    CompletionError error;
    error.status = failure.isTimeout ? 504 : failure.outcome == Outcome::NotRun ? 503 : 502;
    error.type = "server_error";
    error.message = failure.error.toString();
    error.code = failure.isTimeout ? "timeout" : "unavailable";
    error.outcome = failure.outcome;
    error.retryAfterSeconds = failure.outcome == Outcome::NotRun ? 1 : 0;
    return error;
}

} // namespace

// [SECTION] Requests

struct Completions::Private {
    EntryContext &context;
    Streams &streams;
    const InputGuard &guard;
    const EntryCrashGuard &crashGuard;
    UsageRecorder &usageRecorder;
    AdmissionQueue admission;
    std::map<WorkspaceName, std::size_t> openByWorkspace;
    std::size_t openTotal = 0;
    std::uint64_t &answered;
    std::uint64_t &refused;
    std::uint64_t &failed;
    std::uint64_t &abandoned;

    void handleRequest(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration, CompletionKind kind);
    bool checkRequest(const CompletionRequest &request, const Caller &caller, const Configuration &configuration, CompletionError &error) const;
    void start(const std::shared_ptr<OpenAnswer> &answer, StreamRequest request, AdmissionRequest admissionRequest);
    StreamHandlers makeHandlers(const std::shared_ptr<OpenAnswer> &answer);
    void recordTokenLatency(OpenAnswer &answer);
    void abandon(OpenAnswer &answer);
    void release(const OpenAnswer &answer);
};

bool Completions::Private::checkRequest(const CompletionRequest &request, const Caller &caller, const Configuration &configuration,
                                        CompletionError &error) const
{
    const auto service = configuration.services.find(request.service);
    const auto &allowed = caller.section->services;
    const bool isAllowed = std::find(allowed.begin(), allowed.end(), request.service) != allowed.end();
    if (service == configuration.services.end() || !isAllowed || service->second.kind != "pipeline") {
        error.status = 404;
        return refuse(error, "model", "the model '" + request.service + "' does not exist or is not open to this workspace", "model_not_found");
    }
    const auto workspaceCount = openByWorkspace.find(caller.workspace);
    const std::size_t open = workspaceCount == openByWorkspace.end() ? 0 : workspaceCount->second;
    const bool isFull = openTotal >= static_cast<std::size_t>(context.settings.maxStreams);
    if (isFull || open >= static_cast<std::size_t>(caller.section->maxStreams)) {
        error.status = isFull ? 503 : 429;
        error.type = isFull ? "server_error" : "rate_limit_error";
        error.retryAfterSeconds = 1;
        return refuse(error, "", isFull ? "this entry has no room for another request" : "the workspace has max-streams requests open at this entry",
                      "too_many_requests");
    }
    const auto &model = configuration.models.at(service->second.model);
    if (request.maxTokens > static_cast<std::uint64_t>(model.maxContext)) {
        return refuse(error, "max_tokens", "expected at most " + std::to_string(model.maxContext) + " tokens, the model's context", "context_length_exceeded");
    }
    return true;
}

/// Removes an ended response, whether complete or not, from the counts of open requests.
void Completions::Private::release(const OpenAnswer &answer)
{
    --openTotal;
    if (--openByWorkspace[answer.workspace] == 0) {
        openByWorkspace.erase(answer.workspace);
    }
    if (answer.startedAt != TimePoint{}) {
        admission.recordEnd(answer.owner.model);
    }
}

void Completions::Private::recordTokenLatency(OpenAnswer &answer)
{
    const TimePoint now = context.clock.now();
    const auto seconds = [now](TimePoint from) {
        return std::chrono::duration<double>(now - from).count();
    };
    if (answer.lastTokenAt == TimePoint{}) {
        admission.recordFirstToken(answer.owner.model, seconds(answer.startedAt), answer.betweenTokensTarget > 0 ? answer.firstTokenTarget : 0);
    } else {
        admission.recordTokenGap(answer.owner.model, seconds(answer.lastTokenAt), answer.betweenTokensTarget);
    }
    answer.lastTokenAt = now;
}

StreamHandlers Completions::Private::makeHandlers(const std::shared_ptr<OpenAnswer> &answer)
{
    StreamHandlers handlers;
    handlers.onToken = [this, answer](const TokenFrame &token) {
        recordTokenLatency(*answer);
        pushToken(*answer, token);
        if (answer->exchange->unsentBytes() > maxCallerBacklogBytes) {
            answer->exchange->abort();
            abandon(*answer);
        }
    };
    handlers.onEnd = [this, answer](FinishReason reason, std::uint32_t promptTokens) {
        ++answered;
        usageRecorder.countAnswered(answer->owner, promptTokens, answer->tokens);
        endAnswer(*answer, reason, promptTokens);
        release(*answer);
    };
    handlers.onFail = [this, answer](const StreamFailure &failure) {
        ++failed;
        failure.outcome == Outcome::NotRun ? usageRecorder.countRefused(answer->owner) : usageRecorder.countUnknown(answer->owner, answer->tokens);
        failAnswer(*answer, toError(failure));
        release(*answer);
    };
    return handlers;
}

/// Ends a request whose caller disconnected or reads too slowly.
void Completions::Private::abandon(OpenAnswer &answer)
{
    ++abandoned;
    const bool wasWaiting = answer.startedAt == TimePoint{} && admission.cancel(answer.owner.model, answer.id);
    if (wasWaiting) {
        usageRecorder.countRefused(answer.owner);
    } else {
        streams.cancel(answer.id);
        usageRecorder.countUnknown(answer.owner, answer.tokens);
    }
    release(answer);
}

void Completions::Private::start(const std::shared_ptr<OpenAnswer> &answer, StreamRequest request, AdmissionRequest admissionRequest)
{
    ++openTotal;
    ++openByWorkspace[answer->workspace];
    answer->exchange->onDisconnected([this, answer] {
        abandon(*answer);
    });
    const auto begin = [this, answer, request = std::make_shared<StreamRequest>(std::move(request))] {
        answer->startedAt = context.clock.now();
        usageRecorder.expectUsage(answer->id, answer->owner);
        streams.open(std::move(*request), makeHandlers(answer));
    };
    const auto refuseLate = [this, answer] {
        ++refused;
        usageRecorder.countRefused(answer->owner);
        CompletionError error;
        error.status = 503;
        error.type = "server_error";
        error.message = "the first token would come too late; nothing was run";
        error.code = "overloaded";
        error.retryAfterSeconds = 1;
        replyCompletionError(answer->exchange, error, answer->publicId);
        release(*answer);
    };
    admission.admit(std::move(admissionRequest), begin, refuseLate);
}

void Completions::Private::handleRequest(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration, CompletionKind kind)
{
    CompletionRequest request;
    CompletionError error;
    if (!readCompletionRequest(exchange->request().body, kind, request, error) || !checkRequest(request, caller, configuration, error)) {
        ++refused;
        return replyCompletionError(exchange, error, caller.publicId);
    }
    const ServiceSection &service = configuration.services.at(request.service);
    const ModelSection &model = configuration.models.at(service.model);
    StreamRequest stream;
    stream.id = caller.request;
    stream.requirements = {{service.model}, service.version, service.adapter, static_cast<std::uint32_t>(model.layers)};
    stream.prompt = request.prompt;
    stream.maxTokens = request.maxTokens > 0 ? request.maxTokens : static_cast<std::uint32_t>(service.maxTokens);
    const UsageOwner owner{caller.workspace, {request.service}, {service.model}, caller.section->worth};
    const std::uint64_t serviceHash = hash64(request.service);
    stream.fingerprint = hash64(request.prompt, serviceHash);
    for (const std::string &message : request.sharedMessages) {
        stream.parts.push_back(partFingerprint(hash64(message, serviceHash)));
    }
    stream.service.value = request.service;
    stream.workspace = caller.workspace;
    stream.allowedInputs = service.allowInputs;
    const bool isQuarantined = guard.classify(stream.fingerprint, service.allowInputs) == InputStatus::Quarantined;
    if (isQuarantined || crashGuard.isRefused(inputsOf(stream), service.allowInputs)) {
        ++refused;
        usageRecorder.countRefused(owner);
        return replyCompletionError(exchange, quarantinedInputError(Outcome::NotRun), caller.publicId);
    }
    stream.deadline = service.deadline;
    const auto answer = std::make_shared<OpenAnswer>();
    answer->request = std::move(request);
    answer->request.prompt.clear();
    answer->exchange = exchange;
    answer->id = caller.request;
    answer->workspace = caller.workspace;
    answer->owner = owner;
    answer->publicId = caller.publicId;
    answer->created = std::chrono::duration_cast<std::chrono::seconds>(context.clock.wallTime().time_since_epoch()).count();
    answer->firstTokenTarget = std::chrono::duration<double>(service.firstTokenDeadline).count();
    answer->betweenTokensTarget = std::chrono::duration<double>(service.betweenTokensTarget).count();
    AdmissionRequest admissionRequest;
    admissionRequest.waiting.id = caller.request;
    admissionRequest.waiting.workspace = caller.workspace;
    admissionRequest.waiting.worth = caller.section->worth;
    admissionRequest.waiting.cost = stream.maxTokens;
    admissionRequest.model.value = service.model;
    admissionRequest.firstTokenDeadline = service.firstTokenDeadline;
    admissionRequest.betweenTokens = service.betweenTokensTarget;
    start(answer, std::move(stream), std::move(admissionRequest));
}

// [SECTION] Completions

Completions::Completions(EntryContext &context, Streams &streams, const InputGuard &guard, const EntryCrashGuard &crashGuard, UsageRecorder &usageRecorder)
    : d(new Private{context,
                    streams,
                    guard,
                    crashGuard,
                    usageRecorder,
                    AdmissionQueue(context),
                    {},
                    0,
                    context.metrics.counter("parsley_completions_answered", "Completions answered in full."),
                    context.metrics.counter("parsley_completions_refused", "Completions refused before they were run."),
                    context.metrics.counter("parsley_completions_failed", "Completions that could not be completed."),
                    context.metrics.counter("parsley_completions_abandoned", "Completions whose caller went away or read too slowly.")})
{
}

Completions::~Completions() = default;

void Completions::chat(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration)
{
    d->handleRequest(exchange, caller, configuration, CompletionKind::Chat);
}

void Completions::complete(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration)
{
    d->handleRequest(exchange, caller, configuration, CompletionKind::Text);
}

void Completions::models(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration) const
{
    json list = json::array();
    for (const std::string &name : caller.section->services) {
        const auto service = configuration.services.find(name);
        if (service != configuration.services.end() && service->second.kind == "pipeline") {
            list.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", caller.workspace.value}});
        }
    }
    const json body = {{"object", "list"}, {"data", list}};
    exchange->reply(200, {{"Content-Type", "application/json"}, {"X-Request-Id", caller.publicId}}, body.dump());
}

std::size_t Completions::openCount(const WorkspaceName &workspace) const
{
    const auto it = d->openByWorkspace.find(workspace);
    return it == d->openByWorkspace.end() ? 0 : it->second;
}

void Completions::tick()
{
    d->admission.tick();
}

std::string Completions::describeAdmission() const
{
    return d->admission.describe();
}

std::size_t Completions::openCount() const
{
    return d->openTotal;
}

} // namespace Parsleytrail
