// Sums of the loads and states that entries report.
//
//     LoadTable table;
//     addLoads(table, report.loads);                  // removeLoads() before adding a newer report
//     std::vector<EngineLoad> loads = listLoads(table, maxReportedLoads);
//     EntriesView view;
//     addEntry(view, report);                         // or addView(view, summary.group)
//
// Pure functions.
#pragma once

#include "generated/messages.h"
#include "policy/fleet.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Parsleytrail
{

/// Key of a target in messages; it changes when the target restarts. If two targets have the same key, each counts the load of
/// the other too: this skews the selection of engines, but breaks nothing. Among 3,000 targets it happens in one fleet of a
/// thousand.
std::uint32_t loadKey(const RegisteredTarget &target);

/// Load at one target, summed over any number of entries.
struct LoadSum {
    int openRequests = 0;     ///< open requests
    int avoiding = 0;         ///< number of entries that send it no work, after failures or refusals
    double kvTokenLayers = 0; ///< KV cache that the requests are expected to need, in tokens x layers
};
using LoadTable = std::unordered_map<std::uint32_t, LoadSum>;

void addLoads(LoadTable &table, const std::vector<EngineLoad> &loads);
/// Subtracts what addLoads() added, and removes targets that have no load left.
void removeLoads(LoadTable &table, const std::vector<EngineLoad> &loads);
/// Loads for a message, at most `limit`. Prefers the targets with the most open requests: leaving those out would skew the
/// selection of engines most.
std::vector<EngineLoad> listLoads(const LoadTable &table, std::size_t limit);

/// Adds the changes of the tables that an entry has to a view, and nothing else of it.
void addTableNews(EntriesView &view, const EntryReport &report);
/// Adds one entry to a view.
void addEntry(EntriesView &view, const EntryReport &report);
/// Adds the entries of another view.
void addView(EntriesView &view, const EntriesView &other);

} // namespace Parsleytrail
