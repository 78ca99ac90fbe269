// Forwards one request of a caller to targets and relays the response.
//
//     const ForwardingPtr forwarding = makeForwarding(context, std::move(request), hooks);
//     forwarding->begin();
//
// A forwarding ends by itself: with a complete response, a refusal, a failure, or because the caller disconnected. Whether a
// request that may have run can be retried depends on its route alone.
#pragma once

#include "policy/recovery_order.h"
#include "policy/routes.h"
#include "policy/silence.h"
#include "relay/caller_session.h"
#include "relay/context.h"
#include "relay/crash_detector.h"

#include <memory>
#include <string>

namespace Parsleytrail
{

/// A request with the routing decisions made on its arrival.
struct ForwardedRequest {
    CallerExchangePtr exchange;               ///< request and response channel of the caller
    std::shared_ptr<const RouteTable> routes; ///< configuration in force on arrival; keeps `route` and `service` alive
    const Route *route = nullptr;             ///< part of `routes`
    const ServiceSpec *service = nullptr;     ///< part of `routes`
    WorkspaceName workspace;                  ///< empty on public routes
    int priority = 5;                         ///< from the workspace or the route; 0 is the most urgent
    std::string attemptId;                    ///< attempt id given by the caller
    TimePoint deadline{};                     ///< earlier of the caller's deadline and the configured timeout
};

/// One sending of a request to a target.
struct SentRequest {
    TargetId target;
    std::uint64_t startedAtMs = 0; ///< start time of the target as registered, Unix milliseconds
    TimePoint sentAt{};
    int number = 0; ///< of the requests that the forwarding has sent
};

/// How urgent a request is when it has to be recovered from a lost engine.
struct RecoveryState {
    const ServiceSpec *service = nullptr; ///< null if the request can't be recovered
    LostStream urgency{};
    TimePoint givesWayUntil{}; ///< zero: it does not give way
    std::string_view id;       ///< attempt id
};

/// A request being forwarded.
class Forwarding : public std::enable_shared_from_this<Forwarding>
{
public:
    virtual ~Forwarding() = default;
    virtual void begin() = 0;
    /// Called every forwardingCheckInterval.
    virtual void checkTimeouts(TimePoint now) = 0;
    /// Called when a target was found to have failed: a request that waits for it is moved to other targets.
    virtual void handleFailedTarget(const TargetId &id) = 0;
    /// Called every leavingEngineCheckInterval: moves the request off engines of its chain that drain or give up its layers.
    virtual void moveOffLeavingEngines() = 0;
    virtual bool isOver() const = 0;
    /// Drops caller and target without responding, because the relay is being destroyed. Breaks the reference cycle between
    /// the forwarding and its exchanges.
    virtual void abandon() = 0;
    /// The engines that currently process the request, and when it last made progress.
    virtual StreamActivity activity() const = 0;
    virtual RecoveryState recoveryState(TimePoint now) const = 0;
};
using ForwardingPtr = std::shared_ptr<Forwarding>;

/// Interval of checking requests for timeouts and stalls; an eighth of the shortest pause that matters.
constexpr milliseconds forwardingCheckInterval{25};

/// Interval of checking whether an engine of a stream's chain drains or gives up the stream's layers. Engines announce this
/// seconds ahead, so that several checks fit in.
constexpr milliseconds leavingEngineCheckInterval{200};

/// Callbacks from a forwarding to its relay.
struct ForwardingHooks {
    /// Finds out whether a target crashed that closed a connection with a request on it; see CrashDetector.
    std::function<void(const TargetId &target, std::function<void(TargetCondition)> done)> checkForCrash;
    /// Records that a target crashed while the request was open there, and that one completed it; see CrashGuard.
    std::function<void(const ForwardedRequest &request, const SentRequest &sent)> recordCrashedRun;
    std::function<void(const ForwardedRequest &request)> recordCompletedRun;
    /// Records that a target has been answering the request for a while without a crash.
    std::function<void(const ForwardedRequest &request)> recordBegunRun;
    /// Requests a report from an engine: the layers it holds, and which engines the requests that it started wait for.
    std::function<void(const TargetId &engine)> requestEngineReport;
    /// Orders a request's first engine to continue through another chain; `done` gets whether the engine accepted.
    std::function<void(const std::string &attemptId, const std::vector<ChainStage> &chain, std::function<void(bool)> done)> moveStream;
    /// Recovers a stream together with the others of the current event loop iteration, in order of urgency; see RecoveryQueue.
    std::function<void(const LostStream &stream, std::function<void()> recover)> recoverInOrder;
    /// Whether streams of the service that are more urgent than `priority` are open at this relay.
    std::function<bool(const ServiceName &service, int priority)> hasMoreUrgentStreams;
};

ForwardingPtr makeForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks);

} // namespace Parsleytrail
