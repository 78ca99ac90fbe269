// Entries that run the real load exchange in simulated time, on a network that loses, delays and duplicates datagrams and that
// partitions. For tests and for the scale experiment.
//
//     SimulatedFleet fleet({437, 5}, seed);
//     fleet.run(std::chrono::seconds(4));
//     if (fleet.isConverged()) ...
#pragma once

#include "policy/crashing_requests.h"
#include "policy/load_exchange.h"

#include <functional>
#include <queue>
#include <random>

namespace Parsleytrail::Lab
{

/// Number of entries, spread evenly over data centres.
struct FleetSize {
    int entries = 1;     ///< all entries
    int dataCenters = 1; ///< data centres
};

/// Faults of the simulated network.
struct NetworkFaults {
    double loss = 0;          ///< share of datagrams that are lost
    double duplicated = 0;    ///< share of datagrams that arrive twice
    milliseconds maxDelay{2}; ///< each datagram is delayed by a random time from 1 ms to this
};

/// One entry and what it sent.
struct SimulatedEntry {
    LoadExchange exchange;                 ///< its state
    EntryState state;                      ///< what it reports
    CrashingRequests crashingRequests;     ///< what it knows of requests that crash targets
    bool isRunning = true;                 ///< false: neither sends nor receives, and has lost its state
    bool isPaused = false;                 ///< does nothing; what is sent to it arrives later
    int partition = 0;                     ///< entries of different partitions receive nothing from each other
    bool isIsolated = false;               ///< neither sends nor receives
    TimePoint nextTickAt{};                ///< when it ticks next
    std::uint64_t bytesSent = 0;           ///< with frame, IP and UDP headers
    std::uint64_t bytesReceived = 0;       ///< likewise
    std::uint64_t messagesSent = 0;        ///< datagrams
    std::uint64_t largestMessageBytes = 0; ///< with frame header
    std::uint64_t aggregatorChanges = 0;   ///< times that it began to report to another entry, or to none
};

/// Entries that run the load exchange over a simulated network.
class SimulatedFleet
{
public:
    SimulatedFleet(FleetSize size, unsigned seed);

    SimulatedEntry &at(std::size_t index);
    std::size_t size() const;
    /// Index of the entry at a host.
    std::size_t indexOf(const std::string &host) const;
    std::mt19937 &random();
    TimePoint now() const;
    NetworkFaults faults{};
    std::function<void()> onStep{}; ///< called after each step of 5 ms

    /// Starts an entry within 300 ms, or restarts it without its state.
    void start(std::size_t index);
    void stop(std::size_t index);
    void run(milliseconds time);
    /// Gives all entries the host of one that runs, as the lease in the store does: the seeds may be lost for good.
    void contactLeaseHolder();
    /// Number of running entries.
    std::size_t running() const;
    /// Whether the view of each running entry includes all others.
    bool isConverged() const;
    /// Runs until the fleet has converged and stays so for a second, for at most a minute. Returns the time until it converged.
    milliseconds timeToConverge();
    /// Number of running entries that aggregate.
    std::size_t aggregators() const;
    /// Sum of SimulatedEntry::aggregatorChanges.
    std::uint64_t aggregatorChanges() const;
    /// Whether each message could be encoded and fits into a datagram.
    bool areMessagesValid() const;

private:
    using Message = std::variant<EntryReport, GroupDigest, GroupSummary, CrashNotices>;
    struct InFlight {
        TimePoint at;
        std::uint64_t order;
        std::size_t to;
        std::uint64_t bytes;
        Message message;

        bool operator<(const InFlight &other) const;
    };

    void send(std::size_t from, const ExchangeMessages &messages);
    void sendOne(std::size_t from, const std::string &host, const Message &message);
    void transmit(std::size_t from, std::size_t to, const Message &message, std::uint64_t bytes);
    void deliver();
    void handle(const InFlight &one);

    std::vector<SimulatedEntry> m_entries;
    std::map<std::string, std::size_t> m_byHost;
    std::mt19937 m_random;
    int m_dataCenters;
    TimePoint m_now{std::chrono::hours(1)};
    std::priority_queue<InFlight> m_inFlight;
    std::uint64_t m_order = 0;
    std::uint64_t m_incarnation = 0;
    bool m_areMessagesValid = true;
};

/// Gives every entry load at engines of its data centre and at a few elsewhere.
void assignLoads(SimulatedFleet &fleet, int engines, int dataCenters);

} // namespace Parsleytrail::Lab
