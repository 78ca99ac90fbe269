// The targets that a relay knows: what the registry says of them, and what it has seen of them itself.
//
//     Fleet fleet;
//     noteListed(fleet, target, now);               // from the registry
//     noteFailure(fleet, id, now, pause);           // from a request
//     if (isUsable(*findTarget(fleet, id), now)) ...
//
// Pure: the caller passes the time in. A Target* stays good until the target is removed.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Parsleytrail
{

/// Layers [from, to) of a model.
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
    /// The part of it that a model with `layers` layers has: what engines report may be wrong. Empty or less if there is none.
    LayerRange within(int layers) const
    {
        return {from < 0 ? 0 : from, to > layers ? layers : to};
    }
};

/// What the registry says of a target.
struct RegisteredTarget {
    TargetId id;                   ///< changes with most starts
    ServiceName service;           ///< service that it serves
    Address address;               ///< where it takes requests
    std::string dataCenter;        ///< where it stands
    bool isDraining = false;       ///< leaving: takes no new work
    int slots = 0;                 ///< requests served side by side
    std::string accelerator;       ///< kind of accelerator; empty for plain services
    LayerRange layers;             ///< layers held; empty: none
    std::uint64_t startedAtMs = 0; ///< its start, Unix milliseconds; a later start is higher

    bool operator==(const RegisteredTarget &) const = default;
};

/// A target with what this process has seen of it.
struct Target {
    RegisteredTarget registered;      ///< newest entry of the registry
    TimePoint registeredAt{};         ///< when this start of it was first listed
    bool isRestart = false;           ///< it, or one with its address, was listed before: a restart, not an addition
    TimePoint avoidUntil{};           ///< gets no work before, after a failure
    int failuresInRow = 0;            ///< requests and questions that failed since the last request that did not
    int probeTimeoutsInRow = 0;       ///< questions that it did not answer since the last that it did
    int refusalsInRow = 0;            ///< requests that it refused without running them, since the last that it took
    int peersAvoiding = 0;            ///< other entries that give it no work for now, after failures or refusals, as last heard
    bool needsProbe = false;          ///< gets no work before it has answered a question, besides avoidUntil
    bool hasReportedOrders = false;   ///< it has told ordersAccepted itself
    TimePoint reportedAt{};           ///< when it last reported; zero: never
    double slowdownFactor = 1;        ///< times as long as usual for each pass, as it last reported
    bool isExecutingOrder = false;    ///< it carries out an order, as it last reported
    std::uint64_t ordersAccepted = 0; ///< orders begun since its start, as it last reported
    int openRequests = 0;             ///< of this process
    double kvTokenLayers = 0;         ///< KV cache that this process's open requests are expected to need, tokens x layers
    double peersKvTokenLayers = 0;    ///< the same of the other entries, as last heard
    int peersOpenRequests = 0;        ///< open requests of the other entries, as last heard
};

/// All targets.
struct Fleet {
    std::map<TargetId, Target> targets; ///< by id
    std::set<Address> knownAddresses;   ///< of all targets listed so far; as many as the instances that ever held one
};

/// Adds or updates a target. A later start of the same id is a new target: what was seen of the old one is forgotten.
/// Returns false if the entry tells of an earlier start than the known one, and ignores it.
bool recordRegistration(Fleet &fleet, const RegisteredTarget &registered, TimePoint now);
void recordRemoval(Fleet &fleet, const TargetId &id);

Target *findTarget(Fleet &fleet, const TargetId &id);
const Target *findTarget(const Fleet &fleet, const TargetId &id);
/// The target at an address; null if none is listed there. Of several the last started.
Target *findTargetAt(Fleet &fleet, const Address &address);
/// Requests open at it, of this entry and of the others as last heard.
int totalOpenRequests(const Target &target);
/// Whether new work may be sent to it.
bool isUsable(const Target &target, TimePoint now);

/// First pause after a failure; doubles with each failure in a row. A crashed engine is back after some seconds, and a
/// request sent to it costs an attempt: long enough not to spend many, short enough to find it back at once.
constexpr milliseconds initialFailureBackoff{400};
/// Longest pause after failures in a row.
constexpr milliseconds maxFailureBackoff{3000};
void recordFailure(Target &target, TimePoint now);

/// First pause after a refusal; doubles with each in a row. An engine refuses while it drains, which the registry tells a
/// second later or two, or while its slots or its KV cache are full, which ends with the next of its streams.
constexpr milliseconds initialRefusalBackoff{200};
/// Longest pause after refusals in a row: the news that an engine drains is there by then.
constexpr milliseconds maxRefusalBackoff{1600};
/// Pauses work to a target that refused some. It works, and its layers are not lost.
void recordRefusal(Target &target, TimePoint now);
/// Whether requests or questions to it fail.
bool isFailing(const Target &target, TimePoint now);
/// Whether it gets no work for now, after failures or refusals: other entries are told, and prefer others.
bool isAvoided(const Target &target, TimePoint now);
void recordSuccess(Target &target);
/// It answered a question: it lives, though requests to it may still fail.
void recordProbeResponse(Target &target);

} // namespace Parsleytrail
