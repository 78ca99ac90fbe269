// Index: [SECTION] Store, [SECTION] Entry, [SECTION] Faults, [SECTION] Experiment
#include "lab/freshness.h"

#include "policy/table_source.h"

#include <algorithm>

namespace Parsleytrail::Lab
{

// [SECTION] Store

constexpr milliseconds answerTime{5};         ///< of the store, and of a copy between entries
constexpr milliseconds watchPause{200};       ///< as in relay/table_watcher.cpp
constexpr milliseconds watchMargin{700};      ///< likewise
constexpr milliseconds readTimeout{1000};     ///< likewise
constexpr milliseconds checkInterval{50};     ///< how often an entry that follows another one checks whether it must ask the store itself
constexpr milliseconds copyTimeout{400};      ///< as in relay/registry.cpp
constexpr int failuresUntilLost = 2;          ///< as in relay/table_watcher.cpp
constexpr milliseconds startTime{6000};       ///< until the entries have found each other and have the tables
constexpr milliseconds minChangeInterval{50}; ///< between two changes of the tables
constexpr milliseconds maxChangeInterval{700};

/// The store's newest change, and when each one was acknowledged.
struct ChangeHistory {
    std::vector<TimePoint> acknowledgedAt; ///< of change 1 and those after it

    std::uint64_t newest() const
    {
        return acknowledgedAt.size();
    }
    /// Newest change that was acknowledged before `at`.
    std::uint64_t newestBefore(TimePoint at) const
    {
        return std::lower_bound(acknowledgedAt.begin(), acknowledgedAt.end(), at) - acknowledgedAt.begin();
    }
};

// [SECTION] Entry

/// One entry's tables, and its way to the store.
struct EntryTables {
    std::uint64_t change = 0; ///< newest change that it has
    OwnTablesAge age{};
    MemberPatience patience{};
    StoreContact contact{};
    bool isCut = false;        ///< it does not reach the store
    bool isQuerying = false;   ///< it watches the store
    int failures = 0;          ///< calls to the store that failed, in a row
    TimePoint askedAt{};       ///< when its open call began; zero: none is open
    TimePoint asksAt{};        ///< when it calls next, if none is open
    TimePoint copyArrivesAt{}; ///< zero: it has asked nobody for a copy
    std::size_t copyFrom = 0;  ///< entry that was asked
    bool mustAsk = false;      ///< a copy failed: it asks the store once
    TimePoint lastHarmedAt{};  ///< when it last had no path to the store, or did not run
    TableSource source{};      ///< as last found
};

class FreshnessRun
{
public:
    FreshnessRun(const FreshnessOptions &options, unsigned seed)
        : m_options(options)
        , m_limits(contactLimits(options.bound))
        , m_fleet(options.size, seed)
        , m_tables(m_fleet.size())
        , m_random(seed)
    {
        m_history.acknowledgedAt.push_back(m_fleet.now());
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            m_tables[i].patience.readsAt = m_fleet.now() + startTime;
            m_tables[i].lastHarmedAt = m_fleet.now() + startTime;
            m_fleet.start(i);
        }
        if (options.targetsPerEntry > 0) {
            assignLoads(m_fleet, options.targetsPerEntry * options.size.entries, options.size.dataCenters);
        }
        m_fleet.onStep = [this] {
            step();
        };
    }

    FreshnessFigures run()
    {
        m_fleet.run(startTime);
        m_isChecking = true;
        const TimePoint end = m_fleet.now() + m_options.time;
        while (m_fleet.now() < end) {
            injectFault();
            m_fleet.run(drawTime(milliseconds(500), milliseconds(4000)));
        }
        return m_figures;
    }

private:
    milliseconds drawTime(milliseconds least, milliseconds most)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
    }
    double drawShare()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    std::size_t drawEntry()
    {
        return std::uniform_int_distribution<std::size_t>(0, m_fleet.size() - 1)(m_random);
    }

    void step();
    void stepEntry(std::size_t index);
    void stepCall(EntryTables &tables);
    void stepCopy(std::size_t index);
    void applyOthers(std::size_t index, const PeersView &others);
    void setChange(EntryTables &tables, std::uint64_t change);
    void check(std::size_t index);

    void injectFault();
    void cutFromStore(const std::vector<std::size_t> &entries, milliseconds time);
    void cutFromOthers(const std::vector<std::size_t> &entries, milliseconds time);
    std::vector<std::size_t> drawVictims();

    FreshnessOptions m_options;
    ContactLimits m_limits;
    SimulatedFleet m_fleet;
    std::vector<EntryTables> m_tables;
    ChangeHistory m_history;
    std::mt19937 m_random;
    FreshnessFigures m_figures;
    std::vector<std::pair<TimePoint, std::function<void()>>> m_heals; ///< ends of faults
    TimePoint m_changesAt{};
    std::size_t m_turn = 0;
    int m_lastPartition = 0;
    bool m_isChecking = false;
};

void FreshnessRun::step()
{
    const TimePoint now = m_fleet.now();
    if (now >= m_changesAt) {
        m_history.acknowledgedAt.push_back(now);
        m_changesAt = now + drawTime(minChangeInterval, maxChangeInterval);
    }
    for (auto &[at, heal] : m_heals) {
        if (heal && now >= at) {
            std::exchange(heal, nullptr)();
        }
    }
    for (std::size_t i = 0; i < m_tables.size(); ++i) {
        stepEntry(i);
    }
    ++m_turn;
}

void FreshnessRun::stepEntry(std::size_t index)
{
    SimulatedEntry &entry = m_fleet.at(index);
    EntryTables &tables = m_tables[index];
    const TimePoint now = m_fleet.now();
    if (tables.isCut || entry.isPaused || !entry.isRunning) {
        tables.lastHarmedAt = now;
    }
    if (entry.isPaused || !entry.isRunning || now < entry.exchange.startedAt) {
        return;
    }
    stepCall(tables);
    stepCopy(index);
    constexpr std::size_t stepsPerCheck = 10;
    if (m_turn % stepsPerCheck == index % stepsPerCheck) {
        entry.exchange.maxTablesAge = m_limits.maxAge;
        applyOthers(index, peersView(entry.exchange, now));
    }
    check(index);
}

void FreshnessRun::setChange(EntryTables &tables, std::uint64_t change)
{
    m_figures.older += change < tables.change ? 1 : 0;
    tables.change = change;
}

/// The watch of both tables, as one.
void FreshnessRun::stepCall(EntryTables &tables)
{
    const TimePoint now = m_fleet.now();
    if (!tables.isQuerying) {
        return;
    }
    if (tables.askedAt == TimePoint()) {
        if (now >= tables.asksAt) {
            tables.askedAt = now;
            ++m_figures.calls;
        }
        return;
    }
    const milliseconds wait = tables.failures > 0 ? milliseconds(0) : m_limits.interval;
    const bool isDue = now - tables.askedAt >= answerTime && (m_history.newest() > tables.change || now - tables.askedAt >= wait);
    if (isDue && !tables.isCut) {
        const bool hasNews = m_history.newest() > tables.change;
        setChange(tables, m_history.newest());
        tables.contact.answeredAt = now;
        tables.failures = 0;
        tables.mustAsk = false;
        tables.askedAt = {};
        tables.asksAt = hasNews ? now + watchPause : now;
    } else if (now - tables.askedAt >= (tables.failures > 0 ? readTimeout : wait + watchMargin)) {
        ++tables.failures;
        tables.askedAt = {};
        tables.asksAt = now + 2 * checkInterval;
    }
}

void FreshnessRun::stepCopy(std::size_t index)
{
    EntryTables &tables = m_tables[index];
    if (tables.copyArrivesAt == TimePoint() || m_fleet.now() < tables.copyArrivesAt) {
        return;
    }
    tables.copyArrivesAt = {};
    const bool isReached = m_fleet.at(index).partition == m_fleet.at(tables.copyFrom).partition && m_fleet.at(tables.copyFrom).isRunning;
    if (isReached) {
        setChange(tables, std::max(tables.change, m_tables[tables.copyFrom].change));
    } else {
        tables.mustAsk = true;
    }
}

/// As relay/registry.cpp does.
void FreshnessRun::applyOthers(std::size_t index, const PeersView &others)
{
    SimulatedEntry &entry = m_fleet.at(index);
    EntryTables &tables = m_tables[index];
    const TimePoint now = m_fleet.now();
    const bool isPathLost = tables.failures >= failuresUntilLost;
    const bool isFailing = isPathLost || (tables.isQuerying && isStoreSilent(tables.contact, m_limits.maxSilence, now));
    const bool isWatching = tables.isQuerying && !isFailing && tables.change > 0;
    tables.source = others.source;
    if (tables.isQuerying && !isPathLost) {
        recordAnswer(tables.age, tables.contact.answeredAt);
    }
    if (!others.source.host.empty()) {
        recordProof(tables.age, others.source.proof, tables.change, tables.change);
    }
    // Only at the first start of the whole system does an entry without tables wait for others to read them.
    const bool isRestarted = tables.change == 0 && m_isChecking;
    const TableAccess access =
        isRestarted ? TableAccess::Read : chooseTableAccess(others, describeOwnTables(tables.change > 0, tables.patience, tables.age, m_limits, now));
    if (access == TableAccess::Copy) {
        recordSource(tables.patience, static_cast<int>(m_fleet.size()) - 1, drawShare(), now);
    }
    const bool isAhead =
        access == TableAccess::Copy ? others.source.configurationChange > tables.change : isPathLost && others.entries.configuration.change > tables.change;
    const std::string &host = access == TableAccess::Copy ? others.source.host : others.entries.configuration.host;
    if (isAhead && tables.copyArrivesAt == TimePoint()) {
        tables.copyFrom = m_fleet.indexOf(host);
        const bool isReached = entry.partition == m_fleet.at(tables.copyFrom).partition;
        tables.copyArrivesAt = now + (isReached ? answerTime : copyTimeout);
    }
    // An entry whose calls fail goes on trying, also while it copies.
    const bool isQuerying = access == TableAccess::Read || tables.failures > 0 || tables.mustAsk;
    if (isQuerying && !tables.isQuerying) {
        tables.contact.askedAt = now;
        tables.askedAt = {};
        tables.asksAt = now;
    }
    tables.isQuerying = isQuerying;
    entry.state.isStoreFailing = isFailing;
    entry.state.isStoreLost = !isWatching;
    entry.state.isWatching = isWatching;
    entry.state.configurationChange = tables.change;
    entry.state.targetsChange = tables.change;
    entry.state.tablesProvenAt = tables.age.provenAt;
}

void FreshnessRun::check(std::size_t index)
{
    const EntryTables &tables = m_tables[index];
    const TimePoint now = m_fleet.now();
    const bool isInTouch = m_isChecking && now - tables.lastHarmedAt >= m_options.contactTime;
    if (!isInTouch || tables.change >= m_history.newest()) {
        return;
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(now - m_history.acknowledgedAt[tables.change]);
    m_figures.slowest = std::max(m_figures.slowest, waited);
    if (waited <= m_options.bound) {
        return;
    }
    ++m_figures.late;
    if (m_figures.firstLate.empty()) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - tables.age.provenAt);
        m_figures.firstLate = "entry " + std::to_string(index) + " at " + std::to_string(now.time_since_epoch() / milliseconds(1)) + " ms lacks change "
                              + std::to_string(tables.change + 1) + " after " + std::to_string(waited.count()) + " ms; tables from '" + tables.source.host
                              + "', proven " + std::to_string(age.count()) + " ms before";
    }
}

// [SECTION] Faults

/// One to three entries, the readers of the store among them more often than others.
std::vector<std::size_t> FreshnessRun::drawVictims()
{
    std::vector<std::size_t> victims;
    const std::size_t count = 1 + drawEntry() % 3;
    for (std::size_t i = 0; i < m_fleet.size() && victims.size() < count; ++i) {
        if (m_tables[i].isQuerying && drawShare() < 0.6) {
            victims.push_back(i);
        }
    }
    while (victims.size() < count) {
        victims.push_back(drawEntry());
    }
    return victims;
}

void FreshnessRun::cutFromStore(const std::vector<std::size_t> &entries, milliseconds time)
{
    for (const std::size_t i : entries) {
        m_tables[i].isCut = true;
    }
    m_heals.emplace_back(m_fleet.now() + time, [this, entries] {
        for (const std::size_t i : entries) {
            m_tables[i].isCut = false;
        }
    });
}

void FreshnessRun::cutFromOthers(const std::vector<std::size_t> &entries, milliseconds time)
{
    const int partition = ++m_lastPartition;
    for (const std::size_t i : entries) {
        m_fleet.at(i).partition = partition;
    }
    m_heals.emplace_back(m_fleet.now() + time, [this, entries] {
        for (const std::size_t i : entries) {
            m_fleet.at(i).partition = 0;
        }
    });
}

void FreshnessRun::injectFault()
{
    const std::vector<std::size_t> victims = drawVictims();
    const milliseconds time = drawTime(milliseconds(300), milliseconds(6000));
    const double kind = drawShare();
    const std::size_t one = victims.front();
    if (kind < 0.35) {
        cutFromStore(victims, time);
    } else if (kind < 0.55) {
        cutFromOthers(victims, time);
    } else if (kind < 0.75) {
        cutFromStore(victims, time);
        cutFromOthers({one}, time);
    } else if (kind < 0.9) {
        m_fleet.at(one).isPaused = true;
        m_heals.emplace_back(m_fleet.now() + time / 2, [this, one] {
            m_fleet.at(one).isPaused = false;
        });
    } else if (m_fleet.at(one).isRunning) {
        m_fleet.stop(one);
        m_heals.emplace_back(m_fleet.now() + time, [this, one] {
            const bool isCut = m_tables[one].isCut;
            m_tables[one] = {};
            m_tables[one].isCut = isCut;
            m_tables[one].lastHarmedAt = m_fleet.now();
            m_fleet.at(one).state = {};
            m_fleet.start(one);
        });
    }
}

// [SECTION] Experiment

FreshnessFigures measureFreshness(const FreshnessOptions &options, unsigned seed)
{
    return FreshnessRun(options, seed).run();
}

} // namespace Parsleytrail::Lab
