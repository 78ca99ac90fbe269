// Index: [SECTION] State, [SECTION] Sending, [SECTION] Completion, [SECTION] Frames, [SECTION] Keys, [SECTION] ServiceCalls
#include "entry/service_calls.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/text.h"
#include "http/problem.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

namespace Parsleytrail
{

// [SECTION] State

constexpr std::size_t bodyFrameBytes = 32 << 10; ///< request body bytes per frame
constexpr std::uint32_t maxTargetsPerCall = 3;   ///< attempts of one call, each at another target
constexpr const char *stoppingText = "this entry stopped before the target answered";
constexpr milliseconds deadlineMargin{500}; ///< lets the sidecar's own deadline expire first: its failure report is more precise

namespace
{

/// An open call.
struct OpenCall {
    RequestId id;                  ///< unique across all entries
    ExchangePtr exchange;          ///< HTTP exchange with the caller
    Caller caller;                 ///< its `section` is null: the configuration may change during the call
    UsageOwner owner;              ///< what the call is counted under
    ServiceName service;           ///< service called
    std::string path;              ///< below the service, with query
    milliseconds deadline{0};      ///< longest time the call may take
    TimePoint openedAt{};          ///< when the request was accepted
    bool isNonIdempotent = false;  ///< by the configuration or because it has a key
    bool mayRetry = false;         ///< may be sent to a second target after an unknown outcome
    TargetId target;               ///< current; empty between targets
    std::string address;           ///< address of the target's sidecar
    std::uint32_t tried = 0;       ///< number of targets tried
    std::set<TargetId> excluded;   ///< targets that this call was sent to
    bool hasHead = false;          ///< the response head was received
    std::size_t uncredited = 0;    ///< response bytes received for which the sidecar has been sent no credit yet
    std::optional<CallKey> key;    ///< set if the call has an Idempotency-Key
    std::uint64_t fingerprint = 0; ///< hash of what the call asks for, the same each time that its caller sends it
    StoredResponse storedResponse; ///< response so far, to be stored for the key
    bool isTooLongToStore = false; ///< the response body exceeds maxStoredBodyBytes
};

bool isIdempotentMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" || method == "DELETE";
}

/// Whether a request header is forwarded to the application. Headers that the router sets or consumes itself are not, nor is
/// Authorization, which holds the caller's key.
bool isForwardedHeader(const std::string &name)
{
    return !isHopByHop(name) && !equalsIgnoringCase(name, "Host") && !equalsIgnoringCase(name, "Authorization") && !equalsIgnoringCase(name, "X-Request-Id")
           && !equalsIgnoringCase(name, "Expect");
}

} // namespace

struct ServiceCalls::Private {
    EntryContext &context;
    Targets &targets;
    KeyedCalls &keys;
    UsageRecorder &usageRecorder;
    EntryCrashGuard &guard;
    std::unordered_map<RequestId, OpenCall> calls;
    std::map<WorkspaceName, std::size_t> openByWorkspace;
    std::uint64_t &answered;
    std::uint64_t &notRun;
    std::uint64_t &unknown;
    TimeHistogram &durations;
    std::uint64_t &quarantined;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    OpenCall *find(const RequestId &request);
    const TargetView *chooseTarget(const OpenCall &call);
    void open(OpenCall call);
    void send(const RequestId &request);
    void sendTo(OpenCall &call, const LinkPtr &link);
    void releaseTarget(OpenCall &call);
    void erase(const RequestId &request);

    void refuse(const RequestId &request, Problem problem);
    void handleFailure(const RequestId &request, Outcome outcome, const Error &error);
    void finishResponse(const RequestId &request);
    void handleDisconnect(const RequestId &request);
    void cancelAtTarget(const OpenCall &call);

    void handleHead(const CallHead &head);
    void handleBody(const CallBody &body);
    void sendCredit(const RequestId &request);

    void beginKeyed(OpenCall call);
    void finishKey(OpenCall &call, KeyOutcome keyOutcome);
    void handleKeyDecision(OpenCall call, KeyDecision decision, const StoredResponse &answer);
};

OpenCall *ServiceCalls::Private::find(const RequestId &request)
{
    const auto it = calls.find(request);
    return it == calls.end() ? nullptr : &it->second;
}

void ServiceCalls::Private::erase(const RequestId &request)
{
    const auto it = calls.find(request);
    if (it == calls.end()) {
        return;
    }
    if (--openByWorkspace[it->second.caller.workspace] == 0) {
        openByWorkspace.erase(it->second.caller.workspace);
    }
    calls.erase(it);
}

// [SECTION] Sending

const TargetView *ServiceCalls::Private::chooseTarget(const OpenCall &call)
{
    const TimePoint now = context.clock.now();
    std::vector<const TargetView *> usable;
    for (const TargetView *target : targets.views()) {
        const bool serves = target->last.kind == TargetKind::Application && target->last.service == call.service;
        if (serves && acceptsNewWork(*target, now) && !call.excluded.count(target->last.target)) {
            usable.push_back(target);
        }
    }
    if (usable.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> randomIndex(0, usable.size() - 1);
    const TargetView *a = usable[randomIndex(context.random)];
    const TargetView *b = usable[randomIndex(context.random)];
    return expectedMicros(*a, now) <= expectedMicros(*b, now) ? a : b;
}

void ServiceCalls::Private::sendTo(OpenCall &call, const LinkPtr &link)
{
    const HttpRequest &request = call.exchange->request();
    CallRequest head;
    head.request = call.id;
    head.service = call.service;
    head.method = request.method;
    head.path = call.path;
    for (const HttpHeader &header : request.headers) {
        if (isForwardedHeader(header.name)) {
            head.headers.push_back({header.name, header.value});
        }
    }
    head.headers.push_back({"X-Request-Id", call.caller.publicId});
    head.bodyBytes = request.body.size();
    head.nonIdempotent = call.isNonIdempotent;
    head.deadlineMs = static_cast<std::uint32_t>(call.deadline.count());
    link->send(head);
    std::string_view remainder = request.body;
    while (remainder.size() > bodyFrameBytes) {
        link->send(CallBody{call.id, std::string(remainder.substr(0, bodyFrameBytes)), false});
        remainder.remove_prefix(bodyFrameBytes);
    }
    link->send(CallBody{call.id, std::string(remainder), true});
}

void ServiceCalls::Private::send(const RequestId &request)
{
    OpenCall &call = *find(request);
    const TargetView *target = call.tried < maxTargetsPerCall ? chooseTarget(call) : nullptr;
    if (!target) {
        return refuse(request, {503, "", "no target of service " + call.service.value + " takes calls", Outcome::NotRun, 1});
    }
    const LinkPtr link = targets.link(target->last.target);
    ++call.tried;
    call.target = target->last.target;
    call.address = link->peerName();
    call.excluded.insert(call.target);
    targets.recordOpened(call.target);
    if (context.history.isEnabled()) {
        context.history.record("call-sent",
                               {{"request", request.value}, {"target", call.target.value}, {"nonIdempotent", std::uint64_t{call.isNonIdempotent ? 1u : 0u}}});
    }
    sendTo(call, link);
}

void ServiceCalls::Private::releaseTarget(OpenCall &call)
{
    if (!call.target.isEmpty()) {
        targets.recordClosed(call.target);
    }
    call.target = {};
    call.address.clear();
}

void ServiceCalls::Private::open(OpenCall call)
{
    const RequestId id = call.id;
    ++openByWorkspace[call.caller.workspace];
    call.exchange->onDisconnected([this, id, weak = std::weak_ptr(alive)] {
        if (!weak.expired()) {
            handleDisconnect(id);
        }
    });
    calls[id] = std::move(call);
    recordRequest(context.retryBudget);
    send(id);
}

// [SECTION] Completion

void ServiceCalls::Private::refuse(const RequestId &request, Problem problem)
{
    OpenCall &call = *find(request);
    releaseTarget(call);
    finishKey(call, problem.outcome == Outcome::NotRun ? KeyOutcome::NotRun : KeyOutcome::Unknown);
    ++(problem.outcome == Outcome::NotRun ? notRun : unknown);
    problem.outcome == Outcome::NotRun ? usageRecorder.countRefused(call.owner) : usageRecorder.countUnknown(call.owner, 0);
    logEvent(Event::CallFailed,
             {{"request", request.value}, {"service", call.service.value}, {"outcome", outcomeText(problem.outcome)}, {"reason", problem.detail}});
    if (context.history.isEnabled()) {
        context.history.record("outcome", {{"request", request.value}, {"shown", call.caller.publicId}, {"outcome", outcomeText(problem.outcome)}});
    }
    const ExchangePtr exchange = call.exchange;
    const std::string publicId = call.caller.publicId;
    erase(request);
    replyProblem(exchange, problem, {{"X-Request-Id", publicId}});
}

void ServiceCalls::Private::cancelAtTarget(const OpenCall &call)
{
    if (call.target.isEmpty()) {
        return;
    }
    if (const LinkPtr link = targets.link(call.target)) {
        link->send(CallCancel{call.id});
    }
}

/// The current target won't complete the response: retries the call elsewhere if that is safe, or ends it.
void ServiceCalls::Private::handleFailure(const RequestId &request, Outcome outcome, const Error &error)
{
    OpenCall *call = find(request);
    if (!call) {
        return;
    }
    if (outcome == Outcome::Unknown) {
        targets.recordFailure(call->target);
    }
    releaseTarget(*call);
    if (call->hasHead) {
        // The status has been sent to the caller: only a broken connection can still signal an incomplete response.
        const ExchangePtr exchange = call->exchange;
        finishKey(*call, KeyOutcome::Unknown);
        ++unknown;
        usageRecorder.countUnknown(call->owner, 0);
        erase(request);
        return exchange->abort();
    }
    const bool isSafe = outcome == Outcome::NotRun || (call->mayRetry && !guard.isRefused(call->fingerprint));
    if (isSafe && call->tried < maxTargetsPerCall && tryConsumeRetry(context.retryBudget) && chooseTarget(*call)) {
        return send(request);
    }
    if (outcome == Outcome::NotRun) {
        return refuse(request, {503, "", error.toString(), Outcome::NotRun, 1});
    }
    refuse(request, {502, "", error.toString(), Outcome::Unknown});
}

void ServiceCalls::Private::finishResponse(const RequestId &request)
{
    OpenCall &call = *find(request);
    ++answered;
    usageRecorder.countAnswered(call.owner, 0, 0);
    durations.record(std::chrono::duration<double>(context.clock.now() - call.openedAt).count());
    targets.recordSuccess(call.target);
    guard.recordCompletion(call.fingerprint);
    releaseTarget(call);
    finishKey(call, call.isTooLongToStore ? KeyOutcome::Unknown : KeyOutcome::Answered);
    if (context.history.isEnabled()) {
        context.history.record("outcome", {{"request", request.value}, {"shown", call.caller.publicId}, {"outcome", "answered"}});
    }
    const ExchangePtr exchange = call.exchange;
    erase(request);
    exchange->endStream();
}

void ServiceCalls::Private::handleDisconnect(const RequestId &request)
{
    OpenCall *call = find(request);
    if (!call) {
        return;
    }
    if (call->key) {
        // A retry with this key must get this response, so the call continues without its caller.
        call->uncredited = 0;
        return;
    }
    cancelAtTarget(*call);
    releaseTarget(*call);
    usageRecorder.countUnknown(call->owner, 0);
    erase(request);
}

// [SECTION] Frames

void ServiceCalls::Private::handleHead(const CallHead &head)
{
    OpenCall *call = find(head.request);
    if (!call || call->hasHead) {
        return;
    }
    call->hasHead = true;
    HttpHeaders headers;
    for (const HeaderField &field : head.headers) {
        headers.push_back({field.name, field.value});
    }
    headers.push_back({"parsley-outcome", "run"});
    if (findHeader(headers, "X-Request-Id").empty()) {
        headers.push_back({"X-Request-Id", call->caller.publicId});
    }
    call->storedResponse.status = static_cast<int>(head.status);
    call->storedResponse.headers = headers;
    call->exchange->beginStream(call->storedResponse.status, headers);
    call->exchange->onDrained([this, id = head.request, weak = std::weak_ptr(alive)] {
        if (!weak.expired()) {
            sendCredit(id);
        }
    });
}

void ServiceCalls::Private::sendCredit(const RequestId &request)
{
    OpenCall *call = find(request);
    if (!call || call->uncredited == 0 || call->target.isEmpty()) {
        return;
    }
    if (const LinkPtr link = targets.link(call->target)) {
        link->send(CallCredit{request, static_cast<std::uint32_t>(call->uncredited)});
    }
    call->uncredited = 0;
}

void ServiceCalls::Private::handleBody(const CallBody &body)
{
    OpenCall *call = find(body.request);
    if (!call || !call->hasHead) {
        return;
    }
    call->exchange->pushChunk(body.data);
    call->uncredited += body.data.size();
    if (!call->exchange->isOpen()) {
        sendCredit(body.request); // the caller has disconnected, but the response is still to be stored for the key
    }
    if (call->key && !call->isTooLongToStore) {
        call->storedResponse.body += body.data;
        call->isTooLongToStore = call->storedResponse.body.size() > maxStoredBodyBytes;
    }
    if (body.last) {
        finishResponse(body.request);
    }
}

// [SECTION] Keys

void ServiceCalls::Private::finishKey(OpenCall &call, KeyOutcome keyOutcome)
{
    if (call.key) {
        keys.finish(*call.key, keyOutcome, std::move(call.storedResponse));
        call.key.reset();
    }
}

void ServiceCalls::Private::handleKeyDecision(OpenCall call, KeyDecision decision, const StoredResponse &answer)
{
    const auto refuseWith = [&](Problem problem) {
        replyProblem(call.exchange, problem, {{"X-Request-Id", call.caller.publicId}});
    };
    switch (decision) {
    case KeyDecision::Run:
        return open(std::move(call));
    case KeyDecision::Replay: {
        HttpHeaders headers = answer.headers;
        headers.push_back({"Idempotency-Replayed", "true"});
        return call.exchange->reply(answer.status, headers, answer.body);
    }
    case KeyDecision::RequestMismatch:
        return refuseWith({422, "Idempotency-Key is already used", "the key was sent before with another method, path or body", Outcome::NotRun});
    case KeyDecision::InProgress:
        return refuseWith({409, "A request is outstanding for this Idempotency-Key", "the first call with this key still runs", Outcome::Unknown, 1});
    case KeyDecision::Unknown:
        return refuseWith({502, "", "the first call with this key may have been run; its answer is not known, or too long to be kept", Outcome::Unknown});
    case KeyDecision::Unavailable:
        // This call is not sent, but an earlier one with the same key may have run: with `not-run` the caller would conclude that
        // nothing was done.
        ++unknown;
        return refuseWith({502, "", "the platform's table service is away, so that nobody can tell whether this key was used", Outcome::Unknown, 2});
    }
}

void ServiceCalls::Private::beginKeyed(OpenCall call)
{
    const CallKey key = *call.key;
    const auto shared = std::make_shared<OpenCall>(std::move(call));
    keys.begin(key, [this, shared, weak = std::weak_ptr(alive)](KeyDecision decision, const StoredResponse &answer) {
        if (!weak.expired()) {
            handleKeyDecision(std::move(*shared), decision, answer);
        }
    });
}

// [SECTION] ServiceCalls

ServiceCalls::ServiceCalls(EntryContext &context, Targets &targets, KeyedCalls &keys, UsageRecorder &usageRecorder, EntryCrashGuard &guard)
    : d(new Private{context,
                    targets,
                    keys,
                    usageRecorder,
                    guard,
                    {},
                    {},
                    context.metrics.counter("parsley_calls_answered", "Calls to plain services answered in full."),
                    context.metrics.counter("parsley_calls_not_run", "Calls refused as not run."),
                    context.metrics.counter("parsley_calls_unknown", "Calls that may have been run and got no whole answer."),
                    context.metrics.histogram("parsley_call_seconds", "Time from a call to the end of its answer."),
                    context.metrics.counter("parsley_calls_quarantined", "Calls refused because they crash applications.")})
{
}

ServiceCalls::~ServiceCalls() = default;

static std::uint64_t callFingerprint(const OpenCall &call, const HttpRequest &request)
{
    return hash64(request.method, hash64(call.path, hash64(request.body, hash64(call.service.value, hash64(call.caller.workspace.value)))));
}

void ServiceCalls::serve(const ExchangePtr &exchange, const Caller &caller, const std::string &service, const std::string &path,
                         const Configuration &configuration)
{
    const HttpRequest &request = exchange->request();
    const auto refuse = [&](Problem problem) {
        ++d->notRun;
        replyProblem(exchange, problem, {{"X-Request-Id", caller.publicId}});
    };
    const auto section = configuration.services.find(service);
    const auto &allowed = caller.section->services;
    const bool isAllowed = std::find(allowed.begin(), allowed.end(), service) != allowed.end();
    if (section == configuration.services.end() || !isAllowed || section->second.kind != "plain") {
        return refuse({404, "", "the service '" + service + "' does not exist or is not open to this workspace", Outcome::NotRun});
    }
    if (openCount(caller.workspace) >= static_cast<std::size_t>(caller.section->maxStreams)) {
        return refuse({429, "", "the workspace has max-streams calls open at this entry", Outcome::NotRun, 1});
    }
    OpenCall call;
    call.id = caller.request;
    call.exchange = exchange;
    call.caller = caller;
    call.caller.section = nullptr;
    call.owner = {caller.workspace, {service}, {}, caller.section->worth};
    call.service.value = service;
    call.path = request.query.empty() ? path : path + "?" + request.query;
    call.deadline = section->second.deadline;
    call.openedAt = d->context.clock.now();
    const std::string key = findHeader(request.headers, "Idempotency-Key");
    call.isNonIdempotent = !key.empty() || isNonIdempotent(section->second, request.method, path);
    call.mayRetry = !call.isNonIdempotent && isIdempotentMethod(request.method);
    call.fingerprint = requestFingerprint(callFingerprint(call, request));
    if (d->guard.isRefused(call.fingerprint)) {
        ++d->quarantined;
        return refuse({422, "", "this call was open at three separate crashes of applications and is refused for an hour", Outcome::NotRun});
    }
    if (key.empty()) {
        return d->open(std::move(call));
    }
    call.key = CallKey{caller.workspace, call.service, key, sha256Hex(request.method + " " + call.path + "\n" + request.body), call.deadline};
    d->beginKeyed(std::move(call));
}

bool ServiceCalls::handleFrame(const Frame &frame)
{
    switch (frame.message) {
    case CallHead::messageId:
        return decodeAndHandle<CallHead>(frame, [&](const CallHead &message) {
            d->handleHead(message);
        });
    case CallBody::messageId:
        return decodeAndHandle<CallBody>(frame, [&](const CallBody &message) {
            d->handleBody(message);
        });
    case CallFailed::messageId:
        return decodeAndHandle<CallFailed>(frame, [&](const CallFailed &message) {
            const OpenCall *call = d->find(message.request);
            if (call && message.crash != 0) {
                d->guard.recordCrash(call->fingerprint, message.crash, call->service);
            }
            d->handleFailure(message.request, message.outcome, {message.step, "", message.text});
        });
    default:
        return false;
    }
}

void ServiceCalls::handleLinkLost(const std::string &address, const Error &error)
{
    std::vector<RequestId> lost;
    for (const auto &[request, call] : d->calls) {
        if (call.address == address) {
            lost.push_back(request);
        }
    }
    // The sidecar may have received the call before the link broke, even if it never responded.
    for (const RequestId &request : lost) {
        d->handleFailure(request, Outcome::Unknown, error);
    }
}

void ServiceCalls::tick()
{
    const TimePoint now = d->context.clock.now();
    const bool isEnding = now >= d->context.answerBy;
    std::vector<RequestId> late;
    for (const auto &[request, call] : d->calls) {
        if (isEnding || now - call.openedAt >= call.deadline + deadlineMargin) {
            late.push_back(request);
        }
    }
    for (const RequestId &request : late) {
        OpenCall *call = d->find(request);
        d->cancelAtTarget(*call);
        if (call->hasHead) {
            d->handleFailure(request, Outcome::Run, {"answer in time", call->target.value, isEnding ? stoppingText : "the deadline passed"});
        } else {
            d->refuse(request, {504, "", isEnding ? stoppingText : "the deadline passed before the target answered", Outcome::Unknown});
        }
    }
}

std::size_t ServiceCalls::openCount() const
{
    return d->calls.size();
}

std::size_t ServiceCalls::openCount(const WorkspaceName &workspace) const
{
    const auto it = d->openByWorkspace.find(workspace);
    return it == d->openByWorkspace.end() ? 0 : it->second;
}

std::string ServiceCalls::dump() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[request, call] : d->calls) {
        list.push_back({{"request", request.value},
                        {"service", call.service.value},
                        {"path", call.path},
                        {"target", call.target.value},
                        {"tried", call.tried},
                        {"isNonIdempotent", call.isNonIdempotent},
                        {"hasHead", call.hasHead}});
    }
    return list.dump();
}

} // namespace Parsleytrail
