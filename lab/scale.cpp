// Index: [SECTION] Simulated store, [SECTION] Experiment, [SECTION] Output
#include "lab/scale.h"

#include "policy/table_source.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Parsleytrail::Lab
{

// [SECTION] Simulated store

constexpr milliseconds storeAnswerTime{5}; ///< of a read, and of a copy between entries
constexpr milliseconds watchTime{2000};    ///< a watch without changes is answered after this time
constexpr int callsOfFirstRead = 3;        ///< the configuration, and two pages of targets
constexpr milliseconds maxCopyWait{3000};  ///< as in relay/registry.cpp, at the first start
constexpr int watchedTables = 2;           ///< configuration and targets

/// How one entry follows the tables.
struct SimulatedTables {
    std::uint64_t change = 0; ///< newest change of the configuration that it has; 0: it has no tables
    bool isReading = false;   ///< it reads the store itself
    TimePoint arrivesAt{};    ///< when rows that it asked for arrive; zero: it asked for none
    std::uint64_t arrivingChange = 0;
    TimePoint watchEndsAt{}; ///< when its watch ends without changes
};

/// A store with one changing configuration, and the entries' ways to it.
class SimulatedStore
{
public:
    explicit SimulatedStore(SimulatedFleet &fleet)
        : m_fleet(fleet)
        , m_tables(fleet.size())
    {
        fleet.onStep = [this] {
            // Entries look at their peers' state once an interval; a tenth of them in each step.
            m_turn = (m_turn + 1) % turns;
            for (std::size_t i = m_turn; i < m_tables.size(); i += turns) {
                step(i);
            }
        };
    }

    /// Writes the next configuration.
    void change()
    {
        ++m_change;
    }
    double calls() const
    {
        return m_calls;
    }
    std::size_t readers() const
    {
        return std::count_if(m_tables.begin(), m_tables.end(), [](const SimulatedTables &tables) {
            return tables.isReading;
        });
    }
    bool isEverywhere() const
    {
        return std::all_of(m_tables.begin(), m_tables.end(), [this](const SimulatedTables &tables) {
            return tables.change == m_change;
        });
    }

private:
    void step(std::size_t index)
    {
        SimulatedEntry &entry = m_fleet.at(index);
        SimulatedTables &tables = m_tables[index];
        const TimePoint now = m_fleet.now();
        if (now < entry.exchange.startedAt) {
            return;
        }
        if (tables.arrivesAt != TimePoint() && now >= tables.arrivesAt) {
            tables.change = tables.arrivingChange;
            tables.arrivesAt = TimePoint();
        }
        const PeersView others = peersView(entry.exchange, now);
        const bool isComplete = tables.change > 0;
        const bool isLate = !isComplete && now - entry.exchange.startedAt >= maxCopyWait;
        const TableAccess access = isLate ? TableAccess::Read : chooseTableAccess(others, {isComplete, true, false});
        tables.isReading = access == TableAccess::Read;
        if (tables.isReading) {
            read(tables, now);
        } else if (access == TableAccess::Copy && others.source.configurationChange > tables.change) {
            ask(tables, others.source.configurationChange, now);
        }
        entry.state.isWatching = tables.isReading && isComplete;
        entry.state.isStoreLost = !entry.state.isWatching;
        entry.state.configurationChange = tables.change;
        entry.state.targetsChange = tables.change;
    }
    void read(SimulatedTables &tables, TimePoint now)
    {
        if (tables.change < m_change && ask(tables, m_change, now)) {
            m_calls += tables.change == 0 ? callsOfFirstRead : 1;
        }
        if (now >= tables.watchEndsAt) {
            tables.watchEndsAt = now + watchTime;
            m_calls += watchedTables;
        }
    }
    static bool ask(SimulatedTables &tables, std::uint64_t change, TimePoint now)
    {
        if (tables.arrivesAt != TimePoint()) {
            return false;
        }
        tables.arrivesAt = now + storeAnswerTime;
        tables.arrivingChange = change;
        return true;
    }

    SimulatedFleet &m_fleet;
    std::vector<SimulatedTables> m_tables;
    static constexpr std::size_t turns = 10;
    std::size_t m_turn = 0;
    std::uint64_t m_change = 1;
    double m_calls = 0;
};

// [SECTION] Experiment

constexpr double bytesPerKilobyte = 1000;
constexpr milliseconds timeout{20000}; ///< of what is waited for; a fleet that takes longer is reported with this time

static double seconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

/// Runs until `isDone`, and returns the time that it took.
template<typename Predicate>
static milliseconds runUntil(SimulatedFleet &fleet, Predicate isDone)
{
    const TimePoint begin = fleet.now();
    constexpr milliseconds resolution{20};
    while (!isDone() && fleet.now() - begin < timeout) {
        fleet.run(resolution);
    }
    return std::chrono::duration_cast<milliseconds>(fleet.now() - begin);
}

static void measureStart(SimulatedFleet &fleet, const SimulatedStore &store, const ScaleOptions &options, ScaleFigures &figures)
{
    const TimePoint begin = fleet.now();
    figures.timeToTables = runUntil(fleet, [&store] {
        return store.isEverywhere();
    });
    figures.callsAtStart = store.calls();
    const milliseconds left = runUntil(fleet, [&fleet] {
        return fleet.isConverged();
    });
    figures.timeToConverge = figures.timeToTables + left;
    const milliseconds settled = std::chrono::duration_cast<milliseconds>(fleet.now() - begin);
    fleet.run(std::max(milliseconds(0), options.settleTime - settled));
}

static void measureCalm(SimulatedFleet &fleet, const SimulatedStore &store, const ScaleOptions &options, ScaleFigures &figures)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.at(i).bytesSent = 0;
        fleet.at(i).bytesReceived = 0;
        fleet.at(i).messagesSent = 0;
    }
    const std::uint64_t changesBefore = fleet.aggregatorChanges();
    const double callsBefore = store.calls();
    const auto wallBefore = std::chrono::steady_clock::now();
    fleet.run(options.calmTime);
    const double wall = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - wallBefore).count();
    const double time = seconds(options.calmTime);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const SimulatedEntry &entry = fleet.at(i);
        const double sent = static_cast<double>(entry.bytesSent) / bytesPerKilobyte / time;
        figures.sentMean += sent / static_cast<double>(fleet.size());
        figures.sentMost = std::max(figures.sentMost, sent);
        figures.receivedMost = std::max(figures.receivedMost, static_cast<double>(entry.bytesReceived) / bytesPerKilobyte / time);
        figures.messagesMost = std::max(figures.messagesMost, static_cast<double>(entry.messagesSent) / time);
    }
    figures.callsPerSecond = (store.calls() - callsBefore) / time;
    figures.aggregatorChanges = fleet.aggregatorChanges() - changesBefore;
    figures.aggregators = fleet.aggregators();
    figures.readers = store.readers();
    figures.microsecondsPerSecond = options.measuresProcessorTime ? wall / time / static_cast<double>(fleet.size()) : 0;
}

static void measureNews(SimulatedFleet &fleet, SimulatedStore &store, ScaleFigures &figures)
{
    constexpr int changes = 5;
    constexpr milliseconds pause{1300}; ///< no multiple of an interval, so that changes come at different moments of it
    const TimePoint begin = fleet.now();
    const double callsBefore = store.calls();
    for (int i = 0; i < changes; ++i) {
        store.change();
        figures.timeOfNews = std::max(figures.timeOfNews, runUntil(fleet, [&store] {
                                          return store.isEverywhere();
                                      }));
        fleet.run(pause);
    }
    const double usual = figures.callsPerSecond * seconds(std::chrono::duration_cast<milliseconds>(fleet.now() - begin));
    figures.callsPerConfiguration = std::max(0.0, (store.calls() - callsBefore - usual) / changes);
}

ScaleFigures measureScale(FleetSize size, const ScaleOptions &options)
{
    ScaleFigures figures;
    figures.size = size;
    figures.engines = std::max(1, static_cast<int>(size.entries * options.enginesPerEntry));
    SimulatedFleet fleet(size, options.seed);
    fleet.faults.loss = options.loss;
    assignLoads(fleet, figures.engines, size.dataCenters);
    SimulatedStore store(fleet);
    measureStart(fleet, store, options, figures);
    measureCalm(fleet, store, options, figures);
    measureNews(fleet, store, figures);
    return figures;
}

double growthExponent(const std::vector<ScaleFigures> &rows, double (*value)(const ScaleFigures &))
{
    if (rows.size() < 2 || value(rows.front()) <= 0 || value(rows.back()) <= 0) {
        return 0;
    }
    const double growth = std::log(value(rows.back()) / value(rows.front()));
    return growth / std::log(static_cast<double>(rows.back().size.entries) / rows.front().size.entries);
}

// [SECTION] Output

std::string toJson(const ScaleFigures &figures)
{
    nlohmann::ordered_json json;
    json["entries"] = figures.size.entries;
    json["dataCenters"] = figures.size.dataCenters;
    json["engines"] = figures.engines;
    json["timeToConvergeMs"] = figures.timeToConverge.count();
    json["timeToTablesMs"] = figures.timeToTables.count();
    json["callsAtStart"] = figures.callsAtStart;
    json["callsPerSecond"] = figures.callsPerSecond;
    json["callsPerConfiguration"] = figures.callsPerConfiguration;
    json["timeOfNewsMs"] = figures.timeOfNews.count();
    json["readers"] = figures.readers;
    json["aggregators"] = figures.aggregators;
    json["aggregatorChanges"] = figures.aggregatorChanges;
    json["sentMeanKBps"] = figures.sentMean;
    json["sentMostKBps"] = figures.sentMost;
    json["receivedMostKBps"] = figures.receivedMost;
    json["messagesMostPerSecond"] = figures.messagesMost;
    json["microsecondsPerSecond"] = figures.microsecondsPerSecond;
    return json.dump();
}

std::string toCsv(const ScaleFigures &figures)
{
    const auto json = nlohmann::ordered_json::parse(toJson(figures));
    std::string line;
    for (const auto &[key, value] : json.items()) {
        line += (line.empty() ? "" : ",") + value.dump();
    }
    return line;
}

std::string csvHeader()
{
    const auto json = nlohmann::ordered_json::parse(toJson({}));
    std::string line;
    for (const auto &[key, value] : json.items()) {
        line += (line.empty() ? "" : ",") + key;
    }
    return line;
}

} // namespace Parsleytrail::Lab
