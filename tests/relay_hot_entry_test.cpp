// Relays of which one gets most new connections for a time.
#include "stand-ins/balancer.h"
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <ctime>
#include <thread>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::sealedAnswer;

namespace
{

constexpr std::size_t relays = 3;
constexpr double concentratedShare = 0.8;
constexpr milliseconds settleTime{3000};  ///< before the wave begins to be compared with
constexpr milliseconds beforeTime{2000};  ///< that the wave is compared with
constexpr milliseconds contactTime{3000}; ///< from this long after the wave's begin on, the rule holds
constexpr milliseconds waveTime{4000};    ///< after contactTime
constexpr double allowedShare = 0.75;     ///< of the first attempts that were served before

constexpr int fewDescriptors = 80;
constexpr int connectionsOfCallers = 60; ///< three quarters of them

/// Sends requests through a balancer, counting those whose first attempt was served.
class BalancedTraffic
{
public:
    using Send = std::function<RawCallPtr(std::size_t number, std::size_t relay)>;

    BalancedTraffic(RelaySystem &system, milliseconds interval, Send send)
        : m_system(system)
        , m_interval(interval)
        , m_send(std::move(send))
        , m_balancer(std::vector<StandIn::BalancedEntry>(relays, {"dc-1", true}), 5)
    {
    }

    StandIn::Balancer &balancer()
    {
        return m_balancer;
    }
    /// Share of the requests of the next `time` that were served at the first attempt.
    double servedShare(milliseconds time)
    {
        const std::vector<RawCallPtr> calls = m_system.startRepeatedly(m_interval, time, [this](std::size_t) {
            const std::size_t number = ++m_requests;
            return m_send(number, m_balancer.choose(number, "dc-1"));
        });
        return static_cast<double>(countStatus(calls, 200)) / static_cast<double>(calls.size());
    }

private:
    RelaySystem &m_system;
    milliseconds m_interval;
    Send m_send;
    StandIn::Balancer m_balancer;
    std::size_t m_requests = 0;
};

/// Checks the rule during a wave, and after the wave went on to another entry.
void checkWave(BalancedTraffic &traffic)
{
    traffic.servedShare(settleTime);
    const double before = traffic.servedShare(beforeTime);
    BOOST_TEST_REQUIRE(before > 0.5);
    traffic.balancer().concentrate(concentratedShare);
    traffic.servedShare(contactTime);
    BOOST_TEST(traffic.servedShare(waveTime) >= allowedShare * before);
    traffic.balancer().setIn(traffic.balancer().preferredEntry(), false);
    BOOST_TEST(traffic.servedShare(waveTime) >= allowedShare * before);
}

RelaySystemOptions threeRelays()
{
    RelaySystemOptions options;
    options.relays = relays;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayHotEntryTest)

/// Guards against shares of limits that stay with the entries which have no callers any more.
BOOST_AUTO_TEST_CASE(callsAreServedAsBeforeWhileMostComeToOneEntry)
{
    RelaySystem system(threeRelays());
    for (const char *id : {"t0", "t1", "t2"}) {
        system.addTarget(id, [](const RawRequest &request) {
            return RawReply{sealedAnswer(request, "fine", "HTTP/1.1 200 OK", "Server-Limit: 15\r\n")};
        });
    }
    system.waitReady();
    BalancedTraffic traffic(system, milliseconds(33), [&](std::size_t number, std::size_t relay) {
        return system.send(system.request("GET", "/read/x", "c-" + std::to_string(number)), relay);
    });
    checkWave(traffic);
}

/// Guards against retries that one entry lacks while its callers are those of all.
BOOST_AUTO_TEST_CASE(failedCallsAreRetriedAsBeforeWhileMostComeToOneEntry)
{
    RelaySystem system(threeRelays());
    std::size_t arrivals = 0;
    for (const char *id : {"t0", "t1", "t2"}) {
        system.addTarget(id, [&arrivals](const RawRequest &request) {
            RawReply reply{sealedAnswer(request, "fine")};
            reply.resets = ++arrivals % 8 == 0;
            reply.bytes = reply.resets ? std::string() : reply.bytes;
            return reply;
        });
    }
    system.waitReady();
    BalancedTraffic traffic(system, milliseconds(33), [&](std::size_t number, std::size_t relay) {
        return system.send(system.request("GET", "/read/x", "c-" + std::to_string(number)), relay);
    });
    checkWave(traffic);
}

/// Guards against the same at engines.
BOOST_AUTO_TEST_CASE(streamsAreServedAsBeforeWhileMostComeToOneEntry)
{
    RelaySystemOptions options = threeRelays();
    options.engines = 4;
    options.engineOptions.events = 8;
    RelaySystem system(options);
    system.waitReady();
    system.waitPlaced();
    BalancedTraffic traffic(system, milliseconds(40), [&](std::size_t number, std::size_t relay) {
        const std::string id = "s-" + std::to_string(number);
        return system.send(system.request("POST", "/chat/x", id, "question", "X-Model: m\r\nX-Token-Usage: 100,20\r\n"), relay);
    });
    checkWave(traffic);
}

/// Guards against an entry that reads more requests than it has processor time for, so that all that it serves is late.
BOOST_AUTO_TEST_CASE(connectionsAreClosedUnreadWhileTheProcessIsOverloaded)
{
    RelaySystemOptions options;
    options.relays = 1;
    options.engines = 4;
    options.engineOptions.events = 60;
    RelaySystem system(options);
    system.waitReady();
    system.waitPlaced();
    std::vector<RawCallPtr> open;
    open.reserve(5);
    for (int i = 0; i < 5; ++i) { // as many as the slots of the first engine allow
        open.push_back(system.stream("open-" + std::to_string(i)));
    }
    system.wait("streams", [&] {
        return std::all_of(open.begin(), open.end(), [](const RawCallPtr &call) {
            return !call->eventIds().empty();
        });
    });
    // Other work on the loop takes most of the time.
    Timer work(system.loop(), [] {
        std::this_thread::sleep_for(milliseconds(70));
    });
    work.startRepeating(milliseconds(80));
    system.idle(milliseconds(700));
    const RawCallPtr late = system.stream("late");
    system.wait("end of the connection", [&] {
        return late->isClosed;
    });
    BOOST_TEST(late->received.empty());
    work.stop();
    system.wait("open streams", [&] {
        return std::all_of(open.begin(), open.end(), [](const RawCallPtr &call) {
            return call->hasCompleteResponse();
        });
    });
    BOOST_TEST(countStatus(open, 200) == open.size());
    system.idle(milliseconds(300));
    const RawCallPtr afterwards = system.stream("afterwards");
    system.wait("answer", [&] {
        return afterwards->hasCompleteResponse() || afterwards->isClosed;
    });
    BOOST_TEST(afterwards->status() == 200);
}

/// Guards against connections that send nothing and take up the descriptors that the entry needs for others.
BOOST_AUTO_TEST_CASE(silentConnectionsDoNotKeepCallersOut)
{
    RelaySystemOptions options;
    options.tuneRelay = [](RelaySettings &settings) {
        settings.maxDescriptors = fewDescriptors;
    };
    RelaySystem system(options);
    system.addTarget("t0", [](const RawRequest &request) {
        RawReply reply{sealedAnswer(request, "fine")};
        reply.delay = request.head.find("/slow ") != std::string::npos ? milliseconds(700) : milliseconds(0);
        return reply;
    });
    system.waitReady();
    const auto answer = [&](const std::string &path, const std::string &id) {
        const RawCallPtr call = system.call("GET", path, id);
        system.wait("answer", [&] {
            return call->hasCompleteResponse() || call->isClosed;
        });
        return call;
    };
    const RawCallPtr kept = answer("/read/kept", "kept");
    const RawCallPtr slow = system.call("GET", "/read/slow", "slow");
    std::vector<RawCallPtr> silent;
    for (int i = 0; i < 4 * connectionsOfCallers; ++i) {
        silent.push_back(system.send(""));
        system.idle(milliseconds(1));
    }
    system.idle(milliseconds(50));
    const auto closed = std::count_if(silent.begin(), silent.end(), [](const RawCallPtr &call) {
        return call->isClosed;
    });
    BOOST_TEST(static_cast<int>(silent.size()) - closed <= connectionsOfCallers);
    BOOST_TEST(answer("/read/x", "new")->status() == 200);
    // Those that have used their connection keep it longer than those that have not, and a request that runs is never broken off.
    BOOST_TEST(!kept->isClosed);
    system.wait("slow answer", [&] {
        return slow->hasCompleteResponse() || slow->isClosed;
    });
    BOOST_TEST(slow->status() == 200);
}

/// Guards against an entry without free descriptors that does nothing but try to accept a connection.
BOOST_AUTO_TEST_CASE(acceptIsNotRepeatedAtOnceWithoutFreeDescriptors)
{
    RelaySystem system;
    system.addTarget("t0", [](const RawRequest &request) {
        return RawReply{sealedAnswer(request, "fine")};
    });
    system.waitReady();
    const RawCallPtr call = system.call("GET", "/read/x", "c-1");
    rlimit usual{};
    BOOST_TEST_REQUIRE(getrlimit(RLIMIT_NOFILE, &usual) == 0);
    const rlimit none{3, usual.rlim_max};
    BOOST_TEST_REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    const std::clock_t usedBefore = std::clock();
    system.idle(milliseconds(600));
    const double usedSeconds = static_cast<double>(std::clock() - usedBefore) / CLOCKS_PER_SEC;
    BOOST_TEST_REQUIRE(setrlimit(RLIMIT_NOFILE, &usual) == 0);
    BOOST_TEST(usedSeconds < 0.3);
    system.wait("answer", [&] {
        return call->hasCompleteResponse() || call->isClosed;
    });
    BOOST_TEST(call->status() == 200);
}

BOOST_AUTO_TEST_SUITE_END()
