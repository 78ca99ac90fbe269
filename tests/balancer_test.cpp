// The stand-in of the platform's balancer, from which tests of entries with most connections get their traffic.
#include "stand-ins/balancer.h"

#include <boost/test/unit_test.hpp>

using namespace Parsleytrail::StandIn;

namespace
{

std::vector<BalancedEntry> fourEntries()
{
    return {{"dc-1", true}, {"dc-1", true}, {"dc-2", true}, {"dc-3", true}};
}

/// Share of new connections of callers of a data centre that go to an entry.
double shareOf(Balancer &balancer, std::size_t entry, const std::string &dataCenter)
{
    constexpr int connections = 4000;
    int count = 0;
    for (int i = 0; i < connections; ++i) {
        count += balancer.choose(i, dataCenter) == entry ? 1 : 0;
    }
    return static_cast<double>(count) / connections;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BalancerTest)

BOOST_AUTO_TEST_CASE(connectionsStayInTheirDataCenterAndAreSpread)
{
    Balancer balancer(fourEntries(), 7);
    BOOST_TEST(shareOf(balancer, 0, "dc-1") > 0.4);
    BOOST_TEST(shareOf(balancer, 1, "dc-1") > 0.4);
    BOOST_TEST(shareOf(balancer, 2, "dc-2") == 1.0);
}

BOOST_AUTO_TEST_CASE(mostConnectionsOfOneDataCenterOrOfAllGoToOneEntry)
{
    Balancer balancer(fourEntries(), 7);
    balancer.concentrate(0.8, "dc-1");
    const std::size_t preferred = balancer.preferredEntry();
    BOOST_TEST(shareOf(balancer, preferred, "dc-1") > 0.85);
    BOOST_TEST(shareOf(balancer, 2, "dc-2") == 1.0);
    balancer.concentrate(0.8);
    BOOST_TEST(shareOf(balancer, balancer.preferredEntry(), "dc-2") > 0.75);
    balancer.spread();
    BOOST_TEST(shareOf(balancer, 2, "dc-2") == 1.0);
}

BOOST_AUTO_TEST_CASE(anotherEntryIsPreferredOnceItIsOut)
{
    Balancer balancer(fourEntries(), 7);
    balancer.concentrate(0.8);
    const std::size_t first = balancer.preferredEntry();
    balancer.setIn(first, false);
    BOOST_TEST(balancer.preferredEntry() != first);
    BOOST_TEST(shareOf(balancer, first, "dc-1") == 0.0);
}

BOOST_AUTO_TEST_CASE(retriesGoToOtherEntries)
{
    Balancer balancer(fourEntries(), 7);
    balancer.concentrate(1.0);
    for (std::uint64_t caller = 0; caller < 50; ++caller) {
        const std::size_t first = balancer.choose(caller, "dc-3");
        BOOST_TEST(balancer.chooseForRetry(caller, "dc-3", first) != first);
        BOOST_TEST(balancer.chooseForRetry(caller, "dc-3", 3) != 3U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
