// The targets of a relay: their registry entries and the state that this process has observed.
//
//     Fleet fleet;
//     recordRegistration(fleet, target, now);             // a registry entry was added or updated
//     recordFailure(*findTarget(fleet, id), now);         // a request or a probe failed
//     if (isUsable(*findTarget(fleet, id), now)) ...
//
// Pure: the caller passes the time in. A Target* stays valid until the target is removed.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/ids.h"
#include "policy/request_limits.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Parsleytrail
{

/// Half-open range [from, to) of a model's layers.
struct LayerRange {
    int from = 0; ///< first layer
    int to = 0;   ///< one past the last layer

    auto operator<=>(const LayerRange &) const = default;
    int count() const
    {
        return to - from;
    }
    bool contains(const LayerRange &other) const
    {
        return from <= other.from && other.to <= to;
    }
    /// This range clipped to [0, layers), as an engine may report layers that its model does not have. The result can always be used
    /// as an index range; it is empty if nothing is left.
    LayerRange within(int layers) const
    {
        const int first = std::clamp(from, 0, layers);
        return {first, std::clamp(to, first, layers)};
    }
};

/// A target's entry in the registry.
struct RegisteredTarget {
    TargetId id;                   ///< changes with most restarts
    ServiceName service;           ///< service that it runs
    Address address;               ///< address that accepts requests
    std::string dataCenter;        ///< data centre of the target
    bool isDraining = false;       ///< shutting down: accepts no new work
    int slots = 0;                 ///< concurrent requests
    std::string accelerator;       ///< kind of accelerator; empty for services without an engine
    LayerRange layers;             ///< layers held; empty: none
    std::uint64_t startedAtMs = 0; ///< start time, Unix milliseconds; a later start has a higher value

    bool operator==(const RegisteredTarget &) const = default;
};

/// A target and what this process has observed of it.
struct Target {
    RegisteredTarget registered;      ///< latest registry entry
    TimePoint registeredAt{};         ///< when the current start of the target was first registered
    bool isRestart = false;           ///< its id, or its address for the same service, was registered before: a restart, not an added instance
    TimePoint avoidUntil{};           ///< after failures or refusals: gets no work before this time
    int failuresInRow = 0;            ///< requests and probes that failed since the last successful request
    int unansweredProbesInRow = 0;    ///< probes without a valid response, and reports that requests wait for it, since its last valid response
    int refusalsInRow = 0;            ///< requests that it refused without running them, since it last accepted one
    TimePoint refusedAt{};            ///< when it last refused a request
    bool hasSaidItLeaves = false;     ///< a response of it said so; its registry entry may not
    TimePoint pausedUntil{};          ///< it refused a request and wants no other from this process before this time
    int peersAvoiding = 0;            ///< other entries that send it no work at present, after failures or refusals, as last reported
    int silencesInRow = 0;            ///< streams given up because it did not begin them, since it last began one
    TimePoint noNewStreamsUntil{};    ///< after a silence: is not the first engine of a stream before this time
    TimePoint lastBegunAt{};          ///< when a stream of this process last received its first event from it
    bool needsProbe = false;          ///< gets no work until it has answered a probe, even after avoidUntil
    bool hasReportedOrders = false;   ///< ordersAccepted comes from the target itself
    TimePoint reportedAt{};           ///< when it last reported; zero: never
    double slowdownFactor = 1;        ///< duration of a pass relative to the normal one, as last reported
    bool isExecutingOrder = false;    ///< an order is in progress, as last reported
    std::uint64_t ordersAccepted = 0; ///< orders begun since its start, as last reported
    int openRequests = 0;             ///< open requests of this process
    RequestDemand demand{};           ///< its limit of requests a second, if it names one, and what entries want to send
    int openSuspects = 0;             ///< of these, requests that were open at a crash of another target
    double kvTokenLayers = 0;         ///< KV cache that this process's open requests are expected to need, tokens x layers
    double peersKvTokenLayers = 0;    ///< KV cache that the open requests of other entries need, tokens x layers, as last reported
    int peersOpenRequests = 0;        ///< open requests of the other entries, as last reported
    TimePoint prefillBusyUntil{};     ///< until when it is expected to process prompts; see policy/prefill_forecast.h
};

/// One start of a target. A later start under the same id knows and holds nothing of before.
struct TargetStart {
    TargetId id;
    std::uint64_t startedAtMs = 0; ///< see RegisteredTarget

    auto operator<=>(const TargetStart &) const = default;
};

/// What is remembered of a target without a registry entry: entries of running targets are removed during outages of the store, and come back.
struct RemovedTarget {
    std::uint64_t startedAtMs = 0; ///< its start, Unix milliseconds
    TimePoint removedAt{};
    bool hasSaidItLeaves = false;
    TimePoint pausedUntil{};
};

/// All registered targets.
struct Fleet {
    std::map<TargetId, Target> targets;               ///< by id
    std::map<TargetId, RemovedTarget> removedTargets; ///< by id, those removed within removedTargetLifetime
    /// Service and address of every target registered since the start, including removed ones. Grows with the number of instances ever seen.
    std::set<std::pair<ServiceName, Address>> knownAddresses;
};

/// Adds or updates a target. A later start of the same id is a new target, whose observed state is reset. Returns false and
/// ignores the entry if it belongs to an earlier start than the known one.
bool recordRegistration(Fleet &fleet, const RegisteredTarget &registered, TimePoint now);
void recordRemoval(Fleet &fleet, const TargetId &id, TimePoint now);
/// Longer than an outage of the registry lasts, or a target takes to leave.
constexpr std::chrono::minutes removedTargetLifetime{10};
/// Records that a target said that it is leaving. It gets no new work until it is started again. Returns whether that is news.
bool recordLeaving(Target &target);
/// Whether the target is leaving, as it said itself or as the registry says.
bool isLeaving(const Target &target);

Target *findTarget(Fleet &fleet, const TargetId &id);
const Target *findTarget(const Fleet &fleet, const TargetId &id);
TargetStart startOf(const Target &target);
/// The target, if `start` is the one that the registry lists; null if the target was removed or has restarted since.
Target *findStart(Fleet &fleet, const TargetStart &start);
/// Whether the process that answered at the target's address is the registered one. It may be a later start of the target, or another
/// target that was given the address. `startedAtMs`: start time that the process stated; 0 if it stated none, which counts as the target.
bool isFromTarget(const Target &target, std::uint64_t startedAtMs);
/// The target registered at an address, or the last started of several, which is the only one that can still run; null if none.
Target *findLastOwner(Fleet &fleet, const Address &address);
/// The target registered at an address, or the first started of several: requests that are stalled there were sent to it. Null if none.
Target *findFirstOwner(Fleet &fleet, const Address &address);
/// Open requests of this entry and, as last reported, of the other entries.
int totalOpenRequests(const Target &target);
/// Whether new work may be sent to the target.
bool isUsable(const Target &target, TimePoint now);

/// Initial backoff after a failure; doubles with each consecutive failure. A crashed engine restarts within seconds, and
/// each request sent to it costs an attempt: the backoff limits the wasted attempts and still detects the restart early.
constexpr milliseconds initialFailureBackoff{400};
/// Upper bound of the backoff after consecutive failures.
constexpr milliseconds maxFailureBackoff{3000};
void recordFailure(Target &target, TimePoint now);

/// Initial backoff after a refusal; doubles with each consecutive refusal. An engine refuses while it drains, which the
/// registry reports one or two seconds later, or while its slots or its KV cache are full, until one of its streams ends.
constexpr milliseconds initialRefusalBackoff{200};
/// Upper bound of the backoff after consecutive refusals: the registry has reported a draining engine by then.
constexpr milliseconds maxRefusalBackoff{1600};
/// Backs off from a target that refused a request. The target is healthy: its layers don't count as lost.
void recordRefusal(Target &target, TimePoint now);
/// Upper bound of a pause that a target requests: a wrong value must not take it out of use for long.
constexpr std::chrono::seconds maxRequestedPause{60};
/// Records that a target which refused a request wants no other from this process for `pause`, of which maxRequestedPause counts. A
/// pause that runs longer already stays.
void recordRequestedPause(Target &target, milliseconds pause, TimePoint now);
/// Whether the target has requested a pause that is not over.
bool isPaused(const Target &target, TimePoint now);
/// Time until the first pause of the service's targets ends; zero if none is paused.
milliseconds timeUntilPauseEnds(const Fleet &fleet, const ServiceName &service, TimePoint now);
/// Records that a stream which began at this engine received its first event.
void recordStreamBegun(Target &target, TimePoint now);
/// Records that the engine accepted a stream and did not begin it, while it answers probes. It gets no new streams for a time
/// that doubles with each silence in a row; as a later engine of a chain it still works.
void recordSilence(Target &target, TimePoint now);
/// Whether streams may begin at the engine, after silences.
bool mayBeginStreams(const Target &target, TimePoint now);
/// Whether it gets no work at present, after failed requests or probes. False for a draining target.
bool isFailing(const Target &target, TimePoint now);
/// Whether it gets no work at present, after failures or refusals. Reported to other entries, which then prefer other targets.
bool isAvoided(const Target &target, TimePoint now);
/// Records that a request sent at `sentAt` succeeded. One that was sent before the last refusal says nothing about that: a draining
/// engine completes the requests that it has.
void recordSuccess(Target &target, TimePoint sentAt);
/// Records that the target answered a probe. It is reachable, but requests to it may still fail.
void recordProbeResponse(Target &target);

} // namespace Parsleytrail
