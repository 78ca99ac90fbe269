// A lease whose row another writer left in an unusual form.
#include "relay/lease_manager.h"
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;

namespace
{

constexpr int nestedArrays = 100000;

/// Values of a lease's row that no holder writes.
const std::vector<std::string> &oddLeases()
{
    static const std::vector<std::string> leases = {
        "",
        "null",
        std::string("\0\x01\xff\xfe", 4),
        std::string(nestedArrays, '[') + std::string(nestedArrays, ']'),
        "entry-0",
        "entry-0 99999999999999999999",
        "entry-9 9223372036854775807",
        "entry-9 -9223372036854775808",
        "entry-9 1 9223372036854775807",
    };
    return leases;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseManagerTest)

/// Guards against a lease that nobody ever holds again, and against calls to the store without a pause: the row of the lease can't be read, or
/// names an end that is years away.
BOOST_DATA_TEST_CASE(anOddLeaseIsAcquired, boost::unit_test::data::make(oddLeases()), value)
{
    EventLoop loop;
    SystemClock clock;
    const std::unique_ptr<PlatformAdapter> adapter = makePlatformAdapter();
    RelaySettings settings;
    settings.id = "entry-0";
    settings.host = "127.0.0.1";
    RelayContext context{loop, clock, *adapter, settings, nullptr, TargetConnectionPool(loop, clock)};
    HttpClient client(loop);
    StandIn::TableStore store(loop);
    Address address;
    Error error;
    runCatching(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(address, store.listen({"127.0.0.1", 0}));
            return {};
        },
        error);
    store.put("leases", "placement", value);
    LeaseManager lease(context, client, address, "placement",
                       {[] {
                            return true;
                        },
                        [](const std::string &) {}});
    lease.start();
    BOOST_TEST(loop.runUntil(
        [&] {
            return lease.isHeld();
        },
        milliseconds(20000)));
    constexpr std::uint64_t mostCalls = 6;
    BOOST_TEST(store.calls() <= mostCalls);
}

BOOST_AUTO_TEST_SUITE_END()
