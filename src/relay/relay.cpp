// Index: [SECTION] State, [SECTION] Requests, [SECTION] Readiness, [SECTION] Duty, [SECTION] Start and stop, [SECTION] Dump
#include "relay/relay.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/text.h"
#include "http/client.h"
#include "http/server.h"
#include "policy/duty.h"
#include "relay/caller_session.h"
#include "relay/engine_prober.h"
#include "relay/forwarded_request.h"
#include "relay/lease_keeper.h"
#include "relay/placement_duty.h"
#include "relay/registry.h"
#include "relay/relay_peers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace Parsleytrail
{

// [SECTION] State

/// After the stop signal connections are still taken for this long: the platform asks for readiness once a second and
/// takes this process out of rotation at the second miss.
constexpr milliseconds acceptAfterStop{2600};
/// Requests still open this long before the platform's kill are cut, so that the process ends by itself.
constexpr milliseconds stopMargin{350};
constexpr milliseconds drainTick{50};
/// When a process that knows no configuration yet, or can't tell whether it is the newest, is expected to. The first
/// answer of the store takes a fraction of a second, but callers come back once only, and may be early: a request that
/// was refused is late in any case.
constexpr milliseconds unknownRetryAfter{2000};
/// Callers whose process died come back to the new one within milliseconds, and once only; refused, they are lost, while it
/// reads its configuration in a fraction of a second. Their connections wait so long; callers abandon a request that is not
/// read for a second.
constexpr milliseconds startPatience{800};
constexpr milliseconds budgetTick{1000}; ///< how often this entry's parts of budgets are adapted

/// A stalled stream's engines are asked for this long after the threshold; later its first engine is asked what it waits for.
constexpr milliseconds suspectWindow{60};
/// A first engine answers an order to move a stream at once.
constexpr milliseconds moveTimeout{150};

struct Relay::Private {
    RelayContext context;
    HttpClient client;
    ForwardingHooks hooks;
    std::unique_ptr<Registry> registry{};
    std::unique_ptr<EngineProber> prober{};
    std::unique_ptr<LeaseKeeper> lease{};
    std::unique_ptr<PlacementDuty> placement{};
    std::unique_ptr<RelayPeers> peers{};
    std::unique_ptr<CallerSessions> sessions{};
    std::unique_ptr<Listener> listener{};
    std::unique_ptr<HttpServer> readinessServer{};
    std::unique_ptr<HttpServer> metricsServer{};
    std::unique_ptr<HttpServer> peerServer{};
    std::unique_ptr<Timer> tick{};
    std::unique_ptr<Timer> leaveTick{};
    std::unique_ptr<Timer> drainTimer{};
    std::unique_ptr<Timer> budgetTimer{};
    std::unique_ptr<Timer> startTimer{};      ///< until connections are accepted though the configuration is not known
    std::vector<ForwardingPtr> forwardings{}; ///< in the order in which they came, so that a run repeats
    std::function<void()> finished{};
    TimePoint drainStartedAt{};
    bool isDraining = false;
    bool wasReady = false;
    bool ordersWithoutStore = false;
    bool isPlanDue = false; ///< planSoon() was called

    void takeRequest(const CallerExchangePtr &exchange);
    void forward(ForwardedRequest request);
    void takeRoutes();
    void checkForwardings();
    void askSuspects(const std::vector<ForwardingPtr> &open, TimePoint now);
    void moveStream(const std::string &attemptId, const std::vector<ChainPart> &chain, std::function<void(bool)> done);
    void moveFrom(const TargetId &dead);
    bool isReady();
    void acceptIfComplete();
    bool mayOrder();
    bool isDutyDoneElsewhere() const;
    void planSoon();
    void checkDrain();
};

// [SECTION] Requests

constexpr milliseconds longestDeadline = std::chrono::hours(1); ///< for callers that name none

/// How long the caller waits, by its own word.
static milliseconds callerDeadline(const RelayContext &context, const HttpHead &head)
{
    std::int64_t callerMs = longestDeadline.count();
    parseNumber(head.find(context.dialect.headers().deadline), callerMs);
    return milliseconds(std::clamp<std::int64_t>(callerMs, 0, longestDeadline.count()));
}

static void refuseEarly(RelayContext &context, const CallerExchangePtr &exchange, int status, const std::string &id, std::string_view reason,
                        milliseconds retryAfter)
{
    ++context.metrics.refused;
    logEvent(Event::RequestRefused, {{"id", id},
                                     {"path", std::string(exchange->head().path())},
                                     {"reason", std::string(reason)},
                                     {"status", std::to_string(status)},
                                     {"configuration", context.routes ? std::to_string(context.routes->version.value) : "none"}});
    if (retryAfter > milliseconds(0)) {
        const milliseconds shorter = clampedRetryAfter(retryAfter, callerDeadline(context, exchange->head()));
        exchange->reply(status, {{"Retry-After", std::to_string(static_cast<double>(shorter.count()) / 1000)}}, reason);
    } else {
        exchange->reply(status, {}, reason);
    }
}

/// The key of an Authorization field with the platform's scheme; empty if there is none.
static std::string_view keyOf(const HttpHead &head, std::string_view scheme)
{
    const std::string_view value = head.find("Authorization");
    const bool hasScheme = value.size() > scheme.size() && equalsIgnoringCase(value.substr(0, scheme.size()), scheme) && value[scheme.size()] == ' ';
    return hasScheme ? trimmed(value.substr(scheme.size())) : std::string_view();
}

void Relay::Private::takeRequest(const CallerExchangePtr &exchange)
{
    ++context.metrics.requests;
    const HeaderNames &names = context.dialect.headers();
    const HttpHead &head = exchange->head();
    ForwardedRequest request;
    request.exchange = exchange;
    request.attemptId = std::string(head.find(names.attemptId));
    request.routes = context.routes;
    if (!request.routes) {
        return refuseEarly(context, exchange, 503, request.attemptId, "configuration not known yet", unknownRetryAfter);
    }
    const bool isSure = registry->isConfigurationFresh();
    request.route = findRoute(*request.routes, head.find("Host"), head.path());
    if (!request.route) {
        return isSure ? refuseEarly(context, exchange, 404, request.attemptId, "no route", {})
                      : refuseEarly(context, exchange, 503, request.attemptId, "no route in a configuration that may be old", unknownRetryAfter);
    }
    request.priority = request.route->priority;
    if (request.routes->requiresKeys && !request.route->isPublic) {
        const auto owner = request.routes->keyOwners.find(std::string(keyOf(head, names.authorizationScheme)));
        if (owner == request.routes->keyOwners.end()) {
            return isSure ? refuseEarly(context, exchange, 401, request.attemptId, "unknown key", {})
                          : refuseEarly(context, exchange, 503, request.attemptId, "unknown key in a configuration that may be old", unknownRetryAfter);
        }
        request.workspace = owner->second.workspace;
        request.priority = owner->second.priority.value_or(request.priority);
    }
    forward(std::move(request));
}

void Relay::Private::forward(ForwardedRequest request)
{
    std::uniform_real_distribution<double> draw(0, 1);
    request.service = pickService(*request.routes, *request.route, draw(context.random));
    if (!request.service) {
        return refuseEarly(context, request.exchange, 503, request.attemptId, "route without service", unknownRetryAfter);
    }
    const milliseconds timeout = request.route->timeout > milliseconds(0) ? request.route->timeout : longestDeadline;
    request.deadline = request.exchange->receivedAt() + std::min(timeout, callerDeadline(context, request.exchange->head()));
    noteRequest(context, request.service->name);
    const ForwardingPtr forwarding = makeForwarding(context, std::move(request), hooks);
    forwardings.push_back(forwarding);
    forwarding->begin();
}

void Relay::Private::checkForwardings()
{
    const TimePoint now = context.clock.now();
    const std::vector<ForwardingPtr> open = forwardings;
    for (const ForwardingPtr &forwarding : open) {
        forwarding->checkTimeouts(now);
    }
    std::erase_if(forwardings, [](const ForwardingPtr &forwarding) {
        return forwarding->isOver();
    });
    context.metrics.openRequests = static_cast<double>(forwardings.size());
    askSuspects(open, now);
}

/// Asks the engines that may be what a stalled stream waits for: those of its chain through which no other stream got on
/// since. Any of them that does not answer is dead.
void Relay::Private::askSuspects(const std::vector<ForwardingPtr> &open, TimePoint now)
{
    const milliseconds threshold = stallThreshold(context);
    std::vector<Forwarding *> stalled;
    for (const ForwardingPtr &forwarding : open) {
        const bool isStalled = !forwarding->isOver() && !forwarding->chain().empty() && now - forwarding->lastProgressAt() >= threshold;
        if (isStalled && now - forwarding->lastProgressAt() < threshold + suspectWindow) {
            stalled.push_back(forwarding.get());
        }
    }
    if (stalled.empty()) {
        return;
    }
    std::map<TargetId, TimePoint> passedAt;
    for (const ForwardingPtr &forwarding : open) {
        for (const ChainPart &part : forwarding->chain()) {
            TimePoint &at = passedAt[part.id];
            at = std::max(at, forwarding->lastProgressAt());
        }
    }
    for (const Forwarding *forwarding : stalled) {
        for (const ChainPart &part : forwarding->chain()) {
            if (now - passedAt[part.id] >= threshold) {
                prober->askSuspect(part.id);
            }
        }
    }
}

void Relay::Private::moveStream(const std::string &attemptId, const std::vector<ChainPart> &chain, std::function<void(bool)> done)
{
    ++context.metrics.orders;
    HttpClientRequest request = context.dialect.moveRequest(attemptId, chain);
    request.timeout = moveTimeout;
    client.fetch(chain.front().address, std::move(request), [done = std::move(done)](const HttpResult &result) {
        done(result.isOk());
    });
}

void Relay::Private::moveFrom(const TargetId &dead)
{
    for (const ForwardingPtr &forwarding : std::vector<ForwardingPtr>(forwardings)) {
        forwarding->handleFailedTarget(dead);
    }
}

void Relay::Private::takeRoutes()
{
    if (!context.routes) {
        return;
    }
    const CallerLimits &limits = context.routes->limits;
    // Callers reuse connections up to a part of the idle time; the rest is theirs to be late.
    constexpr milliseconds idleSlack{1000};
    sessions->setLimits({limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout + idleSlack});
}

// [SECTION] Readiness

bool Relay::Private::isReady()
{
    const bool isReadyNow = !isDraining && registry->isComplete();
    if (isReadyNow != wasReady) {
        wasReady = isReadyNow;
        const char *reason = isReadyNow ? "configuration and targets known" : isDraining ? "stopping" : "configuration or targets unknown";
        logEvent(Event::ReadinessChanged, {{"ready", isReadyNow ? "true" : "false"}, {"reason", reason}});
    }
    return isReadyNow;
}

void Relay::Private::acceptIfComplete()
{
    if (startTimer->isRunning() && registry->isComplete()) {
        startTimer->stop();
        listener->setAccepting(true);
    }
}

// [SECTION] Duty

/// Those of the others whose word counts: the first of them, and the first that gives orders.
static std::vector<DutyPeer> decidingPeers(const EntriesView &others)
{
    std::vector<DutyPeer> peers;
    const bool isStoreLost = !others.isStoreReached;
    if (!others.first.isEmpty()) {
        peers.push_back({others.first.value, isStoreLost, false, false});
    }
    if (!others.ordering.isEmpty()) {
        peers.push_back({others.ordering.value, isStoreLost, false, true});
    }
    return peers;
}

/// Whether this entry may order loads: by the lease, or by policy/duty.h while the store answers no entry.
bool Relay::Private::mayOrder()
{
    if (isDraining || lease->isHeld()) {
        return !isDraining;
    }
    DutyView view;
    view.self = context.settings.id;
    view.isStoreLost = registry->isStoreLost();
    view.storeLostFor = std::chrono::duration_cast<milliseconds>(context.clock.now() - registry->storeLostAt());
    view.heldLast = lease->wasHeldLast();
    view.isOrdering = ordersWithoutStore;
    view.peers = decidingPeers(peers->others().entries);
    const bool isAllowed = mayOrderWithoutLease(view);
    if (isAllowed != ordersWithoutStore) {
        ordersWithoutStore = isAllowed;
        logEvent(Event::DutyWithoutStore, {{"orders", isAllowed ? "true" : "false"}, {"peers", std::to_string(peers->others().entries.entries)}});
    }
    return isAllowed;
}

/// Whether another entry says that it gives orders. One that died is not heard any more after a second and a half.
bool Relay::Private::isDutyDoneElsewhere() const
{
    return peers && !peers->others().entries.ordering.isEmpty();
}

/// Plans once this turn of the loop is over: many engines often change together.
void Relay::Private::planSoon()
{
    if (std::exchange(isPlanDue, true)) {
        return;
    }
    context.loop.defer([this] {
        isPlanDue = false;
        if (placement) {
            placement->planNow();
        }
    });
}

// [SECTION] Start and stop

/// Whether the settings name another instance than this one.
static bool namesOthers(const RelaySettings &settings)
{
    return std::any_of(settings.seeds.begin(), settings.seeds.end(), [&](const std::string &seed) {
        return !seed.starts_with(settings.host + ":");
    });
}

Relay::Relay(EventLoop &loop, const Clock &clock, const Dialect &dialect, const RelaySettings &settings)
    : d(new Private{{loop, clock, dialect, settings, TargetConnectionPool(loop, clock)}, HttpClient(loop), {}})
{
    Private &data = *d;
    data.context.entryCount.startedAt = clock.now();
    data.context.entryCount.mayHavePeers = namesOthers(settings);
    data.context.random.seed(hash64(settings.id, incarnationNow(clock).value));
    data.sessions = std::make_unique<CallerSessions>(loop, clock, [&data](const CallerExchangePtr &exchange) {
        data.takeRequest(exchange);
    });
    data.listener = std::make_unique<Listener>(loop, [&data](int socket) {
        data.sessions->add(socket);
    });
    data.tick = std::make_unique<Timer>(loop, [&data] {
        data.checkForwardings();
    });
    data.leaveTick = std::make_unique<Timer>(loop, [&data] {
        for (const ForwardingPtr &forwarding : std::vector<ForwardingPtr>(data.forwardings)) {
            forwarding->moveOffLeavingEngines();
        }
    });
    data.drainTimer = std::make_unique<Timer>(loop, [&data] {
        data.checkDrain();
    });
    data.startTimer = std::make_unique<Timer>(loop, [&data] {
        data.listener->setAccepting(true);
    });
    data.budgetTimer = std::make_unique<Timer>(loop, [&data] {
        updateBudgetParts(data.context);
    });
    EngineProber::Handlers onProbe;
    onProbe.onDead = [&data](const TargetId &id) {
        data.moveFrom(id);
        data.planSoon();
    };
    onProbe.onReport = [&data] {
        data.planSoon();
    };
    data.prober = std::make_unique<EngineProber>(data.context, data.client, std::move(onProbe));
    data.hooks.moveStream = [&data](const std::string &attemptId, const std::vector<ChainPart> &chain, std::function<void(bool)> done) {
        data.moveStream(attemptId, chain, std::move(done));
    };
    data.hooks.requestEngineReport = [&data](const TargetId &first) {
        data.prober->ask(first);
    };
}

Relay::~Relay()
{
    for (const ForwardingPtr &forwarding : d->forwardings) {
        forwarding->abandon();
    }
}

Result<void> Relay::start()
{
    Private &data = *d;
    const RelaySettings &settings = data.context.settings;
    BOOST_LEAF_AUTO(store, parseAddress(settings.store));
    BOOST_LEAF_AUTO(callerAddress, parseAddress(settings.callerAddress));
    BOOST_LEAF_AUTO(readinessAddress, parseAddress(settings.readinessAddress));
    data.readinessServer = std::make_unique<HttpServer>(data.context.loop, HttpLimits(), [&data](const ExchangePtr &exchange) {
        const bool isKnown = exchange->request().path == data.context.dialect.readinessPath();
        exchange->reply(isKnown ? (data.isReady() ? 200 : 503) : 404, {}, {});
    });
    BOOST_LEAF_CHECK(data.readinessServer->listen(readinessAddress));
    data.metricsServer = std::make_unique<HttpServer>(data.context.loop, HttpLimits(), [this, &data](const ExchangePtr &exchange) {
        if (exchange->request().path == "/metrics") {
            return exchange->reply(200, {{"Content-Type", "application/openmetrics-text; version=1.0.0"}}, data.context.metrics.all.openMetricsText());
        }
        if (exchange->request().path == "/state") {
            return exchange->reply(200, {{"Content-Type", "application/json"}}, dumpState());
        }
        exchange->reply(404, {}, {});
    });
    BOOST_LEAF_CHECK(data.metricsServer->listen({settings.host, static_cast<std::uint16_t>(settings.metricsPort)}));
    data.peerServer = std::make_unique<HttpServer>(data.context.loop, HttpLimits(), [&data](const ExchangePtr &exchange) {
        const bool isTable = exchange->request().path == "/peer/table";
        const std::string copy = isTable ? data.registry->copyTable(exchange->request().body) : std::string();
        exchange->reply(isTable ? 200 : 404, {{"Content-Type", "application/octet-stream"}}, copy);
    });
    BOOST_LEAF_CHECK(data.peerServer->listen({settings.host, static_cast<std::uint16_t>(settings.peerPort)}));
    BOOST_LEAF_CHECK(data.listener->listen(callerAddress));
    data.listener->setAccepting(false);
    data.startTimer->start(startPatience);
    Registry::Handlers handlers;
    handlers.onRoutes = [&data] {
        data.takeRoutes();
        data.acceptIfComplete();
    };
    handlers.onTargets = [&data] {
        data.acceptIfComplete();
        data.planSoon();
    };
    data.registry = std::make_unique<Registry>(data.context, data.client, store, std::move(handlers));
    LeaseKeeper::Handlers onLease;
    onLease.isHeldElsewhere = [&data] {
        return data.isDutyDoneElsewhere();
    };
    onLease.onHolder = [&data](const std::string &host) {
        data.peers->noteHost(host);
    };
    data.lease = std::make_unique<LeaseKeeper>(data.context, data.client, store, "placement", std::move(onLease));
    data.placement = std::make_unique<PlacementDuty>(
        data.context, data.client, *data.prober,
        [&data] {
            return data.mayOrder();
        },
        [&data] {
            return data.registry->mayListBeShort();
        });
    RelayPeers::Handlers onPeers;
    onPeers.describe = [&data](EntryState &state) {
        data.registry->describe(state);
        state.isDraining = data.isDraining;
        state.isOrdering = data.lease->isHeld() || data.ordersWithoutStore;
    };
    onPeers.onOthers = [&data](const OthersView &others) {
        data.registry->noteOthers(others);
    };
    data.peers = std::make_unique<RelayPeers>(data.context, std::move(onPeers));
    BOOST_LEAF_CHECK(data.peers->start());
    data.registry->start();
    data.lease->start();
    data.prober->start();
    data.placement->start();
    data.tick->startRepeating(forwardingCheckInterval);
    data.leaveTick->startRepeating(leavingEngineCheckInterval);
    data.budgetTimer->startRepeating(budgetTick);
    logEvent(Event::ProcessStarted,
             {{"id", settings.id}, {"callers", settings.callerAddress}, {"data_center", settings.dataCenter}, {"version", PARSLEYTRAIL_VERSION}});
    return {};
}

void Relay::drain(std::function<void()> finished)
{
    Private &data = *d;
    if (data.isDraining) {
        return;
    }
    logEvent(Event::DrainStarted, {{"open", std::to_string(data.sessions->openExchanges())}});
    data.isDraining = true;
    data.finished = std::move(finished);
    data.drainStartedAt = data.context.clock.now();
    data.lease->release();
    data.sessions->beginDrain();
    data.drainTimer->startRepeating(drainTick);
}

void Relay::Private::checkDrain()
{
    const auto since = context.clock.now() - drainStartedAt;
    if (since < acceptAfterStop) {
        return;
    }
    listener->close();
    sessions->closeIdle();
    const bool isTimeUp = since > context.settings.stopTimeout - stopMargin;
    if (sessions->openExchanges() > 0 && !isTimeUp) {
        return;
    }
    if (isTimeUp && sessions->openExchanges() > 0) {
        logEvent(Event::DrainTimeout, {{"open", std::to_string(sessions->openExchanges())}});
    }
    drainTimer->stop();
    const auto onFinished = std::exchange(finished, nullptr);
    if (onFinished) {
        onFinished();
    }
}

std::uint16_t Relay::callerPort() const
{
    return d->listener->port();
}

bool Relay::isReady() const
{
    return d->isReady();
}

// [SECTION] Dump

std::string Relay::dumpState() const
{
    const RelayContext &context = d->context;
    const TimePoint now = context.clock.now();
    nlohmann::json state;
    state["id"] = context.settings.id;
    state["dataCenter"] = context.settings.dataCenter;
    state["configurationVersion"] = context.routes ? context.routes->version.value : 0;
    state["isConfigurationFresh"] = d->registry->isConfigurationFresh();
    state["holdsPlacementLease"] = d->lease->isHeld();
    state["openRequests"] = d->forwardings.size();
    state["peersHeard"] = d->peers->others().entries.entries;
    state["aggregator"] = d->peers->others().aggregator;
    state["followsAggregator"] = d->peers->others().isFollowed;
    state["callerConnections"] = d->sessions->count();
    for (const auto &[id, target] : context.fleet.targets) {
        state["targets"][id.value] = {{"service", target.listed.service.value}, {"address", target.listed.address.toString()},
                                      {"dataCenter", target.listed.dataCenter}, {"layers", {target.listed.layers.from, target.listed.layers.to}},
                                      {"isDraining", target.listed.isDraining}, {"isUsable", isUsable(target, now)},
                                      {"failuresInRow", target.failuresInRow},  {"openRequests", target.openRequests},
                                      {"kvTokenLayers", target.kvTokenLayers}};
    }
    return state.dump(2);
}

} // namespace Parsleytrail
