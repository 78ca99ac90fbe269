// How a relay finds the end of an outage of the store, and for how long it keeps targets whose rows may have expired meanwhile.
//
// A relay that knows of no other can't tell an outage of the store from a cut of its own path. In an outage rows of live targets expire, and are back
// soon after it; after a cut, a missing row was removed for good. It treats both alike, so the delay until it has noticed that it reaches the
// store again, and expiredEntryGrace, must together be shorter than the time after which it may not use a removed target any more.
//
// Pure functions.
#pragma once

#include "base/clock.h"

namespace Parsleytrail
{

/// Rows that expired during an outage of the store reappear within two seconds after its recovery if their target is live; a target
/// that is missing longer is removed. The remainder allows for the delay of the watch.
constexpr milliseconds expiredEntryGrace{2300};
/// Timeout of a watch of a store that did not answer the call before: longer than the answer of one that is a hundred times slower than usual.
constexpr milliseconds lostWatchTimeout{600};

/// Longest time between the starts of two calls for a table of a store that fails, unless the first lasts longer.
constexpr milliseconds maxRetryInterval{1300};
constexpr milliseconds maxTargetsRetryInterval{390}; ///< the same for the targets

/// Time from the start of a failed call until the next one; doubles with each consecutive failure. `share`: random, in [0, 1), spreads the
/// calls of relays that lost the store at the same moment over the upper half of the interval.
milliseconds retryInterval(int failuresInRow, milliseconds longest, double share);

} // namespace Parsleytrail
