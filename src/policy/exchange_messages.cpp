#include "policy/exchange_messages.h"

#include "policy/exchange_groups.h"
#include "policy/table_source.h"

#include <algorithm>

namespace Parsleytrail
{

static EntriesView groupView(const LoadExchange &exchange)
{
    EntriesView view;
    addEntry(view, exchange.ownReport);
    for (const auto &[id, member] : exchange.members) {
        addEntry(view, member.last);
    }
    return view;
}

EntriesView viewWithout(const LoadExchange &exchange, const EntryId &leftOut)
{
    EntriesView view;
    if (leftOut != exchange.self.entry) {
        addEntry(view, exchange.ownReport);
    }
    for (const auto &[id, member] : exchange.members) {
        if (id != leftOut) {
            addEntry(view, member.last);
        }
    }
    for (const auto &[id, group] : exchange.groups) {
        addView(view, group.last.group);
    }
    return view;
}

/// What this entry and its members want to send, without one of them.
static DemandTable groupDemands(const LoadExchange &exchange, const EntryId &leftOut, TimePoint now)
{
    DemandTable table;
    if (leftOut != exchange.self.entry) {
        addDemands(table, exchange.ownReport.demands, now);
    }
    for (const auto &[id, member] : exchange.members) {
        if (id != leftOut) {
            addDemands(table, member.last.demands, member.receivedAt);
        }
    }
    return table;
}

DemandTable demandsWithout(const LoadExchange &exchange, const EntryId &leftOut, TimePoint now)
{
    DemandTable table = groupDemands(exchange, leftOut, now);
    for (const auto &[id, group] : exchange.groups) {
        addDemands(table, group.last.demands, group.receivedAt);
    }
    return table;
}

/// Tokens that this entry and its members started for workspaces, without those of `leftOut`.
static UsageTable groupUsage(const LoadExchange &exchange, const EntryId &leftOut, TimePoint now)
{
    UsageTable table;
    if (leftOut != exchange.self.entry) {
        addUsage(table, {exchange.ownReport.usage, now}, now);
    }
    for (const auto &[id, member] : exchange.members) {
        if (id != leftOut) {
            addUsage(table, member.usage, now);
        }
    }
    return table;
}

UsageTable usageWithout(const LoadExchange &exchange, const EntryId &leftOut, TimePoint now)
{
    UsageTable table = groupUsage(exchange, leftOut, now);
    for (const auto &[id, group] : exchange.groups) {
        addUsage(table, group.usage, now);
    }
    return table;
}

/// Whether the message with this number lists usage, if messages to one receiver are `interval` apart.
static bool listsUsage(std::uint64_t number, milliseconds interval)
{
    return number % std::max<std::uint64_t>(1, usageInterval / interval) == 0;
}

static GroupDigest makeDigest(LoadExchange &exchange, const EntryRef &aggregator)
{
    GroupDigest digest;
    digest.sender = exchange.self;
    digest.incarnation = exchange.incarnation;
    digest.sequence = ++exchange.sequence;
    digest.aggregator = aggregator;
    return digest;
}

ExchangeMessages redirect(LoadExchange &exchange, const std::string &host, const EntryRef &aggregator)
{
    return {{host, makeDigest(exchange, aggregator)}};
}

/// Other aggregators to name in a message, in rotation. Only those that this entry receives from itself: if aggregators named
/// by others were passed on, removed entries would be named forever.
static std::vector<EntryRef> nextAggregators(LoadExchange &exchange, std::size_t limit)
{
    std::vector<EntryRef> refs;
    auto next = exchange.groups.upper_bound(exchange.lastNamedAggregator);
    for (std::size_t i = 0; i < std::min(exchange.groups.size(), limit); ++i) {
        next = next == exchange.groups.end() ? exchange.groups.begin() : next;
        refs.push_back(next->second.last.sender);
        exchange.lastNamedAggregator = next->first;
        ++next;
    }
    return refs;
}

/// Whether a digest covers a target: it covers all of this entry's data centre, and one slice of the others.
static bool includesTarget(const LoadExchange &exchange, const GroupDigest &digest, std::uint32_t target)
{
    const bool isLocalTarget = std::binary_search(exchange.localTargets.begin(), exchange.localTargets.end(), target);
    return isLocalTarget || (digest.turns > 0 && target % digest.turns == digest.turn);
}

static LoadTable includedLoads(const LoadExchange &exchange, const LoadTable &loads, const GroupDigest &digest)
{
    LoadTable included;
    for (const auto &[target, sum] : loads) {
        if (includesTarget(exchange, digest, target)) {
            included[target] = sum;
        }
    }
    return included;
}

void applyLoads(LoadExchange &exchange, const GroupDigest &digest)
{
    const bool isFull = digest.loads.size() >= maxReportedLoads;
    std::erase_if(exchange.digestLoads, [&](const auto &load) {
        return !isFull && includesTarget(exchange, digest, load.first);
    });
    for (const EngineLoad &load : digest.loads) {
        exchange.digestLoads[load.target] = {load.openRequests, load.avoiding, static_cast<double>(load.kvTokenLayers)};
    }
}

GroupDigest digestFor(LoadExchange &exchange, const EntryReport &report, TimePoint now)
{
    GroupDigest digest = makeDigest(exchange, exchange.self);
    digest.deputy = standbyAggregator(exchange);
    digest.tablesAgeMs = ageForMessage(exchange.tablesProvenAt, now);
    // A member that this entry copies from has to go on reading.
    digest.isWatching = hasCurrentTables(exchange, now) && findTableSource(exchange, now).host != report.sender.host;
    digest.aggregators = nextAggregators(exchange, maxDigestAggregators);
    digest.turns = remoteSlices;
    digest.turn = static_cast<std::uint32_t>(report.sequence % remoteSlices);
    digest.demands = listDemands(demandsWithout(exchange, report.sender.entry, now), now);
    if (listsUsage(report.sequence, sendInterval(exchange))) {
        digest.usage = listUsage(usageWithout(exchange, report.sender.entry, now), maxSummedWorkspaces);
    }
    if (isTakingOver(exchange, now)) {
        digest.others = exchange.digest.last.others;
        addTableNews(digest.others, exchange.ownReport); // the stated age is that of the own tables
        digest.loads = listLoads(includedLoads(exchange, exchange.digestLoads, digest), maxReportedLoads);
        return digest;
    }
    digest.others = viewWithout(exchange, report.sender.entry);
    LoadTable others = exchange.loads;
    removeLoads(others, report.loads);
    addLoads(others, exchange.ownReport.loads);
    digest.loads = listLoads(includedLoads(exchange, others, digest), maxReportedLoads);
    return digest;
}

GroupSummary makeSummary(LoadExchange &exchange, TimePoint now)
{
    GroupSummary summary;
    summary.sender = exchange.self;
    summary.incarnation = exchange.incarnation;
    summary.sequence = ++exchange.sequence;
    summary.group = groupView(exchange);
    summary.tablesAgeMs = ageForMessage(exchange.tablesProvenAt, now);
    summary.aggregators = nextAggregators(exchange, maxSummaryAggregators);
    LoadTable loads;
    addLoads(loads, exchange.ownReport.loads);
    for (const auto &[id, member] : exchange.members) {
        addLoads(loads, member.last.loads);
    }
    summary.loads = listLoads(loads, maxReportedLoads);
    summary.demands = listDemands(groupDemands(exchange, {}, now), now);
    // Counted in ticks, as all messages of an aggregator share one sequence.
    const std::uint64_t turns = summaryTurns(exchange);
    const std::uint64_t turn = exchange.ticks / (sendInterval(exchange) / exchangeInterval) / turns;
    if (listsUsage(turn, sendInterval(exchange) * turns)) {
        summary.usage = listUsage(groupUsage(exchange, {}, now), maxSummedWorkspaces);
    }
    return summary;
}

EntryReport makeReport(LoadExchange &exchange, TimePoint now)
{
    EntryReport report = exchange.ownReport;
    report.tablesAgeMs = ageForMessage(exchange.tablesProvenAt, now);
    report.sequence = ++exchange.sequence;
    if (!listsUsage(report.sequence, sendInterval(exchange))) {
        report.usage.clear();
    }
    return report;
}

} // namespace Parsleytrail
