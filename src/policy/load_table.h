// Adds up what many entries tell of themselves.
//
//     LoadTable table;
//     addLoads(table, report.loads);                  // and removeLoads() before a newer report
//     std::vector<EngineLoad> loads = listLoads(table, maxToldLoads);
//     EntriesView view;
//     addEntry(view, report);                         // or addView(view, summary.group)
//
// Pure.
#pragma once

#include "generated/messages.h"
#include "policy/fleet.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Parsleytrail
{

/// Key of one start of a target in messages. Two targets of one key would count each other's load, which misleads choices
/// and breaks nothing; among 3,000 targets that is one fleet in a thousand.
std::uint32_t loadKey(const RegisteredTarget &target);

/// Load at one target, of any number of entries.
struct LoadSum {
    int openRequests = 0;     ///< requests open
    int avoiding = 0;         ///< entries that give it no work, after failures
    double kvTokenLayers = 0; ///< KV cache that they are expected to need, tokens x layers
};
using LoadTable = std::unordered_map<std::uint32_t, LoadSum>;

void addLoads(LoadTable &table, const std::vector<EngineLoad> &loads);
/// Takes out what addLoads() added; targets without load are forgotten.
void removeLoads(LoadTable &table, const std::vector<EngineLoad> &loads);
/// Loads for a message, at most `limit`: those with most requests, as what is not known of them misleads most.
std::vector<EngineLoad> listLoads(const LoadTable &table, std::size_t limit);

/// Takes one more entry into a view.
void addEntry(EntriesView &view, const EntryReport &report);
/// Takes the entries of another view in.
void addView(EntriesView &view, const EntriesView &other);

} // namespace Parsleytrail
