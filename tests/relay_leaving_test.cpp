// Targets that say in their responses that they are leaving, while the registry does not say so.
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::sealedAnswer;

namespace
{

constexpr const char *leavingField = "Server-Leaving: 1\r\n";

/// Sends calls one after the other; returns how many were answered with 200.
int callInTurn(RelaySystem &system, const std::string &prefix, int count)
{
    int served = 0;
    for (int i = 0; i < count; ++i) {
        const RawCallPtr call = system.call("GET", "/read/x", prefix + std::to_string(i));
        system.wait("answer", [&] {
            return call->hasCompleteResponse();
        });
        served += call->status() == 200 ? 1 : 0;
    }
    return served;
}

RawReply answerAndLeave(const RawRequest &request)
{
    return {sealedAnswer(request, "fine", "HTTP/1.1 200 OK", leavingField)};
}

RawReply failAndLeave(const RawRequest &request)
{
    return {sealedAnswer(request, "no seat", "HTTP/1.1 500 Failed", leavingField)};
}

RawReply refuseAndLeave(const RawRequest &request)
{
    return {sealedAnswer(request, "", "HTTP/1.1 503 Leaving", std::string("X-Not-Executed: 1\r\n") + leavingField)};
}

/// A response of a target that leaves.
struct Farewell {
    const char *name;
    RawReply (*reply)(const RawRequest &);
};
std::ostream &operator<<(std::ostream &out, const Farewell &farewell)
{
    return out << farewell.name;
}
const Farewell farewells[] = {{"success", answerAndLeave}, {"failure", failAndLeave}, {"refusal", refuseAndLeave}};

RawReply answerSuccessfully(const RawRequest &request)
{
    return {sealedAnswer(request, "fine")};
}

/// Adds the target "leaving", and lets it get a request, after which the target "staying" is added.
StandIn::RawTarget &addLeavingTarget(RelaySystem &system, StandIn::RawTarget::Handler handler)
{
    StandIn::RawTarget &leaving = system.addTarget("leaving", std::move(handler));
    system.waitReady();
    callInTurn(system, "first-", 1);
    BOOST_TEST(leaving.requests().size() == 1U);
    system.addTarget("staying", answerSuccessfully);
    system.waitState("staying");
    return leaving;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayLeavingTest)

// Guards against requests for a target that has said it leaves, whatever kind of response said so, and though its registry entry is renewed.
BOOST_DATA_TEST_CASE(aTargetThatSaysItLeavesGetsNothingNew, boost::unit_test::data::make(farewells), farewell)
{
    RelaySystem system;
    StandIn::RawTarget &leaving = addLeavingTarget(system, farewell.reply);
    BOOST_TEST(callInTurn(system, "second-", 5) == 5);
    system.registerTarget("leaving", "shop", leaving.address());
    system.idle(milliseconds(200));
    BOOST_TEST(callInTurn(system, "third-", 5) == 5);
    BOOST_TEST(leaving.requests().size() == 1U);
}

// Guards against the same after its registry entry was removed and came back, as during an outage of the store.
BOOST_AUTO_TEST_CASE(aTargetThatSaidItLeavesGetsNothingNewOnceItIsListedAgain)
{
    RelaySystem system;
    StandIn::RawTarget &leaving = addLeavingTarget(system, answerAndLeave);
    const Address address = leaving.address();
    system.unregister("leaving");
    system.wait("removal", [&] {
        return system.relay().dumpState().find("\"leaving\"") == std::string::npos;
    });
    system.registerTarget("leaving", "shop", address);
    system.waitState("\"leaving\"");
    BOOST_TEST(callInTurn(system, "second-", 5) == 5);
    BOOST_TEST(leaving.requests().size() == 1U);
}

// Guards against a target that gets no work although it does not leave.
BOOST_DATA_TEST_CASE(aTargetThatDoesNotSayItLeavesStaysInUse, boost::unit_test::data::make({"", "Server-Leaving: 0\r\n", "Server-Leaving: \r\n"}), field)
{
    RelaySystem system;
    const std::string fields = field;
    StandIn::RawTarget &target = system.addTarget("t1", [&fields](const RawRequest &request) {
        return RawReply{sealedAnswer(request, "fine", "HTTP/1.1 200 OK", fields)};
    });
    system.waitReady();
    BOOST_TEST(callInTurn(system, "id-", 4) == 4);
    BOOST_TEST(target.requests().size() == 4U);
}

// Guards against streams that begin at an engine that has said it leaves.
BOOST_AUTO_TEST_CASE(anEngineThatSaysItLeavesGetsNoNewStreams)
{
    RelaySystemOptions options;
    options.engines = 4;
    options.engineOptions.events = 3;
    RelaySystem system(options);
    for (int i = 0; i < options.engines; ++i) {
        const std::string id = "engine-" + std::to_string(i);
        system.engines().setLayers(id, i < 2 ? LayerRange{0, 4} : LayerRange{4, 8});
        system.registerEngine(id);
    }
    system.waitReady();
    system.waitPlaced();
    system.engines().sayLeaving("engine-0");
    int served = 0;
    const auto isDone = [&] {
        return !system.engines().streamStarts("engine-0").empty() && served >= 20;
    };
    for (int i = 0; i < 60 && !isDone(); ++i) {
        const RawCallPtr call = system.stream("s-" + std::to_string(i));
        system.wait("answer", [&] {
            return call->hasCompleteResponse();
        });
        served += call->status() == 200 ? 1 : 0;
    }
    BOOST_TEST(served >= 20);
    BOOST_TEST(system.engines().streamStarts("engine-0").size() <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
