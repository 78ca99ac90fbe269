// The relay before engines that hold layer ranges: placement, streams, and what a caller sees when engines fail.
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;

namespace
{

RelaySystemOptions withEngines(int engines)
{
    RelaySystemOptions options;
    options.engines = engines;
    options.engineOptions.layers = 8;
    options.engineOptions.events = 30;
    options.engineOptions.gap = milliseconds(20);
    return options;
}

std::vector<int> idRange(int first, int last)
{
    std::vector<int> ids(last - first + 1);
    std::iota(ids.begin(), ids.end(), first);
    return ids;
}

/// Engine whose range begins at the first layer, or does not.
std::string findEngine(RelaySystem &system, int engines, bool holdsFirst)
{
    for (int i = 0; i < engines; ++i) {
        const std::string id = "engine-" + std::to_string(i);
        const LayerRange layers = system.engines().layers(id);
        if (layers.count() > 0 && (layers.from == 0) == holdsFirst) {
            return id;
        }
    }
    return {};
}

void checkComplete(const RawCallPtr &call, int last = 30)
{
    BOOST_TEST(call->status() == 200);
    BOOST_TEST(call->isWhole());
    BOOST_TEST(call->eventIds() == idRange(1, last), boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayStreamsTest)

BOOST_AUTO_TEST_CASE(emptyEnginesAreGivenTheModelAndStreamsAreServed)
{
    RelaySystem system(withEngines(4));
    system.waitReady();
    system.waitPlaced();
    const RawCallPtr call = system.stream("s-1");
    system.wait("answer", [&] {
        return call->isWhole();
    });
    checkComplete(call);
    BOOST_TEST(call->field("X-Response-Seal").starts_with("seal-engine-"));
    BOOST_TEST(system.engines().badChains() == 0);
    BOOST_TEST(system.engines().refusedOrders() == 0);
}

BOOST_AUTO_TEST_CASE(aCallersOwnResumptionBeginsAfterItsLastEvent)
{
    RelaySystem system(withEngines(4));
    system.waitReady();
    system.waitPlaced();
    const RawCallPtr call = system.stream("s-1", "Last-Event-Id: 12\r\n");
    system.wait("answer", [&] {
        return call->isWhole();
    });
    BOOST_TEST(call->eventIds() == idRange(13, 30), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aStreamCutInTheMiddleOfAnEventGoesOnInTheSameAnswer)
{
    // The first engine breaks the connection within an event. The caller must see each event once, whole, in order, in one
    // answer with the first engine's seal: the part of an event that came is dropped, and another run begins after the
    // last whole one.
    RelaySystem system(withEngines(6));
    system.waitReady();
    system.waitPlaced();
    const RawCallPtr call = system.stream("s-1");
    system.wait("some events", [&] {
        return call->eventIds().size() >= 5;
    });
    for (int i = 0; i < 6; ++i) {
        system.engines().cutStreams("engine-" + std::to_string(i));
    }
    system.wait("answer", [&] {
        return call->isWhole();
    });
    checkComplete(call);
    BOOST_TEST(system.engines().begun() == 2);
}

BOOST_AUTO_TEST_CASE(anUnresponsiveEngineInTheChainIsReplacedWithinTheSameRun)
{
    // An engine in the middle of the chain goes silent: its stream gets no events, no connection breaks. The relay asks the
    // chain's engines, finds the one that does not answer, and has the first engine go on through the others.
    RelaySystemOptions options = withEngines(0);
    options.engines = 4;
    RelaySystem system(options);
    system.engines().setLayers("engine-0", {0, 4});
    system.engines().setLayers("engine-1", {4, 8});
    system.engines().setLayers("engine-2", {4, 8});
    system.engines().setLayers("engine-3", {0, 4});
    for (int i = 0; i < 4; ++i) {
        system.listEngine("engine-" + std::to_string(i));
    }
    system.waitReady();
    system.waitPlaced();
    std::vector<RawCallPtr> calls;
    calls.reserve(6);
    for (int i = 0; i < 6; ++i) {
        calls.push_back(system.stream("s-" + std::to_string(i)));
    }
    system.wait("some events", [&] {
        return std::all_of(calls.begin(), calls.end(), [](const RawCallPtr &call) {
            return call->eventIds().size() >= 3;
        });
    });
    system.engines().silence("engine-1");
    system.wait("answers", [&] {
        return std::all_of(calls.begin(), calls.end(), [](const RawCallPtr &call) {
            return call->isWhole();
        });
    });
    for (const RawCallPtr &call : calls) {
        checkComplete(call);
    }
    BOOST_TEST(system.engines().moved() >= 1);
    BOOST_TEST(system.engines().begun() == 6);
    BOOST_TEST(system.engines().badChains() == 0);
}

BOOST_AUTO_TEST_CASE(aStalledStreamIsNotCutWhenItMayNotBeginAnew)
{
    // An engine pauses for two seconds, and the retry budget is spent: the stream can't begin anew elsewhere. Cut by the
    // relay it would be lost; left alone it goes on when the engine does.
    RelaySystemOptions options = withEngines(2);
    options.engineOptions.stallTimeout = milliseconds(20000);
    options.tune = [](RelaySettings &settings) {
        settings.retryShare = 0;
        settings.retryBurst = 0;
    };
    RelaySystem system(options);
    system.waitReady();
    system.waitPlaced();
    const std::string pausing = findEngine(system, 2, false);
    const LayerRange layers = system.engines().layers(pausing);
    const RawCallPtr call = system.stream("s-1");
    system.wait("some events", [&] {
        return call->eventIds().size() >= 5;
    });
    system.engines().setLayers(pausing, {});
    system.idle(milliseconds(2000));
    system.engines().setLayers(pausing, layers);
    system.wait("answer", [&] {
        return call->isWhole() || call->isClosed;
    });
    checkComplete(call);
}

BOOST_AUTO_TEST_CASE(aStreamThatMayNotBeginAnewIsMovedWhenItsLayersAreHeldAgain)
{
    // An engine in the middle of the chain dies, nobody else holds its layers, and the retry budget is spent. A second later
    // another engine holds them. Looked for only when a question failed again, the way around was found up to three seconds
    // late: the caller got no event and left.
    RelaySystemOptions options = withEngines(0);
    options.engines = 3;
    options.engineOptions.stallTimeout = milliseconds(20000);
    options.engineOptions.events = 60;
    options.tune = [](RelaySettings &settings) {
        settings.retryShare = 0;
        settings.retryBurst = 0;
    };
    RelaySystem system(options);
    system.engines().setLayers("engine-0", {0, 4});
    system.engines().setLayers("engine-1", {4, 8});
    system.engines().setLayers("engine-2", {2, 4});
    for (int i = 0; i < 3; ++i) {
        system.listEngine("engine-" + std::to_string(i));
    }
    system.waitReady();
    system.waitPlaced();
    // Another entry holds the duty, so that this test alone says when the layers are held again.
    system.store().put("leases", "placement", "elsewhere 9999999999999");
    system.waitState("\"holdsPlacementLease\": false");
    const RawCallPtr call = system.stream("s-1");
    system.wait("some events", [&] {
        return call->eventIds().size() >= 5;
    });
    system.engines().silence("engine-1");
    system.idle(milliseconds(1000));
    system.engines().setLayers("engine-2", {4, 8});
    system.listEngine("engine-2");
    system.wait("answer", [&] {
        return call->isWhole() || call->isClosed;
    });
    checkComplete(call, 60);
    BOOST_TEST(system.engines().begun() == 1);
    BOOST_TEST(system.engines().badChains() == 0);
}

BOOST_AUTO_TEST_CASE(aLostAnswerDoesNotExcludeTheEngine)
{
    // The connection of one stream is reset at the first engine of the only chain, which works. Avoided for it, the engine
    // took the chain along: all callers were refused for the next 400 ms. It answers a question, and that settles it.
    RelaySystem system(withEngines(2));
    system.waitReady();
    system.waitPlaced();
    const RawCallPtr cut = system.stream("s-1");
    system.wait("some events", [&] {
        return cut->eventIds().size() >= 3;
    });
    system.engines().cutStreams(findEngine(system, 2, true));
    system.idle(milliseconds(100));
    const RawCallPtr next = system.stream("s-2");
    system.wait("answer", [&] {
        return next->isWhole();
    });
    checkComplete(next);
}

BOOST_AUTO_TEST_CASE(anEngineThatLeavesWhileTheStoreIsDownIsReplaced)
{
    // The store goes down, then an engine drains: the list does not say so, and nobody can renew the lease. The engine
    // refuses its part of each new stream; the last holder of the lease has its layers loaded elsewhere all the same.
    RelaySystem system(withEngines(4));
    system.waitReady();
    system.waitPlaced();
    system.store().faults().isDown = true;
    const std::string leaving = findEngine(system, 4, false);
    system.engines().refuseParts(leaving);
    const int before = system.engines().placed();
    int number = 0;
    system.wait("served again", [&] {
        const RawCallPtr call = system.stream("s-" + std::to_string(++number));
        system.wait("answer", [&] {
            return call->isWhole();
        });
        if (call->status() != 200) {
            BOOST_TEST(call->status() == 503);
            system.idle(milliseconds(200));
        }
        return call->status() == 200;
    });
    BOOST_TEST(system.engines().placed() > before);
    BOOST_TEST(system.engines().badChains() == 0);
}

BOOST_AUTO_TEST_CASE(theLayersOfALostEngineAreLoadedElsewhere)
{
    // An engine that alone holds its layers is gone. New streams are refused as not run, with a time to come back; within
    // that time the others hold its layers.
    RelaySystem system(withEngines(4));
    system.waitReady();
    system.waitPlaced();
    const std::string lost = findEngine(system, 4, false);
    system.engines().crash(lost);
    system.unlist(lost);
    system.idle(milliseconds(100));
    const RawCallPtr refused = system.stream("s-1");
    system.wait("refusal or answer", [&] {
        return refused->isWhole();
    });
    if (refused->status() != 200) {
        BOOST_TEST(refused->status() == 503);
        BOOST_TEST(!refused->field("Retry-After").empty());
    }
    system.wait("served again", [&] {
        for (int i = 0; i < 4; ++i) {
            if ("engine-" + std::to_string(i) != lost) {
                system.listEngine("engine-" + std::to_string(i));
            }
        }
        const RawCallPtr call = system.stream("s-2");
        system.wait("answer", [&] {
            return call->isWhole();
        });
        return call->status() == 200;
    });
    BOOST_TEST(system.engines().badChains() == 0);
}

BOOST_AUTO_TEST_CASE(ordersWhoseAnswersAreLostAreNotCarriedOutTwice)
{
    // Engines accept orders and their answers are lost. The same order is sent again with the number of orders that the
    // engine was known to have accepted: the engine refuses it, and the plan goes on from what it reports.
    RelaySystemOptions options = withEngines(4);
    RelaySystem system(options);
    system.engines().loseOrders(true);
    system.waitReady();
    system.waitPlaced();
    const int placed = system.engines().placed();
    BOOST_TEST(placed <= 4);
    system.idle(milliseconds(1500));
    BOOST_TEST(system.engines().placed() == placed);
}

BOOST_AUTO_TEST_CASE(theInitialPlacementWaitsForAllEngines)
{
    // Engines register one after the other. A plan for the first few would cut the model into pieces too large.
    RelaySystemOptions options = withEngines(2);
    RelaySystem system(options);
    system.waitReady();
    system.idle(milliseconds(1000));
    BOOST_TEST(system.engines().placed() == 0);
    system.waitPlaced();
}

BOOST_AUTO_TEST_CASE(oneRelayOfSeveralGivesTheOrders)
{
    RelaySystemOptions options = withEngines(4);
    options.relays = 3;
    RelaySystem system(options);
    system.waitReady();
    system.waitPlaced();
    system.idle(milliseconds(800));
    BOOST_TEST(system.engines().placed() == 4);
    BOOST_TEST(system.engines().refusedOrders() == 0);
}

BOOST_AUTO_TEST_CASE(aStoppedHolderOfTheLeaseIsReplaced)
{
    // The relay that gives the orders is gone without a word; an engine is lost right after. Another relay takes the lease
    // when it ends, and has the layers loaded.
    RelaySystemOptions options = withEngines(4);
    options.relays = 2;
    RelaySystem system(options);
    system.waitReady();
    system.waitPlaced();
    const std::string holder = system.store().value("leases", "placement");
    const std::size_t stopped = holder.starts_with("entry-0") ? 0 : 1;
    system.stopRelay(stopped);
    const std::string lost = findEngine(system, 4, false);
    system.engines().crash(lost);
    system.unlist(lost);
    const int before = system.engines().placed();
    system.wait("orders by the other relay", [&] {
        return system.engines().placed() > before;
    });
    BOOST_TEST(system.store().value("leases", "placement").starts_with("entry-" + std::to_string(1 - stopped)));
    system.startRelay(stopped);
}

BOOST_AUTO_TEST_CASE(aStoppingRelayDoesNotTakeTheLeaseAgain)
{
    // A relay stops while the store is away, so that it can't give its lease up. When the store is back it must not renew
    // or take it: it would order nothing, and nobody else could.
    RelaySystemOptions options = withEngines(2);
    RelaySystem system(options);
    system.waitReady();
    system.waitPlaced();
    system.store().faults().isDown = true;
    system.relay().drain([] {});
    system.idle(milliseconds(600));
    system.store().faults().isDown = false;
    const std::string left = system.store().value("leases", "placement");
    system.idle(milliseconds(4500));
    BOOST_TEST(system.store().value("leases", "placement") == left);
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesEndsItsStream)
{
    RelaySystem system(withEngines(4));
    system.waitReady();
    system.waitPlaced();
    const RawCallPtr call = system.stream("s-1");
    system.wait("some events", [&] {
        return call->eventIds().size() >= 3;
    });
    call->connection->close();
    system.wait("stream ended", [&] {
        return system.engines().open() == 0;
    });
    system.idle(milliseconds(200));
    BOOST_TEST(system.engines().begun() == 1);
}

BOOST_AUTO_TEST_CASE(aStoreWithoutHistoryIsReadAnew)
{
    RelaySystem system(withEngines(4));
    system.waitReady();
    system.waitPlaced();
    system.store().faults().hasNoHistory = true;
    system.idle(milliseconds(300));
    system.configure(2, {"key-2"});
    system.unlist("engine-0");
    system.wait("the old key is refused", [&] {
        const RawCallPtr call = system.stream("s-1");
        system.wait("answer", [&] {
            return call->isWhole();
        });
        return call->status() == 401;
    });
}

BOOST_AUTO_TEST_SUITE_END()
