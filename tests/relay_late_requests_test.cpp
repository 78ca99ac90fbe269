// A planned stop of a relay while requests arrive that its targets do not answer before its end.
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;

namespace
{

constexpr milliseconds usualStopTimeout{4000};
constexpr milliseconds lateInterval{250}; ///< between two requests during the stop
constexpr milliseconds lateTime{2500};    ///< requests arrive for this long after the stop signal, as connections are accepted for it

/// A relay with a target that never answers, and engines that begin no stream.
struct StoppingSystem {
    RelaySystem system;
    bool isStopped = false;
    TimePoint stopStartedAt{};
    SystemClock clock;

    static RelaySystemOptions options(milliseconds stopTimeout)
    {
        RelaySystemOptions options;
        options.engines = 4;
        options.callTimeout = milliseconds(20000);
        options.streamTarget = milliseconds(20000);
        options.tuneRelay = [stopTimeout](RelaySettings &settings) {
            settings.stopTimeout = stopTimeout;
        };
        return options;
    }
    explicit StoppingSystem(milliseconds stopTimeout = usualStopTimeout)
        : system(options(stopTimeout))
    {
        system.addTarget("shop-1", [](const RawRequest &) {
            RawReply reply;
            reply.delay = std::chrono::hours(1);
            return reply;
        });
        system.waitPlaced();
        for (const std::string &engine : system.engineIds()) {
            system.engines().ignoreNewStreams(engine);
        }
    }
    /// A target that answers after `delay` takes the place of the silent one.
    void replaceSilentTarget(milliseconds delay)
    {
        system.unregister("shop-1");
        system.addTarget("shop-2", [delay](const RawRequest &request) {
            RawReply reply{StandIn::sealedAnswer(request, "fine")};
            reply.delay = delay;
            return reply;
        });
        system.wait("the change of targets", [this] {
            const std::string state = system.relay().dumpState();
            return state.find("\"shop-2\"") != std::string::npos && state.find("\"shop-1\"") == std::string::npos;
        });
    }
    void stop()
    {
        stopStartedAt = clock.now();
        system.relay().drain([this] {
            isStopped = true;
        });
    }
    /// Waits for the end of the stop; the process ends with it.
    milliseconds waitStopped()
    {
        system.wait("the end of the stop", [this] {
            return isStopped;
        });
        const auto duration = std::chrono::duration_cast<milliseconds>(clock.now() - stopStartedAt);
        system.stopRelay(0);
        system.idle(milliseconds(100));
        return duration;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayLateRequestsTest)

/// Guards against requests, also such as may not be repeated, that are passed on during a stop and cut without an answer at its end.
BOOST_AUTO_TEST_CASE(everyRequestHasAnAnswerWhenTheProcessEnds)
{
    StoppingSystem stopping;
    RelaySystem &system = stopping.system;
    std::vector<RawCallPtr> calls;
    const auto sendAll = [&](const std::string &suffix) {
        calls.push_back(system.call("POST", "/book/x", "book-" + suffix, "{}"));
        calls.push_back(system.call("GET", "/read/x", "read-" + suffix));
        calls.push_back(system.stream("stream-" + suffix));
        calls.push_back(system.unresumableStream("once-" + suffix));
    };
    sendAll("before");
    system.idle(milliseconds(300));
    stopping.stop();
    for (milliseconds late{0}; late < lateTime; late += lateInterval) {
        sendAll(std::to_string(late.count()));
        system.idle(lateInterval);
    }
    BOOST_TEST(stopping.waitStopped().count() < usualStopTimeout.count());
    for (const RawCallPtr &call : calls) {
        BOOST_TEST(call->hasCompleteResponse());
        BOOST_TEST(call->status() >= 502);
        BOOST_TEST(call->status() <= 504);
    }
}

/// Guards against requests that are closed without an answer because their last part does not come in time; none of them ran.
BOOST_AUTO_TEST_CASE(aRequestThatIsNotCompleteIsRefused)
{
    constexpr milliseconds stopTimeout{3000}; // ends before the time is up that a request has for its next part
    StoppingSystem stopping(stopTimeout);
    RelaySystem &system = stopping.system;
    stopping.stop();
    system.idle(milliseconds(2300));
    const std::string whole = system.request("POST", "/book/x", "half", "0123456789");
    const RawCallPtr withoutBody = system.send(whole.substr(0, whole.size() - 5));
    const RawCallPtr withoutHead = system.send(whole.substr(0, 30));
    BOOST_TEST(stopping.waitStopped().count() < stopTimeout.count());
    BOOST_TEST(withoutBody->status() == 503);
    BOOST_TEST(withoutBody->field("Retry-After") != "");
    BOOST_TEST(withoutHead->status() == 503);
}

/// Guards against requests that are cut while they are received, because nothing else was open.
BOOST_AUTO_TEST_CASE(aRequestThatIsCompletedLateIsServed)
{
    StoppingSystem stopping;
    RelaySystem &system = stopping.system;
    stopping.replaceSilentTarget(milliseconds(50));
    stopping.stop();
    system.idle(milliseconds(2400));
    const std::string whole = system.request("POST", "/book/x", "late", "0123456789");
    const RawCallPtr call = system.send(whole.substr(0, whole.size() - 5));
    system.idle(milliseconds(500)); // no connection is accepted any more
    call->connection->write(whole.substr(whole.size() - 5));
    stopping.waitStopped();
    BOOST_TEST(call->status() == 200);
}

/// Guards against a stop that ends requests which their target answers in time.
BOOST_AUTO_TEST_CASE(aLateRequestThatIsAnsweredInTimeIsServed)
{
    StoppingSystem stopping;
    RelaySystem &system = stopping.system;
    stopping.replaceSilentTarget(milliseconds(700));
    stopping.stop();
    system.idle(milliseconds(2300));
    const RawCallPtr call = system.call("POST", "/book/x", "late", "{}");
    stopping.waitStopped();
    BOOST_TEST(call->status() == 200);
    BOOST_TEST(call->body() == "fine");
}

BOOST_AUTO_TEST_SUITE_END()
