// What forwarding to plain services and to engines share: the caller's leaving, and the request on its way to a target.
#pragma once

#include "relay/forwarded_request.h"

namespace Parsleytrail
{

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
    TargetForwarding(RelayContext &context, ForwardedRequest request);

    /// Follows the caller: a caller that leaves ends the forwarding, one that has taken its bytes gets more.
    void installCallerHandlers();
    /// Sends the request to a target. `added` are fields that the relay sets for it.
    void sendTo(const TargetId &target, const Address &address, const std::vector<AddedField> &added);
    /// Breaks the request on its way, if there is one.
    void cancelExchange();
    /// Nothing follows any more.
    void end();

    /// Whether the request may be sent again though it may have run.
    virtual bool canRetryAfterRun() const = 0;
    virtual void handleHead(const HttpHead &head) = 0;
    virtual void handleBody(std::string &body) = 0;
    virtual void handleEnd() = 0;
    virtual void handleFailure(const TargetFailure &failure) = 0;
    /// Gives back what the attempt holds.
    virtual void endAttempt() = 0;

    RelayContext &m_context;
    ForwardedRequest m_request;
    TargetExchangePtr m_exchange; ///< request on its way; null between attempts
    int m_attempts = 0;           ///< attempts that a target may have begun
    bool m_mayHaveRun = false;    ///< in an attempt before
    bool m_isOver = false;
};

/// A forwarding to a plain service.
ForwardingPtr makeCallForwarding(RelayContext &context, ForwardedRequest request);

} // namespace Parsleytrail
