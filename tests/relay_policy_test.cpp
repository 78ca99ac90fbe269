// The relay's decisions without a network: routes, the fleet, the fallback leader of placement.
#include "policy/fallback_leader.h"
#include "policy/fleet.h"
#include "policy/routes.h"
#include "relay/forwarded_request.h"
#include "relay/table_watcher.h"

#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;

namespace
{

constexpr TimePoint start{std::chrono::seconds(1000)};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayPolicyTest)

BOOST_AUTO_TEST_CASE(theLongestPrefixOfTheHostWins)
{
    RouteTable table;
    table.routes = {{"a", "one", "/"}, {"b", "one", "/x/"}, {"c", "one", "/x/y/"}, {"d", "two", "/x/"}};
    indexRoutes(table);
    BOOST_TEST(findRoute(table, "one", "/x/y/z")->name == "c");
    BOOST_TEST(findRoute(table, "ONE:8080", "/x/yy")->name == "b");
    BOOST_TEST(findRoute(table, "one", "/q")->name == "a");
    BOOST_TEST(findRoute(table, "two", "/x/")->name == "d");
    BOOST_TEST(findRoute(table, "two", "/x") == nullptr);
    BOOST_TEST(findRoute(table, "three", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(servicesShareARouteByWeight)
{
    RouteTable table;
    table.services[{"a"}].name = {"a"};
    table.services[{"b"}].name = {"b"};
    Route route;
    route.services = {{{"a"}, 90}, {{"gone"}, 50}, {{"b"}, 10}, {{"unused"}, 0}};
    BOOST_TEST((pickService(table, route, 0.0)->name == ServiceName{"a"}));
    BOOST_TEST((pickService(table, route, 0.59)->name == ServiceName{"a"}));
    BOOST_TEST((pickService(table, route, 0.99)->name == ServiceName{"b"}));
    route.services = {{{"gone"}, 1}};
    BOOST_TEST(pickService(table, route, 0.5) == nullptr);
}

BOOST_AUTO_TEST_CASE(aRestartUnderTheSameIdClearsTheObservedState)
{
    // An engine fails, is avoided, and restarts under its old id, empty and working. The state observed before the restart must
    // not exclude it, and a delayed registry entry of the earlier start must not replace the newer one.
    Fleet fleet;
    RegisteredTarget registered;
    registered.id = {"e"};
    registered.startedAtMs = 100;
    registered.layers = {0, 10};
    BOOST_TEST(recordRegistration(fleet, registered, start));
    Target *target = findTarget(fleet, registered.id);
    recordFailure(*target, start);
    target->needsProbe = true;
    BOOST_TEST(!isUsable(*target, start));
    const RegisteredTarget before = registered;
    registered.startedAtMs = 200;
    registered.layers = {};
    BOOST_TEST(recordRegistration(fleet, registered, start));
    BOOST_TEST(isUsable(*findTarget(fleet, registered.id), start));
    BOOST_TEST(!recordRegistration(fleet, before, start));
    BOOST_TEST(findTarget(fleet, registered.id)->registered.layers.count() == 0);
}

BOOST_AUTO_TEST_CASE(consecutiveFailuresBackOffLonger)
{
    Target target;
    recordFailure(target, start);
    BOOST_TEST(!isUsable(target, start + initialFailureBackoff - milliseconds(1)));
    BOOST_TEST(isUsable(target, start + initialFailureBackoff));
    for (int i = 0; i < 20; ++i) {
        recordFailure(target, start);
    }
    BOOST_TEST(!isUsable(target, start + maxFailureBackoff - milliseconds(1)));
    BOOST_TEST(isUsable(target, start + maxFailureBackoff));
    recordSuccess(target, start);
    BOOST_TEST(isUsable(target, start));
}

BOOST_AUTO_TEST_CASE(aRefusalIsNotAFailure)
{
    // An engine refuses stages while its memory is full. Treated as failures, the refusals were reported to the other entries, and
    // two of them made its layers count as lost. The engine works, and must be tried again after a growing backoff.
    Target target;
    recordRefusal(target, start);
    BOOST_TEST(!isUsable(target, start));
    BOOST_TEST(!isFailing(target, start));
    BOOST_TEST(isUsable(target, start + initialRefusalBackoff));
    recordRefusal(target, start);
    BOOST_TEST(!isUsable(target, start + initialRefusalBackoff));
    BOOST_TEST(isUsable(target, start + 2 * initialRefusalBackoff));
    for (int i = 0; i < 20; ++i) {
        recordRefusal(target, start);
    }
    BOOST_TEST(isUsable(target, start + maxRefusalBackoff));
    recordSuccess(target, start + milliseconds(1));
    recordRefusal(target, start + maxRefusalBackoff);
    BOOST_TEST(isUsable(target, start + maxRefusalBackoff + initialRefusalBackoff));
}

/// Guards against a draining engine that is tried again and again: the streams that it completes began before it drained, and
/// cleared its refusals.
BOOST_AUTO_TEST_CASE(aRequestSentBeforeARefusalDoesNotClearIt)
{
    Target target;
    recordRefusal(target, start);
    recordRefusal(target, start);
    recordSuccess(target, start - milliseconds(500));
    BOOST_TEST(target.refusalsInRow == 2);
    BOOST_TEST(!isUsable(target, start + initialRefusalBackoff));
    recordSuccess(target, start + milliseconds(1));
    BOOST_TEST(target.refusalsInRow == 0);
    BOOST_TEST(isUsable(target, start + milliseconds(1)));
}

/// Guards against a table copy that starts after a later change than the last one received: the changes in between were
/// lost, and work was sent to targets that had left.
BOOST_AUTO_TEST_CASE(aTableCopyThatSkipsChangesIsRejected)
{
    TableCopy copy;
    copy.after = 150;
    copy.change = 160;
    BOOST_TEST(canApplyCopy(copy, 150));
    BOOST_TEST(canApplyCopy(copy, 155));
    BOOST_TEST(!canApplyCopy(copy, 149));
    BOOST_TEST(!canApplyCopy(copy, 160));
    copy.isWhole = true;
    BOOST_TEST(canApplyCopy(copy, 149));
}

/// Guards against 68 entries that each detect a refusing target by a refusal of their own, though the first one could report it.
BOOST_AUTO_TEST_CASE(aRefusingTargetIsReportedToPeersWhileItIsAvoided)
{
    Target target;
    const TimePoint now{std::chrono::seconds(10)};
    BOOST_TEST(!isAvoided(target, now));
    recordRefusal(target, now);
    BOOST_TEST(isAvoided(target, now));
    BOOST_TEST(!isFailing(target, now));
    BOOST_TEST(!isAvoided(target, now + initialRefusalBackoff));
    recordSuccess(target, now + milliseconds(1));
    recordFailure(target, now);
    BOOST_TEST(isAvoided(target, now));
}

BOOST_AUTO_TEST_CASE(aProbeResponseResetsTimeoutsButNotFailures)
{
    // Requests to an engine fail while it answers probes. Other engines must not take over its layers, and its backoff must still
    // grow with each failure.
    Target target;
    recordFailure(target, start);
    recordFailure(target, start);
    target.unansweredProbesInRow = 1;
    target.needsProbe = true;
    recordProbeResponse(target);
    BOOST_TEST(target.unansweredProbesInRow == 0);
    BOOST_TEST(target.failuresInRow == 2);
    BOOST_TEST(isFailing(target, start));
    BOOST_TEST(isUsable(target, start + 2 * initialFailureBackoff));
}

BOOST_AUTO_TEST_CASE(anEngineAtAKnownAddressIsARestart)
{
    // A failed engine returns with another id at its address. It replaces no other engine and is assigned layers at once; an
    // engine at an unknown address may be the replacement of one that is about to leave.
    Fleet fleet;
    RegisteredTarget registered;
    registered.id = {"old"};
    registered.address = {"10.0.0.1", 80};
    recordRegistration(fleet, registered, start);
    BOOST_TEST(!findTarget(fleet, {"old"})->isRestart);
    recordRemoval(fleet, {"old"}, start);
    registered.id = {"new"};
    recordRegistration(fleet, registered, start);
    BOOST_TEST(findTarget(fleet, {"new"})->isRestart);
    registered.id = {"added"};
    registered.address = {"10.0.0.2", 80};
    recordRegistration(fleet, registered, start);
    BOOST_TEST(!findTarget(fleet, {"added"})->isRestart);
}

BOOST_AUTO_TEST_CASE(theLastLeaseHolderKeepsOrderingWhileNoEntryReachesTheStore)
{
    // The store is down for eight seconds, the lease expires after two, and engines leave meanwhile. Their layers were not
    // reassigned until another entry could be sure, after four seconds, that all leases had expired.
    FallbackLeaderView holder{"b", true, milliseconds(1500), true, false, {{"a", true}, {"c", true}}};
    BOOST_TEST(mayOrderWithoutLease(holder));
    holder.peers[1].isStoreLost = false;
    BOOST_TEST(!mayOrderWithoutLease(holder), "an entry that reaches the store can acquire the lease");
    holder.peers[1].isStoreLost = true;
    holder.isStoreLost = false;
    BOOST_TEST(!mayOrderWithoutLease(holder));
}

BOOST_AUTO_TEST_CASE(theLowestEntryOrdersWhenTheLastLeaseHolderIsLost)
{
    // The lease holder failed before the store did. Only the entry with the lowest id acts, once every lease has expired.
    FallbackLeaderView first{"a", true, leaseExpiryBound - milliseconds(1), false, false, {{"b", true}}};
    BOOST_TEST(!mayOrderWithoutLease(first));
    first.storeLostFor = leaseExpiryBound;
    BOOST_TEST(mayOrderWithoutLease(first));
    FallbackLeaderView second{"b", true, leaseExpiryBound, false, false, {{"a", true}}};
    BOOST_TEST(!mayOrderWithoutLease(second));
    second.peers[0].isDraining = true;
    BOOST_TEST(mayOrderWithoutLease(second));
}

BOOST_AUTO_TEST_CASE(aPausedEntryYieldsToTheActiveLeader)
{
    // The last lease holder was paused while another entry started to give orders: the other one continues. If both give orders,
    // the entry with the lowest id continues.
    FallbackLeaderView paused{"a", true, milliseconds(9000), true, false, {{"b", true, false, true}}};
    BOOST_TEST(!mayOrderWithoutLease(paused));
    FallbackLeaderView both{"a", true, milliseconds(9000), false, true, {{"b", true, false, true}}};
    BOOST_TEST(mayOrderWithoutLease(both));
    both.self = "c";
    BOOST_TEST(!mayOrderWithoutLease(both));
}

/// Guards against a takeover in which all entries read the lease and try to acquire it.
BOOST_AUTO_TEST_CASE(onlyAggregatorsSeekALeaseWithoutAHolder)
{
    LeaseCandidacy candidacy;
    candidacy.isAggregator = true;
    BOOST_TEST(shouldSeekLease(candidacy));
    candidacy.isLeaderReported = true;
    BOOST_TEST(!shouldSeekLease(candidacy));
    candidacy.isLeaderReported = false;
    candidacy.isJoining = true;
    BOOST_TEST(!shouldSeekLease(candidacy));
}

/// Guards against a lease that nobody takes: the store turns away all aggregators and serves the members.
BOOST_AUTO_TEST_CASE(aMemberSeeksTheLeaseIfNoAggregatorTakesIt)
{
    LeaseCandidacy candidacy;
    candidacy.leaderMissingFor = aggregatorTakeoverTime - milliseconds(1);
    BOOST_TEST(!shouldSeekLease(candidacy));
    candidacy.leaderMissingFor = aggregatorTakeoverTime;
    BOOST_TEST(shouldSeekLease(candidacy));
}
/// Guards against pauses that a later, shorter request cuts, and against values that take a target out of use for long.
BOOST_AUTO_TEST_CASE(requestedPausesAreKeptAndBounded)
{
    Fleet fleet;
    const RegisteredTarget registered{{"t"}, {"shop"}};
    recordRegistration(fleet, registered, start);
    Target &target = *findTarget(fleet, registered.id);
    BOOST_TEST(!isPaused(target, start));
    recordRequestedPause(target, milliseconds(3000), start);
    recordRequestedPause(target, milliseconds(1000), start);
    BOOST_TEST(isPaused(target, start + milliseconds(2999)));
    BOOST_TEST(!isPaused(target, start + milliseconds(3000)));
    BOOST_TEST(timeUntilPauseEnds(fleet, {"shop"}, start).count() == 3000);
    BOOST_TEST(timeUntilPauseEnds(fleet, {"chat"}, start).count() == 0);
    recordRequestedPause(target, parseRetryAfter("1e30"), start);
    BOOST_TEST(!isPaused(target, start + maxRequestedPause));
}

/// Guards against a Retry-After that is no time and counts as one.
BOOST_AUTO_TEST_CASE(retryAfterIsReadAsSeconds)
{
    BOOST_TEST(parseRetryAfter("3").count() == 3000);
    BOOST_TEST(parseRetryAfter(" 0.25 ").count() == 250);
    for (const char *text : {"", "-1", "0", "nan", "soon", "3 s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        BOOST_TEST(parseRetryAfter(text).count() == 0);
    }
}

/// Guards against a target that gets what it does not want because its registry entry was removed and came back.
BOOST_AUTO_TEST_CASE(whatATargetSaidOutlivesItsRegistryEntryButNotItsRestart)
{
    Fleet fleet;
    RegisteredTarget registered{{"t"}, {"shop"}};
    registered.startedAtMs = 7;
    recordRegistration(fleet, registered, start);
    recordRequestedPause(*findTarget(fleet, registered.id), milliseconds(3000), start);
    recordLeaving(*findTarget(fleet, registered.id));
    recordRemoval(fleet, registered.id, start);
    recordRegistration(fleet, registered, start);
    BOOST_TEST(isPaused(*findTarget(fleet, registered.id), start));
    BOOST_TEST(isLeaving(*findTarget(fleet, registered.id)));
    recordRemoval(fleet, registered.id, start);
    ++registered.startedAtMs;
    recordRegistration(fleet, registered, start);
    BOOST_TEST(!isPaused(*findTarget(fleet, registered.id), start));
    BOOST_TEST(!isLeaving(*findTarget(fleet, registered.id)));
    BOOST_TEST(fleet.removedTargets.empty());
}

/// Guards against memory that grows with each target that ever left.
BOOST_AUTO_TEST_CASE(removedTargetsAreForgotten)
{
    Fleet fleet;
    for (const char *id : {"a", "b", "c"}) {
        recordRegistration(fleet, {{id}, {"shop"}}, start);
        recordRemoval(fleet, {id}, start);
    }
    BOOST_TEST(fleet.removedTargets.size() == 3U);
    recordRegistration(fleet, {{"d"}, {"shop"}}, start);
    recordRemoval(fleet, {"d"}, start + removedTargetLifetime + milliseconds(1));
    BOOST_TEST(fleet.removedTargets.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
