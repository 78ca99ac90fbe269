// The short wait of streams for room: who may wait, in which order streams start, and when a refused caller should return.
#include "policy/stream_queue.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Parsleytrail;

namespace
{

constexpr TimePoint start{std::chrono::seconds(1000)};

WaitingRequest makeStream(const std::string &id, int priority, milliseconds arrival, milliseconds allowed, const std::string &workspace = {})
{
    WaitingRequest stream;
    stream.id = {id};
    stream.workspace = {workspace};
    stream.priority = priority;
    stream.arrivedAt = start + arrival;
    stream.startBy = stream.arrivedAt + allowed;
    return stream;
}

/// A rate after ends at equal intervals, for long enough that the average has settled.
EndRate settledRate(milliseconds interval)
{
    EndRate rate;
    for (milliseconds before{20000}; before >= milliseconds(0); before -= interval) {
        recordEnd(rate, start - before);
    }
    return rate;
}

/// Streams of random priority, workspace, size and arrival before `now`, that can still start.
std::vector<WaitingRequest> drawWaiting(TimePoint now)
{
    std::vector<WaitingRequest> waiting;
    const auto count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
        const milliseconds allowed(*rc::gen::inRange(50, 1000));
        const milliseconds waited(*rc::gen::inRange(0, static_cast<int>(allowed.count())));
        WaitingRequest stream = makeStream(std::to_string(i), *rc::gen::inRange(0, 10), {}, {}, "w" + std::to_string(*rc::gen::inRange(0, 4)));
        stream.arrivedAt = now - waited;
        stream.startBy = stream.arrivedAt + allowed;
        stream.cost = *rc::gen::inRange(1, 5000);
        waiting.push_back(stream);
    }
    return waiting;
}

FairShareLedger drawLedger()
{
    FairShareLedger ledger;
    for (int i = 0; i < 4; ++i) {
        ledger.startedCost[{"w" + std::to_string(i)}] = *rc::gen::inRange(0, 3) * 1000;
    }
    ledger.decayedAt = start;
    return ledger;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_queue)

// Guards against a forecast that follows single ends, or that goes on promising room after streams have stopped ending.
BOOST_AUTO_TEST_CASE(the_rate_follows_steady_ends_and_falls_when_they_stop)
{
    const EndRate rate = settledRate(milliseconds(50));
    BOOST_TEST(endsPerSecond(rate, start) == 20, boost::test_tools::tolerance(0.03));
    BOOST_TEST(endsPerSecond(rate, start + endRateWindow) < 8);
    BOOST_TEST(endsPerSecond(EndRate{}, start) == 0);
}

BOOST_AUTO_TEST_CASE(a_full_fleet_whose_streams_end_often_lets_a_stream_wait)
{
    const WaitingRequest stream = makeStream("s", 1, {}, milliseconds(250));
    const RoomForecast forecast = forecastRoom({}, {}, stream, 20, start);
    BOOST_TEST(forecast.isInTime);
    BOOST_TEST(forecast.roomIn.count() == 50);
    BOOST_TEST(forecast.allowedWait.count() == 250);
}

BOOST_AUTO_TEST_CASE(a_full_fleet_whose_streams_end_rarely_refuses_at_once)
{
    const WaitingRequest stream = makeStream("s", 0, {}, milliseconds(250));
    BOOST_TEST(!forecastRoom({}, {}, stream, 3, start).isInTime);
    BOOST_TEST(!forecastRoom({}, {}, stream, 0, start).isInTime);
}

BOOST_AUTO_TEST_CASE(a_burst_of_equal_streams_waits_only_as_far_as_room_is_forecast)
{
    std::vector<WaitingRequest> waiting;
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        const WaitingRequest stream = makeStream(std::to_string(i), 1, {}, milliseconds(255));
        if (forecastRoom(waiting, {}, stream, 20, start).isInTime) {
            waiting.push_back(stream);
        } else {
            ++refused;
        }
    }
    BOOST_TEST(waiting.size() == 5u);
    BOOST_TEST(refused == 95);
    BOOST_TEST(displacedStream(waiting, {}, 20, start) == waiting.size());
}

BOOST_AUTO_TEST_CASE(an_urgent_stream_in_a_queue_of_less_urgent_ones_has_nobody_ahead)
{
    const std::vector<WaitingRequest> waiting(4, makeStream("slow", 3, {}, milliseconds(250)));
    BOOST_TEST(forecastRoom(waiting, {}, makeStream("urgent", 1, {}, milliseconds(250)), 20, start).ahead == 0u);
    BOOST_TEST(forecastRoom(waiting, {}, makeStream("equal", 3, {}, milliseconds(250)), 20, start).ahead == 4u);
    BOOST_TEST(!hasWaiting(waiting, 1, start));
    BOOST_TEST(hasWaiting(waiting, 3, start));
}

// Guards against a queue that grows without bound when urgent streams keep arriving before waiting ones.
BOOST_AUTO_TEST_CASE(urgent_arrivals_in_a_full_queue_displace_the_last_of_the_least_urgent)
{
    std::vector<WaitingRequest> waiting;
    waiting.reserve(6);
    for (int i = 0; i < 5; ++i) {
        waiting.push_back(makeStream("slow", 3, milliseconds(i), milliseconds(250)));
    }
    waiting.push_back(makeStream("urgent", 0, milliseconds(5), milliseconds(250)));
    BOOST_TEST(displacedStream(waiting, {}, 20, start + milliseconds(5)) == 4u);
}

BOOST_AUTO_TEST_CASE(a_route_without_a_target_does_not_wait)
{
    WaitingRequest stream = makeStream("s", 0, {}, {});
    stream.startBy = latestStart(start, milliseconds(0), milliseconds(50));
    BOOST_TEST(!forecastRoom({}, {}, stream, 1000, start).isInTime);
    BOOST_TEST((latestStart(start, milliseconds(300), milliseconds(50)) == start + milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(after_half_of_its_wait_a_stream_is_one_step_more_urgent)
{
    const WaitingRequest stream = makeStream("s", 4, {}, milliseconds(200));
    BOOST_TEST(effectivePriority(stream, start + milliseconds(99)) == 4);
    BOOST_TEST(effectivePriority(stream, start + milliseconds(100)) == 3);
    BOOST_TEST(effectivePriority(makeStream("s", 0, {}, milliseconds(200)), start + milliseconds(100)) == 0);
}

BOOST_AUTO_TEST_CASE(of_equally_urgent_streams_the_workspace_that_started_less_goes_first)
{
    const std::vector<WaitingRequest> waiting = {makeStream("large", 1, {}, milliseconds(300), "large"),
                                                 makeStream("small", 1, milliseconds(5), milliseconds(300), "small")};
    FairShareLedger ledger;
    ledger.startedCost[{"large"}] = 5000;
    BOOST_TEST(nextStream(waiting, ledger, start + milliseconds(5)) == 1u);
    BOOST_TEST(nextStream(waiting, {}, start + milliseconds(5)) == 0u);
}

// Guards against serving only short answers when room is scarce.
BOOST_AUTO_TEST_CASE(a_long_answer_is_not_put_behind_for_its_size)
{
    std::vector<WaitingRequest> waiting = {makeStream("long", 1, {}, milliseconds(300)), makeStream("short", 1, milliseconds(1), milliseconds(300))};
    waiting[0].cost = 100000;
    BOOST_TEST(nextStream(waiting, {}, start + milliseconds(1)) == 0u);
}

BOOST_AUTO_TEST_CASE(refused_callers_return_when_the_queue_is_forecast_to_be_empty)
{
    BOOST_TEST(roomRetryAfter(2, 20, 0).count() == 1200);
    BOOST_TEST(roomRetryAfter(2, 20, 0.5).count() == 1500);
    BOOST_TEST(roomRetryAfter(40, 20, 0).count() == 2000);
    BOOST_TEST(roomRetryAfter(1000, 1, 0.9).count() == 4000);
    BOOST_TEST(roomRetryAfter(0, 0, 0).count() == 1200);
}

BOOST_AUTO_TEST_CASE(no_stream_starts_before_one_that_is_two_steps_more_urgent)
{
    const bool isRight = rc::check([] {
        const std::vector<WaitingRequest> waiting = drawWaiting(start);
        const std::size_t next = nextStream(waiting, drawLedger(), start);
        RC_ASSERT(next < waiting.size());
        for (const WaitingRequest &stream : waiting) {
            RC_ASSERT(waiting[next].priority <= stream.priority + 1);
        }
    });
    BOOST_TEST(isRight);
}

// Guards against starvation: within one priority a stream is passed only by workspaces that started less, and in the second half of its
// wait it goes before all that arrive at the next priority.
BOOST_AUTO_TEST_CASE(a_stream_is_passed_only_by_more_urgent_ones_or_by_workspaces_that_started_less)
{
    const bool isRight = rc::check([] {
        const std::vector<WaitingRequest> waiting = drawWaiting(start);
        const FairShareLedger ledger = drawLedger();
        const WaitingRequest &next = waiting[nextStream(waiting, ledger, start)];
        for (const WaitingRequest &stream : waiting) {
            const int difference = effectivePriority(next, start) - effectivePriority(stream, start);
            RC_ASSERT(difference <= 0);
            if (difference == 0) {
                RC_ASSERT(startedCostOf(ledger, next.workspace) <= startedCostOf(ledger, stream.workspace));
            }
            if (difference == 0 && startedCostOf(ledger, next.workspace) == startedCostOf(ledger, stream.workspace)) {
                RC_ASSERT(next.arrivedAt <= stream.arrivedAt);
            }
        }
    });
    BOOST_TEST(isRight);
}

// Plays a queue with random arrivals and ends: every stream starts before its latest start or is refused by then, the queue stays within
// what can be served, and the bound does not refuse the stream that was just admitted.
BOOST_AUTO_TEST_CASE(nobody_waits_beyond_the_target_and_the_queue_stays_bounded)
{
    const bool isRight = rc::check([] {
        std::vector<WaitingRequest> waiting;
        FairShareLedger ledger;
        EndRate ends = settledRate(milliseconds(*rc::gen::inRange(10, 100)));
        const auto arrivalsPerTick = *rc::gen::inRange(0, 8);
        const auto endOdds = *rc::gen::inRange(1, 5);
        int number = 0;
        for (TimePoint now = start; now < start + std::chrono::seconds(1); now += milliseconds(25)) {
            const std::vector<std::size_t> expired = expiredRequests(waiting, now);
            for (auto index = expired.rbegin(); index != expired.rend(); ++index) {
                RC_ASSERT(now - waiting[*index].startBy < milliseconds(25));
                waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(*index));
            }
            for (int i = 0; i < arrivalsPerTick; ++i) {
                ++number;
                WaitingRequest stream = makeStream(std::to_string(number), *rc::gen::inRange(0, 4), {}, {}, "w" + std::to_string(number % 3));
                stream.arrivedAt = now;
                stream.startBy = latestStart(now, milliseconds(*rc::gen::inRange(0, 600)), milliseconds(50));
                const double rate = endsPerSecond(ends, now);
                if (!forecastRoom(waiting, ledger, stream, rate, now).isInTime) {
                    continue;
                }
                waiting.push_back(stream);
                const std::size_t displaced = displacedStream(waiting, ledger, rate, now);
                if (displaced < waiting.size()) {
                    RC_ASSERT(displaced + 1 < waiting.size());
                    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(displaced));
                }
                // A stream may be admitted when more wait than the rate, which has fallen since, allows; none is added then.
                RC_ASSERT(static_cast<double>(waiting.size()) <= 1 + 0.55 * 100 * 1.1);
            }
            if (*rc::gen::inRange(0, endOdds) == 0) {
                recordEnd(ends, now);
                const std::size_t next = nextStream(waiting, ledger, now);
                if (next < waiting.size()) {
                    RC_ASSERT(now < waiting[next].startBy);
                    recordStart(ledger, waiting[next], now);
                    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(next));
                }
            }
        }
    });
    BOOST_TEST(isRight);
}

BOOST_AUTO_TEST_SUITE_END()
