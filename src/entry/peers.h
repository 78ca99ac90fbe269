// Other entries: who they are, which configuration they have, and the platform's list that names them.
#pragma once

#include "entry/context.h"
#include "store/store.h"
#include "wire/datagrams.h"

#include <functional>
#include <map>

namespace Parsleytrail
{

/// An entry that was heard.
struct PeerView {
    EntryAnnouncement last;        ///< newest announcement
    TimePoint lastReceivedAt{};    ///< when it came
    bool isTimedOut = false;       ///< nothing for silence-timeout
    bool isNewIncarnation = false; ///< the newest announcement is the first of its incarnation
};

/// Announces this entry and hears others.
class Peers
{
public:
    /// `describe` fills in state and configuration.
    Peers(EntryContext &context, Store &store, Datagrams &datagrams, std::vector<Address> seeds, std::function<void(EntryAnnouncement &)> describe);
    ~Peers();

    /// Called when an entry announced itself.
    void onAnnouncement(std::function<void(const EntryAnnouncement &)> handler);
    /// Whether the announcement is the first of an entry's incarnation; only within the handler of onHeard.
    bool isNewIncarnation(const EntryAnnouncement &announcement) const;
    /// Called when the platform's list was read: targets marked as leaving.
    void onLeaving(std::function<void(const std::vector<TargetId> &)> handler);

    void start(const Address &self);
    void handleAnnouncement(const EntryAnnouncement &announcement);
    /// Announces now, to peers and to these sidecars.
    void announce(const std::vector<Address> &sidecars);
    /// Announces now to one process.
    void announceTo(const Address &address);
    /// Finds silent entries; reads the list if it is time. `stall` is the time for which this process stood still before.
    void tick(milliseconds processPause);

    /// Addresses to hand a change of configuration to: a few in the data centre, a few outside.
    std::vector<Address> fanOut() const;
    const std::map<EntryId, PeerView> &views() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t peersInDataCenter = 4;         ///< entries announced to in the own data centre
constexpr std::size_t peersOutside = 4;              ///< entries announced to elsewhere
constexpr milliseconds membershipPollInterval{2000}; ///< between reads of the platform's list: 370 entries make 185 reads a second

} // namespace Parsleytrail
