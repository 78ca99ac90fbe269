// Index: [SECTION] State, [SECTION] Hand-over, [SECTION] Frames, [SECTION] Calls
#include "sidecar/calls.h"

#include "base/log.h"
#include "policy/progress.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

namespace Parsleytrail
{

// [SECTION] State

constexpr std::size_t bodyPartBytes = 32 << 10; ///< bytes of an answer in one frame

namespace
{

/// A call on its way.
struct HeldCall {
    CallRequest head;            ///< as received
    std::string body;            ///< collected so far
    LinkPtr entry;               ///< where the answer goes; null once it closed
    HttpCallPtr http;            ///< set once handed over
    std::size_t uncredited = 0;  ///< answer bytes sent that the caller has not taken
    std::string pending;         ///< answer bytes that the window does not allow yet
    std::size_t pendingFrom = 0; ///< bytes of pending already sent
    bool isAnswered = false;     ///< the application's answer is whole
    bool hasHead = false;        ///< status and headers of the answer were sent
    TimePoint startedAt{};       ///< hand-over
};

bool isMethodKnown(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "POST" || method == "PUT" || method == "DELETE" || method == "OPTIONS" || method == "PATCH";
}

} // namespace

struct Calls::Private {
    SidecarContext &context;
    std::unordered_map<RequestId, HeldCall> calls;
    std::uint64_t &handedOver;
    std::uint64_t &notRun;
    TimeEstimate callTime;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void fail(const RequestId &request, Outcome outcome, const std::string &step, const std::string &text);
    void begin(const LinkPtr &link, const CallRequest &head);
    void takeBody(const CallBody &part);
    void handOver(HeldCall &call);
    void sendPending(HeldCall &call);
    void takeAnswer(HeldCall &call, std::string_view bytes);
    void endIfSent(const RequestId &request);
    void finish(const RequestId &request, const std::optional<HttpFailure> &failure);
    void credit(const CallCredit &credit);
    void cancel(const RequestId &request);
    HeldCall *find(const RequestId &request);
};

HeldCall *Calls::Private::find(const RequestId &request)
{
    const auto it = calls.find(request);
    return it == calls.end() ? nullptr : &it->second;
}

void Calls::Private::fail(const RequestId &request, Outcome outcome, const std::string &step, const std::string &text)
{
    HeldCall *call = find(request);
    if (!call) {
        return;
    }
    if (outcome == Outcome::NotRun) {
        ++notRun;
    }
    if (call->entry) {
        call->entry->send(CallFailed{request, outcome, step, text.substr(0, 500)});
    }
    calls.erase(request);
}

// [SECTION] Hand-over

/// Sends what the window allows. evhttp hands over a chunk of a chunked answer whole, however long it is: sent at once, a
/// long one would overrun the link that all other calls of this entry share.
void Calls::Private::sendPending(HeldCall &call)
{
    while (call.entry && call.pendingFrom < call.pending.size() && call.uncredited < callWindowBytes) {
        const std::size_t size = std::min(bodyPartBytes, call.pending.size() - call.pendingFrom);
        call.entry->send(CallBody{call.head.request, call.pending.substr(call.pendingFrom, size), false});
        call.pendingFrom += size;
        call.uncredited += size;
    }
    if (call.pendingFrom == call.pending.size() || !call.entry) {
        call.pending.clear();
        call.pendingFrom = 0;
    }
    if (call.http) {
        call.http->pauseReading(!call.pending.empty());
    }
}

void Calls::Private::takeAnswer(HeldCall &call, std::string_view bytes)
{
    call.pending.append(bytes);
    sendPending(call);
}

/// The answer is whole and all of it was sent.
void Calls::Private::endIfSent(const RequestId &request)
{
    const HeldCall *call = find(request);
    if (!call || !call->isAnswered || !call->pending.empty()) {
        return;
    }
    if (call->entry) {
        call->entry->send(CallBody{request, "", true});
    }
    calls.erase(request);
}

void Calls::Private::finish(const RequestId &request, const std::optional<HttpFailure> &failure)
{
    HeldCall *call = find(request);
    if (!call) {
        return;
    }
    if (context.history.isEnabled()) {
        context.history.record("call-ended", {{"request", request.value}, {"failed", std::uint64_t{failure ? 1u : 0u}}});
    }
    if (failure) {
        const Outcome outcome = call->hasHead ? Outcome::Run : failure->wasHandedOver ? Outcome::Unknown : Outcome::NotRun;
        return fail(request, outcome, "call application", failure->error.toString());
    }
    recordTime(callTime, std::chrono::duration<double>(context.clock.now() - call->startedAt).count());
    call->isAnswered = true;
    endIfSent(request);
}

void Calls::Private::handOver(HeldCall &call)
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
        HeldCall *held = weak.expired() ? nullptr : find(request);
        if (!held) {
            return;
        }
        held->hasHead = true;
        CallHead head{request, static_cast<std::uint32_t>(status), {}};
        for (const HttpHeader &header : headers) {
            if (!isHopByHop(header.name)) {
                head.headers.push_back({header.name, header.value});
            }
        }
        if (held->entry) {
            held->entry->send(head);
        }
    };
    handlers.onData = [this, weak, request](std::string_view bytes) {
        if (HeldCall *held = weak.expired() ? nullptr : find(request)) {
            takeAnswer(*held, bytes);
        }
    };
    handlers.onDone = [this, weak, request](const std::optional<HttpFailure> &failure) {
        if (!weak.expired()) {
            finish(request, failure);
        }
    };
    const HttpCallPtr http = context.client.stream(context.targetAddress, std::move(out), std::move(handlers));
    if (HeldCall *held = find(request)) {
        held->http = http;
    }
}

// [SECTION] Frames

void Calls::Private::begin(const LinkPtr &link, const CallRequest &head)
{
    const bool isKnown = find(head.request) != nullptr;
    if (isKnown) {
        // The entry sends a request to a target once; a second one here would run it twice.
        link->send(CallFailed{head.request, Outcome::Unknown, "begin call", "the request is known already"});
        return;
    }
    HeldCall &call = calls[head.request];
    call.head = head;
    call.entry = link;
    if (context.isDraining) {
        return fail(head.request, Outcome::NotRun, "begin call", "draining");
    }
    if (head.bodyBytes > static_cast<std::uint64_t>(context.settings.maxBodyBytes)) {
        return fail(head.request, Outcome::NotRun, "begin call", "body over max-body-bytes");
    }
    if (calls.size() > static_cast<std::size_t>(context.settings.maxStreams)) {
        return fail(head.request, Outcome::NotRun, "begin call", "max-streams reached");
    }
    if (!isMethodKnown(head.method)) {
        return fail(head.request, Outcome::NotRun, "begin call", "method not supported");
    }
    context.history.record("opened", {{"request", head.request.value}});
}

void Calls::Private::takeBody(const CallBody &part)
{
    HeldCall *call = find(part.request);
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
    HeldCall *call = find(credit.request);
    if (!call) {
        return;
    }
    call->uncredited -= std::min<std::size_t>(credit.bytes, call->uncredited);
    sendPending(*call);
    endIfSent(credit.request);
}

void Calls::Private::cancel(const RequestId &request)
{
    const HeldCall *call = find(request);
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

bool Calls::takeFrame(const LinkPtr &link, const Frame &frame)
{
    switch (frame.message) {
    case CallRequest::messageId:
        return decodeAnd<CallRequest>(frame, [&](const CallRequest &message) {
            d->begin(link, message);
        });
    case CallBody::messageId:
        return decodeAnd<CallBody>(frame, [&](const CallBody &message) {
            d->takeBody(message);
        });
    case CallCredit::messageId:
        return decodeAnd<CallCredit>(frame, [&](const CallCredit &message) {
            d->credit(message);
        });
    case CallCancel::messageId:
        return decodeAnd<CallCancel>(frame, [&](const CallCancel &message) {
            d->cancel(message.request);
        });
    default:
        return false;
    }
}

void Calls::peerGone(const LinkPtr &link)
{
    std::vector<RequestId> dropped;
    for (auto &[request, call] : d->calls) {
        if (call.entry != link) {
            continue;
        }
        call.entry = nullptr;
        const bool mayStop = !call.http || !call.head.nonIdempotent;
        if (mayStop) {
            dropped.push_back(request);
        } else {
            d->sendPending(call); // nobody will give credit: drop the answer and let the call run to its end
        }
    }
    for (const RequestId &request : dropped) {
        d->cancel(request);
    }
}

std::size_t Calls::open() const
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
                        {"pending", call.pending.size() - call.pendingFrom},
                        {"hasEntry", call.entry != nullptr}});
    }
    return list.dump();
}

} // namespace Parsleytrail
