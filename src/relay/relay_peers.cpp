#include "relay/relay_peers.h"

#include "base/log.h"
#include "policy/table_source.h"
#include "relay/workspace_reports.h"
#include "wire/datagrams.h"

#include <algorithm>

namespace Parsleytrail
{

/// Wire version of the messages between relays; raised when a field is added to one of them.
constexpr std::uint16_t relayWireVersion = 6;

struct RelayPeers::Private {
    RelayContext &context;
    Handlers handlers;
    std::unique_ptr<DatagramSocket> datagrams{};
    std::unique_ptr<Timer> tickTimer{};
    LoadExchange exchange{};
    PeersView others{};

    void sendDue();
    EntryState describeSelf() const;
    bool handleDatagram(const Frame &frame);
    void send(const ExchangeMessages &messages);
    void updatePeerState();
    void applyPeerDemand(Target &target, std::uint32_t key, const DemandTable &demands);
    void logChanges(const PeersView &before) const;
};

static EntryRef ownEntryRef(const RelaySettings &settings)
{
    constexpr double thousandths = 1000;
    const auto capacity = static_cast<std::uint32_t>(std::max(1.0, settings.processorShare * thousandths));
    return {{settings.id}, settings.host, settings.dataCenter, capacity};
}

RelayPeers::RelayPeers(RelayContext &context, Handlers handlers)
    : d(new Private{context, std::move(handlers)})
{
    d->tickTimer = std::make_unique<Timer>(context.loop, [this] {
        d->sendDue();
    });
}

RelayPeers::~RelayPeers() = default;

Result<void> RelayPeers::start()
{
    const RelaySettings &settings = d->context.settings;
    std::vector<std::string> seeds;
    for (const std::string &seed : settings.seeds) {
        BOOST_LEAF_AUTO(address, parseAddress(seed));
        seeds.push_back(address.host);
    }
    d->exchange = makeLoadExchange(ownEntryRef(settings), incarnationNow(d->context.clock), std::move(seeds), d->context.clock.now());
    d->exchange.maxTablesAge = contactLimits(tablesBound(settings)).maxAge;
    d->datagrams = std::make_unique<DatagramSocket>(d->context.loop, relayWireVersion, [this](const Frame &frame, const Address &) {
        return d->handleDatagram(frame);
    });
    BOOST_LEAF_CHECK(d->datagrams->bind({settings.host, static_cast<std::uint16_t>(settings.peerPort)}));
    d->sendDue();
    d->tickTimer->startRepeating(exchangeInterval);
    return {};
}

const PeersView &RelayPeers::others() const
{
    return d->others;
}

void RelayPeers::recordHost(const std::string &host)
{
    addContact(d->exchange, host, d->context.clock.now());
}

void RelayPeers::Private::sendDue()
{
    send(tick(exchange, describeSelf(), context.clock.now()));
    updatePeerState();
}

EntryState RelayPeers::Private::describeSelf() const
{
    const TimePoint now = context.clock.now();
    LoadTable loads;
    EntryState state;
    for (const auto &[id, target] : context.fleet.targets) {
        if (target.registered.dataCenter == context.settings.dataCenter) {
            state.localTargets.push_back(loadKey(target.registered));
        }
        if (hasRecentLimit(target.demand, now)) {
            state.demands.push_back(describeDemand(target.demand, loadKey(target.registered), now));
        }
        const bool isAvoidedHere = isAvoided(target, now);
        if (target.openRequests > 0 || isAvoidedHere) {
            loads[loadKey(target.registered)] = {target.openRequests, isAvoidedHere ? 1 : 0, target.kvTokenLayers};
        }
    }
    std::sort(state.localTargets.begin(), state.localTargets.end());
    state.loads = listLoads(loads, maxReportedLoads);
    state.demands.resize(std::min(state.demands.size(), maxReportedDemands));
    state.usage = usageToReport(context);
    handlers.describe(state);
    return state;
}

bool RelayPeers::Private::handleDatagram(const Frame &frame)
{
    const TimePoint now = context.clock.now();
    switch (frame.message) {
    case EntryReport::messageId:
        return decodeAndHandle<EntryReport>(frame, [&](const EntryReport &report) {
            send(handleReport(exchange, report, now));
        });
    case GroupSummary::messageId:
        return decodeAndHandle<GroupSummary>(frame, [&](const GroupSummary &summary) {
            send(handleSummary(exchange, summary, now));
        });
    case GroupDigest::messageId:
        return decodeAndHandle<GroupDigest>(frame, [&](const GroupDigest &digest) {
            send(handleDigest(exchange, digest, now));
            updatePeerState();
        });
    case CrashNotices::messageId:
        return decodeAndHandle<CrashNotices>(frame, [&](const CrashNotices &message) {
            handlers.onCrashNotices(message.notices);
        });
    default:
        return false;
    }
}

void RelayPeers::Private::send(const ExchangeMessages &messages)
{
    const auto port = static_cast<std::uint16_t>(context.settings.peerPort);
    for (const ExchangeMessage &out : messages) {
        std::visit(
            [&](const auto &message) {
                datagrams->send({out.host, port}, message);
            },
            out.message);
        const std::vector<CrashNotice> notices = handlers.crashNotices();
        if (!notices.empty()) {
            datagrams->send({out.host, port}, CrashNotices{notices});
        }
    }
}

/// Applies what the other relays want to send to a target, and the limit that it has named to one of them.
void RelayPeers::Private::applyPeerDemand(Target &target, std::uint32_t key, const DemandTable &demands)
{
    const auto found = demands.find(key);
    const DemandSum sum = found != demands.end() ? found->second : DemandSum();
    target.demand.peersWanted = sum.wanted;
    target.demand.peersReporting = sum.entries;
    const bool isNamed = sum.namedAt != TimePoint();
    if (isNamed && recordLearnedLimit(target.demand, sum.limit, sum.namedAt, drawShare(context.random))) {
        logLimitChange(target, "others");
    }
}

/// Combines the newest state of the other relays, and updates the fleet with the load that they have on each target.
void RelayPeers::Private::updatePeerState()
{
    const PeersView before = std::exchange(others, peersView(exchange, context.clock.now()));
    std::sort(others.loads.begin(), others.loads.end(), [](const EngineLoad &a, const EngineLoad &b) {
        return a.target < b.target;
    });
    for (auto &[id, target] : context.fleet.targets) {
        const std::uint32_t key = loadKey(target.registered);
        const auto load = std::lower_bound(others.loads.begin(), others.loads.end(), key, [](const EngineLoad &one, std::uint32_t wanted) {
            return one.target < wanted;
        });
        const bool hasLoad = load != others.loads.end() && load->target == key;
        target.peersOpenRequests = hasLoad ? load->openRequests : 0;
        target.peersAvoiding = hasLoad ? load->avoiding : 0;
        target.peersKvTokenLayers = hasLoad ? load->kvTokenLayers : 0;
        applyPeerDemand(target, key, others.demands);
    }
    applyPeerUsage(context, others);
    recordReachableEntries(context, static_cast<int>(others.entries.entries));
    logChanges(before);
    handlers.onOthers(others);
}

void RelayPeers::Private::logChanges(const PeersView &before) const
{
    const std::string count = std::to_string(others.entries.entries);
    if (before.aggregator != others.aggregator) {
        const std::string aggregator = others.aggregator.empty() ? context.settings.host : others.aggregator;
        logEvent(Event::AggregatorChosen, {{"host", aggregator}, {"entries", count}});
    }
    if (before.entries.entries == 0 && others.entries.entries > 0) {
        logEvent(Event::PeersHeard, {{"entries", count}});
    }
    if (before.entries.entries > 0 && others.entries.entries == 0) {
        logEvent(Event::PeersSilent, {{"entries", std::to_string(before.entries.entries)}});
    }
}

} // namespace Parsleytrail
