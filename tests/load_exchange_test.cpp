// Load exchange between 4, 68 and 370 entries, in simulated time, on a network that loses, delays and duplicates datagrams and
// that partitions.
#include "policy/load_exchange.h"

#include "wire/frame.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <queue>
#include <random>

using namespace Parsleytrail;

namespace
{

constexpr int udpHeaderBytes = 28;

/// Faults of the simulated network.
struct NetworkFaults {
    double loss = 0;          ///< share of datagrams that are lost
    double duplicated = 0;    ///< share of datagrams that arrive twice
    milliseconds maxDelay{2}; ///< each datagram is delayed by a random time from 1 ms to this
};

struct SimulatedEntry {
    LoadExchange exchange;
    EntryState state;
    bool isRunning = true;
    bool isPaused = false;
    int partition = 0;       ///< entries of different partitions receive nothing from each other
    bool isIsolated = false; ///< neither sends nor receives
    TimePoint nextTickAt{};
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t largestMessageBytes = 0; ///< with frame header
};

struct InFlight {
    TimePoint at;
    std::uint64_t order;
    std::size_t to;
    std::variant<EntryReport, GroupDigest, GroupSummary> message;

    bool operator<(const InFlight &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

/// Entries that run the load exchange over a simulated network.
class SimulatedFleet
{
public:
    SimulatedFleet(int entries, int dataCenters, unsigned seed)
        : m_random(seed)
        , m_dataCenters(dataCenters)
    {
        for (int i = 0; i < entries; ++i) {
            m_entries.emplace_back();
            m_byHost[hostOf(i)] = i;
            start(i);
        }
    }

    SimulatedEntry &at(std::size_t index)
    {
        return m_entries[index];
    }
    std::size_t size() const
    {
        return m_entries.size();
    }
    std::mt19937 &random()
    {
        return m_random;
    }
    TimePoint now() const
    {
        return m_now;
    }
    NetworkFaults faults{};

    /// Starts an entry, or restarts it without its state.
    void start(std::size_t index)
    {
        SimulatedEntry &entry = m_entries[index];
        EntryRef ref;
        const std::string number = std::to_string(1000 + index);
        ref.entry.value = "entry-" + number;
        ref.host = hostOf(index);
        ref.dataCenter = "dc-" + std::to_string(index % m_dataCenters);
        ref.capacity = index / m_dataCenters % 5 == 1 ? 500 : 90;
        const std::vector<std::string> seeds = {hostOf(0), hostOf(1), hostOf(2)};
        entry.exchange = makeLoadExchange(ref, Incarnation{++m_incarnation}, seeds, m_now);
        entry.isRunning = true;
        entry.isPaused = false;
        entry.nextTickAt = m_now + milliseconds(m_random() % 300);
    }

    void stop(std::size_t index)
    {
        m_entries[index].isRunning = false;
    }

    void run(milliseconds time)
    {
        const TimePoint end = m_now + time;
        for (; m_now < end; m_now += milliseconds(5)) {
            deliver();
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                SimulatedEntry &entry = m_entries[i];
                if (entry.isRunning && !entry.isPaused && m_now >= entry.nextTickAt) {
                    entry.nextTickAt = m_now + exchangeInterval;
                    send(i, tick(entry.exchange, entry.state, m_now));
                }
            }
            if (onStep) {
                onStep();
            }
        }
    }
    std::function<void()> onStep{};

    /// Gives all entries the host of one that runs, as the lease in the store does: the seeds may be lost for good.
    void contactLeaseHolder()
    {
        for (SimulatedEntry &entry : m_entries) {
            const auto holder = std::find_if(m_entries.begin(), m_entries.end(), [](const SimulatedEntry &other) {
                return other.isRunning;
            });
            if (entry.isRunning) {
                addContact(entry.exchange, holder->exchange.self.host, m_now);
            }
        }
    }

    std::size_t running() const
    {
        return std::count_if(m_entries.begin(), m_entries.end(), [](const SimulatedEntry &entry) {
            return entry.isRunning;
        });
    }
    /// Whether the view of each running entry includes all others.
    bool isConverged() const
    {
        return std::all_of(m_entries.begin(), m_entries.end(), [this](const SimulatedEntry &entry) {
            return !entry.isRunning || peersView(entry.exchange, m_now).entries.entries + 1 == running();
        });
    }
    /// Runs until the fleet has converged and stays so for a second, for at most a minute. Returns the time until it converged.
    milliseconds timeToConverge()
    {
        constexpr int requiredChecks = 10;
        const TimePoint begin = m_now;
        TimePoint convergedSince = m_now;
        for (int convergedInRow = 0; convergedInRow < requiredChecks && m_now - begin < std::chrono::seconds(60);) {
            convergedInRow = isConverged() ? convergedInRow + 1 : 0;
            convergedSince = convergedInRow <= 1 ? m_now : convergedSince;
            run(milliseconds(100));
        }
        return std::chrono::duration_cast<milliseconds>(convergedSince - begin);
    }
    std::size_t aggregators() const
    {
        return std::count_if(m_entries.begin(), m_entries.end(), [](const SimulatedEntry &entry) {
            return entry.isRunning && isAggregator(entry.exchange);
        });
    }
    static std::string hostOf(std::size_t index)
    {
        return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
    }

private:
    void send(std::size_t from, const ExchangeMessages &messages)
    {
        for (const ExchangeMessage &out : messages) {
            SimulatedEntry &entry = m_entries[from];
            std::string bytes;
            const bool isEncoded = std::visit(
                [&bytes](const auto &message) {
                    return appendFrame(message, currentWireVersion, bytes);
                },
                out.message);
            BOOST_REQUIRE(isEncoded);
            BOOST_REQUIRE(bytes.size() <= frameHeaderBytes + maxDatagramBytes);
            entry.bytesSent += bytes.size() + udpHeaderBytes;
            entry.messagesSent += 1;
            entry.largestMessageBytes = std::max<std::uint64_t>(entry.largestMessageBytes, bytes.size());
            const auto to = m_byHost.find(out.host);
            if (to != m_byHost.end()) {
                transmit(from, to->second, out);
            }
        }
    }
    void transmit(std::size_t from, std::size_t to, const ExchangeMessage &out)
    {
        const bool isCut = m_entries[from].partition != m_entries[to].partition || m_entries[from].isIsolated || m_entries[to].isIsolated;
        std::uniform_real_distribution<double> share(0, 1);
        const int copies = isCut || share(m_random) < faults.loss ? 0 : share(m_random) < faults.duplicated ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const milliseconds delay(1 + m_random() % faults.maxDelay.count());
            m_inFlight.push({m_now + delay, ++m_order, to, out.message});
        }
    }
    void deliver()
    {
        std::vector<InFlight> kept;
        while (!m_inFlight.empty() && m_inFlight.top().at <= m_now) {
            const InFlight one = m_inFlight.top();
            m_inFlight.pop();
            SimulatedEntry &entry = m_entries[one.to];
            if (entry.isPaused) {
                kept.push_back(one);
            } else if (entry.isRunning) {
                handle(one);
            }
        }
        for (const InFlight &one : kept) {
            m_inFlight.push({m_now + milliseconds(5), one.order, one.to, one.message});
        }
    }
    void handle(const InFlight &one)
    {
        LoadExchange &exchange = m_entries[one.to].exchange;
        if (const auto *report = std::get_if<EntryReport>(&one.message)) {
            send(one.to, handleReport(exchange, *report, m_now));
        } else if (const auto *digest = std::get_if<GroupDigest>(&one.message)) {
            send(one.to, handleDigest(exchange, *digest, m_now));
        } else {
            send(one.to, handleSummary(exchange, std::get<GroupSummary>(one.message), m_now));
        }
    }

    std::vector<SimulatedEntry> m_entries;
    std::map<std::string, std::size_t> m_byHost;
    std::mt19937 m_random;
    int m_dataCenters;
    TimePoint m_now{std::chrono::hours(1)};
    std::priority_queue<InFlight> m_inFlight;
    std::uint64_t m_order = 0;
    std::uint64_t m_incarnation = 0;
};

struct FleetSize {
    int entries;
    int dataCenters;
};
const std::vector<FleetSize> sizes = {{4, 3}, {68, 5}, {370, 25}};

/// Gives every entry load at engines of its data centre and at a few elsewhere.
void assignLoads(SimulatedFleet &fleet, int engines, int dataCenters)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        std::map<std::uint32_t, EngineLoad> loads;
        for (int k = 0; k < 40; ++k) {
            const bool isLocal = k < 30;
            const auto drawn = static_cast<std::uint32_t>(fleet.random()() % engines);
            const auto target = isLocal ? drawn - drawn % dataCenters + static_cast<std::uint32_t>(i) % dataCenters : drawn;
            loads[target] = {target, static_cast<std::uint16_t>(1 + fleet.random()() % 5), 0, 40000};
        }
        fleet.at(i).state.loads.clear();
        for (const auto &[target, load] : loads) {
            fleet.at(i).state.loads.push_back(load);
        }
        for (auto target = static_cast<std::uint32_t>(i) % dataCenters; target < static_cast<std::uint32_t>(engines); target += dataCenters) {
            fleet.at(i).state.localTargets.push_back(target);
        }
    }
}

std::uint64_t totalOpen(const std::vector<EngineLoad> &loads)
{
    std::uint64_t sum = 0;
    for (const EngineLoad &load : loads) {
        sum += load.openRequests;
    }
    return sum;
}

constexpr milliseconds convergenceTime{4000}; ///< until all views are complete, after a start, a loss or the end of a partition

} // namespace

BOOST_AUTO_TEST_SUITE(load_exchange)

/// Guards against entries that never find each other, or that keep removing each other.
BOOST_AUTO_TEST_CASE(entriesThatStartTogetherFindEachOther)
{
    for (const FleetSize &size : sizes) {
        SimulatedFleet fleet(size.entries, size.dataCenters, 1);
        const milliseconds time = fleet.timeToConverge();
        BOOST_TEST(time <= convergenceTime, size.entries << " entries took " << time.count() << " ms");
        for (int i = 0; i < 50; ++i) {
            fleet.run(milliseconds(200));
            BOOST_TEST(fleet.isConverged(), size.entries << " entries, step " << i);
        }
        BOOST_TEST(fleet.aggregators() <= static_cast<std::size_t>(size.dataCenters));
    }
}

/// Guards against load that is counted twice or not at all.
BOOST_AUTO_TEST_CASE(everyEntryKnowsTheLoadOfAllOthers)
{
    for (const FleetSize &size : {sizes[0], sizes[1]}) {
        SimulatedFleet fleet(size.entries, size.dataCenters, 2);
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
        SimulatedFleet fleet(size.entries, size.dataCenters, 3);
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

/// Guards against outdated loads, by which all entries of a data centre overload the same engines before they receive each
/// other's updates.
BOOST_AUTO_TEST_CASE(loadUpdatesAreRecent)
{
    for (const FleetSize &size : {sizes[0], sizes[1], sizes[2]}) {
        SimulatedFleet fleet(size.entries, size.dataCenters, 4);
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
        SimulatedFleet fleet(size.entries, size.dataCenters, 5);
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
    SimulatedFleet fleet(68, 5, 6);
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
            SimulatedFleet fleet(size.entries, size.dataCenters, 7);
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
                BOOST_TEST(peersView(fleet.at(i).exchange, fleet.now()).entries.entries < most);
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
    SimulatedFleet fleet(68, 5, 8);
    assignLoads(fleet, 130, 5);
    fleet.run(std::chrono::seconds(8));
    fleet.at(30).isIsolated = true;
    fleet.run(exchangeTimeout + milliseconds(1000));
    const PeersView others = peersView(fleet.at(30).exchange, fleet.now());
    BOOST_TEST(others.entries.entries == 0U);
    BOOST_TEST(others.loads.empty());
    BOOST_TEST(!others.isAggregatorWatching);
    fleet.at(30).isIsolated = false;
    const milliseconds time = fleet.timeToConverge();
    BOOST_TEST(time <= convergenceTime, "took " << time.count() << " ms");
}

/// Guards against a mass restart after which entries do not find each other.
BOOST_AUTO_TEST_CASE(aMassRestartEndsWithOneFleet)
{
    for (const FleetSize &size : sizes) {
        SimulatedFleet fleet(size.entries, size.dataCenters, 9);
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
    SimulatedFleet fleet(4, 1, 10);
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
        SimulatedFleet fleet(size.entries, size.dataCenters, seed);
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
