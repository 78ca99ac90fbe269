// Shares of workspaces: how many tokens each workspace has started lately, at this relay and at all others together.
//
// Each relay counts the tokens of the streams that it starts, with the half-life startedCostHalfLife. While it lacks room, it
// reports its largest workspaces to the others; aggregators of the load exchange sum these lists like the loads of targets. So a
// workspace that uses much at all relays goes after one that uses little, whichever relay a stream arrives at. A relay that hears of no
// others uses its own counts.
//
//     recordStartedTokens(shares, workspace, promptTokens + answerTokens, now);
//     recordShortage(shares, now);                             // a stream is queued or refused for lack of room
//     state.usage = describeUsage(shares, now);                // for the next message
//     setOthersUsage(shares, peersView(exchange, now).usage, now);
//     const std::size_t next = selectNext(waiting, fleetLedger(shares, waiting, now), now);
//
// Messages name a workspace by a 32-bit hash. Two workspaces with the same hash count as one for the use at other relays.
//
// Pure functions: times are passed in.
#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "generated/messages.h"
#include "policy/admission.h"

#include <map>
#include <string>
#include <vector>

namespace Parsleytrail
{

constexpr std::size_t maxOwnWorkspaces = 8;     ///< workspaces that a relay lists of its own: 64 bytes
constexpr std::size_t maxSummedWorkspaces = 24; ///< workspaces in a list of sums: 192 bytes
/// No workspace starts so many tokens within a few half-lives: a higher value is a fault of its sender.
constexpr std::uint32_t maxUsageTokens = 1'000'000'000;
/// A relay reports for this long after it last lacked room: two half-lives, after which a quarter of the use is left.
constexpr std::chrono::seconds shortageReportTime{10};
/// Interval between the messages to one receiver that list usage. Lists in all messages would lengthen them by a quarter, and the counts
/// change little within this time.
constexpr milliseconds usageInterval{400};

/// Key of a workspace in messages.
std::uint32_t workspaceKey(const WorkspaceName &workspace);

using UsageTable = std::map<std::uint32_t, double>; ///< tokens by workspaceKey()

/// The last list of a sender. It stays in force until the next one, as only some messages have a list.
struct ReceivedUsage {
    std::vector<WorkspaceUsage> list; ///< without impossible values
    TimePoint receivedAt{};           ///< when it arrived
};
/// What was received and not used, since the start.
struct IgnoredUsage {
    std::uint64_t impossible = 0;   ///< values above maxUsageTokens
    std::uint64_t outdated = 0;     ///< lists that no newer one replaced in time: the sender was lost, or has room again
    std::string impossibleFromHost; ///< sender of the last impossible value
};
/// Stores the list of a newer message, if it has one. Impossible values are left out; returns their number.
std::uint64_t keepUsage(ReceivedUsage &kept, const std::vector<WorkspaceUsage> &list, TimePoint now);
/// Removes a list that is older than `timeout`. Returns whether there was one.
bool dropOutdatedUsage(ReceivedUsage &kept, milliseconds timeout, TimePoint now);
/// Adds a list, reduced by the decay since it was received.
void addUsage(UsageTable &table, const ReceivedUsage &usage, TimePoint now);
/// The table as a message's list: the `limit` largest workspaces.
std::vector<WorkspaceUsage> listUsage(const UsageTable &table, std::size_t limit);

/// What one relay knows.
struct WorkspaceShares {
    FairShareLedger own;    ///< tokens started here; the empty name stands for all callers of public routes
    UsageTable others;      ///< tokens started at the other relays, as of `othersAt`
    TimePoint othersAt{};   ///< time of `others`
    TimePoint shortageAt{}; ///< when a stream was last queued or refused for lack of room; zero: never
};
/// Records a stream that starts here. `tokens` is the prompt and the expected answer. Callers state it, so it may have any value: only
/// positive numbers count, and one stream counts at most maxUsageTokens.
void recordStartedTokens(WorkspaceShares &shares, const WorkspaceName &workspace, double tokens, TimePoint now);
/// Records that a stream was queued or refused for lack of room.
void recordShortage(WorkspaceShares &shares, TimePoint now);
/// Whether this relay lacks room, or did so within shortageReportTime.
bool isShortOfRoom(const WorkspaceShares &shares, TimePoint now);
/// What to report: the largest own workspaces; empty while there is room.
std::vector<WorkspaceUsage> describeUsage(const WorkspaceShares &shares, TimePoint now);
/// Replaces what is known of the other relays.
void setOthersUsage(WorkspaceShares &shares, UsageTable others, TimePoint now);
/// Tokens of a workspace that were started here.
double ownTokens(const WorkspaceShares &shares, const WorkspaceName &workspace, TimePoint now);
/// Tokens of a workspace that were started at the other relays; 0 if they were last heard longer than exchangeTimeout ago.
double othersTokens(const WorkspaceShares &shares, const WorkspaceName &workspace, TimePoint now);
/// Tokens of all relays together for the workspaces of the waiting requests, for selectNext().
FairShareLedger fleetLedger(const WorkspaceShares &shares, const std::vector<WaitingRequest> &waiting, TimePoint now);

/// Own and others' tokens together, by workspaceKey().
UsageTable knownUsage(const WorkspaceShares &shares, TimePoint now);
/// Share of the largest workspace in a table, 0 to 1; 0 if the table is empty.
double largestShare(const UsageTable &table);

} // namespace Parsleytrail
