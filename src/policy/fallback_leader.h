// Decides which entry places layers while the store is unreachable.
//
// Normally the holder of the lease does. Without the store no entry can renew or acquire the lease, and the layers of engines
// lost meanwhile would leave their data centre without a chain for the entire outage.
//
// Pure: the caller passes times in.
#pragma once

#include "base/clock.h"

#include <string>
#include <vector>

namespace Parsleytrail
{

/// State of another entry, as last reported.
struct FallbackLeaderPeer {
    std::string id;           ///< id of the entry
    bool isStoreLost = false; ///< the entry can't reach the store
    bool isDraining = false;  ///< the entry is shutting down
    bool isOrdering = false;  ///< the entry gives placement orders, with or without the lease
};

/// State of this entry and its peers.
struct FallbackLeaderView {
    std::string self;                        ///< id of this entry
    bool isStoreLost = false;                ///< this entry can't reach the store
    milliseconds storeLostFor{0};            ///< time since this entry lost the store
    bool wasLastLeaseHolder = false;         ///< this entry held the lease when it last reached the store
    bool isOrdering = false;                 ///< this entry has given orders without the lease so far
    std::vector<FallbackLeaderPeer> peers{}; ///< reachable entries
};

/// Every lease has expired after this time without the store: longer than the longest lease.
constexpr milliseconds leaseExpiryBound{4000};

/// Whether this entry may give orders without the lease. The last lease holder continues at once: an entry that has acquired
/// the lease since would report that it reaches the store. Without the last holder, the entry with the lowest id takes over
/// once all leases have expired. Two entries that can't reach each other may both give orders; engines execute only the
/// order that matches their state.
bool mayOrderWithoutLease(const FallbackLeaderView &view);

/// What an entry knows before it tries to acquire the lease.
struct LeaseCandidacy {
    bool isJoining = false;           ///< it has just started and does not know the other entries yet
    bool isAggregator = false;        ///< it is the aggregator of its group
    bool isLeaderReported = false;    ///< another entry reports that it gives orders
    milliseconds leaderMissingFor{0}; ///< time since such a report, or since the start
};

/// Members leave a lease without a holder to the aggregators for this long: only if the store turns away all aggregators is a
/// member needed.
constexpr milliseconds aggregatorTakeoverTime{3000};

/// Whether the entry should read the lease, and acquire it if it has expired. If all entries did, the calls and the conflicts of
/// each takeover would grow with their number.
bool shouldSeekLease(const LeaseCandidacy &candidacy);

} // namespace Parsleytrail
