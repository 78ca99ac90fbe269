// The relay's queue: a stream that finds no room waits for a short time where priorities differ, and is refused at once if that is in vain.
#include "http/client.h"
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <optional>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;

namespace
{

constexpr int largePrompt = 3000; ///< tokens; the two engines have KV cache for three such streams

/// Two engines that hold half of the model each, and two routes of which /talk/ is the more urgent.
struct FullSystem {
    explicit FullSystem(int talkPriority = 0)
        : system(options(talkPriority))
    {
        system.engines().setLayers("engine-0", {0, 4});
        system.engines().setLayers("engine-1", {4, 8});
        system.registerEngine("engine-0");
        system.registerEngine("engine-1");
        system.waitReady();
        system.waitPlaced();
    }

    static RelaySystemOptions options(int talkPriority)
    {
        RelaySystemOptions options;
        options.engines = 2;
        options.engineOptions.layers = 8;
        options.engineOptions.events = 200;
        options.engineOptions.eventInterval = milliseconds(20);
        options.talkPriority = talkPriority;
        options.streamTarget = milliseconds(1500);
        options.tuneRelay = [](RelaySettings &settings) {
            settings.metricsPort = settings.peerPort + 1;
        };
        return options;
    }

    /// Streams that end soon, some ten a second, so that the relay observes a rate of ends.
    void observeEnds()
    {
        system.startRepeatedly(milliseconds(50), milliseconds(1500), [this](std::size_t number) {
            return system.stream("short-" + std::to_string(number), "Last-Event-Id: 198\r\n");
        });
    }
    /// Fills the KV cache with three streams.
    void fill()
    {
        for (int i = 0; i < 3; ++i) {
            fillers.push_back(system.sizedStream("/chat/x", "filler-" + std::to_string(i), largePrompt));
        }
        system.wait("fillers have begun", [this] {
            return std::all_of(fillers.begin(), fillers.end(), [](const RawCallPtr &call) {
                return !call->eventIds().empty();
            });
        });
        started = system.engines().startedStreams();
    }
    void endFiller()
    {
        fillers.back()->connection->close();
        fillers.pop_back();
    }
    std::size_t waiting()
    {
        const auto state = nlohmann::json::parse(system.relay().dumpState());
        return state["streamQueues"].value("chat", nlohmann::json::object()).value("waiting", std::size_t(0));
    }
    void waitForQueue(std::size_t length)
    {
        system.wait("length of the queue", [&] {
            return waiting() == length;
        });
    }

    std::string metrics()
    {
        // Derived from the process id, as RelaySystem does for peerPort.
        const auto port = static_cast<std::uint16_t>(10000 + getpid() % 10000 * 2 + 1);
        HttpClient client(system.loop());
        HttpClientRequest request;
        request.path = "/metrics";
        std::optional<HttpResult> result;
        client.fetch({"127.0.0.10", port}, std::move(request), [&result](const HttpResult &answer) {
            result = answer;
        });
        system.wait("metrics", [&result] {
            return result.has_value();
        });
        return result->body;
    }

    RelaySystem system;
    std::vector<RawCallPtr> fillers;
    int started = 0; ///< streams that engines had started when the KV cache was full
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayStreamQueueTest)

BOOST_AUTO_TEST_CASE(withAFullKvCacheTheUrgentStreamGetsTheRoomOfTheNextOneThatEnds)
{
    FullSystem full;
    full.observeEnds();
    full.fill();
    const RawCallPtr later = full.system.sizedStream("/chat/x", "later", largePrompt);
    full.waitForQueue(1);
    const RawCallPtr urgent = full.system.sizedStream("/talk/x", "urgent", largePrompt);
    full.waitForQueue(2);
    full.system.idle(milliseconds(100));
    BOOST_TEST(full.system.engines().startedStreams() == full.started);
    full.endFiller();
    full.system.wait("the urgent stream", [&] {
        return !urgent->eventIds().empty();
    });
    BOOST_TEST(urgent->status() == 200);
    BOOST_TEST(later->status() == 0);
    BOOST_TEST(full.waiting() == 1u);
    // No other stream ends: the less urgent one is told in time that it has not run.
    full.system.wait("the refusal of the other", [&] {
        return later->hasCompleteResponse();
    });
    BOOST_TEST(later->status() == 503);
    BOOST_TEST(!later->field("Retry-After").empty());
    full.endFiller();
    full.system.idle(milliseconds(100));
    BOOST_TEST(full.system.engines().startedStreams() == full.started + 1);
    const std::string metrics = full.metrics();
    for (const char *line :
         {"streams_waited_p0_total 1\n", "streams_waited_p1_total 1\n", "streams_started_after_wait_p0_total 1\n", "streams_started_after_wait_p1_total 0\n",
          "streams_refused_for_room_p0_total 0\n", "streams_refused_for_room_p1_total 1\n", "streams_waiting_p0 0\n", "streams_waiting_p1 0\n"}) {
        BOOST_TEST(metrics.find(std::string("parsley_relay_") + line) != std::string::npos, line);
    }
}

// Guards against a stream that arrives just as room appears and takes it from one that waits.
BOOST_AUTO_TEST_CASE(aNewStreamDoesNotPassAWaitingOneOfTheSameUrgency)
{
    FullSystem full;
    full.observeEnds();
    full.fill();
    const RawCallPtr first = full.system.sizedStream("/talk/x", "first", largePrompt);
    full.waitForQueue(1);
    // There is room for a small stream, but not for the one that waits.
    const RawCallPtr small = full.system.sizedStream("/talk/x", "small", 10);
    full.waitForQueue(2);
    full.endFiller();
    full.system.wait("both streams", [&] {
        return !first->eventIds().empty() && !small->eventIds().empty();
    });
    BOOST_TEST(first->status() == 200);
    BOOST_TEST(small->status() == 200);
}

BOOST_AUTO_TEST_CASE(withAFullKvCacheAndNoEndsObservedAStreamIsRefusedAtOnce)
{
    FullSystem full;
    full.fill();
    const RawCallPtr call = full.system.sizedStream("/talk/x", "urgent", largePrompt);
    const TimePoint sentAt = SystemClock().now();
    full.system.wait("refusal", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 503);
    BOOST_TEST(std::stod(call->field("Retry-After")) >= 1.2);
    BOOST_TEST((SystemClock().now() - sentAt < milliseconds(500)));
    BOOST_TEST(full.system.engines().startedStreams() == full.started);
}

// Guards against a wait where the configuration does not call for one.
BOOST_AUTO_TEST_CASE(whereRoutesHaveEqualPrioritiesAStreamWithoutRoomIsRefusedAtOnce)
{
    FullSystem full(1);
    full.observeEnds();
    full.fill();
    const RawCallPtr call = full.system.sizedStream("/talk/x", "equal", largePrompt);
    const TimePoint sentAt = SystemClock().now();
    full.system.wait("refusal", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 503);
    BOOST_TEST((SystemClock().now() - sentAt < milliseconds(500)));
}

// Guards against sending a request whose caller left while it waited.
BOOST_AUTO_TEST_CASE(aCallerThatDisconnectsWhileItWaitsLeavesTheQueue)
{
    FullSystem full;
    full.observeEnds();
    full.fill();
    const RawCallPtr call = full.system.sizedStream("/talk/x", "gone", largePrompt);
    full.waitForQueue(1);
    call->connection->close();
    full.waitForQueue(0);
    full.endFiller();
    full.system.idle(milliseconds(100));
    BOOST_TEST(full.system.engines().startedStreams() == full.started);
}

// Guards against a stream that is refused by a stopping relay and sent afterwards all the same.
BOOST_AUTO_TEST_CASE(aRelayThatDrainsRefusesWaitingStreamsAndSendsThemNowhere)
{
    FullSystem full;
    full.observeEnds();
    full.fill();
    const RawCallPtr call = full.system.sizedStream("/talk/x", "waits", largePrompt);
    full.waitForQueue(1);
    full.system.relay().drain([] {});
    full.system.wait("refusal", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 503);
    BOOST_TEST(full.waiting() == 0u);
    full.endFiller();
    full.system.idle(milliseconds(100));
    BOOST_TEST(full.system.engines().startedStreams() == full.started);
}

// Guards against a relay that is destroyed while streams wait and calls them afterwards.
BOOST_AUTO_TEST_CASE(aRelayThatDiesWithWaitingStreamsRunsNoneOfThem)
{
    FullSystem full;
    full.observeEnds();
    full.fill();
    const RawCallPtr call = full.system.sizedStream("/talk/x", "waits", largePrompt);
    full.waitForQueue(1);
    full.system.stopRelay(0);
    full.system.wait("connection closed", [&] {
        return call->isClosed;
    });
    full.system.idle(milliseconds(100));
    BOOST_TEST(full.system.engines().startedStreams() == full.started);
}

BOOST_AUTO_TEST_SUITE_END()
