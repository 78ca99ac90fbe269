// Index: [SECTION] Errors, [SECTION] Reading requests, [SECTION] Writing answers, [SECTION] Running, [SECTION] Completions
#include "entry/completions.h"

#include "base/digest.h"
#include "http/problem.h"

#include <nlohmann/json.hpp>

#include <map>

namespace Parsleytrail
{

using nlohmann::json;

constexpr std::size_t maxCallerBacklogBytes = 1 << 20; ///< a caller that reads more slowly than this loses its stream

/// Text of tokens is whatever the engine gives; a broken UTF-8 sequence must not break the answer.
static std::string toText(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// [SECTION] Errors

static json errorObject(const CompletionError &error)
{
    const json param = error.param.empty() ? json() : json(error.param);
    const json code = error.code.empty() ? json() : json(error.code);
    return {{"error", {{"message", error.message}, {"type", error.type}, {"param", param}, {"code", code}}}, {"parsley-outcome", outcomeText(error.outcome)}};
}

std::string completionErrorBody(const CompletionError &error)
{
    return toText(errorObject(error));
}

void replyCompletionError(const ExchangePtr &exchange, const CompletionError &error, const std::string &requestId)
{
    HttpHeaders headers = {{"Content-Type", "application/json"}, {"parsley-outcome", outcomeText(error.outcome)}, {"X-Request-Id", requestId}};
    if (error.retryAfterSeconds > 0) {
        headers.push_back({"Retry-After", std::to_string(error.retryAfterSeconds)});
    }
    exchange->reply(error.status, headers, completionErrorBody(error));
}

// [SECTION] Reading requests

namespace
{

enum class CompletionKind { Chat, Text };

/// A checked request.
struct CompletionRequest {
    CompletionKind kind = CompletionKind::Chat;
    std::string service;         ///< "model" in the request
    std::string prompt;          ///< text for the engines
    bool isStream = false;       ///< server-sent events
    bool withUsage = false;      ///< a last event with usage
    std::uint32_t maxTokens = 0; ///< 0: the service's own
};

/// Fields that change nothing here: sampling of a deterministic model, and labels.
bool isIgnorable(const std::string &field)
{
    static const std::set<std::string> fields = {"temperature", "top_p", "presence_penalty", "frequency_penalty", "seed", "user", "metadata", "store"};
    return fields.count(field) > 0;
}

bool refuse(CompletionError &error, const std::string &param, const std::string &message, const char *code = "")
{
    error.message = message;
    error.param = param;
    error.code = code;
    return false;
}

/// Content of a message: a string, or a list of text parts.
bool readContent(const json &content, std::string &text, CompletionError &error)
{
    if (content.is_string()) {
        text = content.get<std::string>();
        return true;
    }
    if (!content.is_array()) {
        return refuse(error, "messages", "expected content to be a string or a list of text parts");
    }
    for (const json &part : content) {
        if (!part.is_object() || part.value("type", json()) != "text" || !part.contains("text") || !part["text"].is_string()) {
            return refuse(error, "messages", "expected parts of type text; other kinds of content are not supported");
        }
        text += part["text"].get<std::string>();
    }
    return true;
}

bool readMessages(const json &messages, CompletionRequest &request, CompletionError &error)
{
    static const std::set<std::string> roles = {"system", "developer", "user", "assistant"};
    if (!messages.is_array() || messages.empty()) {
        return refuse(error, "messages", "expected a list with at least one message");
    }
    for (const json &message : messages) {
        const bool hasRole = message.is_object() && message.contains("role") && message["role"].is_string();
        if (!hasRole || !roles.count(message["role"].get<std::string>()) || !message.contains("content")) {
            return refuse(error, "messages", "expected each message to have a role (system, developer, user, assistant) and content");
        }
        std::string text;
        if (!readContent(message["content"], text, error)) {
            return false;
        }
        request.prompt += message["role"].get<std::string>() + ": " + text + "\n";
    }
    return true;
}

bool readPrompt(const json &prompt, CompletionRequest &request, CompletionError &error)
{
    const bool isListOfOne = prompt.is_array() && prompt.size() == 1 && prompt[0].is_string();
    if (!prompt.is_string() && !isListOfOne) {
        return refuse(error, "prompt", "expected one string; several prompts and lists of tokens are not supported");
    }
    request.prompt = prompt.is_string() ? prompt.get<std::string>() : prompt[0].get<std::string>();
    return true;
}

bool readCount(const json &value, const std::string &field, std::uint32_t &out, CompletionError &error)
{
    constexpr std::uint64_t most = 65536;
    const bool isCount = value.is_number_unsigned() && value.get<std::uint64_t>() >= 1 && value.get<std::uint64_t>() <= most;
    if (!isCount) {
        return refuse(error, field, "expected a whole number from 1 to 65536");
    }
    out = value.get<std::uint32_t>();
    return true;
}

bool readStreamOptions(const json &options, CompletionRequest &request, CompletionError &error)
{
    if (!options.is_object()) {
        return refuse(error, "stream_options", "expected an object");
    }
    for (const auto &[name, value] : options.items()) {
        if (name != "include_usage" || !value.is_boolean()) {
            return refuse(error, "stream_options", "expected include_usage with true or false");
        }
        request.withUsage = value.get<bool>();
    }
    return true;
}

/// Fields that are accepted only with the value that asks for nothing.
bool readNeutral(const std::string &field, const json &value, CompletionError &error)
{
    if (field == "n" || field == "best_of") {
        return value == 1 || refuse(error, field, "only one choice is supported", "unsupported_value");
    }
    const bool isOff = value.is_null() || value == false || (value.is_array() && value.empty()) || (value.is_object() && value.empty());
    if (field == "response_format") {
        return isOff || value.value("type", json()) == "text" || refuse(error, field, "only the response format text is supported", "unsupported_value");
    }
    static const std::set<std::string> known = {"stop",          "logprobs",   "top_logprobs", "tools",           "tool_choice", "functions",
                                                "function_call", "logit_bias", "audio",        "modalities",      "prediction",  "parallel_tool_calls",
                                                "echo",          "suffix",     "service_tier", "reasoning_effort"};
    if (!known.count(field)) {
        return refuse(error, field, "unrecognized request argument: " + field, "unknown_parameter");
    }
    return isOff || refuse(error, field, field + " is not supported", "unsupported_parameter");
}

bool readField(const std::string &field, const json &value, CompletionRequest &request, CompletionError &error)
{
    const bool isChat = request.kind == CompletionKind::Chat;
    if (field == "model") {
        if (!value.is_string()) {
            return refuse(error, field, "expected the name of a model");
        }
        request.service = value.get<std::string>();
        return true;
    }
    if (field == "stream") {
        if (!value.is_boolean() && !value.is_null()) {
            return refuse(error, field, "expected true or false");
        }
        request.isStream = value == true;
        return true;
    }
    if (value.is_null() || isIgnorable(field)) {
        return true;
    }
    if (field == "messages" && isChat) {
        return readMessages(value, request, error);
    }
    if (field == "prompt" && !isChat) {
        return readPrompt(value, request, error);
    }
    if (field == "max_tokens" || (field == "max_completion_tokens" && isChat)) {
        return readCount(value, field, request.maxTokens, error);
    }
    if (field == "stream_options") {
        return readStreamOptions(value, request, error);
    }
    return readNeutral(field, value, error);
}

bool readRequest(const std::string &body, CompletionKind kind, CompletionRequest &request, CompletionError &error)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return refuse(error, "", "expected a JSON object as the body");
    }
    request.kind = kind;
    for (const auto &[field, value] : object.items()) {
        if (!readField(field, value, request, error)) {
            return false;
        }
    }
    if (request.service.empty()) {
        return refuse(error, "model", "expected the name of a model");
    }
    const char *input = kind == CompletionKind::Chat ? "messages" : "prompt";
    if (!object.contains(input) || object[input].is_null()) {
        return refuse(error, input, std::string("expected the field ") + input);
    }
    return true;
}

// [SECTION] Writing answers

/// An answer being made.
struct OpenAnswer {
    CompletionRequest request;      ///< as checked
    ExchangePtr exchange;           ///< the caller
    RequestId id;                   ///< stream
    WorkspaceName workspace;        ///< of the caller
    WorkOwner owner;                ///< whose work it is
    double firstTokenTarget = 0;    ///< seconds
    double betweenTokensTarget = 0; ///< seconds; 0: none
    TimePoint startedAt{};          ///< admitted
    TimePoint lastTokenAt{};        ///< zero before the first
    std::string shownId;            ///< X-Request-Id
    std::int64_t created = 0;       ///< seconds since 1970
    std::string text;               ///< of a whole answer
    std::uint32_t tokens = 0;       ///< generated so far
};

json envelope(const OpenAnswer &answer, bool isChunk)
{
    const bool isChat = answer.request.kind == CompletionKind::Chat;
    return {{"id", (isChat ? "chatcmpl-" : "cmpl-") + answer.id.value},
            {"object", !isChat   ? "text_completion"
                       : isChunk ? "chat.completion.chunk"
                                 : "chat.completion"},
            {"created", answer.created},
            {"model", answer.request.service}};
}

json usageOf(const OpenAnswer &answer, std::uint32_t promptTokens)
{
    return {{"prompt_tokens", promptTokens}, {"completion_tokens", answer.tokens}, {"total_tokens", promptTokens + answer.tokens}};
}

const char *finishText(FinishReason reason)
{
    return reason == FinishReason::Stop ? "stop" : "length";
}

std::string sse(const json &event)
{
    return "data: " + toText(event) + "\n\n";
}

/// One event of a stream; `finish` is null but in the last.
json chunk(const OpenAnswer &answer, const json &delta, const json &finish)
{
    json event = envelope(answer, true);
    if (answer.request.kind == CompletionKind::Chat) {
        event["choices"] = json::array({{{"index", 0}, {"delta", delta}, {"logprobs", nullptr}, {"finish_reason", finish}}});
    } else {
        event["choices"] = json::array({{{"index", 0}, {"text", delta.value("content", "")}, {"logprobs", nullptr}, {"finish_reason", finish}}});
    }
    if (answer.request.withUsage) {
        event["usage"] = nullptr;
    }
    return event;
}

HttpHeaders answerHeaders(const OpenAnswer &answer)
{
    if (answer.request.isStream) {
        return {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", answer.shownId}};
    }
    return {{"Content-Type", "application/json"}, {"X-Request-Id", answer.shownId}};
}

void pushToken(OpenAnswer &answer, const TokenFrame &token)
{
    ++answer.tokens;
    if (!answer.request.isStream) {
        answer.text += token.text;
        return;
    }
    if (!answer.exchange->isBegun()) {
        answer.exchange->beginStream(200, answerHeaders(answer));
        if (answer.request.kind == CompletionKind::Chat) {
            answer.exchange->pushChunk(sse(chunk(answer, {{"role", "assistant"}, {"content", ""}}, nullptr)));
        }
    }
    if (!token.text.empty()) {
        answer.exchange->pushChunk(sse(chunk(answer, {{"content", token.text}}, nullptr)));
    }
}

void endStream(OpenAnswer &answer, FinishReason reason, std::uint32_t promptTokens)
{
    answer.exchange->pushChunk(sse(chunk(answer, json::object(), finishText(reason))));
    if (answer.request.withUsage) {
        json event = envelope(answer, true);
        event["choices"] = json::array();
        event["usage"] = usageOf(answer, promptTokens);
        answer.exchange->pushChunk(sse(event));
    }
    answer.exchange->pushChunk("data: [DONE]\n\n");
    answer.exchange->endStream();
}

void replyWhole(OpenAnswer &answer, FinishReason reason, std::uint32_t promptTokens)
{
    json body = envelope(answer, false);
    json choice = {{"index", 0}, {"logprobs", nullptr}, {"finish_reason", finishText(reason)}};
    if (answer.request.kind == CompletionKind::Chat) {
        choice["message"] = {{"role", "assistant"}, {"content", answer.text}};
    } else {
        choice["text"] = answer.text;
    }
    body["choices"] = json::array({choice});
    body["usage"] = usageOf(answer, promptTokens);
    answer.exchange->reply(200, answerHeaders(answer), toText(body));
}

CompletionError convictedError(Outcome outcome)
{
    CompletionError error;
    error.status = 422;
    error.message = "this input was being run at two separate deaths of engines and is refused; the operator can lift it";
    error.code = "input_refused";
    error.outcome = outcome;
    return error;
}

CompletionError toError(const StreamFailure &failure)
{
    if (failure.isConvicted) {
        return convictedError(failure.outcome);
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

// [SECTION] Running

struct Completions::Private {
    EntryContext &context;
    Streams &streams;
    const InputGuard &guard;
    WorkKeeper &work;
    AdmissionQueue admission;
    std::map<WorkspaceName, std::size_t> openByWorkspace;
    std::size_t openInAll = 0;
    std::uint64_t &answered;
    std::uint64_t &refused;
    std::uint64_t &failed;
    std::uint64_t &abandoned;

    void run(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration, CompletionKind kind);
    bool admit(const CompletionRequest &request, const Caller &caller, const Configuration &configuration, CompletionError &error) const;
    void start(const std::shared_ptr<OpenAnswer> &answer, StreamRequest request, AdmissionRequest wanted);
    StreamHandlers handlersFor(const std::shared_ptr<OpenAnswer> &answer);
    void measure(OpenAnswer &answer);
    void abandon(OpenAnswer &answer);
    void release(const OpenAnswer &answer);
};

bool Completions::Private::admit(const CompletionRequest &request, const Caller &caller, const Configuration &configuration, CompletionError &error) const
{
    const auto service = configuration.services.find(request.service);
    const auto &allowed = caller.section->services;
    const bool isAllowed = std::find(allowed.begin(), allowed.end(), request.service) != allowed.end();
    if (service == configuration.services.end() || !isAllowed || service->second.kind != "pipeline") {
        error.status = 404;
        return refuse(error, "model", "the model '" + request.service + "' does not exist or is not open to this workspace", "model_not_found");
    }
    const auto inWorkspace = openByWorkspace.find(caller.workspace);
    const std::size_t open = inWorkspace == openByWorkspace.end() ? 0 : inWorkspace->second;
    const bool isFull = openInAll >= static_cast<std::size_t>(context.settings.maxStreams);
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

/// The answer is over, whichever way.
void Completions::Private::release(const OpenAnswer &answer)
{
    --openInAll;
    if (--openByWorkspace[answer.workspace] == 0) {
        openByWorkspace.erase(answer.workspace);
    }
    if (answer.startedAt != TimePoint{}) {
        admission.noteEnd(answer.owner.model);
    }
}

void Completions::Private::measure(OpenAnswer &answer)
{
    const TimePoint now = context.clock.now();
    const auto seconds = [now](TimePoint from) {
        return std::chrono::duration<double>(now - from).count();
    };
    if (answer.lastTokenAt == TimePoint{}) {
        admission.noteFirstToken(answer.owner.model, seconds(answer.startedAt), answer.betweenTokensTarget > 0 ? answer.firstTokenTarget : 0);
    } else {
        admission.noteGap(answer.owner.model, seconds(answer.lastTokenAt), answer.betweenTokensTarget);
    }
    answer.lastTokenAt = now;
}

StreamHandlers Completions::Private::handlersFor(const std::shared_ptr<OpenAnswer> &answer)
{
    StreamHandlers handlers;
    handlers.onToken = [this, answer](const TokenFrame &token) {
        measure(*answer);
        pushToken(*answer, token);
        if (answer->exchange->buffered() > maxCallerBacklogBytes) {
            answer->exchange->abort();
            abandon(*answer);
        }
    };
    handlers.onEnd = [this, answer](FinishReason reason, std::uint32_t promptTokens) {
        ++answered;
        work.countAnswered(answer->owner, promptTokens, answer->tokens);
        answer->request.isStream ? endStream(*answer, reason, promptTokens) : replyWhole(*answer, reason, promptTokens);
        release(*answer);
    };
    handlers.onFail = [this, answer](const StreamFailure &failure) {
        ++failed;
        failure.outcome == Outcome::NotRun ? work.countRefused(answer->owner) : work.countUnknown(answer->owner, answer->tokens);
        const CompletionError error = toError(failure);
        if (answer->exchange->isBegun()) {
            // The status is out already: the error goes into the stream, and the missing [DONE] says that it is not whole.
            answer->exchange->pushChunk(sse(errorObject(error)));
            answer->exchange->endStream();
        } else {
            replyCompletionError(answer->exchange, error, answer->shownId);
        }
        release(*answer);
    };
    return handlers;
}

/// The caller went away, or reads too slowly.
void Completions::Private::abandon(OpenAnswer &answer)
{
    ++abandoned;
    const bool wasWaiting = answer.startedAt == TimePoint{} && admission.cancel(answer.owner.model, answer.id);
    if (wasWaiting) {
        work.countRefused(answer.owner);
    } else {
        streams.cancel(answer.id);
        work.countUnknown(answer.owner, answer.tokens);
    }
    release(answer);
}

void Completions::Private::start(const std::shared_ptr<OpenAnswer> &answer, StreamRequest request, AdmissionRequest wanted)
{
    ++openInAll;
    ++openByWorkspace[answer->workspace];
    answer->exchange->onClosed([this, answer] {
        abandon(*answer);
    });
    const auto begin = [this, answer, request = std::make_shared<StreamRequest>(std::move(request))] {
        answer->startedAt = context.clock.now();
        work.expectUsage(answer->id, answer->owner);
        streams.open(std::move(*request), handlersFor(answer));
    };
    const auto refuseLate = [this, answer] {
        ++refused;
        work.countRefused(answer->owner);
        CompletionError error;
        error.status = 503;
        error.type = "server_error";
        error.message = "the first token would come too late; nothing was run";
        error.code = "overloaded";
        error.retryAfterSeconds = 1;
        replyCompletionError(answer->exchange, error, answer->shownId);
        release(*answer);
    };
    admission.admit(std::move(wanted), begin, refuseLate);
}

void Completions::Private::run(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration, CompletionKind kind)
{
    CompletionRequest request;
    CompletionError error;
    if (!readRequest(exchange->request().body, kind, request, error) || !admit(request, caller, configuration, error)) {
        ++refused;
        return replyCompletionError(exchange, error, caller.shownId);
    }
    const ServiceSection &service = configuration.services.at(request.service);
    const ModelSection &model = configuration.models.at(service.model);
    StreamRequest stream;
    stream.id = caller.request;
    stream.need = {{service.model}, service.version, service.adapter, static_cast<std::uint32_t>(model.layers)};
    stream.prompt = request.prompt;
    stream.maxTokens = request.maxTokens > 0 ? request.maxTokens : static_cast<std::uint32_t>(service.maxTokens);
    const WorkOwner owner{caller.workspace, {request.service}, {service.model}, caller.section->worth};
    stream.fingerprint = hash64(request.prompt, hash64(request.service));
    stream.service.value = request.service;
    stream.workspace = caller.workspace;
    stream.allowedInputs = service.allowInputs;
    if (guard.judge(stream.fingerprint, service.allowInputs) == InputStanding::Convicted) {
        ++refused;
        work.countRefused(owner);
        return replyCompletionError(exchange, convictedError(Outcome::NotRun), caller.shownId);
    }
    stream.deadline = service.deadline;
    const auto answer = std::make_shared<OpenAnswer>();
    answer->request = std::move(request);
    answer->request.prompt.clear();
    answer->exchange = exchange;
    answer->id = caller.request;
    answer->workspace = caller.workspace;
    answer->owner = owner;
    answer->shownId = caller.shownId;
    answer->created = std::chrono::duration_cast<std::chrono::seconds>(context.clock.wallTime().time_since_epoch()).count();
    answer->firstTokenTarget = std::chrono::duration<double>(service.firstTokenDeadline).count();
    answer->betweenTokensTarget = std::chrono::duration<double>(service.betweenTokensTarget).count();
    AdmissionRequest wanted;
    wanted.waiting.id = caller.request;
    wanted.waiting.workspace = caller.workspace;
    wanted.waiting.worth = caller.section->worth;
    wanted.waiting.cost = stream.maxTokens;
    wanted.model.value = service.model;
    wanted.firstTokenDeadline = service.firstTokenDeadline;
    wanted.betweenTokens = service.betweenTokensTarget;
    start(answer, std::move(stream), std::move(wanted));
}

// [SECTION] Completions

Completions::Completions(EntryContext &context, Streams &streams, const InputGuard &guard, WorkKeeper &work)
    : d(new Private{context,
                    streams,
                    guard,
                    work,
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
    d->run(exchange, caller, configuration, CompletionKind::Chat);
}

void Completions::complete(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration)
{
    d->run(exchange, caller, configuration, CompletionKind::Text);
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
    exchange->reply(200, {{"Content-Type", "application/json"}, {"X-Request-Id", caller.shownId}}, toText(body));
}

std::size_t Completions::open(const WorkspaceName &workspace) const
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

std::size_t Completions::open() const
{
    return d->openInAll;
}

} // namespace Parsleytrail
