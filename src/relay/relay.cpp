// Index: [SECTION] State, [SECTION] Requests, [SECTION] Readiness, [SECTION] Leadership, [SECTION] Start and stop, [SECTION] Dump
#include "relay/relay.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/text.h"
#include "http/client.h"
#include "http/server.h"
#include "policy/fallback_leader.h"
#include "relay/caller_admission.h"
#include "relay/caller_session.h"
#include "relay/crash_guard.h"
#include "relay/data_center_search.h"
#include "relay/engine_prober.h"
#include "relay/explain.h"
#include "relay/forwarded_request.h"
#include "relay/lease_manager.h"
#include "relay/placement_controller.h"
#include "relay/registry.h"
#include "relay/relay_peers.h"
#include "relay/request_inputs.h"
#include "relay/stream_queue.h"
#include "relay/stream_recovery.h"
#include "relay/workspace_reports.h"
#include "wire/compression.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace Parsleytrail
{

// [SECTION] State

/// After the stop signal connections are still accepted for this long: the platform queries readiness once a second and removes
/// this process from rotation at the second failure.
constexpr milliseconds acceptTimeAfterStop{2600};
/// Requests that are still open this long before the platform kills the process are cut, so that it ends by itself.
constexpr milliseconds stopMargin{350};
constexpr milliseconds drainCheckInterval{50};
/// Requests that have no response by then get a failure this long before the others are cut, so that it reaches their callers.
constexpr milliseconds failureSendTime{200};
/// Time after which a process without a configuration, or with one that may be outdated, is expected to have the current one. The
/// store's first response takes a fraction of a second, but callers retry only once, and may do so early: a request that was
/// refused is late in any case.
constexpr milliseconds unknownRetryAfter{2000};
/// Callers of a process that died connect to its successor within milliseconds, and only once. A request that is refused then is
/// lost, although the successor reads its configuration in a fraction of a second. So new connections wait up to this long for the
/// configuration and the targets; callers abandon a request that is not read for a second.
constexpr milliseconds maxStartupAcceptDelay{800};
constexpr milliseconds budgetUpdateInterval{1000}; ///< how often this entry's shares of budgets are adapted

/// The first engine of a chain answers an order to move a stream immediately.
constexpr milliseconds moveTimeout{150};

struct Relay::Private {
    RelayContext context;
    HttpClient client;
    ForwardingHooks hooks;
    std::unique_ptr<StreamQueue> streamQueue{};
    std::unique_ptr<Registry> registry{};
    std::unique_ptr<EngineProber> prober{};
    std::unique_ptr<CrashGuard> crashGuard{};
    std::unique_ptr<LeaseManager> lease{};
    std::unique_ptr<PlacementController> placement{};
    std::unique_ptr<RelayPeers> peers{};
    std::unique_ptr<CallerSessions> sessions{};
    std::unique_ptr<CallerAdmission> admission{};
    std::unique_ptr<Listener> listener{};
    std::unique_ptr<HttpServer> readinessServer{};
    std::unique_ptr<HttpServer> metricsServer{};
    std::unique_ptr<HttpServer> peerServer{};
    std::unique_ptr<RecoveryQueue> recoveryQueue{};
    std::unique_ptr<Timer> forwardingTimer{};
    std::unique_ptr<Timer> leaveTimer{};
    std::unique_ptr<Timer> drainTimer{};
    std::unique_ptr<Timer> budgetTimer{};
    std::unique_ptr<Timer> startTimer{};      ///< when it expires, connections are accepted even without a configuration
    std::vector<ForwardingPtr> forwardings{}; ///< in order of arrival, so that a run can be reproduced
    std::function<void()> finished{};
    TimePoint drainStartedAt{};
    TimePoint leaderReportedAt{}; ///< when another entry was last reported to send orders, or the start
    bool isDraining = false;
    bool wasReady = false;
    bool isFallbackLeader = false; ///< this entry sends orders without the lease, while the store is unreachable
    bool isPlanScheduled = false;  ///< schedulePlan() was called, and the plan has not been computed yet

    void handleRequest(const CallerExchangePtr &exchange);
    void forward(ForwardedRequest request);
    void refuseQuarantined(const ForwardedRequest &request, std::uint64_t input);
    void checkForwardings();
    void probeSuspects(const std::vector<ForwardingPtr> &open, TimePoint now);
    void moveStream(const std::string &attemptId, const std::vector<ChainStage> &chain, std::function<void(bool)> done);
    void moveStreamsFrom(const TargetId &unresponsive);
    bool isReady();
    void acceptIfComplete();
    bool maySendOrders();
    bool shouldSeekLease();
    void schedulePlan();
    void answerPeer(const ExchangePtr &exchange) const;
    void explain(const ExchangePtr &exchange) const;
    void checkDrain();
    HttpLimits serverLimits() const;
};

// [SECTION] Requests

constexpr milliseconds maxDeadline = std::chrono::hours(1); ///< for callers that set no deadline

/// How long the caller waits, from its deadline header field.
static milliseconds callerDeadline(const RelayContext &context, const HttpHead &head)
{
    std::int64_t callerMs = maxDeadline.count();
    parseNumber(head.find(context.adapter.headers().deadline), callerMs);
    return milliseconds(std::clamp<std::int64_t>(callerMs, 0, maxDeadline.count()));
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

/// API key from an Authorization field with the platform's scheme; empty if there is none.
static std::string_view apiKeyOf(const HttpHead &head, std::string_view scheme)
{
    const std::string_view value = head.find("Authorization");
    const bool hasScheme = value.size() > scheme.size() && equalsIgnoringCase(value.substr(0, scheme.size()), scheme) && value[scheme.size()] == ' ';
    return hasScheme ? trimmed(value.substr(scheme.size())) : std::string_view();
}

void Relay::Private::handleRequest(const CallerExchangePtr &exchange)
{
    ++context.metrics.requests;
    const HeaderNames &names = context.adapter.headers();
    const HttpHead &head = exchange->head();
    ForwardedRequest request;
    request.exchange = exchange;
    request.attemptId = std::string(head.find(names.attemptId));
    request.routes = context.routes;
    if (!request.routes) {
        return refuseEarly(context, exchange, 503, request.attemptId, "configuration not known yet", unknownRetryAfter);
    }
    const bool isCurrent = registry->isConfigurationFresh();
    request.route = findRoute(*request.routes, head.find("Host"), head.path());
    if (!request.route) {
        return isCurrent ? refuseEarly(context, exchange, 404, request.attemptId, "no route", {})
                         : refuseEarly(context, exchange, 503, request.attemptId, "no route in a configuration that may be old", unknownRetryAfter);
    }
    request.priority = requestPriority(*request.routes, *request.route, {});
    if (request.routes->requiresKeys && !request.route->isPublic) {
        const auto owner = request.routes->keyOwners.find(std::string(apiKeyOf(head, names.authorizationScheme)));
        if (owner == request.routes->keyOwners.end()) {
            return isCurrent ? refuseEarly(context, exchange, 401, request.attemptId, "unknown key", {})
                             : refuseEarly(context, exchange, 503, request.attemptId, "unknown key in a configuration that may be old", unknownRetryAfter);
        }
        request.workspace = owner->second.workspace;
        request.priority = requestPriority(*request.routes, *request.route, owner->second.priority);
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
    const milliseconds timeout = request.route->timeout > milliseconds(0) ? request.route->timeout : maxDeadline;
    request.deadline = request.exchange->receivedAt() + std::min(timeout, callerDeadline(context, request.exchange->head()));
    recordRequest(context, request.service->name);
    if (const auto input = findQuarantinedInput(context, request)) {
        return refuseQuarantined(request, *input);
    }
    const ForwardingPtr forwarding = makeForwarding(context, std::move(request), hooks);
    forwardings.push_back(forwarding);
    forwarding->begin();
}

/// Refuses a request for an input that crashes targets.
void Relay::Private::refuseQuarantined(const ForwardedRequest &request, std::uint64_t input)
{
    ++context.metrics.quarantined;
    const std::string_view reason = isPart(input) ? "a part of the prompt crashes its targets" : "the request crashes its targets";
    Refusal refusal{reason, quarantineTimeLeft(context.crashingRequests, input, context.clock.now()), fingerprintText(input)};
    refusal.isLasting = true;
    refuseRequest(context, request, refusal, 0);
}

void Relay::Private::checkForwardings()
{
    const TimePoint now = context.clock.now();
    admission->check(now);
    streamQueue->check(now);
    const std::vector<ForwardingPtr> open = forwardings;
    for (const ForwardingPtr &forwarding : open) {
        forwarding->checkTimeouts(now);
    }
    std::erase_if(forwardings, [](const ForwardingPtr &forwarding) {
        return forwarding->isOver();
    });
    context.metrics.openRequests = static_cast<double>(forwardings.size());
    probeSuspects(open, now);
}

/// Probes the engines that silent streams may wait for. An engine that does not answer counts as unresponsive.
void Relay::Private::probeSuspects(const std::vector<ForwardingPtr> &open, TimePoint now)
{
    std::vector<StreamActivity> streams;
    for (const ForwardingPtr &forwarding : open) {
        const StreamActivity activity = forwarding->activity();
        if (activity.chain) {
            streams.push_back(activity);
        }
    }
    for (const TargetId &suspect : findSuspects(streams, context.averageEventGapMs, now)) {
        prober->probeSuspect(suspect);
    }
}

void Relay::Private::moveStream(const std::string &attemptId, const std::vector<ChainStage> &chain, std::function<void(bool)> done)
{
    ++context.metrics.orders;
    HttpClientRequest request = context.adapter.moveRequest(attemptId, chain);
    request.timeout = moveTimeout;
    client.fetch(chain.front().address, std::move(request), [this, id = chain.front().id, done = std::move(done)](const HttpResult &result) {
        recordLeavingStatement(context, id, findHeader(result.headers, context.adapter.headers().targetLeaves));
        done(result.isOk());
    });
}

void Relay::Private::moveStreamsFrom(const TargetId &unresponsive)
{
    for (const ForwardingPtr &forwarding : orderedStreamsOf(context, forwardings, unresponsive)) {
        forwarding->handleFailedTarget(unresponsive);
    }
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

// [SECTION] Leadership

/// The other entries that mayOrderWithoutLease() has to consider: the one with the lowest id among those that are not stopping, and
/// the one with the lowest id among those that send orders.
static std::vector<FallbackLeaderPeer> leadershipCandidates(const EntriesView &others)
{
    std::vector<FallbackLeaderPeer> peers;
    const bool isStoreLost = !others.isStoreReached;
    if (!others.first.isEmpty()) {
        peers.push_back({others.first.value, isStoreLost, false, false});
    }
    if (!others.ordering.isEmpty()) {
        peers.push_back({others.ordering.value, isStoreLost, false, true});
    }
    return peers;
}

/// Whether this entry may send placement orders: with the lease, or by mayOrderWithoutLease() while no entry reaches the store.
bool Relay::Private::maySendOrders()
{
    if (isDraining || lease->isHeld()) {
        return !isDraining;
    }
    FallbackLeaderView view;
    view.self = context.settings.id;
    view.isStoreLost = registry->isStoreLost();
    view.storeLostFor = std::chrono::duration_cast<milliseconds>(context.clock.now() - registry->storeLostAt());
    view.wasLastLeaseHolder = lease->wasHeldAtLastResponse();
    view.isOrdering = isFallbackLeader;
    view.peers = leadershipCandidates(peers->others().entries);
    const bool isAllowed = mayOrderWithoutLease(view);
    if (isAllowed != isFallbackLeader) {
        isFallbackLeader = isAllowed;
        logEvent(Event::DutyWithoutStore, {{"orders", isAllowed ? "true" : "false"}, {"peers", std::to_string(peers->others().entries.entries)}});
    }
    return isAllowed;
}

/// Whether this entry should seek the lease. Reports of an entry that died expire after 1500 ms (exchangeTimeout), those of the
/// aggregator of another group somewhat later if there are many groups.
bool Relay::Private::shouldSeekLease()
{
    const PeersView &others = peers->others();
    const TimePoint now = context.clock.now();
    LeaseCandidacy candidacy;
    candidacy.isJoining = others.isJoining;
    candidacy.isAggregator = others.aggregator.empty();
    candidacy.isLeaderReported = !others.entries.ordering.isEmpty();
    leaderReportedAt = candidacy.isLeaderReported ? now : leaderReportedAt;
    candidacy.leaderMissingFor = std::chrono::duration_cast<milliseconds>(now - leaderReportedAt);
    return Parsleytrail::shouldSeekLease(candidacy);
}

/// Schedules one plan after the current iteration of the event loop: many engines often change together.
void Relay::Private::schedulePlan()
{
    if (std::exchange(isPlanScheduled, true)) {
        return;
    }
    context.loop.defer([this] {
        isPlanScheduled = false;
        if (placement) {
            placement->planNow();
        }
    });
}

/// Answers another relay's request for a table.
void Relay::Private::answerPeer(const ExchangePtr &exchange) const
{
    if (exchange->request().path != "/peer/table") {
        return exchange->reply(404, {}, {});
    }
    const bool isCompressed = findHeader(exchange->request().headers, "Accept-Encoding") == zstdCoding;
    HttpHeaders headers = {{"Content-Type", "application/octet-stream"}};
    if (isCompressed) {
        headers.push_back({"Content-Encoding", zstdCoding});
    }
    exchange->reply(200, headers, registry->copyTable(exchange->request().body, isCompressed));
}

/// Limits of the ports that are not for callers.
HttpLimits Relay::Private::serverLimits() const
{
    HttpLimits limits;
    limits.maxConnections = maxOtherConnections;
    limits.memoryGuard = context.memoryGuard.get();
    return limits;
}

/// Answers a request to the metrics port for an explanation.
void Relay::Private::explain(const ExchangePtr &exchange) const
{
    RelayCondition condition;
    condition.isDraining = isDraining;
    condition.isConfigurationFresh = registry->isConfigurationFresh();
    condition.openRequests = static_cast<int>(forwardings.size());
    condition.openRequestsLimit = static_cast<int>(admission->overload().openLimit);
    const Explanation explanation = explainRequest(context, condition, exchange->request().query);
    exchange->reply(explanation.status, {{"Content-Type", "application/json"}}, explanation.body);
}

// [SECTION] Start and stop

/// Whether the settings name a seed other than this process.
static bool hasOtherSeeds(const RelaySettings &settings)
{
    return std::any_of(settings.seeds.begin(), settings.seeds.end(), [&](const std::string &seed) {
        return !seed.starts_with(settings.host + ":");
    });
}

/// Builds the account of memory first, which the connections are charged to.
static RelayContext makeRelayContext(EventLoop &loop, const Clock &clock, const PlatformAdapter &adapter, const RelaySettings &settings)
{
    const ClientMemoryLimits limits = clientMemoryLimits(processMemoryBytes(settings.memoryMb), maxCallerConnections(settings));
    auto guard = std::make_unique<MemoryGuard>(loop, clock, limits);
    ClientMemory &memory = guard->memory();
    return {loop, clock, adapter, settings, std::move(guard), TargetConnectionPool(loop, clock, &memory)};
}

Relay::Relay(EventLoop &loop, const Clock &clock, const PlatformAdapter &adapter, const RelaySettings &settings)
    : d(new Private{makeRelayContext(loop, clock, adapter, settings), HttpClient(loop), {}})
{
    Private &data = *d;
    data.context.entryCount.startedAt = clock.now();
    data.leaderReportedAt = clock.now();
    data.context.entryCount.mayHavePeers = hasOtherSeeds(settings);
    data.context.random.seed(hash64(settings.id, incarnationNow(clock).value));
    data.sessions = std::make_unique<CallerSessions>(
        loop, clock,
        [&data](const CallerExchangePtr &exchange) {
            data.handleRequest(exchange);
        },
        data.context.memoryGuard.get());
    data.admission = std::make_unique<CallerAdmission>(data.context, *data.sessions);
    data.listener = std::make_unique<Listener>(loop, [&data](int socket) {
        data.admission->accept(socket);
    });
    data.forwardingTimer = std::make_unique<Timer>(loop, [&data] {
        data.checkForwardings();
    });
    data.leaveTimer = std::make_unique<Timer>(loop, [&data] {
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
        updateBudgetShares(data.context);
        adaptDataCenterChoices(data.context);
    });
    EngineProber::Handlers onProbe;
    onProbe.onUnresponsive = [&data](const TargetId &id) {
        data.moveStreamsFrom(id);
        data.schedulePlan();
    };
    onProbe.onReport = [&data] {
        data.schedulePlan();
    };
    data.prober = std::make_unique<EngineProber>(data.context, data.client, std::move(onProbe));
    data.streamQueue = std::make_unique<StreamQueue>(data.context);
    data.hooks.streamQueue = data.streamQueue.get();
    data.hooks.moveStream = [&data](const std::string &attemptId, const std::vector<ChainStage> &chain, std::function<void(bool)> done) {
        data.moveStream(attemptId, chain, std::move(done));
    };
    data.recoveryQueue = std::make_unique<RecoveryQueue>(loop);
    data.hooks.recoverInOrder = [&data](const LostStream &stream, std::function<void()> recover) {
        data.recoveryQueue->add(stream, std::move(recover));
    };
    data.hooks.hasMoreUrgentStreams = [&data](const ServiceName &service, int priority) {
        return hasMoreUrgentStreams(data.forwardings, service, priority, data.context.clock.now());
    };
    data.hooks.checkForCrash = [&data](const TargetId &target, std::function<void(TargetCondition)> done) {
        data.crashGuard->checkForCrash(target, std::move(done));
    };
    data.hooks.recordCrashedRun = [&data](const ForwardedRequest &request, const SentRequest &sent) {
        data.crashGuard->recordCrashedRun(request, sent);
    };
    data.hooks.recordCompletedRun = [&data](const ForwardedRequest &request) {
        data.crashGuard->recordCompletedRun(request);
    };
    data.hooks.recordBegunRun = [&data](const ForwardedRequest &request) {
        data.crashGuard->recordBegunRun(request);
    };
    data.hooks.requestEngineReport = [&data](const TargetId &first) {
        data.prober->probe(first);
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
    data.readinessServer = std::make_unique<HttpServer>(data.context.loop, data.serverLimits(), [&data](const ExchangePtr &exchange) {
        const bool isKnown = exchange->request().path == data.context.adapter.readinessPath();
        exchange->reply(isKnown ? (data.isReady() ? 200 : 503) : 404, {}, {});
    });
    BOOST_LEAF_CHECK(data.readinessServer->listen(readinessAddress));
    data.metricsServer = std::make_unique<HttpServer>(data.context.loop, data.serverLimits(), [this, &data](const ExchangePtr &exchange) {
        if (exchange->request().path == "/metrics") {
            exportMemoryMetrics(*data.context.memoryGuard, data.context.metrics.all);
            return exchange->reply(200, {{"Content-Type", "application/openmetrics-text; version=1.0.0"}}, data.context.metrics.all.openMetricsText());
        }
        if (exchange->request().path == "/state") {
            return exchange->reply(200, {{"Content-Type", "application/json"}}, dumpState());
        }
        if (exchange->request().path == "/explain") {
            return data.explain(exchange);
        }
        exchange->reply(404, {}, {});
    });
    BOOST_LEAF_CHECK(data.metricsServer->listen({settings.host, static_cast<std::uint16_t>(settings.metricsPort)}));
    data.peerServer = std::make_unique<HttpServer>(data.context.loop, data.serverLimits(), [&data](const ExchangePtr &exchange) {
        data.answerPeer(exchange);
    });
    BOOST_LEAF_CHECK(data.peerServer->listen({settings.host, static_cast<std::uint16_t>(settings.peerPort)}));
    BOOST_LEAF_CHECK(data.listener->listen(callerAddress, data.context.memoryGuard->memory().limits.receiveBufferBytes));
    data.listener->setAccepting(false);
    data.startTimer->start(maxStartupAcceptDelay);
    Registry::Handlers handlers;
    handlers.onRoutes = [&data] {
        if (data.context.routes) {
            data.admission->applyLimits(data.context.routes->limits);
        }
        data.acceptIfComplete();
    };
    handlers.onTargets = [&data] {
        data.acceptIfComplete();
        data.schedulePlan();
    };
    data.registry = std::make_unique<Registry>(data.context, data.client, store, std::move(handlers));
    LeaseManager::Handlers onLease;
    onLease.shouldSeek = [&data] {
        return data.shouldSeekLease();
    };
    onLease.onHolderHost = [&data](const std::string &host) {
        data.peers->recordHost(host);
    };
    data.lease = std::make_unique<LeaseManager>(data.context, data.client, store, "placement", std::move(onLease));
    data.placement = std::make_unique<PlacementController>(
        data.context, data.client, *data.prober,
        [&data] {
            return data.maySendOrders();
        },
        [&data] {
            return data.registry->mayListBeIncomplete();
        });
    CrashGuard::Handlers onCrashGuard;
    onCrashGuard.watchesStore = [&data] {
        EntryState state;
        data.registry->describe(state);
        return state.isWatching;
    };
    onCrashGuard.isAlone = [&data] {
        return data.peers->others().entries.entries == 0;
    };
    data.crashGuard = std::make_unique<CrashGuard>(data.context, data.client, store, std::move(onCrashGuard));
    RelayPeers::Handlers onPeers;
    onPeers.crashNotices = [&data] {
        return data.crashGuard->noticesToSend();
    };
    onPeers.onCrashNotices = [&data](const std::vector<CrashNotice> &notices) {
        data.crashGuard->applyNotices(notices);
    };
    onPeers.describe = [&data](EntryState &state) {
        data.registry->describe(state);
        state.isDraining = data.isDraining;
        state.isOrdering = data.lease->isHeld() || data.isFallbackLeader;
    };
    onPeers.onOthers = [&data](const PeersView &others) {
        data.registry->applyPeerState(others);
    };
    data.peers = std::make_unique<RelayPeers>(data.context, std::move(onPeers));
    BOOST_LEAF_CHECK(data.peers->start());
    data.registry->start();
    data.lease->start();
    data.crashGuard->start();
    data.prober->start();
    data.placement->start();
    data.forwardingTimer->startRepeating(forwardingCheckInterval);
    data.leaveTimer->startRepeating(leavingEngineCheckInterval);
    data.budgetTimer->startRepeating(budgetUpdateInterval);
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
    data.context.answerBy = data.drainStartedAt + std::max(data.context.settings.stopTimeout - stopMargin, acceptTimeAfterStop) - failureSendTime;
    data.lease->release();
    data.sessions->beginDrain();
    data.streamQueue->drain();
    data.drainTimer->startRepeating(drainCheckInterval);
}

void Relay::Private::checkDrain()
{
    const auto since = context.clock.now() - drainStartedAt;
    if (since < acceptTimeAfterStop) {
        return;
    }
    listener->close();
    sessions->closeIdle();
    if (context.clock.now() >= context.answerBy) {
        sessions->refuseIncomplete();
    }
    const bool isTimeUp = since > context.settings.stopTimeout - stopMargin;
    const std::size_t open = sessions->openExchanges() + sessions->incompleteRequests() + sessions->unsentResponses();
    if (open > 0 && !isTimeUp) {
        return;
    }
    if (open > 0) {
        logEvent(Event::DrainTimeout, {{"open", std::to_string(open)}});
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
    state["followsAggregator"] = !d->peers->others().source.host.empty();
    state["tablesFrom"] = d->peers->others().source.host;
    EntryState tables;
    d->registry->describe(tables);
    const bool areTablesProven = tables.tablesProvenAt != TimePoint();
    state["tablesAgeMs"] = areTablesProven ? nlohmann::json(std::chrono::duration_cast<milliseconds>(now - tables.tablesProvenAt).count()) : nlohmann::json();
    state["readsStore"] = tables.isWatching;
    state["isQueryingStore"] = d->registry->isQueryingStore();
    state["isStoreFailing"] = tables.isStoreFailing;
    state["isStorePathLost"] = d->registry->isStorePathLost();
    state["isStoreLost"] = d->registry->isStoreLost();
    state["clientMemory"] = nlohmann::json::parse(context.memoryGuard->dump());
    state["callerConnections"] = d->sessions->count();
    state["maxCallerConnections"] = d->admission->maxConnections();
    state["openRequestsLimit"] = static_cast<int>(d->admission->overload().openLimit);
    state["timerLagMs"] = d->admission->overload().averageLagMs;
    state["recovery"] = recoveryDump(context, d->forwardings, now);
    describeDataCenterChoices(context, state);
    state["workspaces"] = dumpWorkspaces(context, now);
    state["soundParts"] = context.crashingRequests.soundParts.size();
    state["streamQueues"] = d->streamQueue->describe();
    for (const auto &[id, target] : context.fleet.targets) {
        state["targets"][id.value] = {{"service", target.registered.service.value},
                                      {"address", target.registered.address.toString()},
                                      {"dataCenter", target.registered.dataCenter},
                                      {"layers", {target.registered.layers.from, target.registered.layers.to}},
                                      {"isDraining", target.registered.isDraining},
                                      {"hasSaidItLeaves", target.hasSaidItLeaves},
                                      {"isUsable", isUsable(target, now)},
                                      {"isPaused", isPaused(target, now)},
                                      {"failuresInRow", target.failuresInRow},
                                      {"openRequests", target.openRequests},
                                      {"kvTokenLayers", target.kvTokenLayers},
                                      {"requestLimit", limitInForce(target.demand, now)},
                                      {"wantedPerSecond", wantedRate(target.demand, now)},
                                      {"peersWantedPerSecond", target.demand.peersWanted}};
    }
    for (const auto &[input, record] : context.crashingRequests.records) {
        state["crashingRequests"][fingerprintText(input)] = {{"crashes", record.crashes.size()}, {"isRefused", isRefused(context.crashingRequests, input)}};
    }
    return state.dump(2);
}

} // namespace Parsleytrail
