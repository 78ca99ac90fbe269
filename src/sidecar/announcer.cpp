#include "sidecar/announcer.h"

#include "policy/rendezvous.h"
#include "policy/target.h"

#include <map>

namespace Parsleytrail
{

namespace
{

/// An entry learnt of from its announcements or the membership list.
struct KnownEntry {
    TimePoint lastReceivedAt{}; ///< latest announcement or listing
    Incarnation incarnation;    ///< incarnation in its latest announcement; 0 if it was only listed
};

} // namespace

struct Announcer::Private {
    SidecarContext &context;
    Store &store;
    DatagramSocket &datagrams;
    std::vector<Address> seeds;
    std::function<void(Announcement &)> describe;
    Address self;
    std::uint64_t sequence = 0;
    Announcement lastAnnouncement;              ///< latest full announcement
    std::uint32_t reportsSinceAnnouncement = 0; ///< load reports sent since `lastAnnouncement`
    std::vector<Address> announcedTo;           ///< recipients of `lastAnnouncement`
    std::map<Address, KnownEntry> known;        ///< entries by peer address; may include seeds
    TimePoint nextPollAt{};
    Timer timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Private(SidecarContext &sidecarContext, Store &sidecarStore, DatagramSocket &sidecarDatagrams, std::vector<Address> seedEntries,
            std::function<void(Announcement &)> describeSelf)
        : context(sidecarContext)
        , store(sidecarStore)
        , datagrams(sidecarDatagrams)
        , seeds(std::move(seedEntries))
        , describe(std::move(describeSelf))
        , timer(sidecarContext.loop, [this] {
            tick();
        })
    {
    }

    void tick();
    Announcement fullAnnouncement();
    void announce();
    void reportLoad(const Announcement &announcement);
    void pollMembership();
    std::vector<Address> selectedEntries() const;
};

std::vector<Address> Announcer::Private::selectedEntries() const
{
    std::vector<Address> all = seeds;
    for (const auto &[address, entry] : known) {
        if (std::find(all.begin(), all.end(), address) == all.end()) {
            all.push_back(address);
        }
    }
    std::vector<std::string> names;
    names.reserve(all.size());
    for (const Address &address : all) {
        names.push_back(address.toString());
    }
    std::vector<Address> result;
    for (const std::size_t index : pickPeers(context.settings.id, names, static_cast<std::size_t>(context.settings.announceEntries))) {
        result.push_back(all[index]);
    }
    return result;
}

/// Whether a field differs that a load report does not carry.
static bool differsBeyondLoad(const Announcement &a, const Announcement &b)
{
    return a.state != b.state || a.model != b.model || a.version != b.version || a.adapters != b.adapters || a.layerBegin != b.layerBegin
           || a.layerEnd != b.layerEnd || a.kvCapacity != b.kvCapacity || a.configuration != b.configuration;
}

Announcement Announcer::Private::fullAnnouncement()
{
    Announcement announcement;
    announcement.target.value = context.settings.id;
    announcement.incarnation = context.incarnation;
    announcement.sequence = ++sequence;
    announcement.region = context.settings.region;
    announcement.dataCenter = context.settings.dataCenter;
    announcement.host = self.host;
    announcement.port = self.port;
    announcement.targetClass = context.settings.targetClass;
    announcement.wireVersion = static_cast<std::uint16_t>(context.settings.wireVersion);
    describe(announcement);
    return announcement;
}

void Announcer::Private::announce()
{
    lastAnnouncement = fullAnnouncement();
    announcedTo = selectedEntries();
    reportsSinceAnnouncement = 0;
    for (const Address &entry : announcedTo) {
        datagrams.send(entry, lastAnnouncement);
    }
}

void Announcer::Private::reportLoad(const Announcement &announcement)
{
    LoadReport report;
    report.targetKey = targetKeyOf(announcement.target, announcement.incarnation);
    report.sequence = announcement.sequence;
    report.streams = announcement.streams;
    report.queued = announcement.queued;
    report.stepMicros = announcement.stepMicros;
    report.kvUsed = announcement.kvUsed;
    ++reportsSinceAnnouncement;
    for (const Address &entry : announcedTo) {
        datagrams.send(entry, report);
    }
}

void Announcer::Private::pollMembership()
{
    const TimePoint now = context.clock.now();
    if (now < nextPollAt) {
        return;
    }
    nextPollAt = now + (known.empty() ? membershipPollIntervalWithoutEntries : membershipPollInterval);
    store.readMembership([this, weak = std::weak_ptr(alive)](StoreStatus status, const std::vector<RegisteredInstance> &instances) {
        if (weak.expired() || status != StoreStatus::Ok) {
            return;
        }
        for (const RegisteredInstance &instance : instances) {
            if (instance.role == "entry" && !instance.isLeaving) {
                known[instance.address].lastReceivedAt = context.clock.now();
            }
        }
    });
}

void Announcer::Private::tick()
{
    pollMembership();
    const TimePoint now = context.clock.now();
    // While the store is down the membership list can't confirm entries: a stale list is better than an empty one.
    if (!store.isDown()) {
        std::erase_if(known, [&](const auto &item) {
            return now - item.second.lastReceivedAt >= knownEntryLifetime;
        });
    }
    const Announcement current = fullAnnouncement();
    const bool needsFullAnnouncement =
        reportsSinceAnnouncement >= reportsBetweenAnnouncements || differsBeyondLoad(current, lastAnnouncement) || selectedEntries() != announcedTo;
    if (needsFullAnnouncement) {
        announce();
    } else {
        reportLoad(current);
    }
}

Announcer::Announcer(SidecarContext &context, Store &store, DatagramSocket &datagrams, std::vector<Address> seeds, std::function<void(Announcement &)> describe)
    : d(std::make_unique<Private>(context, store, datagrams, std::move(seeds), std::move(describe)))
{
}

Announcer::~Announcer() = default;

void Announcer::start(const Address &self)
{
    d->self = self;
    d->timer.startRepeating(d->context.settings.announceInterval);
    d->tick();
}

void Announcer::announce()
{
    d->announce();
}

void Announcer::handleEntryAnnouncement(const EntryAnnouncement &entry)
{
    const Address address{entry.host, entry.port};
    if (entry.region != d->context.settings.region) {
        return;
    }
    if (entry.state == TargetState::Draining) {
        d->known.erase(address);
        return;
    }
    KnownEntry &known = d->known[address];
    const bool isNew = known.incarnation != entry.incarnation;
    known = {d->context.clock.now(), entry.incarnation};
    if (isNew) {
        d->announce();
    }
}

std::vector<Address> Announcer::entries() const
{
    return d->selectedEntries();
}

} // namespace Parsleytrail
