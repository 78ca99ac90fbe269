// Limits of requests a second that targets name for all entries together.
//
// Each entry sends a limited target the same share of the requests that it would send there without the limit. The share
// follows from the limit and from what all entries would send: entries report how many requests a second they want to send to each limited
// target, and learn the sum of the others. So the whole rate keeps to the limit however many entries there are and however uneven
// their callers are, and nothing is saved up while a target gets few requests. The other requests go to other targets.
//
//     recordNamedLimit(target.demand, perSecond, now, draw);         // from a response, or learned from other entries
//     if (!admitRequest(target.demand, entries, now)) ...            // a request would go to this target: choose another one
//
// While others have not reported, they are assumed to want as much as those who have. Pure: the caller passes the time in.
#pragma once

#include "base/clock.h"
#include "generated/messages.h"

#include <map>
#include <vector>

namespace Parsleytrail
{

/// Share of a limit that is used: what entries want changes while their reports are on the way.
constexpr double usableLimitShare = 0.85;
/// Time over which wanted requests are averaged.
constexpr milliseconds demandWindow{1000};
/// A limit ends if no response has confirmed it for this long. Until then requests of some entry pass and bring responses.
constexpr std::chrono::seconds limitLifetime{30};
constexpr std::size_t maxReportedDemands = 24; ///< targets in one message: 450 bytes

/// Requests to one target: the limit that it has named, and how many entries want to send.
struct RequestDemand {
    double limit = 0;         ///< requests a second that the target takes from all entries; zero: it names none
    TimePoint namedAt{};      ///< when the limit, or that there is none any more, was last read from a response; zero: never
    bool isNamedHere = false; ///< the response came to this entry
    double wanted = 0;        ///< requests a second that this entry would send, on average over demandWindow; see wantedRate()
    TimePoint wantedAt{};     ///< when `wanted` was last updated
    double peersWanted = 0;   ///< sum of what other entries want, as last reported
    int peersReporting = 0;   ///< number of these entries
    double credit = 0;        ///< part of a request that was not admitted and counts for the next one
};

/// Records what a target's response names; zero is no limit. `draw` in [0, 1) sets where the share of this entry begins, so that entries
/// don't all send at once. Returns whether the limit changed.
bool recordNamedLimit(RequestDemand &demand, double perSecond, TimePoint now, double draw);
/// The same as learned from other entries at `now`, read from a response at `namedAt`. Ignored if an observation here is newer.
bool recordLearnedLimit(RequestDemand &demand, double perSecond, TimePoint namedAt, double draw);
/// Whether the target has named a limit, or that there is none any more, within limitLifetime: entries tell each other of it.
bool hasRecentLimit(const RequestDemand &demand, TimePoint now);
/// The limit in force; zero if there is none.
double limitInForce(const RequestDemand &demand, TimePoint now);
/// Requests a second that this entry wants to send.
double wantedRate(const RequestDemand &demand, TimePoint now);
/// Counts a request that this entry wants to send to the target, and returns whether it may. `entries` is the number of entries that share
/// the limit, this one included.
bool admitRequest(RequestDemand &demand, int entries, TimePoint now);

/// What several entries report of one target.
struct DemandSum {
    double limit = 0;    ///< as last named to one of them
    TimePoint namedAt{}; ///< when; zero: to none
    double wanted = 0;   ///< requests a second, summed
    int entries = 0;     ///< number of them
};
using DemandTable = std::map<std::uint32_t, DemandSum>; ///< by loadKey() of the target

/// Adds a message's list, which was received at `receivedAt`.
void addDemands(DemandTable &table, const std::vector<TargetDemand> &demands, TimePoint receivedAt);
/// What an entry reports of a target while hasRecentLimit().
TargetDemand describeDemand(const RequestDemand &demand, std::uint32_t target, TimePoint now);
/// The table as a message's list, at most maxReportedDemands, those that are wanted most.
std::vector<TargetDemand> listDemands(const DemandTable &table, TimePoint now);

} // namespace Parsleytrail
