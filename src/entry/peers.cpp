#include "entry/peers.h"

#include "policy/progress.h"
#include "policy/rendezvous.h"

#include <set>

namespace Parsleytrail
{

struct Peers::Private {
    EntryContext &context;
    Store &store;
    Datagrams &datagrams;
    std::vector<Address> seeds;
    std::function<void(EntryAnnouncement &)> describe;
    std::function<void(const EntryAnnouncement &)> heard;
    std::function<void(const std::vector<TargetId> &)> leaving;
    Address self;
    std::map<EntryId, PeerView> views;
    std::vector<Address> listed; ///< entries on the platform's list
    TimePoint nextPoll{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    std::vector<Address> picked() const;
    EntryAnnouncement describeSelf() const;
    void takeList(const std::vector<RegisteredInstance> &instances);
};

/// The best of `candidates` for this entry by rendezvous hashing.
static void appendPicked(const EntryContext &context, const std::vector<Address> &candidates, std::size_t count, std::vector<Address> &out)
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

std::vector<Address> Peers::Private::picked() const
{
    std::vector<Address> near;
    std::vector<Address> far;
    std::set<Address> seen = {self};
    for (const auto &[id, view] : views) {
        const Address address{view.last.host, view.last.port};
        if (!view.isSilent && seen.insert(address).second) {
            (view.last.dataCenter == context.settings.dataCenter ? near : far).push_back(address);
        }
    }
    // Entries not heard yet: where they stand is not known.
    for (const std::vector<Address> *unheard : {&seeds, &listed}) {
        for (const Address &address : *unheard) {
            if (seen.insert(address).second) {
                far.push_back(address);
            }
        }
    }
    std::vector<Address> result;
    appendPicked(context, near, peersInDataCenter, result);
    appendPicked(context, far, peersOutside, result);
    return result;
}

void Peers::Private::takeList(const std::vector<RegisteredInstance> &instances)
{
    std::vector<TargetId> leavingTargets;
    listed.clear();
    for (const RegisteredInstance &instance : instances) {
        if (instance.role == "entry" && !instance.isLeaving) {
            listed.push_back(instance.address);
        }
        if (instance.role == "sidecar" && instance.isLeaving) {
            leavingTargets.push_back({instance.id});
        }
    }
    leaving(leavingTargets);
}

Peers::Peers(EntryContext &context, Store &store, Datagrams &datagrams, std::vector<Address> seeds, std::function<void(EntryAnnouncement &)> describe)
    : d(new Private{context, store, datagrams, std::move(seeds), std::move(describe)})
{
}

Peers::~Peers() = default;

void Peers::onHeard(std::function<void(const EntryAnnouncement &)> handler)
{
    d->heard = std::move(handler);
}

void Peers::onLeaving(std::function<void(const std::vector<TargetId> &)> handler)
{
    d->leaving = std::move(handler);
}

bool Peers::isNewcomer(const EntryAnnouncement &announcement) const
{
    const auto it = d->views.find(announcement.entry);
    return it != d->views.end() && it->second.isNewcomer;
}

void Peers::start(const Address &self)
{
    d->self = self;
}

void Peers::take(const EntryAnnouncement &announcement)
{
    if (announcement.entry.value == d->context.settings.id) {
        return;
    }
    PeerView &view = d->views[announcement.entry];
    if (announcement.incarnation < view.last.incarnation) {
        return;
    }
    view.isNewcomer = announcement.incarnation != view.last.incarnation;
    view.last = announcement;
    view.heardAt = d->context.clock.now();
    view.isSilent = false;
    d->heard(announcement);
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
    for (const Address &peer : d->picked()) {
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

void Peers::tick(milliseconds stall)
{
    const TimePoint now = d->context.clock.now();
    for (auto &[id, view] : d->views) {
        view.heardAt = creditProcessPause(view.heardAt, stall, now);
        view.isSilent = now - view.heardAt >= d->context.settings.silenceTimeout;
    }
    if (now < d->nextPoll) {
        return;
    }
    d->nextPoll = now + listPollInterval;
    d->store.readMembership([this, weak = std::weak_ptr(d->alive)](StoreStatus status, const std::vector<RegisteredInstance> &instances) {
        if (!weak.expired() && status == StoreStatus::Ok) {
            d->takeList(instances);
        }
    });
}

std::vector<Address> Peers::fanOut() const
{
    return d->picked();
}

const std::map<EntryId, PeerView> &Peers::views() const
{
    return d->views;
}

} // namespace Parsleytrail
