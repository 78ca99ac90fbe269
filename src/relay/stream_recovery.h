// Recovery of streams that lost an engine of their chain: their order, and the forecast of a move or a restart.
//
// The decisions are in policy/recovery_order.h. This file provides the forecasts from the fleet, and the streams that are recovered
// together: those of an engine that does not respond (orderedStreamsOf()), and those whose connections close, or that stop giving way, in
// the same iteration of the event loop (RecoveryQueue).
#pragma once

#include "policy/chain_selection.h"
#include "relay/forwarding.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace Parsleytrail
{

/// Streams whose chain has the unresponsive engine, in order of urgency.
std::vector<ForwardingPtr> orderedStreamsOf(RelayContext &context, const std::vector<ForwardingPtr> &forwardings, const TargetId &lost);
/// Whether streams of the service that are more urgent than `priority` are open.
bool hasMoreUrgentStreams(const std::vector<ForwardingPtr> &forwardings, const ServiceName &service, int priority, TimePoint now);
/// State for the state dump: numbers of decisions so far, engines that were lost recently, and streams that give way.
nlohmann::json recoveryDump(const RelayContext &context, const std::vector<ForwardingPtr> &forwardings, TimePoint now);

/// Collects the recoveries of one event loop iteration and runs them in order of urgency.
///
/// The connections of a lost first engine close one after the other. Without the queue the retry budget would be spent on those that
/// happen to close first.
class RecoveryQueue
{
public:
    explicit RecoveryQueue(EventLoop &loop);
    ~RecoveryQueue();
    /// Calls `recover` after the current callbacks of the event loop, unless the queue is destroyed before.
    void add(const LostStream &stream, std::function<void()> recover);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

/// A running stream and the chain that it may be moved to.
struct StreamMove {
    const std::vector<ChainStage> &previous;
    const std::vector<ChainStage> &chain;
    double tokens = 0;     ///< of its prompt and its events so far
    double multiplier = 1; ///< see recoveryMultiplier()
};
/// Stages of the new chain that the previous one did not have. Their engines process the stream's tokens again.
std::vector<ChainStage> addedStages(const StreamMove &move);
/// Time in ms until the first event after the move: processing the tokens, and one usual gap between events for the pass that yields it.
double eventDelayOfMove(const RelayContext &context, const EngineModel &model, const StreamMove &move);
/// Adds the processing of the tokens to the forecast of the engines, so that the next stream sees it.
void addPrefillOfMove(RelayContext &context, const EngineModel &model, const StreamMove &move);
/// Time in ms until the first event of a stream that is started on a chain; unlimitedMs if no chain is given or no stream has begun yet.
double eventDelayOfStart(const RelayContext &context, const std::vector<ChainStage> &chain);
/// Largest backlog of the engines, ms; engines that are not registered have none.
double largestBacklogMs(const RelayContext &context, const std::vector<ChainStage> &stages);

} // namespace Parsleytrail
