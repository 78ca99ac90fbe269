// Who places layers while the store answers nobody.
//
// The lease says who does it; without the store nobody can renew or take it, and engines lost meanwhile would leave their
// data centre without a chain for the whole outage.
//
// Pure: the caller passes times in.
#pragma once

#include "base/clock.h"

#include <string>
#include <vector>

namespace Parsleytrail
{

/// Another entry as last heard.
struct FallbackLeaderPeer {
    std::string id;           ///< of the entry
    bool isStoreLost = false; ///< the store does not answer it
    bool isDraining = false;  ///< it is stopping
    bool isOrdering = false;  ///< it gives orders, with the lease or without
};

/// What this entry knows.
struct FallbackLeaderView {
    std::string self;                        ///< id of this entry
    bool isStoreLost = false;                ///< the store does not answer this entry
    milliseconds storeLostFor{0};            ///< since when
    bool wasLastLeaseHolder = false;         ///< the lease was this entry's when the store last answered it
    bool isOrdering = false;                 ///< it gave orders until now
    std::vector<FallbackLeaderPeer> peers{}; ///< entries that are heard
};

/// Without the store for this long, any lease that was held has ended: longer than the longest lease.
constexpr milliseconds leaseExpiryBound{4000};

/// Whether this entry may give orders without the lease. Its last holder goes on at once, as nobody can have taken it who
/// would not be heard to reach the store; without it the first of the entries acts once all leases are over. Two that do not
/// hear each other may both act: engines carry out only the order that fits their state.
bool mayOrderWithoutLease(const FallbackLeaderView &view);

} // namespace Parsleytrail
