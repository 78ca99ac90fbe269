// Forwarding to plain services, which send one response to a request.
#include "relay/request_inputs.h"
#include "relay/target_forwarding.h"

#include <algorithm>

namespace Parsleytrail
{

/// Responses up to this size are buffered until they are complete, so that a truncated one can be replaced by that of another
/// target.
constexpr std::size_t maxBufferedResponseBytes = 128 * 1024;
/// Reading from a target pauses while more than this is buffered for its caller.
constexpr std::size_t maxUnsentBytes = 256 * 1024;
/// A request is not retried with less time than this remaining, as targets need tens of milliseconds.
constexpr milliseconds minAttemptTime{30};
/// Estimated time until targets that refused for lack of capacity have some again: a few times the duration of a usual call.
constexpr milliseconds overloadRetryAfter{400};
/// Estimated time until a service without a usable target has one again: engines restart within seconds.
constexpr milliseconds noTargetRetryAfter{1000};

class CallForwarding final : public TargetForwarding
{
public:
    CallForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks)
        : TargetForwarding(context, std::move(request), hooks)
    {
    }

    void begin() override;
    void checkTimeouts(TimePoint now) override;
    RecoveryState recoveryState(TimePoint) const override
    {
        return {};
    }
    void handleFailedTarget(const TargetId &) override
    {
        // A call waits for a single target, whose failure its own connection or timeout detects.
    }
    void moveOffLeavingEngines() override
    {
        // A call lasts milliseconds; a draining target continues to serve for longer than that.
    }
    StreamActivity activity() const override
    {
        return {};
    }

private:
    Target *chooseTarget(const std::vector<TargetId> &limited);
    Refusal refusalWithoutTarget(bool isOverLimits) const;
    Target *chooseAdmittedTarget(bool &isOverLimits);
    void startAttempt();
    void handleHead(const HttpHead &head) override;
    bool isResult(const HttpHead &head) const;
    void handleBody(std::string &body) override;
    void handleEnd() override;
    void handleFailure(const TargetFailure &failure) override;
    void endAttempt() override;
    void retryOrEnd(std::string_view reason, bool mayHaveRun, bool isOverloaded);
    void relayResponse();
    bool canRetryAfterRun() const override
    {
        return m_request.route->kind == CallKind::Idempotent && !findQuarantinedInput(m_context, m_request);
    }
    int eventsOfAttempt() const override
    {
        return 0;
    }

    TimePoint m_sentAt{}; ///< when the current attempt was sent
    TargetId m_target;
    std::vector<TargetId> m_excludedTargets; ///< targets that are not tried again
    std::string m_bufferedBody;              ///< response body received so far
    TimePoint m_firstByteAt{};
    bool m_isRelaying = false; ///< the response is too large to buffer and is relayed as it arrives
    bool m_isCounted = false;  ///< the request is included in the target's openRequests
    bool m_isSuspect = false;  ///< it was open at a crash of another target, and is included in openSuspects too
};

void CallForwarding::begin()
{
    installCallerHandlers();
    startAttempt();
}

static bool contains(const std::vector<TargetId> &list, const TargetId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// Selects a target that takes the request under the limit of requests a second that it may have named. `isOverLimits` is set if
/// only such limits left none.
Target *CallForwarding::chooseAdmittedTarget(bool &isOverLimits)
{
    std::vector<TargetId> limited;
    for (;;) {
        Target *target = chooseTarget(limited);
        if (!target || admitRequest(m_context, *target)) {
            isOverLimits = !target && !limited.empty();
            return target;
        }
        limited.push_back(target->registered.id);
    }
}

/// Selects the target with the fewest open requests per slot, preferring usable targets and those of this data centre.
Target *CallForwarding::chooseTarget(const std::vector<TargetId> &limited)
{
    const TimePoint now = m_context.clock.now();
    Target *best = nullptr;
    double bestCost = 0;
    std::uniform_real_distribution<double> jitter(0, 0.05);
    for (auto &[id, target] : m_context.fleet.targets) {
        const bool isExcluded = contains(m_excludedTargets, id) || contains(limited, id) || isPaused(target, now);
        if (target.registered.service != m_request.service->name || isLeaving(target) || isExcluded) {
            continue;
        }
        const double open = totalOpenRequests(target);
        constexpr double remoteCost = 0.3;  // less than two open requests more on a target with six slots
        constexpr double avoidedCost = 100; // chosen only if there is no other target
        // Of two suspects at one target, its crash would not tell which one is the cause. Others need only prefer another target.
        const double suspectCost = m_isSuspect ? 50 : 1;
        double cost = open / std::max(target.registered.slots, 1) + jitter(m_context.random);
        cost += target.registered.dataCenter == m_context.settings.dataCenter ? 0 : remoteCost;
        cost += isUsable(target, now) ? 0 : avoidedCost;
        cost += target.openSuspects * suspectCost;
        if (!best || cost < bestCost) {
            best = &target;
            bestCost = cost;
        }
    }
    return best;
}

/// Why no target takes the request, and when one may.
Refusal CallForwarding::refusalWithoutTarget(bool isOverLimits) const
{
    if (isOverLimits) {
        return {"over the limits of all targets", noTargetRetryAfter};
    }
    const milliseconds pauseLeft = timeUntilPauseEnds(m_context.fleet, m_request.service->name, m_context.clock.now());
    if (pauseLeft > milliseconds(0)) {
        return {"all targets requested a pause", pauseLeft};
    }
    return {"no target of the service", noTargetRetryAfter};
}

void CallForwarding::startAttempt()
{
    m_isSuspect = isSuspectInput(m_context, m_request);
    bool isOverLimits = false;
    Target *target = chooseAdmittedTarget(isOverLimits);
    if (!target) {
        if (m_mayHaveRun) {
            failRequest(m_context, m_request, "no other target", m_target.value, m_attempts);
        } else {
            refuseRequest(m_context, m_request, refusalWithoutTarget(isOverLimits), m_attempts);
        }
        return end();
    }
    m_target = target->registered.id;
    ++target->openRequests;
    target->openSuspects += m_isSuspect ? 1 : 0;
    m_isCounted = true;
    m_bufferedBody.clear();
    m_sentAt = m_context.clock.now();
    sendTo(m_target, target->registered.address, {});
}

void CallForwarding::endAttempt()
{
    if (Target *target = findTarget(m_context.fleet, m_target); target && m_isCounted) {
        target->openRequests = std::max(0, target->openRequests - 1);
        target->openSuspects = std::max(0, target->openSuspects - (m_isSuspect ? 1 : 0));
    }
    m_isCounted = false;
    cancelExchange();
}

void CallForwarding::handleHead(const HttpHead &)
{
    m_firstByteAt = m_context.clock.now();
}

/// Whether a response is the target's own and goes to the caller, whatever its length.
bool CallForwarding::isResult(const HttpHead &head) const
{
    const HeaderNames &names = m_context.adapter.headers();
    const bool isRun = !reportsNotExecuted(names, head) && !guaranteesNotRun(head.status);
    return isRun && head.status < 500 && isAuthenticResponse(names, head, m_request.attemptId);
}

void CallForwarding::handleBody(std::string &body)
{
    const HttpHead &head = m_exchange->head();
    const bool isRelayed = isResult(head);
    const bool isBuffered = m_request.route->kind != CallKind::Stream && m_bufferedBody.size() + body.size() <= maxBufferedResponseBytes;
    if (!m_isRelaying && (isBuffered || !isRelayed)) {
        if (m_bufferedBody.size() + body.size() > maxBufferedResponseBytes) {
            return handleFailure({"no answer, and without end", true, false, true});
        }
        m_bufferedBody += body;
        body.clear();
        return chargeBufferedResponse(m_bufferedBody);
    }
    if (!m_isRelaying) {
        m_isRelaying = true;
        m_request.exchange->begin(head, nullptr);
        m_request.exchange->send(m_bufferedBody);
        releaseBuffer(m_bufferedBody);
        chargeBufferedResponse(m_bufferedBody);
    }
    m_request.exchange->send(body);
    body.clear();
    if (m_request.exchange->unsentBytes() > maxUnsentBytes && m_exchange) {
        m_exchange->pauseReading(true);
    }
}

void CallForwarding::handleEnd()
{
    const HeaderNames &names = m_context.adapter.headers();
    const HttpHead &head = m_exchange->head();
    if (m_isRelaying) {
        return relayResponse();
    }
    if (reportsNotExecuted(names, head)) {
        ++m_attempts;
        return retryOrEnd("not executed", false, head.status == 503 || head.status == 429);
    }
    if (isResult(head)) {
        if (Target *target = findTarget(m_context.fleet, m_target)) {
            recordSuccess(*target, m_sentAt);
        }
        return relayResponse();
    }
    ++m_attempts;
    const bool canRetry = canRetryAfterRun() && m_attempts < m_request.route->maxAttempts && m_context.clock.now() + minAttemptTime < m_request.deadline;
    const bool isAuthenticFailure = head.status >= 500 && !guaranteesNotRun(head.status) && isAuthenticResponse(names, head, m_request.attemptId);
    if (isAuthenticFailure && !canRetry) {
        --m_attempts;
        return relayResponse();
    }
    retryOrEnd(isAuthenticFailure ? "target failed" : "answer is not the target's own", true, false);
}

/// Completes the caller's response with the unchanged response of the target.
void CallForwarding::relayResponse()
{
    const TargetExchangePtr exchange = m_exchange;
    ++m_attempts;
    if (!m_isRelaying) {
        const std::uint64_t length = m_bufferedBody.size();
        m_request.exchange->begin(exchange->head(), &length);
        m_request.exchange->send(m_bufferedBody);
    }
    m_request.exchange->complete();
    m_hooks.recordCompletedRun(m_request);
    recordServed(m_context, m_request,
                 {exchange->head().status, m_target.value, m_attempts, m_firstByteAt, {}, exchange->framing(), exchange->unconsumedBytes()});
    end();
}

void CallForwarding::handleFailure(const TargetFailure &failure)
{
    if (failure.mayHaveRun) {
        ++m_attempts;
    }
    if (m_isRelaying) {
        failRequest(m_context, m_request, failure.text, m_target.value, m_attempts);
        return end();
    }
    if (failure.isReused && failure.mayHaveRun && !failure.hasResponseHead) {
        // The target may have closed the idle connection before the request arrived, which is no sign of a failure of the target.
        --m_attempts;
        endAttempt();
        if (tryConsumeServiceRetry(m_context, m_request.service->name)) {
            recordRetry(m_context, m_request, "kept connection was stale", m_target.value, m_attempts);
            return startAttempt();
        }
        m_mayHaveRun = true;
        failRequest(m_context, m_request, "retry budget spent", m_target.value, m_attempts);
        return end();
    }
    avoidTarget(m_context, m_target, failure.text);
    retryOrEnd(failure.text, failure.mayHaveRun, false);
}

/// Called after an attempt that brought no response for the caller: retries or ends the request.
void CallForwarding::retryOrEnd(std::string_view reason, bool mayHaveRun, bool isOverloaded)
{
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_excludedTargets.push_back(m_target);
    endAttempt();
    const bool isAllowed = m_mayHaveRun ? canRetryAfterRun() : !findQuarantinedInput(m_context, m_request);
    const bool hasTime = m_context.clock.now() + minAttemptTime < m_request.deadline;
    const bool hasAttempts = m_attempts < m_request.route->maxAttempts;
    if (isAllowed && hasTime && hasAttempts && tryConsumeServiceRetry(m_context, m_request.service->name)) {
        recordRetry(m_context, m_request, reason, m_target.value, m_attempts);
        return startAttempt();
    }
    if (m_mayHaveRun) {
        failRequest(m_context, m_request, reason, m_target.value, m_attempts);
    } else {
        refuseRequest(m_context, m_request, {reason, isOverloaded ? overloadRetryAfter : noTargetRetryAfter}, m_attempts);
    }
    end();
}

void CallForwarding::checkTimeouts(TimePoint now)
{
    if (m_isOver || failAtStop(now) || now < m_request.deadline) {
        return;
    }
    // The request may still run: closing the connection does not show whether the target stops.
    failRequest(m_context, m_request, "time is up", m_target.value, m_attempts);
    end();
}

ForwardingPtr makeCallForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks)
{
    return std::make_shared<CallForwarding>(context, std::move(request), hooks);
}

} // namespace Parsleytrail
