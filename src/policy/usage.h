// Usage accounting: work served per hour, workspace, service and model, in counters that only grow.
//
// Each start of an entry has counters of its own and writes their absolute values, so that writing them again, for example
// after a lost response, is idempotent. A report sums the counters of all starts of all entries.
//
// Pure: no I/O, and the hour is passed in.
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// What usage is counted by.
struct UsageKey {
    std::int64_t hour = 0;   ///< hours since 1970, UTC
    WorkspaceName workspace; ///< workspace of the caller
    ServiceName service;     ///< service that the caller requested
    ModelName model;         ///< model of a pipeline service; empty for plain services

    auto operator<=>(const UsageKey &) const = default;
};

/// Usage counters of one key.
struct UsageCounters {
    std::uint64_t answered = 0;                             ///< requests with a complete response
    std::uint64_t refused = 0;                              ///< requests that were not run
    std::uint64_t unknown = 0;                              ///< requests that may have run and got no complete response
    double worth = 0;                                       ///< summed worth of the answered requests
    std::uint64_t promptTokens = 0;                         ///< prompt tokens of the answered requests
    std::uint64_t completionTokens = 0;                     ///< tokens sent to callers, including those of incomplete responses
    std::map<std::string, std::uint64_t> acceleratorMicros; ///< accelerator time in microseconds, by kind of accelerator
};
/// Adds `counters` to `sum`.
void addTo(UsageCounters &sum, const UsageCounters &counters);

/// Usage counters by key.
using UsageLedger = std::map<UsageKey, UsageCounters>;

/// What the lines of a report are grouped by.
enum class UsageGrouping { Workspace, Service, Model };
/// Parses "workspace", "service" or "model"; returns false for any other text.
bool parseGrouping(std::string_view text, UsageGrouping &grouping);

/// One line of a report.
struct UsageLine {
    std::string name;       ///< workspace, service or model
    UsageCounters counters; ///< sum over all hours and other keys
    double cost = 0;        ///< cost of the accelerator time at the configured hourly prices
};
/// Sums a ledger into one line per name, sorted by name. `pricePerHour` is keyed by kind of accelerator; a kind without a price
/// costs nothing.
std::vector<UsageLine> summarize(const UsageLedger &ledger, UsageGrouping grouping, const std::map<std::string, double> &pricePerHour);

} // namespace Parsleytrail
