// How entries tell each other what they have open where, at a cost that does not grow with the number of entries.
//
// Entries of one data centre form groups. Each member reports to the group's aggregator, which answers with what all others
// have together; aggregators tell each other what their groups have together. Who aggregates need not be agreed on: an entry
// that is reported to either takes the report or names another. Two groups of one data centre that hear of each other
// become one if they fit. Seeds of the settings, and hosts heard of before, are tried in turn, so that a new entry finds the
// others and halves of a cut fleet find each other again.
//
//     LoadExchange exchange = makeLoadExchange(self, incarnation, seeds, now);
//     send(tick(exchange, state, now));                  // every exchangeInterval
//     send(takeReport(exchange, report, now));           // and takeDigest(), takeSummary()
//     const OthersView others = othersOf(exchange);
//
// Pure: messages, state and time come in, messages go out.
#pragma once

#include "base/clock.h"
#include "policy/load_table.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Parsleytrail
{

/// Between reports. All entries of a data centre choose by the same news: with old news they all choose the same engines.
constexpr milliseconds exchangeInterval{100};
/// With more targets than this in a data centre, reports are as much rarer as its list is longer.
constexpr std::size_t localTargetsPerInterval = 64;
/// News of other data centres is told in turns: requests go there only if their own has no room.
constexpr std::uint32_t remoteSlices = 4;
/// An aggregator that did not answer for this long is left: three reports or answers lost in a row.
constexpr milliseconds aggregatorTimeout{700};
/// It is not tried again before: time to come back or to be replaced.
constexpr milliseconds aggregatorRetryDelay{3000};
/// A member or group not heard of for this long is gone: several datagrams lost in a row.
constexpr milliseconds exchangeTimeout{1500};
constexpr std::size_t maxGroupMembers = 24;      ///< bounds what an aggregator sends
constexpr std::size_t maxReportedLoads = 160;    ///< of one message: a datagram of 2 KB
constexpr std::size_t maxGroups = 64;            ///< aggregators that one hears
constexpr std::size_t maxSummaryAggregators = 8; ///< of one message to another group; others the next time
constexpr std::size_t maxDigestAggregators = 2;  ///< the same, to a member
/// Messages to other groups are rarer if there are more groups: this many are sent an interval, to those told longest ago.
constexpr std::size_t summariesPerInterval = 8;
/// Hosts that are tried in turn after they fell silent, and for how long.
constexpr std::size_t maxKnownHosts = 32;
constexpr std::chrono::minutes knownHostExpiry{10};
/// A new aggregator speaks at once to the hosts heard of in this time.
constexpr milliseconds recentHostAge{10000};
/// What an aggregator knew before it became one counts this long: its members have all reported by then.
constexpr milliseconds takeoverTime{1200};
/// After a start the seeds are asked for the group to join this often, then as hosts that are remembered.
constexpr milliseconds joinTime{2000};

/// What an entry tells of itself.
struct EntryState {
    bool isStoreLost = false;                ///< the store does not answer it
    bool isDraining = false;                 ///< it is stopping
    bool isOrdering = false;                 ///< it gives engines orders
    bool isWatching = false;                 ///< it follows the tables of the store itself
    std::uint64_t configurationChange = 0;   ///< newest change of the configuration table that it knows
    std::uint64_t targetsChange = 0;         ///< the same of the target table
    std::vector<EngineLoad> loads;           ///< targets with load of it, or avoided by it
    std::vector<std::uint32_t> localTargets; ///< keys of all targets of its data centre, ascending
};

/// A message to be sent.
struct ExchangeMessage {
    std::string host;                                             ///< receiver
    std::variant<EntryReport, GroupDigest, GroupSummary> message; ///< what to send
};
using ExchangeMessages = std::vector<ExchangeMessage>;

/// Newest message of another entry.
template<typename Message>
struct Received {
    Message last;           ///< message
    TimePoint receivedAt{}; ///< when it came
    TimePoint sentAt{};     ///< when it was last sent something, of groups
};

/// State of one entry.
struct LoadExchange {
    EntryRef self;                                            ///< this entry
    Incarnation incarnation;                                  ///< its start
    std::vector<std::string> seeds;                           ///< hosts of the settings
    TimePoint startedAt{};                                    ///< of this process
    TimePoint lastTickAt{};                                   ///< of the last tick
    std::uint64_t ticks = 0;                                  ///< so far
    std::uint64_t sequence = 0;                               ///< of the last message
    EntryReport ownReport;                                    ///< what this entry would report
    bool isWatching = false;                                  ///< see EntryState
    EntryRef aggregator;                                      ///< reported to; no id: this entry aggregates its group
    TimePoint lastResponseAt{};                               ///< when it last answered, or was chosen
    TimePoint aggregatorSince{};                              ///< when this entry began to aggregate its group
    std::vector<std::uint32_t> localTargets;                  ///< see EntryState
    Received<GroupDigest> digest;                             ///< its last answer
    LoadTable digestLoads;                                    ///< what digests told of the others
    std::map<EntryId, Received<EntryReport>> members;         ///< of the own group, if this entry aggregates it
    std::map<EntryId, Received<GroupSummary>> groups;         ///< other groups
    LoadTable loads;                                          ///< of members and groups
    std::map<std::string, Received<EntryRef>> joinCandidates; ///< by data centre: the best of the entries that looked for a group
    std::map<std::string, TimePoint> contacts;                ///< aggregators that others told of, and when
    std::map<std::string, TimePoint> knownHosts;              ///< hosts heard of before, and when last
    std::map<std::string, TimePoint> unresponsiveUntil;       ///< aggregators that did not answer, and until when they are not tried
    std::string lastProbedHost;                               ///< host of `remembered` that was tried last
    EntryId lastNamedAggregator;                              ///< aggregator that was named last
};

/// All other entries together, as this one knows.
struct PeersView {
    EntriesView entries;               ///< who and what they are
    std::vector<EngineLoad> loads;     ///< what they have open
    bool isAggregatorWatching = false; ///< the aggregator follows the tables of the store, and the store answers it
    std::string aggregator;            ///< its host; empty: this entry
};

LoadExchange makeLoadExchange(const EntryRef &self, Incarnation incarnation, std::vector<std::string> seeds, TimePoint now);
/// Drops who is silent, chooses the aggregator anew if need be, and tells what this entry has.
ExchangeMessages tick(LoadExchange &exchange, const EntryState &state, TimePoint now);
/// Another entry's host was learned elsewhere: it is spoken to.
void addContact(LoadExchange &exchange, const std::string &host, TimePoint now);
ExchangeMessages handleReport(LoadExchange &exchange, const EntryReport &report, TimePoint now);
ExchangeMessages handleDigest(LoadExchange &exchange, const GroupDigest &digest, TimePoint now);
ExchangeMessages handleSummary(LoadExchange &exchange, const GroupSummary &summary, TimePoint now);
/// Nobody, if neither members nor groups nor an aggregator are heard.
PeersView peersView(const LoadExchange &exchange, TimePoint now);
/// Whether this entry aggregates its group.
bool isAggregator(const LoadExchange &exchange);

} // namespace Parsleytrail
