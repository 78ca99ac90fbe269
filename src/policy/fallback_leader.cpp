#include "policy/fallback_leader.h"

#include <algorithm>

namespace Parsleytrail
{

bool mayOrderWithoutLease(const DutyView &view)
{
    if (!view.isStoreLost) {
        return false;
    }
    const bool isReached = std::any_of(view.peers.begin(), view.peers.end(), [](const DutyPeer &peer) {
        return !peer.isStoreLost;
    });
    const bool isDone = std::any_of(view.peers.begin(), view.peers.end(), [&](const DutyPeer &peer) {
        return peer.isOrdering && !peer.isDraining && (!view.isOrdering || peer.id < view.self);
    });
    if (isReached || isDone) {
        return false;
    }
    const bool isFirst = std::none_of(view.peers.begin(), view.peers.end(), [&](const DutyPeer &peer) {
        return !peer.isDraining && peer.id < view.self;
    });
    return view.heldLast || view.isOrdering || (isFirst && view.storeLostFor >= leasesOverAfter);
}

} // namespace Parsleytrail
