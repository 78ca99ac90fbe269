// Index: [SECTION] State, [SECTION] Hand-over, [SECTION] Frames, [SECTION] Calls
#include "sidecar/calls.h"

#include "base/event_boundary.h"
#include "base/log.h"
#include "policy/crashing_requests.h"
#include "policy/progress.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

namespace Parsleytrail
{

// [SECTION] State

/// Connecting to an application on the same instance takes a fraction of a millisecond.
constexpr milliseconds crashCheckTimeout{100};
constexpr std::size_t maxBodyFrameBytes = 32 << 10; ///< response bytes in one frame

namespace
{

/// An open call.
struct SidecarCall {
    CallRequest head;                ///< method, path and headers, as received
    std::string body;                ///< request body collected so far
    LinkPtr entry;                   ///< receives the response; null once it closed
    HttpCallPtr http;                ///< request to the application; set once handed over
    std::size_t uncredited = 0;      ///< response bytes sent for which the entry has given no credit yet
    std::string pending;             ///< response bytes held back by the window
    std::size_t pendingOffset = 0;   ///< bytes of `pending` already sent
    bool isResponseComplete = false; ///< the application's response was received completely
    bool hasHead = false;            ///< status and headers of the response were received
    bool isEventStream = false;      ///< the response is an event stream, which is complete only at the end of an event
    EventBoundary eventBoundary;     ///< of an event stream
    TimePoint startedAt{};           ///< time of the hand-over
    MemoryCharge bodyCharge;         ///< the whole body, from its announcement on
    MemoryCharge pendingCharge;      ///< `pending`

    explicit SidecarCall(ClientMemory &memory)
        : bodyCharge(&memory)
        , pendingCharge(&memory)
    {
    }
};

bool isMethodSupported(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "POST" || method == "PUT" || method == "DELETE" || method == "OPTIONS" || method == "PATCH";
}

} // namespace

struct Calls::Private {
    SidecarContext &context;
    std::unordered_map<RequestId, SidecarCall> calls;
    std::uint64_t &handedOver;
    std::uint64_t &notRun;
    TimeEstimate callTime;
    std::uint64_t crashes = 0; ///< crashes of the application so far
    TimePoint crashFoundAt{};  ///< when the last one was found
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void fail(const RequestId &request, Outcome outcome, const std::string &step, const std::string &text, std::uint64_t crash = 0);
    void failAfterCrashCheck(const RequestId &request, Outcome outcome, const std::string &text);
    std::uint64_t crashDuring(TimePoint startedAt);
    void begin(const LinkPtr &link, const CallRequest &head);
    void handleBody(const CallBody &part);
    void handOver(SidecarCall &call);
    void sendPending(SidecarCall &call);
    void handleResponseData(SidecarCall &call, std::string_view bytes);
    void finishIfSent(const RequestId &request);
    void finish(const RequestId &request, const std::optional<HttpFailure> &failure);
    void credit(const CallCredit &credit);
    void cancel(const RequestId &request);
    SidecarCall *find(const RequestId &request);
};

SidecarCall *Calls::Private::find(const RequestId &request)
{
    const auto it = calls.find(request);
    return it == calls.end() ? nullptr : &it->second;
}

void Calls::Private::fail(const RequestId &request, Outcome outcome, const std::string &step, const std::string &text, std::uint64_t crash)
{
    SidecarCall *call = find(request);
    if (!call) {
        return;
    }
    if (outcome == Outcome::NotRun) {
        ++notRun;
    }
    if (call->entry) {
        call->entry->send(CallFailed{request, outcome, step, text.substr(0, 500), crash});
    }
    calls.erase(request);
}

// [SECTION] Hand-over

/// Sends as much of `pending` as the window allows. evhttp delivers each chunk of a chunked response in one piece, however
/// long it is: sent at once, a long chunk would overrun the link that all calls of this entry share.
void Calls::Private::sendPending(SidecarCall &call)
{
    while (call.entry && call.pendingOffset < call.pending.size() && call.uncredited < callWindowBytes) {
        const std::size_t size = std::min(maxBodyFrameBytes, call.pending.size() - call.pendingOffset);
        call.entry->send(CallBody{call.head.request, call.pending.substr(call.pendingOffset, size), false});
        call.pendingOffset += size;
        call.uncredited += size;
    }
    if (call.pendingOffset == call.pending.size() || !call.entry) {
        releaseBuffer(call.pending);
        call.pendingOffset = 0;
    }
    call.pendingCharge.set(call.pending.capacity());
    if (call.http) {
        call.http->pauseReading(!call.pending.empty());
    }
}

void Calls::Private::handleResponseData(SidecarCall &call, std::string_view bytes)
{
    if (call.isEventStream) {
        advance(call.eventBoundary, bytes);
    }
    call.pending.append(bytes);
    sendPending(call);
}

/// Ends the call if the response is complete and all of it was sent.
void Calls::Private::finishIfSent(const RequestId &request)
{
    const SidecarCall *call = find(request);
    if (!call || !call->isResponseComplete || !call->pending.empty()) {
        return;
    }
    if (call->entry) {
        call->entry->send(CallBody{request, "", true});
    }
    calls.erase(request);
}

void Calls::Private::finish(const RequestId &request, const std::optional<HttpFailure> &failure)
{
    SidecarCall *call = find(request);
    if (!call) {
        return;
    }
    if (context.history.isEnabled()) {
        context.history.record("call-ended", {{"request", request.value}, {"failed", std::uint64_t{failure ? 1u : 0u}}});
    }
    if (failure) {
        const Outcome outcome = call->hasHead ? Outcome::Run : failure->mayHaveBeenSent ? Outcome::Unknown : Outcome::NotRun;
        const bool mayBeCrash = outcome != Outcome::NotRun && !failure->isTimeout;
        const std::string text = failure->error.toString();
        return mayBeCrash ? failAfterCrashCheck(request, outcome, text) : fail(request, outcome, "call application", text);
    }
    if (call->isEventStream && call->eventBoundary.isWithinEvent) {
        return failAfterCrashCheck(request, Outcome::Run, "event stream ended within an event");
    }
    recordTime(callTime, std::chrono::duration<double>(context.clock.now() - call->startedAt).count());
    call->isResponseComplete = true;
    finishIfSent(request);
}

/// Identifier of the crash that ended a call which began at `startedAt`, the same for all calls that were open: a call that began after the
/// last crash was found has been ended by another one.
std::uint64_t Calls::Private::crashDuring(TimePoint startedAt)
{
    if (crashes == 0 || startedAt > crashFoundAt) {
        ++crashes;
        crashFoundAt = context.clock.now();
    }
    return crashOf({context.settings.id}, context.incarnation.value + crashes);
}

/// Fails a call once it is known whether the application crashed or only closed a connection: after a crash it refuses the next one.
void Calls::Private::failAfterCrashCheck(const RequestId &request, Outcome outcome, const std::string &text)
{
    HttpClientRequest probe;
    probe.method = "HEAD";
    probe.timeout = crashCheckTimeout;
    probe.useFreshConnection = true;
    context.client.fetch(context.targetAddress, std::move(probe), [this, weak = std::weak_ptr(alive), request, outcome, text](const HttpResult &result) {
        if (weak.expired()) {
            return;
        }
        const SidecarCall *call = find(request);
        const bool isRefused = result.failure && !result.failure->hasWritten && !result.failure->isTimeout;
        fail(request, outcome, "call application", text, call && isRefused ? crashDuring(call->startedAt) : 0);
    });
}

void Calls::Private::handOver(SidecarCall &call)
{
    const RequestId request = call.head.request;
    HttpClientRequest out;
    out.method = call.head.method;
    out.path = call.head.path;
    for (const HeaderField &field : call.head.headers) {
        out.headers.push_back({field.name, field.value});
    }
    out.body = std::move(call.body);
    out.timeout = milliseconds(call.head.deadlineMs);
    out.useFreshConnection = call.head.nonIdempotent;
    out.maxBodyBytes = SIZE_MAX;
    call.startedAt = context.clock.now();
    ++handedOver;
    if (context.history.isEnabled()) {
        context.history.record("handed-over", {{"request", request.value}, {"nonIdempotent", std::uint64_t{call.head.nonIdempotent ? 1u : 0u}}});
    }
    HttpStreamHandlers handlers;
    const std::weak_ptr<bool> weak = alive;
    handlers.onHead = [this, weak, request](int status, const HttpHeaders &headers) {
        SidecarCall *openCall = weak.expired() ? nullptr : find(request);
        if (!openCall) {
            return;
        }
        openCall->hasHead = true;
        const std::string contentType = findHeader(headers, "Content-Type");
        openCall->isEventStream = !contentType.empty() && mayBeEventStream(contentType);
        CallHead head{request, static_cast<std::uint32_t>(status), {}};
        for (const HttpHeader &header : headers) {
            if (!isHopByHop(header.name)) {
                head.headers.push_back({header.name, header.value});
            }
        }
        if (openCall->entry) {
            openCall->entry->send(head);
        }
    };
    handlers.onData = [this, weak, request](std::string_view bytes) {
        if (SidecarCall *openCall = weak.expired() ? nullptr : find(request)) {
            handleResponseData(*openCall, bytes);
        }
    };
    handlers.onDone = [this, weak, request](const std::optional<HttpFailure> &failure) {
        if (!weak.expired()) {
            finish(request, failure);
        }
    };
    const HttpCallPtr http = context.client.stream(context.targetAddress, std::move(out), std::move(handlers));
    if (SidecarCall *openCall = find(request)) {
        openCall->http = http;
    }
}

// [SECTION] Frames

void Calls::Private::begin(const LinkPtr &link, const CallRequest &head)
{
    const bool isKnown = find(head.request) != nullptr;
    if (isKnown) {
        // An entry sends a request to a target only once. Accepting the same id again would run the request twice.
        link->send(CallFailed{head.request, Outcome::Unknown, "begin call", "the request is known already"});
        return;
    }
    SidecarCall &call = calls.try_emplace(head.request, context.memoryGuard.memory()).first->second;
    call.head = head;
    call.entry = link;
    if (context.isDraining) {
        return fail(head.request, Outcome::NotRun, "begin call", "draining");
    }
    if (head.bodyBytes > static_cast<std::uint64_t>(context.settings.maxBodyBytes)) {
        return fail(head.request, Outcome::NotRun, "begin call", "body over max-body-bytes");
    }
    if (!hasRoomFor(context.memoryGuard.memory(), head.bodyBytes)) {
        context.memoryGuard.countRefused();
        return fail(head.request, Outcome::NotRun, "begin call", "no memory for the request now");
    }
    if (calls.size() > static_cast<std::size_t>(context.settings.maxStreams)) {
        return fail(head.request, Outcome::NotRun, "begin call", "max-streams reached");
    }
    if (!isMethodSupported(head.method)) {
        return fail(head.request, Outcome::NotRun, "begin call", "method not supported");
    }
    call.body.reserve(head.bodyBytes);
    call.bodyCharge.set(call.body.capacity());
    context.history.record("opened", {{"request", head.request.value}});
}

void Calls::Private::handleBody(const CallBody &part)
{
    SidecarCall *call = find(part.request);
    if (!call || call->http) {
        return;
    }
    call->body += part.data;
    if (call->body.size() > call->head.bodyBytes) {
        return fail(part.request, Outcome::NotRun, "collect body", "longer than announced");
    }
    if (!part.last) {
        return;
    }
    if (call->body.size() != call->head.bodyBytes) {
        return fail(part.request, Outcome::NotRun, "collect body", "shorter than announced");
    }
    handOver(*call);
}

void Calls::Private::credit(const CallCredit &credit)
{
    SidecarCall *call = find(credit.request);
    if (!call) {
        return;
    }
    call->uncredited -= std::min<std::size_t>(credit.bytes, call->uncredited);
    sendPending(*call);
    finishIfSent(credit.request);
}

void Calls::Private::cancel(const RequestId &request)
{
    const SidecarCall *call = find(request);
    if (!call) {
        return;
    }
    if (call->http) {
        call->http->cancel();
    }
    calls.erase(request);
}

// [SECTION] Calls

Calls::Calls(SidecarContext &context)
    : d(new Private{context,
                    {},
                    context.metrics.counter("parsley_calls_handed_over", "Calls handed over to the application."),
                    context.metrics.counter("parsley_calls_not_run", "Calls refused before they were handed over."),
                    {}})
{
}

Calls::~Calls() = default;

bool Calls::handleFrame(const LinkPtr &link, const Frame &frame)
{
    switch (frame.message) {
    case CallRequest::messageId:
        return decodeAndHandle<CallRequest>(frame, [&](const CallRequest &message) {
            d->begin(link, message);
        });
    case CallBody::messageId:
        return decodeAndHandle<CallBody>(frame, [&](const CallBody &message) {
            d->handleBody(message);
        });
    case CallCredit::messageId:
        return decodeAndHandle<CallCredit>(frame, [&](const CallCredit &message) {
            d->credit(message);
        });
    case CallCancel::messageId:
        return decodeAndHandle<CallCancel>(frame, [&](const CallCancel &message) {
            d->cancel(message.request);
        });
    default:
        return false;
    }
}

void Calls::onPeerDisconnected(const LinkPtr &link)
{
    std::vector<RequestId> cancelled;
    for (auto &[request, call] : d->calls) {
        if (call.entry != link) {
            continue;
        }
        call.entry = nullptr;
        const bool canCancel = !call.http || !call.head.nonIdempotent;
        if (canCancel) {
            cancelled.push_back(request);
        } else {
            d->sendPending(call); // no credit will come: drop the response and let the call run to its end
        }
    }
    for (const RequestId &request : cancelled) {
        d->cancel(request);
    }
}

std::size_t Calls::openCount() const
{
    return d->calls.size();
}

std::uint32_t Calls::callMicros() const
{
    return static_cast<std::uint32_t>(d->callTime.meanSeconds * 1e6);
}

std::string Calls::dump() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[request, call] : d->calls) {
        list.push_back({{"request", request.value},
                        {"method", call.head.method},
                        {"path", call.head.path},
                        {"isHandedOver", call.http != nullptr},
                        {"uncredited", call.uncredited},
                        {"pending", call.pending.size() - call.pendingOffset},
                        {"hasEntry", call.entry != nullptr}});
    }
    return list.dump();
}

} // namespace Parsleytrail
