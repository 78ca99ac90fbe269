// Budgets that many entries share: what all of them may spend together, whatever they hear of each other.
#include "policy/shared_budget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

using namespace Parsleytrail;

namespace
{

constexpr double requestsPerSecond = 5; ///< of one entry
constexpr milliseconds step{100};

/// Entries whose requests all fail, so that each takes every repeat that it may.
struct FailingFleet {
    FailingFleet(int entries, const SharedBudgetTerms &budgetTerms)
        : terms(budgetTerms)
        , counts(entries)
        , budgets(entries, makeRetryPart(budgetTerms, assumedEntries))
    {
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < counts.size(); ++i) {
            counts[i] = EntryCount{true, now, 0};
            budgets[i] = makeRetryPart(terms, entriesToShareWith(counts[i], now));
            isGranted.assign(counts.size(), false);
        }
    }

    /// One step of all entries, each of which hears `heard` others.
    void run(milliseconds time, int heard)
    {
        for (const TimePoint end = now + time; now < end; now += step) {
            int spent = 0;
            for (std::size_t i = 0; i < counts.size(); ++i) {
                spent += runEntry(i, heard);
            }
            spentPerStep.push_back(spent);
        }
    }

    int runEntry(std::size_t i, int heard)
    {
        counts[i].mostHeard = std::max(counts[i].mostHeard, heard);
        resizeRetryPart(budgets[i], terms, entriesToShareWith(counts[i], now));
        if (!isGranted[i] && now - counts[i].startedAt >= terms.window) {
            isGranted[i] = true;
            grantRetryPart(budgets[i]);
        }
        earned[i] += requestsPerSecond * step.count() / 1000;
        for (; earned[i] >= 1; earned[i] -= 1) {
            noteRequest(budgets[i]);
        }
        int spent = 0;
        while (tryRetry(budgets[i])) {
            ++spent;
        }
        return spent;
    }

    /// Most repeats in any window.
    int mostInWindow() const
    {
        const auto steps = static_cast<std::size_t>(milliseconds(terms.window) / step);
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
        return terms.burst + terms.share * requestsPerSecond * static_cast<double>(terms.window.count()) * static_cast<double>(counts.size());
    }

    SharedBudgetTerms terms;
    TimePoint now{std::chrono::hours(1)};
    std::vector<EntryCount> counts;
    std::vector<RetryBudget> budgets;
    std::vector<bool> isGranted = std::vector<bool>(counts.size(), false);
    std::vector<double> earned = std::vector<double>(counts.size(), 0);
    std::vector<int> spentPerStep{};
};

const SharedBudgetTerms hundredsOfEntries{0.2, 320, std::chrono::seconds(10)};

} // namespace

BOOST_AUTO_TEST_SUITE(shared_budget)

/// Guards against entries that start together, hear nobody yet and each spend a burst meant for a few.
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

/// Guards against halves of a cut fleet that each take the whole burst.
BOOST_AUTO_TEST_CASE(halvesThatDoNotHearEachOtherKeepTheirParts)
{
    for (const int entries : {4, 68, 370}) {
        FailingFleet fleet(entries, hundredsOfEntries);
        fleet.restartAll();
        fleet.run(std::chrono::seconds(14), entries - 1);
        fleet.run(std::chrono::seconds(20), entries / 2 - 1);
        BOOST_TEST(fleet.mostInWindow() <= fleet.allowed(), entries << " entries");
    }
}

/// Guards against a fleet that never hears of itself and spends a burst for each entry.
BOOST_AUTO_TEST_CASE(entriesThatHearNobodyStayWithinTheBudget)
{
    for (const int entries : {4, 68, 370}) {
        FailingFleet fleet(entries, hundredsOfEntries);
        fleet.restartAll();
        fleet.run(std::chrono::seconds(40), 0);
        BOOST_TEST(fleet.mostInWindow() <= fleet.allowed(), entries << " entries");
    }
}

/// Guards against parts below one repeat, which could never be used.
BOOST_AUTO_TEST_CASE(aPartOfASmallBudgetCanStillBeUsed)
{
    RetryBudget budget = makeRetryPart({0.2, 10, std::chrono::seconds(10)}, 370);
    BOOST_TEST(tryRetry(budget));
    BOOST_TEST(!tryRetry(budget));
    for (int i = 0; i < 6; ++i) {
        noteRequest(budget);
    }
    BOOST_TEST(tryRetry(budget));
}

/// Guards against a repeat where the operator allows none.
BOOST_AUTO_TEST_CASE(whereNoRepeatIsAllowedNoneIsTaken)
{
    RetryBudget budget = makeRetryPart({0, 0, std::chrono::seconds(10)}, 4);
    grantRetryPart(budget);
    BOOST_TEST(!tryRetry(budget));
}

BOOST_AUTO_TEST_CASE(anEntryThatHasNoPeersNeedNotShare)
{
    const TimePoint now{std::chrono::hours(1)};
    BOOST_TEST(entriesToShareWith({false, now, 0}, now) == 1);
    BOOST_TEST(entriesToShareWith({true, now, 0}, now + std::chrono::hours(1)) == assumedEntries);
    BOOST_TEST(entriesToShareWith({true, now, 3}, now + std::chrono::hours(1)) == 4);
    BOOST_TEST(entriesToShareWith({true, now, 1}, now + milliseconds(100)) == assumedEntries);
}

BOOST_AUTO_TEST_SUITE_END()
