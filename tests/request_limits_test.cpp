// Sharing of a target's limit of requests a second among entries that tell each other what they want to send.
#include "lab/simulated_fleet.h"
#include "policy/request_limits.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace Parsleytrail;
using namespace Parsleytrail::Lab;

namespace
{

constexpr std::uint32_t target = 7;
/// The platform's rule, see relay_limit_test.cpp.
constexpr milliseconds limitWindow{4000};
constexpr double allowedFactor = 1.5;
constexpr double allowedExtra = 5;

double allowedRequests(double limit)
{
    return allowedFactor * limit * std::chrono::duration<double>(limitWindow).count() + allowedExtra;
}

/// Entries before one limited target.
class LimitedFleet
{
public:
    LimitedFleet(FleetSize size, double limit, unsigned seed)
        : fleet(size, seed)
        , demands(size.entries)
        , rates(size.entries, 0)
        , m_limit(limit)
        , m_random(seed)
    {
        fleet.onStep = [this] {
            step();
        };
    }

    SimulatedFleet fleet;
    std::vector<RequestDemand> demands;
    std::vector<double> rates; ///< requests a second that callers send to each entry
    std::size_t mostInWindow = 0;
    std::size_t admitted = 0;
    std::size_t requests = 0;

    void startCounting()
    {
        m_arrivals.clear();
        mostInWindow = 0;
        admitted = 0;
        requests = 0;
    }

private:
    /// Takes over what peers report, and sends the requests of 5 ms.
    void step()
    {
        constexpr double stepSeconds = 0.005;
        constexpr std::size_t stepsPerExchange = 20; // an entry's messages are 100 ms apart
        ++m_steps;
        std::uniform_real_distribution<double> draw(0, 1);
        const TimePoint now = fleet.now();
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            SimulatedEntry &entry = fleet.at(i);
            if ((m_steps + i) % stepsPerExchange == 0) {
                exchangeDemand(entry, demands[i], now);
            }
            if (entry.isRunning && draw(m_random) < rates[i] * stepSeconds) {
                sendOne(i, now);
            }
        }
    }
    void exchangeDemand(SimulatedEntry &entry, RequestDemand &demand, TimePoint now)
    {
        const PeersView others = peersView(entry.exchange, now);
        const auto found = others.demands.find(target);
        const DemandSum sum = found == others.demands.end() ? DemandSum() : found->second;
        demand.peersWanted = sum.wanted;
        demand.peersReporting = sum.entries;
        if (sum.namedAt != TimePoint()) {
            recordLearnedLimit(demand, sum.limit, sum.namedAt, std::uniform_real_distribution<double>(0, 1)(m_random));
        }
        entry.state.demands.clear();
        if (hasRecentLimit(demand, now)) {
            entry.state.demands.push_back(describeDemand(demand, target, now));
        }
    }
    void sendOne(std::size_t index, TimePoint now)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        ++requests;
        if (!admitRequest(demands[index], static_cast<int>(fleet.size()), now)) {
            return;
        }
        ++admitted;
        recordNamedLimit(demands[index], m_limit, now, draw(m_random));
        m_arrivals.push_back(now);
        while (now - m_arrivals.front() > limitWindow) {
            m_arrivals.pop_front();
        }
        mostInWindow = std::max(mostInWindow, m_arrivals.size());
    }

    double m_limit;
    std::size_t m_steps = 0;
    std::mt19937 m_random;
    std::deque<TimePoint> m_arrivals;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestLimitsTest)

/// Guards against shares that add up to more than the limit, or leave most of it unused, where some entries have most of the callers.
BOOST_AUTO_TEST_CASE(entriesTogetherKeepToALimitAtAnySize)
{
    for (const FleetSize &size : {FleetSize{1, 1}, FleetSize{4, 3}, FleetSize{68, 5}, FleetSize{437, 5}}) {
        for (const double limit : {1.5, 4.0, 40.0}) {
            LimitedFleet limited(size, limit, 3);
            const double all = limit * 5;
            for (std::size_t i = 0; i < limited.rates.size(); ++i) {
                limited.rates[i] = all / static_cast<double>(size.entries) * (i % 2 == 0 ? 1.6 : 0.4);
            }
            limited.fleet.run(std::chrono::seconds(8));
            limited.startCounting();
            limited.fleet.run(std::chrono::seconds(20));
            const std::string what = std::to_string(size.entries) + " entries, " + std::to_string(limit) + " a second";
            BOOST_TEST(static_cast<double>(limited.mostInWindow) <= allowedRequests(limit), what);
            BOOST_TEST(static_cast<double>(limited.admitted) >= limit * 20 * 0.6, what << ": " << limited.admitted);
            BOOST_TEST(limited.fleet.areMessagesValid());
        }
    }
}

/// Guards against going over the limit when callers suddenly come to one entry, and when entries don't hear each other.
BOOST_AUTO_TEST_CASE(theLimitHoldsWhileCallersMoveAndWhileEntriesAreCutOff)
{
    constexpr double limit = 4;
    LimitedFleet limited({8, 2}, limit, 5);
    std::fill(limited.rates.begin(), limited.rates.end(), 2.5);
    limited.fleet.run(std::chrono::seconds(8));
    limited.startCounting();
    std::fill(limited.rates.begin(), limited.rates.end(), 0);
    limited.rates[3] = 30;
    limited.fleet.run(std::chrono::seconds(8));
    BOOST_TEST(static_cast<double>(limited.mostInWindow) <= allowedRequests(limit), "callers move: " << limited.mostInWindow);
    std::fill(limited.rates.begin(), limited.rates.end(), 2.5);
    limited.fleet.run(std::chrono::seconds(4));
    limited.startCounting();
    for (std::size_t i = 0; i < limited.fleet.size(); ++i) {
        limited.fleet.at(i).partition = static_cast<int>(i);
    }
    limited.fleet.run(std::chrono::seconds(12));
    BOOST_TEST(static_cast<double>(limited.mostInWindow) <= allowedRequests(limit), "cut off: " << limited.mostInWindow);
    BOOST_TEST(limited.admitted > 0U);
}

BOOST_AUTO_TEST_CASE(aLimitEndsWhenAResponseNamesNone)
{
    RequestDemand demand;
    const TimePoint now{std::chrono::hours(1)};
    BOOST_TEST(!recordNamedLimit(demand, 0, now, 0));
    BOOST_TEST(recordNamedLimit(demand, 2, now, 0));
    BOOST_TEST(limitInForce(demand, now) == 2);
    // An older observation of another entry arrives late.
    BOOST_TEST(!recordLearnedLimit(demand, 9, now - milliseconds(300), 0));
    BOOST_TEST(recordNamedLimit(demand, 0, now + milliseconds(500), 0));
    BOOST_TEST(limitInForce(demand, now + milliseconds(500)) == 0);
    BOOST_TEST(hasRecentLimit(demand, now + milliseconds(600)));
    const TargetDemand described = describeDemand(demand, target, now + milliseconds(600));
    BOOST_TEST(described.limit == 0U);
    BOOST_TEST(described.limitAgeMs == 100U);
}

/// Guards against a limit that stays forever because no request brings a response any more.
BOOST_AUTO_TEST_CASE(aLimitThatNoResponseConfirmsEnds)
{
    RequestDemand demand;
    const TimePoint now{std::chrono::hours(1)};
    recordNamedLimit(demand, 2, now, 0);
    BOOST_TEST(limitInForce(demand, now + limitLifetime - milliseconds(1)) == 2);
    BOOST_TEST(limitInForce(demand, now + limitLifetime) == 0);
    BOOST_TEST(!hasRecentLimit(demand, now + limitLifetime));
}

BOOST_AUTO_TEST_SUITE_END()
