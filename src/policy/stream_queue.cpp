#include "policy/stream_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Parsleytrail
{

void recordEnd(EndRate &rate, TimePoint now)
{
    rate.perSecond = endsPerSecond(rate, now) + 1 / std::chrono::duration<double>(endRateWindow).count();
    rate.updatedAt = now;
}

double endsPerSecond(const EndRate &rate, TimePoint now)
{
    const double windows = std::chrono::duration<double>(now - rate.updatedAt) / std::chrono::duration<double>(endRateWindow);
    return rate.perSecond * std::exp(-std::max(0.0, windows));
}

TimePoint latestStart(TimePoint arrivedAt, milliseconds targetLatency, milliseconds firstEventDelay)
{
    return arrivedAt + std::max(milliseconds(0), targetLatency - firstEventDelay);
}

int effectivePriority(const WaitingRequest &stream, TimePoint now)
{
    const bool hasWaitedHalf = now - stream.arrivedAt >= (stream.startBy - stream.arrivedAt) / 2;
    return std::max(0, stream.priority - (hasWaitedHalf ? 1 : 0));
}

bool hasWaiting(const std::vector<WaitingRequest> &waiting, int priority, TimePoint now)
{
    return std::any_of(waiting.begin(), waiting.end(), [&](const WaitingRequest &stream) {
        return now < stream.startBy && effectivePriority(stream, now) <= priority;
    });
}

/// Position of a stream in the order at `now`; the lowest starts first. nextStream() uses the same order.
static std::tuple<int, double, TimePoint> orderKey(const WaitingRequest &stream, const FairShareLedger &ledger, TimePoint now)
{
    return {effectivePriority(stream, now), startedCostOf(ledger, stream.workspace), stream.arrivedAt};
}

/// Time until `streams` streams have ended.
static milliseconds timeUntilEnds(std::size_t streams, double endsPerSecond)
{
    const double maxMs = static_cast<double>(milliseconds(maxRoomTime).count());
    const double ms = endsPerSecond > 0 ? std::ceil(static_cast<double>(streams) / endsPerSecond * 1000) : maxMs;
    return milliseconds(static_cast<std::int64_t>(std::min(ms, maxMs)));
}

RoomForecast forecastRoom(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, const WaitingRequest &stream, double endsPerSecond,
                          TimePoint now)
{
    RoomForecast forecast;
    const auto key = orderKey(stream, ledger, now);
    forecast.ahead = std::count_if(waiting.begin(), waiting.end(), [&](const WaitingRequest &other) {
        return now < other.startBy && orderKey(other, ledger, now) <= key;
    });
    forecast.endsPerSecond = endsPerSecond;
    forecast.roomIn = timeUntilEnds(forecast.ahead + 1, endsPerSecond);
    forecast.allowedWait = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(stream.startBy - now));
    forecast.isInTime = now + forecast.roomIn < stream.startBy;
    return forecast;
}

std::size_t nextStream(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, TimePoint now)
{
    std::vector<WaitingRequest> streams = waiting;
    for (WaitingRequest &stream : streams) {
        stream.priority = effectivePriority(stream, now);
        stream.worth = 1;
    }
    return selectNext(streams, ledger, now, StartOrder::ByArrival);
}

std::size_t displacedStream(const std::vector<WaitingRequest> &waiting, const FairShareLedger &ledger, double endsPerSecond, TimePoint now)
{
    TimePoint lastStart = now;
    for (const WaitingRequest &stream : waiting) {
        lastStart = std::max(lastStart, stream.startBy);
    }
    const double canStart = std::chrono::duration<double>(lastStart - now).count() * endsPerSecond;
    if (static_cast<double>(waiting.size()) <= std::max(1.0, canStart)) {
        return waiting.size();
    }
    const auto last = std::max_element(waiting.begin(), waiting.end(), [&](const WaitingRequest &a, const WaitingRequest &b) {
        return orderKey(a, ledger, now) < orderKey(b, ledger, now);
    });
    return last - waiting.begin();
}

milliseconds roomRetryAfter(std::size_t waiting, double endsPerSecond, double share)
{
    if (endsPerSecond <= 0) {
        return minRoomRetryAfter + std::chrono::duration_cast<milliseconds>((maxRoomRetryAfter - minRoomRetryAfter) * share);
    }
    const milliseconds base = std::max(minRoomRetryAfter, timeUntilEnds(waiting, endsPerSecond));
    return std::min(maxRoomRetryAfter, base + std::chrono::duration_cast<milliseconds>(base * share / 2));
}

} // namespace Parsleytrail
