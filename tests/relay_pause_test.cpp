// Targets that refuse requests and say for how long they want no others.
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::sealedAnswer;

namespace
{

/// From noticeTime after a refusal until the end of its pause, the target wants no request from this entry.
constexpr milliseconds noticeTime{500};
constexpr milliseconds pauseTime{2000};
constexpr const char *pauseText = "2";
constexpr milliseconds callInterval{20};

/// A target of the service "shop" that refuses requests with a Retry-After, or answers them.
struct PausingTarget {
    std::string retryAfter{}; ///< empty: it answers requests
    std::vector<TimePoint> arrivals{};
    std::vector<TimePoint> refusals{};
};

RawReply answer(PausingTarget &target, const RawRequest &request)
{
    const TimePoint now = std::chrono::steady_clock::now();
    target.arrivals.push_back(now);
    if (target.retryAfter.empty()) {
        return {sealedAnswer(request, "fine")};
    }
    target.refusals.push_back(now);
    return {"HTTP/1.1 503 Refused\r\nX-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\nX-Not-Executed: 1\r\nRetry-After: " + target.retryAfter
            + "\r\nContent-Length: 0\r\n\r\n"};
}

void addTargets(RelaySystem &system, std::vector<PausingTarget> &targets)
{
    for (std::size_t i = 0; i < targets.size(); ++i) {
        system.addTarget("t" + std::to_string(i), [&target = targets[i]](const RawRequest &request) {
            return answer(target, request);
        });
    }
    system.waitReady();
}

std::vector<RawCallPtr> callSteadily(RelaySystem &system, const std::string &method, const std::string &path, milliseconds time)
{
    return system.startRepeatedly(callInterval, time, [&](std::size_t number) {
        return system.call(method, path, path + std::to_string(number), method == "POST" ? "seat 4" : "");
    });
}

/// The most arrivals within the counted part of one pause.
std::size_t mostInPause(const std::vector<TimePoint> &refusals, const std::vector<TimePoint> &arrivals)
{
    std::ptrdiff_t most = 0;
    for (const TimePoint &refusal : refusals) {
        const auto from = std::lower_bound(arrivals.begin(), arrivals.end(), refusal + noticeTime);
        const auto to = std::lower_bound(arrivals.begin(), arrivals.end(), refusal + pauseTime);
        most = std::max(most, to - from);
    }
    return most;
}

/// Two engines for either half of the model.
RelaySystemOptions twoChains()
{
    RelaySystemOptions options;
    options.engines = 4;
    options.engineOptions.events = 3;
    return options;
}

void placeTwoChains(RelaySystem &system)
{
    for (int i = 0; i < 4; ++i) {
        const std::string id = "engine-" + std::to_string(i);
        system.engines().setLayers(id, i < 2 ? LayerRange{0, 4} : LayerRange{4, 8});
        system.registerEngine(id);
    }
    system.waitReady();
    system.waitPlaced();
}

std::vector<RawCallPtr> streamSteadily(RelaySystem &system, milliseconds time, const std::string &first)
{
    return system.startRepeatedly(callInterval, time, [&](std::size_t number) {
        return system.stream(first + std::to_string(number));
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayPauseTest)

// Guards against a target that is overloaded, says how long it wants no requests, and gets them all the same.
BOOST_DATA_TEST_CASE(aTargetThatRequestedAPauseGetsNoCalls, boost::unit_test::data::make({"GET", "POST"}), method)
{
    RelaySystem system;
    std::vector<PausingTarget> targets(3);
    addTargets(system, targets);
    targets[0].retryAfter = pauseText;
    const std::string path = std::string(method) == "GET" ? "/read/x" : "/book/x";
    const std::vector<RawCallPtr> calls = callSteadily(system, method, path, pauseTime + milliseconds(500));
    BOOST_TEST(!targets[0].refusals.empty());
    BOOST_TEST(mostInPause(targets[0].refusals, targets[0].arrivals) == 0U);
    // The other two targets take everything else: a call is refused only if it was the one that brought the request for a pause.
    BOOST_TEST(countStatus(calls, 200) + targets[0].refusals.size() >= calls.size());
}

// Guards against a target that stays without work after its pause.
BOOST_AUTO_TEST_CASE(aTargetGetsCallsAgainOnceItsPauseIsOver)
{
    RelaySystem system;
    std::vector<PausingTarget> targets(2);
    addTargets(system, targets);
    targets[0].retryAfter = "0.5";
    callSteadily(system, "GET", "/read/a", milliseconds(300));
    BOOST_REQUIRE(!targets[0].refusals.empty());
    targets[0].retryAfter.clear();
    system.idle(milliseconds(600));
    const std::size_t before = targets[0].arrivals.size();
    const std::vector<RawCallPtr> calls = callSteadily(system, "GET", "/read/b", milliseconds(400));
    BOOST_TEST(targets[0].arrivals.size() > before + calls.size() / 4);
    BOOST_TEST(countStatus(calls, 200) == calls.size());
}

// Guards against callers that wait, or come back too soon, while all targets of a service want no requests.
BOOST_AUTO_TEST_CASE(callsAreRefusedAtOnceWhileAllTargetsPause)
{
    RelaySystem system;
    std::vector<PausingTarget> targets(1);
    addTargets(system, targets);
    targets[0].retryAfter = "0.5";
    callSteadily(system, "GET", "/read/a", callInterval * 2);
    const std::size_t before = targets[0].arrivals.size();
    const RawCallPtr call = system.call("GET", "/read/b", "id-b");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 503);
    BOOST_TEST(targets[0].arrivals.size() == before);
    const double retryAfter = std::stod(call->field("Retry-After"));
    BOOST_TEST(retryAfter > 0.2);
    BOOST_TEST(retryAfter <= 0.5);
    targets[0].retryAfter.clear();
    system.idle(milliseconds(600));
    BOOST_TEST(countStatus(callSteadily(system, "GET", "/read/c", callInterval * 3), 200) >= 2U);
}

// Guards against a target that is taken out of use by a Retry-After that is no time.
BOOST_DATA_TEST_CASE(aRetryAfterThatIsNoTimeTakesNoTargetOutOfUse,
                     boost::unit_test::data::make({"-3", "0", "soon", "nan", "Wed, 21 Oct 2026 07:28:00 GMT", "3 s"}), retryAfter)
{
    RelaySystem system;
    std::vector<PausingTarget> targets(1);
    addTargets(system, targets);
    targets[0].retryAfter = retryAfter;
    callSteadily(system, "GET", "/read/a", callInterval * 3);
    targets[0].retryAfter.clear();
    const std::vector<RawCallPtr> calls = callSteadily(system, "GET", "/read/b", callInterval * 5);
    BOOST_TEST(countStatus(calls, 200) == calls.size());
}

// Guards against a first engine that says how long it wants no requests, and gets streams all the same.
BOOST_AUTO_TEST_CASE(anEngineThatRequestedAPauseGetsNoStreams)
{
    RelaySystem system(twoChains());
    placeTwoChains(system);
    system.engines().requestPauses("engine-0", pauseText);
    const std::vector<RawCallPtr> calls = streamSteadily(system, pauseTime + milliseconds(500), "a-");
    const std::vector<TimePoint> &refusals = system.engines().pauseRequests("engine-0");
    BOOST_TEST(!refusals.empty());
    BOOST_TEST(mostInPause(refusals, refusals) == 0U);
    BOOST_TEST(countStatus(calls, 200) == calls.size());
    system.engines().requestPauses("engine-0", "");
    system.idle(pauseTime);
    const std::size_t before = system.engines().streamStarts("engine-0").size();
    streamSteadily(system, milliseconds(600), "b-");
    BOOST_TEST(system.engines().streamStarts("engine-0").size() > before);
}

BOOST_AUTO_TEST_SUITE_END()
