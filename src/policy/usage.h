// Served work: what each workspace, service and model was given in each hour, in counters that only grow.
//
// Counters are absolute for one start of one entry: writing them again, or writing them after a lost answer, changes
// nothing. A report adds up all starts of all entries.
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

/// What work is counted by.
struct UsageKey {
    std::int64_t hour = 0;   ///< hours since 1970, UTC
    WorkspaceName workspace; ///< of the caller
    ServiceName service;     ///< named by the caller
    ModelName model;         ///< of a pipeline; empty for plain services

    auto operator<=>(const UsageKey &) const = default;
};

/// Counters of one key.
struct UsageCounters {
    std::uint64_t answered = 0;                             ///< requests answered in full
    std::uint64_t refused = 0;                              ///< requests not run
    std::uint64_t unknown = 0;                              ///< requests that may have been run and were not answered in full
    double worth = 0;                                       ///< of the answered ones
    std::uint64_t promptTokens = 0;                         ///< of the answered ones
    std::uint64_t completionTokens = 0;                     ///< given to callers, also in answers that broke off
    std::map<std::string, std::uint64_t> acceleratorMicros; ///< by kind of accelerator
};
void addTo(UsageCounters &sum, const UsageCounters &counters);

/// All counters of one start of an entry.
using UsageLedger = std::map<UsageKey, UsageCounters>;

/// What a report sums by.
enum class UsageGrouping { Workspace, Service, Model };
/// Reads "workspace", "service" or "model"; false for another word.
bool parseGrouping(std::string_view text, UsageGrouping &grouping);

/// One line of a report.
struct UsageLine {
    std::string name;       ///< of the workspace, service or model
    UsageCounters counters; ///< summed
    double cost = 0;        ///< accelerator time at the file's prices
};
/// Sums a ledger; `pricePerHour` is by kind of accelerator. Lines are sorted by name.
std::vector<UsageLine> summarize(const UsageLedger &ledger, UsageGrouping grouping, const std::map<std::string, double> &pricePerHour);

} // namespace Parsleytrail
