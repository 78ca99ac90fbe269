// Selection of the engines for a stream: KV cache, slots, data centres, slow and failed engines.
#include "policy/chain_selection.h"
#include "policy/cross_data_center_budget.h"
#include "policy/fleet.h"
#include "tests/engine_models.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace Parsleytrail;

namespace
{

constexpr TimePoint start{std::chrono::seconds(1000)};

/// Builds a fleet of engines that hold the given ranges.
struct FleetBuilder {
    Fleet fleet;
    int next = 0;

    TargetId add(const std::string &dataCenter, LayerRange layers, const std::string &kind = "middle")
    {
        RegisteredTarget registered;
        registered.id = {"e" + std::to_string(next++)};
        registered.service = {"chat"};
        registered.address = {"10.0.0." + std::to_string(next), 80};
        registered.dataCenter = dataCenter;
        registered.accelerator = kind;
        registered.layers = layers;
        recordRegistration(fleet, registered, start);
        return registered.id;
    }
};

ChainSelectionContext contextIn(const EngineModel &model, const std::string &dataCenter)
{
    ChainSelectionContext context;
    context.model = &model;
    context.service = {"chat"};
    context.dataCenter = dataCenter;
    context.now = start;
    return context;
}

/// Checks that every layer is applied once and in order, no engine is used twice, and each engine holds its stage.
void checkChain(const EngineModel &model, const Fleet &fleet, const std::vector<ChainStage> &chain)
{
    BOOST_REQUIRE(!chain.empty());
    int next = 0;
    std::set<TargetId> seen;
    for (const ChainStage &stage : chain) {
        BOOST_TEST(stage.layers.from == next);
        BOOST_TEST(stage.layers.count() > 0);
        BOOST_TEST(seen.insert(stage.id).second);
        BOOST_TEST(findTarget(fleet, stage.id)->registered.layers.contains(stage.layers));
        next = stage.layers.to;
    }
    BOOST_TEST(next == model.layers);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ChainSelectionTest)

BOOST_AUTO_TEST_CASE(chainsApplyEveryLayerOnce)
{
    const EngineModel model = lightModel();
    FleetBuilder builder;
    builder.add("a", {0, 30});
    builder.add("a", {20, 50});
    builder.add("a", {25, 60});
    builder.add("a", {45, 80});
    builder.add("a", {0, 45});
    std::mt19937_64 random(1);
    for (int i = 0; i < 50; ++i) {
        checkChain(model, builder.fleet, selectChain(builder.fleet, contextIn(model, "a"), {100, 50}, random));
    }
}

BOOST_AUTO_TEST_CASE(chainsStayInADataCenter)
{
    // The home data centre lacks layers 40-60. A mixed chain sends the activations of every token between data centres twice; a
    // complete chain in the other one sends only the events.
    const EngineModel model = lightModel();
    FleetBuilder builder;
    builder.add("home", {0, 40});
    builder.add("home", {60, 80});
    const TargetId first = builder.add("away", {0, 40});
    builder.add("away", {40, 80});
    std::mt19937_64 random(1);
    const std::vector<ChainStage> chain = selectChain(builder.fleet, contextIn(model, "home"), {100, 50}, random);
    checkChain(model, builder.fleet, chain);
    BOOST_TEST(chain.size() == 2U);
    BOOST_TEST((chain[0].id == first));
}

BOOST_AUTO_TEST_CASE(chainsCrossDataCentersOnlyIfAllowed)
{
    const EngineModel model = lightModel();
    FleetBuilder builder;
    builder.add("home", {0, 40});
    const TargetId secondHalf = builder.add("away", {40, 80});
    std::mt19937_64 random(1);
    const ChainSelectionContext context = contextIn(model, "home");
    checkChain(model, builder.fleet, selectChain(builder.fleet, context, {100, 50}, random));
    ChainTuning near;
    near.allowsCrossDataCenter = false;
    BOOST_TEST(selectChain(builder.fleet, context, {100, 50}, random, near).empty());
    recordRemoval(builder.fleet, secondHalf, start);
    BOOST_TEST(!freeCapacityLeft(builder.fleet, context, {900, 200}).coversAllLayers);
}

BOOST_AUTO_TEST_CASE(aFullFleetStillCoversAllLayers)
{
    // Guards against a full fleet being taken for one with uncovered layers: refused callers were told to retry once missing
    // layers are loaded, and the log reported uncovered layers.
    const EngineModel model = lightModel();
    FleetBuilder builder;
    Target *target = findTarget(builder.fleet, builder.add("home", {0, 80}, "huge"));
    target->registered.slots = 10;
    target->openRequests = 10;
    std::mt19937_64 random(1);
    const ChainSelectionContext context = contextIn(model, "home");
    BOOST_TEST(selectChain(builder.fleet, context, {100, 50}, random).empty());
    BOOST_TEST(freeCapacityLeft(builder.fleet, context, {900, 200}).coversAllLayers);
}

BOOST_AUTO_TEST_CASE(crossDataCenterTrafficStaysUnderTheLinkCapacity)
{
    // A burst fills different layers in each data centre, so that only chains across data centres have free capacity. When all
    // streams used them, the link was overloaded many times over, callers got no event for two seconds and disconnected, and the
    // KV cache of the delayed streams kept both data centres full long after the burst. The traffic that all entries together
    // allow must stay under the link's capacity, for requests of any size.
    EngineModel model = lightModel();
    model.activationBytes = 16400;
    model.dataCenterLinkMbps = 3120;
    FleetBuilder builder;
    const std::vector<ChainStage> chain = {
        {builder.add("home", {0, 30}), {}, {0, 30}}, {builder.add("home", {30, 40}), {}, {30, 40}}, {builder.add("away", {40, 80}), {}, {40, 80}}};
    constexpr int entries = 25;
    constexpr int seconds = 10;
    std::vector<TokenBucket> budgets(entries, makeCrossDataCenterBudget(model, 1.0 / entries));
    double bytes = 0;
    for (int tick = 0; tick < seconds * 100; ++tick) {
        for (TokenBucket &budget : budgets) {
            const StreamDemand demand{100.0 + 20 * (tick % 100), 200};
            if (hasCrossDataCenterBudget(budget, start + milliseconds(10) * tick)) {
                consumeCrossDataCenterBudget(budget, crossDataCenterBytes(builder.fleet, model, chain, demand));
                bytes += (demand.promptTokens + demand.answerTokens) * model.activationBytes;
            }
        }
    }
    const double linkBytes = model.dataCenterLinkMbps * 1e6 / 8 * seconds;
    BOOST_TEST(bytes < linkBytes);
    BOOST_TEST(bytes > linkBytes / 3);
    BOOST_TEST(crossDataCenterBytes(builder.fleet, model, {chain[0], chain[1]}, {100, 200}) == 0);
    TokenBucket unknown = makeCrossDataCenterBudget(lightModel(), 1.0 / entries);
    consumeCrossDataCenterBudget(unknown, 1e12);
    BOOST_TEST(hasCrossDataCenterBudget(unknown, start), "with a link of unknown capacity, traffic between data centres is not limited");
}

BOOST_AUTO_TEST_CASE(loadSpreadsOverEqualEngines)
{
    const EngineModel model = lightModel();
    FleetBuilder builder;
    const TargetId busy = builder.add("a", {0, 80}, "huge");
    const TargetId idle = builder.add("a", {0, 80}, "huge");
    findTarget(builder.fleet, busy)->openRequests = 40;
    findTarget(builder.fleet, idle)->peersOpenRequests = 10;
    std::mt19937_64 random(1);
    for (int i = 0; i < 20; ++i) {
        const std::vector<ChainStage> chain = selectChain(builder.fleet, contextIn(model, "a"), {100, 50}, random);
        BOOST_REQUIRE(chain.size() == 1U);
        BOOST_TEST((chain[0].id == idle));
    }
}

BOOST_AUTO_TEST_CASE(chainsAvoidSlowEngines)
{
    // An engine becomes twelve times slower. It still responds and passes events on, so that streams through it stay late to the
    // end; half of all chains kept starting there, though another engine holds the same layers. It must be used only if no
    // other holder has free capacity.
    const EngineModel model = lightModel();
    FleetBuilder builder;
    const TargetId slow = builder.add("a", {0, 40}, "huge");
    const TargetId other = builder.add("a", {0, 40}, "huge");
    builder.add("a", {40, 80}, "huge");
    findTarget(builder.fleet, slow)->slowdownFactor = 12;
    findTarget(builder.fleet, other)->openRequests = 100;
    std::mt19937_64 random(1);
    const ChainSelectionContext context = contextIn(model, "a");
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST((selectChain(builder.fleet, context, {100, 50}, random)[0].id == other));
    }
    recordRemoval(builder.fleet, other, start);
    BOOST_TEST((selectChain(builder.fleet, context, {100, 50}, random)[0].id == slow));
}

BOOST_AUTO_TEST_CASE(fullAndFailedEnginesAreExcluded)
{
    const EngineModel model = lightModel();
    FleetBuilder builder;
    const TargetId only = builder.add("a", {0, 40}, "huge");
    const TargetId second = builder.add("a", {40, 80}, "huge");
    std::mt19937_64 random(1);
    const ChainSelectionContext context = contextIn(model, "a");
    BOOST_TEST(!selectChain(builder.fleet, context, {100, 50}, random).empty());
    Target *target = findTarget(builder.fleet, second);
    target->peersKvTokenLayers = kvCapacity(model, target->registered);
    BOOST_TEST(selectChain(builder.fleet, context, {100, 50}, random).empty());
    target->peersKvTokenLayers = 0;
    recordFailure(*findTarget(builder.fleet, only), start);
    BOOST_TEST(selectChain(builder.fleet, context, {100, 50}, random).empty());
    BOOST_TEST(!freeCapacityLeft(builder.fleet, context, {900, 200}).coversAllLayers);
}

BOOST_AUTO_TEST_CASE(enginesAreFilledByTheAverageKvUseOfTheirStreams)
{
    // Streams of equal length start one after the other, so that on average half of their answers is written at any time. Planned
    // with full answers, an engine refused callers while part of its KV cache was never used. Planned with half of them, it must
    // be used up to the planned share, and what its streams actually hold must still fit.
    const EngineModel model = lightModel();
    const ChainTuning tuning;
    FleetBuilder builder;
    Target *target = findTarget(builder.fleet, builder.add("a", {0, 80}, "huge"));
    const StreamDemand demand{600, 400};
    std::mt19937_64 random(1);
    int streams = 0;
    while (!selectChain(builder.fleet, contextIn(model, "a"), demand, random).empty()) {
        target->kvTokenLayers += plannedKvTokens(demand) * model.layers;
        ++streams;
    }
    double held = 0;
    for (int i = 0; i < streams; ++i) {
        held += (demand.promptTokens + demand.answerTokens * i / streams) * model.layers;
    }
    const double capacity = kvCapacity(model, target->registered);
    BOOST_TEST(held <= capacity);
    BOOST_TEST(held + 2 * plannedKvTokens(demand) * model.layers >= capacity * tuning.kvFillLimit);
}

BOOST_AUTO_TEST_CASE(aFirstEngineTakesNoMoreThanItsSlots)
{
    // All streams of a data centre start at one engine with a limited number of slots. Above that number it refuses streams, at
    // the cost of a round trip each; a chain in another data centre with free slots must be preferred. A running request may
    // still pass through full engines, as it has its slot already.
    const EngineModel model = lightModel();
    FleetBuilder builder;
    const TargetId near = builder.add("home", {0, 80}, "huge");
    const TargetId far = builder.add("away", {0, 80}, "huge");
    findTarget(builder.fleet, near)->registered.slots = 100;
    findTarget(builder.fleet, far)->registered.slots = 100;
    std::mt19937_64 random(1);
    const ChainSelectionContext context = contextIn(model, "home");
    BOOST_TEST((selectChain(builder.fleet, context, {100, 50}, random)[0].id == near));
    findTarget(builder.fleet, near)->openRequests = 30;
    findTarget(builder.fleet, near)->peersOpenRequests = 70;
    findTarget(builder.fleet, far)->peersOpenRequests = 90;
    BOOST_TEST((selectChain(builder.fleet, context, {100, 50}, random)[0].id == far));
    findTarget(builder.fleet, far)->peersOpenRequests = 100;
    BOOST_TEST(selectChain(builder.fleet, context, {100, 50}, random).empty());
    ChainSelectionContext running = context;
    running.current = {{near, {}, {0, 80}}};
    BOOST_TEST(!selectChain(builder.fleet, running, {100, 50}, random).empty());
}

// Guards against an engine that is left idle as a later stage because it wants no requests from callers for a time.
BOOST_AUTO_TEST_CASE(aPausedEngineBeginsNoStreamsAndServesAsLaterStage)
{
    const EngineModel model = lightModel();
    FleetBuilder builder;
    const TargetId whole = builder.add("a", {0, model.layers / 2});
    const TargetId other = builder.add("a", {0, model.layers / 2});
    const TargetId later = builder.add("a", {model.layers / 2, model.layers});
    recordRequestedPause(*findTarget(builder.fleet, whole), milliseconds(1000), start);
    recordRequestedPause(*findTarget(builder.fleet, later), milliseconds(1000), start);
    std::mt19937_64 random(1);
    for (int i = 0; i < 20; ++i) {
        const std::vector<ChainStage> chain = selectChain(builder.fleet, contextIn(model, "a"), {100, 20}, random);
        checkChain(model, builder.fleet, chain);
        BOOST_TEST(chain.front().id.value == other.value);
        BOOST_TEST(chain.back().id.value == later.value);
    }
}

BOOST_AUTO_TEST_CASE(aRunningRequestKeepsItsFirstStage)
{
    const EngineModel model = lightModel();
    FleetBuilder builder;
    const TargetId first = builder.add("a", {0, 30});
    const TargetId dead = builder.add("a", {30, 80}, "huge");
    builder.add("a", {20, 80}, "huge");
    builder.add("a", {0, 80}, "huge");
    ChainSelectionContext context = contextIn(model, "a");
    context.current = {{first, {}, {0, 30}}, {dead, {}, {30, 80}}};
    context.excluded = {dead};
    std::mt19937_64 random(1);
    const std::vector<ChainStage> chain = selectChain(builder.fleet, context, {100, 50}, random);
    checkChain(model, builder.fleet, chain);
    BOOST_TEST((chain[0].id == first));
    BOOST_TEST((chain[0].layers == LayerRange{0, 30}));
    BOOST_TEST((chain[1].id != dead));
}

/// Guards against an engine that shuts down without notice and is tried by each entry, at the cost of one retry per entry.
BOOST_AUTO_TEST_CASE(anEngineThatPeersAvoidIsUsedOnlyIfTheDataCenterHasNoOther)
{
    const EngineModel model = lightModel();
    FleetBuilder builder;
    const TargetId leaving = builder.add("a", {0, 80}, "huge");
    const TargetId loaded = builder.add("a", {0, 80}, "huge");
    builder.add("b", {0, 80}, "huge");
    findTarget(builder.fleet, loaded)->openRequests = 100;
    std::mt19937_64 random(1);
    findTarget(builder.fleet, leaving)->peersAvoiding = 1;
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(selectChain(builder.fleet, contextIn(model, "a"), {100, 50}, random).front().id.value == loaded.value);
    }
    findTarget(builder.fleet, loaded)->registered.isDraining = true;
    BOOST_TEST(selectChain(builder.fleet, contextIn(model, "a"), {100, 50}, random).front().id.value == leaving.value);
}

/// Peak ratio of an engine's streams to the mean of all engines, when many entries select by the same stale loads.
static double peakLoadRatioWithStaleLoads(milliseconds reportAge, const ChainTuning &tuning)
{
    constexpr int dataCenters = 5;
    constexpr int entries = 70;
    constexpr int enginesEach = 3;
    constexpr milliseconds step{20};
    constexpr milliseconds streamTime{2000};
    constexpr milliseconds between{200}; // interval between two streams of one entry
    const EngineModel model = lightModel();
    FleetBuilder builder;
    std::vector<TargetId> engines;
    engines.reserve(dataCenters * enginesEach);
    for (int i = 0; i < dataCenters * enginesEach; ++i) {
        engines.push_back(builder.add("dc-" + std::to_string(i % dataCenters), {0, 80}, "huge"));
    }
    struct Open {
        TimePoint endsAt;
        int entry;
        TargetId engine;
    };
    std::vector<Open> open;
    std::vector<std::map<TargetId, int>> own(entries);
    std::map<TargetId, int> all;
    std::map<TargetId, int> reported;
    std::vector<std::map<TargetId, int>> ownReported(entries);
    std::mt19937_64 random(1);
    double worst = 0;
    TimePoint reportedAt = start;
    for (TimePoint now = start; now < start + std::chrono::seconds(8); now += step) {
        for (const Open &one : open) {
            if (one.endsAt <= now) {
                --own[one.entry][one.engine];
                --all[one.engine];
            }
        }
        std::erase_if(open, [now](const Open &one) {
            return one.endsAt <= now;
        });
        if (now - reportedAt >= reportAge) {
            reportedAt = now;
            reported = all;
            ownReported = own;
        }
        for (int entry = 0; entry < entries; ++entry) {
            if ((entry * step + (now - start)) % between != milliseconds(0)) {
                continue;
            }
            for (const TargetId &id : engines) {
                Target &target = *findTarget(builder.fleet, id);
                target.openRequests = own[entry][id];
                target.peersOpenRequests = reported[id] - ownReported[entry][id];
                target.kvTokenLayers = own[entry][id] * 1000.0 * model.layers;
                target.peersKvTokenLayers = target.peersOpenRequests * 1000.0 * model.layers;
            }
            const std::string dataCenter = "dc-" + std::to_string(entry % dataCenters);
            const std::vector<ChainStage> chain = selectChain(builder.fleet, contextIn(model, dataCenter), {900, 200}, random, tuning);
            BOOST_REQUIRE(!chain.empty());
            ++own[entry][chain.front().id];
            ++all[chain.front().id];
            open.push_back({now + streamTime, entry, chain.front().id});
        }
        if (now > start + streamTime) {
            for (const TargetId &id : engines) {
                worst = std::max(worst, static_cast<double>(all[id]) * static_cast<double>(engines.size()) / static_cast<double>(open.size()));
            }
        }
    }
    return worst;
}

/// Guards against entries of all data centres selecting the same engines until their loads are reported.
BOOST_AUTO_TEST_CASE(entriesWithTheSameStaleLoadsDoNotOverloadAnEngine)
{
    const double peakLoadRatio = peakLoadRatioWithStaleLoads(milliseconds(300), {});
    BOOST_TEST(peakLoadRatio <= 1.5, "an engine held " << peakLoadRatio << " times the mean");
    ChainTuning everywhere;
    everywhere.remoteStartMs = 1;
    everywhere.jitter = 0.05;
    BOOST_TEST_MESSAGE("without a cost for starting in another data centre: " << peakLoadRatioWithStaleLoads(milliseconds(300), everywhere));
}

BOOST_AUTO_TEST_SUITE_END()
