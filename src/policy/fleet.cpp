#include "policy/fleet.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Parsleytrail
{

/// Applies what a target said before its registry entry was removed, unless it was started again since.
static void restoreStatements(Fleet &fleet, Target &target)
{
    const auto removed = fleet.removedTargets.find(target.registered.id);
    if (removed == fleet.removedTargets.end()) {
        return;
    }
    if (target.registered.startedAtMs <= removed->second.startedAtMs) {
        target.hasSaidItLeaves = removed->second.hasSaidItLeaves;
        target.pausedUntil = removed->second.pausedUntil;
    }
    fleet.removedTargets.erase(removed);
}

bool recordRegistration(Fleet &fleet, const RegisteredTarget &registered, TimePoint now)
{
    const auto it = fleet.targets.find(registered.id);
    if (it == fleet.targets.end()) {
        Target &added = fleet.targets[registered.id];
        added.registered = registered;
        added.registeredAt = now;
        added.isRestart = !fleet.knownAddresses.insert({registered.service, registered.address}).second;
        restoreStatements(fleet, added);
        return true;
    }
    Target &known = it->second;
    if (registered.startedAtMs < known.registered.startedAtMs) {
        return false;
    }
    const bool hasRestarted = registered.startedAtMs > known.registered.startedAtMs;
    const int openRequests = known.openRequests;
    if (hasRestarted) {
        // Failures and orders before the restart don't apply any more; requests that are still open end by themselves.
        known = Target();
        known.openRequests = openRequests;
        known.registeredAt = now;
        known.isRestart = true;
    }
    known.registered = registered;
    return true;
}

void recordRemoval(Fleet &fleet, const TargetId &id, TimePoint now)
{
    std::erase_if(fleet.removedTargets, [now](const auto &entry) {
        return now - entry.second.removedAt > removedTargetLifetime;
    });
    if (const Target *target = findTarget(fleet, id)) {
        fleet.removedTargets[id] = {target->registered.startedAtMs, now, target->hasSaidItLeaves, target->pausedUntil};
    }
    fleet.targets.erase(id);
}

bool recordLeaving(Target &target)
{
    return !std::exchange(target.hasSaidItLeaves, true);
}

bool isLeaving(const Target &target)
{
    return target.hasSaidItLeaves || target.registered.isDraining;
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

TargetStart startOf(const Target &target)
{
    return {target.registered.id, target.registered.startedAtMs};
}

Target *findStart(Fleet &fleet, const TargetStart &start)
{
    Target *target = findTarget(fleet, start.id);
    return target && target->registered.startedAtMs == start.startedAtMs ? target : nullptr;
}

bool isFromTarget(const Target &target, std::uint64_t startedAtMs)
{
    const bool isStated = startedAtMs != 0 && target.registered.startedAtMs != 0;
    return !isStated || startedAtMs == target.registered.startedAtMs;
}

/// Of the targets registered at an address, the one whose start time sorts first by `isBefore`; null if there is none.
template<typename Compare>
static Target *findOwner(Fleet &fleet, const Address &address, Compare isBefore)
{
    Target *found = nullptr;
    for (auto &[id, target] : fleet.targets) {
        const bool isOwner = target.registered.address == address;
        if (isOwner && (!found || isBefore(target.registered.startedAtMs, found->registered.startedAtMs))) {
            found = &target;
        }
    }
    return found;
}

Target *findLastOwner(Fleet &fleet, const Address &address)
{
    return findOwner(fleet, address, std::greater<>());
}

Target *findFirstOwner(Fleet &fleet, const Address &address)
{
    return findOwner(fleet, address, std::less<>());
}

int totalOpenRequests(const Target &target)
{
    return target.openRequests + target.peersOpenRequests;
}

bool isUsable(const Target &target, TimePoint now)
{
    return !isLeaving(target) && !target.needsProbe && now >= target.avoidUntil;
}

void recordFailure(Target &target, TimePoint now)
{
    const int doublings = std::min(target.failuresInRow, 8);
    const milliseconds backoff = std::min(initialFailureBackoff * (1 << doublings), maxFailureBackoff);
    target.avoidUntil = now + backoff;
    ++target.failuresInRow;
}

void recordRefusal(Target &target, TimePoint now)
{
    const int doublings = std::min(target.refusalsInRow, 8);
    const milliseconds backoff = std::min(initialRefusalBackoff * (1 << doublings), maxRefusalBackoff);
    target.avoidUntil = std::max(target.avoidUntil, now + backoff);
    ++target.refusalsInRow;
    target.refusedAt = now;
}

void recordRequestedPause(Target &target, milliseconds pause, TimePoint now)
{
    target.pausedUntil = std::max(target.pausedUntil, now + std::min<milliseconds>(pause, maxRequestedPause));
}

bool isPaused(const Target &target, TimePoint now)
{
    return now < target.pausedUntil;
}

milliseconds timeUntilPauseEnds(const Fleet &fleet, const ServiceName &service, TimePoint now)
{
    milliseconds shortest{0};
    for (const auto &[id, target] : fleet.targets) {
        if (target.registered.service != service || !isPaused(target, now)) {
            continue;
        }
        const auto left = std::chrono::ceil<milliseconds>(target.pausedUntil - now);
        shortest = shortest == milliseconds(0) ? left : std::min(shortest, left);
    }
    return shortest;
}

void recordStreamBegun(Target &target, TimePoint now)
{
    target.lastBegunAt = now;
    target.silencesInRow = 0;
    target.noNewStreamsUntil = TimePoint();
}

void recordSilence(Target &target, TimePoint now)
{
    const int doublings = std::min(target.silencesInRow, 8);
    target.noNewStreamsUntil = now + std::min(initialFailureBackoff * (1 << doublings), maxFailureBackoff);
    ++target.silencesInRow;
}

bool mayBeginStreams(const Target &target, TimePoint now)
{
    return now >= target.noNewStreamsUntil;
}

bool isFailing(const Target &target, TimePoint now)
{
    return target.failuresInRow > 0 && !isLeaving(target) && !isUsable(target, now);
}

bool isAvoided(const Target &target, TimePoint now)
{
    return isFailing(target, now) || (target.refusalsInRow > 0 && now < target.avoidUntil);
}

void recordProbeResponse(Target &target)
{
    target.unansweredProbesInRow = 0;
    target.needsProbe = false;
}

void recordSuccess(Target &target, TimePoint sentAt)
{
    target.unansweredProbesInRow = 0;
    target.failuresInRow = 0;
    target.needsProbe = false;
    const bool hasRefusedSince = target.refusalsInRow > 0 && sentAt <= target.refusedAt;
    if (!hasRefusedSince) {
        target.refusalsInRow = 0;
        target.avoidUntil = TimePoint();
    }
}

} // namespace Parsleytrail
