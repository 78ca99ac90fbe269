// Index: [SECTION] Components, [SECTION] Frames, [SECTION] Ticks, [SECTION] Views, [SECTION] Entry
#include "entry/entry.h"

#include "base/log.h"
#include "entry/caller_api.h"
#include "entry/operator_api.h"
#include "policy/progress.h"

#include <nlohmann/json.hpp>

namespace Parsleytrail
{

/// Entries of older wire versions close a link on which they receive the message.
constexpr int crashNoticesWireVersion = 4;

using nlohmann::json;

constexpr milliseconds tickInterval{50};
constexpr milliseconds sidecarAnnounceInterval{10000}; ///< between announcements of this entry to sidecars
/// Requests that are still open get a failure this long before drain-timeout, so that it reaches their callers.
constexpr milliseconds failureSendTime{500};
constexpr milliseconds finalWriteTimeout{5000}; ///< longest wait for writes to the store at the end of a drain

// [SECTION] Components

struct Entry::Private {
    EntrySettings settings;
    EventLoop &loop;
    const Clock &clock;
    Incarnation incarnation;
    Metrics metrics;
    History history;
    MemoryGuard memoryGuard; ///< before the client, whose pending requests hold exchanges that are charged
    HttpClient client;
    std::unique_ptr<LinkPool> links;
    std::unique_ptr<EntryContext> context;
    std::unique_ptr<Store> store;
    std::unique_ptr<Targets> targets;
    std::unique_ptr<InputGuard> guard;
    std::unique_ptr<EntryCrashGuard> crashGuard;
    std::unique_ptr<Streams> streams;
    std::unique_ptr<UsageRecorder> usageRecorder;
    std::unique_ptr<KeyedCalls> keys;
    std::unique_ptr<ServiceCalls> calls;
    std::unique_ptr<Completions> completions;
    std::unique_ptr<ConfigurationManager> configurationManager;
    std::unique_ptr<DatagramSocket> datagrams;
    std::unique_ptr<Peers> peers;
    std::unique_ptr<LinkServer> peerServer;
    std::unique_ptr<CallerApi> callers;
    std::unique_ptr<OperatorServer> operators;
    Address peerAddress;
    Address callerAddress;
    Address operatorAddress;
    Timer tickTimer;
    Timer announceTimer;
    Timer pollTimer;
    Timer drainTimer;
    TimePoint lastTickAt{};
    TimePoint drainStartedAt{};
    TimePoint idleSince{}; ///< when a drain began to wait only for writes to the store; zero while it doesn't
    TimePoint nextSidecarAnnounce{};
    std::function<void()> drained;

    Private(EventLoop &eventLoop, const Clock &systemClock, EntrySettings entrySettings);
    Result<void> createComponents();
    void createLinks();
    void connectHandlers();
    Result<void> listen();

    bool handleFrame(const LinkPtr &link, const Frame &frame);
    bool handleDatagram(const Frame &frame, const Address &from);
    void handlePeerAnnouncement(const EntryAnnouncement &announcement);
    void distributeConfiguration();
    std::string acceleratorOf(const TargetId &target) const;

    void tick();
    void announce();
    std::vector<Address> sidecarAddresses() const;
    bool isReady() const;
    std::size_t openRequestCount() const;
    void checkDrained();

    json status() const;
    json state() const;
    void refreshMetrics();
};

Entry::Private::Private(EventLoop &eventLoop, const Clock &systemClock, EntrySettings entrySettings)
    : settings(std::move(entrySettings))
    , loop(eventLoop)
    , clock(systemClock)
    , incarnation(incarnationNow(systemClock))
    , history(systemClock, settings.id, incarnation.value)
    , memoryGuard(eventLoop, systemClock, clientMemoryLimits(processMemoryBytes(settings.memoryMb), clientConnections(descriptorLimit())))
    , client(eventLoop)
    , tickTimer(eventLoop,
                [this] {
                    tick();
                })
    , announceTimer(eventLoop,
                    [this] {
                        announce();
                    })
    , pollTimer(eventLoop,
                [this] {
                    configurationManager->poll();
                })
    , drainTimer(eventLoop, [this] {
        checkDrained();
    })
{
}

void Entry::Private::createLinks()
{
    const LinkIdentity identity{{Role::Entry, settings.id, incarnation}, static_cast<std::uint16_t>(settings.wireVersion)};
    LinkHandlers handlers;
    handlers.onFrame = [this](const LinkPtr &link, const Frame &frame) {
        return handleFrame(link, frame);
    };
    handlers.onClosed = [this](const LinkPtr &link, const Error &error) {
        logEvent(Event::LinkLost, {{"peer", link->peerName()}, {"process", link->peer().process}, {"reason", error.text}});
        targets->handleLinkLost(link->peerName());
        streams->handleLinkLost(link->peerName(), error);
        calls->handleLinkLost(link->peerName(), error);
    };
    links = std::make_unique<LinkPool>(loop, identity, handlers, &memoryGuard.memory());
    LinkHandlers incoming;
    incoming.onFrame = handlers.onFrame;
    incoming.onClosed = [](const LinkPtr &link, const Error &error) {
        logEvent(Event::LinkLost, {{"peer", link->peer().process}, {"reason", error.text}});
    };
    peerServer = std::make_unique<LinkServer>(loop, identity, incoming, &memoryGuard.memory());
}

Result<void> Entry::Private::createComponents()
{
    if (!settings.historyFile.empty() && !history.openFile(settings.historyFile)) {
        return fail("open history", settings.historyFile, "cannot be written");
    }
    BOOST_LEAF_AUTO(platformAddress, parseAddress(settings.platform));
    std::vector<Address> seeds;
    for (const std::string &text : settings.entries) {
        BOOST_LEAF_AUTO(seed, parseAddress(text));
        seeds.push_back(seed);
    }
    createLinks();
    RetryBudget retries;
    retries.share = static_cast<double>(settings.retryBudgetPercent) / 100;
    context.reset(
        new EntryContext{loop, clock, settings, incarnation, *links, metrics, memoryGuard, history, std::mt19937_64(std::random_device()()), retries});
    StoreLimits limits;
    limits.timeout = settings.storeTimeout;
    limits.readsPerSecond = static_cast<double>(settings.storeReads);
    limits.writesPerSecond = static_cast<double>(settings.storeWrites);
    limits.burst = 2 * std::max(limits.readsPerSecond, limits.writesPerSecond);
    store = std::make_unique<Store>(loop, clock, client, platformAddress, limits);
    targets = std::make_unique<Targets>(*context);
    guard = std::make_unique<InputGuard>(*context);
    crashGuard = std::make_unique<EntryCrashGuard>(*context);
    streams = std::make_unique<Streams>(*context, *targets, *guard, *crashGuard);
    usageRecorder = std::make_unique<UsageRecorder>(*context, *store);
    keys = std::make_unique<KeyedCalls>(*context, *store);
    calls = std::make_unique<ServiceCalls>(*context, *targets, *keys, *usageRecorder, *crashGuard);
    completions = std::make_unique<Completions>(*context, *streams, *guard, *crashGuard, *usageRecorder);
    configurationManager = std::make_unique<ConfigurationManager>(*context, *store);
    datagrams = std::make_unique<DatagramSocket>(loop, static_cast<std::uint16_t>(settings.wireVersion), [this](const Frame &frame, const Address &from) {
        return handleDatagram(frame, from);
    });
    peers = std::make_unique<Peers>(*context, *store, *datagrams, std::move(seeds), [this](EntryAnnouncement &announcement) {
        announcement.state = context->isDraining ? TargetState::Draining : isReady() ? TargetState::Ready : TargetState::Joining;
        announcement.configuration = configurationManager->inForce().version;
    });
    connectHandlers();
    return {};
}

void Entry::Private::connectHandlers()
{
    targets->onLost([this](const TargetId &target) {
        streams->handleTargetLost(target);
    });
    targets->onUsable([this] {
        streams->handleTargetsChanged();
    });
    targets->onOutdatedConfiguration([this](const LinkPtr &link, ConfigurationVersion known) {
        configurationManager->sendTo(link, known, SectionScope::WithoutWorkspaces);
    });
    configurationManager->onChanged([this] {
        distributeConfiguration();
    });
    guard->onNotice([this](const SuspicionNotice &notice) {
        for (const Address &peer : peers->fanOut()) {
            links->link(peer)->send(notice);
        }
    });
    crashGuard->onNotices([this](const CrashNotices &notices) {
        if (settings.wireVersion < crashNoticesWireVersion) {
            return;
        }
        for (const Address &peer : peers->fanOut()) {
            links->link(peer)->send(notices);
        }
    });
    peers->onAnnouncement([this](const EntryAnnouncement &announcement) {
        handlePeerAnnouncement(announcement);
    });
    peers->onLeaving([this](const std::vector<TargetId> &leaving) {
        targets->markLeaving(leaving);
    });
    callers = std::make_unique<CallerApi>(
        *context, *completions, *calls,
        [this]() -> const Configuration & {
            return configurationManager->inForce();
        },
        [this] {
            return isReady();
        });
    OperatorViews views;
    views.state = [this] {
        return state().dump();
    };
    views.status = [this] {
        return status().dump();
    };
    views.refreshMetrics = [this] {
        refreshMetrics();
    };
    views.metrics = &metrics;
    views.isReady = [this] {
        return isReady();
    };
    operators = std::make_unique<OperatorServer>(loop, settings.operatorKeyDigest, views, memoryGuard);
    addConfigurationPaths(*operators, *configurationManager);
    addReportPath(*operators, *usageRecorder, *configurationManager);
}

Result<void> Entry::Private::listen()
{
    BOOST_LEAF_ASSIGN(peerAddress, peerServer->listen({settings.host, static_cast<std::uint16_t>(settings.peerPort)}));
    BOOST_LEAF_CHECK(datagrams->bind(peerAddress));
    BOOST_LEAF_ASSIGN(callerAddress, callers->listen({settings.host, static_cast<std::uint16_t>(settings.callerPort)}));
    BOOST_LEAF_ASSIGN(operatorAddress, operators->listen({settings.host, static_cast<std::uint16_t>(settings.operatorPort)}));
    return {};
}

// [SECTION] Frames

bool Entry::Private::handleFrame(const LinkPtr &link, const Frame &frame)
{
    switch (frame.message) {
    case ConfigurationUpdate::messageId:
        return decodeAndHandle<ConfigurationUpdate>(frame, [&](const ConfigurationUpdate &update) {
            configurationManager->handleUpdate(link, update);
        });
    case ConfigurationWanted::messageId:
        return decodeAndHandle<ConfigurationWanted>(frame, [&](const ConfigurationWanted &wanted) {
            configurationManager->sendTo(link, wanted.version, link->peer().role == Role::Entry ? SectionScope::All : SectionScope::WithoutWorkspaces);
        });
    case SuspicionNotice::messageId:
        return decodeAndHandle<SuspicionNotice>(frame, [&](const SuspicionNotice &notice) {
            guard->handleNotice(notice);
        });
    case CrashNotices::messageId:
        return decodeAndHandle<CrashNotices>(frame, [&](const CrashNotices &message) {
            crashGuard->handleNotices(message);
        });
    case StageUsage::messageId:
        return decodeAndHandle<StageUsage>(frame, [&](const StageUsage &usage) {
            usageRecorder->recordStageUsage(usage, acceleratorOf(usage.target));
        });
    case TokenFrame::messageId:
    case StageFailed::messageId:
    case StageReport::messageId:
        return streams->handleFrame(frame);
    default:
        return calls->handleFrame(frame);
    }
}

bool Entry::Private::handleDatagram(const Frame &frame, const Address &from)
{
    switch (frame.message) {
    case Announcement::messageId:
        return decodeAndHandle<Announcement>(frame, [&](const Announcement &announcement) {
            targets->handleAnnouncement(announcement, configurationManager->inForce().version);
        });
    case LoadReport::messageId:
        return decodeAndHandle<LoadReport>(frame, [&](const LoadReport &report) {
            if (!targets->handleLoadReport(report)) {
                // This entry has no announcement of the target, most likely because it has just started. A sidecar sends a full
                // announcement to an entry whose announcement it receives for the first time.
                peers->announceTo(from);
            }
        });
    case EntryAnnouncement::messageId:
        return decodeAndHandle<EntryAnnouncement>(frame, [&](const EntryAnnouncement &peer) {
            peers->handleAnnouncement(peer);
        });
    default:
        return false;
    }
}

void Entry::Private::handlePeerAnnouncement(const EntryAnnouncement &announcement)
{
    if (announcement.state == TargetState::Ready) {
        configurationManager->recordPeerVersion(announcement.configuration);
    }
    const LinkPtr link = links->link({announcement.host, announcement.port});
    if (peers->isNewIncarnation(announcement)) {
        for (const SuspicionNotice &notice : guard->notices()) {
            link->send(notice);
        }
        const bool mayUnderstand = settings.wireVersion >= crashNoticesWireVersion;
        for (const CrashNotices &notices : mayUnderstand ? crashGuard->notices() : std::vector<CrashNotices>()) {
            link->send(notices);
        }
    }
    const ConfigurationVersion mine = configurationManager->inForce().version;
    if (announcement.configuration > mine) {
        link->send(ConfigurationWanted{mine});
    } else if (announcement.configuration < mine) {
        configurationManager->sendTo(link, announcement.configuration, SectionScope::All);
    }
}

void Entry::Private::distributeConfiguration()
{
    // Send the change at once to selected peers, which forward it in turn, and to the sidecars of this entry's targets. A
    // process that misses it is detected by the version in its announcements.
    for (const auto &[id, view] : peers->views()) {
        const Address address{view.last.host, view.last.port};
        const std::vector<Address> fanOut = peers->fanOut();
        if (std::find(fanOut.begin(), fanOut.end(), address) != fanOut.end()) {
            configurationManager->sendTo(links->link(address), view.last.configuration, SectionScope::All);
        }
    }
    for (const TargetView *view : targets->views()) {
        if (!view->isTimedOut) {
            configurationManager->sendTo(links->link({view->last.host, view->last.port}), view->last.configuration, SectionScope::WithoutWorkspaces);
        }
    }
    announce();
}

std::string Entry::Private::acceleratorOf(const TargetId &target) const
{
    const TargetView *view = targets->find(target);
    const auto &classes = configurationManager->inForce().targetClasses;
    const auto targetClass = view ? classes.find(view->last.targetClass) : classes.end();
    return targetClass == classes.end() ? "unknown" : targetClass->second.accelerator;
}

// [SECTION] Ticks

void Entry::Private::tick()
{
    const TimePoint now = clock.now();
    // After a pause this process has not yet read what others sent meanwhile. If the pause counted towards their timeouts, it
    // would abandon all its open streams and refuse new ones.
    const milliseconds processPause = processPauseBefore(lastTickAt, now, tickInterval);
    lastTickAt = now;
    targets->tick(processPause);
    peers->tick(processPause);
    streams->tick();
    calls->tick();
    keys->flush();
    guard->prune();
    crashGuard->prune();
    usageRecorder->tick();
    completions->tick();
}

std::vector<Address> Entry::Private::sidecarAddresses() const
{
    std::vector<Address> addresses;
    for (const TargetView *view : targets->views()) {
        if (!view->isTimedOut) {
            addresses.push_back({view->last.host, view->last.port});
        }
    }
    return addresses;
}

void Entry::Private::announce()
{
    const TimePoint now = clock.now();
    const bool includesSidecars = now >= nextSidecarAnnounce || context->isDraining;
    if (includesSidecars) {
        nextSidecarAnnounce = now + sidecarAnnounceInterval;
    }
    peers->announce(includesSidecars ? sidecarAddresses() : std::vector<Address>());
    if (!configurationManager->isTrusted()) {
        configurationManager->poll();
    }
}

bool Entry::Private::isReady() const
{
    return !context->isDraining && configurationManager->isTrusted();
}

std::size_t Entry::Private::openRequestCount() const
{
    return completions->openCount() + calls->openCount();
}

void Entry::Private::checkDrained()
{
    const TimePoint now = clock.now();
    const bool isLate = now - drainStartedAt >= settings.drainTimeout;
    if (openRequestCount() > 0 && !isLate) {
        idleSince = {};
        return;
    }
    if (openRequestCount() > 0) {
        logEvent(Event::DrainTimeout, {{"open", std::to_string(openRequestCount())}});
    }
    const bool hasUnwritten = keys->unwritten() > 0 || usageRecorder->isDirty();
    if (hasUnwritten && idleSince == TimePoint{}) {
        idleSince = now;
    }
    // The store may be unavailable for hours, and the platform waits to reclaim the instance. Losing these writes is safe: a key
    // without a written outcome reads as `unknown`, and the usage counters lack what was not flushed.
    if (hasUnwritten && now - idleSince < finalWriteTimeout) {
        usageRecorder->flush([](StoreStatus) {});
        return;
    }
    if (hasUnwritten) {
        logEvent(Event::EndsUnwritten, {{"keys", std::to_string(keys->unwritten())}, {"work", usageRecorder->isDirty() ? "yes" : "no"}});
    }
    drainTimer.stop();
    history.record("drained", {{"open", std::uint64_t{openRequestCount()}}});
    drained();
}

// [SECTION] Views

json Entry::Private::status() const
{
    json result = describeSystem(*context, *configurationManager, *peers, *targets);
    result["id"] = settings.id;
    result["version"] = PARSLEYTRAIL_VERSION;
    result["isReady"] = isReady();
    result["admission"] = json::parse(completions->describeAdmission());
    result["suspectInputs"] = guard->describe();
    result["suspectCalls"] = crashGuard->describe();
    result["streams"] = streams->size();
    result["calls"] = calls->openCount();
    result["store"] = {{"isDown", store->isDown()}, {"reads", store->reads()}, {"writes", store->writes()}, {"unwrittenCallEnds", keys->unwritten()}};
    return result;
}

json Entry::Private::state() const
{
    json result = status();
    result["role"] = "entry";
    result["incarnation"] = incarnation.value;
    result["retryBudget"] = {{"saved", context->retryBudget.available}, {"burst", context->retryBudget.burst}};
    result["links"] = links->size();
    result["clientMemory"] = json::parse(memoryGuard.dump());
    result["datagrams"] = {{"refused", datagrams->refused()},
                           {"unsent", datagrams->unsent()},
                           {"bytesSent", datagrams->bytesSent()},
                           {"bytesReceived", datagrams->bytesReceived()}};
    result["configurationBytesSent"] = configurationManager->bytesSent();
    result["openStreams"] = json::parse(streams->dump());
    result["openCalls"] = json::parse(calls->dump());
    return result;
}

void Entry::Private::refreshMetrics()
{
    exportMemoryMetrics(memoryGuard, metrics);
    metrics.gauge("parsley_streams_open", "Streams open.") = static_cast<double>(streams->size());
    metrics.gauge("parsley_calls_open", "Calls to plain services open.") = static_cast<double>(calls->openCount());
    metrics.gauge("parsley_targets", "Targets known.") = static_cast<double>(targets->views().size());
    metrics.gauge("parsley_configuration_version", "Configuration version in force.") = static_cast<double>(configurationManager->inForce().version.value);
    metrics.gauge("parsley_store_reads", "Reads sent to the platform's store.") = static_cast<double>(store->reads());
    metrics.gauge("parsley_store_writes", "Writes sent to the platform's store.") = static_cast<double>(store->writes());
    metrics.gauge("parsley_store_down", "1 while the circuit to the store is open.") = store->isDown() ? 1 : 0;
}

// [SECTION] Entry

Entry::Entry(EventLoop &loop, const Clock &clock, EntrySettings settings)
    : d(std::make_unique<Private>(loop, clock, std::move(settings)))
{
}

Entry::~Entry()
{
    // Servers first, including the link server for peers: their handlers use the other components.
    d->callers.reset();
    d->operators.reset();
    d->peerServer.reset();
}

Result<void> Entry::start()
{
    BOOST_LEAF_CHECK(d->createComponents());
    BOOST_LEAF_CHECK(d->listen());
    d->peers->start(d->peerAddress);
    d->tickTimer.startRepeating(tickInterval);
    d->announceTimer.startRepeating(d->settings.announceInterval);
    d->pollTimer.startRepeating(d->settings.configurationPoll);
    d->configurationManager->poll();
    d->peers->tick(milliseconds(0));
    d->announce();
    logEvent(
        Event::ProcessStarted,
        {{"id", d->settings.id}, {"callers", d->callerAddress.toString()}, {"operators", d->operatorAddress.toString()}, {"peers", d->peerAddress.toString()}});
    return {};
}

void Entry::drain(std::function<void()> finished)
{
    if (d->context->isDraining) {
        return;
    }
    logEvent(Event::DrainStarted, {{"open", std::to_string(d->openRequestCount())}});
    d->context->isDraining = true;
    d->drainStartedAt = d->clock.now();
    d->context->answerBy = d->drainStartedAt + d->settings.drainTimeout - failureSendTime;
    d->drained = std::move(finished);
    d->announce();
    d->drainTimer.startRepeating(milliseconds(100));
}

Address Entry::callerAddress() const
{
    return d->callerAddress;
}

Address Entry::operatorAddress() const
{
    return d->operatorAddress;
}

Address Entry::peerAddress() const
{
    return d->peerAddress;
}

History &Entry::history()
{
    return d->history;
}

bool Entry::isReady() const
{
    return d->isReady();
}

std::uint64_t Entry::configurationVersion() const
{
    return d->configurationManager->inForce().version.value;
}

std::size_t Entry::openRequestCount() const
{
    return d->openRequestCount();
}

std::string Entry::status() const
{
    return d->status().dump();
}

std::string Entry::state() const
{
    return d->state().dump();
}

} // namespace Parsleytrail
