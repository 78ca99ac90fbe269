// Decides whether a stream for which no engine has room waits for a short time, and in which order waiting streams start.
//
// Streams of a service end at an observed rate, and each end makes room for another. So a stream with k others ahead of it gets
// room after about (k + 1) / rate. It waits if that is soon enough for its first event to be on time; otherwise it is refused at
// once, because a late refusal costs its caller time in which it could have retried elsewhere.
//
//     EndRate ends;
//     recordEnd(ends, now);                                              // a stream of the service ended
//     const RoomForecast forecast = forecastRoom(waiting, ledger, stream, endsPerSecond(ends, now), now);
//     if (forecast.isInTime) ...                                         // waits
//     const std::size_t next = nextStream(waiting, ledger, now);         // there may be room: try this one
//
// Pure functions: times are passed in.
#pragma once

#include "policy/admission.h"

namespace Parsleytrail
{

/// Time constant of the moving average of ends. Callers disconnect after two seconds without an event, so that no forecast has to
/// reach further; a shorter average would be based on too few ends at a relay with few streams.
constexpr milliseconds endRateWindow{2000};

/// Moving average of the streams of a service that end at this relay. A stream passes all layers of its model, so that each end
/// makes room at every layer.
struct EndRate {
    double perSecond = 0; ///< average as of `updatedAt`
    TimePoint updatedAt{};
};
void recordEnd(EndRate &rate, TimePoint now);
/// Ends per second, as expected at `now`. Starts at zero, so that nothing waits before ends have been observed.
double endsPerSecond(const EndRate &rate, TimePoint now);

/// Latest start of a stream whose first event is on time, by its route's target latency and the usual delay of a first event.
/// `arrivedAt` if the route has no target latency: such a stream doesn't wait.
TimePoint latestStart(TimePoint arrivedAt, milliseconds targetLatency, milliseconds firstEventDelay);

/// The priority that counts at `now`: a stream that has waited for half of its allowed time is one step more urgent.
int effectivePriority(const WaitingRequest &stream, TimePoint now);

/// Whether a stream of this priority, or a more urgent one, is waiting. A new stream does not pass such streams.
bool hasWaiting(const std::vector<WaitingRequest> &waiting, int priority, TimePoint now);

/// When a stream is expected to get room.
struct RoomForecast {
    std::size_t ahead = 0;       ///< waiting streams that go first
    double endsPerSecond = 0;    ///< observed rate
    milliseconds roomIn{0};      ///< time until there is room for it; maxRoomTime if that is unknown or longer
    milliseconds allowedWait{0}; ///< time until its latest start
    bool isInTime = false;       ///< there is room before its latest start
};
constexpr std::chrono::minutes maxRoomTime{1}; ///< longer times until there is room are not told apart

/// Forecast for `stream`, which is not in `waiting`.
RoomForecast forecastRoom(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, const WaitingRequest &stream, double endsPerSecond,
                          TimePoint now);

/// Index of the stream to start next; waiting.size() if none can start in time. Ordered by effective priority, then the workspace
/// with the lowest started cost, then arrival. The size of a stream doesn't count.
std::size_t nextStream(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, TimePoint now);

/// Index of the stream to refuse because more wait than can start in time; waiting.size() if there is none. That is the case when
/// more urgent streams arrived after it.
std::size_t displacedStream(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, double endsPerSecond, TimePoint now);

/// Shortest time after which a refused caller is asked to come back.
constexpr milliseconds minRoomRetryAfter{1200};
/// Longest one. Callers give up when they are told to wait for long.
constexpr milliseconds maxRoomRetryAfter{4000};
/// Time after which a refused caller should come back: when `waiting` streams are expected to have started. `share`, in [0, 1),
/// spreads it by up to half, so that callers don't return simultaneously; over the whole range if no ends have been observed.
milliseconds roomRetryAfter(std::size_t waiting, double endsPerSecond, double share);

} // namespace Parsleytrail
