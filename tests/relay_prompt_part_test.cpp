// Parts of prompts that crash the engines that begin to answer them, in requests of which no two are alike.
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;

namespace
{

/// From this long after the fifth crash on, the platform allows allowedArrivals further requests with the part at engines in all.
constexpr milliseconds contactTime{3000};
constexpr std::ptrdiff_t allowedArrivals = 3;
constexpr std::size_t countedCrashes = 5;
constexpr std::size_t soundRequestsBefore = 50; ///< a second of traffic without the part
constexpr milliseconds downTime{600};           ///< until a crashed engine is started again

/// Without a run for so long, a relay does not rule out any more that an engine crashes because of a part that ran well.
constexpr milliseconds noRunTime{2500};

/// Sends a request whose prompt has the shared parts and a last one of its own.
RawCallPtr sendPrompt(RelaySystem &system, const std::string &sharedParts, int number, std::size_t relay)
{
    const std::string text = std::to_string(number);
    const std::string fields = "X-Model: m\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: " + sharedParts + ",own" + text + ":60\r\n";
    return system.send(system.request("POST", "/chat/x", "p-" + text, "question " + text, fields), relay);
}

/// Crashes the engine that a request with these parts is sent to, as soon as it has it.
void crashEngineOf(RelaySystem &system, const std::string &sharedParts, int number)
{
    std::map<std::string, std::size_t> before;
    for (const std::string &id : system.engineIds()) {
        before[id] = system.engines().streamStarts(id).size();
    }
    const RawCallPtr call = sendPrompt(system, sharedParts, number, 0);
    std::string first;
    system.wait("arrival", [&] {
        for (const auto &[id, starts] : before) {
            first = system.engines().streamStarts(id).size() > starts ? id : first;
        }
        return !first.empty();
    });
    system.engines().crash(first);
    system.wait("end", [&] {
        return call->hasCompleteResponse() || call->isClosed;
    });
}

/// What requests with the part share beside it.
enum class SharedParts {
    None, ///< each has another first part, as some sound requests do
    First ///< all have the same first part, as many sound requests do
};

RelaySystemOptions options()
{
    RelaySystemOptions options;
    options.relays = 3;
    options.engines = 8;
    options.engineOptions.events = 12;
    options.engineOptions.eventInterval = milliseconds(20);
    return options;
}

/// Streams with and without the part, sent steadily through all relays in turn.
class PromptTraffic
{
public:
    PromptTraffic(RelaySystem &system, SharedParts shared)
        : m_system(system)
        , m_shared(shared)
    {
        system.waitReady();
        system.waitPlaced();
        system.superviseEngines(downTime);
        system.engines().crashOnPromptPart("bad");
    }

    /// Sends a sound request each 20 ms, and with each sixth one a request that has the part and the same first part.
    void run(milliseconds time)
    {
        std::size_t next = 0;
        Timer timer(m_system.loop(), [&] {
            const std::size_t i = next++;
            if (i % 6 == 0 && i >= soundRequestsBefore) {
                m_crashing.push_back(send(firstPart(i) + ",bad:200", i / 6 % 3));
            }
            m_sound.push_back({std::chrono::steady_clock::now(), send(firstPart(i), i % 3)});
        });
        timer.startRepeating(milliseconds(20));
        m_system.idle(time);
        timer.stop();
        m_system.wait("answers", [this] {
            return std::all_of(m_sound.begin(), m_sound.end(), [](const SoundRequest &request) {
                return request.call->hasCompleteResponse() || request.call->isClosed;
            });
        });
    }

    /// Requests with the part that reached engines later than contactTime after the fifth crash, or the last if there were fewer.
    std::ptrdiff_t arrivalsAfterContactTime() const
    {
        const TimePoint from = lastCountedCrash() + contactTime;
        const std::vector<TimePoint> &arrivals = m_system.engines().arrivalsOfCrashingPart();
        return std::count_if(arrivals.begin(), arrivals.end(), [from](TimePoint at) {
            return at > from;
        });
    }

    /// Share of the sound requests that were served, of those sent later than twice contactTime after that crash.
    double servedShareAfterwards() const
    {
        const TimePoint from = lastCountedCrash() + 2 * contactTime;
        int sent = 0;
        int served = 0;
        for (const SoundRequest &request : m_sound) {
            if (request.sentAt > from) {
                ++sent;
                served += request.call->status() == 200 ? 1 : 0;
            }
        }
        BOOST_TEST_REQUIRE(sent >= 20);
        return static_cast<double>(served) / sent;
    }

private:
    struct SoundRequest {
        TimePoint sentAt{};
        RawCallPtr call;
    };

    std::string firstPart(std::size_t i) const
    {
        return "f" + std::to_string(m_shared == SharedParts::First ? 0 : i % 20) + ":40";
    }
    RawCallPtr send(const std::string &sharedParts, std::size_t relay)
    {
        return sendPrompt(m_system, sharedParts, ++m_requests, relay);
    }
    TimePoint lastCountedCrash() const
    {
        const std::vector<TimePoint> &crashes = m_system.engines().crashesByPromptPart();
        BOOST_TEST_REQUIRE(!crashes.empty());
        return crashes[std::min(crashes.size(), countedCrashes) - 1];
    }

    RelaySystem &m_system;
    SharedParts m_shared;
    std::vector<SoundRequest> m_sound;
    std::vector<RawCallPtr> m_crashing; ///< requests with the part; keeps their connections open
    int m_requests = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayPromptPartTest)

/// Guards against a part of prompts that crashes engine after engine, because no two of the requests that hold it are alike.
BOOST_AUTO_TEST_CASE(requestsWithAPartThatCrashesEnginesAreRefused)
{
    RelaySystem system(options());
    PromptTraffic traffic(system, SharedParts::None);
    traffic.run(milliseconds(10000));
    BOOST_TEST(traffic.arrivalsAfterContactTime() <= allowedArrivals);
}

/// Guards against refusing sound requests for a first part that they share with all requests that crash engines.
BOOST_AUTO_TEST_CASE(soundRequestsThatShareTheFirstPartAreServed)
{
    RelaySystem system(options());
    PromptTraffic traffic(system, SharedParts::First);
    traffic.run(milliseconds(10000));
    BOOST_TEST(traffic.arrivalsAfterContactTime() <= allowedArrivals);
    BOOST_TEST(traffic.servedShareAfterwards() >= 0.9);
}

/// Guards against refusing all requests with a first part that most share after one more engine crashed, for another reason.
BOOST_AUTO_TEST_CASE(soundRequestsAreServedAfterACrashBesideThoseOfThePart)
{
    RelaySystem system(options());
    system.waitReady();
    system.waitPlaced();
    system.superviseEngines(downTime);
    system.engines().crashOnPromptPart("bad");
    int requests = 0;
    const auto run = [&](const std::string &parts, std::size_t relay) {
        const RawCallPtr call = sendPrompt(system, parts, ++requests, relay);
        system.wait("end", [&] {
            return call->hasCompleteResponse() || call->isClosed;
        });
        return call->status();
    };
    for (std::size_t relay = 0; relay < 3; ++relay) {
        BOOST_TEST_REQUIRE(run("f0:40", relay) == 200);
    }
    system.idle(noRunTime);
    for (std::size_t i = 0; system.engines().crashesByPromptPart().size() < 3 && i < 10; ++i) {
        run("f0:40,bad:200", i % 3);
        system.idle(downTime + milliseconds(300));
    }
    BOOST_TEST_REQUIRE(system.engines().crashesByPromptPart().size() >= 3);
    system.waitPlaced();
    crashEngineOf(system, "f0:40", ++requests);
    system.idle(downTime + milliseconds(300));
    system.waitPlaced();
    int served = 0;
    for (std::size_t i = 0; i < 12; ++i) {
        served += run("f0:40", i % 3) == 200 ? 1 : 0;
    }
    BOOST_TEST(served == 12);
    const std::size_t arrivals = system.engines().arrivalsOfCrashingPart().size();
    for (std::size_t i = 0; i < 6; ++i) {
        run("f" + std::to_string(i) + ":40,bad:200", i % 3);
    }
    BOOST_TEST(system.engines().arrivalsOfCrashingPart().size() == arrivals);
}

/// Guards against forgetting such parts when all relays restart at once.
BOOST_AUTO_TEST_CASE(partsThatCrashEnginesStayRefusedAfterARestartOfAllRelays)
{
    RelaySystem system(options());
    PromptTraffic traffic(system, SharedParts::None);
    traffic.run(milliseconds(4000));
    for (std::size_t i = 0; i < 3; ++i) {
        system.stopRelay(i);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        system.startRelay(i);
    }
    system.waitReady();
    traffic.run(milliseconds(3000));
    BOOST_TEST(traffic.arrivalsAfterContactTime() <= allowedArrivals);
}

BOOST_AUTO_TEST_SUITE_END()
