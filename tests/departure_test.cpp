// The load on the engine that takes over when another one drains.
#include "policy/departure.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace Parsleytrail;

namespace
{

constexpr milliseconds drainTime{3000};
constexpr milliseconds readTime{4}; ///< processing the tokens of one stream again

/// The longest time from leaving to the next event, if one engine processes the streams in order of their arrival.
milliseconds longestPause(std::vector<milliseconds> leaveTimes)
{
    std::sort(leaveTimes.begin(), leaveTimes.end());
    milliseconds idleAt{0};
    milliseconds longest{0};
    for (const milliseconds leftAt : leaveTimes) {
        idleAt = std::max(idleAt, leftAt) + readTime;
        longest = std::max(longest, idleAt - leftAt);
    }
    return longest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DepartureTest)

BOOST_AUTO_TEST_CASE(streamsThatLeaveOneAfterTheOtherPauseBriefly)
{
    // Guards against a planned departure at which most streams pause for longer than callers accept, as all of them leave in the
    // same moment and wait for each other at the engine that takes over.
    constexpr int streams = 120;
    constexpr milliseconds acceptedPause{250};
    BOOST_TEST(longestPause(std::vector<milliseconds>(streams, milliseconds(0))).count() > acceptedPause.count());
    std::mt19937_64 random(1);
    std::vector<milliseconds> leaveTimes;
    leaveTimes.reserve(streams);
    for (int i = 0; i < streams; ++i) {
        leaveTimes.push_back(drawLeaveDelay(drainTime, random));
    }
    BOOST_TEST(longestPause(leaveTimes).count() < acceptedPause.count() / 2);
    BOOST_TEST(std::all_of(leaveTimes.begin(), leaveTimes.end(), [](milliseconds delay) {
        return delay <= drainTime / 2;
    }));
}

BOOST_AUTO_TEST_CASE(withoutADrainTimeStreamsLeaveAtOnce)
{
    std::mt19937_64 random(1);
    BOOST_TEST(drawLeaveDelay(milliseconds(0), random).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
