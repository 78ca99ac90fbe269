#include "relay/engine_prober.h"

#include "base/log.h"

#include <algorithm>

namespace Parsleytrail
{

constexpr milliseconds probeTick{100};    ///< how often engines due for a question are looked for
constexpr milliseconds probeTimeout{400}; ///< a report needs no slot: an engine that lives answers within milliseconds
/// For an engine that no stream has come through for a while: a stream that is moved after this time is often still on
/// time, and an engine wrongly taken for dead costs reading some prompts anew.
constexpr milliseconds suspectTimeout{60};
/// Chains pass by engines that report to be slower than this, as far as they can; those are asked again until they are not.
constexpr double noticeableSlowness = 1.2;
constexpr milliseconds slowPoll{1000};

struct EngineProber::Private {
    RelayContext &context;
    HttpClient &client;
    Handlers handlers;
    std::unique_ptr<Timer> tick{};
    std::set<TargetId> asked{}; ///< answers awaited

    void ask(const TargetId &id, milliseconds timeout);
    void askDue();
    void takeAnswer(const TargetId &id, const HttpResult &result);
    void takeReport(Target &target, const EngineReport &report);
    void noteDead(const TargetId &id, const std::string &reason);
};

EngineProber::EngineProber(RelayContext &context, HttpClient &client, Handlers handlers)
    : d(std::make_unique<Private>(Private{context, client, std::move(handlers)}))
{
    d->tick = std::make_unique<Timer>(context.loop, [this] {
        d->askDue();
    });
}

EngineProber::~EngineProber() = default;

void EngineProber::start()
{
    d->tick->startRepeating(probeTick);
}

void EngineProber::ask(const TargetId &id)
{
    d->ask(id, probeTimeout);
}

void EngineProber::askSuspect(const TargetId &id)
{
    d->ask(id, suspectTimeout);
}

void EngineProber::Private::askDue()
{
    const TimePoint now = context.clock.now();
    for (const auto &[id, target] : context.fleet.targets) {
        const bool isSlow = target.slowdownFactor > noticeableSlowness && now - target.reportedAt >= slowPoll;
        if (isSlow || (target.needsProbe && now >= target.avoidUntil)) {
            ask(id, probeTimeout);
        }
    }
}

void EngineProber::Private::ask(const TargetId &id, milliseconds timeout)
{
    const Target *target = findTarget(context.fleet, id);
    // Targets of plain services know no report and would answer it as a failure.
    const bool isEngine = target && !target->registered.accelerator.empty();
    if (!isEngine || !asked.insert(id).second) {
        return;
    }
    ++context.metrics.probes;
    HttpClientRequest request = context.dialect.reportRequest();
    request.timeout = timeout;
    client.fetch(target->registered.address, std::move(request), [this, id](const HttpResult &result) {
        asked.erase(id);
        takeAnswer(id, result);
    });
}

void EngineProber::Private::takeAnswer(const TargetId &id, const HttpResult &result)
{
    Target *target = findTarget(context.fleet, id);
    if (!target) {
        return;
    }
    if (!result.isOk()) {
        return noteDead(id, result.failure ? result.failure->error.toString() : "status " + std::to_string(result.status));
    }
    EngineReport report;
    Error error;
    const bool isDecoded = runCatching(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(report, context.dialect.decodeReport(result.body));
            return {};
        },
        error);
    if (!isDecoded) {
        return noteDead(id, error.toString());
    }
    takeReport(*target, report);
}

void EngineProber::Private::takeReport(Target &target, const EngineReport &report)
{
    if (target.needsProbe) {
        logEvent(Event::TargetUsable, {{"target", target.registered.id.value}, {"failures", std::to_string(target.failuresInRow)}});
    }
    recordProbeResponse(target);
    target.hasReportedOrders = true;
    target.slowdownFactor = std::max(1.0, report.slowness);
    target.reportedAt = context.clock.now();
    const bool isNewer = report.ordersAccepted >= target.ordersAccepted || report.startedAtMs > target.registered.startedAtMs;
    if (isNewer) {
        target.registered.layers = report.layers;
        target.ordersAccepted = report.ordersAccepted;
        target.isExecutingOrder = report.isBusy;
    }
    for (const StalledRequest &stalled : report.stalled) {
        const Target *dead = findTargetAt(context.fleet, stalled.address);
        if (dead && isUsable(*dead, context.clock.now())) {
            noteDead(dead->registered.id, "requests wait for it");
        }
    }
    handlers.onReport();
}

void EngineProber::Private::noteDead(const TargetId &id, const std::string &reason)
{
    avoidTarget(context, id, reason);
    if (Target *target = findTarget(context.fleet, id)) {
        ++target->probeTimeoutsInRow;
    }
    handlers.onDead(id);
}

} // namespace Parsleytrail
