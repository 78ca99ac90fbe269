// Announces this target and its load to entries, and discovers entries.
//
// A sidecar announces to a few entries that it selects by rendezvous hashing, so that no entry receives from all targets and
// no target sends to all entries. It learns of entries from its settings, from the entries' own announcements and, every
// `membershipPollInterval`, from the platform's membership list.
#pragma once

#include "sidecar/context.h"
#include "store/store.h"
#include "wire/datagrams.h"

namespace Parsleytrail
{

/// Sends announcements and load reports to the selected entries.
class Announcer
{
public:
    /// `describe` fills in the fields that change: all but identity, location, sequence, address, target class and wire version.
    Announcer(SidecarContext &context, Store &store, DatagramSocket &datagrams, std::vector<Address> seeds, std::function<void(Announcement &)> describe);
    ~Announcer();

    /// Starts announcing `self` as the address of this sidecar, every announce-interval.
    void start(const Address &self);
    /// Sends a full announcement at once, e.g. because the state changed.
    void announce();
    /// Adds, refreshes or, if it is draining, removes an entry. Entries of other regions are ignored. A new entry, or a new
    /// incarnation of one, causes a full announcement.
    void handleEntryAnnouncement(const EntryAnnouncement &entry);
    /// The entries selected at present.
    std::vector<Address> entries() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::uint32_t reportsBetweenAnnouncements = 15;          ///< load reports between two full announcements; a report is a quarter of the size
constexpr milliseconds membershipPollIntervalWithoutEntries{1000}; ///< between reads of the membership list while no entry is known
constexpr milliseconds membershipPollInterval{30000};              ///< otherwise; 3,100 sidecars then make 103 reads a second
constexpr milliseconds knownEntryLifetime{60000};                  ///< an entry neither announced nor listed for this long is removed, unless the store is down

} // namespace Parsleytrail
