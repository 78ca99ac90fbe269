#include "policy/fallback_leader.h"

#include <algorithm>

namespace Parsleytrail
{

bool mayOrderWithoutLease(const FallbackLeaderView &view)
{
    if (!view.isStoreLost) {
        return false;
    }
    const bool isStoreReachableByPeer = std::any_of(view.peers.begin(), view.peers.end(), [](const FallbackLeaderPeer &peer) {
        return !peer.isStoreLost;
    });
    const bool hasOtherLeader = std::any_of(view.peers.begin(), view.peers.end(), [&](const FallbackLeaderPeer &peer) {
        return peer.isOrdering && !peer.isDraining && (!view.isOrdering || peer.id < view.self);
    });
    if (isStoreReachableByPeer || hasOtherLeader) {
        return false;
    }
    const bool hasLowestId = std::none_of(view.peers.begin(), view.peers.end(), [&](const FallbackLeaderPeer &peer) {
        return !peer.isDraining && peer.id < view.self;
    });
    return view.wasLastLeaseHolder || view.isOrdering || (hasLowestId && view.storeLostFor >= leaseExpiryBound);
}

bool shouldSeekLease(const LeaseCandidacy &candidacy)
{
    if (candidacy.isJoining || candidacy.isLeaderReported) {
        return false;
    }
    return candidacy.isAggregator || candidacy.leaderMissingFor >= aggregatorTakeoverTime;
}

} // namespace Parsleytrail
