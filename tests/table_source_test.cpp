// Who reads the store, and from whom the others copy its tables.
#include "policy/table_source.h"

#include "lab/scale.h"
#include "wire/compression.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Parsleytrail;
using namespace Parsleytrail::Lab;

namespace
{

const TimePoint start{std::chrono::hours(1)};

EntryRef entryRef(const std::string &id, std::uint32_t capacity, const std::string &dataCenter = "dc-1")
{
    return {{id}, "host-" + id, dataCenter, capacity};
}

/// An aggregator that has just started.
LoadExchange aggregator(const EntryRef &self)
{
    return makeLoadExchange(self, Incarnation{1}, {"host-seed"}, start);
}

/// Adds the group of another aggregator, which has change 7 of both tables.
void addGroup(LoadExchange &exchange, const EntryRef &sender, bool isStoreReached)
{
    GroupSummary summary;
    summary.sender = sender;
    summary.incarnation = Incarnation{1};
    summary.sequence = 1;
    summary.group.entries = 20;
    summary.group.isStoreReached = isStoreReached;
    summary.group.configuration = {7, sender.host};
    summary.group.targets = {7, sender.host};
    handleSummary(exchange, summary, start);
}

/// A member of the group of "a", whose digest names `standby`.
LoadExchange member(bool isAggregatorCurrent, const std::string &standby)
{
    LoadExchange exchange = aggregator(entryRef("m", 90));
    GroupDigest redirect;
    redirect.sender = entryRef("seed", 90);
    redirect.aggregator = entryRef("a", 1000);
    handleDigest(exchange, redirect, start);
    GroupDigest digest;
    digest.sender = redirect.aggregator;
    digest.aggregator = redirect.aggregator;
    digest.sequence = 1;
    digest.isWatching = isAggregatorCurrent;
    digest.deputy = entryRef(standby, 90);
    digest.others.configuration = {7, "host-a"};
    digest.others.targets = {8, "host-b"};
    handleDigest(exchange, digest, start);
    return exchange;
}

} // namespace

BOOST_AUTO_TEST_SUITE(table_source)

BOOST_AUTO_TEST_CASE(theBestAggregatorOfADataCenterReads)
{
    LoadExchange best = aggregator(entryRef("a", 1000));
    addGroup(best, entryRef("b", 90), true);
    BOOST_TEST(findTableSource(best, start).host.empty());
    LoadExchange other = aggregator(entryRef("b", 90));
    addGroup(other, entryRef("a", 1000), true);
    BOOST_TEST(findTableSource(other, start).host == "host-a");
    BOOST_TEST(findTableSource(other, start).configurationChange == 7U);
}

/// Guards against a data centre without news while its best aggregator is turned away by the store.
BOOST_AUTO_TEST_CASE(anotherAggregatorReadsWhenTheBestLosesTheStore)
{
    LoadExchange other = aggregator(entryRef("b", 90));
    addGroup(other, entryRef("a", 1000), false);
    BOOST_TEST(findTableSource(other, start).host.empty());
    LoadExchange best = aggregator(entryRef("a", 1000));
    best.isStoreFailing = true;
    addGroup(best, entryRef("b", 90), true);
    BOOST_TEST(findTableSource(best, start).host == "host-b");
}

BOOST_AUTO_TEST_CASE(anAggregatorOfAnotherDataCenterIsASourceOnlyWithoutTheStore)
{
    LoadExchange exchange = aggregator(entryRef("b", 90));
    addGroup(exchange, entryRef("a", 1000, "dc-2"), true);
    BOOST_TEST(findTableSource(exchange, start).host.empty());
    exchange.isStoreFailing = true;
    BOOST_TEST(findTableSource(exchange, start).host == "host-a");
}

/// Guards against a member that asks its aggregator over and over for rows which only another entry has.
BOOST_AUTO_TEST_CASE(aMemberKnowsWhatItsAggregatorHasItself)
{
    const TableSource source = findTableSource(member(true, "x"), start);
    BOOST_TEST(source.host == "host-a");
    BOOST_TEST(source.configurationChange == 7U);
    BOOST_TEST(source.targetsChange == 0U);
}

/// Guards against calls that grow with the number of entries while the store is away: the aggregator and its standby try.
BOOST_AUTO_TEST_CASE(membersLeaveReadingToTheAggregatorAndItsStandby)
{
    BOOST_TEST(leavesReadingToOthers(member(false, "x"), start));
    BOOST_TEST(!leavesReadingToOthers(member(false, "m"), start));
    BOOST_TEST(!leavesReadingToOthers(member(false, "x"), start + exchangeTimeout));
    PeersView others = peersView(member(false, "x"), start);
    BOOST_TEST((chooseTableAccess(others, {true, true, false}) == TableAccess::LeaveToOthers));
    BOOST_TEST((chooseTableAccess(others, {true, false, false}) == TableAccess::Read));
    BOOST_TEST((chooseTableAccess(others, {true, true, true}) == TableAccess::Read));
}

/// Guards against a member that stops reading because its aggregator copies from it, so that neither has news.
BOOST_AUTO_TEST_CASE(aMemberThatItsAggregatorCopiesFromGoesOnReading)
{
    LoadExchange exchange = aggregator(entryRef("a", 1000));
    exchange.isStoreFailing = true;
    exchange.ownReport.isStoreLost = true;
    const auto digestTo = [&exchange](const std::string &id, bool isReading) {
        EntryReport report;
        report.sender = entryRef(id, 90);
        report.sequence = exchange.sequence + 1;
        report.isStoreLost = !isReading;
        report.targetsChange = isReading ? 7 : 0;
        const ExchangeMessages messages = handleReport(exchange, report, start);
        return std::get<GroupDigest>(messages.front().message);
    };
    BOOST_TEST(!digestTo("m", true).isWatching);
    BOOST_TEST(digestTo("n", false).isWatching);
    BOOST_TEST(findTableSource(exchange, start).host == "host-m");
}

/// Guards against calls to the store that grow with the entries instead of the data centres, and against news that get slower: twice
/// the entries, in more groups, cause no more calls.
BOOST_AUTO_TEST_CASE(callsGrowWithDataCentersNotWithEntries)
{
    ScaleOptions options;
    options.measuresProcessorTime = false;
    options.calmTime = milliseconds(6000);
    const ScaleFigures small = measureScale({40, 2}, options);
    const ScaleFigures large = measureScale({120, 2}, options);
    BOOST_TEST(small.readers == 2U);
    BOOST_TEST(large.readers == 2U);
    BOOST_TEST(large.callsPerSecond <= small.callsPerSecond * 1.1);
    constexpr double callsOfARead = 5;    // the configuration, two pages of targets, and the watch of each table
    constexpr double readersOfAGroup = 3; // its aggregator, and entries that begin groups which soon join it
    BOOST_TEST(large.callsAtStart <= callsOfARead * readersOfAGroup * static_cast<double>(large.aggregators));
    BOOST_TEST(large.timeOfNews <= milliseconds(2000));
    BOOST_TEST(large.aggregatorChanges == 0U);
}

/// Guards against news that wait for messages about loads, which are rare where a data centre has many targets.
BOOST_AUTO_TEST_CASE(newsDoNotWaitForMessagesAboutLoads)
{
    ScaleOptions options;
    options.measuresProcessorTime = false;
    options.calmTime = milliseconds(2000);
    options.enginesPerEntry = 10;
    const ScaleFigures figures = measureScale({120, 2}, options);
    BOOST_TEST(figures.timeOfNews <= milliseconds(1000), figures.timeOfNews.count() << " ms");
}

BOOST_AUTO_TEST_CASE(figuresAreWrittenAsCsvAndJson)
{
    ScaleFigures figures;
    figures.size = {437, 5};
    figures.readers = 5;
    BOOST_TEST(csvHeader().starts_with("entries,dataCenters,engines,"));
    BOOST_TEST(toCsv(figures).starts_with("437,5,0,"));
    BOOST_TEST(std::ranges::count(csvHeader(), ',') == std::ranges::count(toCsv(figures), ','));
    BOOST_TEST(toJson(figures).find("\"readers\":5") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aCompressedCopyIsReadBackAndDamageIsSeen)
{
    const std::string bytes(100000, 'x');
    const std::string compressed = compress(bytes);
    BOOST_TEST(compressed.size() < 1000U);
    Error error;
    const auto read = [&error](const std::string &input, std::size_t most) {
        std::string out;
        const bool isRead = runCatching(
            [&]() -> Result<void> {
                BOOST_LEAF_ASSIGN(out, decompress(input, most));
                return {};
            },
            error);
        return isRead ? out : error.text;
    };
    BOOST_TEST(read(compressed, bytes.size()) == bytes);
    BOOST_TEST(read(compressed, bytes.size() - 1) == "more than 99999 bytes");
    BOOST_TEST(read(compressed.substr(0, compressed.size() - 3), bytes.size()) == "damaged zstd frame");
    BOOST_TEST(read("no frame", bytes.size()) == "no zstd frame of known size");
}

BOOST_AUTO_TEST_SUITE_END()
