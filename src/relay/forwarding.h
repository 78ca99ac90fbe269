// Forwarding one request of a caller to targets, and the answer back.
//
//     const ForwardingPtr forwarding = makeForwarding(context, exchange, route, service, owner);
//     forwarding->begin();
//
// A forwarding ends by itself: with a target's whole answer, with a refusal, with a failure, or because the caller left.
// What may be repeated follows from the kind of the route alone.
#pragma once

#include "policy/routes.h"
#include "relay/caller_session.h"
#include "relay/context.h"

#include <memory>
#include <string>

namespace Parsleytrail
{

/// A request with what was decided about it when it came.
struct ForwardedRequest {
    CallerExchangePtr exchange;               ///< the caller's
    std::shared_ptr<const RouteTable> routes; ///< in force when it came; keeps route and service alive
    const Route *route = nullptr;             ///< of `routes`
    const ServiceSpec *service = nullptr;     ///< of `routes`
    WorkspaceName workspace;                  ///< empty on public routes
    int priority = 5;                         ///< of the workspace or the route; 0 is the most urgent
    std::string attemptId;                    ///< of the caller
    TimePoint deadline{};                     ///< the caller or the operator waits no longer
};

/// A request on its way.
class Forwarding : public std::enable_shared_from_this<Forwarding>
{
public:
    virtual ~Forwarding() = default;
    virtual void begin() = 0;
    /// Called every forwardingTick.
    virtual void checkTimeouts(TimePoint now) = 0;
    /// A target was found to be dead: what waits for it is moved.
    virtual void handleFailedTarget(const TargetId &id) = 0;
    /// Called every leaveCheckInterval: leaves engines of its chain that are about to go.
    virtual void moveOffLeavingEngines() = 0;
    virtual bool isOver() const = 0;
    /// Lets go of caller and target without a word: the relay is being destroyed. They hold each other otherwise.
    virtual void abandon() = 0;
    /// Engines that the request passes through now; empty if it waits for no engine.
    virtual const std::vector<ChainPart> &chain() const = 0;
    /// When it last got on: the start of the attempt or its last event.
    virtual TimePoint lastProgressAt() const = 0;
};
using ForwardingPtr = std::shared_ptr<Forwarding>;

/// How often time-outs and stalls of requests are looked at; an eighth of the shortest pause that matters.
constexpr milliseconds forwardingCheckInterval{25};

/// How often streams look whether an engine of their chain is draining or gives up their layers: several times within the
/// shortest notice, which is seconds.
constexpr milliseconds leavingEngineCheckInterval{200};

/// Callbacks of a forwarding to its relay.
struct ForwardingHooks {
    /// Asks an engine for a report: what it holds, and which engine the requests that it began wait for.
    std::function<void(const TargetId &engine)> requestEngineReport;
    /// Tells a request's first engine to go on through another chain; calls back whether it does.
    std::function<void(const std::string &attemptId, const std::vector<ChainPart> &chain, std::function<void(bool)> done)> moveStream;
};

/// A stream without an event for this long has stalled: a small multiple of the usual gap, as gaps are even within a chain.
milliseconds stallThreshold(const RelayContext &context);

ForwardingPtr makeForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks);

} // namespace Parsleytrail
