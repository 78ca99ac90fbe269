// Content of the messages of the load exchange. Used by policy/load_exchange.cpp.
//
// Functions that number a message change the exchange's sequence.
#pragma once

#include "policy/load_exchange.h"

namespace Parsleytrail
{

/// All entries except one. Includes this entry, unless it is the one left out.
EntriesView viewWithout(const LoadExchange &exchange, const EntryId &leftOut);
/// What all entries except one want to send to targets that name limits. Includes this entry, unless it is the one left out.
DemandTable demandsWithout(const LoadExchange &exchange, const EntryId &leftOut, TimePoint now);
/// What all entries except one started for their largest workspaces. Includes this entry, unless it is the one left out.
UsageTable usageWithout(const LoadExchange &exchange, const EntryId &leftOut, TimePoint now);
/// The response to an entry that is to report to another aggregator.
ExchangeMessages redirect(LoadExchange &exchange, const std::string &host, const EntryRef &aggregator);
/// Replaces the loads of the targets that a digest covers. A full list may lack some of them, so their loads are kept.
void applyLoads(LoadExchange &exchange, const GroupDigest &digest);
/// The response to a member's report.
GroupDigest digestFor(LoadExchange &exchange, const EntryReport &report, TimePoint now);
/// What other groups are sent.
GroupSummary makeSummary(LoadExchange &exchange, TimePoint now);
/// What the aggregator is sent.
EntryReport makeReport(LoadExchange &exchange, TimePoint now);

} // namespace Parsleytrail
