// Addresses that change hands: a target is lost, and another one gets its address while the registry still lists the lost one.
#include "stand-ins/registry_entry.h"
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using Json = nlohmann::json;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::RawTarget;
using StandIn::sealedAnswer;

namespace
{

constexpr std::uint64_t firstStart = 1000; ///< start time of targets, Unix milliseconds
constexpr std::uint64_t laterStart = 2000;

RawReply jsonReply(const std::string &statusLine, const Json &body)
{
    const std::string text = body.dump();
    return {"HTTP/1.1 " + statusLine + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text};
}

bool isReport(const RawRequest &request)
{
    return request.head.starts_with("GET /report ");
}

Json report(std::uint64_t startedAtMs, LayerRange layers)
{
    return {{"busy", false}, {"seqNo", 5}, {"layers", {{"from", layers.from}, {"to", layers.to}}}, {"born", startedAtMs}, {"stalled", Json::array()}};
}

void registerStart(RelaySystem &system, const std::string &id, const std::string &service, const Address &address, std::uint64_t startedAtMs,
                   LayerRange layers = {})
{
    RegisteredTarget target{{id}, {service}, address, "dc-1", false, 6, {}, layers, startedAtMs};
    target.accelerator = service == "chat" ? "small" : "";
    system.store().put("servers", id, StandIn::registryEntry(target, 1));
}

/// What the first relay knows of a target; null if it knows none with this id.
Json knownTarget(RelaySystem &system, const std::string &id)
{
    return Json::parse(system.relay().dumpState()).value("targets", Json::object()).value(id, Json());
}

/// An engine that accepts orders and never carries them out.
struct SlowLoader {
    std::string id;
    std::uint64_t startedAtMs = firstStart;
    int orders = 0;
    int ordersForOthers = 0;       ///< that did not name this engine
    int reportsSinceLastOrder = 0; ///< reports asked for

    RawReply handle(const RawRequest &request)
    {
        if (isReport(request)) {
            ++reportsSinceLastOrder;
            Json state = report(startedAtMs, {});
            state["seqNo"] = 0;
            return jsonReply("200 OK", state);
        }
        ++orders;
        ordersForOthers += request.field("X-Expect-Instance") == id ? 0 : 1;
        reportsSinceLastOrder = 0;
        return jsonReply("202 Accepted", Json::object());
    }
};

/// A relay before two engines that load nothing, until each has got an order.
struct OrderedEngines {
    RelaySystem system;
    SlowLoader a{"engine-a"};
    SlowLoader b{"engine-b"};
    std::vector<std::unique_ptr<RawTarget>> servers;

    OrderedEngines()
    {
        for (SlowLoader *engine : {&a, &b}) {
            servers.push_back(std::make_unique<RawTarget>(system.loop(), [engine](const RawRequest &request) {
                return engine->handle(request);
            }));
            registerStart(system, engine->id, "chat", servers.back()->address(), firstStart);
        }
        system.wait("an order for each engine", [this] {
            return a.orders > 0 && b.orders > 0;
        });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayReusedAddressTest)

/// Guards against a relay that aborts, as it believes that a lost engine holds layers which its model does not have.
BOOST_AUTO_TEST_CASE(aReportOfTheNextOwnerOfAnAddressIsNotTheLostEngines)
{
    RelaySystemOptions options;
    options.engines = 2;
    RelaySystem system(options);
    system.waitPlaced();
    system.stopRelay(0);
    RawTarget nextOwner(system.loop(), [](const RawRequest &) {
        return jsonReply("200 OK", report(laterStart, {11, 38}));
    });
    registerStart(system, "lost", "chat", nextOwner.address(), firstStart, {0, 4});
    system.startRelay(0); // a new leader asks all engines for their layers
    const Json listed = {0, 4};
    system.wait("the report to be used or refused", [&] {
        const Json known = knownTarget(system, "lost");
        return !known.is_null() && (known["layers"] != listed || known["failuresInRow"] > 0);
    });
    BOOST_TEST(knownTarget(system, "lost")["layers"] == listed);
    BOOST_TEST(!knownTarget(system, "lost")["isUsable"].get<bool>());
}

/// Guards against an engine that is ordered to hold more than its memory, as the order was meant for the last owner of its address.
BOOST_AUTO_TEST_CASE(anOrderNamesItsEngine)
{
    const OrderedEngines engines;
    BOOST_TEST(engines.a.ordersForOthers + engines.b.ordersForOthers == 0);
}

/// Guards against layers that nobody serves for 12 s: an order to an engine is taken for pending after the engine has started again.
BOOST_AUTO_TEST_CASE(anOrderEndsWithTheStartOfItsEngine)
{
    OrderedEngines engines;
    const int ordersBefore = engines.a.orders;
    engines.a.startedAtMs = laterStart;
    registerStart(engines.system, "engine-a", "chat", engines.servers.front()->address(), laterStart);
    int reports = 0;
    engines.system.wait("an order for the new start", [&] {
        reports = engines.a.orders == ordersBefore ? engines.a.reportsSinceLastOrder : reports;
        return engines.a.orders > ordersBefore;
    });
    constexpr int fewReports = 10; // one every 300 ms
    BOOST_TEST(reports < fewReports);
}

/// Guards against new connections that nobody needs: the removal of a lost target closed those to the next owner of its address.
BOOST_AUTO_TEST_CASE(theRemovalOfALostTargetKeepsTheConnectionsOfTheNextOwner)
{
    RelaySystem system;
    RawTarget server(system.loop(), [](const RawRequest &request) {
        return RawReply{sealedAnswer(request, "fine")};
    });
    registerStart(system, "lost", "shop", server.address(), firstStart);
    registerStart(system, "next", "shop", server.address(), laterStart);
    system.waitReady();
    system.waitState("\"next\"");
    const auto call = [&system](const std::string &id) {
        const RawCallPtr answer = system.call("GET", "/read/x", id);
        system.wait("an answer", [&answer] {
            return answer->hasCompleteResponse();
        });
    };
    call("c1");
    system.unregister("lost");
    system.wait("the removal", [&] {
        return knownTarget(system, "lost").is_null();
    });
    call("c2");
    BOOST_TEST(server.requests().back().connection == 1);
}

/// Guards against a sound target that is avoided because requests still wait for the last owner of its address.
BOOST_AUTO_TEST_CASE(stalledRequestsWaitForTheFirstOwnerOfAnAddress)
{
    Fleet fleet;
    const TimePoint now{std::chrono::hours(1)};
    const Address address{"10.0.0.1", 80};
    recordRegistration(fleet, {{"lost"}, {"chat"}, address, "dc-1", false, 6, "small", {0, 4}, firstStart}, now);
    recordRegistration(fleet, {{"next"}, {"chat"}, address, "dc-1", false, 6, "small", {0, 4}, laterStart}, now);
    BOOST_TEST(findFirstOwner(fleet, address)->registered.id.value == "lost");
    BOOST_TEST(findLastOwner(fleet, address)->registered.id.value == "next");
}

/// Guards against an added engine that is not kept for the layers of the one it replaces, as another service had its address before.
BOOST_AUTO_TEST_CASE(anAddressOfAnotherServiceIsNoRestart)
{
    Fleet fleet;
    const TimePoint now{std::chrono::hours(1)};
    const Address address{"10.0.0.1", 80};
    recordRegistration(fleet, {{"lost"}, {"shop"}, address, "dc-1", false, 6, {}, {}, firstStart}, now);
    recordRegistration(fleet, {{"next"}, {"chat"}, address, "dc-1", false, 6, "small", {}, laterStart}, now);
    BOOST_TEST(!findTarget(fleet, TargetId{"next"})->isRestart);
}

BOOST_AUTO_TEST_SUITE_END()
