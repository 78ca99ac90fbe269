// Shares of workspaces: own counts, lists in messages, and their sums over relays in the load exchange; without a network.
#include "policy/exchange_messages.h"
#include "policy/load_exchange.h"
#include "policy/workspace_shares.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <limits>

using namespace Parsleytrail;

namespace
{

constexpr TimePoint start{std::chrono::seconds(1000)};
const WorkspaceName large{"large"};
const WorkspaceName small{"small"};

EntryRef entryRef(const std::string &name, const std::string &dataCenter = "a")
{
    return {{name}, "10.0.0." + name, dataCenter, 1000};
}

WaitingRequest waitingFor(const WorkspaceName &workspace, double worth = 1)
{
    WaitingRequest request;
    request.workspace = workspace;
    request.worth = worth;
    request.arrivedAt = start;
    request.startBy = start + std::chrono::hours(1);
    return request;
}

/// The workspace that starts next of one request each of the large and the small one; the large one arrived first.
WorkspaceName nextOf(const WorkspaceShares &shares, TimePoint now)
{
    const std::vector<WaitingRequest> waiting = {waitingFor(large), waitingFor(small)};
    return waiting.at(selectNext(waiting, fleetLedger(shares, waiting, now), now)).workspace;
}

EntryReport reportOf(const std::string &name, std::uint64_t sequence, std::vector<WorkspaceUsage> usage)
{
    EntryReport report;
    report.sender = entryRef(name);
    report.incarnation = {1};
    report.sequence = sequence;
    report.usage = std::move(usage);
    return report;
}

GroupSummary summaryOf(const std::string &name, std::uint64_t sequence, std::vector<WorkspaceUsage> usage)
{
    GroupSummary summary;
    summary.sender = entryRef(name, "b");
    summary.incarnation = {1};
    summary.sequence = sequence;
    summary.group.entries = 1;
    summary.usage = std::move(usage);
    return summary;
}

/// An aggregator in data centre "a" without other entries.
LoadExchange aggregator()
{
    return makeLoadExchange(entryRef("1"), {1}, {"10.0.0.1"}, start);
}

GroupDigest digestIn(const ExchangeMessages &messages)
{
    BOOST_REQUIRE(messages.size() == 1);
    return std::get<GroupDigest>(messages.front().message);
}

std::map<std::uint32_t, std::uint64_t> tokensOf(const std::vector<WorkspaceUsage> &list)
{
    std::map<std::uint32_t, std::uint64_t> tokens;
    for (const WorkspaceUsage &usage : list) {
        tokens[usage.workspace] += usage.tokens;
    }
    return tokens;
}

} // namespace

BOOST_AUTO_TEST_SUITE(workspace_shares)

/// Guards against a large workspace that spreads its streams over all relays and so looks small at each of them.
BOOST_AUTO_TEST_CASE(a_workspace_that_uses_all_relays_goes_after_a_small_one)
{
    WorkspaceShares shares;
    recordStartedTokens(shares, large, 1000, start);
    recordStartedTokens(shares, small, 1500, start);
    BOOST_TEST(nextOf(shares, start).value == large.value);
    UsageTable others;
    for (int relay = 0; relay < 27; ++relay) {
        addUsage(others, {{{workspaceKey(large), 1000}}, start}, start);
    }
    setOthersUsage(shares, others, start);
    BOOST_TEST(othersTokens(shares, large, start) == 27000, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(nextOf(shares, start).value == small.value);
}

/// Guards against counts of others that decide long after they were last heard.
BOOST_AUTO_TEST_CASE(a_relay_that_hears_nobody_uses_its_own_counts)
{
    WorkspaceShares shares;
    recordStartedTokens(shares, large, 1000, start);
    recordStartedTokens(shares, small, 1500, start);
    setOthersUsage(shares, {{workspaceKey(large), 50000}}, start);
    BOOST_TEST(nextOf(shares, start + exchangeTimeout).value == small.value);
    const TimePoint later = start + exchangeTimeout + milliseconds(1);
    BOOST_TEST(nextOf(shares, later).value == large.value);
    BOOST_TEST(othersTokens(shares, large, later) == 0);
    setOthersUsage(shares, {}, later);
    BOOST_TEST(nextOf(shares, later).value == large.value);
}

/// Guards against a restart that leaves a relay with an order of its own for longer than others take to tell it.
BOOST_AUTO_TEST_CASE(a_restarted_relay_learns_the_use_elsewhere_from_its_first_messages)
{
    WorkspaceShares restarted;
    BOOST_TEST(ownTokens(restarted, large, start) == 0);
    BOOST_TEST(describeUsage(restarted, start).empty());
    BOOST_TEST(largestShare(knownUsage(restarted, start)) == 0);
    setOthersUsage(restarted, {{workspaceKey(large), 9000}, {workspaceKey(small), 10}}, start);
    BOOST_TEST(nextOf(restarted, start).value == small.value);
}

/// Guards against counts that an unused workspace keeps, so that its next stream waits for what it used long ago, and against a table
/// that grows with all workspaces that ever were.
BOOST_AUTO_TEST_CASE(a_workspace_that_leaves_ages_out)
{
    WorkspaceShares shares;
    recordStartedTokens(shares, large, 1000, start);
    BOOST_TEST(ownTokens(shares, large, start + startedCostHalfLife) == 500, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(ownTokens(shares, large, start + 2 * startedCostHalfLife) == 250, boost::test_tools::tolerance(1e-9));
    const TimePoint later = start + 11 * startedCostHalfLife;
    BOOST_TEST(knownUsage(shares, later).empty());
    recordShortage(shares, later);
    BOOST_TEST(describeUsage(shares, later).empty());
    recordStartedTokens(shares, small, 10, later);
    BOOST_TEST(!shares.own.startedCost.contains(large));
    BOOST_TEST(shares.own.startedCost.contains(small));
}

/// Guards against a new workspace that waits behind others, and against a change of priority that resets or multiplies what was used.
BOOST_AUTO_TEST_CASE(a_workspace_that_appears_goes_first_and_a_change_of_priority_keeps_its_use)
{
    WorkspaceShares shares;
    recordStartedTokens(shares, large, 1000, start);
    const WorkspaceName appeared{"appeared"};
    const std::vector<WaitingRequest> waiting = {waitingFor(large), waitingFor(appeared)};
    BOOST_TEST(selectNext(waiting, fleetLedger(shares, waiting, start), start) == 1U);
    recordStartedTokens(shares, appeared, 900, start);
    BOOST_TEST(selectNext(waiting, fleetLedger(shares, waiting, start), start) == 1U);
    // The large workspace becomes twice as important: 1,000 tokens weigh 500.
    const std::vector<WaitingRequest> changed = {waitingFor(large, 2), waitingFor(appeared)};
    BOOST_TEST(selectNext(changed, fleetLedger(shares, changed, start), start) == 0U);
    BOOST_TEST(ownTokens(shares, large, start) == 1000, boost::test_tools::tolerance(1e-9));
}

/// Guards against messages that grow while there is room, and against reports that end while the relay still refuses streams.
BOOST_AUTO_TEST_CASE(only_a_relay_that_lacks_room_reports_its_eight_largest_workspaces)
{
    WorkspaceShares shares;
    for (int i = 1; i <= 20; ++i) {
        recordStartedTokens(shares, {"workspace-" + std::to_string(i)}, 1000 * i, start);
    }
    BOOST_TEST(describeUsage(shares, start).empty());
    recordShortage(shares, start);
    const std::vector<WorkspaceUsage> usage = describeUsage(shares, start);
    BOOST_REQUIRE(usage.size() == maxOwnWorkspaces);
    BOOST_TEST(usage.front().workspace == workspaceKey({"workspace-20"}));
    BOOST_TEST(usage.front().tokens == 20000U);
    BOOST_TEST(usage.back().tokens == 13000U);
    BOOST_TEST(describeUsage(shares, start + shortageReportTime - milliseconds(1)).size() == maxOwnWorkspaces);
    BOOST_TEST(describeUsage(shares, start + shortageReportTime).empty());
    recordShortage(shares, start + milliseconds(9000));
    BOOST_TEST(!describeUsage(shares, start + shortageReportTime).empty());
}

/// Guards against callers that state sizes that are no sizes: one must not push its counts, or all sums, out of any range.
BOOST_AUTO_TEST_CASE(impossible_sizes_of_streams_do_not_count)
{
    WorkspaceShares shares;
    for (const double tokens : {-5.0, 0.0, std::nan(""), -std::numeric_limits<double>::infinity()}) {
        recordStartedTokens(shares, large, tokens, start);
    }
    BOOST_TEST(shares.own.startedCost.empty());
    recordStartedTokens(shares, large, std::numeric_limits<double>::infinity(), start);
    recordStartedTokens(shares, large, 1e300, start);
    BOOST_TEST(ownTokens(shares, large, start) == 2.0 * maxUsageTokens, boost::test_tools::tolerance(1e-9));
    recordShortage(shares, start);
    // What is reported is a possible value, which the others don't ignore.
    BOOST_REQUIRE(describeUsage(shares, start).size() == 1);
    BOOST_TEST(describeUsage(shares, start).front().tokens == maxUsageTokens);
}

/// Guards against one faulty relay that puts a workspace behind all others everywhere.
BOOST_AUTO_TEST_CASE(impossible_values_of_others_are_ignored_and_counted)
{
    LoadExchange exchange = aggregator();
    handleReport(exchange, reportOf("2", 1, {{1, maxUsageTokens + 1}, {2, maxUsageTokens}, {3, UINT32_MAX}}), start);
    handleSummary(exchange, summaryOf("3", 1, {{1, UINT32_MAX}, {4, 40}}), start);
    const PeersView view = peersView(exchange, start);
    BOOST_TEST(!view.usage.contains(1));
    BOOST_TEST(!view.usage.contains(3));
    BOOST_TEST(view.usage.at(2) == maxUsageTokens);
    BOOST_TEST(view.usage.at(4) == 40);
    BOOST_TEST(view.ignoredUsage.impossible == 3U);
    BOOST_TEST(view.ignoredUsage.impossibleFromHost == "10.0.0.3");
    // Asking again counts nothing twice.
    BOOST_TEST(peersView(exchange, start).ignoredUsage.impossible == 3U);
}

/// Guards against values that stay in force after their sender has room again or is lost, and against older messages that arrive late.
BOOST_AUTO_TEST_CASE(old_values_are_ignored_and_counted)
{
    LoadExchange exchange = aggregator();
    tick(exchange, {}, start);
    handleReport(exchange, reportOf("2", 5, {{1, 1000}}), start);
    handleReport(exchange, reportOf("2", 4, {{1, 77000}}), start);
    BOOST_TEST(peersView(exchange, start).usage.at(1) == 1000);
    // Reports go on without a list: the last one stays in force, as only some messages have one, but no longer than exchangeTimeout.
    std::uint64_t sequence = 5;
    TimePoint now = start;
    while (now < start + exchangeTimeout) {
        now += exchangeInterval;
        handleReport(exchange, reportOf("2", ++sequence, {}), now);
        tick(exchange, {}, now);
    }
    BOOST_TEST(peersView(exchange, now).usage.at(1) == decayedCost(1000, start, now), boost::test_tools::tolerance(1e-9));
    BOOST_TEST(peersView(exchange, now).ignoredUsage.outdated == 0U);
    now += exchangeInterval;
    handleReport(exchange, reportOf("2", ++sequence, {}), now);
    tick(exchange, {}, now);
    BOOST_TEST(peersView(exchange, now).usage.empty());
    BOOST_TEST(peersView(exchange, now).ignoredUsage.outdated == 1U);
    BOOST_TEST(peersView(exchange, now).entries.entries == 1U);
}

/// Guards against use that is counted once for each life of a relay.
BOOST_AUTO_TEST_CASE(a_restarted_sender_replaces_its_own_values)
{
    LoadExchange exchange = aggregator();
    handleReport(exchange, reportOf("2", 900, {{1, 1000}}), start);
    EntryReport restarted = reportOf("2", 1, {{1, 30}});
    restarted.incarnation = {2};
    handleReport(exchange, restarted, start);
    BOOST_TEST(peersView(exchange, start).usage.at(1) == 30);
}

/// Guards against a member that forgets the use elsewhere as soon as its aggregator dies.
BOOST_AUTO_TEST_CASE(a_member_whose_aggregator_died_keeps_the_sums_until_it_has_its_own)
{
    LoadExchange exchange = makeLoadExchange(entryRef("2"), {1}, {"10.0.0.1"}, start);
    GroupDigest digest;
    digest.sender = entryRef("1");
    digest.incarnation = {1};
    digest.sequence = 1;
    digest.aggregator = digest.sender;
    handleDigest(exchange, digest, start); // names the aggregator
    digest.sequence = 2;
    digest.usage = {{1, 5000}};
    digest.others.entries = 1;
    handleDigest(exchange, digest, start);
    BOOST_TEST(peersView(exchange, start).usage.at(1) == 5000);
    TimePoint now = start;
    while (!isAggregator(exchange)) {
        now += exchangeInterval;
        BOOST_REQUIRE(now < start + exchangeTimeout);
        tick(exchange, {}, now);
        BOOST_TEST(peersView(exchange, now).usage.contains(1));
    }
    for (const TimePoint end = now + exchangeTimeout; now < end; now += exchangeInterval) {
        tick(exchange, {}, now);
    }
    BOOST_TEST(peersView(exchange, now).usage.empty());
}

/// Guards against messages that all carry lists, which would lengthen them by a quarter, and against a receiver that never gets one.
BOOST_AUTO_TEST_CASE(one_digest_in_four_lists_usage)
{
    LoadExchange exchange = aggregator();
    handleReport(exchange, reportOf("2", 1, {{1, 1000}}), start);
    int lists = 0;
    for (std::uint64_t sequence = 1; sequence <= 40; ++sequence) {
        lists += digestIn(handleReport(exchange, reportOf("4", sequence, {}), start)).usage.empty() ? 0 : 1;
    }
    BOOST_TEST(lists == 10);
}

/// Guards against use that is counted twice, left out, or told to a relay as that of others although it is its own.
BOOST_AUTO_TEST_CASE(sums_over_any_groups_are_the_total_without_the_receiver)
{
    BOOST_TEST(rc::check("digests list the total of all others", [] {
        const auto drawUsage = [] {
            std::vector<WorkspaceUsage> usage;
            const std::size_t workspaces = *rc::gen::inRange<std::size_t>(0, maxOwnWorkspaces + 1);
            usage.reserve(workspaces);
            for (std::size_t i = 0; i < workspaces; ++i) {
                usage.push_back({*rc::gen::inRange<std::uint32_t>(1, maxSummedWorkspaces + 1), *rc::gen::inRange<std::uint32_t>(1, 100000)});
            }
            return usage;
        };
        LoadExchange exchange = aggregator();
        EntryState state;
        state.usage = drawUsage();
        tick(exchange, state, start);
        std::map<std::uint32_t, std::uint64_t> total = tokensOf(state.usage);
        const auto addToTotal = [&total](const std::vector<WorkspaceUsage> &usage) {
            for (const auto &[workspace, tokens] : tokensOf(usage)) {
                total[workspace] += tokens;
            }
        };
        const int members = *rc::gen::inRange(1, 10);
        std::vector<EntryReport> reports;
        for (int i = 0; i < members; ++i) {
            reports.push_back(reportOf("1" + std::to_string(i), usageInterval / exchangeInterval, drawUsage()));
            addToTotal(reports.back().usage);
            handleReport(exchange, reports.back(), start);
        }
        const int groups = *rc::gen::inRange(0, 10);
        for (int i = 0; i < groups; ++i) {
            const GroupSummary summary = summaryOf("2" + std::to_string(i), 1, drawUsage());
            addToTotal(summary.usage);
            handleSummary(exchange, summary, start);
        }
        for (EntryReport &report : reports) {
            report.sequence += usageInterval / exchangeInterval;
            std::map<std::uint32_t, std::uint64_t> expected = total;
            for (const auto &[workspace, tokens] : tokensOf(report.usage)) {
                expected[workspace] -= tokens;
            }
            std::erase_if(expected, [](const auto &entry) {
                return entry.second == 0;
            });
            RC_ASSERT(tokensOf(digestIn(handleReport(exchange, report, start)).usage) == expected);
        }
    }));
}

/// Guards against lists of workspaces that outgrow a message, and against the largest workspaces being those left out.
BOOST_AUTO_TEST_CASE(a_list_holds_the_largest_workspaces)
{
    BOOST_TEST(rc::check("no workspace left out is larger than one listed", [](const std::map<std::uint32_t, std::uint32_t> &drawn) {
        UsageTable table(drawn.begin(), drawn.end());
        const std::vector<WorkspaceUsage> list = listUsage(table, maxSummedWorkspaces);
        RC_ASSERT(list.size() <= maxSummedWorkspaces);
        for (const WorkspaceUsage &usage : list) {
            RC_ASSERT(usage.tokens <= maxUsageTokens);
            table.erase(usage.workspace);
        }
        for (const auto &[workspace, tokens] : table) {
            RC_ASSERT(tokens < 1 || (list.size() == maxSummedWorkspaces && std::min<double>(tokens, maxUsageTokens) <= list.back().tokens));
        }
    }));
}

/// Guards against a reader of the version before that refuses messages with lists, and against lists sent to it in vain.
BOOST_AUTO_TEST_CASE(readers_of_wire_version_4_ignore_usage)
{
    std::string bytes;
    BOOST_REQUIRE(encode(reportOf("2", 1, {{1, 1000}}), 5, bytes));
    EntryReport older;
    BOOST_REQUIRE(decode(bytes, 4, older));
    BOOST_TEST(older.usage.empty());
    BOOST_TEST(older.sequence == 1U);
    EntryReport newer;
    BOOST_REQUIRE(decode(bytes, 5, newer));
    BOOST_REQUIRE(newer.usage.size() == 1);
    BOOST_TEST(newer.usage.front().tokens == 1000U);
    std::string olderBytes;
    BOOST_REQUIRE(encode(reportOf("2", 1, {{1, 1000}}), 4, olderBytes));
    BOOST_TEST(olderBytes.size() + 4 + 8 == bytes.size()); // the length of the list, and one workspace
}

BOOST_AUTO_TEST_SUITE_END()
