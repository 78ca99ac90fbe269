#include "policy/fleet.h"

#include <algorithm>

namespace Parsleytrail
{

bool noteListed(Fleet &fleet, const ListedTarget &listed, TimePoint now)
{
    const auto it = fleet.targets.find(listed.id);
    if (it == fleet.targets.end()) {
        Target &added = fleet.targets[listed.id];
        added.listed = listed;
        added.listedAt = now;
        added.hasReturned = !fleet.knownAddresses.insert(listed.address).second;
        return true;
    }
    Target &known = it->second;
    if (listed.startedAtMs < known.listed.startedAtMs) {
        return false;
    }
    const bool hasRestarted = listed.startedAtMs > known.listed.startedAtMs;
    const int openRequests = known.openRequests;
    if (hasRestarted) {
        // Failures and orders of the start before say nothing of this one; open requests end by themselves.
        known = Target();
        known.openRequests = openRequests;
        known.listedAt = now;
        known.hasReturned = true;
    }
    known.listed = listed;
    return true;
}

void noteRemoved(Fleet &fleet, const TargetId &id)
{
    fleet.targets.erase(id);
}

Target *findTarget(Fleet &fleet, const TargetId &id)
{
    const auto it = fleet.targets.find(id);
    return it == fleet.targets.end() ? nullptr : &it->second;
}

const Target *findTarget(const Fleet &fleet, const TargetId &id)
{
    const auto it = fleet.targets.find(id);
    return it == fleet.targets.end() ? nullptr : &it->second;
}

Target *findTargetAt(Fleet &fleet, const Address &address)
{
    Target *found = nullptr;
    for (auto &[id, target] : fleet.targets) {
        const bool isNewer = !found || target.listed.startedAtMs > found->listed.startedAtMs;
        if (target.listed.address == address && isNewer) {
            found = &target;
        }
    }
    return found;
}

int allOpenRequests(const Target &target)
{
    return target.openRequests + target.peersOpenRequests;
}

bool isUsable(const Target &target, TimePoint now)
{
    return !target.listed.isDraining && !target.needsProbe && now >= target.avoidUntil;
}

void noteFailure(Target &target, TimePoint now)
{
    const int doublings = std::min(target.failuresInRow, 8);
    const milliseconds pause = std::min(firstAvoidance * (1 << doublings), longestAvoidance);
    target.avoidUntil = now + pause;
    ++target.failuresInRow;
}

void noteRefusal(Target &target, TimePoint now)
{
    const int doublings = std::min(target.refusalsInRow, 8);
    const milliseconds pause = std::min(firstRefusalPause * (1 << doublings), longestRefusalPause);
    target.avoidUntil = std::max(target.avoidUntil, now + pause);
    ++target.refusalsInRow;
}

bool isFailing(const Target &target, TimePoint now)
{
    return target.failuresInRow > 0 && !target.listed.isDraining && !isUsable(target, now);
}

bool isAvoided(const Target &target, TimePoint now)
{
    return isFailing(target, now) || (target.refusalsInRow > 0 && now < target.avoidUntil);
}

void noteAnswer(Target &target)
{
    target.silencesInRow = 0;
    target.needsProbe = false;
}

void noteSuccess(Target &target)
{
    target.silencesInRow = 0;
    target.failuresInRow = 0;
    target.refusalsInRow = 0;
    target.needsProbe = false;
    target.avoidUntil = TimePoint();
}

} // namespace Parsleytrail
