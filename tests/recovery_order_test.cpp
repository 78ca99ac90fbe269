// Order and choice of action for streams that lost an engine of their chain.
#include "policy/prefill_forecast.h"
#include "policy/recovery_order.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Parsleytrail;

namespace
{

constexpr TimePoint start{std::chrono::seconds(1000)};
constexpr double prefillOfStreamMs = 4;

/// A stream of a lost engine and what became of it.
struct TestStream {
    LostStream lost;
    TimePoint lastEventAt{};
    std::size_t entry = 0;       ///< entry that it is open at
    TimePoint givesWayUntil{};   ///< zero: it does not give way
    double orderedAtMs = -1;     ///< when it was moved; negative: not yet
    double continuedAfterMs = 0; ///< when the engine had processed its tokens
    bool isOnTime() const
    {
        return continuedAfterMs <= lost.msLeft;
    }
};

/// One replacement engine that processes streams in the order in which entries move them, and each entry's forecast of it.
struct Recovery {
    explicit Recovery(std::size_t entries)
        : forecasts(entries)
    {
    }

    std::vector<Target> forecasts;
    double multiplier = 1;
    double engineBusyUntilMs = 0;

    void move(TestStream &stream, double nowMs)
    {
        addPrefill(forecasts[stream.entry], prefillOfStreamMs * multiplier, at(nowMs));
        engineBusyUntilMs = std::max(engineBusyUntilMs, nowMs) + prefillOfStreamMs;
        stream.orderedAtMs = nowMs;
        stream.continuedAfterMs = engineBusyUntilMs;
    }
    void recover(TestStream &stream)
    {
        const StagePrefill stage{prefillBacklogMs(forecasts[stream.entry], start), prefillOfStreamMs};
        const RecoveryForecast forecast{stream.lost.msLeft, moveDelayMs({stage}, multiplier)};
        if (chooseRecovery(forecast) == RecoveryAction::Move) {
            return move(stream, 0);
        }
        stream.givesWayUntil = giveWayUntil(start, stream.lastEventAt, milliseconds(250));
    }
    static TimePoint at(double ms)
    {
        return start + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(ms));
    }
};

/// `count` streams, of which every fourth is urgent, spread over `entries`; each has between 100 and 140 ms left.
std::vector<TestStream> lostStreams(std::size_t count, std::size_t entries)
{
    std::vector<TestStream> streams(count);
    for (std::size_t i = 0; i < count; ++i) {
        streams[i].lost = {true, i % 4 == 0 ? 0 : 7, 100.0 + static_cast<double>(i * 7 % 41)};
        streams[i].lastEventAt = start - milliseconds(120);
        streams[i].entry = i / 4 % entries;
    }
    return streams;
}

/// Recovers the streams: the entries alternate, each in its order of urgency.
void recoverAll(Recovery &recovery, std::vector<TestStream> &streams)
{
    std::vector<std::vector<TestStream *>> batches(recovery.forecasts.size());
    for (std::size_t entry = 0; entry < batches.size(); ++entry) {
        std::vector<TestStream *> own;
        std::vector<LostStream> lost;
        for (TestStream &stream : streams) {
            if (stream.entry == entry) {
                own.push_back(&stream);
                lost.push_back(stream.lost);
            }
        }
        for (const std::size_t index : recoveryOrder(lost)) {
            batches[entry].push_back(own[index]);
        }
    }
    const std::size_t longest = streams.size();
    for (std::size_t turn = 0; turn < longest; ++turn) {
        for (const std::vector<TestStream *> &batch : batches) {
            if (turn < batch.size()) {
                recovery.recover(*batch[turn]);
            }
        }
    }
    for (int nowMs = 25; nowMs <= 1000; nowMs += 25) {
        for (const std::vector<TestStream *> &batch : batches) {
            for (TestStream *stream : batch) {
                const double backlogMs = prefillBacklogMs(recovery.forecasts[stream->entry], Recovery::at(nowMs));
                if (stream->orderedAtMs < 0 && isGiveWayOver(stream->givesWayUntil, backlogMs, Recovery::at(nowMs))) {
                    recovery.move(*stream, nowMs);
                }
            }
        }
    }
}

std::ptrdiff_t countOnTime(const std::vector<TestStream> &streams, int priority)
{
    return std::count_if(streams.begin(), streams.end(), [priority](const TestStream &stream) {
        return stream.lost.priority == priority && stream.isOnTime();
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(recovery_order)

BOOST_AUTO_TEST_CASE(streams_are_ordered_by_priority_then_by_the_least_time_left)
{
    const std::vector<LostStream> batch = {{true, 5, 10}, {true, 0, 200}, {true, 5, -20}, {true, 0, 100}, {true, 0, unlimitedMs}};
    BOOST_TEST(recoveryOrder(batch) == (std::vector<std::size_t>{3, 1, 4, 2, 0}), boost::test_tools::per_element());
}

// Guards against another order where the configuration asks for none.
BOOST_AUTO_TEST_CASE(streams_of_a_service_without_priorities_keep_their_order)
{
    const std::vector<LostStream> batch = {{false, 5, 200}, {false, 0, 100}, {false, 5, 10}};
    BOOST_TEST(recoveryOrder(batch) == (std::vector<std::size_t>{0, 1, 2}), boost::test_tools::per_element());
}

// Guards against 120 streams that are processed in the order in which they happen to arrive: the 30 urgent ones take 120 ms and are
// on time only if they come first.
BOOST_AUTO_TEST_CASE(of_120_streams_and_one_engine_that_takes_4_ms_each_the_urgent_ones_are_on_time)
{
    Recovery recovery(1);
    std::vector<TestStream> streams = lostStreams(120, 1);
    recoverAll(recovery, streams);
    // The engine can process 25 streams in 100 ms and 35 in 140 ms.
    BOOST_TEST(countOnTime(streams, 0) == 30);
    for (const TestStream &stream : streams) {
        BOOST_TEST(stream.orderedAtMs >= 0);
        BOOST_TEST((stream.isOnTime() || stream.givesWayUntil != TimePoint()));
    }
}

// Guards against entries that each expect the engine for themselves: together they would move four times what it can process in time.
BOOST_AUTO_TEST_CASE(streams_of_four_entries_share_the_replacement_engine_in_order_of_urgency)
{
    Recovery recovery(4);
    recovery.multiplier = 4;
    std::vector<TestStream> streams = lostStreams(120, 4);
    recoverAll(recovery, streams);
    BOOST_TEST(countOnTime(streams, 0) == 30);
    const std::ptrdiff_t movedAtOnce = std::count_if(streams.begin(), streams.end(), [](const TestStream &stream) {
        return stream.orderedAtMs == 0;
    });
    // 140 ms is the most time left of any stream, so that 35 can be on time.
    BOOST_TEST(movedAtOnce <= 36);
}

// Guards against streams that give way without end, until their callers disconnect.
BOOST_AUTO_TEST_CASE(a_stream_gives_way_for_its_target_gap_and_not_beyond_a_second_without_an_event)
{
    BOOST_TEST((giveWayUntil(start, start - milliseconds(100), milliseconds(250)) == start + milliseconds(250)));
    BOOST_TEST((giveWayUntil(start, start - milliseconds(900), milliseconds(250)) == start + milliseconds(100)));
    BOOST_TEST((giveWayUntil(start, start - milliseconds(1500), milliseconds(250)) == start));
    const TimePoint until = start + milliseconds(250);
    BOOST_TEST(!isGiveWayOver(until, 300, start + milliseconds(249)));
    BOOST_TEST(isGiveWayOver(until, 300, until));
    // A wrong forecast that shows no backlog ends it early.
    BOOST_TEST(isGiveWayOver(until, 0, start));
}

BOOST_AUTO_TEST_CASE(a_stream_is_moved_if_that_is_on_time_then_restarted_if_that_is)
{
    BOOST_TEST((chooseRecovery({100, 90, 50}) == RecoveryAction::Move));
    BOOST_TEST((chooseRecovery({100, 110, 50}) == RecoveryAction::Restart));
    BOOST_TEST((chooseRecovery({100, 110, unlimitedMs}) == RecoveryAction::GiveWay));
    BOOST_TEST((chooseRecovery({-1, 0, 0}) == RecoveryAction::GiveWay));
    // A route without a target gap has no late streams.
    BOOST_TEST((chooseRecovery({unlimitedMs, 5000, 10}) == RecoveryAction::Move));
}

BOOST_AUTO_TEST_CASE(each_engine_begins_when_it_is_free_and_has_the_result_of_the_one_before)
{
    BOOST_TEST(moveDelayMs({}, 1) == 0);
    BOOST_TEST(moveDelayMs({{10, 4}, {12, 6}}, 1) == 20);
    BOOST_TEST(moveDelayMs({{10, 4}, {100, 6}}, 1) == 106);
    // Nine entries: four of their streams are expected before this one.
    BOOST_TEST(moveDelayMs({{10, 4}}, 9) == 30);
}

// Guards against a retry budget that is spent on whichever stream fails first.
BOOST_AUTO_TEST_CASE(less_urgent_streams_leave_half_of_the_retry_budget)
{
    const auto budgetOf = [](double available, double burst) {
        return RetryBudget{0.2, burst, available};
    };
    BOOST_TEST(mayConsumeRetry(budgetOf(1, 7), false));
    BOOST_TEST(!mayConsumeRetry(budgetOf(0.9, 7), false));
    BOOST_TEST(mayConsumeRetry(budgetOf(4, 7), true));
    BOOST_TEST(!mayConsumeRetry(budgetOf(3.9, 7), true));
    // A share of one retry can't be divided.
    BOOST_TEST(mayConsumeRetry(budgetOf(1, 1), true));
}

// Guards against a multiplier that grows while streams leave the lost engine: reports of other entries arrive later.
BOOST_AUTO_TEST_CASE(the_multiplier_of_a_lost_engine_is_kept_while_its_streams_leave)
{
    Fleet fleet;
    Target &lost = fleet.targets[{"lost"}];
    lost.openRequests = 10;
    lost.peersOpenRequests = 90;
    LostEngines engines;
    BOOST_TEST(rememberedMultiplier(engines, fleet, {"lost"}, start) == 10);
    lost.openRequests = 1;
    BOOST_TEST(rememberedMultiplier(engines, fleet, {"lost"}, start + lossMemory - milliseconds(1)) == 10);
    fleet.targets.clear();
    BOOST_TEST(rememberedMultiplier(engines, fleet, {"lost"}, start + milliseconds(100)) == 10);
    BOOST_TEST(rememberedMultiplier(engines, fleet, {"lost"}, start + lossMemory) == 1);
    BOOST_TEST(rememberedMultiplier(engines, fleet, {"removed"}, start) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
