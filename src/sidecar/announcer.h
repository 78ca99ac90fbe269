// Tells entries what this target holds, and learns which entries there are.
//
// A sidecar announces to a few entries that it picks by rendezvous hashing, so that no entry hears from all targets
// and no target speaks to all entries. Entries it learns from its settings, from the entries' own announcements, and,
// seldom, from the platform's list.
#pragma once

#include "sidecar/context.h"
#include "store/store.h"
#include "wire/datagrams.h"

namespace Parsleytrail
{

/// Sends announcements.
class Announcer
{
public:
    /// `describe` fills in everything but identity, sequence and address.
    Announcer(SidecarContext &context, Store &store, DatagramSocket &datagrams, std::vector<Address> seeds, std::function<void(Announcement &)> describe);
    ~Announcer();

    /// Starts announcing from this address.
    void start(const Address &self);
    /// Announces in full now, e.g. because the state changed.
    void announce();
    /// An entry announced itself.
    void heardEntry(const EntryAnnouncement &entry);
    /// Entries announced to at present.
    std::vector<Address> entries() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::uint32_t reportsBetweenAnnouncements = 15; ///< load reports, a quarter of the size, before the next full announcement
constexpr milliseconds membershipPollAlone{1000};         ///< between reads of the list while no entry is known
constexpr milliseconds membershipPoll{30000};             ///< between reads of the list otherwise: 3,100 sidecars make 103 reads a second
constexpr milliseconds entryLife{60000};                  ///< an entry that is heard of in no way for this long is forgotten

} // namespace Parsleytrail
