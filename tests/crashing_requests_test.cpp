// Which requests are refused for crashes of targets, and how entries learn of them.
#include "lab/simulated_fleet.h"
#include "policy/crashing_requests.h"

#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Lab;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr std::uint64_t cause = 1;                ///< a request that crashes targets
constexpr std::uint64_t beside = 2;               ///< one that was only open there
constexpr std::uint64_t badPart = partBit | 3;    ///< a part of prompts that crashes targets
constexpr std::uint64_t sharedPart = partBit | 4; ///< one that requests with badPart share with others

void crash(CrashingRequests &table, std::uint64_t request, std::uint64_t id, TimePoint now = start)
{
    recordCrash(table, request, id, now, now);
}

/// A target crashed with a request open that has these parts.
void crashWith(CrashingRequests &table, std::uint64_t request, const std::vector<std::uint64_t> &parts, std::uint64_t id, TimePoint now = start)
{
    for (const std::uint64_t input : allOf({request, parts})) {
        crash(table, input, id, now);
    }
}

bool isRefusedWith(const CrashingRequests &table, const std::vector<std::uint64_t> &parts)
{
    constexpr std::uint64_t newRequest = 999;
    return findQuarantined(table, {newRequest, parts}).has_value();
}

/// Passes all that `from` knows to `to`.
void passAll(const CrashingRequests &from, CrashingRequests &to, TimePoint now)
{
    for (const auto &[request, record] : from.records) {
        for (const CrashNotice &notice : noticesOf(from, request, now)) {
            applyNotice(to, notice, now);
        }
    }
}

std::size_t entriesThatRefuse(SimulatedFleet &fleet, std::uint64_t request)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        count += isRefused(fleet.at(i).crashingRequests, request) ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingRequestsTest)

BOOST_AUTO_TEST_CASE(aRequestIsRefusedAfterThreeCrashesForAnHour)
{
    CrashingRequests table;
    crash(table, cause, 11);
    crash(table, cause, 11); // told by a second entry
    crash(table, cause, 12);
    BOOST_TEST(isSuspect(table, cause));
    BOOST_TEST(!isQuarantined(table, cause));
    crash(table, cause, 13);
    BOOST_TEST(isQuarantined(table, cause));
    BOOST_TEST((quarantineTimeLeft(table, cause, start) == quarantineTime));
    prune(table, start + quarantineTime - milliseconds(1));
    BOOST_TEST(isQuarantined(table, cause));
    prune(table, start + quarantineTime);
    BOOST_TEST(table.records.empty());
}

/// Guards against refusing a harmless request that was open at the same crashes as the cause of them.
BOOST_AUTO_TEST_CASE(aRequestBesideTheCauseIsNotRefused)
{
    CrashingRequests table;
    for (const std::uint64_t id : {11, 12, 13}) {
        crash(table, cause, id);
        crash(table, beside, id);
    }
    crash(table, cause, 14);
    BOOST_TEST(isQuarantined(table, cause));
    BOOST_TEST(!isSuspect(table, beside));
}

/// Guards against adding up crashes that have nothing to do with a request which is sent often.
BOOST_AUTO_TEST_CASE(aCompletedRequestIsCleared)
{
    CrashingRequests table;
    crash(table, beside, 11);
    crash(table, beside, 12);
    const TimePoint later = start + std::chrono::seconds(5);
    BOOST_TEST(recordCompletion(table, beside, later, later));
    BOOST_TEST(!isSuspect(table, beside));
    // An older notice of one of the crashes arrives late.
    BOOST_TEST(!applyNotice(table, {beside, 11, 5000}, later));
    crash(table, beside, 13, later + std::chrono::seconds(5));
    BOOST_TEST(!isQuarantined(table, beside));
}

/// Guards against requests that stay refused forever because entries keep telling each other.
BOOST_AUTO_TEST_CASE(noticesExpireThoughEntriesRepeatThem)
{
    CrashingRequests a;
    CrashingRequests b;
    for (const std::uint64_t id : {11, 12, 13}) {
        crash(a, cause, id);
    }
    TimePoint now = start;
    for (int i = 0; i < 400; ++i) {
        now += std::chrono::seconds(10);
        passAll(a, b, now);
        passAll(b, a, now);
        prune(a, now);
        prune(b, now);
    }
    BOOST_TEST(a.records.empty());
    BOOST_TEST(b.records.empty());
}

/// Guards against growth without bound when many targets crash with many requests, and against losing the cause among them.
BOOST_AUTO_TEST_CASE(theTableIsBoundedAndKeepsWhatCrashesMost)
{
    CrashingRequests table;
    crash(table, cause, 1);
    crash(table, cause, 2);
    for (std::uint64_t i = 0; i < 10 * maxCrashRecords; ++i) {
        crash(table, 1000 + i, i, start + milliseconds(i));
    }
    BOOST_TEST(table.records.size() == maxCrashRecords);
    crash(table, cause, 3);
    BOOST_TEST(isQuarantined(table, cause));
    for (std::uint64_t i = 0; i < 100; ++i) {
        crash(table, cause, 100 + i);
    }
    BOOST_TEST(table.records.at(cause).crashes.size() <= maxCrashesOfRecord);
    BOOST_TEST(noticesToSend(table, start, 0).size() <= 64U);
}

/// Guards against crashes that no entry adds up, because each of them was seen by another one of a large fleet.
BOOST_AUTO_TEST_CASE(allEntriesLearnOfCrashesSeenByDifferentOnes)
{
    for (const FleetSize &size : {FleetSize{4, 3}, FleetSize{68, 5}, FleetSize{437, 5}}) {
        SimulatedFleet fleet(size, 11);
        fleet.faults.loss = 0.05;
        fleet.run(std::chrono::seconds(8));
        for (std::uint64_t i = 0; i < crashesUntilRefusal; ++i) {
            const std::size_t seenBy = i * fleet.size() / crashesUntilRefusal;
            crash(fleet.at(seenBy).crashingRequests, cause, 100 + i, fleet.now());
        }
        // A run that is sent later than three seconds after the third crash counts.
        fleet.run(std::chrono::seconds(3));
        BOOST_TEST(entriesThatRefuse(fleet, cause) == fleet.size(), size.entries << " entries");
        fleet.start(fleet.size() - 1);
        fleet.run(std::chrono::seconds(6));
        BOOST_TEST(entriesThatRefuse(fleet, cause) == fleet.size(), size.entries << " entries after a restart of one");
        BOOST_TEST(fleet.areMessagesValid());
    }
}

/// Guards against two crashes of a target that count as one before the registry shows the restart between them, and against one that counts twice.
BOOST_AUTO_TEST_CASE(crashesOfOneRegisteredStartAreToldApartByTheTimeOfSending)
{
    const TimePoint now{std::chrono::seconds(1000)};
    CrashingRequests table;
    const TargetId target{"t"};
    const std::uint64_t request = 5;
    const std::uint64_t first = crashOfRun(table, {request}, target, 7, now);
    recordCrash(table, request, first, now + milliseconds(50), now + milliseconds(50));
    BOOST_TEST(crashOfRun(table, {request}, target, 7, now + milliseconds(40)) == first);
    const std::uint64_t second = crashOfRun(table, {request}, target, 7, now + milliseconds(60));
    BOOST_TEST(second != first);
    recordCrash(table, request, second, now + milliseconds(90), now + milliseconds(90));
    BOOST_TEST(crashOfRun(table, {request}, target, 7, now + milliseconds(80)) == second);
    BOOST_TEST(crashOfRun(table, {request}, target, 7, now + milliseconds(100)) != second);
    BOOST_TEST(crashOfRun(table, {request + 1}, target, 7, now + milliseconds(100)) == first);
}

/// Guards against a part that crashes targets in requests of which no two are alike.
BOOST_AUTO_TEST_CASE(aPartIsRefusedAfterCrashesWithDifferentRequests)
{
    CrashingRequests table;
    crashWith(table, 11, {badPart}, 1);
    crashWith(table, 12, {badPart}, 2);
    BOOST_TEST(!isRefusedWith(table, {badPart}));
    crashWith(table, 13, {badPart}, 3);
    BOOST_TEST(isRefusedWith(table, {badPart}));
    BOOST_TEST(isRefusedWith(table, {sharedPart, badPart}));
    BOOST_TEST(!isRefusedWith(table, {sharedPart}));
    BOOST_TEST(!isRefusedWith(table, {}));
}

/// Guards against refusing requests for a part that they share with a single request that crashes targets.
BOOST_AUTO_TEST_CASE(aPartIsNotRefusedForCrashesThatOneRequestExplains)
{
    CrashingRequests table;
    for (const std::uint64_t id : {1, 2, 3}) {
        crashWith(table, cause, {sharedPart}, id);
    }
    BOOST_TEST(findQuarantined(table, {cause, {sharedPart}}).has_value());
    BOOST_TEST(!isRefusedWith(table, {sharedPart}));
}

/// Guards against refusing sound requests for a part that all requests with the cause have too.
BOOST_AUTO_TEST_CASE(requestsThatHoldOnlySomeOfThePartsInQuestionMayRun)
{
    CrashingRequests table;
    for (const std::uint64_t id : {1, 2, 3}) {
        crashWith(table, 10 + id, {sharedPart, badPart}, id);
    }
    BOOST_TEST(isRefusedWith(table, {sharedPart, badPart}));
    BOOST_TEST(!isRefusedWith(table, {sharedPart}));
    BOOST_TEST(!isRefusedWith(table, {badPart}));
    // The run of one of them shows which part is the cause.
    CrashingRequests afterCrash = table;
    crashWith(afterCrash, 14, {badPart}, 4);
    BOOST_TEST(isRefusedWith(afterCrash, {badPart}));
    BOOST_TEST(!isRefusedWith(afterCrash, {sharedPart}));
    recordSoundPart(table, sharedPart, start + milliseconds(100));
    BOOST_TEST(isRefusedWith(table, {badPart}));
    BOOST_TEST(!isRefusedWith(table, {sharedPart}));
}

/// Guards against refusing a part that most requests share after several targets crashed at the same moment for another reason.
BOOST_AUTO_TEST_CASE(aPartThatHasJustRunWellIsNotSuspectedForCrashesOfManyTargets)
{
    CrashingRequests seesRuns;
    CrashingRequests seesNone;
    recordSoundPart(seesRuns, sharedPart, start - milliseconds(300));
    for (const std::uint64_t id : {1, 2, 3}) {
        crashWith(seesRuns, 10 + id, {sharedPart}, id);
        crashWith(seesNone, 10 + id, {sharedPart}, id);
    }
    BOOST_TEST(!isRefusedWith(seesRuns, {sharedPart}));
    // The entry that saw the runs tells the others.
    passAll(seesRuns, seesNone, start + milliseconds(50));
    BOOST_TEST(!isRefusedWith(seesNone, {sharedPart}));
}

/// Guards against refusing all requests with a part that most share, and none of those with the cause, after one more crash for another reason.
BOOST_AUTO_TEST_CASE(aPartThatRanWellBeforeIsNotRefusedForACrashBesideThoseOfTheCause)
{
    CrashingRequests seesRuns;
    CrashingRequests seesNone;
    recordSoundPart(seesRuns, sharedPart, start - std::chrono::seconds(5));
    for (const std::uint64_t id : {1, 2, 3}) {
        crashWith(seesRuns, 10 + id, {sharedPart, badPart}, id);
    }
    crashWith(seesRuns, 14, {sharedPart}, 4);
    passAll(seesRuns, seesNone, start + milliseconds(50));
    for (const CrashingRequests &table : {seesRuns, seesNone}) {
        BOOST_TEST(!isRefusedWith(table, {sharedPart}));
        BOOST_TEST(isRefusedWith(table, {sharedPart, badPart}));
        BOOST_TEST(isRefusedWith(table, {badPart}));
    }
}

/// Guards against sending on the cause with other parts for as long as a part that ran well before was open at the same crashes.
BOOST_AUTO_TEST_CASE(aPartIsRefusedByItselfIfThoseOpenBesideItRanWellBefore)
{
    CrashingRequests table;
    recordSoundPart(table, sharedPart, start - std::chrono::seconds(5));
    for (const std::uint64_t id : {1, 2, 3}) {
        crashWith(table, 10 + id, {sharedPart, badPart}, id);
    }
    BOOST_TEST(isRefusedWith(table, {badPart}));
    BOOST_TEST(!isRefusedWith(table, {sharedPart}));
}

/// Guards against refusing requests for a part that ran well before after fewer crashes than a coincidence may bring while nothing is served.
BOOST_AUTO_TEST_CASE(aPartThatRanWellBeforeIsRefusedAfterFiveCrashes)
{
    CrashingRequests table;
    recordSoundPart(table, sharedPart, start - std::chrono::seconds(5));
    for (std::uint64_t id = 1; id <= 4; ++id) {
        crashWith(table, 10 + id, {sharedPart}, id);
        BOOST_TEST(!isRefusedWith(table, {sharedPart}));
    }
    crashWith(table, 15, {sharedPart}, 5);
    BOOST_TEST(isRefusedWith(table, {sharedPart}));
}

/// Guards against a run that seems to be later each time that entries tell each other of it, until it clears the crashes after it.
BOOST_AUTO_TEST_CASE(aRunThatEntriesTellEachOtherOfGrowsNoYounger)
{
    constexpr milliseconds messageTime{20};
    CrashingRequests a;
    CrashingRequests b;
    recordSoundPart(a, sharedPart, start - std::chrono::seconds(5));
    for (std::uint64_t id = 1; id <= 5; ++id) {
        crashWith(a, 10 + id, {sharedPart}, id);
    }
    TimePoint now = start;
    for (int i = 0; i < 300; ++i) {
        CrashingRequests &from = i % 2 == 0 ? a : b;
        CrashingRequests &to = i % 2 == 0 ? b : a;
        const std::vector<CrashNotice> notices = noticesOf(from, sharedPart, now);
        now += messageTime;
        for (const CrashNotice &notice : notices) {
            applyNotice(to, notice, now);
        }
    }
    BOOST_TEST(isRefusedWith(a, {sharedPart}));
    BOOST_TEST(isRefusedWith(b, {sharedPart}));
}

BOOST_AUTO_TEST_CASE(knownSoundPartsAreBounded)
{
    CrashingRequests table;
    for (std::uint64_t i = 0; i < 4 * maxSoundParts; ++i) {
        recordSoundPart(table, partBit | i, start + milliseconds(i));
    }
    BOOST_TEST(table.soundParts.size() == maxSoundParts);
    BOOST_TEST(table.soundParts.contains(partBit | (4 * maxSoundParts - 1)));
    BOOST_TEST(table.records.empty());
}

/// Guards against notices of the cause that are crowded out by those of the many requests that were open at the same crashes.
BOOST_AUTO_TEST_CASE(allEntriesLearnOfAPartAmongManyRequestsBesideIt)
{
    constexpr std::uint64_t besideEach = 60;
    for (const FleetSize &size : {FleetSize{4, 3}, FleetSize{68, 5}, FleetSize{437, 5}}) {
        SimulatedFleet fleet(size, 12);
        fleet.faults.loss = 0.05;
        fleet.run(std::chrono::seconds(8));
        std::uint64_t request = 1000;
        for (std::uint64_t id = 1; id <= 5; ++id) {
            CrashingRequests &table = fleet.at(id * fleet.size() / 6).crashingRequests;
            crashWith(table, ++request, {badPart}, id, fleet.now());
            for (std::uint64_t i = 0; i < besideEach; ++i) {
                ++request;
                crashWith(table, request, {partBit | request}, id, fleet.now());
            }
            fleet.run(milliseconds(200));
        }
        fleet.run(std::chrono::seconds(3));
        BOOST_TEST(entriesThatRefuse(fleet, badPart) == fleet.size(), size.entries << " entries");
        BOOST_TEST(fleet.areMessagesValid());
    }
}

BOOST_AUTO_TEST_SUITE_END()
