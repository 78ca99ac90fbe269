// Streams of different priorities lose an engine together: which continue first, and which get the retry budget.
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;

namespace
{

constexpr std::size_t urgentStreams = 6;
constexpr std::size_t lessUrgentStreams = 12;
constexpr int events = 60;

RelaySystemOptions withPriorities()
{
    RelaySystemOptions options;
    options.engines = 3;
    options.engineOptions.events = events;
    options.engineOptions.eventInterval = milliseconds(20);
    options.engineOptions.stallTimeout = milliseconds(5000);
    options.hasPriorities = true;
    options.slots = 100;
    return options;
}

/// A chain of engine-0 and engine-1, and engine-2, which holds the same layers as `replaced` and takes no streams yet.
void placeChainAndSpare(RelaySystem &system, const std::string &replaced)
{
    const std::vector<LayerRange> held = {{0, 4}, {4, 8}, replaced == "engine-0" ? LayerRange{0, 4} : LayerRange{4, 8}};
    for (int i = 0; i < 3; ++i) {
        const std::string id = "engine-" + std::to_string(i);
        system.engines().setLayers(id, held[i]);
        system.registerEngine(id);
    }
    system.waitReady();
    system.waitPlaced();
    system.registerEngine("engine-2", "draining");
    system.waitState("\"isDraining\": true");
}

bool isUrgent(const std::string &id)
{
    return id.starts_with("urgent");
}

/// Streams of two priorities, the less urgent ones first, and each with some events.
struct MixedStreams {
    std::vector<RawCallPtr> urgent;
    std::vector<RawCallPtr> lessUrgent;
};

MixedStreams startStreams(RelaySystem &system)
{
    MixedStreams streams;
    for (std::size_t i = 0; i < lessUrgentStreams; ++i) {
        streams.lessUrgent.push_back(system.lessUrgentStream("batch-" + std::to_string(i)));
    }
    for (std::size_t i = 0; i < urgentStreams; ++i) {
        streams.urgent.push_back(system.stream("urgent-" + std::to_string(i)));
    }
    const auto hasBegun = [](const RawCallPtr &call) {
        return call->eventIds().size() >= 10;
    };
    system.wait("some events", [&] {
        return std::all_of(streams.urgent.begin(), streams.urgent.end(), hasBegun)
               && std::all_of(streams.lessUrgent.begin(), streams.lessUrgent.end(), hasBegun);
    });
    system.registerEngine("engine-2");
    system.wait("engine-2 takes streams", [&] {
        return system.relay().dumpState().find("\"isDraining\": true") == std::string::npos;
    });
    return streams;
}

void waitForEnd(RelaySystem &system, const std::vector<RawCallPtr> &calls)
{
    system.wait("answers", [&] {
        return std::all_of(calls.begin(), calls.end(), [](const RawCallPtr &call) {
            return call->hasCompleteResponse() || call->isClosed;
        });
    });
}

std::size_t countComplete(const std::vector<RawCallPtr> &calls)
{
    return std::count_if(calls.begin(), calls.end(), [](const RawCallPtr &call) {
        return call->hasCompleteResponse() && call->eventIds().size() == events;
    });
}

nlohmann::json recoveryOf(RelaySystem &system)
{
    return nlohmann::json::parse(system.relay().dumpState())["recovery"];
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayRecoveryTest)

// Guards against urgent streams that are late because less urgent ones, which began earlier, are moved before them.
BOOST_AUTO_TEST_CASE(whenALaterEngineIsLostTheUrgentStreamsContinueFirst)
{
    RelaySystemOptions options = withPriorities();
    options.engineOptions.prefillTime = milliseconds(15);
    options.prefillTokensPerMs = 100.0 / 2 / 15; // 100 tokens through half of the layers
    RelaySystem system(options);
    placeChainAndSpare(system, "engine-1");
    const MixedStreams streams = startStreams(system);
    system.engines().makeUnresponsive("engine-1");
    system.wait("all moved", [&] {
        return system.engines().movedIds().size() >= urgentStreams + lessUrgentStreams;
    });
    const std::vector<std::string> &moved = system.engines().movedIds();
    BOOST_TEST(std::count_if(moved.begin(), moved.begin() + urgentStreams, isUrgent) == static_cast<std::ptrdiff_t>(urgentStreams));
    // 18 streams take 270 ms, more than the target gap of 250 ms leaves after the loss was detected.
    BOOST_TEST(recoveryOf(system)["giveWays"].get<int>() > 0);
    waitForEnd(system, streams.urgent);
    waitForEnd(system, streams.lessUrgent);
    BOOST_TEST(countComplete(streams.urgent) == urgentStreams);
    BOOST_TEST(countComplete(streams.lessUrgent) == lessUrgentStreams);
    BOOST_TEST(system.engines().startedStreams() == static_cast<int>(urgentStreams + lessUrgentStreams));
}

// Guards against streams that give way until their callers disconnect, because the forecast is wrong: it expects ten times the time
// that streams may pause.
BOOST_AUTO_TEST_CASE(streamsThatGiveWayAreMovedInTimeIfTheForecastIsWrong)
{
    RelaySystemOptions options = withPriorities();
    options.prefillTokensPerMs = 100.0 / 2 / 2500;
    RelaySystem system(options);
    placeChainAndSpare(system, "engine-1");
    const MixedStreams streams = startStreams(system);
    const TimePoint lostAt = std::chrono::steady_clock::now();
    system.engines().makeUnresponsive("engine-1");
    system.wait("streams give way", [&] {
        return !recoveryOf(system)["givingWay"].empty();
    });
    system.wait("all moved", [&] {
        return system.engines().movedIds().size() >= urgentStreams + lessUrgentStreams;
    });
    BOOST_TEST((std::chrono::steady_clock::now() - lostAt < milliseconds(1200)));
    waitForEnd(system, streams.urgent);
    waitForEnd(system, streams.lessUrgent);
    BOOST_TEST(countComplete(streams.urgent) + countComplete(streams.lessUrgent) == urgentStreams + lessUrgentStreams);
    BOOST_TEST(recoveryOf(system)["givingWay"].empty());
}

// Guards against a retry budget that is spent on the streams whose connections happen to close first.
BOOST_AUTO_TEST_CASE(whenTheFirstEngineIsLostTheUrgentStreamsGetTheRetryBudget)
{
    RelaySystemOptions options = withPriorities();
    options.tuneRelay = [](RelaySettings &settings) {
        settings.retryShare = 0;
        settings.retryBurst = 10; // of which 8 are used; 4 are left to urgent streams
        settings.retryWindow = milliseconds(1000);
    };
    RelaySystem system(options);
    placeChainAndSpare(system, "engine-0");
    system.idle(milliseconds(2200)); // the share of the burst is granted after retryWindow
    const MixedStreams streams = startStreams(system);
    system.engines().crash("engine-0");
    waitForEnd(system, streams.urgent);
    waitForEnd(system, streams.lessUrgent);
    BOOST_TEST(countComplete(streams.urgent) == urgentStreams);
    const std::vector<std::string> &started = system.engines().startedIds();
    const std::size_t first = urgentStreams + lessUrgentStreams;
    BOOST_REQUIRE(started.size() >= first + urgentStreams);
    const auto restarted = started.begin() + static_cast<std::ptrdiff_t>(first);
    BOOST_TEST(std::count_if(restarted, restarted + urgentStreams, isUrgent) == static_cast<std::ptrdiff_t>(urgentStreams));
    // The others end at once, so that their callers can resume them elsewhere, and the last half of the budget stays for urgent ones.
    BOOST_TEST(countComplete(streams.lessUrgent) == 0U);
    BOOST_TEST(started.size() == first + urgentStreams);
    BOOST_TEST(recoveryOf(system)["retriesLeft"].get<std::size_t>() == lessUrgentStreams);
}

// Guards against engines that get the priority which a caller claims, or none. They get its rank among those configured.
BOOST_AUTO_TEST_CASE(enginesGetThePriorityOfTheRoute)
{
    RelaySystem system(withPriorities());
    placeChainAndSpare(system, "engine-1");
    const std::vector<RawCallPtr> calls = {system.stream("s-1"), system.lessUrgentStream("s-2", "X-Request-Priority: 0\r\n")};
    waitForEnd(system, calls);
    BOOST_TEST(system.engines().requestPriority("s-1") == "0");
    BOOST_TEST(system.engines().requestPriority("s-2") == "1");
}

BOOST_AUTO_TEST_CASE(withoutPrioritiesInTheConfigurationEnginesGetNone)
{
    RelaySystemOptions options = withPriorities();
    options.hasPriorities = false;
    RelaySystem system(options);
    placeChainAndSpare(system, "engine-1");
    const std::vector<RawCallPtr> calls = {system.stream("s-1", "X-Request-Priority: 0\r\n")};
    waitForEnd(system, calls);
    BOOST_TEST(countComplete(calls) == 1U);
    BOOST_TEST(system.engines().requestPriority("s-1") == "");
}

BOOST_AUTO_TEST_SUITE_END()
