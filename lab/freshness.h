// How old the tables of entries get while parts of the system lose each other or the store: the real policy code for reading and
// copying tables, in simulated time.
//
//     const FreshnessFigures figures = measureFreshness({{8, 2}, std::chrono::seconds(60)}, seed);
//     if (figures.late > 0) ... // figures.firstLate tells where and when
#pragma once

#include "lab/simulated_fleet.h"

#include <string>

namespace Parsleytrail::Lab
{

/// What is simulated.
struct FreshnessOptions {
    FleetSize size{};
    milliseconds time{60000};       ///< while the store's tables change and faults come and go
    milliseconds bound{2000};       ///< from the acknowledgement of a change until every entry in touch must have it
    milliseconds contactTime{3000}; ///< an entry is in touch once it has run, with a path to the store, for this long
    int targetsPerEntry = 0;        ///< the more, the rarer are messages between entries
};

/// What was seen.
struct FreshnessFigures {
    std::uint64_t late = 0;  ///< times that an entry in touch lacked a change that was due
    std::uint64_t older = 0; ///< times that an entry went back to an older change
    std::uint64_t calls = 0; ///< to the store
    milliseconds slowest{0}; ///< longest time until an entry in touch had a change
    std::string firstLate;   ///< entry, time and its source; empty: none
};

/// The same options and seed give the same figures.
FreshnessFigures measureFreshness(const FreshnessOptions &options, unsigned seed);

} // namespace Parsleytrail::Lab
