// Requests that crash the targets that run them, sent again and again through several relays.
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::sealedAnswer;

namespace
{

/// From this long after the third crash on, the platform allows allowedRunsAfterwards further runs of the request in all.
constexpr milliseconds contactTime{3000};
constexpr int allowedRunsAfterwards = 3;
constexpr milliseconds runTime{40};                   ///< time from the arrival of a request to its answer, or to the crash
constexpr const char *repeatablePath = "/read/crash"; ///< requests for either path crash the target
constexpr const char *singleRunPath = "/book/crash";

/// Targets that crash on requests for the two paths, and answer all others.
class CrashableService
{
public:
    explicit CrashableService(RelaySystem &system, std::size_t targets = 3)
        : m_system(system)
    {
        for (std::size_t i = 0; i < targets; ++i) {
            m_targets.push_back(&system.addTarget(idOf(i), [this](const RawRequest &request) {
                return answer(request);
            }));
        }
        system.waitReady();
    }

    int crashes() const
    {
        return m_crashes;
    }

    /// Starts crashed targets again. Their registry entries stay as they are, as long as nothing writes there for them.
    void restartCrashedUnnoticed()
    {
        for (StandIn::RawTarget *target : m_targets) {
            if (target->isCrashed()) {
                target->restart();
            }
        }
        m_system.idle(milliseconds(300));
    }

    /// Starts crashed targets again, each under a new id, and waits until the relays know them.
    void restartCrashed()
    {
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            if (!m_targets[i]->isCrashed()) {
                continue;
            }
            m_system.unregister(idOf(i));
            ++m_starts;
            m_targets[i]->restart();
            m_system.registerTarget(idOf(i), "shop", m_targets[i]->address());
        }
        m_system.idle(milliseconds(300));
    }

private:
    std::string idOf(std::size_t index) const
    {
        return "t" + std::to_string(index) + "-" + std::to_string(m_starts);
    }
    RawReply answer(const RawRequest &request)
    {
        RawReply reply{sealedAnswer(request, "fine")};
        reply.delay = runTime;
        if (request.head.find("/crash ") != std::string::npos) {
            ++m_crashes;
            reply.crashes = true;
        }
        return reply;
    }

    RelaySystem &m_system;
    std::vector<StandIn::RawTarget *> m_targets;
    int m_starts = 0;
    int m_crashes = 0; ///< runs of the crashing request
};

int statusOf(RelaySystem &system, const std::string &method, const std::string &path, const std::string &id, std::size_t relay)
{
    const std::string body = method == "POST" ? "seat 4" : "";
    const RawCallPtr call = system.send(system.request(method, path, id, body), relay);
    system.wait("answer", [&] {
        return call->hasCompleteResponse() || call->isClosed;
    });
    return call->status();
}

/// Sends the request through the relays in turn until it has crashed three targets.
void crashThree(RelaySystem &system, CrashableService &service, const std::string &method, const std::string &path, std::size_t relays)
{
    for (std::size_t i = 0; service.crashes() < 3 && i < 40; ++i) {
        statusOf(system, method, path, "first-" + std::to_string(i), i % relays);
        service.restartCrashed();
    }
    BOOST_TEST_REQUIRE(service.crashes() >= 3);
}

/// Runs of the crashing request from contactTime after the third crash on.
int runsAfterwards(RelaySystem &system, CrashableService &service, const std::string &method, const std::string &path, std::size_t relays)
{
    const int before = service.crashes();
    for (std::size_t i = 0; i < 8; ++i) {
        statusOf(system, method, path, "again-" + std::to_string(i), i % relays);
        service.restartCrashed();
    }
    return service.crashes() - before;
}

RelaySystemOptions manyRelays(int relays)
{
    RelaySystemOptions options;
    options.relays = relays;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayCrashTest)

/// Guards against a request that crashes a whole service each time that its caller sends it again, through whichever relay.
BOOST_AUTO_TEST_CASE(aRepeatableRequestThatCrashesTargetsIsRefusedByAllRelays)
{
    RelaySystem system(manyRelays(3));
    CrashableService service(system);
    crashThree(system, service, "GET", repeatablePath, 3);
    system.idle(contactTime);
    BOOST_TEST(runsAfterwards(system, service, "GET", repeatablePath, 3) <= allowedRunsAfterwards);
    BOOST_TEST(statusOf(system, "GET", "/read/x", "harmless", 0) == 200);
}

/// Guards against the same with a request that is sent to one target at a time, so that each relay sees only some of the crashes.
BOOST_AUTO_TEST_CASE(aRequestThatMayRunOnceIsRefusedAfterCrashesSeenByDifferentRelays)
{
    RelaySystem system(manyRelays(3));
    CrashableService service(system);
    crashThree(system, service, "POST", singleRunPath, 3);
    system.idle(contactTime);
    BOOST_TEST(runsAfterwards(system, service, "POST", singleRunPath, 3) <= allowedRunsAfterwards);
}

/// Guards against crashes that count as one because the registry does not show yet that the target was started again in between.
BOOST_AUTO_TEST_CASE(crashesOfTargetsThatRestartUnnoticedCountEach)
{
    RelaySystem system(manyRelays(3));
    CrashableService service(system, 1);
    int runs = 0;
    for (std::size_t i = 0; i < 16; ++i) {
        statusOf(system, "POST", singleRunPath, "again-" + std::to_string(i), i % 3);
        service.restartCrashedUnnoticed();
        runs = service.crashes();
    }
    BOOST_TEST(runs >= 3);
    BOOST_TEST(runs <= 3 + allowedRunsAfterwards);
}

/// Guards against forgetting such requests when all relays restart at once.
BOOST_AUTO_TEST_CASE(aRequestThatCrashesTargetsStaysRefusedAfterARestartOfAllRelays)
{
    RelaySystem system(manyRelays(2));
    CrashableService service(system);
    crashThree(system, service, "GET", repeatablePath, 2);
    system.idle(contactTime);
    for (std::size_t i = 0; i < 2; ++i) {
        system.stopRelay(i);
    }
    for (std::size_t i = 0; i < 2; ++i) {
        system.startRelay(i);
    }
    system.waitReady();
    BOOST_TEST(runsAfterwards(system, service, "GET", repeatablePath, 2) <= allowedRunsAfterwards);
}

/// Guards against relays that don't learn of crashes while no datagram passes between them.
BOOST_AUTO_TEST_CASE(relaysThatDoNotHearEachOtherLearnOfCrashesFromTheStore)
{
    RelaySystemOptions options = manyRelays(2);
    options.tuneRelay = [](RelaySettings &settings) {
        settings.peerPort += settings.id == "entry-1" ? 1 : 0;
    };
    RelaySystem system(options);
    CrashableService service(system);
    crashThree(system, service, "POST", singleRunPath, 2);
    system.idle(contactTime);
    BOOST_TEST(runsAfterwards(system, service, "POST", singleRunPath, 2) <= allowedRunsAfterwards);
}

/// Guards against refusing requests that were only open at the same targets as one that crashes them.
BOOST_AUTO_TEST_CASE(requestsBesideOneThatCrashesTargetsAreServed)
{
    RelaySystem system(manyRelays(2));
    CrashableService service(system);
    for (int round = 0; round < 6; ++round) {
        const std::string number = std::to_string(round);
        const RawCallPtr crashing = system.send(system.request("GET", repeatablePath, "crash-" + number));
        const RawCallPtr beside = system.send(system.request("GET", "/read/beside", "beside-" + number));
        system.wait("answers", [&] {
            return crashing->hasCompleteResponse() && beside->hasCompleteResponse();
        });
        service.restartCrashed();
        BOOST_TEST(statusOf(system, "GET", "/read/beside", "alone-" + number, round % 2) == 200);
    }
}

BOOST_AUTO_TEST_SUITE_END()
