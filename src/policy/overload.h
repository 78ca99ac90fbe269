// Limit of open requests that keeps a process able to handle events in time.
//
// A process with more work than processor time handles everything late: events of all its streams, health queries, and messages of other
// entries, which may take it for gone. How late its timers fire shows this. The number of requests that are open then is more than it
// can serve; while the limit is reached, new connections are closed before anything is read from them, and callers retry at other entries
// at once. The limit rises again while timers fire in time, and ends some time after the last overload.
//
//     recordTimerLag(guard, lag, openRequests, now);     // each time that a regular timer has fired
//     if (!acceptsConnection(guard, openRequests)) ...   // close it unread
//
// Pure: the caller passes the time in.
#pragma once

#include "base/clock.h"

namespace Parsleytrail
{

/// Above this average lag a process is overloaded: a few such delays on the way of an event are noticed by callers.
constexpr milliseconds overloadLag{30};
/// Below it there is processor time left.
constexpr milliseconds idleLag{8};
/// A single lag counts no more than this: a process that was paused once is not overloaded.
constexpr milliseconds maxCountedLag{150};
constexpr milliseconds limitInterval{100};      ///< between two changes of the limit
constexpr std::chrono::seconds limitMemory{10}; ///< how long the limit holds after the last overload
constexpr int minOpenLimit = 4;                 ///< a process that accepted nothing would not learn that it can serve again

/// Load of a process, and the limit that follows from it.
struct OverloadGuard {
    double averageLagMs = 0;  ///< moving average of the lag of timers
    double openLimit = 0;     ///< most open requests with which connections are accepted; zero: no limit
    TimePoint changedAt{};    ///< last change of the limit
    TimePoint overloadedAt{}; ///< last time that the average lag was above overloadLag
};

/// Records that a timer fired `lag` after its time, while `openRequests` were open.
void recordTimerLag(OverloadGuard &guard, milliseconds lag, int openRequests, TimePoint now);
/// Whether a new connection is accepted; otherwise it is to be closed before anything is read from it.
bool acceptsConnection(const OverloadGuard &guard, int openRequests);

} // namespace Parsleytrail
