#include "relay/engine_prober.h"

#include "base/log.h"

#include <algorithm>

namespace Parsleytrail
{

constexpr milliseconds probeCheckInterval{100}; ///< how often engines that are due for a probe are searched for
constexpr milliseconds probeTimeout{400};       ///< a report needs no free slot: a live engine answers within milliseconds
/// Timeout for an engine through which no stream has made progress for the stall threshold. A stream that is moved after this time
/// is often still on time; an engine wrongly classified as unresponsive costs processing some prompts again.
constexpr milliseconds suspectTimeout{30};
/// Chain selection avoids slow engines as far as possible. Engines that reported a higher slowdown factor than this are probed again
/// at slowEngineProbeInterval, until they report a lower one.
constexpr double slowdownThreshold = 1.2;
constexpr milliseconds slowEngineProbeInterval{1000};

struct EngineProber::Private {
    RelayContext &context;
    HttpClient &client;
    Handlers handlers;
    std::unique_ptr<Timer> tick{};
    std::set<TargetStart> pendingProbes{}; ///< engines with a probe that was not answered yet

    void probe(const TargetId &id, milliseconds timeout);
    void probeDueEngines();
    void handleResponse(const TargetStart &engine, const HttpResult &result);
    void applyReport(Target &target, const EngineReport &report);
    void markUnresponsive(const TargetId &id, const std::string &reason);
};

EngineProber::EngineProber(RelayContext &context, HttpClient &client, Handlers handlers)
    : d(std::make_unique<Private>(Private{context, client, std::move(handlers)}))
{
    d->tick = std::make_unique<Timer>(context.loop, [this] {
        d->probeDueEngines();
    });
}

EngineProber::~EngineProber() = default;

void EngineProber::start()
{
    d->tick->startRepeating(probeCheckInterval);
}

void EngineProber::probe(const TargetId &id)
{
    d->probe(id, probeTimeout);
}

void EngineProber::probeSuspect(const TargetId &id)
{
    d->probe(id, suspectTimeout);
}

void EngineProber::Private::probeDueEngines()
{
    const TimePoint now = context.clock.now();
    for (const auto &[id, target] : context.fleet.targets) {
        const bool isSlow = target.slowdownFactor > slowdownThreshold && now - target.reportedAt >= slowEngineProbeInterval;
        if (isSlow || (target.needsProbe && now >= target.avoidUntil)) {
            probe(id, probeTimeout);
        }
    }
}

void EngineProber::Private::probe(const TargetId &id, milliseconds timeout)
{
    const Target *target = findTarget(context.fleet, id);
    // Targets of plain services have no report and would answer the probe with an error.
    const bool isEngine = target && !target->registered.accelerator.empty();
    if (!isEngine || !pendingProbes.insert(startOf(*target)).second) {
        return;
    }
    ++context.metrics.probes;
    HttpClientRequest request = context.adapter.reportRequest(id);
    request.timeout = timeout;
    client.fetch(target->registered.address, std::move(request), [this, engine = startOf(*target)](const HttpResult &result) {
        pendingProbes.erase(engine);
        handleResponse(engine, result);
    });
}

void EngineProber::Private::handleResponse(const TargetStart &engine, const HttpResult &result)
{
    Target *target = findStart(context.fleet, engine);
    if (!target) {
        return;
    }
    const TargetId &id = engine.id;
    recordLeavingStatement(context, id, findHeader(result.headers, context.adapter.headers().targetLeaves));
    if (!result.isOk()) {
        return markUnresponsive(id, result.failure ? result.failure->error.toString() : "status " + std::to_string(result.status));
    }
    EngineReport report;
    Error error;
    const bool isDecoded = runCatching(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(report, context.adapter.decodeReport(result.body));
            return {};
        },
        error);
    if (!isDecoded) {
        return markUnresponsive(id, error.toString());
    }
    if (!isFromTarget(*target, report.startedAtMs)) {
        ++context.metrics.foreignReports;
        return markUnresponsive(id, "another process answers at its address");
    }
    applyReport(*target, report);
}

void EngineProber::Private::applyReport(Target &target, const EngineReport &report)
{
    if (target.needsProbe) {
        logEvent(Event::TargetUsable, {{"target", target.registered.id.value}, {"failures", std::to_string(target.failuresInRow)}});
    }
    recordProbeResponse(target);
    target.hasReportedOrders = true;
    target.slowdownFactor = std::max(1.0, report.passSlowdownFactor);
    target.reportedAt = context.clock.now();
    const bool isNewer = report.ordersAccepted >= target.ordersAccepted;
    if (isNewer) {
        target.registered.layers = report.layers;
        target.ordersAccepted = report.ordersAccepted;
        target.isExecutingOrder = report.hasOrderInProgress;
    }
    for (const StalledRequest &stalled : report.stalled) {
        const Target *unresponsive = findFirstOwner(context.fleet, stalled.address);
        if (unresponsive && isUsable(*unresponsive, context.clock.now())) {
            markUnresponsive(unresponsive->registered.id, "requests wait for it");
        }
    }
    handlers.onReport();
}

void EngineProber::Private::markUnresponsive(const TargetId &id, const std::string &reason)
{
    avoidTarget(context, id, reason);
    if (Target *target = findTarget(context.fleet, id)) {
        ++target->unansweredProbesInRow;
    }
    handlers.onUnresponsive(id);
}

} // namespace Parsleytrail
