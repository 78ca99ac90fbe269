// Forecast of the prompts that engines still have to process.
#include "policy/chain_selection.h"
#include "policy/prefill_forecast.h"
#include "policy/routes.h"
#include "tests/engine_models.h"

#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;

namespace
{

constexpr TimePoint start{std::chrono::seconds(1000)};

EngineModel chunkedModel()
{
    EngineModel model = largeModel();
    model.prefillTokensPerMs = 353;
    model.prefillChunkTokens = 512;
    return model;
}

} // namespace

BOOST_AUTO_TEST_SUITE(prefill_forecast)

BOOST_AUTO_TEST_CASE(a_prompt_takes_its_reading_and_the_decoding_steps_between_its_chunks)
{
    const EngineModel model = chunkedModel();
    const AcceleratorKind &kind = *findKind(model, "middle");
    // 1,024 tokens are one pass of two steps: 2 x 0.85 x 16 ms of decoding and 1,024 x 8.2 / 353 ms of reading, for 8 of 80 layers.
    BOOST_TEST(prefillMs(model, kind, 1024, 8) == 0.1 * (27.2 + 1024 * 8.2 / 353), boost::test_tools::tolerance(1e-9));
}

// Guards against a forecast, and decisions by it, where the configuration has no constants for one.
BOOST_AUTO_TEST_CASE(without_the_size_of_a_chunk_there_is_no_forecast)
{
    EngineModel model = chunkedModel();
    model.prefillChunkTokens = 0;
    BOOST_TEST(prefillMs(model, *findKind(model, "middle"), 1024, 8) == 0);
}

BOOST_AUTO_TEST_CASE(a_backlog_grows_with_each_prompt_and_shrinks_with_time)
{
    Target target;
    addPrefill(target, 30, start);
    addPrefill(target, 20, start + milliseconds(10));
    BOOST_TEST(prefillBacklogMs(target, start + milliseconds(10)) == 40, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(prefillBacklogMs(target, start + milliseconds(60)) == 0);
}

// Guards against a forecast that counts only this entry's streams when all entries lose the same engine.
BOOST_AUTO_TEST_CASE(in_a_recovery_the_streams_of_other_entries_count_too)
{
    Target lost;
    lost.openRequests = 5;
    lost.peersOpenRequests = 95;
    BOOST_TEST(recoveryMultiplier(lost) == 20);
    BOOST_TEST(recoveryMultiplier(Target{}) == 1);
}

static RegisteredTarget engineOf(const std::string &id, const std::string &dataCenter, LayerRange layers)
{
    RegisteredTarget registered;
    registered.id = {id};
    registered.service = {"chat"};
    registered.address = {"10.0.0.1", 80};
    registered.dataCenter = dataCenter;
    registered.accelerator = "middle";
    registered.layers = layers;
    return registered;
}

/// Two engines with the first layers, one with the others.
static Fleet fleetWithTwoFirstEngines()
{
    Fleet fleet;
    recordRegistration(fleet, engineOf("first", "a", {0, 8}), start);
    recordRegistration(fleet, engineOf("second", "a", {0, 8}), start);
    recordRegistration(fleet, engineOf("last", "a", {8, 16}), start);
    return fleet;
}

static EngineModel smallChunkedModel()
{
    EngineModel model = chunkedModel();
    model.layers = 16;
    model.layerMb = 100;
    return model;
}

static ChainSelectionContext contextFor(const EngineModel &model)
{
    ChainSelectionContext context;
    context.model = &model;
    context.service = {"chat"};
    context.dataCenter = "a";
    context.now = start;
    return context;
}

static std::string firstEngine(const Fleet &fleet, const ChainSelectionContext &context)
{
    std::mt19937_64 random(1);
    const std::vector<ChainStage> chain = selectChain(fleet, context, {100, 50}, random);
    return chain.empty() ? "none" : chain.front().id.value;
}

// Guards against new streams that queue behind the prompts of a recovery while another engine with the same layers is idle.
BOOST_AUTO_TEST_CASE(chains_avoid_an_engine_with_a_backlog)
{
    const EngineModel model = smallChunkedModel();
    const ChainSelectionContext context = contextFor(model);
    for (const std::string busy : {"first", "second"}) {
        Fleet fleet = fleetWithTwoFirstEngines();
        addChainPrefill(fleet, model, {{{busy}, {}, {0, 8}}}, 900, 100, start);
        BOOST_TEST(chainBacklogMs(fleet, {{{busy}, {}, {0, 8}}, {{"last"}, {}, {8, 16}}}, start) > 1000);
        BOOST_TEST(firstEngine(fleet, context) == (busy == "first" ? "second" : "first"));
    }
}

// Guards against a forecast that keeps engines out of use after they have processed their prompts.
BOOST_AUTO_TEST_CASE(a_backlog_in_the_past_does_not_count)
{
    const EngineModel model = smallChunkedModel();
    Fleet fleet = fleetWithTwoFirstEngines();
    addChainPrefill(fleet, model, {{{"first"}, {}, {0, 8}}}, 900, 100, start);
    recordFailure(*findTarget(fleet, {"second"}), start + std::chrono::hours(1));
    ChainSelectionContext context = contextFor(model);
    context.now = start + std::chrono::hours(1);
    BOOST_TEST(firstEngine(fleet, context) == "first");
    BOOST_TEST(chainBacklogMs(fleet, {{{"first"}, {}, {0, 8}}}, context.now) == 0);
}

// Guards against a change of the selection for models without the constants of a forecast.
BOOST_AUTO_TEST_CASE(without_the_size_of_a_chunk_chains_have_no_backlog)
{
    EngineModel model = smallChunkedModel();
    model.prefillChunkTokens = 0;
    Fleet fleet = fleetWithTwoFirstEngines();
    addChainPrefill(fleet, model, {{{"first"}, {}, {0, 8}}}, 900, 100, start);
    BOOST_TEST(chainBacklogMs(fleet, {{{"first"}, {}, {0, 8}}}, start) == 0);
}

// Guards against moves of streams off engines that hold their KV cache, which would make these process the tokens again elsewhere.
BOOST_AUTO_TEST_CASE(a_stage_that_a_stream_keeps_does_not_wait_for_prompts)
{
    const EngineModel model = smallChunkedModel();
    Fleet fleet = fleetWithTwoFirstEngines();
    recordRegistration(fleet, engineOf("other last", "a", {8, 16}), start);
    ChainSelectionContext context = contextFor(model);
    context.current = {{{"first"}, {}, {0, 8}}, {{"last"}, {}, {8, 16}}};
    addChainPrefill(fleet, model, context.current, 900, 100, start);
    std::mt19937_64 random(1);
    const std::vector<ChainStage> chain = selectChain(fleet, context, {100, 50}, random);
    BOOST_REQUIRE(chain.size() == 2U);
    BOOST_TEST(chain.back().id.value == "last");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(priorities)

static RouteTable tableWith(std::vector<int> ofRoutes, std::optional<int> ofWorkspace = {})
{
    RouteTable table;
    table.services[{"chat"}].name = {"chat"};
    for (const int priority : ofRoutes) {
        Route route;
        route.kind = CallKind::Stream;
        route.priority = priority;
        route.services = {{{"chat"}, 1}};
        table.routes.push_back(route);
    }
    table.requiresKeys = true;
    table.keyOwners["key"] = {{"studio"}, ofWorkspace};
    indexRoutes(table);
    return table;
}

// Guards against an order by urgency in deployments whose configuration asks for none.
BOOST_AUTO_TEST_CASE(a_service_has_priorities_only_if_its_streams_differ_in_them)
{
    BOOST_TEST(!tableWith({1, 1}).services.at({"chat"}).hasPriorities);
    BOOST_TEST(tableWith({0, 1}).services.at({"chat"}).hasPriorities);
    BOOST_TEST(!tableWith({1, 1}, 0).services.at({"chat"}).hasPriorities);
    RouteTable table = tableWith({1, 1}, 1);
    BOOST_TEST(!table.services.at({"chat"}).hasPriorities);
    table.keyOwners["other key"] = {{"school"}, 0};
    indexRoutes(table);
    BOOST_TEST(!table.services.at({"chat"}).hasPriorities);
}

// Guards against routes whose priority decides nothing because each workspace states one too.
BOOST_AUTO_TEST_CASE(the_priority_of_a_workspace_goes_first_and_that_of_the_route_decides_among_equals)
{
    RouteTable table = tableWith({0, 2}, 1);
    table.keyOwners["other key"] = {{"school"}, 0};
    indexRoutes(table);
    const Route &urgent = table.routes[0];
    const Route &patient = table.routes[1];
    BOOST_TEST(requestPriority(table, urgent, 0) == 0);
    BOOST_TEST(requestPriority(table, patient, 0) == 1);
    BOOST_TEST(requestPriority(table, urgent, 1) == 2);
    BOOST_TEST(requestPriority(table, patient, 1) == 3);
}

// Guards against ranks beyond what engines accept.
BOOST_AUTO_TEST_CASE(beyond_ten_priorities_the_least_urgent_share_a_rank)
{
    const RouteTable table = tableWith({0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, 1);
    RouteTable larger = table;
    larger.keyOwners["other key"] = {{"school"}, 0};
    indexRoutes(larger);
    BOOST_TEST(requestPriority(table, table.routes[9], 1) == lowestPriority);
    BOOST_TEST(requestPriority(larger, larger.routes[9], 0) == lowestPriority);
    BOOST_TEST(requestPriority(larger, larger.routes[0], 1) == lowestPriority);
}

// Guards against decisions by forecast in deployments whose operators ask for none.
BOOST_AUTO_TEST_CASE(the_setting_limits_the_forecast_to_some_services)
{
    const auto chunkOf = [](std::vector<int> ofRoutes, std::string_view scope) {
        RouteTable table = tableWith(std::move(ofRoutes));
        table.services.at({"chat"}).engine = chunkedModel();
        limitForecast(table, scope);
        return table.services.at({"chat"}).engine->prefillChunkTokens;
    };
    BOOST_TEST(chunkOf({0, 1}, "priorities") == 512);
    BOOST_TEST(chunkOf({1, 1}, "priorities") == 0);
    BOOST_TEST(chunkOf({1, 1}, "always") == 512);
    BOOST_TEST(chunkOf({0, 1}, "never") == 0);
}

BOOST_AUTO_TEST_CASE(the_delay_of_a_link_is_the_same_in_both_directions)
{
    EngineModel model;
    model.delays = {{"a", "b", 0.62}};
    BOOST_TEST(dataCenterDelayMs(model, "a", "b") == 0.62);
    BOOST_TEST(dataCenterDelayMs(model, "b", "a") == 0.62);
    BOOST_TEST(dataCenterDelayMs(model, "a", "c") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
