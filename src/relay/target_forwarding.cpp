#include "relay/target_forwarding.h"

#include "base/log.h"
#include "relay/request_inputs.h"

namespace Parsleytrail
{

/// A request that crashes targets does so when they begin to run it. A stream that has continued past this many events is not
/// the cause of a crash: otherwise all streams of a crashed engine would be suspects.
constexpr int maxEventsOfSuspect = 2;
/// Retry-After of requests that the end of this process prevents: other entries serve them at once.
constexpr milliseconds stopRetryAfter{100};

TargetForwarding::TargetForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks)
    : m_context(context)
    , m_hooks(hooks)
    , m_request(std::move(request))
    , m_responseCharge(context.connections.memory())
{
}

void TargetForwarding::chargeBufferedResponse(const std::string &body)
{
    m_responseCharge.set(body.capacity());
}

void TargetForwarding::installCallerHandlers()
{
    m_request.exchange->onDisconnected([self = shared_from_this(), this] {
        recordCallerDisconnected(m_context, m_request, m_attempts);
        end();
    });
    m_request.exchange->onDrained([this] {
        if (m_exchange) {
            m_exchange->pauseReading(false);
        }
    });
}

void TargetForwarding::sendTo(const TargetId &target, const Address &address, const std::vector<AddedField> &added)
{
    TargetRequest request;
    request.address = address;
    request.bytes = serializeRequest(m_context, m_request, target, added);
    request.isHead = m_request.exchange->head().method == "HEAD";
    request.wantsEvents = m_request.route->kind == CallKind::Stream;
    // A target may close an idle connection just as a request arrives, and the reset does not show whether the request ran.
    // A request that must not run twice could not be retried then, so it always gets a new connection.
    request.allowsReuse = canRetryAfterRun();
    request.idField = m_context.adapter.headers().attemptId;
    request.id = m_request.attemptId;
    TargetExchange::Handlers handlers;
    handlers.onHead = [self = shared_from_this(), this, target](const HttpHead &head) {
        recordNamedLimit(target, head);
        recordPauseRequest(target, head);
        recordLeavingStatement(m_context, target, head.find(m_context.adapter.headers().targetLeaves));
        handleHead(head);
    };
    handlers.onBody = [self = shared_from_this(), this](std::string &body) {
        handleBody(body);
    };
    handlers.onDone = [self = shared_from_this(), this] {
        handleEnd();
    };
    const Target *registered = findTarget(m_context.fleet, target);
    if (registered && isPaused(*registered, m_context.clock.now())) {
        ++m_context.metrics.sendsInPauses;
    }
    const SentRequest sent{target, registered ? registered->registered.startedAtMs : 0, m_context.clock.now(), ++m_sent};
    handlers.onFailure = [self = shared_from_this(), this, sent](const TargetFailure &failure) {
        if (failure.mayHaveRun) {
            handleUnansweredRun(sent, failure);
        } else {
            handleFailure(failure);
        }
    };
    m_exchange = TargetExchange::start(m_context.connections, std::move(request), std::move(handlers));
}

/// Reads the limit of requests a second from a target's response. A response without one ends it.
void TargetForwarding::recordNamedLimit(const TargetId &id, const HttpHead &head)
{
    Target *target = findTarget(m_context.fleet, id);
    if (!target || !isAuthenticResponse(m_context.adapter.headers(), head, m_request.attemptId)) {
        return;
    }
    const double named = parseRequestLimit(head.find(m_context.adapter.headers().requestLimit));
    if (Parsleytrail::recordNamedLimit(target->demand, named, m_context.clock.now(), drawShare(m_context.random))) {
        logLimitChange(*target, "own");
    }
}

/// Reads from a refusal for how long the target wants no other request from this process.
void TargetForwarding::recordPauseRequest(const TargetId &id, const HttpHead &head)
{
    Target *target = findTarget(m_context.fleet, id);
    const bool isRefusal = head.status == 503 || head.status == 429;
    const std::string_view text = head.find("Retry-After");
    if (!target || !isRefusal || text.empty()) {
        return;
    }
    const milliseconds pause = parseRetryAfter(text);
    ++m_context.metrics.pauseRequests;
    recordRequestedPause(*target, pause, m_context.clock.now());
    constexpr std::size_t maxLoggedText = 40;
    logEvent(
        Event::TargetPauseRequested,
        {{"target", id.value}, {"id", m_request.attemptId}, {"pause_ms", std::to_string(pause.count())}, {"text", std::string(text.substr(0, maxLoggedText))}});
}

/// Handles a failure once it is known whether the target crashed: a request that crashes its targets must not go to the next one.
void TargetForwarding::handleUnansweredRun(const SentRequest &sent, const TargetFailure &failure)
{
    const InterruptedRun run{std::chrono::duration_cast<milliseconds>(m_context.clock.now() - sent.sentAt), eventsOfAttempt()};
    m_hooks.checkForCrash(sent.target, [self = shared_from_this(), this, sent, failure, run](TargetCondition condition) {
        if (condition != TargetCondition::Running) {
            recordCrash(sent, condition, run);
        }
        if (condition == TargetCondition::Crashed && run.events <= maxEventsOfSuspect) {
            m_hooks.recordCrashedRun(m_request, sent);
        }
        const bool isCurrent = !m_isOver && m_exchange && m_sent == sent.number;
        if (isCurrent) {
            handleFailure(failure);
        }
    });
}

void TargetForwarding::recordCrash(const SentRequest &sent, TargetCondition condition, const InterruptedRun &run)
{
    ++m_context.metrics.crashedRuns;
    logEvent(Event::TargetCrashed,
             {{"target", sent.target.value},
              {"condition", toString(condition)},
              {"id", m_request.attemptId},
              {"input", inputText(m_request)},
              {"workspace", m_request.workspace.value},
              {"open_ms", std::to_string(run.openTime.count())},
              {"events", std::to_string(run.events)},
              {"parts", run.events <= maxEventsOfSuspect ? fingerprintsText(sharedPartFingerprints(m_context, m_request)) : std::string()}});
}

bool TargetForwarding::failAtStop(TimePoint now)
{
    if (now < m_context.answerBy || m_request.exchange->isBegun()) {
        return false;
    }
    if (m_mayHaveRun || m_exchange) {
        failRequest(m_context, m_request, "stopping", "", m_attempts);
    } else {
        refuseRequest(m_context, m_request, {"stopping", stopRetryAfter}, m_attempts);
    }
    end();
    return true;
}

void TargetForwarding::cancelExchange()
{
    if (m_exchange) {
        std::exchange(m_exchange, nullptr)->cancel();
    }
}

void TargetForwarding::abandon()
{
    m_request.exchange->onDisconnected(nullptr);
    m_request.exchange->onDrained(nullptr);
    end();
}

void TargetForwarding::end()
{
    endAttempt();
    if (!std::exchange(m_isOver, true)) {
        handleOver();
    }
}

} // namespace Parsleytrail
