// The other entries: their addresses and configuration versions, from their announcements and the platform's membership list.
#pragma once

#include "entry/context.h"
#include "store/store.h"
#include "wire/datagrams.h"

#include <functional>
#include <map>

namespace Parsleytrail
{

/// Another entry, as last announced.
struct PeerView {
    EntryAnnouncement last;        ///< newest announcement
    TimePoint lastReceivedAt{};    ///< when that announcement was received
    bool isTimedOut = false;       ///< no announcement for silence-timeout
    bool isNewIncarnation = false; ///< the newest announcement is the first of its incarnation
};

/// Announces this entry to others and keeps a view of each entry that announces itself.
class Peers
{
public:
    /// `describe` fills in the state and the configuration version of an announcement of this entry.
    Peers(EntryContext &context, Store &store, DatagramSocket &datagrams, std::vector<Address> seeds, std::function<void(EntryAnnouncement &)> describe);
    ~Peers();

    /// Called for each announcement of another entry, unless it is of an older incarnation.
    void onAnnouncement(std::function<void(const EntryAnnouncement &)> handler);
    /// Whether the announcement is the first of an entry's incarnation; only within the handler of onAnnouncement.
    bool isNewIncarnation(const EntryAnnouncement &announcement) const;
    /// Called after each read of the platform's membership list with all targets that it marks as leaving.
    void onLeaving(std::function<void(const std::vector<TargetId> &)> handler);

    void start(const Address &self);
    void handleAnnouncement(const EntryAnnouncement &announcement);
    /// Sends an announcement to the selected peers and to these sidecars.
    void announce(const std::vector<Address> &sidecars);
    /// Sends an announcement to one process.
    void announceTo(const Address &address);
    /// Marks entries that have timed out and reads the membership list when it is due. `processPause` is the time for which this
    /// process was paused or its loop was blocked before the call; it doesn't count towards the timeout.
    void tick(milliseconds processPause);

    /// Entries that configuration changes and suspicion notices are sent to: up to peersInDataCenter in this data centre and up to
    /// peersOutside elsewhere. These forward them in turn.
    std::vector<Address> fanOut() const;
    const std::map<EntryId, PeerView> &views() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t peersInDataCenter = 4;         ///< entries of the same data centre to announce to
constexpr std::size_t peersOutside = 4;              ///< entries of other data centres to announce to
constexpr milliseconds membershipPollInterval{2000}; ///< between reads of the membership list: 370 entries make 185 reads a second

} // namespace Parsleytrail
