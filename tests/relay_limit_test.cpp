// Targets that name a limit of requests a second, which holds for all relays together.
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::sealedAnswer;

namespace
{

/// The platform's rule: from contactTime after the limit was first named, a target gets in any limitWindow at most
/// allowedFactor times what its limit allows, and allowedExtra requests.
constexpr milliseconds contactTime{3000};
constexpr milliseconds limitWindow{4000};
constexpr double allowedFactor = 1.5;
constexpr double allowedExtra = 5;
constexpr milliseconds measuredTime{6000};
constexpr milliseconds callInterval{30}; ///< between two requests of all callers together

double allowedRequests(double limit)
{
    return allowedFactor * limit * std::chrono::duration<double>(limitWindow).count() + allowedExtra;
}

/// The most requests in any limitWindow from `from` on.
std::size_t mostInWindow(const std::vector<TimePoint> &arrivals, TimePoint from)
{
    std::size_t most = 0;
    auto begin = std::lower_bound(arrivals.begin(), arrivals.end(), from);
    for (auto end = begin; end != arrivals.end(); ++end) {
        while (*end - *begin > limitWindow) {
            ++begin;
        }
        most = std::max<std::size_t>(most, end - begin + 1);
    }
    return most;
}

std::size_t countSince(const std::vector<TimePoint> &arrivals, TimePoint from)
{
    return arrivals.end() - std::lower_bound(arrivals.begin(), arrivals.end(), from);
}

/// A target of the service "shop" that names a limit, if it is not zero.
struct LimitedTarget {
    double limit = 0;
    std::vector<TimePoint> arrivals{};
};

void addTargets(RelaySystem &system, std::vector<LimitedTarget> &targets)
{
    for (std::size_t i = 0; i < targets.size(); ++i) {
        system.addTarget("t" + std::to_string(i), [&target = targets[i]](const RawRequest &request) {
            target.arrivals.push_back(std::chrono::steady_clock::now());
            const std::string field = target.limit > 0 ? "Server-Limit: " + std::to_string(target.limit) + "\r\n" : std::string();
            return RawReply{sealedAnswer(request, "fine", "HTTP/1.1 200 OK", field)};
        });
    }
    system.waitReady();
}

/// Sends requests through the relays in turn, for `time`.
std::vector<RawCallPtr> sendSteadily(RelaySystem &system, std::size_t relays, milliseconds time, const std::string &first)
{
    return system.startRepeatedly(callInterval, time, [&](std::size_t number) {
        return system.send(system.request("GET", "/read/x", first + std::to_string(number)), number % relays);
    });
}

RelaySystemOptions threeRelays()
{
    RelaySystemOptions options;
    options.relays = 3;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayLimitTest)

/// Guards against relays that together send a target many times the requests that it takes.
BOOST_AUTO_TEST_CASE(relaysTogetherKeepToTheLimitOfATarget)
{
    RelaySystem system(threeRelays());
    std::vector<LimitedTarget> targets = {{2}, {0}, {0}};
    addTargets(system, targets);
    sendSteadily(system, 3, contactTime, "first-");
    const TimePoint from = std::chrono::steady_clock::now();
    const std::vector<RawCallPtr> calls = sendSteadily(system, 3, measuredTime, "then-");
    BOOST_TEST(mostInWindow(targets[0].arrivals, from) <= allowedRequests(targets[0].limit));
    // The others have room for the rest, and the target is not left idle.
    BOOST_TEST(countStatus(calls, 200) == calls.size());
    BOOST_TEST(countSince(targets[0].arrivals, from) >= targets[0].limit * 3);
}

/// Guards against refusing requests that the limits allow, in the time after a target has named one and until entries have told each other.
BOOST_AUTO_TEST_CASE(aLimitThatHasJustBeenNamedCostsNoCallerAnything)
{
    constexpr milliseconds firstTime{2000};
    for (const milliseconds runBefore : {milliseconds(0), contactTime}) {
        RelaySystem system(threeRelays());
        std::vector<LimitedTarget> targets(3);
        addTargets(system, targets);
        if (runBefore > milliseconds(0)) {
            sendSteadily(system, 3, runBefore, "before-");
        }
        for (LimitedTarget &target : targets) {
            target.limit = 20;
        }
        const std::vector<RawCallPtr> calls = sendSteadily(system, 3, firstTime, "first-");
        BOOST_TEST(countStatus(calls, 503) <= calls.size() / 20, runBefore.count() << " ms after the start");
    }
}

/// Guards against holding requests that no target takes now, and against sending them all the same.
BOOST_AUTO_TEST_CASE(requestsOverTheLimitsOfAllTargetsAreRefusedAtOnce)
{
    RelaySystem system(threeRelays());
    std::vector<LimitedTarget> targets = {{2}, {2}, {2}};
    addTargets(system, targets);
    sendSteadily(system, 3, contactTime, "first-");
    const TimePoint from = std::chrono::steady_clock::now();
    const std::vector<RawCallPtr> calls = sendSteadily(system, 3, measuredTime, "then-");
    for (const LimitedTarget &target : targets) {
        BOOST_TEST(mostInWindow(target.arrivals, from) <= allowedRequests(target.limit));
        BOOST_TEST(countSince(target.arrivals, from) >= target.limit * 3);
    }
    const std::size_t refused = countStatus(calls, 503);
    BOOST_TEST(refused > 0U);
    BOOST_TEST(countStatus(calls, 200) + refused == calls.size());
}

/// Guards against a limit that stays in force after the target has stopped to name it.
BOOST_AUTO_TEST_CASE(aTargetThatNamesNoLimitAnyMoreGetsItsShareAgain)
{
    RelaySystem system(threeRelays());
    std::vector<LimitedTarget> targets = {{2}, {0}, {0}};
    addTargets(system, targets);
    sendSteadily(system, 3, contactTime, "first-");
    targets[0].limit = 0;
    sendSteadily(system, 3, contactTime, "then-");
    const TimePoint from = std::chrono::steady_clock::now();
    const std::vector<RawCallPtr> calls = sendSteadily(system, 3, contactTime, "last-");
    BOOST_TEST(countSince(targets[0].arrivals, from) >= calls.size() / 6);
}

/// Guards against the same at engines, where the first engine of each chain gets the request.
BOOST_AUTO_TEST_CASE(streamsBeginElsewhereWhenAFirstEngineNamesALimit)
{
    constexpr double limit = 2;
    RelaySystemOptions options = threeRelays();
    options.engines = 4;
    options.engineOptions.events = 8; // so that the slots of one first engine suffice
    RelaySystem system(options);
    for (int i = 0; i < options.engines; ++i) {
        const std::string id = "engine-" + std::to_string(i);
        system.engines().setLayers(id, i % 2 == 0 ? LayerRange{0, 4} : LayerRange{4, 8});
        system.registerEngine(id);
    }
    system.waitReady();
    system.waitPlaced();
    system.engines().nameLimit("engine-0", limit);
    const auto streamFor = [&](milliseconds time, const std::string &first) {
        return system.startRepeatedly(callInterval, time, [&](std::size_t number) {
            const std::string id = first + std::to_string(number);
            const std::string bytes = system.request("POST", "/chat/x", id, "question", "X-Model: m\r\nX-Token-Usage: 100,20\r\n");
            return system.send(bytes, number % 3);
        });
    };
    streamFor(contactTime, "first-");
    const TimePoint from = std::chrono::steady_clock::now();
    const std::vector<RawCallPtr> calls = streamFor(measuredTime, "then-");
    BOOST_TEST(mostInWindow(system.engines().streamStarts("engine-0"), from) <= allowedRequests(limit));
    BOOST_TEST(countStatus(calls, 200) == calls.size());
    BOOST_TEST(countSince(system.engines().streamStarts("engine-0"), from) >= limit * 3);
}

BOOST_AUTO_TEST_SUITE_END()
