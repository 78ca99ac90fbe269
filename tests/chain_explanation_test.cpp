// Explanation of the chain that a stream would get: costs and their terms, engines that are not usable, and no side effects.
#include "policy/chain_explanation.h"
#include "policy/cross_data_center_budget.h"
#include "policy/prefill_forecast.h"
#include "tests/engine_models.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Parsleytrail;

namespace
{

constexpr TimePoint start{std::chrono::seconds(1000)};
constexpr StreamDemand usualDemand{100, 50};

struct FleetBuilder {
    Fleet fleet;

    Target &add(const std::string &id, const std::string &dataCenter, LayerRange layers, const std::string &kind = "middle")
    {
        RegisteredTarget registered;
        registered.id = {id};
        registered.service = {"chat"};
        registered.address = {"10.0.0." + std::to_string(fleet.targets.size() + 1), 80};
        registered.dataCenter = dataCenter;
        registered.accelerator = kind;
        registered.layers = layers;
        registered.slots = 100;
        recordRegistration(fleet, registered, start);
        return *findTarget(fleet, {id});
    }
};

ChainSelectionContext contextAtHome(const EngineModel &model)
{
    ChainSelectionContext context;
    context.model = &model;
    context.service = {"chat"};
    context.dataCenter = "home";
    context.now = start;
    return context;
}

EngineObstacle obstacleOf(const ChainExplanation &explanation, const std::string &id)
{
    for (const ExplainedObstacle &obstacle : explanation.obstacles) {
        if (obstacle.id.value == id) {
            return obstacle.obstacle;
        }
    }
    return EngineObstacle::None;
}

/// Two data centres with a complete chain each, and a third one without.
FleetBuilder threeDataCenters()
{
    FleetBuilder builder;
    builder.add("h1", "home", {0, 40});
    builder.add("h2", "home", {40, 80}).kvTokenLayers = 1e5;
    builder.add("h3", "home", {30, 80}).peersAvoiding = 1;
    builder.add("a1", "away", {0, 50}, "large");
    builder.add("a2", "away", {50, 80}, "huge");
    builder.add("p1", "part", {0, 40}, "huge");
    return builder;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ChainExplanationTest)

BOOST_AUTO_TEST_CASE(each_data_centre_has_its_best_chain_with_the_terms_of_its_cost)
{
    // Guards against an explanation whose terms leave out a part of the cost that decides.
    const EngineModel model = lightModel();
    const FleetBuilder builder = threeDataCenters();
    const ChainExplanation explanation = explainChains(builder.fleet, contextAtHome(model), usualDemand, {}, std::mt19937_64(1));
    BOOST_REQUIRE(explanation.chains.size() == 2U);
    for (const ExplainedChain &chain : explanation.chains) {
        const bool isAtHome = chain.dataCenter == "home";
        BOOST_TEST(chain.terms.total() == chain.cost, boost::test_tools::tolerance(1e-9));
        BOOST_TEST(chain.terms.remoteStart == (isAtHome ? 0 : ChainTuning().remoteStartMs));
        BOOST_TEST(chain.terms.hop == ChainTuning().hopMs);
        BOOST_TEST(chain.terms.steps > 0);
        BOOST_TEST((chain.terms.kvPressure > 0) == isAtHome);
        BOOST_TEST(chain.terms.avoidedByPeers == 0);
        BOOST_TEST(chain.stages.size() == 2U);
        BOOST_TEST(chain.stages.back().stage.layers.to == 80);
        BOOST_TEST(chain.crossDataCenterBytes == 0);
    }
}

BOOST_AUTO_TEST_CASE(the_explanation_names_the_chain_that_the_selection_returns_with_the_same_seed)
{
    // Guards against an explanation that names another chain than the one that the next request gets.
    const EngineModel model = lightModel();
    FleetBuilder builder;
    for (const std::string dataCenter : {"home", "away"}) {
        for (int i = 0; i < 6; ++i) {
            builder.add(dataCenter + std::to_string(i), dataCenter, {i % 3 * 25, i % 3 == 2 ? 80 : i % 3 * 25 + 35});
        }
    }
    ChainTuning tuning;
    tuning.allowsCrossDataCenter = false;
    for (int seed = 0; seed < 50; ++seed) {
        std::mt19937_64 random(seed);
        const ChainExplanation explanation = explainChains(builder.fleet, contextAtHome(model), usualDemand, {}, random);
        BOOST_TEST((random == std::mt19937_64(seed)));
        BOOST_REQUIRE(explanation.selected.has_value());
        std::vector<ChainStage> stages;
        for (const ExplainedStage &stage : explanation.chains[*explanation.selected].stages) {
            stages.push_back(stage.stage);
        }
        BOOST_TEST((stages == selectChain(builder.fleet, contextAtHome(model), usualDemand, random, tuning)));
        for (const ExplainedChain &chain : explanation.chains) {
            BOOST_TEST(chain.cost >= explanation.chains[*explanation.selected].cost);
        }
    }
}

BOOST_AUTO_TEST_CASE(each_unusable_engine_has_its_reason)
{
    const EngineModel model = lightModel();
    FleetBuilder builder;
    builder.add("usable", "home", {0, 80}, "huge");
    builder.add("without-layers", "home", {0, 0});
    builder.add("unknown-kind", "home", {0, 80}, "odd");
    builder.add("draining", "home", {0, 80}).registered.isDraining = true;
    recordLeaving(builder.add("leaving", "home", {0, 80}));
    builder.add("needs-probe", "home", {0, 80}).needsProbe = true;
    recordFailure(builder.add("failed", "home", {0, 80}), start);
    recordRefusal(builder.add("refused", "home", {0, 80}), start);
    builder.add("full-cache", "home", {0, 80}, "huge").peersKvTokenLayers = 1e12;
    builder.add("full-slots", "home", {0, 80}, "huge").peersOpenRequests = 96;
    recordSilence(builder.add("silent", "home", {0, 80}, "huge"), start);
    recordRequestedPause(builder.add("paused", "home", {0, 80}, "huge"), milliseconds(2000), start);
    // A later engine needs no slot, so that neither slots nor pauses matter there.
    recordRequestedPause(builder.add("paused-later", "home", {20, 80}, "huge"), milliseconds(2000), start);
    builder.add("other-service", "home", {0, 0}).registered.service = {"talk"};

    const ChainExplanation explanation = explainChains(builder.fleet, contextAtHome(model), usualDemand, {}, std::mt19937_64(1));
    const std::vector<std::pair<const char *, EngineObstacle>> expected = {
        {"usable", EngineObstacle::None},
        {"without-layers", EngineObstacle::NoLayers},
        {"unknown-kind", EngineObstacle::UnknownAccelerator},
        {"draining", EngineObstacle::Draining},
        {"leaving", EngineObstacle::Draining},
        {"needs-probe", EngineObstacle::NeedsProbe},
        {"failed", EngineObstacle::AvoidedAfterFailures},
        {"refused", EngineObstacle::AvoidedAfterRefusals},
        {"full-cache", EngineObstacle::NoFreeKvCache},
        {"full-slots", EngineObstacle::NoFreeSlot},
        {"silent", EngineObstacle::Silent},
        {"paused", EngineObstacle::Paused},
        {"paused-later", EngineObstacle::None},
        {"other-service", EngineObstacle::None},
    };
    for (const auto &[id, obstacle] : expected) {
        BOOST_TEST(toString(obstacleOf(explanation, id)) == toString(obstacle), id);
    }
    for (const ExplainedObstacle &obstacle : explanation.obstacles) {
        BOOST_TEST(obstacle.isOnlyAsFirst == (obstacle.obstacle >= EngineObstacle::NoFreeSlot), obstacle.id.value);
        BOOST_TEST((obstacle.obstacle != EngineObstacle::Paused || obstacle.timeLeft == milliseconds(2000)));
        BOOST_TEST((obstacle.obstacle != EngineObstacle::AvoidedAfterFailures || obstacle.timeLeft == initialFailureBackoff));
    }
}

BOOST_AUTO_TEST_CASE(without_a_chain_the_explanation_tells_full_from_uncovered)
{
    const EngineModel model = lightModel();
    FleetBuilder builder;
    builder.add("h1", "home", {0, 40});
    builder.add("h2", "home", {40, 80}).kvTokenLayers = 1e12;
    ChainExplanation explanation = explainChains(builder.fleet, contextAtHome(model), usualDemand, {}, std::mt19937_64(1));
    BOOST_TEST(!explanation.selected.has_value());
    BOOST_TEST(explanation.chains.empty());
    BOOST_TEST(explanation.freeCapacity.coversAllLayers);
    BOOST_REQUIRE(explanation.freeCapacity.dataCenters.size() == 1U);
    BOOST_TEST(explanation.freeCapacity.dataCenters.front().bottleneckLayer == 40);

    findTarget(builder.fleet, {"h2"})->registered.isDraining = true;
    explanation = explainChains(builder.fleet, contextAtHome(model), usualDemand, {}, std::mt19937_64(1));
    BOOST_TEST(!explanation.freeCapacity.coversAllLayers);

    explanation = explainChains({}, contextAtHome(model), usualDemand, {}, std::mt19937_64(1));
    BOOST_TEST(!explanation.selected.has_value());
    BOOST_TEST(explanation.obstacles.empty());
}

BOOST_AUTO_TEST_CASE(chains_span_data_centres_only_with_a_budget)
{
    EngineModel model = lightModel();
    model.activationBytes = 16400;
    FleetBuilder builder;
    builder.add("h1", "home", {0, 40});
    builder.add("a1", "away", {40, 80});
    BOOST_TEST(!explainChains(builder.fleet, contextAtHome(model), usualDemand, {}, std::mt19937_64(1)).selected.has_value());
    const ChainExplanation explanation = explainChains(builder.fleet, contextAtHome(model), usualDemand, {true, 1}, std::mt19937_64(1));
    BOOST_REQUIRE(explanation.selected.has_value());
    const ExplainedChain &chain = explanation.chains[*explanation.selected];
    BOOST_TEST(explanation.allowsCrossDataCenter);
    BOOST_TEST(chain.dataCenter == "home");
    BOOST_TEST(chain.stages.back().dataCenter == "away");
    BOOST_TEST(chain.crossDataCenterBytes == 150 * 16400);
    BOOST_TEST(chain.terms.hop == ChainTuning().crossDataCenterHopMs);
}

BOOST_AUTO_TEST_CASE(an_engine_over_its_limit_is_passed_over_and_its_demand_stays)
{
    // Guards against explanations that count as wanted requests, of which each would take a share of the limit from callers.
    const EngineModel model = lightModel();
    FleetBuilder builder;
    Target &limited = builder.add("limited", "home", {0, 80}, "huge");
    builder.add("other", "away", {0, 80}, "huge");
    recordNamedLimit(limited.demand, 1, start, 0);
    limited.demand.wanted = 50;
    limited.demand.wantedAt = start;
    const ChainExplanation explanation = explainChains(builder.fleet, contextAtHome(model), usualDemand, {}, std::mt19937_64(1));
    BOOST_TEST(toString(obstacleOf(explanation, "limited")) == "over-request-limit");
    BOOST_REQUIRE(explanation.selected.has_value());
    BOOST_TEST(explanation.chains[*explanation.selected].dataCenter == "away");
    BOOST_TEST(limited.demand.wanted == 50);
    BOOST_TEST(limited.demand.credit == 0);
}

BOOST_AUTO_TEST_CASE(the_first_event_is_forecast_from_backlogs_prompts_and_links)
{
    EngineModel model = lightModel();
    BOOST_TEST(!explainChains(threeDataCenters().fleet, contextAtHome(model), usualDemand, {}, std::mt19937_64(1)).chains.front().firstEventMs.has_value());

    model.prefillChunkTokens = 512;
    model.prefillTokensPerMs = 353;
    model.delays = {{"home", "away", 15}};
    FleetBuilder builder;
    builder.add("a1", "away", {0, 40});
    addPrefill(builder.add("a2", "away", {40, 80}), 200, start);
    const ChainExplanation explanation = explainChains(builder.fleet, contextAtHome(model), usualDemand, {}, std::mt19937_64(1));
    BOOST_REQUIRE(explanation.chains.size() == 1U);
    const ExplainedChain &chain = explanation.chains.front();
    const double prefill = prefillMs(model, *findKind(model, "middle"), 100, 40);
    BOOST_TEST(prefill < 200);
    // The second engine begins with the prompt when its backlog is processed; the first has processed it by then.
    BOOST_TEST(*chain.firstEventMs == 2 * 15 + 200 + prefill + chain.terms.steps, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(chain.stages[1].backlogMs == 200, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
