// Decides from whom an entry gets the tables of the platform's store: from another entry, or by reading the store itself.
//
// The store limits and charges the calls of all entries together. One entry of each data centre reads: its best aggregator. The
// other aggregators copy from it, and members from their aggregator. So calls grow with the number of data centres, also at a start
// of all entries. When the reader loses the store, the next best aggregator reads; while no aggregator of a group reaches the store,
// its standby aggregator tries too, and after a while the other members.
//
//     const TableSource source = findTableSource(exchange, now);
//     if (!source.host.empty()) ... // copy rows from there if it has newer ones
//
// Pure functions.
#pragma once

#include "policy/load_exchange.h"

namespace Parsleytrail
{

/// The entry to copy tables from, and the newest changes that it has. One whose tables are older than LoadExchange::maxTablesAge is none,
/// whatever it says of itself. Empty host: this entry reads the store itself.
TableSource findTableSource(const LoadExchange &exchange, TimePoint now);
/// Whether this entry has the tables from the store at first hand, or from an entry that has.
bool hasCurrentTables(const LoadExchange &exchange, TimePoint now);
/// Whether this entry leaves reading the store to others although none of them reaches it: it is a member whose aggregator and its
/// standby try already.
bool leavesReadingToOthers(const LoadExchange &exchange, TimePoint now);

/// The last contact of an entry that reads the store.
struct StoreContact {
    TimePoint askedAt{};    ///< when it began to read, after it had left that to others
    TimePoint answeredAt{}; ///< when the store last answered it
};

/// How a silent store is told from one without news.
struct ContactLimits {
    milliseconds interval{0};   ///< a watch of the targets is answered after this time, also without changes, which are rare
    milliseconds maxSilence{0}; ///< a store that has not answered for this long counts as silent
    milliseconds maxAge{0};     ///< an entry whose tables are older asks the store itself, and may not rely on another's that are
    milliseconds bound{0};      ///< an entry whose tables are older may not refuse a request for good as they say
};

/// Limits for a deployment in which every entry must apply a change of the tables within `tableBound`. Bounds below 2 s and above 10 s are
/// treated as 2 s and 10 s. An entry that copies from a reader must detect the reader's silent store, and read the change itself,
/// within that time. A shorter interval means more calls to the store.
ContactLimits contactLimits(milliseconds tableBound);
/// Whether the store is silent for an entry that reads it. Others must not rely on its tables then.
bool isStoreSilent(const StoreContact &contact, milliseconds maxSilence, TimePoint now);

/// When a member stops to leave reading to its aggregator and the standby, if neither of them reaches the store.
struct MemberPatience {
    TimePoint readsAt{}; ///< from then on it reads by itself, unless it has a source
};

/// Time for the standby to read, and for three messages: from it to the aggregator, and of the aggregator, once it has copied, to the members.
constexpr milliseconds standbyTime = 3 * exchangeInterval + milliseconds(50);
constexpr milliseconds memberTurnTime{50}; ///< members read one after the other, with this time for each known entry

/// Starts the wait anew, as there is an entry to copy from. `entries`: number of other entries; `turn`: random, in [0, 1), spreads the members.
void recordSource(MemberPatience &patience, int entries, double turn, TimePoint now);

/// What an entry does about the tables at present.
enum class TableAccess {
    Copy,          ///< copies newer rows from PeersView::source
    LeaveToOthers, ///< keeps what it has
    Read,          ///< reads and watches the store
};

/// An entry's own tables.
struct OwnTables {
    bool isComplete = false; ///< it has both
    bool isPatient = false;  ///< without a source, it has not left reading to others for too long yet
    bool areOld = false;     ///< older than ContactLimits::maxAge
};
OwnTables describeOwnTables(bool isComplete, const MemberPatience &patience, const OwnTablesAge &age, const ContactLimits &limits, TimePoint now);

/// An entry with old tables reads, whatever its source says and its turn is: the source's copies may not arrive, and the first ones to read
/// may be cut off from the store too.
TableAccess chooseTableAccess(const PeersView &others, const OwnTables &own);

} // namespace Parsleytrail
