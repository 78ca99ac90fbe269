// State that the components of a relay process share: configuration, targets, budgets and metrics.
#pragma once

#include "base/metrics.h"
#include "generated/settings.h"
#include "policy/crashing_requests.h"
#include "policy/cross_data_center_budget.h"
#include "policy/data_center_choice.h"
#include "policy/fleet.h"
#include "policy/recovery_order.h"
#include "policy/routes.h"
#include "policy/shared_budget.h"
#include "policy/silence.h"
#include "policy/workspace_shares.h"
#include "relay/platform_adapter.h"
#include "relay/target_exchange.h"
#include "wire/memory_guard.h"

#include <array>
#include <memory>
#include <random>
#include <unordered_map>

namespace Parsleytrail
{

/// Counters of the queue of streams, each by priority (0 to lowestPriority); see relay/stream_queue.h.
struct StreamQueueMetrics {
    explicit StreamQueueMetrics(Metrics &all);

    std::array<double *, lowestPriority + 1> waiting{};        ///< gauge
    std::array<std::uint64_t *, lowestPriority + 1> waited{};  ///< began to wait
    std::array<std::uint64_t *, lowestPriority + 1> started{}; ///< got room after a wait
    std::array<std::uint64_t *, lowestPriority + 1> refused{}; ///< refused, at once or after a wait
};

/// Counters and histograms of the data path. Each is looked up by name once, at construction.
struct RelayMetrics {
    Metrics all;
    std::uint64_t &requests = all.counter("parsley_relay_requests", "Requests read from callers.");
    std::uint64_t &connections = all.counter("parsley_relay_connections", "Connections of callers that were accepted.");
    std::uint64_t &connectionsClosedUnread =
        all.counter("parsley_relay_connections_closed_unread", "Connections of callers that were closed before anything was read, because of too much work.");
    std::uint64_t &idleConnectionsClosed =
        all.counter("parsley_relay_idle_connections_closed", "Connections of callers without a request that were closed for want of descriptors.");
    std::uint64_t &served = all.counter("parsley_relay_served", "Requests answered with a target's whole answer.");
    std::uint64_t &servedUntilClose = all.counter("parsley_relay_served_until_close", "Of these, answers that ended with their connection.");
    std::uint64_t &refused = all.counter("parsley_relay_refused", "Requests refused without having run.");
    std::uint64_t &failed = all.counter("parsley_relay_failed", "Requests without a whole answer that may have run.");
    std::uint64_t &callersDisconnected = all.counter("parsley_relay_callers_gone", "Requests whose caller left first.");
    std::uint64_t &retries = all.counter("parsley_relay_retries", "Requests sent once more.");
    std::uint64_t &events = all.counter("parsley_relay_events", "Events of streams passed on.");
    std::uint64_t &storeCalls = all.counter("parsley_relay_store_calls", "Calls to the platform's store.");
    std::uint64_t &probes = all.counter("parsley_relay_probes", "Reports asked of engines.");
    std::uint64_t &foreignReports = all.counter("parsley_relay_foreign_reports", "Reports that came from another process than the engine that was asked.");
    std::uint64_t &orders = all.counter("parsley_relay_orders", "Orders sent to engines.");
    std::uint64_t &crashChecks = all.counter("parsley_relay_crash_checks", "Connections that tested whether a target crashed.");
    std::uint64_t &crashedRuns = all.counter("parsley_relay_crashed_runs", "Requests that were open at a target when it crashed.");
    std::uint64_t &limitedSends = all.counter("parsley_relay_limited_sends", "Requests sent to targets that name a limit of requests a second.");
    std::uint64_t &limitSkips = all.counter("parsley_relay_limit_skips", "Requests for which another target was looked for, because of such a limit.");
    std::uint64_t &pauseRequests = all.counter("parsley_relay_pause_requests", "Refusals of targets that want no other request for a time.");
    std::uint64_t &sendsInPauses = all.counter("parsley_relay_sends_in_pauses", "Requests sent to targets in such a time.");
    std::uint64_t &streamsSentElsewhere = all.counter("parsley_relay_streams_sent_elsewhere", "Streams started in another data centre to be on time.");
    std::uint64_t &streamsWithoutLocalChain =
        all.counter("parsley_relay_streams_without_local_chain", "Streams started in another data centre for want of a local chain.");
    std::uint64_t &lateStreamsKept = all.counter("parsley_relay_late_streams_kept", "Streams started in the own data centre although forecast to be late.");
    std::uint64_t &linkRateReductions =
        all.counter("parsley_relay_link_rate_reductions", "Reductions of the traffic between data centres, because of long gaps.");
    std::uint64_t &quarantined = all.counter("parsley_relay_quarantined", "Requests refused because they crash targets.");
    std::uint64_t &recoveryMoves = all.counter("parsley_relay_recovery_moves", "Streams of lost engines moved at once, as they would be on time.");
    std::uint64_t &recoveryRestarts = all.counter("parsley_relay_recovery_restarts", "Streams of lost engines restarted because a move would be late.");
    std::uint64_t &recoveryGiveWays = all.counter("parsley_relay_recovery_give_ways", "Streams of lost engines that gave way to others, as they were late.");
    std::uint64_t &retriesLeft = all.counter("parsley_relay_retries_left", "Retries that streams left to more urgent ones.");
    std::uint64_t &impossibleUsage =
        all.counter("parsley_relay_workspace_usage_impossible", "Values of other relays about workspaces that were ignored as impossible.");
    std::uint64_t &outdatedUsage =
        all.counter("parsley_relay_workspace_usage_outdated", "Lists of workspaces of other relays that ended without a newer one in time.");
    double &knownWorkspaces = all.gauge("parsley_relay_workspaces_known", "Workspaces with streams started lately, here or at other relays.");
    double &largestWorkspaceShare = all.gauge("parsley_relay_workspace_largest_share", "Share of the largest of them in their tokens, 0 to 1.");
    TimeHistogram &firstByte = all.histogram("parsley_relay_first_byte_seconds", "From a request's first byte to the first byte of its answer.");
    TimeHistogram &eventGap = all.histogram("parsley_relay_event_gap_seconds", "Between two events of a stream.");
    double &openRequests = all.gauge("parsley_relay_open_requests", "Requests being answered.");
    StreamQueueMetrics streamQueue{all};
};

/// State of one process, owned by Relay.
struct RelayContext {
    EventLoop &loop;
    const Clock &clock;
    const PlatformAdapter &adapter;
    const RelaySettings &settings;
    std::unique_ptr<MemoryGuard> memoryGuard; ///< account of what callers make this process hold
    TargetConnectionPool connections;
    Fleet fleet{};
    std::shared_ptr<const RouteTable> routes{}; ///< configuration in force; null until one was received
    std::unordered_map<ServiceName, RetryBudget> retryBudgets{};
    std::unordered_map<ServiceName, TokenBucket> crossDataCenterBudgets{};
    std::unordered_map<ServiceName, ObservedLink> observedLinks{};
    std::unordered_map<ServiceName, DataCenterChoice> dataCenterChoices{};
    std::mt19937_64 random{}; ///< seeded by the id and the start time, so that a run can be reproduced
    RelayMetrics metrics{};
    double averageEventGapMs = 50;         ///< moving average of the time between two events of a stream, in milliseconds
    DelayEstimate firstEventDelay{};       ///< from sending a request to the first event, of streams that began here
    CrashingRequests crashingRequests{};   ///< requests, and parts of prompts, that were open at crashes of targets
    TimePoint peersHeardAt{};              ///< when another entry was last known to be reachable; zero: never
    EntryCount entryCount{};               ///< number of entries that share budgets
    WorkspaceShares workspaces{};          ///< tokens that workspaces started lately; see relay/workspace_reports.h
    bool isReportingWorkspaces = false;    ///< the last message's state had a list of workspaces
    bool hasRetryShare = false;            ///< this entry was granted its full share of the retry budgets
    LostEngines lostEngines{};             ///< engines whose streams are being recovered
    TimePoint answerBy = TimePoint::max(); ///< while this process stops: when requests without a response get a failure
};

/// Records how many other entries are reachable now; the highest number counts.
void recordReachableEntries(RelayContext &context, int reachable);
/// Adapts this entry's shares of the retry budgets to the current time and the number of entries. Called once a second.
void updateBudgetShares(RelayContext &context);
/// Consumes one retry from this entry's share of the service's budget; returns false if none is left.
bool tryConsumeServiceRetry(RelayContext &context, const ServiceName &service);
/// Whether a retry is left in this entry's share of the service's budget; consumes nothing.
bool hasRetryBudget(RelayContext &context, const ServiceName &service);
/// Whether a stream of the service may consume a retry; see mayConsumeRetry() in policy/recovery_order.h. Consumes nothing.
bool mayConsumeServiceRetry(RelayContext &context, const ServiceName &service, bool hasMoreUrgentStreams);
/// Whether more than half of this entry's share is left. Optional retries are made only then.
bool hasAmpleRetryBudget(RelayContext &context, const ServiceName &service);
/// Copy of this entry's share of the service's budget, without creating one.
RetryBudget copyOfRetryBudget(const RelayContext &context, const ServiceName &service);
/// Adds a request to the service's retry budget, which grows with the number of requests.
void recordRequest(RelayContext &context, const ServiceName &service);

/// Whether no other entry is reachable, although there may be others.
bool hearsNoPeers(const RelayContext &context);
/// Token bucket for this entry's share of the link between data centres that a service uses, with the rate and burst of the newest
/// configuration.
TokenBucket &crossDataCenterBudget(RelayContext &context, const ServiceSpec &service);
/// Copy of the service's token bucket for chains across data centres, without creating one.
TokenBucket copyOfCrossDataCenterBudget(const RelayContext &context, const ServiceSpec &service);

/// Whether a request may be sent to a target, which may have named a limit of requests a second. Counts the request as wanted there.
bool admitRequest(RelayContext &context, Target &target);
/// Logs that a target has another limit than before; `source` is "own" or "others".
void logLimitChange(const Target &target, std::string_view source);
/// A random number in [0, 1).
double drawShare(std::mt19937_64 &random);
/// Within this time of an acknowledged change every entry must have it: a configuration has to be in force, and a removed target not used.
milliseconds tablesBound(const RelaySettings &settings);

/// Records a failure of a target: it gets no new work until its pause is over, and an engine not before it has answered a probe.
/// Closes its kept connections and logs the change.
void avoidTarget(RelayContext &context, const TargetId &id, std::string_view reason);
/// Closes the kept connections to a target, unless another one has got its address.
void dropConnections(RelayContext &context, const Target &target);
/// Reads from a field of a target's response, which may be missing, whether the target is leaving.
void recordLeavingStatement(RelayContext &context, const TargetId &id, std::string_view text);

} // namespace Parsleytrail
