// Index: [SECTION] State, [SECTION] Sending, [SECTION] Ends, [SECTION] Frames, [SECTION] Keys, [SECTION] ServiceCalls
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

constexpr std::size_t bodyPartBytes = 32 << 10; ///< bytes of a body in one frame
constexpr std::uint32_t maxTargetsTried = 3;    ///< for one call
constexpr milliseconds deadlineMargin{500};     ///< the sidecar's own deadline comes first, and tells more

namespace
{

/// An open call.
struct OpenCall {
    RequestId id;                 ///< unique in the system
    ExchangePtr exchange;         ///< the caller
    Caller caller;                ///< section is not valid any more
    WorkOwner owner;              ///< whose work it is
    ServiceName service;          ///< called
    std::string path;             ///< below the service, with query
    milliseconds deadline{0};     ///< longest time
    TimePoint openedAt{};         ///< request taken
    bool isNonIdempotent = false; ///< marked by the file or by a key
    bool mayRepeat = false;       ///< may be handed over a second time
    TargetId target;              ///< current; empty between targets
    std::string address;          ///< of its sidecar
    std::uint32_t tried = 0;      ///< targets so far
    std::set<TargetId> excluded;  ///< targets tried
    bool hasHead = false;         ///< the answer has begun
    std::size_t uncredited = 0;   ///< answer bytes that the caller has not taken
    std::optional<CallKey> key;   ///< Idempotency-Key
    KeptAnswer kept;              ///< answer so far, for the key
    bool isTooLongToKeep = false; ///< the answer is over maxKeptBodyBytes
};

bool isIdempotentMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" || method == "DELETE";
}

/// Headers that are the router's own business, or that would tell the application the caller's key.
bool isPassedOn(const std::string &name)
{
    return !isHopByHop(name) && !equalsIgnoringCase(name, "Host") && !equalsIgnoringCase(name, "Authorization") && !equalsIgnoringCase(name, "X-Request-Id")
           && !equalsIgnoringCase(name, "Expect");
}

} // namespace

struct ServiceCalls::Private {
    EntryContext &context;
    Targets &targets;
    KeyedCalls &keys;
    WorkKeeper &work;
    std::unordered_map<RequestId, OpenCall> calls;
    std::map<WorkspaceName, std::size_t> openByWorkspace;
    std::uint64_t &answered;
    std::uint64_t &notRun;
    std::uint64_t &unknown;
    TimeHistogram &times;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    OpenCall *find(const RequestId &request);
    const TargetView *chooseTarget(const OpenCall &call);
    void open(OpenCall call);
    void send(const RequestId &request);
    void sendTo(OpenCall &call, const LinkPtr &link);
    void leaveTarget(OpenCall &call);
    void erase(const RequestId &request);

    void refuse(const RequestId &request, Problem problem);
    void failed(const RequestId &request, Outcome outcome, const Error &error);
    void answerEnded(const RequestId &request);
    void abandoned(const RequestId &request);
    void cancelAtTarget(const OpenCall &call);

    void takeHead(const CallHead &head);
    void takeBody(const CallBody &body);
    void giveCredit(const RequestId &request);

    void beginKeyed(OpenCall call);
    void endKey(OpenCall &call, KeyEnd end);
    void answerKeyed(OpenCall call, KeyVerdict verdict, const KeptAnswer &answer);
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
    std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
    const TargetView *a = usable[any(context.random)];
    const TargetView *b = usable[any(context.random)];
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
        if (isPassedOn(header.name)) {
            head.headers.push_back({header.name, header.value});
        }
    }
    head.headers.push_back({"X-Request-Id", call.caller.shownId});
    head.bodyBytes = request.body.size();
    head.nonIdempotent = call.isNonIdempotent;
    head.deadlineMs = static_cast<std::uint32_t>(call.deadline.count());
    link->send(head);
    std::string_view rest = request.body;
    while (rest.size() > bodyPartBytes) {
        link->send(CallBody{call.id, std::string(rest.substr(0, bodyPartBytes)), false});
        rest.remove_prefix(bodyPartBytes);
    }
    link->send(CallBody{call.id, std::string(rest), true});
}

void ServiceCalls::Private::send(const RequestId &request)
{
    OpenCall &call = *find(request);
    const TargetView *target = call.tried < maxTargetsTried ? chooseTarget(call) : nullptr;
    if (!target) {
        return refuse(request, {503, "", "no target of service " + call.service.value + " takes calls", Outcome::NotRun, 1});
    }
    const LinkPtr link = targets.link(target->last.target);
    ++call.tried;
    call.target = target->last.target;
    call.address = link->peerName();
    call.excluded.insert(call.target);
    targets.noteOpened(call.target);
    if (context.history.isEnabled()) {
        context.history.record("call-sent",
                               {{"request", request.value}, {"target", call.target.value}, {"nonIdempotent", std::uint64_t{call.isNonIdempotent ? 1u : 0u}}});
    }
    sendTo(call, link);
}

void ServiceCalls::Private::leaveTarget(OpenCall &call)
{
    if (!call.target.isEmpty()) {
        targets.noteClosed(call.target);
    }
    call.target = {};
    call.address.clear();
}

void ServiceCalls::Private::open(OpenCall call)
{
    const RequestId id = call.id;
    ++openByWorkspace[call.caller.workspace];
    call.exchange->onClosed([this, id, weak = std::weak_ptr(alive)] {
        if (!weak.expired()) {
            abandoned(id);
        }
    });
    calls[id] = std::move(call);
    recordRequest(context.retries);
    send(id);
}

// [SECTION] Ends

void ServiceCalls::Private::refuse(const RequestId &request, Problem problem)
{
    OpenCall &call = *find(request);
    leaveTarget(call);
    endKey(call, problem.outcome == Outcome::NotRun ? KeyEnd::NotRun : KeyEnd::Unknown);
    ++(problem.outcome == Outcome::NotRun ? notRun : unknown);
    problem.outcome == Outcome::NotRun ? work.countRefused(call.owner) : work.countUnknown(call.owner, 0);
    logEvent(Event::CallFailed,
             {{"request", request.value}, {"service", call.service.value}, {"outcome", outcomeText(problem.outcome)}, {"reason", problem.detail}});
    if (context.history.isEnabled()) {
        context.history.record("outcome", {{"request", request.value}, {"shown", call.caller.shownId}, {"outcome", outcomeText(problem.outcome)}});
    }
    const ExchangePtr exchange = call.exchange;
    const std::string shownId = call.caller.shownId;
    erase(request);
    replyProblem(exchange, problem, {{"X-Request-Id", shownId}});
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

/// The current target will not answer (in full).
void ServiceCalls::Private::failed(const RequestId &request, Outcome outcome, const Error &error)
{
    OpenCall *call = find(request);
    if (!call) {
        return;
    }
    if (outcome == Outcome::Unknown) {
        targets.noteFailure(call->target);
    }
    leaveTarget(*call);
    if (call->hasHead) {
        // Status and part of the body are out: a broken connection is the only way left to say that it is not whole.
        const ExchangePtr exchange = call->exchange;
        endKey(*call, KeyEnd::Unknown);
        ++unknown;
        work.countUnknown(call->owner, 0);
        erase(request);
        return exchange->abort();
    }
    const bool isSafe = outcome == Outcome::NotRun || call->mayRepeat;
    if (isSafe && call->tried < maxTargetsTried && tryConsumeRetry(context.retries) && chooseTarget(*call)) {
        return send(request);
    }
    if (outcome == Outcome::NotRun) {
        return refuse(request, {503, "", error.toString(), Outcome::NotRun, 1});
    }
    refuse(request, {502, "", error.toString(), Outcome::Unknown});
}

void ServiceCalls::Private::answerEnded(const RequestId &request)
{
    OpenCall &call = *find(request);
    ++answered;
    work.countAnswered(call.owner, 0, 0);
    times.record(std::chrono::duration<double>(context.clock.now() - call.openedAt).count());
    targets.noteSuccess(call.target);
    leaveTarget(call);
    endKey(call, call.isTooLongToKeep ? KeyEnd::Unknown : KeyEnd::Answered);
    if (context.history.isEnabled()) {
        context.history.record("outcome", {{"request", request.value}, {"shown", call.caller.shownId}, {"outcome", "answered"}});
    }
    const ExchangePtr exchange = call.exchange;
    erase(request);
    exchange->endStream();
}

void ServiceCalls::Private::abandoned(const RequestId &request)
{
    OpenCall *call = find(request);
    if (!call) {
        return;
    }
    if (call->key) {
        // The caller will send the key again and must then get this answer: let the call run to its end.
        call->uncredited = 0;
        return;
    }
    cancelAtTarget(*call);
    leaveTarget(*call);
    work.countUnknown(call->owner, 0);
    erase(request);
}

// [SECTION] Frames

void ServiceCalls::Private::takeHead(const CallHead &head)
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
        headers.push_back({"X-Request-Id", call->caller.shownId});
    }
    call->kept.status = static_cast<int>(head.status);
    call->kept.headers = headers;
    call->exchange->beginStream(call->kept.status, headers);
    call->exchange->onDrained([this, id = head.request, weak = std::weak_ptr(alive)] {
        if (!weak.expired()) {
            giveCredit(id);
        }
    });
}

void ServiceCalls::Private::giveCredit(const RequestId &request)
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

void ServiceCalls::Private::takeBody(const CallBody &body)
{
    OpenCall *call = find(body.request);
    if (!call || !call->hasHead) {
        return;
    }
    call->exchange->pushChunk(body.data);
    call->uncredited += body.data.size();
    if (!call->exchange->isOpen()) {
        giveCredit(body.request); // the caller is gone and the key's answer is still wanted
    }
    if (call->key && !call->isTooLongToKeep) {
        call->kept.body += body.data;
        call->isTooLongToKeep = call->kept.body.size() > maxKeptBodyBytes;
    }
    if (body.last) {
        answerEnded(body.request);
    }
}

// [SECTION] Keys

void ServiceCalls::Private::endKey(OpenCall &call, KeyEnd end)
{
    if (call.key) {
        keys.finish(*call.key, end, std::move(call.kept));
        call.key.reset();
    }
}

void ServiceCalls::Private::answerKeyed(OpenCall call, KeyVerdict verdict, const KeptAnswer &answer)
{
    const auto refuseWith = [&](Problem problem) {
        replyProblem(call.exchange, problem, {{"X-Request-Id", call.caller.shownId}});
    };
    switch (verdict) {
    case KeyVerdict::Run:
        return open(std::move(call));
    case KeyVerdict::Replay: {
        HttpHeaders headers = answer.headers;
        headers.push_back({"Idempotency-Replayed", "true"});
        return call.exchange->reply(answer.status, headers, answer.body);
    }
    case KeyVerdict::OtherBody:
        return refuseWith({422, "Idempotency-Key is already used", "the key was sent before with another method, path or body", Outcome::NotRun});
    case KeyVerdict::InProgress:
        return refuseWith({409, "A request is outstanding for this Idempotency-Key", "the first call with this key still runs", Outcome::Unknown, 1});
    case KeyVerdict::Unknown:
        return refuseWith({502, "", "the first call with this key may have been run; its answer is not known, or too long to be kept", Outcome::Unknown});
    case KeyVerdict::Unavailable:
        // This call is not handed over, but an earlier one with the key may have run: told not-run, its caller would take it
        // that nothing was done.
        ++unknown;
        return refuseWith({502, "", "the platform's table service is away, so that nobody can tell whether this key was used", Outcome::Unknown, 2});
    }
}

void ServiceCalls::Private::beginKeyed(OpenCall call)
{
    const CallKey key = *call.key;
    const auto shared = std::make_shared<OpenCall>(std::move(call));
    keys.begin(key, [this, shared, weak = std::weak_ptr(alive)](KeyVerdict verdict, const KeptAnswer &answer) {
        if (!weak.expired()) {
            answerKeyed(std::move(*shared), verdict, answer);
        }
    });
}

// [SECTION] ServiceCalls

ServiceCalls::ServiceCalls(EntryContext &context, Targets &targets, KeyedCalls &keys, WorkKeeper &work)
    : d(new Private{context,
                    targets,
                    keys,
                    work,
                    {},
                    {},
                    context.metrics.counter("parsley_calls_answered", "Calls to plain services answered in full."),
                    context.metrics.counter("parsley_calls_not_run", "Calls refused as not run."),
                    context.metrics.counter("parsley_calls_unknown", "Calls that may have been run and got no whole answer."),
                    context.metrics.histogram("parsley_call_seconds", "Time from a call to the end of its answer.")})
{
}

ServiceCalls::~ServiceCalls() = default;

void ServiceCalls::serve(const ExchangePtr &exchange, const Caller &caller, const std::string &service, const std::string &path,
                         const Configuration &configuration)
{
    const HttpRequest &request = exchange->request();
    const auto refuse = [&](Problem problem) {
        ++d->notRun;
        replyProblem(exchange, problem, {{"X-Request-Id", caller.shownId}});
    };
    const auto section = configuration.services.find(service);
    const auto &allowed = caller.section->services;
    const bool isAllowed = std::find(allowed.begin(), allowed.end(), service) != allowed.end();
    if (section == configuration.services.end() || !isAllowed || section->second.kind != "plain") {
        return refuse({404, "", "the service '" + service + "' does not exist or is not open to this workspace", Outcome::NotRun});
    }
    if (open(caller.workspace) >= static_cast<std::size_t>(caller.section->maxStreams)) {
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
    call.mayRepeat = !call.isNonIdempotent && isIdempotentMethod(request.method);
    if (key.empty()) {
        return d->open(std::move(call));
    }
    call.key = CallKey{caller.workspace, call.service, key, sha256Hex(request.method + " " + call.path + "\n" + request.body), call.deadline};
    d->beginKeyed(std::move(call));
}

bool ServiceCalls::takeFrame(const Frame &frame)
{
    switch (frame.message) {
    case CallHead::messageId:
        return decodeAnd<CallHead>(frame, [&](const CallHead &message) {
            d->takeHead(message);
        });
    case CallBody::messageId:
        return decodeAnd<CallBody>(frame, [&](const CallBody &message) {
            d->takeBody(message);
        });
    case CallFailed::messageId:
        return decodeAnd<CallFailed>(frame, [&](const CallFailed &message) {
            d->failed(message.request, message.outcome, {message.step, "", message.text});
        });
    default:
        return false;
    }
}

void ServiceCalls::linkGone(const std::string &address, const Error &error)
{
    std::vector<RequestId> lost;
    for (const auto &[request, call] : d->calls) {
        if (call.address == address) {
            lost.push_back(request);
        }
    }
    // Frames may have reached the sidecar before the link broke, even if it never answered.
    for (const RequestId &request : lost) {
        d->failed(request, Outcome::Unknown, error);
    }
}

void ServiceCalls::tick()
{
    const TimePoint now = d->context.clock.now();
    std::vector<RequestId> late;
    for (const auto &[request, call] : d->calls) {
        if (now - call.openedAt >= call.deadline + deadlineMargin) {
            late.push_back(request);
        }
    }
    for (const RequestId &request : late) {
        OpenCall *call = d->find(request);
        d->cancelAtTarget(*call);
        if (call->hasHead) {
            d->failed(request, Outcome::Run, {"answer in time", call->target.value, "the deadline passed"});
        } else {
            d->refuse(request, {504, "", "the deadline passed before the target answered", Outcome::Unknown});
        }
    }
}

std::size_t ServiceCalls::open() const
{
    return d->calls.size();
}

std::size_t ServiceCalls::open(const WorkspaceName &workspace) const
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
