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

BOOST_AUTO_TEST_SUITE_END()
