// What the parts of a relay share.
#pragma once

#include "base/metrics.h"
#include "generated/settings.h"
#include "policy/fleet.h"
#include "policy/routes.h"
#include "policy/shared_budget.h"
#include "relay/dialect.h"
#include "relay/target_exchange.h"

#include <memory>
#include <random>
#include <unordered_map>

namespace Parsleytrail
{

/// Counters and histograms of the data path, looked up once.
struct RelayMetrics {
    Metrics all;
    std::uint64_t &requests = all.counter("parsley_relay_requests", "Requests read from callers.");
    std::uint64_t &served = all.counter("parsley_relay_served", "Requests answered with a target's whole answer.");
    std::uint64_t &refused = all.counter("parsley_relay_refused", "Requests refused without having run.");
    std::uint64_t &failed = all.counter("parsley_relay_failed", "Requests without a whole answer that may have run.");
    std::uint64_t &callersGone = all.counter("parsley_relay_callers_gone", "Requests whose caller left first.");
    std::uint64_t &retries = all.counter("parsley_relay_retries", "Requests sent once more.");
    std::uint64_t &events = all.counter("parsley_relay_events", "Events of streams passed on.");
    std::uint64_t &storeCalls = all.counter("parsley_relay_store_calls", "Calls to the platform's store.");
    std::uint64_t &probes = all.counter("parsley_relay_probes", "Reports asked of engines.");
    std::uint64_t &orders = all.counter("parsley_relay_orders", "Orders sent to engines.");
    TimeHistogram &firstByte = all.histogram("parsley_relay_first_byte_seconds", "From a request's first byte to the first byte of its answer.");
    TimeHistogram &eventGap = all.histogram("parsley_relay_event_gap_seconds", "Between two events of a stream.");
    double &openRequests = all.gauge("parsley_relay_open_requests", "Requests being answered.");
};

/// State of one process, owned by Relay.
struct RelayContext {
    EventLoop &loop;
    const Clock &clock;
    const Dialect &dialect;
    const RelaySettings &settings;
    TargetConnectionPool connections;
    Fleet fleet{};
    std::shared_ptr<const RouteTable> routes{}; ///< in force; null until one is known
    std::unordered_map<ServiceName, RetryBudget> retryBudgets{};
    std::unordered_map<ServiceName, RateBudget> crossingBudgets{};
    std::mt19937_64 random{}; ///< seeded by the id and the start, so that a run can be repeated
    RelayMetrics metrics{};
    double usualGapMs = 50;    ///< moving average of the time between two events of a stream
    EntryCount entryCount{};   ///< entries that share budgets
    bool hasRetryPart = false; ///< this entry was granted its part of the retry budgets
};

/// Notes how many other entries are heard of now.
void noteHeardEntries(RelayContext &context, int heard);
/// Adapts this entry's parts of budgets to the time and the number of entries. Called once a second.
void updateBudgetParts(RelayContext &context);
/// Takes one repeated send of this entry's part of the service's budget; false if it is spent.
bool tryRetry(RelayContext &context, const ServiceName &service);
/// Whether a repeated send could be taken now.
bool hasRetry(RelayContext &context, const ServiceName &service);
/// Whether more than half of this entry's part is left: for repeats that could be done without.
bool hasSpareRetries(RelayContext &context, const ServiceName &service);
/// Counts a request towards the budget.
void noteRequest(RelayContext &context, const ServiceName &service);

/// This entry's part of the pipe between the data centres of a service, at the rate of the newest configuration.
RateBudget &crossingBudget(RelayContext &context, const ServiceSpec &service);

/// Avoids a target after a failure, and logs it.
void avoidTarget(RelayContext &context, const TargetId &id, std::string_view reason);

} // namespace Parsleytrail
