#include "relay/relay_peers.h"

#include "base/log.h"
#include "policy/progress.h"
#include "wire/datagrams.h"

#include <algorithm>
#include <set>

namespace Parsleytrail
{

/// Between announcements. Load moves by some requests in this time, a small part of what an engine holds; a datagram of
/// 2 KB five times a second to each peer stays below the cost of one relayed stream.
constexpr milliseconds announceInterval{200};
/// A relay not heard of for this long is gone: several datagrams lost in a row.
constexpr milliseconds silenceTimeout{1500};
constexpr std::size_t maxLoads = 128; ///< of one datagram, see the schema
constexpr std::size_t maxPeers = 64;  ///< the same; named in turn

struct RelayPeers::Private {
    RelayContext &context;
    Handlers handlers;
    std::unique_ptr<Datagrams> datagrams{};
    std::unique_ptr<Timer> tick{};
    std::map<EntryId, RelayPeer> live{};
    std::set<std::string> hosts{}; ///< to announce to
    Incarnation incarnation{};
    std::uint64_t sequence = 0;
    TimePoint tickedAt{};
    EntryId lastNamed{}; ///< peer named last in an announcement

    void announce();
    RelayAnnouncement describeSelf();
    void namePeers(RelayAnnouncement &announcement);
    std::vector<TargetLoad> heaviestLoads() const;
    void take(const RelayAnnouncement &announcement);
    void addLoads(const RelayAnnouncement &announcement, int sign);
    void dropSilent();
    void countLive();
};

RelayPeers::RelayPeers(RelayContext &context, Handlers handlers)
    : d(new Private{context, std::move(handlers)})
{
    d->tick = std::make_unique<Timer>(context.loop, [this] {
        d->dropSilent();
        d->announce();
    });
    d->incarnation = incarnationNow(context.clock);
}

RelayPeers::~RelayPeers() = default;

Result<void> RelayPeers::start()
{
    const RelaySettings &settings = d->context.settings;
    constexpr std::uint16_t wireVersion = 2;
    d->datagrams = std::make_unique<Datagrams>(d->context.loop, wireVersion, [this](const Frame &frame, const Address &) {
        return frame.message == RelayAnnouncement::messageId && decodeAnd<RelayAnnouncement>(frame, [this](const RelayAnnouncement &announcement) {
                   d->take(announcement);
               });
    });
    BOOST_LEAF_CHECK(d->datagrams->bind({settings.host, static_cast<std::uint16_t>(settings.peerPort)}));
    for (const std::string &seed : settings.seeds) {
        BOOST_LEAF_AUTO(address, parseAddress(seed));
        if (address.host != settings.host) {
            d->hosts.insert(address.host);
        }
    }
    d->tick->startRepeating(announceInterval);
    return {};
}

const std::map<EntryId, RelayPeer> &RelayPeers::live() const
{
    return d->live;
}

RelayAnnouncement RelayPeers::Private::describeSelf()
{
    RelayAnnouncement announcement;
    announcement.entry.value = context.settings.id;
    announcement.incarnation = incarnation;
    announcement.sequence = ++sequence;
    announcement.host = context.settings.host;
    namePeers(announcement);
    announcement.loads = heaviestLoads();
    handlers.describe(announcement);
    return announcement;
}

/// Names as many peers as fit, others each time, so that all are told of in turn.
void RelayPeers::Private::namePeers(RelayAnnouncement &announcement)
{
    auto next = live.upper_bound(lastNamed);
    for (std::size_t i = 0; i < std::min(live.size(), maxPeers); ++i) {
        next = next == live.end() ? live.begin() : next;
        announcement.peers.push_back(next->second.last.host);
        lastNamed = next->first;
        ++next;
    }
}

/// Targets with load of this entry, or avoided by it. Of too many the most loaded: what others don't know of them misleads most.
std::vector<TargetLoad> RelayPeers::Private::heaviestLoads() const
{
    const TimePoint now = context.clock.now();
    std::vector<TargetLoad> loads;
    for (const auto &[id, target] : context.fleet.targets) {
        const bool isAvoided = isFailing(target, now);
        if (target.openRequests > 0 || isAvoided) {
            loads.push_back({id, static_cast<std::uint32_t>(target.openRequests), static_cast<std::uint64_t>(target.kvTokenLayers), isAvoided});
        }
    }
    if (loads.size() > maxLoads) {
        std::nth_element(loads.begin(), loads.begin() + maxLoads, loads.end(), [](const TargetLoad &a, const TargetLoad &b) {
            return a.openRequests > b.openRequests;
        });
        loads.resize(maxLoads);
    }
    return loads;
}

void RelayPeers::Private::announce()
{
    const RelayAnnouncement announcement = describeSelf();
    for (const std::string &host : hosts) {
        datagrams->send({host, static_cast<std::uint16_t>(context.settings.peerPort)}, announcement);
    }
}

/// Adds a peer's load to the fleet, or takes it out again.
void RelayPeers::Private::addLoads(const RelayAnnouncement &announcement, int sign)
{
    for (const TargetLoad &load : announcement.loads) {
        Target *target = findTarget(context.fleet, load.target);
        if (!target) {
            continue;
        }
        target->peersOpenRequests = std::max(0, target->peersOpenRequests + sign * static_cast<int>(load.openRequests));
        target->peersAvoiding = std::max(0, target->peersAvoiding + sign * (load.isAvoided ? 1 : 0));
        target->peersKvTokenLayers = std::max(0.0, target->peersKvTokenLayers + sign * static_cast<double>(load.kvTokenLayers));
    }
}

void RelayPeers::Private::take(const RelayAnnouncement &announcement)
{
    if (announcement.entry.value == context.settings.id) {
        return;
    }
    const bool isKnown = live.contains(announcement.entry);
    RelayPeer &peer = live[announcement.entry];
    const bool isOlder =
        announcement.incarnation < peer.last.incarnation || (announcement.incarnation == peer.last.incarnation && announcement.sequence <= peer.last.sequence);
    if (isKnown && isOlder) {
        return;
    }
    if (!isKnown) {
        logEvent(Event::PeerSeen, {{"peer", announcement.entry.value}, {"host", announcement.host}});
    }
    addLoads(peer.last, -1);
    peer.last = announcement;
    peer.heardAt = context.clock.now();
    addLoads(peer.last, +1);
    hosts.insert(announcement.host);
    for (const std::string &host : announcement.peers) {
        if (host != context.settings.host) {
            hosts.insert(host);
        }
    }
    countLive();
    handlers.onHeard(announcement);
}

void RelayPeers::Private::dropSilent()
{
    const TimePoint now = context.clock.now();
    // A relay that stood still has not read yet what the others sent. Taken for gone, their streams would not be counted at
    // the engines, and while the store is away this relay would give orders beside the one that does.
    const milliseconds stall = stallBefore(tickedAt, now, announceInterval);
    tickedAt = now;
    for (auto &[id, peer] : live) {
        peer.heardAt = creditStall(peer.heardAt, stall, now);
    }
    std::erase_if(live, [&](const auto &entry) {
        const bool isSilent = now - entry.second.heardAt > silenceTimeout;
        if (isSilent) {
            logEvent(Event::PeerSilent, {{"peer", entry.first.value}, {"host", entry.second.last.host}});
            addLoads(entry.second.last, -1);
        }
        return isSilent;
    });
    countLive();
}

void RelayPeers::Private::countLive()
{
    noteHeardEntries(context, static_cast<int>(live.size()));
}

} // namespace Parsleytrail
