// Load exchange between entries: which requests are open at which target, at a cost for each entry that does not grow with
// the number of entries.
//
// Entries of one data centre form groups. Each member sends reports to the aggregator of its group, which responds with a
// digest: the sums over all other entries. Aggregators send each other summaries of their groups. Entries need not agree on
// who aggregates: one that receives a report either accepts it or redirects the sender to another entry. Two groups of one
// data centre that receive messages from each other merge if they fit into one. Seeds from the settings and hosts known from
// earlier messages are probed in turn, so that a new entry finds the others and the halves of a partitioned fleet find each
// other again.
//
//     LoadExchange exchange = makeLoadExchange(self, incarnation, seeds, now);
//     send(tick(exchange, state, now));                  // every exchangeInterval
//     send(handleReport(exchange, report, now));         // and handleDigest(), handleSummary()
//     const PeersView others = peersView(exchange, now);
//
// Pure functions: messages, state and time are passed in, messages to send are returned.
#pragma once

#include "base/clock.h"
#include "policy/load_table.h"
#include "policy/table_age.h"
#include "policy/workspace_shares.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Parsleytrail
{

/// Interval between messages. All entries of a data centre select engines by the same loads: with outdated loads they all
/// select the same engines.
constexpr milliseconds exchangeInterval{100};
/// Messages are sent every 1 + n / localTargetsPerInterval intervals, where n is the number of targets in the data centre:
/// the longer the list of loads, the less often it is sent. Lists end at maxReportedLoads, and so does the growth. The timeouts below are
/// those of one interval, and grow with it.
constexpr std::size_t localTargetsPerInterval = 64;
/// Slices of the targets of other data centres; each digest covers one slice, in rotation. Their loads may be older, as
/// requests go there only if their own data centre has no free capacity.
constexpr std::uint32_t remoteSlices = 4;
/// An aggregator that has not responded for this long is replaced: three reports or responses lost in a row.
constexpr milliseconds aggregatorTimeout{700};
/// An aggregator that did not respond is not tried again for this long, so that it can restart or be replaced.
constexpr milliseconds aggregatorRetryDelay{3000};
/// A member or group is removed if nothing was received from it for this long: several datagrams lost in a row.
constexpr milliseconds exchangeTimeout{1500};
constexpr std::size_t maxGroupMembers = 24;      ///< bounds the traffic of an aggregator
constexpr std::size_t maxReportedLoads = 160;    ///< loads in one message, which limits datagrams to 2 KB
constexpr std::size_t maxGroups = 64;            ///< other groups that an aggregator keeps; also bounds contacts and join candidates
constexpr std::size_t maxSummaryAggregators = 8; ///< other aggregators named in a summary, in rotation
constexpr std::size_t maxDigestAggregators = 2;  ///< other aggregators named in a digest, in rotation
/// Summaries sent in an interval, to the groups that were sent one longest ago. With more groups than this, each gets them less
/// often.
constexpr std::size_t summariesPerInterval = 8;
/// Known hosts that are probed in turn after they timed out: how many are kept, and for how long.
constexpr std::size_t maxKnownHosts = 32;
constexpr std::chrono::minutes knownHostExpiry{10};
/// A new aggregator sends at once to the known hosts that sent or were named within this time.
constexpr milliseconds recentHostAge{10000};
/// For this long a new aggregator uses the digest that it received as a member: by then all its members have reported.
constexpr milliseconds takeoverTime{1200};
constexpr int maxRedirectsPerTick = 4; ///< redirects that an entry follows at once; a later one waits for the next tick
/// For this long after a start an entry without members reports to the seeds each time that it sends, to find a group to
/// join. After that the seeds are probed like known hosts.
constexpr milliseconds joinTime{2000};
/// A new entry that has not found its group after this time does without: entries that start together take a second.
constexpr milliseconds groupWaitTime{1500};

/// What an entry reports of itself.
struct EntryState {
    bool isStoreLost = false;                ///< the store does not respond to it
    bool isDraining = false;                 ///< it is stopping; its capacity is reported as 0
    bool isOrdering = false;                 ///< it sends placement orders to engines
    bool isWatching = false;                 ///< it watches the tables of the store itself
    bool isStoreFailing = false;             ///< its own calls to the store fail
    std::uint64_t configurationChange = 0;   ///< newest change of the configuration table that it has
    std::uint64_t targetsChange = 0;         ///< newest change of the target table that it has
    TimePoint tablesProvenAt{};              ///< see OwnTablesAge
    std::vector<EngineLoad> loads;           ///< targets at which it has load, or which it avoids
    std::vector<std::uint32_t> localTargets; ///< keys (loadKey()) of all targets of its data centre, ascending
    std::vector<TargetDemand> demands;       ///< targets that name limits; see policy/request_limits.h
    std::vector<WorkspaceUsage> usage;       ///< largest workspaces while it lacks room; see policy/workspace_shares.h
};

/// A message to send.
struct ExchangeMessage {
    std::string host;                                             ///< host of the receiver
    std::variant<EntryReport, GroupDigest, GroupSummary> message; ///< its content
};
using ExchangeMessages = std::vector<ExchangeMessage>;

/// Newest message of another entry, or of its group.
template<typename Message>
struct Received {
    Message last;           ///< newest by incarnation and sequence
    TimePoint receivedAt{}; ///< when it arrived
    TimePoint sentAt{};     ///< groups only: when a summary was last sent to it
    ReceivedUsage usage{};  ///< last list of workspaces, which may be that of an earlier message
    TimePoint provenAt{};   ///< of the sender's tables; not credited for pauses of this process, as the tables age meanwhile
};

/// State of the exchange in one entry.
struct LoadExchange {
    EntryRef self;                                            ///< this entry
    Incarnation incarnation;                                  ///< incarnation of this process
    std::vector<std::string> seeds;                           ///< hosts from the settings
    TimePoint startedAt{};                                    ///< start of this process
    TimePoint lastTickAt{};                                   ///< time of the last tick
    std::uint64_t ticks = 0;                                  ///< ticks so far
    int redirectsSinceTick = 0;                               ///< redirects followed at once since the last tick
    std::uint64_t sequence = 0;                               ///< sequence number of the last message sent
    EntryReport ownReport;                                    ///< report of this entry, without its sequence
    bool isWatching = false;                                  ///< see EntryState
    bool isStoreFailing = false;                              ///< see EntryState
    TimePoint tablesProvenAt{};                               ///< see EntryState
    milliseconds maxTablesAge{0};                             ///< tables of others that are older are not copied; zero: no limit
    bool isAppointed = false;                                 ///< another entry said that this one is to aggregate, or there is no other
    EntryRef aggregator;                                      ///< receives the reports; no id: this entry is an aggregator
    TimePoint lastResponseAt{};                               ///< when the aggregator last responded, or was selected
    TimePoint aggregatorSince{};                              ///< when this entry became an aggregator
    std::vector<std::uint32_t> localTargets;                  ///< see EntryState
    Received<GroupDigest> digest;                             ///< last one received; before the first, the view that this entry had as an aggregator
    LoadTable digestLoads;                                    ///< loads of all others, from digests
    std::map<EntryId, Received<EntryReport>> members;         ///< reports of the own group's members, if this entry is its aggregator
    std::map<EntryId, Received<GroupSummary>> groups;         ///< summaries of other groups, by their aggregator
    LoadTable loads;                                          ///< sums over members and groups
    std::map<std::string, Received<EntryRef>> joinCandidates; ///< by data centre: best aggregator among entries that look for a group
    std::map<std::string, TimePoint> contacts;                ///< hosts of possible aggregators, and when each was added
    std::map<std::string, TimePoint> knownHosts;              ///< hosts of other entries, and when each last sent or was named
    std::map<std::string, TimePoint> unresponsiveUntil;       ///< hosts of aggregators that timed out or are stopping, and until when they are not tried
    std::string lastProbedHost;                               ///< seed or known host that was probed last
    EntryId lastNamedAggregator;                              ///< aggregator that was named last in a message
    IgnoredUsage ignoredUsage;                                ///< usage of workspaces that was received and not used
};

/// An entry to copy the tables of the store from; see policy/table_source.h.
struct TableSource {
    std::string host;                      ///< empty: none
    std::uint64_t configurationChange = 0; ///< newest change of the configuration table that it is known to have
    std::uint64_t targetsChange = 0;       ///< newest change of the target table that it is known to have
    TablesProof proof{};                   ///< of the tables that it has
};

/// All other entries together, as last reported to this one.
struct PeersView {
    EntriesView entries;                ///< number and states of the entries
    std::vector<EngineLoad> loads;      ///< sums of their loads
    DemandTable demands;                ///< what they want to send to targets that name limits
    UsageTable usage;                   ///< what they started for their largest workspaces, as of now
    IgnoredUsage ignoredUsage;          ///< see LoadExchange
    std::string aggregator;             ///< host of the aggregator; empty: this entry is one
    TableSource source;                 ///< where to copy the tables from
    bool isJoining = false;             ///< this entry has just started and does not know its group yet
    bool leavesReadingToOthers = false; ///< see policy/table_source.h
};

LoadExchange makeLoadExchange(const EntryRef &self, Incarnation incarnation, std::vector<std::string> seeds, TimePoint now);
/// Removes entries that timed out, replaces the aggregator if necessary, and returns the messages due.
ExchangeMessages tick(LoadExchange &exchange, const EntryState &state, TimePoint now);
/// Adds the host of another entry that was learned elsewhere. An aggregator sends its summary there.
void addContact(LoadExchange &exchange, const std::string &host, TimePoint now);
ExchangeMessages handleReport(LoadExchange &exchange, const EntryReport &report, TimePoint now);
ExchangeMessages handleDigest(LoadExchange &exchange, const GroupDigest &digest, TimePoint now);
ExchangeMessages handleSummary(LoadExchange &exchange, const GroupSummary &summary, TimePoint now);
/// Empty while nothing is received from members, groups or an aggregator.
PeersView peersView(const LoadExchange &exchange, TimePoint now);
/// Whether this entry is the aggregator of its group.
bool isAggregator(const LoadExchange &exchange);

} // namespace Parsleytrail
