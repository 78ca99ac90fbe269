#include "relay/placement_duty.h"

#include "base/log.h"
#include "policy/placement.h"

#include <algorithm>
#include <map>
#include <set>

namespace Parsleytrail
{

constexpr milliseconds planTick{200};     ///< how often the plan is made anew
constexpr milliseconds orderTimeout{800}; ///< an engine answers an order at once
constexpr milliseconds orderPoll{300};    ///< how often an engine under order is asked how far it is
/// An order not carried out after this time is forgotten: the longest that a lost order may come late.
constexpr milliseconds orderLifetime{12000};
/// Before the first plan the list of engines must not have grown for this long: a plan for half of them would cut the
/// model into pieces too large. Engines register within a heartbeat of their start.
constexpr milliseconds settleTime{1500};
/// When engines are replaced, the new one comes first and the old one leaves a moment later: the new one is kept free for
/// its layers this long, as loading other layers first would take as long again.
constexpr milliseconds newcomerTime{3000};
/// Unanswered questions in a row after which an engine's layers count as lost: one may be a connection.
constexpr int silencesUntilLost = 2;

/// Refusals in a row after which an engine counts as leaving: it drains and the store can't say so, or it is full for
/// longer than streams take to end. Others that add its layers help in both cases.
constexpr int refusalsUntilLeaving = 3;
/// A new holder of the duty asks all engines first and plans after this time. Orders of the holder before may be under way:
/// a plan without them sends others that contradict them.
constexpr milliseconds takeoverPause{250};
/// After an order that was not taken: the engine's report is on its way, and lags by some hundred milliseconds.
constexpr milliseconds refusalPause{600};

/// An order on its way.
struct PendingOrder {
    LayerRange layers;    ///< ordered
    TimePoint sentAt{};   ///< when
    TimePoint polledAt{}; ///< when the engine was last asked
};

struct PlacementDuty::Private {
    RelayContext &context;
    HttpClient &client;
    EngineProber &prober;
    std::function<bool()> isHeld;
    std::function<bool()> mayListBeShort;
    std::set<ServiceName> settled{}; ///< services whose list of engines was whole once
    std::unique_ptr<Timer> tick{};
    std::map<TargetId, PendingOrder> pending{};
    std::map<TargetId, TimePoint> refusedAt{};         ///< engines whose last order was not taken
    std::map<ServiceName, std::size_t> engineCounts{}; ///< when last looked at
    std::map<ServiceName, TimePoint> grownAt{};        ///< when the count last changed
    TimePoint heldSince{};                             ///< when this entry took the duty; zero: it does not hold it
    TimePoint busyPolledAt{};                          ///< when engines under others' orders were last asked

    void plan();
    void planService(const ServiceSpec &service, TimePoint now);
    bool isSettled(const ServiceSpec &service, const std::vector<PlacedEngine> &engines, TimePoint now);
    std::vector<PlacedEngine> enginesOf(const ServiceSpec &service, TimePoint now);
    bool seesMostEngines(const ServiceSpec &service) const;
    void followOrders(TimePoint now);
    void askAll();
    void askBusy();
    void send(const PlacementOrder &order, TimePoint now);
    void takeAnswer(const TargetId &id, const HttpResult &result);
};

PlacementDuty::PlacementDuty(RelayContext &context, HttpClient &client, EngineProber &prober, std::function<bool()> isHeld,
                             std::function<bool()> mayListBeShort)
    : d(new Private{context, client, prober, std::move(isHeld), std::move(mayListBeShort)})
{
    d->tick = std::make_unique<Timer>(context.loop, [this] {
        d->plan();
    });
}

PlacementDuty::~PlacementDuty() = default;

void PlacementDuty::start()
{
    d->tick->startRepeating(planTick);
}

void PlacementDuty::planNow()
{
    d->plan();
}

void PlacementDuty::Private::plan()
{
    if (!context.routes) {
        return;
    }
    const TimePoint now = context.clock.now();
    if (!isHeld()) {
        pending.clear();
        heldSince = TimePoint();
        // Whether the list is whole is followed all the time, so that a new holder need not wait.
        for (const auto &[name, service] : context.routes->services) {
            if (service.engine) {
                isSettled(service, enginesOf(service, now), now);
            }
        }
        return;
    }
    if (heldSince == TimePoint()) {
        heldSince = now;
        askAll();
    }
    followOrders(now);
    for (const auto &[name, service] : context.routes->services) {
        if (service.engine) {
            planService(service, now);
        }
    }
}

/// Drops orders that were carried out or are too old, and asks after the others.
void PlacementDuty::Private::followOrders(TimePoint now)
{
    std::erase_if(pending, [&](const auto &entry) {
        const Target *target = findTarget(context.fleet, entry.first);
        return !target || target->registered.layers == entry.second.layers || now - entry.second.sentAt > orderLifetime;
    });
    for (auto &[id, order] : pending) {
        if (now - order.polledAt >= orderPoll) {
            order.polledAt = now;
            prober.ask(id);
        }
    }
    if (now - busyPolledAt >= orderPoll) {
        busyPolledAt = now;
        askBusy();
    }
}

/// Asks all engines of models what they hold and whether they carry out an order.
void PlacementDuty::Private::askAll()
{
    for (auto &[id, target] : context.fleet.targets) {
        prober.ask(id);
    }
}

/// Asks engines that carry out orders of somebody else whether they are done.
void PlacementDuty::Private::askBusy()
{
    for (const auto &[id, target] : context.fleet.targets) {
        if (target.isExecutingOrder && !pending.contains(id)) {
            prober.ask(id);
        }
    }
}

/// Whether an engine does not answer questions: of this entry twice, or of this entry while another finds it failing too.
/// Waiting for the second silence here alone takes half a second, in which all streams through the engine stand still.
/// Requests that fail say nothing: answers are lost at engines that work, and giving their layers to others breaks chains.
static bool isLost(const Target &target)
{
    return target.probeTimeoutsInRow >= silencesUntilLost || (target.probeTimeoutsInRow > 0 && target.peersAvoiding > 0);
}

/// Whether few enough engines fail that the fault is theirs. An entry that is cut off sees all of them fail; its orders
/// would move the layers of engines that work.
bool PlacementDuty::Private::seesMostEngines(const ServiceSpec &service) const
{
    int engines = 0;
    int failed = 0;
    for (const auto &[id, target] : context.fleet.targets) {
        if (target.registered.service == service.name) {
            ++engines;
            failed += isLost(target) ? 1 : 0;
        }
    }
    constexpr int mostFailedPart = 4; // a quarter: more than a rack, less than a data centre of three
    return failed * mostFailedPart <= engines;
}

std::vector<PlacedEngine> PlacementDuty::Private::enginesOf(const ServiceSpec &service, TimePoint now)
{
    const bool trustsFailures = seesMostEngines(service);
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
        engine.isNew = !target.isRestart && now - target.registeredAt < newcomerTime;
        engine.isUnreachable = trustsFailures && isLost(target);
        engine.isLeaving = target.registered.isDraining || engine.isUnreachable || target.refusalsInRow >= refusalsUntilLeaving;
        engine.hasPendingOrder = target.isExecutingOrder; // by an order of another holder of the duty, or one whose answer was lost
        const auto order = pending.find(id);
        if (order != pending.end()) {
            engine.layers = order->second.layers;
            engine.hasPendingOrder = true;
        }
        engines.push_back(engine);
    }
    return engines;
}

/// Whether any engine holds or loads layers: the system is past its first plan.
static bool isStarted(const std::vector<PlacedEngine> &engines)
{
    return std::any_of(engines.begin(), engines.end(), [](const PlacedEngine &engine) {
        return engine.layers.count() > 0;
    });
}

/// Whether the list of engines is whole: it has not grown for a while. After a start, and after the store was away, the
/// list may lack engines that live; a plan without them would move layers that are where they belong.
bool PlacementDuty::Private::isSettled(const ServiceSpec &service, const std::vector<PlacedEngine> &engines, TimePoint now)
{
    std::size_t &count = engineCounts[service.name];
    if (!settled.contains(service.name) && engines.size() > count) {
        grownAt[service.name] = now;
    }
    count = engines.size();
    if (now - grownAt[service.name] >= settleTime) {
        settled.insert(service.name);
    }
    return settled.contains(service.name) && !mayListBeShort();
}

void PlacementDuty::Private::planService(const ServiceSpec &service, TimePoint now)
{
    const std::vector<PlacedEngine> engines = enginesOf(service, now);
    const bool isTakingOver = isStarted(engines) && now - heldSince < takeoverPause;
    if (engines.empty() || !isSettled(service, engines, now) || isTakingOver) {
        return;
    }
    for (const PlacementOrder &order : planPlacement(*service.engine, engines)) {
        const bool isOrdered = pending.contains(order.id);
        const Target *target = findTarget(context.fleet, order.id);
        const bool isPausing = refusedAt.contains(order.id) && now - refusedAt[order.id] < refusalPause;
        if (isOrdered || isPausing || !target || !isUsable(*target, now)) {
            continue;
        }
        // An order that names a wrong count is refused, and the engine's layers stay missing for another round.
        if (!target->hasReportedOrders && isStarted(engines)) {
            prober.ask(order.id);
        } else {
            send(order, now);
        }
    }
}

void PlacementDuty::Private::send(const PlacementOrder &order, TimePoint now)
{
    const Target &target = *findTarget(context.fleet, order.id);
    pending[order.id] = {order.layers, now, now};
    ++context.metrics.orders;
    logEvent(Event::OrderSent, {{"target", order.id.value},
                                {"layers", std::to_string(order.layers.from) + "-" + std::to_string(order.layers.to)},
                                {"held", std::to_string(target.registered.layers.from) + "-" + std::to_string(target.registered.layers.to)},
                                {"orders", std::to_string(target.ordersAccepted)},
                                {"reason", order.reason}});
    HttpClientRequest request = context.dialect.placeRequest({order.layers, target.ordersAccepted, order.dropsStreams});
    request.timeout = orderTimeout;
    client.fetch(target.registered.address, std::move(request), [this, id = order.id](const HttpResult &result) {
        takeAnswer(id, result);
    });
}

void PlacementDuty::Private::takeAnswer(const TargetId &id, const HttpResult &result)
{
    const std::string outcome = result.failure ? result.failure->error.text : std::to_string(result.status);
    logEvent(Event::OrderAnswered, {{"target", id.value}, {"outcome", outcome}, {"body", result.body.substr(0, 200)}});
    const auto order = pending.find(id);
    if (order == pending.end()) {
        return;
    }
    if (!result.isOk()) {
        // Refused, or nobody knows: the engine tells what it holds, and the next plan starts from there.
        pending.erase(order);
        refusedAt[id] = context.clock.now();
        prober.ask(id);
    }
}

} // namespace Parsleytrail
