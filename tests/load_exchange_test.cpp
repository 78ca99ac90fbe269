// Load exchange between 4, 68 and 370 entries, in simulated time, on a network that loses, delays and duplicates datagrams and
// that partitions.
#include "lab/simulated_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <set>

using namespace Parsleytrail;
using namespace Parsleytrail::Lab;

namespace
{

/// A fleet all of whose messages have to be valid.
class CheckedFleet : public SimulatedFleet
{
public:
    using SimulatedFleet::SimulatedFleet;
    ~CheckedFleet()
    {
        BOOST_TEST(areMessagesValid());
    }
};

const std::vector<FleetSize> sizes = {{4, 3}, {68, 5}, {370, 25}, {200, 2}};

std::uint64_t totalOpen(const std::vector<EngineLoad> &loads)
{
    std::uint64_t sum = 0;
    for (const EngineLoad &load : loads) {
        sum += load.openRequests;
    }
    return sum;
}

/// One group for each data centre whose entries fit into one; otherwise at most half of the slots stay free.
std::size_t maxAggregators(const FleetSize &size)
{
    const std::size_t perDataCenter = (size.entries + size.dataCenters - 1) / size.dataCenters;
    const std::size_t slots = maxGroupMembers + 1;
    return size.dataCenters * (perDataCenter <= slots ? 1 : 2 * ((perDataCenter + slots - 1) / slots));
}

constexpr milliseconds convergenceTime{4000}; ///< until all views are complete, after a start, a loss or the end of a partition

} // namespace

BOOST_AUTO_TEST_SUITE(load_exchange)

/// Guards against entries that never find each other, or that keep removing each other.
BOOST_AUTO_TEST_CASE(entriesThatStartTogetherFindEachOther)
{
    for (const FleetSize &size : sizes) {
        CheckedFleet fleet(size, 1);
        const milliseconds time = fleet.timeToConverge();
        BOOST_TEST(time <= convergenceTime, size.entries << " entries took " << time.count() << " ms");
        for (int i = 0; i < 50; ++i) {
            fleet.run(milliseconds(200));
            BOOST_TEST(fleet.isConverged(), size.entries << " entries, step " << i);
        }
        BOOST_TEST(fleet.aggregators() <= maxAggregators(size));
    }
}

/// Guards against groups of one data centre that keep dissolving: an aggregator that hears of a better one with a full group must
/// keep its own. Otherwise no view is ever complete, budgets are shared among the wrong number of entries, and all entries watch the
/// store by themselves.
BOOST_AUTO_TEST_CASE(groupsOfOneDataCenterStayAsTheyAre)
{
    for (const FleetSize &size : {FleetSize{120, 2}, FleetSize{200, 2}}) {
        CheckedFleet fleet(size, 1);
        fleet.run(convergenceTime);
        const std::uint64_t before = fleet.aggregatorChanges();
        fleet.run(std::chrono::seconds(10));
        BOOST_TEST(fleet.aggregatorChanges() == before, size.entries << " entries");
        BOOST_TEST(fleet.isConverged(), size.entries << " entries");
    }
}

/// Guards against timeouts that don't grow with the intervals: with many targets in a data centre messages are rare, and one datagram
/// that is lost must not cost an aggregator its members, nor a group its place in the others' views.
BOOST_AUTO_TEST_CASE(manyTargetsAndLostDatagramsDissolveNoGroup)
{
    CheckedFleet fleet({200, 2}, 11);
    fleet.faults.loss = 0.01;
    constexpr int targets = 1300;
    assignLoads(fleet, targets, 2);
    fleet.run(std::chrono::seconds(25)); // groups form slowly while messages are rare
    const std::uint64_t before = fleet.aggregatorChanges();
    int incompleteViews = 0;
    for (int i = 0; i < 100; ++i) {
        fleet.run(milliseconds(100));
        incompleteViews += fleet.isConverged() ? 0 : 1;
    }
    BOOST_TEST(fleet.aggregatorChanges() == before);
    BOOST_TEST(incompleteViews == 0);
}

/// Guards against a dead aggregator that its members rely on for seconds, since messages are rare where a data centre has many targets:
/// they would have no news of the configuration meanwhile.
BOOST_AUTO_TEST_CASE(aDeadAggregatorIsLeftWithinTwoSecondsWhateverTheTargets)
{
    CheckedFleet fleet({40, 2}, 12);
    constexpr int targets = 2000;
    assignLoads(fleet, targets, 2);
    fleet.run(std::chrono::seconds(8));
    std::set<std::string> dead;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (isAggregator(fleet.at(i).exchange)) {
            dead.insert(fleet.at(i).exchange.self.host);
            fleet.stop(i);
        }
    }
    BOOST_TEST(dead.size() == 2U);
    fleet.run(std::chrono::seconds(2));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        BOOST_TEST((!fleet.at(i).isRunning || !dead.contains(fleet.at(i).exchange.aggregator.host)));
    }
}

/// Guards against load that is counted twice or not at all.
BOOST_AUTO_TEST_CASE(everyEntryKnowsTheLoadOfAllOthers)
{
    for (const FleetSize &size : {sizes[0], sizes[1]}) {
        CheckedFleet fleet(size, 2);
        assignLoads(fleet, 130, size.dataCenters);
        fleet.run(std::chrono::seconds(8));
        std::uint64_t all = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            all += totalOpen(fleet.at(i).state.loads);
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const SimulatedEntry &entry = fleet.at(i);
            BOOST_TEST(totalOpen(peersView(entry.exchange, fleet.now()).loads) + totalOpen(entry.state.loads) == all);
        }
    }
}

/// Guards against traffic that grows with the number of entries.
BOOST_AUTO_TEST_CASE(whatAnEntrySendsIsBounded)
{
    constexpr double maxBytesPerSecond = 20000; // average over all entries
    for (const FleetSize &size : sizes) {
        CheckedFleet fleet(size, 3);
        const int engines = size.entries == 370 ? 3100 : 130;
        assignLoads(fleet, engines, size.dataCenters);
        fleet.run(std::chrono::seconds(8));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.at(i).bytesSent = 0;
        }
        fleet.run(std::chrono::seconds(10));
        double sum = 0;
        double most = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            sum += static_cast<double>(fleet.at(i).bytesSent) / 10;
            most = std::max(most, static_cast<double>(fleet.at(i).bytesSent) / 10);
        }
        const double mean = sum / static_cast<double>(fleet.size());
        BOOST_TEST_MESSAGE(size.entries << " entries: " << mean << " bytes/s on average, an aggregator " << most);
        BOOST_TEST(mean <= maxBytesPerSecond);
        // In each interval an aggregator sends a full message to each member and to as many groups as it may.
        const double messages = static_cast<double>(maxGroupMembers + summariesPerInterval) * 1000 / exchangeInterval.count();
        BOOST_TEST(most <= messages * (maxReportedLoads * 12 + 1000));
    }
}

/// Guards against use of workspaces that is counted twice or not at all, also after all aggregators were lost.
BOOST_AUTO_TEST_CASE(everyEntryKnowsTheUseOfWorkspacesElsewhere)
{
    constexpr std::uint32_t workspace = 5;
    constexpr double oldestShare = 0.75; // what decay leaves after 2 s, longer than three lists in a row take
    for (const FleetSize &size : {sizes[0], sizes[1]}) {
        CheckedFleet fleet(size, 13);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.at(i).state.usage = {{workspace, 1000 + 100 * static_cast<std::uint32_t>(i)}};
        }
        const auto checkSums = [&] {
            double all = 0;
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                all += fleet.at(i).isRunning ? fleet.at(i).state.usage.front().tokens : 0;
            }
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                if (fleet.at(i).isRunning) {
                    const double others = all - fleet.at(i).state.usage.front().tokens;
                    const double known = peersView(fleet.at(i).exchange, fleet.now()).usage[workspace];
                    BOOST_TEST(known <= others * 1.001 + 100, size.entries << " entries, " << i << ": " << known << " of " << others);
                    BOOST_TEST(known >= others * oldestShare, size.entries << " entries, " << i << ": " << known << " of " << others);
                }
            }
        };
        fleet.run(std::chrono::seconds(8));
        checkSums();
        std::size_t stopped = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (isAggregator(fleet.at(i).exchange) && ++stopped < fleet.size()) {
                fleet.stop(i);
            }
        }
        fleet.run(2 * convergenceTime);
        checkSums();
    }
}

/// Guards against lists of workspaces that lengthen the traffic by more than a tenth while all entries lack room.
BOOST_AUTO_TEST_CASE(usageOfWorkspacesAddsLessThanATenth)
{
    constexpr int engines = 60;
    const auto bytesSent = [](const FleetSize &size, bool isReporting) {
        CheckedFleet fleet(size, 14);
        assignLoads(fleet, engines, size.dataCenters);
        for (std::size_t i = 0; i < fleet.size() && isReporting; ++i) {
            for (std::uint32_t k = 0; k < maxOwnWorkspaces; ++k) {
                fleet.at(i).state.usage.push_back({1 + (static_cast<std::uint32_t>(i) * 5 + k) % static_cast<std::uint32_t>(maxSummedWorkspaces), 1000});
            }
        }
        fleet.run(std::chrono::seconds(20));
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            sum += fleet.at(i).bytesSent;
        }
        return static_cast<double>(sum);
    };
    for (const FleetSize &size : {FleetSize{8, 3}, FleetSize{28, 3}, FleetSize{68, 5}}) {
        const double growth = bytesSent(size, true) / bytesSent(size, false);
        BOOST_TEST_MESSAGE(size.entries << " entries: usage of workspaces multiplies what is sent by " << growth);
        BOOST_TEST(growth > 1.0);
        BOOST_TEST(growth < 1.1, size.entries << " entries: " << growth);
    }
}

/// Guards against outdated loads, by which all entries of a data centre overload the same engines before they receive each
/// other's updates.
BOOST_AUTO_TEST_CASE(loadUpdatesAreRecent)
{
    for (const FleetSize &size : {sizes[0], sizes[1], sizes[2]}) {
        CheckedFleet fleet(size, 4);
        fleet.run(std::chrono::seconds(8));
        // One entry changes its load at one target in every step; the value is the time in ms at which it was set.
        constexpr std::uint32_t target = 7;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const bool isLocal = fleet.at(i).exchange.self.dataCenter == fleet.at(size.dataCenters == 3 ? 0 : 3 * size.dataCenters).exchange.self.dataCenter;
            fleet.at(i).state.localTargets = isLocal ? std::vector<std::uint32_t>{target} : std::vector<std::uint32_t>{};
        }
        const TimePoint begin = fleet.now();
        const std::size_t reporter = size.dataCenters == 3 ? 0 : 3 * size.dataCenters;
        milliseconds oldestLocal{0};
        milliseconds oldestRemote{0};
        fleet.onStep = [&] {
            const auto value = static_cast<std::uint16_t>((fleet.now() - begin) / milliseconds(1) + 1);
            fleet.at(reporter).state.loads = {{target, value, 0, 1}};
            for (std::size_t i = 0; i < fleet.size() && value > 1500; ++i) {
                if (i == reporter) {
                    continue;
                }
                const PeersView others = peersView(fleet.at(i).exchange, fleet.now());
                const milliseconds age(others.loads.empty() ? value : value - others.loads.front().openRequests);
                const bool isLocal = fleet.at(i).exchange.self.dataCenter == fleet.at(reporter).exchange.self.dataCenter;
                milliseconds &oldest = isLocal ? oldestLocal : oldestRemote;
                oldest = std::max(oldest, age);
            }
        };
        fleet.run(std::chrono::seconds(6));
        BOOST_TEST(oldestLocal < milliseconds(500), size.entries << " entries: " << oldestLocal.count() << " ms in its data centre");
        BOOST_TEST(oldestRemote < milliseconds(1600), size.entries << " entries: " << oldestRemote.count() << " ms elsewhere");
    }
}

/// Guards against lost entries that are counted forever, and against a group that is lost with its aggregator.
BOOST_AUTO_TEST_CASE(aLostAggregatorIsReplacedAndForgotten)
{
    for (const FleetSize &size : sizes) {
        CheckedFleet fleet(size, 5);
        fleet.run(std::chrono::seconds(8));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (isAggregator(fleet.at(i).exchange)) {
                fleet.stop(i);
            }
        }
        if (fleet.running() == 0) {
            continue;
        }
        const milliseconds time = fleet.timeToConverge();
        BOOST_TEST(time <= convergenceTime, size.entries << " entries took " << time.count() << " ms");
    }
}

/// Guards against the loss of a group's state when its aggregator stops: it hands the group over while it still runs.
BOOST_AUTO_TEST_CASE(aStoppingAggregatorHandsItsGroupOver)
{
    CheckedFleet fleet({68, 5}, 6);
    fleet.run(std::chrono::seconds(8));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.at(i).state.isDraining = isAggregator(fleet.at(i).exchange);
    }
    std::uint32_t fewest = 67;
    for (int i = 0; i < 20; ++i) {
        fleet.run(milliseconds(100));
        for (std::size_t k = 0; k < fleet.size(); ++k) {
            fewest = std::min(fewest, peersView(fleet.at(k).exchange, fleet.now()).entries.entries);
        }
    }
    BOOST_TEST(fewest >= 60U);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        BOOST_TEST(!(fleet.at(i).state.isDraining && isAggregator(fleet.at(i).exchange)));
    }
}

/// Guards against halves of a partitioned fleet that never find each other again, also when all seeds are lost for good.
BOOST_AUTO_TEST_CASE(halvesFindEachOtherAfterACut)
{
    for (const FleetSize &size : sizes) {
        for (const bool hasSeeds : {true, false}) {
            CheckedFleet fleet(size, 7);
            fleet.run(std::chrono::seconds(8));
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                fleet.at(i).partition = static_cast<int>(i % 2);
            }
            if (!hasSeeds && size.entries > 4) {
                fleet.stop(0);
                fleet.stop(1);
                fleet.stop(2);
            }
            fleet.run(std::chrono::seconds(8));
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                const std::size_t most = fleet.size() / 2;
                // The state of an entry that has stopped says nothing: its process has ended.
                BOOST_TEST((!fleet.at(i).isRunning || peersView(fleet.at(i).exchange, fleet.now()).entries.entries < most));
                fleet.at(i).partition = 0;
            }
            const milliseconds time = fleet.timeToConverge();
            constexpr milliseconds mergeTime{20000}; // known hosts are probed one after the other
            BOOST_TEST(time <= mergeTime, size.entries << " entries took " << time.count() << " ms");
        }
    }
}

/// Guards against an entry that is cut off and still counts load that others reported seconds ago.
BOOST_AUTO_TEST_CASE(anIsolatedEntryCountsNobody)
{
    CheckedFleet fleet({68, 5}, 8);
    assignLoads(fleet, 130, 5);
    fleet.run(std::chrono::seconds(8));
    fleet.at(30).isIsolated = true;
    fleet.run(exchangeTimeout + milliseconds(1000));
    const PeersView others = peersView(fleet.at(30).exchange, fleet.now());
    BOOST_TEST(others.entries.entries == 0U);
    BOOST_TEST(others.loads.empty());
    BOOST_TEST(others.source.host.empty());
    fleet.at(30).isIsolated = false;
    const milliseconds time = fleet.timeToConverge();
    BOOST_TEST(time <= convergenceTime, "took " << time.count() << " ms");
}

/// Guards against a mass restart after which entries do not find each other.
BOOST_AUTO_TEST_CASE(aMassRestartEndsWithOneFleet)
{
    for (const FleetSize &size : sizes) {
        CheckedFleet fleet(size, 9);
        fleet.run(std::chrono::seconds(8));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.start(i);
        }
        const milliseconds time = fleet.timeToConverge();
        BOOST_TEST(time <= convergenceTime, size.entries << " entries took " << time.count() << " ms");
    }
}

/// Guards against old messages that overwrite newer state: late ones, duplicates, and those of a previous process.
BOOST_AUTO_TEST_CASE(oldMessagesChangeNothing)
{
    CheckedFleet fleet({4, 1}, 10);
    fleet.run(std::chrono::seconds(5));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        LoadExchange &exchange = fleet.at(i).exchange;
        if (!isAggregator(exchange)) {
            continue;
        }
        const EntryReport newest = exchange.members.begin()->second.last;
        EntryReport older = newest;
        older.loads = {{99, 50, 0, 1}};
        older.sequence = newest.sequence - 1;
        handleReport(exchange, older, fleet.now());
        older.sequence = newest.sequence + 5;
        older.incarnation.value = newest.incarnation.value - 1;
        handleReport(exchange, older, fleet.now());
        BOOST_TEST(!exchange.loads.contains(99));
        older.incarnation = newest.incarnation;
        handleReport(exchange, older, fleet.now());
        BOOST_TEST(exchange.loads.contains(99));
    }
}

/// Guards against failures that the other tests do not foresee: random faults in sequence, after which the fleet must converge
/// within 15 seconds of the last. PARSLEY_EXCHANGE_SEEDS=1-200 runs more than the default seeds.
BOOST_AUTO_TEST_CASE(anyFaultsEndWithOneFleet)
{
    unsigned first = 1;
    unsigned last = 6;
    if (const char *seeds = std::getenv("PARSLEY_EXCHANGE_SEEDS")) {
        BOOST_REQUIRE(std::sscanf(seeds, "%u-%u", &first, &last) == 2);
    }
    for (unsigned seed = first; seed <= last; ++seed) {
        const FleetSize size = seed % 10 == 0 ? sizes[2] : seed % 2 == 0 ? sizes[1] : FleetSize{9, 3};
        CheckedFleet fleet(size, seed);
        assignLoads(fleet, 130, size.dataCenters);
        fleet.run(std::chrono::seconds(4));
        for (int fault = 0; fault < 8; ++fault) {
            const std::size_t from = fleet.random()() % fleet.size();
            const std::size_t count = 1 + fleet.random()() % fleet.size();
            const int kind = static_cast<int>(fleet.random()() % 6);
            fleet.faults = {};
            for (std::size_t k = 0; k < count; ++k) {
                SimulatedEntry &entry = fleet.at((from + k) % fleet.size());
                if (kind == 0) {
                    fleet.stop((from + k) % fleet.size());
                } else if (kind == 1) {
                    fleet.start((from + k) % fleet.size());
                } else if (kind == 2) {
                    entry.partition = 1;
                } else if (kind == 3) {
                    entry.isPaused = true;
                } else if (kind == 4) {
                    entry.isIsolated = true;
                } else {
                    fleet.faults = {0.3, 0.2, milliseconds(400)};
                }
            }
            fleet.run(milliseconds(300 + fleet.random()() % 3000));
            for (std::size_t k = 0; k < fleet.size(); ++k) {
                fleet.at(k).partition = 0;
                fleet.at(k).isIsolated = false;
                fleet.at(k).isPaused = false;
            }
            fleet.contactLeaseHolder();
            if (fault % 3 == 2) {
                for (std::size_t k = 0; k < fleet.size(); ++k) {
                    if (!fleet.at(k).isRunning) {
                        fleet.start(k);
                    }
                }
            }
        }
        fleet.faults = {};
        fleet.contactLeaseHolder();
        const milliseconds time = fleet.timeToConverge();
        BOOST_TEST(time <= std::chrono::seconds(15), "seed " << seed << " took " << time.count() << " ms");
        fleet.run(std::chrono::seconds(2));
        BOOST_TEST(fleet.isConverged(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
