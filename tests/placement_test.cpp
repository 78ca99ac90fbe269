// Placement of layers on engines: initial plans, lost engines, returning engines.
#include "base/text.h"
#include "policy/placement.h"
#include "tests/engine_models.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace Parsleytrail;

namespace
{

/// Makes the given number of engines of each kind in one data centre.
std::vector<PlacedEngine> makeEngines(const std::string &dataCenter, const std::map<std::string, int> &kinds)
{
    std::vector<PlacedEngine> engines;
    for (const auto &[kind, count] : kinds) {
        for (int i = 0; i < count; ++i) {
            PlacedEngine engine;
            engine.id = {joined({dataCenter, kind, std::to_string(i)}, "-")};
            engine.dataCenter = dataCenter;
            engine.kind = kind;
            engines.push_back(engine);
        }
    }
    return engines;
}

/// An engine of kind "middle" in data centre "a" that holds nothing.
PlacedEngine idleEngine(const std::string &id)
{
    PlacedEngine engine;
    engine.id = {id};
    engine.dataCenter = "a";
    engine.kind = "middle";
    return engine;
}

void applyOrders(std::vector<PlacedEngine> &engines, const std::vector<PlacementOrder> &orders)
{
    for (const PlacementOrder &order : orders) {
        const auto engine = std::find_if(engines.begin(), engines.end(), [&](const PlacedEngine &candidate) {
            return candidate.id == order.id;
        });
        BOOST_REQUIRE(engine != engines.end());
        engine->layers = order.layers;
    }
}

/// Plans and applies orders until nothing changes; returns the number of rounds.
int planUntilStable(const EngineModel &model, std::vector<PlacedEngine> &engines)
{
    int rounds = 0;
    for (auto orders = planPlacement(model, engines); !orders.empty(); orders = planPlacement(model, engines)) {
        applyOrders(engines, orders);
        BOOST_REQUIRE(++rounds < 10);
    }
    return rounds;
}

void checkMemory(const EngineModel &model, const std::vector<PlacedEngine> &engines)
{
    for (const PlacedEngine &engine : engines) {
        BOOST_TEST(engine.layers.count() * model.layerMb <= findKind(model, engine.kind)->memoryMb);
    }
}
/// The smallest number of holders over all layers.
int fewestHolders(const EngineModel &model, const std::vector<PlacedEngine> &engines)
{
    std::vector<int> holders(model.layers, 0);
    for (const PlacedEngine &engine : engines) {
        for (int layer = engine.layers.from; layer < engine.layers.to; ++layer) {
            ++holders[layer];
        }
    }
    return *std::min_element(holders.begin(), holders.end());
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTest)

BOOST_AUTO_TEST_CASE(eachDataCenterHoldsTheFullModel)
{
    const EngineModel model = largeModel();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"large", 1}, {"middle", 8}, {"small", 3}});
    for (const PlacedEngine &engine : makeEngines("b", {{"large", 2}, {"middle", 4}, {"small", 7}})) {
        engines.push_back(engine);
    }
    planUntilStable(model, engines);
    BOOST_TEST(uncoveredLayers(model, engines, "a").empty());
    BOOST_TEST(uncoveredLayers(model, engines, "b").empty());
    checkMemory(model, engines);
    BOOST_TEST(planPlacement(model, engines).empty());
}

BOOST_AUTO_TEST_CASE(dataCentersTooSmallForAModelShareOne)
{
    const EngineModel model = largeModel();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"large", 3}});
    for (const PlacedEngine &engine : makeEngines("b", {{"large", 3}})) {
        engines.push_back(engine);
    }
    planUntilStable(model, engines);
    std::vector<PlacedEngine> together = engines;
    for (PlacedEngine &engine : together) {
        engine.dataCenter = "both";
    }
    BOOST_TEST(uncoveredLayers(model, together, "both").empty());
    checkMemory(model, engines);
}

BOOST_AUTO_TEST_CASE(aLostEngineIsReplacedByTheOthers)
{
    // Each engine of a data centre is lost once. All layers must be held again after few loads (at most nine rounds of orders),
    // and no engine may hold more than fits into its memory.
    const EngineModel model = largeModel();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"large", 1}, {"middle", 8}, {"small", 3}});
    planUntilStable(model, engines);
    for (std::size_t lost = 0; lost < engines.size(); ++lost) {
        std::vector<PlacedEngine> remaining = engines;
        remaining.erase(remaining.begin() + lost);
        planUntilStable(model, remaining);
        BOOST_TEST(uncoveredLayers(model, remaining, "a").empty());
        checkMemory(model, remaining);
    }
}

BOOST_AUTO_TEST_CASE(anIdleEngineTakesTheUncoveredLayersAndNoOtherMoves)
{
    const EngineModel model = largeModel();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"middle", 12}});
    planUntilStable(model, engines);
    const LayerRange lostLayers = engines[5].layers;
    engines[5].isLeaving = true;
    engines.push_back(idleEngine("a-new"));
    engines.back().isNew = true;
    const std::vector<PlacementOrder> orders = planPlacement(model, engines);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].id.value == "a-new");
    BOOST_TEST((orders[0].layers == lostLayers));
}

BOOST_AUTO_TEST_CASE(aNewEngineIsKeptFreeAtFirst)
{
    // Engines are replaced one by one, the replacement first. If it loads other layers at once, it can't take over those of the
    // engine that it replaces.
    const EngineModel model = largeModel();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"middle", 12}});
    planUntilStable(model, engines);
    engines.push_back(idleEngine("a-new"));
    engines.back().isNew = true;
    BOOST_TEST(planPlacement(model, engines).empty());
    engines.back().isNew = false;
    BOOST_TEST(planPlacement(model, engines).size() == 1U);
}

BOOST_AUTO_TEST_CASE(enginesWithPendingOrdersGetNoOther)
{
    // A second engine is lost while the neighbours of the first load its layers. Repartitioning around engines that accept no
    // order moved most of the others, and the data centre had no chain for four seconds; the plan must wait instead.
    const EngineModel model = largeModel();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"middle", 12}});
    planUntilStable(model, engines);
    engines[2].isLeaving = true;
    const std::vector<PlacementOrder> first = planPlacement(model, engines);
    BOOST_REQUIRE(!first.empty());
    applyOrders(engines, first);
    for (const PlacementOrder &order : first) {
        for (PlacedEngine &engine : engines) {
            engine.hasPendingOrder = engine.hasPendingOrder || engine.id == order.id;
        }
    }
    engines[9].isLeaving = true;
    for (const PlacementOrder &order : planPlacement(model, engines)) {
        for (const PlacedEngine &engine : engines) {
            BOOST_TEST((!engine.hasPendingOrder || engine.id != order.id));
        }
    }
    for (PlacedEngine &engine : engines) {
        engine.hasPendingOrder = false;
    }
    planUntilStable(model, engines);
    BOOST_TEST(uncoveredLayers(model, engines, "a").empty());
}

PlacedEngine &engineHolding(std::vector<PlacedEngine> &engines, LayerRange layers)
{
    const auto it = std::find_if(engines.begin(), engines.end(), [&](const PlacedEngine &engine) {
        return engine.layers.contains(layers);
    });
    BOOST_REQUIRE(it != engines.end());
    return *it;
}

BOOST_AUTO_TEST_CASE(copiesLeaveKvCacheForTheStreamsOfAFirstEngine)
{
    // 424 GB minus two copies leave 144 GB: KV cache for about 470 streams, more than the 192 slots of a first engine. With twice
    // the KV cache per token and a quarter less memory, two copies would leave cache for 67.
    EngineModel model = modelWithRequestProfile();
    std::vector<PlacedEngine> large = makeEngines("a", {{"huge", 1}, {"large", 1}, {"middle", 8}, {"small", 10}});
    applyOrders(large, planPlacement(model, large));
    BOOST_TEST(fewestHolders(model, large) == 2);
    checkMemory(model, large);

    model.kvTokenBytes = 590000;
    std::vector<PlacedEngine> tight = makeEngines("a", {{"huge", 1}, {"large", 1}, {"middle", 5}, {"small", 7}});
    applyOrders(tight, planPlacement(model, tight));
    int layers = 0;
    for (const PlacedEngine &engine : tight) {
        layers += engine.layers.count();
    }
    BOOST_TEST(layers == model.layers);
}

/// Guards against a third copy that uses up the KV cache of the other two: each loss then left a data centre too small for its load.
BOOST_AUTO_TEST_CASE(aCopyThatLeavesFewerStreamsAfterALossIsNotHeld)
{
    const EngineModel model = modelWithRequestProfile();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"large", 3}, {"middle", 9}, {"small", 14}});
    applyOrders(engines, planPlacement(model, engines));
    BOOST_TEST(fewestHolders(model, engines) == 2);
    std::vector<PlacedEngine> larger = makeEngines("a", {{"huge", 2}, {"large", 2}, {"middle", 15}, {"small", 7}});
    applyOrders(larger, planPlacement(model, larger));
    BOOST_TEST(fewestHolders(model, larger) == 3);
}

/// KV cache per layer, MB, of an engine with its layers and `more` additional ones.
double cacheMbPerLayer(const EngineModel &model, const PlacedEngine &engine, int more = 0)
{
    const int layers = engine.layers.count() + more;
    return findKind(model, engine.kind)->memoryMb / layers - model.layerMb;
}

BOOST_AUTO_TEST_CASE(kvCachePerLayerIsBalancedOverAChain)
{
    // A burst of streams fills the engine with the least KV cache per layer. Its chain then accepts no more, though the other
    // engines are half empty; refused callers retry and are refused again. So moving a layer from this engine to any other one
    // of the chain must not leave the other with more cache per layer than this engine has.
    const EngineModel model = modelWithRequestProfile();
    for (int seed = 0; seed < 20; ++seed) {
        std::mt19937_64 random(seed);
        const auto draw = [&random](int most) {
            return std::uniform_int_distribution<int>(0, most)(random);
        };
        // At most one full copy, so that all engines form one chain.
        std::vector<PlacedEngine> engines = makeEngines("a", {{"huge", draw(1)}, {"large", draw(1)}, {"middle", 4 + draw(2)}, {"small", 4 + draw(2)}});
        applyOrders(engines, planPlacement(model, engines));
        BOOST_REQUIRE(uncoveredLayers(model, engines, "a").empty());
        checkMemory(model, engines);
        const auto bottleneck = std::min_element(engines.begin(), engines.end(), [&](const PlacedEngine &a, const PlacedEngine &b) {
            return cacheMbPerLayer(model, a) < cacheMbPerLayer(model, b);
        });
        for (const PlacedEngine &engine : engines) {
            if (&engine != &*bottleneck) {
                BOOST_TEST(cacheMbPerLayer(model, engine, 1) <= cacheMbPerLayer(model, *bottleneck), "seed " << seed << ": " << engine.id.value);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(enginesOfUnknownKindsGetNoLayers)
{
    // All engines are of a kind that the configuration doesn't contain yet, or all are leaving, so that none can take layers. The
    // plan must be empty until that changes, and planning must not crash: the same process relays streams.
    const EngineModel model = modelWithRequestProfile();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"unknown", 3}});
    BOOST_TEST(planPlacement(model, engines).empty());
    engines = makeEngines("a", {{"huge", 3}});
    for (PlacedEngine &engine : engines) {
        engine.isLeaving = true;
    }
    BOOST_TEST(planPlacement(model, engines).empty());
}

BOOST_AUTO_TEST_CASE(neighboursOfALeavingEngineAddItsLayersAndReleaseNone)
{
    // An engine drains and still serves. When its layers were passed on from neighbour to neighbour, other engines released
    // layers without another holder, which broke the working chain a second before the engine left.
    const EngineModel model = modelWithRequestProfile();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"large", 1}, {"middle", 8}, {"small", 4}});
    planUntilStable(model, engines);
    for (std::size_t leaving = 1; leaving + 1 < engines.size(); ++leaving) {
        std::vector<PlacedEngine> remaining = engines;
        remaining[leaving].isLeaving = true;
        const std::vector<PlacementOrder> orders = planPlacement(model, remaining);
        BOOST_TEST(!orders.empty());
        for (const PlacementOrder &order : orders) {
            const auto before = std::find_if(engines.begin(), engines.end(), [&](const PlacedEngine &engine) {
                return engine.id == order.id;
            });
            BOOST_TEST(order.layers.contains(before->layers), remaining[leaving].id.value << " leaves, " << order.id.value << " releases layers");
            BOOST_TEST(!order.dropsStreams);
        }
        planUntilStable(model, remaining);
        BOOST_TEST(uncoveredLayers(model, remaining, "a").empty());
    }
}

BOOST_AUTO_TEST_CASE(anUncoveredRangeTooLargeForItsNeighboursMovesFewEngines)
{
    // The largest engine of a data centre fails, with 17 layers. When the uncovered range was shifted from neighbour to neighbour,
    // all engines loaded a new range, most of them entirely; the data centre had no chain for four seconds.
    const EngineModel model = modelWithRequestProfile();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"large", 1}, {"middle", 8}, {"small", 3}});
    planUntilStable(model, engines);
    PlacedEngine &lost = engineHolding(engines, {0, 1});
    BOOST_TEST(lost.kind == "large");
    lost.isLeaving = true;
    lost.isUnreachable = true;
    int released = 0;
    for (int round = 0; round < 5; ++round) {
        const std::vector<PlacementOrder> orders = planPlacement(model, engines);
        for (const PlacementOrder &order : orders) {
            const PlacedEngine &engine = *std::find_if(engines.begin(), engines.end(), [&](const PlacedEngine &other) {
                return other.id == order.id;
            });
            released += order.layers.contains(engine.layers) ? 0 : 1;
            BOOST_TEST(order.dropsStreams);
        }
        applyOrders(engines, orders);
    }
    BOOST_TEST(uncoveredLayers(model, engines, "a").empty());
    BOOST_TEST(released <= 4);
    checkMemory(model, engines);
}

BOOST_AUTO_TEST_CASE(anIdleEngineRelievesTheFullestEngine)
{
    // A small engine took over the layers of a lost neighbour and has KV cache for few streams, which limits the entire chain.
    // The returning engine was given layers that had enough capacity already.
    const EngineModel model = modelWithRequestProfile();
    std::vector<PlacedEngine> engines = makeEngines("a", {{"middle", 13}});
    planUntilStable(model, engines);
    PlacedEngine &full = engineHolding(engines, {40, 41});
    const LayerRange grown{full.layers.from, full.layers.from + 11};
    full.layers = grown;
    engines.push_back(idleEngine("a-returned"));
    const std::vector<PlacementOrder> orders = planPlacement(model, engines);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].id.value == "a-returned");
    BOOST_TEST(std::min(orders[0].layers.to, grown.to) - std::max(orders[0].layers.from, grown.from) >= 5);
}

BOOST_AUTO_TEST_CASE(aReturningEngineLeavesNoLayerWithASingleHolder)
{
    // One of two holders of a range fails and returns empty. Given one layer less than before, it left that layer with a single
    // holder. As every chain of the data centre passes through that layer, callers were refused for fifteen seconds while half
    // of all slots and KV cache was free.
    const EngineModel model = modelWithRequestProfile();
    const std::vector<PlacedEngine> initial = [&] {
        std::vector<PlacedEngine> engines = makeEngines("a", {{"huge", 1}, {"middle", 5}, {"small", 14}});
        planUntilStable(model, engines);
        return engines;
    }();
    BOOST_REQUIRE(fewestHolders(model, initial) == 2);
    for (std::size_t lost = 0; lost < initial.size(); ++lost) {
        std::vector<PlacedEngine> engines = initial;
        engines[lost].layers = {};
        planUntilStable(model, engines);
        BOOST_TEST(fewestHolders(model, engines) == 2, initial[lost].id.value << " returned");
        checkMemory(model, engines);
    }
}

BOOST_AUTO_TEST_CASE(randomFleetsKeepAllLayersThroughLosses)
{
    // Twenty fleets of random kinds; a third of the engines is lost one by one. All layers must be held as long as the remaining
    // engines can hold the model at the emergency share.
    const EngineModel model = largeModel();
    const PlacementTuning tuning;
    for (int seed = 0; seed < 20; ++seed) {
        std::mt19937_64 random(seed);
        const auto draw = [&random](int most) {
            return std::uniform_int_distribution<int>(0, most)(random);
        };
        std::vector<PlacedEngine> engines = makeEngines("a", {{"huge", draw(2)}, {"large", draw(4)}, {"middle", 6 + draw(8)}, {"small", 3 + draw(8)}});
        planUntilStable(model, engines);
        const std::size_t losses = engines.size() / 3;
        for (std::size_t lost = 0; lost < losses; ++lost) {
            engines.erase(engines.begin() + draw(static_cast<int>(engines.size()) - 1));
            int maxLayers = 0;
            for (const PlacedEngine &engine : engines) {
                maxLayers += static_cast<int>(findKind(model, engine.kind)->memoryMb * tuning.emergencyShare / model.layerMb);
            }
            double memory = 0;
            for (const PlacedEngine &engine : engines) {
                memory += findKind(model, engine.kind)->memoryMb;
            }
            if (maxLayers < model.layers || memory * tuning.emergencyShare < model.layers * model.layerMb) {
                break;
            }
            planUntilStable(model, engines);
            BOOST_TEST(uncoveredLayers(model, engines, "a").empty(), "seed " << seed << " after " << lost + 1 << " losses");
            checkMemory(model, engines);
        }
    }
}

/// Guards against a plan that writes outside of its vectors: an engine is said to hold layers that the model does not have.
BOOST_AUTO_TEST_CASE(layersThatTheModelDoesNotHaveAreNotPlanned)
{
    const EngineModel model = largeModel();
    std::vector<PlacedEngine> sound = makeEngines("a", {{"large", 4}, {"middle", 6}});
    planUntilStable(model, sound);
    for (const LayerRange &wild : {LayerRange{model.layers + 3, model.layers + 30}, {-5, model.layers * 2}, {9, 2}, {-9, -2}}) {
        std::vector<PlacedEngine> engines = sound;
        engines[0].layers = wild;
        for (const PlacementOrder &order : planPlacement(model, engines)) {
            BOOST_TEST((LayerRange{0, model.layers}.contains(order.layers)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
