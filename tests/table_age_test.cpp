// How old the tables of an entry may be, and who may vouch for them.
#include "policy/table_age.h"

#include "lab/freshness.h"
#include "policy/table_source.h"

#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Lab;

namespace
{

const TimePoint start{std::chrono::hours(1)};
constexpr milliseconds bound{2000};

} // namespace

BOOST_AUTO_TEST_SUITE(table_age)

/// Guards against tables that seem new because they were passed on: each hop adds the time since it heard.
BOOST_AUTO_TEST_CASE(theAgeGrowsWithEachHop)
{
    const std::uint16_t first = ageForMessage(start, start + milliseconds(300));
    const TimePoint atSecond = provenAtFromMessage(first, start + milliseconds(400));
    const std::uint16_t second = ageForMessage(atSecond, start + milliseconds(700));
    BOOST_TEST(first == 300U);
    BOOST_TEST(second == 600U);
}

BOOST_AUTO_TEST_CASE(anAgeThatIsUnknownOrTooLongIsNoProof)
{
    BOOST_TEST((provenAtFromMessage(ageForMessage(TimePoint(), start), start) == TimePoint()));
    BOOST_TEST((provenAtFromMessage(ageForMessage(start, start + std::chrono::hours(1)), start + std::chrono::hours(1)) == TimePoint()));
    BOOST_TEST(isOld(TimePoint(), bound, start));
    BOOST_TEST(!isOld(start, bound, start + bound));
    BOOST_TEST(isOld(start, bound, start + bound + milliseconds(1)));
    BOOST_TEST(!isOld(TimePoint(), milliseconds(0), start));
}

/// Guards against tables that count as current by a proof of newer ones which have not arrived.
BOOST_AUTO_TEST_CASE(aProofCountsOnceItsChangesHaveArrived)
{
    OwnTablesAge age;
    recordProof(age, {start, 5, 7}, 5, 6);
    BOOST_TEST((age.provenAt == TimePoint()));
    recordProof(age, {start + milliseconds(100), 6, 7}, 5, 7);
    BOOST_TEST((age.provenAt == start));
    recordProof(age, {start + milliseconds(100), 6, 7}, 6, 7);
    BOOST_TEST((age.provenAt == start + milliseconds(100)));
    recordProof(age, {start + milliseconds(50), 6, 7}, 6, 7);
    BOOST_TEST((age.provenAt == start + milliseconds(100)));
}

/// Guards against a member that waits for its turn with old tables, as its aggregator, the standby and the turns before it are cut off.
BOOST_AUTO_TEST_CASE(aMemberWithOldTablesDoesNotWaitForItsTurn)
{
    constexpr int entries = 400;
    constexpr double lastTurn = 0.999;
    const ContactLimits limits = contactLimits(bound);
    MemberPatience patience;
    recordSource(patience, entries, lastTurn, start);
    PeersView others;
    others.leavesReadingToOthers = true;
    const auto access = [&](milliseconds age) {
        return chooseTableAccess(others, describeOwnTables(true, patience, {start, {}}, limits, start + age));
    };
    BOOST_TEST((access(limits.maxAge) == TableAccess::LeaveToOthers));
    BOOST_TEST((access(limits.maxAge + milliseconds(1)) == TableAccess::Read));
    others.source.host = "10.0.0.1";
    BOOST_TEST((access(limits.maxAge) == TableAccess::Copy));
    BOOST_TEST((access(limits.maxAge + milliseconds(1)) == TableAccess::Read));
    BOOST_TEST(limits.maxAge < bound);
}

/// Guards against relays that go by tables without recent proof while others, or the store, are cut off from each other in series.
BOOST_AUTO_TEST_CASE(noEntryInTouchLacksADueChange)
{
    std::uint64_t changes = 0;
    for (unsigned seed = 1; seed <= 24; ++seed) {
        const FleetSize size{2 + static_cast<int>(seed % 7), 1 + static_cast<int>(seed % 3)};
        const FreshnessFigures figures = measureFreshness({size}, seed);
        BOOST_TEST(figures.late == 0U, "seed " << seed << ", " << size.entries << " entries in " << size.dataCenters << ": " << figures.firstLate);
        BOOST_TEST(figures.older == 0U);
        changes += figures.calls;
    }
    BOOST_TEST(changes > 0U);
}

/// The same where messages between entries are rare, as a data centre has many targets, and groups are large.
BOOST_AUTO_TEST_CASE(noEntryOfALargeFleetLacksADueChange)
{
    for (unsigned seed = 1; seed <= 2; ++seed) {
        FreshnessOptions options{{40, 2}};
        options.targetsPerEntry = 10;
        options.bound = milliseconds(3000);
        const FreshnessFigures figures = measureFreshness(options, seed);
        BOOST_TEST(figures.late == 0U, "seed " << seed << ": " << figures.firstLate);
    }
}

BOOST_AUTO_TEST_SUITE_END()
