// The scale experiment: how what an entry sends, stores and asks grows with the fleet.
//
// Entries run the real load exchange and the real choice of who reads the store, over a simulated network and a simulated store
// whose tables change. All times are simulated, except the processor time, which is measured.
//
//     ScaleFigures figures = measureScale({437, 5}, options);
#pragma once

#include "lab/simulated_fleet.h"

#include <string>
#include <vector>

namespace Parsleytrail::Lab
{

/// What is measured, apart from the size.
struct ScaleOptions {
    double enginesPerEntry = 1.3;      ///< engines of the whole fleet, for each entry
    unsigned seed = 1;                 ///< of the network and of the loads
    milliseconds settleTime{10000};    ///< after a start, until the calm time begins
    milliseconds calmTime{10000};      ///< over which rates are averaged
    double loss = 0.001;               ///< share of datagrams that are lost
    bool measuresProcessorTime = true; ///< false: two runs print the same
};

/// Figures of one size.
struct ScaleFigures {
    FleetSize size;
    int engines = 0;                     ///< of the whole fleet
    milliseconds timeToConverge{0};      ///< from a start together until every view includes all entries
    milliseconds timeToTables{0};        ///< from a start together until all entries have the tables
    double callsAtStart = 0;             ///< calls to the store until then
    double callsPerSecond = 0;           ///< calls to the store, in calm time
    double callsPerConfiguration = 0;    ///< calls to the store that a change of the configuration causes in addition
    milliseconds timeOfNews{0};          ///< from a change of the configuration until all entries have it, the longest of several
    std::size_t readers = 0;             ///< entries that read the store, at the end of the calm time
    std::size_t aggregators = 0;         ///< entries that aggregate, likewise
    std::uint64_t aggregatorChanges = 0; ///< entries that changed their aggregator during the calm time
    double sentMean = 0;                 ///< KB/s that an entry sends on average, with headers
    double sentMost = 0;                 ///< KB/s that the busiest entry sends
    double receivedMost = 0;             ///< KB/s that the busiest entry receives
    double messagesMost = 0;             ///< datagrams a second that the busiest entry sends
    double microsecondsPerSecond = 0;    ///< processor time of an entry on average, without system calls
};

ScaleFigures measureScale(FleetSize size, const ScaleOptions &options);
/// Exponent of the growth of `value` from the first to the last size; 0 if it does not grow from something positive.
double growthExponent(const std::vector<ScaleFigures> &rows, double (*value)(const ScaleFigures &));
/// One JSON object on one line.
std::string toJson(const ScaleFigures &figures);
/// Comma-separated values, and the names of the columns.
std::string toCsv(const ScaleFigures &figures);
std::string csvHeader();

} // namespace Parsleytrail::Lab
