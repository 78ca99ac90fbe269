#include "relay/context.h"

#include "base/log.h"
#include "base/text.h"

#include <algorithm>

namespace Parsleytrail
{

StreamQueueMetrics::StreamQueueMetrics(Metrics &all)
{
    for (std::size_t priority = 0; priority <= lowestPriority; ++priority) {
        const std::string suffix = "_p" + std::to_string(priority);
        waiting[priority] = &all.gauge("parsley_relay_streams_waiting" + suffix, "Streams of this priority that wait for room.");
        waited[priority] = &all.counter("parsley_relay_streams_waited" + suffix, "Streams of this priority that began to wait for room.");
        started[priority] = &all.counter("parsley_relay_streams_started_after_wait" + suffix, "Of these, streams that got room.");
        refused[priority] =
            &all.counter("parsley_relay_streams_refused_for_room" + suffix, "Streams of this priority refused for lack of room, at once or after a wait.");
    }
}

static SharedBudgetLimits retryLimits(const RelayContext &context)
{
    SharedBudgetLimits limits;
    limits.share = context.settings.retryShare;
    limits.burst = context.settings.retryBurst;
    limits.window = std::chrono::duration_cast<std::chrono::seconds>(context.settings.retryWindow);
    return limits;
}

RetryBudget copyOfRetryBudget(const RelayContext &context, const ServiceName &service)
{
    const auto it = context.retryBudgets.find(service);
    if (it != context.retryBudgets.end()) {
        return it->second;
    }
    RetryBudget budget = makeRetryBudget(retryLimits(context), entriesToShareWith(context.entryCount, context.clock.now()));
    if (context.hasRetryShare) {
        grantRetryBurst(budget);
    }
    return budget;
}

static RetryBudget &retryBudgetOf(RelayContext &context, const ServiceName &service)
{
    const auto it = context.retryBudgets.find(service);
    return it != context.retryBudgets.end() ? it->second : context.retryBudgets.emplace(service, copyOfRetryBudget(context, service)).first->second;
}

void recordReachableEntries(RelayContext &context, int reachable)
{
    context.peersHeardAt = reachable > 0 ? context.clock.now() : context.peersHeardAt;
    context.entryCount.mostPeersSeen = std::max(context.entryCount.mostPeersSeen, reachable);
}

void updateBudgetShares(RelayContext &context)
{
    const TimePoint now = context.clock.now();
    const SharedBudgetLimits limits = retryLimits(context);
    const bool isGranted = !context.hasRetryShare && now - context.entryCount.startedAt >= limits.window;
    context.hasRetryShare = context.hasRetryShare || isGranted;
    for (auto &[service, budget] : context.retryBudgets) {
        resizeRetryBudget(budget, limits, entriesToShareWith(context.entryCount, now));
        if (isGranted) {
            grantRetryBurst(budget);
        }
    }
}

bool tryConsumeServiceRetry(RelayContext &context, const ServiceName &service)
{
    return tryConsumeRetry(retryBudgetOf(context, service));
}

bool hasRetryBudget(RelayContext &context, const ServiceName &service)
{
    return retryBudgetOf(context, service).available >= 1;
}

bool mayConsumeServiceRetry(RelayContext &context, const ServiceName &service, bool hasMoreUrgentStreams)
{
    return mayConsumeRetry(retryBudgetOf(context, service), hasMoreUrgentStreams);
}

bool hasAmpleRetryBudget(RelayContext &context, const ServiceName &service)
{
    const RetryBudget &budget = retryBudgetOf(context, service);
    return budget.available > budget.burst / 2;
}

void recordRequest(RelayContext &context, const ServiceName &service)
{
    recordRequest(retryBudgetOf(context, service));
}

bool admitRequest(RelayContext &context, Target &target)
{
    const TimePoint now = context.clock.now();
    const bool isLimited = limitInForce(target.demand, now) > 0;
    const bool isAdmitted = admitRequest(target.demand, knownEntriesToShareWith(context.entryCount, now), now);
    context.metrics.limitedSends += isLimited && isAdmitted ? 1 : 0;
    context.metrics.limitSkips += isAdmitted ? 0 : 1;
    return isAdmitted;
}

void logLimitChange(const Target &target, std::string_view source)
{
    logEvent(Event::TargetLimitChanged,
             {{"target", target.registered.id.value}, {"limit", std::to_string(target.demand.limit)}, {"source", std::string(source)}});
}

double drawShare(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

milliseconds tablesBound(const RelaySettings &settings)
{
    const bool hasOwnBound = settings.configurationBound > milliseconds(0);
    return hasOwnBound ? std::min(settings.targetDrainTime, settings.configurationBound) : settings.targetDrainTime;
}

bool hearsNoPeers(const RelayContext &context)
{
    const bool mayHavePeers = context.entryCount.mayHavePeers || context.entryCount.mostPeersSeen > 0;
    return mayHavePeers && context.clock.now() - context.peersHeardAt >= maxReportAge;
}

/// This entry's share of the link: by demand and by what was observed of the link, or an even one where no forecast is made.
static double linkShare(const RelayContext &context, const ServiceSpec &service)
{
    const int entries = entriesToShareWith(context.entryCount, context.clock.now());
    if (service.engine->prefillChunkTokens <= 0) {
        return 1.0 / std::max(entries, 1);
    }
    const auto link = context.observedLinks.find(service.name);
    const double rateFactor = link != context.observedLinks.end() ? link->second.rateFactor : ObservedLink().rateFactor;
    return demandShare(context.fleet, service.name, hearsNoPeers(context), entries) * rateFactor;
}

TokenBucket copyOfCrossDataCenterBudget(const RelayContext &context, const ServiceSpec &service)
{
    const TokenBucket configured = makeCrossDataCenterBudget(*service.engine, linkShare(context, service));
    const auto it = context.crossDataCenterBudgets.find(service.name);
    TokenBucket budget = it != context.crossDataCenterBudgets.end() ? it->second : TokenBucket();
    budget.perSecond = configured.perSecond;
    budget.burst = configured.burst;
    return budget;
}

TokenBucket &crossDataCenterBudget(RelayContext &context, const ServiceSpec &service)
{
    return context.crossDataCenterBudgets[service.name] = copyOfCrossDataCenterBudget(context, service);
}

void recordLeavingStatement(RelayContext &context, const TargetId &id, std::string_view text)
{
    Target *target = findTarget(context.fleet, id);
    if (target && trimmed(text) == "1" && recordLeaving(*target)) {
        logEvent(Event::TargetLeaving, {{"target", id.value}, {"draining", target->registered.isDraining ? "true" : "false"}});
    }
}

void dropConnections(RelayContext &context, const Target &target)
{
    const Address &address = target.registered.address;
    if (findLastOwner(context.fleet, address) == &target) {
        context.connections.drop(address);
    }
}

void avoidTarget(RelayContext &context, const TargetId &id, std::string_view reason)
{
    Target *target = findTarget(context.fleet, id);
    if (!target) {
        return;
    }
    const TimePoint now = context.clock.now();
    const bool isNew = isUsable(*target, now);
    recordFailure(*target, now);
    // A request sent to a dead engine stalls its entire chain; a probe costs next to nothing. So an engine gets work again only
    // after it has answered a probe.
    target->needsProbe = !target->registered.accelerator.empty();
    if (target->needsProbe && target->failuresInRow == 1) {
        // A single connection reset may be a lost response of a working engine: it is usable again as soon as it answers a probe.
        // Otherwise each lost response would take the first engine of a data centre's only chain, and with it the chain, out of
        // use.
        target->avoidUntil = now;
    }
    dropConnections(context, *target);
    if (isNew) {
        logEvent(Event::TargetAvoided, {{"target", id.value},
                                        {"address", target->registered.address.toString()},
                                        {"reason", std::string(reason)},
                                        {"failures", std::to_string(target->failuresInRow)}});
    }
}

} // namespace Parsleytrail
