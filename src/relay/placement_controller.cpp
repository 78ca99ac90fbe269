#include "relay/placement_controller.h"

#include "base/log.h"
#include "policy/placement.h"

#include <algorithm>
#include <map>
#include <set>

namespace Parsleytrail
{

constexpr milliseconds planInterval{200};       ///< how often the plan is computed
constexpr milliseconds orderTimeout{800};       ///< an engine answers an order immediately
constexpr milliseconds orderProbeInterval{300}; ///< how often an engine with a pending order is probed for progress
/// An order that was not carried out after this time is dropped: the longest delay with which a lost order may still take effect.
constexpr milliseconds orderLifetime{12000};
/// The list of engines must not have grown for this long before the initial placement: a plan for half of the engines would
/// split the model into too large layer ranges. Engines register within one heartbeat after their start.
constexpr milliseconds stableListTime{1500};
/// When an engine is replaced, the new one registers shortly before the old one leaves. The new one is kept free this long for the
/// layers of the old one: loading other layers first would double its loading time.
constexpr milliseconds newEngineReserveTime{3000};
/// Consecutive unanswered probes after which an engine's layers count as lost. A single one may be a broken connection.
constexpr int unansweredProbesUntilLost = 2;

/// A new leader probes all engines first and plans after this time. Orders of the previous leader may be pending: a plan that
/// ignores them would contradict them.
constexpr milliseconds takeoverPause{250};
/// Pause after an order that was refused or not answered: the engine's report is pending, and lags by some hundred milliseconds.
constexpr milliseconds refusedOrderPause{600};

/// An order that was sent and not yet seen to be carried out.
struct PendingOrder {
    LayerRange layers;    ///< layers that the engine is to hold
    TimePoint sentAt{};   ///< when it was sent
    TimePoint probedAt{}; ///< when the engine was last probed
};

struct PlacementController::Private {
    RelayContext &context;
    HttpClient &client;
    EngineProber &prober;
    std::function<bool()> maySendOrders;
    std::function<bool()> mayListBeIncomplete;
    std::set<ServiceName> stableServices{}; ///< services whose list of engines was complete once
    std::unique_ptr<Timer> tick{};
    std::map<TargetStart, PendingOrder> pending{};
    std::map<TargetStart, TimePoint> refusedAt{};      ///< when an engine last refused an order or did not answer it
    std::map<ServiceName, std::size_t> engineCounts{}; ///< number of engines at the last check
    std::map<ServiceName, TimePoint> lastGrownAt{};    ///< when the number of engines last grew
    TimePoint leadingSince{};                          ///< when this entry became the leader; zero: it is not
    TimePoint busyProbedAt{};                          ///< when engines that carry out orders of other entries were last probed

    void plan();
    void planService(const ServiceSpec &service, TimePoint now);
    bool isEngineListStable(const ServiceSpec &service, const std::vector<PlacedEngine> &engines, TimePoint now);
    std::vector<PlacedEngine> enginesOf(const ServiceSpec &service, TimePoint now);
    bool areMostEnginesReachable(const ServiceSpec &service) const;
    void updatePendingOrders(TimePoint now);
    void probeAllEngines();
    void probeBusyEngines();
    bool isPausingAfterRefusal(const Target &target, TimePoint now) const;
    void send(const PlacementOrder &order, TimePoint now);
    void handleResponse(const TargetStart &engine, const HttpResult &result);
};

PlacementController::PlacementController(RelayContext &context, HttpClient &client, EngineProber &prober, std::function<bool()> maySendOrders,
                                         std::function<bool()> mayListBeIncomplete)
    : d(new Private{context, client, prober, std::move(maySendOrders), std::move(mayListBeIncomplete)})
{
    d->tick = std::make_unique<Timer>(context.loop, [this] {
        d->plan();
    });
}

PlacementController::~PlacementController() = default;

void PlacementController::start()
{
    d->tick->startRepeating(planInterval);
}

void PlacementController::planNow()
{
    d->plan();
}

void PlacementController::Private::plan()
{
    if (!context.routes) {
        return;
    }
    const TimePoint now = context.clock.now();
    if (!maySendOrders()) {
        pending.clear();
        leadingSince = TimePoint();
        // The list of engines is checked for completeness without the lease too, so that a new leader need not wait.
        for (const auto &[name, service] : context.routes->services) {
            if (service.engine) {
                isEngineListStable(service, enginesOf(service, now), now);
            }
        }
        return;
    }
    if (leadingSince == TimePoint()) {
        leadingSince = now;
        probeAllEngines();
    }
    updatePendingOrders(now);
    for (const auto &[name, service] : context.routes->services) {
        if (service.engine) {
            planService(service, now);
        }
    }
}

/// Drops orders that were carried out or are too old, and probes the engines of the others.
void PlacementController::Private::updatePendingOrders(TimePoint now)
{
    std::erase_if(pending, [&](const auto &entry) {
        const Target *target = findStart(context.fleet, entry.first);
        return !target || target->registered.layers == entry.second.layers || now - entry.second.sentAt > orderLifetime;
    });
    std::erase_if(refusedAt, [&](const auto &entry) {
        return now - entry.second >= refusedOrderPause;
    });
    for (auto &[engine, order] : pending) {
        if (now - order.probedAt >= orderProbeInterval) {
            order.probedAt = now;
            prober.probe(engine.id);
        }
    }
    if (now - busyProbedAt >= orderProbeInterval) {
        busyProbedAt = now;
        probeBusyEngines();
    }
}

/// Probes all engines for their layers and for orders that they carry out.
void PlacementController::Private::probeAllEngines()
{
    for (auto &[id, target] : context.fleet.targets) {
        prober.probe(id);
    }
}

/// Probes engines that carry out orders of another entry.
void PlacementController::Private::probeBusyEngines()
{
    for (const auto &[id, target] : context.fleet.targets) {
        if (target.isExecutingOrder && !pending.contains(startOf(target))) {
            prober.probe(id);
        }
    }
}

/// Whether an engine counts as lost: it left two probes of this entry unanswered, or one while another entry avoids it too. To wait
/// for this entry's second unanswered probe takes half a second, in which all streams through the engine are stalled. Failed
/// requests are no evidence: responses of working engines get lost, and to give their layers to other engines breaks chains.
static bool isLost(const Target &target)
{
    return target.unansweredProbesInRow >= unansweredProbesUntilLost || (target.unansweredProbesInRow > 0 && target.peersAvoiding > 0);
}

/// Whether so few engines are lost that the fault is theirs. To an entry that is cut off all engines seem lost; its orders would
/// move the layers of working engines.
bool PlacementController::Private::areMostEnginesReachable(const ServiceSpec &service) const
{
    int engines = 0;
    int failed = 0;
    for (const auto &[id, target] : context.fleet.targets) {
        if (target.registered.service == service.name) {
            ++engines;
            failed += isLost(target) ? 1 : 0;
        }
    }
    constexpr int minEnginesPerFailure = 4; // at most a quarter: more than a rack, less than one of three data centres
    return failed * minEnginesPerFailure <= engines;
}

std::vector<PlacedEngine> PlacementController::Private::enginesOf(const ServiceSpec &service, TimePoint now)
{
    const bool trustsFailures = areMostEnginesReachable(service);
    std::vector<PlacedEngine> engines;
    for (const auto &[id, target] : context.fleet.targets) {
        if (target.registered.service != service.name) {
            continue;
        }
        PlacedEngine engine;
        engine.id = id;
        engine.dataCenter = target.registered.dataCenter;
        engine.kind = target.registered.accelerator;
        engine.layers = target.registered.layers;
        engine.isNew = !target.isRestart && now - target.registeredAt < newEngineReserveTime;
        engine.isUnreachable = trustsFailures && isLost(target);
        engine.isLeaving = isLeaving(target) || engine.isUnreachable;
        engine.hasPendingOrder = target.isExecutingOrder; // it executes an order of another leader, or one whose response was lost
        const auto order = pending.find(startOf(target));
        if (order != pending.end()) {
            engine.layers = order->second.layers;
            engine.hasPendingOrder = true;
        }
        engines.push_back(engine);
    }
    return engines;
}

/// Whether any engine holds or loads layers: the initial placement has begun.
static bool hasPlacedLayers(const std::vector<PlacedEngine> &engines)
{
    return std::any_of(engines.begin(), engines.end(), [](const PlacedEngine &engine) {
        return engine.layers.count() > 0;
    });
}

/// Whether the list of engines is complete: it once did not grow for stableListTime, and mayListBeIncomplete() is false. After a
/// start, and after an outage of the store, live engines may be missing in it; a plan without them would move layers that are placed
/// correctly.
bool PlacementController::Private::isEngineListStable(const ServiceSpec &service, const std::vector<PlacedEngine> &engines, TimePoint now)
{
    std::size_t &count = engineCounts[service.name];
    if (!stableServices.contains(service.name) && engines.size() > count) {
        lastGrownAt[service.name] = now;
    }
    count = engines.size();
    if (now - lastGrownAt[service.name] >= stableListTime) {
        stableServices.insert(service.name);
    }
    return stableServices.contains(service.name) && !mayListBeIncomplete();
}

void PlacementController::Private::planService(const ServiceSpec &service, TimePoint now)
{
    const std::vector<PlacedEngine> engines = enginesOf(service, now);
    const bool isTakingOver = hasPlacedLayers(engines) && now - leadingSince < takeoverPause;
    if (engines.empty() || !isEngineListStable(service, engines, now) || isTakingOver) {
        return;
    }
    for (const PlacementOrder &order : planPlacement(*service.engine, engines)) {
        const Target *target = findTarget(context.fleet, order.id);
        if (!target || !isUsable(*target, now) || pending.contains(startOf(*target)) || isPausingAfterRefusal(*target, now)) {
            continue;
        }
        // An order with a wrong count is refused, and the engine's layers stay uncovered for another interval.
        if (!target->hasReportedOrders && hasPlacedLayers(engines)) {
            prober.probe(order.id);
        } else {
            send(order, now);
        }
    }
}

bool PlacementController::Private::isPausingAfterRefusal(const Target &target, TimePoint now) const
{
    const auto refused = refusedAt.find(startOf(target));
    return refused != refusedAt.end() && now - refused->second < refusedOrderPause;
}

void PlacementController::Private::send(const PlacementOrder &order, TimePoint now)
{
    const Target &target = *findTarget(context.fleet, order.id);
    pending[startOf(target)] = {order.layers, now, now};
    ++context.metrics.orders;
    logEvent(Event::OrderSent, {{"target", order.id.value},
                                {"layers", std::to_string(order.layers.from) + "-" + std::to_string(order.layers.to)},
                                {"held", std::to_string(target.registered.layers.from) + "-" + std::to_string(target.registered.layers.to)},
                                {"orders", std::to_string(target.ordersAccepted)},
                                {"reason", order.reason}});
    HttpClientRequest request = context.adapter.placeRequest(order.id, {order.layers, target.ordersAccepted, order.dropsStreams});
    request.timeout = orderTimeout;
    client.fetch(target.registered.address, std::move(request), [this, engine = startOf(target)](const HttpResult &result) {
        handleResponse(engine, result);
    });
}

void PlacementController::Private::handleResponse(const TargetStart &engine, const HttpResult &result)
{
    const TargetId &id = engine.id;
    const std::string outcome = result.failure ? result.failure->error.text : std::to_string(result.status);
    logEvent(Event::OrderAnswered, {{"target", id.value}, {"outcome", outcome}, {"body", result.body.substr(0, 200)}});
    recordLeavingStatement(context, id, findHeader(result.headers, context.adapter.headers().targetLeaves));
    const auto order = pending.find(engine);
    if (order == pending.end()) {
        return;
    }
    if (!result.isOk()) {
        // Refused, or the outcome is unknown: the engine's report shows its layers, and the next plan starts from them.
        pending.erase(order);
        refusedAt[engine] = context.clock.now();
        prober.probe(id);
    }
}

} // namespace Parsleytrail
