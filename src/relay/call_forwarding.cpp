// Forwarding to plain services: one request, one answer.
#include "relay/target_forwarding.h"

#include <algorithm>

namespace Parsleytrail
{

/// Answers up to this size are held until they are whole, so that a cut one can be replaced by another target's.
constexpr std::size_t heldAnswerBytes = 128 * 1024;
/// Reading from a target stops while its caller has this much to take.
constexpr std::size_t maxWaitingBytes = 256 * 1024;
/// A request is not sent again with less time than this left: a target needs tens of milliseconds.
constexpr milliseconds shortestAttempt{30};
/// When targets that refused for lack of room are expected to have some again: a few times their usual work.
constexpr milliseconds fullRetryAfter{400};
/// When a service without a usable target is expected to have one: engines restart within seconds.
constexpr milliseconds missingRetryAfter{1000};

class CallForwarding final : public TargetForwarding
{
public:
    CallForwarding(RelayContext &context, ForwardedRequest request)
        : TargetForwarding(context, std::move(request))
    {
    }

    void begin() override;
    void checkTime(TimePoint now) override;
    void noteDeadTarget(const TargetId &) override
    {
        // A call waits for one target only: its own connection or time-out tells.
    }
    void leaveGoingEngines() override
    {
        // A call lasts milliseconds; its target goes on serving for longer.
    }
    const std::vector<ChainStage> &chain() const override
    {
        static const std::vector<ChainStage> none;
        return none;
    }
    TimePoint progressAt() const override
    {
        return m_request.exchange->receivedAt();
    }

private:
    Target *chooseTarget();
    void startAttempt();
    void takeHead(const HttpHead &head) override;
    void takeBody(std::string &body) override;
    void takeEnd() override;
    void takeFailure(const TargetFailure &failure) override;
    void endAttempt() override;
    void retryOrEnd(std::string_view reason, bool mayHaveRun, bool isFull);
    void passOn();
    bool canRepeat() const override
    {
        return m_request.route->kind == CallKind::Idempotent;
    }

    TargetId m_target;
    std::vector<TargetId> m_failed; ///< targets that are not asked again
    std::string m_body;             ///< of the answer, held
    TimePoint m_firstByteAt{};
    bool m_isPassingOn = false; ///< the answer was too large to hold
    bool m_isCounted = false;   ///< as open at the target
};

void CallForwarding::begin()
{
    followCaller();
    startAttempt();
}

/// The target with the least work for its slots; one of this data centre first among equals.
Target *CallForwarding::chooseTarget()
{
    const TimePoint now = m_context.clock.now();
    Target *best = nullptr;
    double bestCost = 0;
    std::uniform_real_distribution<double> jitter(0, 0.05);
    for (auto &[id, target] : m_context.fleet.targets) {
        const bool isAsked = std::find(m_failed.begin(), m_failed.end(), id) != m_failed.end();
        if (target.registered.service != m_request.service->name || target.registered.isDraining || isAsked) {
            continue;
        }
        const double open = totalOpenRequests(target);
        constexpr double remoteCost = 0.3;  // less than two more requests on a target of six slots
        constexpr double avoidedCost = 100; // only if there is no other
        double cost = open / std::max(target.registered.slots, 1) + jitter(m_context.random);
        cost += target.registered.dataCenter == m_context.settings.dataCenter ? 0 : remoteCost;
        cost += isUsable(target, now) ? 0 : avoidedCost;
        if (!best || cost < bestCost) {
            best = &target;
            bestCost = cost;
        }
    }
    return best;
}

void CallForwarding::startAttempt()
{
    Target *target = chooseTarget();
    if (!target) {
        if (m_mayHaveRun) {
            failRequest(m_context, m_request, "no other target", m_target.value, m_sent);
        } else {
            refuseRequest(m_context, m_request, {"no target of the service", missingRetryAfter}, m_sent);
        }
        return end();
    }
    m_target = target->registered.id;
    ++target->openRequests;
    m_isCounted = true;
    m_body.clear();
    sendTo(m_target, target->registered.address, {});
}

void CallForwarding::endAttempt()
{
    if (Target *target = findTarget(m_context.fleet, m_target); target && m_isCounted) {
        target->openRequests = std::max(0, target->openRequests - 1);
    }
    m_isCounted = false;
    cancelExchange();
}

void CallForwarding::takeHead(const HttpHead &)
{
    m_firstByteAt = m_context.clock.now();
}

void CallForwarding::takeBody(std::string &body)
{
    const HttpHead &head = m_exchange->head();
    const bool isRelayed = head.status < 300 && isGenuine(m_context.adapter.headers(), head, m_request.attemptId);
    const bool isHeld = m_request.route->kind != CallKind::Stream && m_body.size() + body.size() <= heldAnswerBytes;
    if (!m_isPassingOn && (isHeld || !isRelayed)) {
        if (m_body.size() < heldAnswerBytes) {
            m_body += body;
        }
        body.clear();
        return;
    }
    if (!m_isPassingOn) {
        m_isPassingOn = true;
        m_request.exchange->begin(head, nullptr);
        m_request.exchange->send(m_body);
    }
    m_request.exchange->send(body);
    body.clear();
    if (m_request.exchange->waiting() > maxWaitingBytes && m_exchange) {
        m_exchange->pauseReading(true);
    }
}

void CallForwarding::takeEnd()
{
    const HeaderNames &names = m_context.adapter.headers();
    const HttpHead &head = m_exchange->head();
    if (m_isPassingOn) {
        return passOn();
    }
    if (saysNotExecuted(names, head)) {
        ++m_sent;
        return retryOrEnd("not executed", false, head.status == 503 || head.status == 429);
    }
    const bool isGood = head.status < 500 && isGenuine(names, head, m_request.attemptId);
    if (isGood && !promisesNotRun(head.status)) {
        if (Target *target = findTarget(m_context.fleet, m_target)) {
            recordSuccess(*target);
        }
        return passOn();
    }
    ++m_sent;
    const bool canTryAgain = canRepeat() && m_sent < m_request.route->maxAttempts && m_context.clock.now() + shortestAttempt < m_request.deadline;
    const bool isOwnFailure = head.status >= 500 && !promisesNotRun(head.status) && isGenuine(names, head, m_request.attemptId);
    if (isOwnFailure && !canTryAgain) {
        --m_sent;
        return passOn();
    }
    retryOrEnd(isOwnFailure ? "target failed" : "answer is not the target's own", true, false);
}

/// Gives the caller the target's answer, unchanged.
void CallForwarding::passOn()
{
    const TargetExchangePtr exchange = m_exchange;
    ++m_sent;
    if (!m_isPassingOn) {
        const std::uint64_t length = m_body.size();
        m_request.exchange->begin(exchange->head(), &length);
        m_request.exchange->send(m_body);
    }
    m_request.exchange->complete();
    noteServed(m_context, m_request, {exchange->head().status, m_target.value, m_sent, m_firstByteAt, {}});
    end();
}

void CallForwarding::takeFailure(const TargetFailure &failure)
{
    if (failure.mayHaveRun) {
        ++m_sent;
    }
    if (m_isPassingOn) {
        failRequest(m_context, m_request, failure.text, m_target.value, m_sent);
        return end();
    }
    if (failure.wasKept && failure.mayHaveRun && !failure.hasAnswered) {
        // The connection was stale: that says nothing of the target.
        --m_sent;
        endAttempt();
        if (tryRetry(m_context, m_request.service->name)) {
            noteRetry(m_context, m_request, "kept connection was stale", m_target.value, m_sent);
            return startAttempt();
        }
        m_mayHaveRun = true;
        failRequest(m_context, m_request, "retry budget spent", m_target.value, m_sent);
        return end();
    }
    avoidTarget(m_context, m_target, failure.text);
    retryOrEnd(failure.text, failure.mayHaveRun, false);
}

/// After an attempt without an answer for the caller.
void CallForwarding::retryOrEnd(std::string_view reason, bool mayHaveRun, bool isFull)
{
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_failed.push_back(m_target);
    endAttempt();
    const bool isAllowed = !m_mayHaveRun || canRepeat();
    const bool hasTime = m_context.clock.now() + shortestAttempt < m_request.deadline;
    const bool hasAttempts = m_sent < m_request.route->maxAttempts;
    if (isAllowed && hasTime && hasAttempts && tryRetry(m_context, m_request.service->name)) {
        noteRetry(m_context, m_request, reason, m_target.value, m_sent);
        return startAttempt();
    }
    if (m_mayHaveRun) {
        failRequest(m_context, m_request, reason, m_target.value, m_sent);
    } else {
        refuseRequest(m_context, m_request, {reason, isFull ? fullRetryAfter : missingRetryAfter}, m_sent);
    }
    end();
}

void CallForwarding::checkTime(TimePoint now)
{
    if (m_isOver || now < m_request.deadline) {
        return;
    }
    // What was sent may still run: its connection is closed, but only the target knows.
    failRequest(m_context, m_request, "time is up", m_target.value, m_sent);
    end();
}

ForwardingPtr makeCallForwarding(RelayContext &context, ForwardedRequest request)
{
    return std::make_shared<CallForwarding>(context, std::move(request));
}

} // namespace Parsleytrail
