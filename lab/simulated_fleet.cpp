#include "lab/simulated_fleet.h"

#include "wire/frame.h"

#include <algorithm>

namespace Parsleytrail::Lab
{

constexpr int udpHeaderBytes = 28;         ///< IP and UDP headers of a datagram
constexpr milliseconds step{5};            ///< resolution of the simulated time
constexpr milliseconds maxStartDelay{300}; ///< entries that are started together begin within this time
/// Processor time of an entry in thousandths of a core: every sixth entry of a data centre has a whole one.
constexpr std::uint32_t smallCapacity = 90;
constexpr std::uint32_t largeCapacity = 1000;
constexpr std::size_t entriesPerLargeEntry = 6;

static std::string hostOf(std::size_t index)
{
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
}

bool SimulatedFleet::InFlight::operator<(const InFlight &other) const
{
    return at != other.at ? at > other.at : order > other.order;
}

SimulatedFleet::SimulatedFleet(FleetSize size, unsigned seed)
    : m_random(seed)
    , m_dataCenters(size.dataCenters)
{
    for (int i = 0; i < size.entries; ++i) {
        m_entries.emplace_back();
        m_byHost[hostOf(i)] = i;
        start(i);
    }
}

SimulatedEntry &SimulatedFleet::at(std::size_t index)
{
    return m_entries[index];
}

std::size_t SimulatedFleet::size() const
{
    return m_entries.size();
}

std::size_t SimulatedFleet::indexOf(const std::string &host) const
{
    return m_byHost.at(host);
}

std::mt19937 &SimulatedFleet::random()
{
    return m_random;
}

TimePoint SimulatedFleet::now() const
{
    return m_now;
}

void SimulatedFleet::start(std::size_t index)
{
    SimulatedEntry &entry = m_entries[index];
    EntryRef ref;
    ref.entry.value = "entry-" + std::to_string(1000 + index);
    ref.host = hostOf(index);
    ref.dataCenter = "dc-" + std::to_string(index % m_dataCenters);
    ref.capacity = index / m_dataCenters % entriesPerLargeEntry == 1 ? largeCapacity : smallCapacity;
    const std::vector<std::string> seeds = {hostOf(0), hostOf(1), hostOf(2)};
    const TimePoint startAt = m_now + milliseconds(m_random() % maxStartDelay.count());
    entry.exchange = makeLoadExchange(ref, Incarnation{++m_incarnation}, seeds, startAt);
    entry.crashingRequests = {};
    entry.isRunning = true;
    entry.isPaused = false;
    entry.nextTickAt = startAt;
}

void SimulatedFleet::stop(std::size_t index)
{
    m_entries[index].isRunning = false;
}

void SimulatedFleet::run(milliseconds time)
{
    const TimePoint end = m_now + time;
    for (; m_now < end; m_now += step) {
        deliver();
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            SimulatedEntry &entry = m_entries[i];
            if (entry.isRunning && !entry.isPaused && m_now >= entry.nextTickAt) {
                entry.nextTickAt = m_now + exchangeInterval;
                const std::string before = entry.exchange.aggregator.host;
                send(i, tick(entry.exchange, entry.state, m_now));
                entry.aggregatorChanges += before == entry.exchange.aggregator.host ? 0 : 1;
            }
        }
        if (onStep) {
            onStep();
        }
    }
}

void SimulatedFleet::contactLeaseHolder()
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

std::size_t SimulatedFleet::running() const
{
    return std::count_if(m_entries.begin(), m_entries.end(), [](const SimulatedEntry &entry) {
        return entry.isRunning;
    });
}

bool SimulatedFleet::isConverged() const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [this](const SimulatedEntry &entry) {
        return !entry.isRunning || peersView(entry.exchange, m_now).entries.entries + 1 == running();
    });
}

milliseconds SimulatedFleet::timeToConverge()
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

std::size_t SimulatedFleet::aggregators() const
{
    return std::count_if(m_entries.begin(), m_entries.end(), [](const SimulatedEntry &entry) {
        return entry.isRunning && isAggregator(entry.exchange);
    });
}

std::uint64_t SimulatedFleet::aggregatorChanges() const
{
    std::uint64_t sum = 0;
    for (const SimulatedEntry &entry : m_entries) {
        sum += entry.aggregatorChanges;
    }
    return sum;
}

bool SimulatedFleet::areMessagesValid() const
{
    return m_areMessagesValid;
}

/// Sends messages, and beside each one what the entry knows of crashing requests, as the relay does.
void SimulatedFleet::send(std::size_t from, const ExchangeMessages &messages)
{
    for (const ExchangeMessage &out : messages) {
        const Message message = std::visit(
            [](const auto &content) {
                return Message(content);
            },
            out.message);
        sendOne(from, out.host, message);
        CrashingRequests &crashingRequests = m_entries[from].crashingRequests;
        if (crashingRequests.records.empty()) {
            continue;
        }
        const std::vector<CrashNotice> notices = noticesToSend(crashingRequests, m_now, m_random());
        if (!notices.empty()) {
            sendOne(from, out.host, CrashNotices{notices});
        }
    }
}

void SimulatedFleet::sendOne(std::size_t from, const std::string &host, const Message &message)
{
    SimulatedEntry &entry = m_entries[from];
    std::string bytes;
    const bool isEncoded = std::visit(
        [&bytes](const auto &content) {
            return appendFrame(content, currentWireVersion, bytes);
        },
        message);
    m_areMessagesValid = m_areMessagesValid && isEncoded && bytes.size() <= frameHeaderBytes + maxDatagramBytes;
    entry.bytesSent += bytes.size() + udpHeaderBytes;
    entry.messagesSent += 1;
    entry.largestMessageBytes = std::max<std::uint64_t>(entry.largestMessageBytes, bytes.size());
    const auto to = m_byHost.find(host);
    if (to != m_byHost.end()) {
        transmit(from, to->second, message, bytes.size() + udpHeaderBytes);
    }
}

void SimulatedFleet::transmit(std::size_t from, std::size_t to, const Message &message, std::uint64_t bytes)
{
    const bool isCut = m_entries[from].partition != m_entries[to].partition || m_entries[from].isIsolated || m_entries[to].isIsolated;
    std::uniform_real_distribution<double> share(0, 1);
    const int copies = isCut || share(m_random) < faults.loss ? 0 : share(m_random) < faults.duplicated ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const milliseconds delay(1 + m_random() % faults.maxDelay.count());
        m_inFlight.push({m_now + delay, ++m_order, to, bytes, message});
    }
}

void SimulatedFleet::deliver()
{
    std::vector<InFlight> kept;
    while (!m_inFlight.empty() && m_inFlight.top().at <= m_now) {
        const InFlight one = m_inFlight.top();
        m_inFlight.pop();
        SimulatedEntry &entry = m_entries[one.to];
        if (entry.isPaused) {
            kept.push_back(one);
        } else if (entry.isRunning && m_now >= entry.exchange.startedAt) {
            entry.bytesReceived += one.bytes;
            handle(one);
        }
    }
    for (const InFlight &one : kept) {
        m_inFlight.push({m_now + step, one.order, one.to, one.bytes, one.message});
    }
}

void SimulatedFleet::handle(const InFlight &one)
{
    SimulatedEntry &entry = m_entries[one.to];
    LoadExchange &exchange = entry.exchange;
    const std::string before = exchange.aggregator.host;
    if (const auto *report = std::get_if<EntryReport>(&one.message)) {
        send(one.to, handleReport(exchange, *report, m_now));
    } else if (const auto *digest = std::get_if<GroupDigest>(&one.message)) {
        send(one.to, handleDigest(exchange, *digest, m_now));
    } else if (const auto *summary = std::get_if<GroupSummary>(&one.message)) {
        send(one.to, handleSummary(exchange, *summary, m_now));
    } else {
        for (const CrashNotice &notice : std::get<CrashNotices>(one.message).notices) {
            applyNotice(entry.crashingRequests, notice, m_now);
        }
    }
    entry.aggregatorChanges += before == exchange.aggregator.host ? 0 : 1;
}

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

} // namespace Parsleytrail::Lab
