// Shared budgets: all entries together stay within the limits, whatever they receive from each other.
#include "policy/shared_budget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

using namespace Parsleytrail;

namespace
{

constexpr double requestsPerSecond = 5; ///< request rate of one entry
constexpr milliseconds step{100};

/// Entries whose requests all fail, so that each makes every retry that it may.
struct FailingFleet {
    FailingFleet(int entries, const SharedBudgetLimits &budgetLimits)
        : limits(budgetLimits)
        , counts(entries)
        , budgets(entries, makeRetryBudget(budgetLimits, assumedEntries))
    {
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < counts.size(); ++i) {
            counts[i] = EntryCount{true, now, 0};
            budgets[i] = makeRetryBudget(limits, entriesToShareWith(counts[i], now));
            isGranted.assign(counts.size(), false);
        }
    }

    /// Runs all entries, each of which receives messages from `peersSeen` others.
    void run(milliseconds time, int peersSeen)
    {
        for (const TimePoint end = now + time; now < end; now += step) {
            int spent = 0;
            for (std::size_t i = 0; i < counts.size(); ++i) {
                spent += runEntry(i, peersSeen);
            }
            spentPerStep.push_back(spent);
        }
    }

    int runEntry(std::size_t i, int peersSeen)
    {
        counts[i].mostPeersSeen = std::max(counts[i].mostPeersSeen, peersSeen);
        resizeRetryBudget(budgets[i], limits, entriesToShareWith(counts[i], now));
        if (!isGranted[i] && now - counts[i].startedAt >= limits.window) {
            isGranted[i] = true;
            grantRetryBurst(budgets[i]);
        }
        earned[i] += requestsPerSecond * step.count() / 1000;
        for (; earned[i] >= 1; earned[i] -= 1) {
            recordRequest(budgets[i]);
        }
        int spent = 0;
        while (tryConsumeRetry(budgets[i])) {
            ++spent;
        }
        return spent;
    }

    /// Highest number of retries in any window.
    int mostInWindow() const
    {
        const auto steps = static_cast<std::size_t>(milliseconds(limits.window) / step);
        int most = 0;
        for (std::size_t from = 0; from + steps <= spentPerStep.size(); ++from) {
            int sum = 0;
            for (std::size_t i = from; i < from + steps; ++i) {
                sum += spentPerStep[i];
            }
            most = std::max(most, sum);
        }
        return most;
    }

    double allowed() const
    {
        return limits.burst + limits.share * requestsPerSecond * static_cast<double>(limits.window.count()) * static_cast<double>(counts.size());
    }

    SharedBudgetLimits limits;
    TimePoint now{std::chrono::hours(1)};
    std::vector<EntryCount> counts;
    std::vector<RetryBudget> budgets;
    std::vector<bool> isGranted = std::vector<bool>(counts.size(), false);
    std::vector<double> earned = std::vector<double>(counts.size(), 0);
    std::vector<int> spentPerStep{};
};

const SharedBudgetLimits hundredsOfEntries{0.2, 320, std::chrono::seconds(10)};

} // namespace

BOOST_AUTO_TEST_SUITE(shared_budget)

/// Guards against entries that start together, do not know of each other yet, and each spend a burst meant for a few.
BOOST_AUTO_TEST_CASE(aMassRestartSpendsNoMoreThanTheBudget)
{
    for (const int entries : {4, 68, 370}) {
        FailingFleet fleet(entries, hundredsOfEntries);
        fleet.restartAll();
        fleet.run(std::chrono::seconds(14), entries - 1);
        fleet.restartAll();
        fleet.run(milliseconds(600), 0);
        fleet.run(std::chrono::seconds(20), entries - 1);
        BOOST_TEST(fleet.mostInWindow() <= fleet.allowed(), entries << " entries");
    }
}

/// Guards against halves of a partitioned fleet that each spend the entire burst.
BOOST_AUTO_TEST_CASE(partitionedHalvesKeepTheirShares)
{
    for (const int entries : {4, 68, 370}) {
        FailingFleet fleet(entries, hundredsOfEntries);
        fleet.restartAll();
        fleet.run(std::chrono::seconds(14), entries - 1);
        fleet.run(std::chrono::seconds(20), entries / 2 - 1);
        BOOST_TEST(fleet.mostInWindow() <= fleet.allowed(), entries << " entries");
    }
}

/// Guards against entries that never receive anything from each other and each spend a full burst.
BOOST_AUTO_TEST_CASE(isolatedEntriesStayWithinTheBudget)
{
    for (const int entries : {4, 68, 370}) {
        FailingFleet fleet(entries, hundredsOfEntries);
        fleet.restartAll();
        fleet.run(std::chrono::seconds(40), 0);
        BOOST_TEST(fleet.mostInWindow() <= fleet.allowed(), entries << " entries");
    }
}

/// Guards against shares below one retry, which could never be used.
BOOST_AUTO_TEST_CASE(aShareOfASmallBudgetCanStillBeUsed)
{
    RetryBudget budget = makeRetryBudget({0.2, 10, std::chrono::seconds(10)}, 370);
    BOOST_TEST(tryConsumeRetry(budget));
    BOOST_TEST(!tryConsumeRetry(budget));
    for (int i = 0; i < 6; ++i) {
        recordRequest(budget);
    }
    BOOST_TEST(tryConsumeRetry(budget));
}

/// Guards against a retry where the operator allows none.
BOOST_AUTO_TEST_CASE(whereNoRetryIsAllowedNoneIsMade)
{
    RetryBudget budget = makeRetryBudget({0, 0, std::chrono::seconds(10)}, 4);
    grantRetryBurst(budget);
    BOOST_TEST(!tryConsumeRetry(budget));
}

BOOST_AUTO_TEST_CASE(anEntryThatHasNoPeersNeedNotShare)
{
    const TimePoint now{std::chrono::hours(1)};
    BOOST_TEST(entriesToShareWith({false, now, 0}, now) == 1);
    BOOST_TEST(entriesToShareWith({true, now, 0}, now + std::chrono::hours(1)) == assumedEntries);
    BOOST_TEST(entriesToShareWith({true, now, 3}, now + std::chrono::hours(1)) == 4);
    BOOST_TEST(entriesToShareWith({true, now, 1}, now + milliseconds(100)) == assumedEntries);
    BOOST_TEST(knownEntriesToShareWith({true, now, 1}, now + milliseconds(100)) == 2);
    BOOST_TEST(knownEntriesToShareWith({true, now, 0}, now + milliseconds(100)) == assumedEntries);
}

BOOST_AUTO_TEST_SUITE_END()
