// A process that gets more connections than it has processor time for.
#include "policy/overload.h"
#include "stand-ins/balancer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

using namespace Parsleytrail;

namespace
{

constexpr milliseconds step{25};
constexpr milliseconds requestTime{1000};   ///< how long each request is open
constexpr double costPerRequestSecond = 20; ///< processor time of an open request, milliseconds a second
constexpr double timelyLagMs = 120;         ///< later events are late

/// A process with one core that serves requests, in steps of simulated time.
class SimulatedProcess
{
public:
    explicit SimulatedProcess(bool hasLimit)
        : m_hasLimit(hasLimit)
    {
    }

    /// Returns whether the connection was accepted.
    bool connect()
    {
        if (m_hasLimit && !acceptsConnection(m_guard, static_cast<int>(m_open.size()))) {
            return false;
        }
        m_open.push_back(m_now + requestTime);
        ++m_read;
        m_timely += m_lagMs < timelyLagMs ? 1 : 0;
        return true;
    }
    void advance()
    {
        m_now += step;
        const double stepMs = static_cast<double>(step.count());
        const double work = static_cast<double>(m_open.size()) * costPerRequestSecond * stepMs / 1000;
        m_lagMs = std::max(0.0, m_lagMs + work - stepMs);
        recordTimerLag(m_guard, milliseconds(static_cast<int>(m_lagMs)), static_cast<int>(m_open.size()), m_now);
        // Requests end later if their events are late.
        while (!m_open.empty() && m_open.front() + milliseconds(static_cast<int>(m_lagMs)) <= m_now) {
            m_open.pop_front();
        }
    }
    /// Share of the requests read since the last call that were begun in time.
    double takeTimelyShare()
    {
        const double share = m_read == 0 ? 1 : static_cast<double>(m_timely) / m_read;
        m_read = 0;
        m_timely = 0;
        return share;
    }
    std::size_t open() const
    {
        return m_open.size();
    }

private:
    bool m_hasLimit;
    OverloadGuard m_guard;
    TimePoint m_now{std::chrono::hours(1)};
    std::deque<TimePoint> m_open; ///< when each open request ends at the earliest
    double m_lagMs = 0;
    int m_read = 0;
    int m_timely = 0;
};

/// Share of the requests that one of three processes reads in time from three seconds on, while it gets most connections of all.
double timelyShareOfPreferred(bool hasLimit, std::uint64_t seed, double perSecond)
{
    StandIn::Balancer balancer({{"dc-1", true}, {"dc-1", true}, {"dc-1", true}}, seed);
    std::vector<SimulatedProcess> processes(3, SimulatedProcess(hasLimit));
    balancer.concentrate(0.8);
    const std::size_t preferred = balancer.preferredEntry();
    std::uint64_t caller = 0;
    double due = 0;
    int notServed = 0;
    constexpr int steps = 11 * 40;
    constexpr int contactSteps = 3 * 40;
    for (int i = 0; i < steps; ++i) {
        if (i == contactSteps) {
            processes[preferred].takeTimelyShare();
            notServed = 0;
        }
        for (due += perSecond * 0.025; due >= 1; due -= 1) {
            const std::size_t first = balancer.choose(++caller, "dc-1");
            const bool isRead = processes[first].connect() || processes[balancer.chooseForRetry(caller, "dc-1", first)].connect();
            notServed += isRead ? 0 : 1;
        }
        for (SimulatedProcess &process : processes) {
            process.advance();
        }
    }
    BOOST_TEST(notServed == 0);
    return processes[preferred].takeTimelyShare();
}

constexpr TimePoint start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadTest)

/// Guards against a process that reads more requests than it can serve, so that all that it has read are late.
BOOST_AUTO_TEST_CASE(whatTheProcessWithMostConnectionsReadsIsServedInTime)
{
    // Each process has time for 50 open requests, all three for 150; 100 connections a second come, 80 of them to one.
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(timelyShareOfPreferred(true, seed, 100) >= 0.97);
            BOOST_TEST(timelyShareOfPreferred(false, seed, 100) < 0.75);
        }
    }
}

BOOST_AUTO_TEST_CASE(thereIsNoLimitWhileTimersFireInTime)
{
    OverloadGuard guard;
    TimePoint now = start;
    for (int i = 0; i < 100; ++i) {
        now += step;
        recordTimerLag(guard, milliseconds(i % 10), 500, now);
    }
    BOOST_TEST(acceptsConnection(guard, 100000));
}

/// Guards against closing connections after a pause of the process, which is no overload.
BOOST_AUTO_TEST_CASE(aSinglePauseSetsNoLimit)
{
    OverloadGuard guard;
    TimePoint now = start;
    for (int i = 0; i < 100; ++i) {
        now += step;
        recordTimerLag(guard, i == 50 ? milliseconds(4000) : milliseconds(0), 100, now);
        BOOST_TEST(acceptsConnection(guard, 100));
    }
}

/// Guards against a limit that keeps callers away after the overload is over, and against one that accepts none at all.
BOOST_AUTO_TEST_CASE(theLimitNeverReachesZeroAndEnds)
{
    OverloadGuard guard;
    TimePoint now = start;
    for (int i = 0; i < 400; ++i) {
        now += step;
        recordTimerLag(guard, milliseconds(100), 1, now);
    }
    BOOST_TEST(acceptsConnection(guard, minOpenLimit - 1));
    BOOST_TEST(!acceptsConnection(guard, 100));
    for (TimePoint end = now + limitMemory + std::chrono::seconds(1); now < end; now += step) {
        recordTimerLag(guard, milliseconds(0), 1, now);
    }
    BOOST_TEST(acceptsConnection(guard, 100000));
}

BOOST_AUTO_TEST_SUITE_END()
