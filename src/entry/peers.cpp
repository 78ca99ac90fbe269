#include "entry/peers.h"

#include "policy/progress.h"
#include "policy/rendezvous.h"

#include <set>

namespace Parsleytrail
{

struct Peers::Private {
    EntryContext &context;
    Store &store;
    DatagramSocket &datagrams;
    std::vector<Address> seeds;
    std::function<void(EntryAnnouncement &)> describe;
    std::function<void(const EntryAnnouncement &)> announcementHandler;
    std::function<void(const std::vector<TargetId> &)> leaving;
    Address self;
    std::map<EntryId, PeerView> views;
    std::vector<Address> registeredEntries; ///< entries on the platform's membership list that are not leaving
    TimePoint nextPoll{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    std::vector<Address> selectPeers() const;
    EntryAnnouncement describeSelf() const;
    void handleMembership(const std::vector<RegisteredInstance> &instances);
};

/// Appends the `count` candidates that rendezvous hashing ranks first for this entry.
static void appendSelected(const EntryContext &context, const std::vector<Address> &candidates, std::size_t count, std::vector<Address> &out)
{
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const Address &address : candidates) {
        names.push_back(address.toString());
    }
    for (const std::size_t index : pickPeers(context.settings.id, names, count)) {
        out.push_back(candidates[index]);
    }
}

std::vector<Address> Peers::Private::selectPeers() const
{
    std::vector<Address> near;
    std::vector<Address> far;
    std::set<Address> seen = {self};
    for (const auto &[id, view] : views) {
        const Address address{view.last.host, view.last.port};
        if (!view.isTimedOut && seen.insert(address).second) {
            (view.last.dataCenter == context.settings.dataCenter ? near : far).push_back(address);
        }
    }
    // No announcement of these entries has been received, so their data centre is unknown.
    for (const std::vector<Address> *unannounced : {&seeds, &registeredEntries}) {
        for (const Address &address : *unannounced) {
            if (seen.insert(address).second) {
                far.push_back(address);
            }
        }
    }
    std::vector<Address> result;
    appendSelected(context, near, peersInDataCenter, result);
    appendSelected(context, far, peersOutside, result);
    return result;
}

void Peers::Private::handleMembership(const std::vector<RegisteredInstance> &instances)
{
    std::vector<TargetId> leavingTargets;
    registeredEntries.clear();
    for (const RegisteredInstance &instance : instances) {
        if (instance.role == "entry" && !instance.isLeaving) {
            registeredEntries.push_back(instance.address);
        }
        if (instance.role == "sidecar" && instance.isLeaving) {
            leavingTargets.push_back({instance.id});
        }
    }
    leaving(leavingTargets);
}

Peers::Peers(EntryContext &context, Store &store, DatagramSocket &datagrams, std::vector<Address> seeds, std::function<void(EntryAnnouncement &)> describe)
    : d(new Private{context, store, datagrams, std::move(seeds), std::move(describe)})
{
}

Peers::~Peers() = default;

void Peers::onAnnouncement(std::function<void(const EntryAnnouncement &)> handler)
{
    d->announcementHandler = std::move(handler);
}

void Peers::onLeaving(std::function<void(const std::vector<TargetId> &)> handler)
{
    d->leaving = std::move(handler);
}

bool Peers::isNewIncarnation(const EntryAnnouncement &announcement) const
{
    const auto it = d->views.find(announcement.entry);
    return it != d->views.end() && it->second.isNewIncarnation;
}

void Peers::start(const Address &self)
{
    d->self = self;
}

void Peers::handleAnnouncement(const EntryAnnouncement &announcement)
{
    if (announcement.entry.value == d->context.settings.id) {
        return;
    }
    PeerView &view = d->views[announcement.entry];
    if (announcement.incarnation < view.last.incarnation) {
        return;
    }
    view.isNewIncarnation = announcement.incarnation != view.last.incarnation;
    view.last = announcement;
    view.lastReceivedAt = d->context.clock.now();
    view.isTimedOut = false;
    d->announcementHandler(announcement);
}

EntryAnnouncement Peers::Private::describeSelf() const
{
    EntryAnnouncement announcement;
    announcement.entry.value = context.settings.id;
    announcement.incarnation = context.incarnation;
    announcement.region = context.settings.region;
    announcement.dataCenter = context.settings.dataCenter;
    announcement.host = self.host;
    announcement.port = self.port;
    describe(announcement);
    return announcement;
}

void Peers::announce(const std::vector<Address> &sidecars)
{
    const EntryAnnouncement announcement = d->describeSelf();
    for (const Address &peer : d->selectPeers()) {
        d->datagrams.send(peer, announcement);
    }
    for (const Address &sidecar : sidecars) {
        d->datagrams.send(sidecar, announcement);
    }
}

void Peers::announceTo(const Address &address)
{
    d->datagrams.send(address, d->describeSelf());
}

void Peers::tick(milliseconds processPause)
{
    const TimePoint now = d->context.clock.now();
    for (auto &[id, view] : d->views) {
        view.lastReceivedAt = creditProcessPause(view.lastReceivedAt, processPause, now);
        view.isTimedOut = now - view.lastReceivedAt >= d->context.settings.silenceTimeout;
    }
    if (now < d->nextPoll) {
        return;
    }
    d->nextPoll = now + membershipPollInterval;
    d->store.readMembership([this, weak = std::weak_ptr(d->alive)](StoreStatus status, const std::vector<RegisteredInstance> &instances) {
        if (!weak.expired() && status == StoreStatus::Ok) {
            d->handleMembership(instances);
        }
    });
}

std::vector<Address> Peers::fanOut() const
{
    return d->selectPeers();
}

const std::map<EntryId, PeerView> &Peers::views() const
{
    return d->views;
}

} // namespace Parsleytrail
