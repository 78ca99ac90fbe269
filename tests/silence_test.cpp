// Decisions about missing events: engines that do not begin streams, and engines behind the first one that stop.
#include "policy/silence.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Parsleytrail;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);

DelayEstimate estimateOf(milliseconds delay, milliseconds spread)
{
    DelayEstimate estimate;
    for (int i = 0; i < 100; ++i) {
        recordDelay(estimate, delay + (i % 2 == 0 ? spread : -spread));
    }
    return estimate;
}

std::vector<ChainStage> chainOf(const std::vector<std::string> &engines)
{
    std::vector<ChainStage> chain;
    chain.reserve(engines.size());
    for (const std::string &id : engines) {
        chain.push_back({TargetId{id}, {}, {}});
    }
    return chain;
}

bool contains(const std::vector<TargetId> &ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), TargetId{id}) != ids.end();
}

/// A data centre with two first engines, each followed by its own engine, and a third one that all streams pass last.
struct Streams {
    std::vector<ChainStage> left = chainOf({"first-1", "middle-1", "last"});
    std::vector<ChainStage> right = chainOf({"first-2", "middle-2", "last"});
    std::vector<StreamActivity> activities{};

    void add(const std::vector<ChainStage> &chain, int count, TimePoint lastProgressAt, bool hasEvents = true)
    {
        for (int i = 0; i < count; ++i) {
            activities.push_back({&chain, lastProgressAt, hasEvents});
        }
    }
};

constexpr double usualGapMs = 40;

} // namespace

BOOST_AUTO_TEST_SUITE(SilenceTest)

BOOST_AUTO_TEST_CASE(anEngineThatBeginsNoStreamsIsLeftWhileItsCallersAreOnTime)
{
    // Guards against callers that wait until they disconnect at an engine that accepts streams, answers probes and begins none.
    const DelayEstimate fastFleet = estimateOf(milliseconds(57), milliseconds(15));
    const FirstEventWait wait{start, start - milliseconds(10)};
    BOOST_TEST(!isFirstEngineSilent(wait, fastFleet, start + milliseconds(150)));
    BOOST_TEST(isFirstEngineSilent(wait, fastFleet, start + milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(aFleetThatReadsLongPromptsIsGivenTheTimeItUsuallyTakes)
{
    // Guards against restarts of every stream where first events usually take longer than on other fleets.
    const DelayEstimate slowFleet = estimateOf(milliseconds(500), milliseconds(60));
    const FirstEventWait wait{start, start - milliseconds(10)};
    BOOST_TEST(!isFirstEngineSilent(wait, slowFleet, start + milliseconds(700)));
    BOOST_TEST(isFirstEngineSilent(wait, slowFleet, start + milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(anEngineThatBeginsOtherStreamsIsBusyNotSilent)
{
    // Guards against restarts in a burst: prompts queue at a first engine, and to read them elsewhere again adds to the burst.
    const DelayEstimate fastFleet = estimateOf(milliseconds(57), milliseconds(15));
    const FirstEventWait wait{start, start + milliseconds(400)};
    BOOST_TEST(!isFirstEngineSilent(wait, fastFleet, start + milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(impossibleDelaysDoNotLowerTheTimeout)
{
    // Guards against a timeout of nothing after the clock of a caller's response seemed to run backwards.
    DelayEstimate estimate;
    recordDelay(estimate, milliseconds(-5000));
    BOOST_TEST(estimate.averageMs == 0);
    BOOST_TEST(firstEventTimeout(estimate).count() >= FirstEventTuning().minTimeout.count());
}

BOOST_AUTO_TEST_CASE(theEngineThatSilentStreamsShareIsSuspectedWithinOneGap)
{
    // Guards against streams that pause for longer than callers accept because a dead engine was noticed late. All streams on
    // the left stop at once; those on the right go on through the last engine.
    Streams streams;
    streams.add(streams.left, 4, start);
    streams.add(streams.right, 4, start + milliseconds(50));
    const std::vector<TargetId> suspects = findSuspects(streams.activities, usualGapMs, start + milliseconds(55));
    BOOST_TEST(contains(suspects, "first-1"));
    BOOST_TEST(contains(suspects, "middle-1"));
    BOOST_TEST(!contains(suspects, "last"));
    BOOST_TEST(!contains(suspects, "middle-2"));
}

BOOST_AUTO_TEST_CASE(oneSilentStreamIsGivenMoreTime)
{
    // Guards against probes of all engines at every pause of a single stream.
    Streams streams;
    streams.add(streams.left, 1, start);
    streams.add(streams.right, 1, start + milliseconds(50));
    BOOST_TEST(findSuspects(streams.activities, usualGapMs, start + milliseconds(55)).empty());
    BOOST_TEST(contains(findSuspects(streams.activities, usualGapMs, start + milliseconds(95)), "middle-1"));
}

BOOST_AUTO_TEST_CASE(newRequestsDoNotHideADeadEngine)
{
    // Guards against a dead engine that is never suspected, because requests keep being sent through it.
    Streams streams;
    streams.add(streams.left, 4, start);
    streams.add(streams.left, 2, start + milliseconds(40), false);
    BOOST_TEST(contains(findSuspects(streams.activities, usualGapMs, start + milliseconds(55)), "middle-1"));
}

BOOST_AUTO_TEST_CASE(slowStreamsAreNotSuspectedAtTheirUsualPace)
{
    // Guards against probes without end on a fleet whose streams pause for longer between events.
    constexpr double slowGapMs = 120;
    Streams streams;
    streams.add(streams.left, 4, start);
    BOOST_TEST(findSuspects(streams.activities, slowGapMs, start + milliseconds(120)).empty());
    BOOST_TEST(contains(findSuspects(streams.activities, slowGapMs, start + milliseconds(160)), "middle-1"));
}

BOOST_AUTO_TEST_SUITE_END()
