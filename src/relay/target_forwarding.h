// Base class of forwarding to plain services and to engines: reacts to the caller and runs one exchange with a target at a
// time.
#pragma once

#include "relay/forwarded_request.h"

namespace Parsleytrail
{

/// How far a run was when its connection ended.
struct InterruptedRun {
    milliseconds openTime{0}; ///< since it was sent
    int events = 0;           ///< events that were relayed
};

/// A forwarding that sends its request to one target at a time.
class TargetForwarding : public Forwarding
{
public:
    void abandon() final;
    bool isOver() const final
    {
        return m_isOver;
    }

protected:
    TargetForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks);

    /// Installs the caller's handlers: a disconnect ends the forwarding; once buffered bytes are sent, reading from the target
    /// resumes.
    void installCallerHandlers();
    /// Sends the request to a target. `added` are header fields that the relay sets in addition.
    void sendTo(const TargetId &target, const Address &address, const std::vector<AddedField> &added);
    /// Cancels the exchange with a target, if there is one.
    void cancelExchange();
    /// Fails the request if it has no response yet and the process ends before long: its caller learns whether it may have run. Returns whether it did.
    bool failAtStop(TimePoint now);
    /// Ends the attempt and the forwarding.
    void end();
    /// Charges a response that is buffered until it is complete.
    void chargeBufferedResponse(const std::string &body);

    /// Whether the request may be retried even if it may have run.
    virtual bool canRetryAfterRun() const = 0;
    virtual void handleHead(const HttpHead &head) = 0;
    virtual void handleBody(std::string &body) = 0;
    virtual void handleEnd() = 0;
    virtual void handleFailure(const TargetFailure &failure) = 0;
    /// Called once, when the forwarding is over.
    virtual void handleOver()
    {
    }
    /// Releases the resources of the current attempt.
    virtual void endAttempt() = 0;

    /// Events of the present attempt that were relayed.
    virtual int eventsOfAttempt() const = 0;

    RelayContext &m_context;
    const ForwardingHooks &m_hooks;
    ForwardedRequest m_request;
    TargetExchangePtr m_exchange; ///< exchange with the current target; null between attempts
    int m_attempts = 0;           ///< number of attempts that a target may have started
    bool m_mayHaveRun = false;    ///< the request may have run in an earlier attempt
    bool m_isOver = false;

private:
    void recordNamedLimit(const TargetId &id, const HttpHead &head);
    void recordPauseRequest(const TargetId &id, const HttpHead &head);
    void handleUnansweredRun(const SentRequest &sent, const TargetFailure &failure);
    void recordCrash(const SentRequest &sent, TargetCondition condition, const InterruptedRun &run);

    int m_sent = 0; ///< requests sent so far
    MemoryCharge m_responseCharge;
};

/// A forwarding to a plain service.
ForwardingPtr makeCallForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks);

} // namespace Parsleytrail
