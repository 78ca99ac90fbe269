// What the fleet shows about the engines of a running stream.
#include "policy/chain_health.h"

#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;

namespace
{

const TimePoint now = TimePoint() + std::chrono::hours(1);

/// A chain of a first and a later engine, each with its layers in the fleet.
struct TwoStages {
    Fleet fleet{};
    std::vector<ChainStage> chain{};

    TwoStages()
    {
        const LayerRange ranges[] = {{0, 4}, {4, 8}};
        for (const LayerRange &layers : ranges) {
            RegisteredTarget registered;
            registered.id = TargetId{"engine-" + std::to_string(chain.size())};
            registered.layers = layers;
            recordRegistration(fleet, registered, now);
            chain.push_back({registered.id, {}, layers});
        }
    }
    Target &first()
    {
        return *findTarget(fleet, chain[0].id);
    }
    Target &later()
    {
        return *findTarget(fleet, chain[1].id);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ChainHealthTest)

BOOST_AUTO_TEST_CASE(workingEnginesAreLeftAlone)
{
    TwoStages stages;
    BOOST_TEST(!hasFailedStage(stages.fleet, stages.chain, now));
    BOOST_TEST(!hasReleasedStage(stages.fleet, stages.chain));
    BOOST_TEST(!hasDrainingStage(stages.fleet, stages.chain));
    BOOST_TEST(!hasFailedStage(stages.fleet, {}, now));
}

BOOST_AUTO_TEST_CASE(aFailedLaterEngineIsFound)
{
    // Guards against a stream that waits for a dead engine until its caller disconnects.
    TwoStages stages;
    recordFailure(stages.later(), now);
    BOOST_TEST(hasFailedStage(stages.fleet, stages.chain, now));
}

BOOST_AUTO_TEST_CASE(anEngineThatLeftTheRegistryDrains)
{
    // Guards against streams that stay at an engine until it ends, because it shuts down without reporting that it drains.
    TwoStages stages;
    recordRemoval(stages.fleet, stages.chain[1].id, now);
    BOOST_TEST(hasDrainingStage(stages.fleet, stages.chain));
    BOOST_TEST(!hasReleasedStage(stages.fleet, stages.chain));
}

BOOST_AUTO_TEST_CASE(releasedLayersAreFound)
{
    // Guards against layers that stay unloaded for seconds, because streams stay in those that the engine releases first.
    TwoStages stages;
    stages.later().registered.layers = {2, 6};
    BOOST_TEST(hasReleasedStage(stages.fleet, stages.chain));
}

BOOST_AUTO_TEST_CASE(theFirstEngineIsJudgedByItsConnection)
{
    // Guards against moves of a stream to the same first engine that it can't leave within one attempt.
    TwoStages stages;
    stages.first().registered.isDraining = true;
    recordFailure(stages.first(), now);
    BOOST_TEST(!hasFailedStage(stages.fleet, stages.chain, now));
    BOOST_TEST(!hasDrainingStage(stages.fleet, stages.chain));
}

BOOST_AUTO_TEST_SUITE_END()
