// Index: [SECTION] Components, [SECTION] Frames, [SECTION] Announcing, [SECTION] Views, [SECTION] Sidecar
#include "sidecar/sidecar.h"

#include "base/log.h"
#include "http/operator_server.h"
#include "sidecar/announcer.h"
#include "sidecar/calls.h"
#include "sidecar/stages.h"

#include <nlohmann/json.hpp>

namespace Parsleytrail
{

using nlohmann::json;

constexpr milliseconds sweepInterval{500};

// [SECTION] Components

struct Sidecar::Private {
    SidecarSettings settings;
    EventLoop &loop;
    const Clock &clock;
    Incarnation incarnation;
    bool isApplication;
    Metrics metrics;
    History history;
    MemoryGuard memoryGuard; ///< before the client, whose pending requests hold exchanges that are charged
    HttpClient client;
    std::unique_ptr<LinkPool> peers;
    std::unique_ptr<SidecarContext> context;
    std::unique_ptr<Store> store;
    std::unique_ptr<EngineClient> engine;
    std::unique_ptr<Stages> stages;
    std::unique_ptr<Calls> calls;
    std::unique_ptr<DatagramSocket> datagrams;
    std::unique_ptr<Announcer> announcer;
    std::unique_ptr<LinkServer> links;
    std::unique_ptr<OperatorServer> operators;
    Configuration configuration;
    Address linkAddress;
    Address operatorAddress;
    Timer sweepTimer;
    Timer healthTimer;
    Timer drainTimer;
    TimePoint drainStartedAt{};
    std::function<void()> onDrained;
    bool isTargetHealthy = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Private(EventLoop &eventLoop, const Clock &systemClock, SidecarSettings sidecarSettings);
    Result<void> createComponents();
    Result<void> listen();

    bool handleFrame(const LinkPtr &link, const Frame &frame);
    bool handleConfigurationUpdate(const LinkPtr &link, const Frame &frame);
    bool handleDatagram(const Frame &frame);
    void probeTarget();
    void describe(Announcement &announcement) const;
    TargetState state() const;
    std::size_t openCount() const;
    void checkDrained();
    json stateView() const;
    void refreshMetrics();
};

Sidecar::Private::Private(EventLoop &eventLoop, const Clock &systemClock, SidecarSettings sidecarSettings)
    : settings(std::move(sidecarSettings))
    , loop(eventLoop)
    , clock(systemClock)
    , incarnation(incarnationNow(systemClock))
    , isApplication(settings.kind == "application")
    , history(systemClock, settings.id, incarnation.value)
    , memoryGuard(eventLoop, systemClock, clientMemoryLimits(processMemoryBytes(settings.memoryMb), clientConnections(descriptorLimit())))
    , client(eventLoop)
    , sweepTimer(eventLoop,
                 [this] {
                     stages->sweep();
                 })
    , healthTimer(eventLoop,
                  [this] {
                      probeTarget();
                  })
    , drainTimer(eventLoop, [this] {
        checkDrained();
    })
{
}

static Result<std::vector<Address>> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<Address> addresses;
    for (const std::string &text : texts) {
        BOOST_LEAF_AUTO(address, parseAddress(text));
        addresses.push_back(address);
    }
    return addresses;
}

Result<void> Sidecar::Private::createComponents()
{
    if (!settings.historyFile.empty() && !history.openFile(settings.historyFile)) {
        return fail("open history", settings.historyFile, "cannot be written");
    }
    BOOST_LEAF_AUTO(targetAddress, parseAddress(settings.target));
    BOOST_LEAF_AUTO(platformAddress, parseAddress(settings.platform));
    BOOST_LEAF_AUTO(seeds, parseAddresses(settings.entries));
    const auto wireVersion = static_cast<std::uint16_t>(settings.wireVersion);
    const LinkIdentity identity{{Role::Sidecar, settings.id, incarnation}, wireVersion};
    LinkHandlers outgoing;
    outgoing.onFrame = [this](const LinkPtr &link, const Frame &frame) {
        return handleFrame(link, frame);
    };
    outgoing.onClosed = [this](const LinkPtr &link, const Error &error) {
        logEvent(Event::LinkLost, {{"peer", link->peerName()}, {"reason", error.text}});
        stages->onNextStageDisconnected(link->peerName(), error);
    };
    peers = std::make_unique<LinkPool>(loop, identity, outgoing, &memoryGuard.memory());
    context.reset(new SidecarContext{loop, clock, settings, incarnation, targetAddress, client, *peers, metrics, memoryGuard, history});
    store = std::make_unique<Store>(loop, clock, client, platformAddress, StoreLimits{});
    engine = std::make_unique<EngineClient>(*context);
    stages = std::make_unique<Stages>(*context, *engine);
    calls = std::make_unique<Calls>(*context);
    datagrams = std::make_unique<DatagramSocket>(loop, wireVersion, [this](const Frame &frame, const Address &) {
        return handleDatagram(frame);
    });
    announcer = std::make_unique<Announcer>(*context, *store, *datagrams, std::move(seeds), [this](Announcement &announcement) {
        describe(announcement);
    });
    LinkHandlers incoming;
    incoming.onFrame = outgoing.onFrame;
    incoming.onClosed = [this](const LinkPtr &link, const Error &error) {
        logEvent(Event::LinkLost, {{"peer", link->peer().process}, {"reason", error.text}});
        stages->onPeerDisconnected(link);
        calls->onPeerDisconnected(link);
    };
    links = std::make_unique<LinkServer>(loop, identity, incoming, &memoryGuard.memory());
    OperatorViews views;
    views.state = [this] {
        return stateView().dump();
    };
    views.status = views.state;
    views.refreshMetrics = [this] {
        refreshMetrics();
    };
    views.metrics = &metrics;
    views.isReady = [this] {
        return state() == TargetState::Ready;
    };
    operators = std::make_unique<OperatorServer>(loop, settings.operatorKeyDigest, views, memoryGuard);
    return {};
}

Result<void> Sidecar::Private::listen()
{
    BOOST_LEAF_ASSIGN(linkAddress, links->listen({settings.host, static_cast<std::uint16_t>(settings.linkPort)}));
    BOOST_LEAF_CHECK(datagrams->bind(linkAddress));
    BOOST_LEAF_ASSIGN(operatorAddress, operators->listen({settings.host, static_cast<std::uint16_t>(settings.operatorPort)}));
    return {};
}

// [SECTION] Frames

bool Sidecar::Private::handleFrame(const LinkPtr &link, const Frame &frame)
{
    switch (frame.message) {
    case ConfigurationUpdate::messageId:
        return handleConfigurationUpdate(link, frame);
    case CallRequest::messageId:
    case CallBody::messageId:
    case CallCredit::messageId:
    case CallCancel::messageId:
        return isApplication && calls->handleFrame(link, frame);
    default:
        return !isApplication && stages->handleFrame(link, frame);
    }
}

bool Sidecar::Private::handleConfigurationUpdate(const LinkPtr &link, const Frame &frame)
{
    ConfigurationUpdate update;
    if (!decodeFrame(frame, update)) {
        return false;
    }
    Configuration updated;
    switch (applyUpdate(configuration, update, updated)) {
    case UpdateResult::Applied:
        configuration = std::move(updated);
        logEvent(Event::ConfigurationInForce, {{"version", std::to_string(configuration.version.value)}, {"from", link->peer().process}});
        if (history.isEnabled()) {
            history.record("configuration", {{"version", configuration.version.value}});
        }
        announcer->announce();
        break;
    case UpdateResult::NotNewer:
        logEvent(Event::ConfigurationOlder, {{"version", std::to_string(update.version.value)}, {"from", link->peer().process}});
        break;
    case UpdateResult::BaseMismatch:
        link->send(ConfigurationWanted{});
        break;
    case UpdateResult::Damaged:
        logEvent(Event::ConfigurationDamaged, {{"version", std::to_string(update.version.value)}, {"from", link->peer().process}});
        break;
    }
    return true;
}

bool Sidecar::Private::handleDatagram(const Frame &frame)
{
    return frame.message == EntryAnnouncement::messageId && decodeAndHandle<EntryAnnouncement>(frame, [this](const EntryAnnouncement &entry) {
               announcer->handleEntryAnnouncement(entry);
           });
}

// [SECTION] Announcing

void Sidecar::Private::probeTarget()
{
    if (!isApplication) {
        engine->refresh([this, wasHealthy = isTargetHealthy] {
            isTargetHealthy = engine->engineState().isHealthy;
            if (isTargetHealthy != wasHealthy) {
                announcer->announce();
            }
        });
        return;
    }
    HttpClientRequest request;
    request.timeout = settings.stepTimeout;
    client.fetch(context->targetAddress, std::move(request), [this, weak = std::weak_ptr(alive)](const HttpResult &result) {
        if (weak.expired()) {
            return;
        }
        const bool isHealthy = !result.failure;
        if (isHealthy == isTargetHealthy) {
            return;
        }
        isTargetHealthy = isHealthy;
        logEvent(isHealthy ? Event::TargetHealthy : Event::TargetUnhealthy, {{"peer", settings.target}});
        announcer->announce();
    });
}

TargetState Sidecar::Private::state() const
{
    if (context->isDraining) {
        return TargetState::Draining;
    }
    return isTargetHealthy ? TargetState::Ready : TargetState::Joining;
}

void Sidecar::Private::describe(Announcement &announcement) const
{
    announcement.state = state();
    announcement.configuration = configuration.version;
    announcement.streams = static_cast<std::uint32_t>(openCount());
    if (isApplication) {
        announcement.kind = TargetKind::Application;
        announcement.service.value = settings.service;
        announcement.stepMicros = calls->callMicros();
        return;
    }
    const EngineState &engineState = engine->engineState();
    announcement.kind = TargetKind::Engine;
    announcement.model = engineState.model;
    announcement.version = engineState.version;
    announcement.adapters = engineState.adapters;
    announcement.layerBegin = engineState.layerBegin;
    announcement.layerEnd = engineState.layerEnd;
    announcement.queued = static_cast<std::uint32_t>(engine->queued());
    announcement.stepMicros = engine->stepMicros();
    announcement.kvUsed = engineState.kvUsed;
    announcement.kvCapacity = engineState.kvCapacity;
}

std::size_t Sidecar::Private::openCount() const
{
    return isApplication ? calls->openCount() : stages->openCount();
}

void Sidecar::Private::checkDrained()
{
    const bool isLate = clock.now() - drainStartedAt >= settings.drainTimeout;
    if (openCount() > 0 && !isLate) {
        return;
    }
    if (openCount() > 0) {
        logEvent(Event::DrainTimeout, {{"open", std::to_string(openCount())}});
    }
    drainTimer.stop();
    history.record("drained", {{"open", std::uint64_t{openCount()}}});
    onDrained();
}

// [SECTION] Views

json Sidecar::Private::stateView() const
{
    json entries = json::array();
    for (const Address &entry : announcer->entries()) {
        entries.push_back(entry.toString());
    }
    json result = {{"id", settings.id},
                   {"role", "sidecar"},
                   {"version", PARSLEYTRAIL_VERSION},
                   {"incarnation", incarnation.value},
                   {"region", settings.region},
                   {"dataCenter", settings.dataCenter},
                   {"state", toString(state())},
                   {"configuration", {{"version", configuration.version.value}, {"digest", configuration.digest}}},
                   {"target", {{"address", settings.target}, {"isHealthy", isTargetHealthy}, {"checksFencing", settings.checksFencing}}},
                   {"announcedTo", entries},
                   {"store", {{"isDown", store->isDown()}, {"reads", store->reads()}, {"writes", store->writes()}}},
                   {"datagrams",
                    {{"refused", datagrams->refused()},
                     {"unsent", datagrams->unsent()},
                     {"bytesSent", datagrams->bytesSent()},
                     {"bytesReceived", datagrams->bytesReceived()}}},
                   {"clientMemory", json::parse(memoryGuard.dump())},
                   {"linksToSidecars", peers->size()}};
    if (isApplication) {
        result["service"] = settings.service;
        result["calls"] = json::parse(calls->dump());
        return result;
    }
    const EngineState &engineState = engine->engineState();
    result["engine"] = {{"model", engineState.model.value},     {"version", engineState.version},   {"adapters", engineState.adapters},
                        {"layerBegin", engineState.layerBegin}, {"layerEnd", engineState.layerEnd}, {"kvUsed", engineState.kvUsed},
                        {"kvCapacity", engineState.kvCapacity}, {"queued", engine->queued()},       {"stepMicros", engine->stepMicros()}};
    result["keptBytes"] = stages->keptBytes();
    result["streams"] = json::parse(stages->dump());
    return result;
}

void Sidecar::Private::refreshMetrics()
{
    exportMemoryMetrics(memoryGuard, metrics);
    metrics.gauge("parsley_streams_open", "Streams or calls open.") = static_cast<double>(openCount());
    metrics.gauge("parsley_kept_activation_bytes", "Bytes of kept activations.") = static_cast<double>(stages->keptBytes());
    metrics.gauge("parsley_configuration_version", "Configuration version in force.") = static_cast<double>(configuration.version.value);
}

// [SECTION] Sidecar

Sidecar::Sidecar(EventLoop &loop, const Clock &clock, SidecarSettings settings)
    : d(std::make_unique<Private>(loop, clock, std::move(settings)))
{
}

Sidecar::~Sidecar()
{
    // Links first: their handlers use the other components.
    d->links.reset();
    d->peers.reset();
}

Result<void> Sidecar::start()
{
    BOOST_LEAF_CHECK(d->createComponents());
    BOOST_LEAF_CHECK(d->listen());
    d->announcer->start(d->linkAddress);
    d->sweepTimer.startRepeating(sweepInterval);
    d->healthTimer.startRepeating(d->settings.announceInterval);
    d->probeTarget();
    logEvent(Event::ProcessStarted, {{"id", d->settings.id}, {"links", d->linkAddress.toString()}, {"operators", d->operatorAddress.toString()}});
    return {};
}

void Sidecar::drain(std::function<void()> finished)
{
    if (d->context->isDraining) {
        return;
    }
    logEvent(Event::DrainStarted, {{"open", std::to_string(d->openCount())}});
    d->context->isDraining = true;
    d->drainStartedAt = d->clock.now();
    d->onDrained = std::move(finished);
    d->announcer->announce();
    d->drainTimer.startRepeating(milliseconds(100));
}

Address Sidecar::linkAddress() const
{
    return d->linkAddress;
}

Address Sidecar::operatorAddress() const
{
    return d->operatorAddress;
}

History &Sidecar::history()
{
    return d->history;
}

std::size_t Sidecar::openCount() const
{
    return d->openCount();
}

std::string Sidecar::state() const
{
    return d->stateView().dump();
}

} // namespace Parsleytrail
