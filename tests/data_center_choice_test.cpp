// Choice of the data centre in which streams start, and of how many leave: without a network.
#include "policy/chain_selection.h"
#include "policy/cross_data_center_budget.h"
#include "policy/data_center_choice.h"
#include "policy/load_exchange.h"
#include "tests/engine_models.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace Parsleytrail;

namespace
{

constexpr TimePoint start{std::chrono::seconds(1000)};

DataCenterOption optionAt(const std::string &dataCenter, double firstEventMs, double fittingStreams = 100)
{
    DataCenterOption option;
    option.dataCenter = dataCenter;
    option.hasChain = true;
    option.costMs = 10;
    option.firstEventMs = firstEventMs;
    option.fittingStreams = fittingStreams;
    return option;
}

/// A stream that is late in its own data centre and in time in another one.
ChoiceInputs overloadedHome()
{
    ChoiceInputs inputs;
    inputs.local = optionAt("home", 900);
    inputs.others = {optionAt("away", 60)};
    inputs.hasTarget = true;
    inputs.msLeft = 500;
    return inputs;
}

std::string_view reasonOf(const DataCenterChoice &state, const ChoiceInputs &inputs, TimePoint now = start)
{
    return choiceReasonName(chooseDataCenter(state, inputs, now).reason);
}

RegisteredTarget engineAt(const std::string &id, const std::string &dataCenter, LayerRange layers)
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

} // namespace

BOOST_AUTO_TEST_SUITE(data_center_choice)

// Guards against streams that wait behind the prompts of a recovery while another data centre is idle.
BOOST_AUTO_TEST_CASE(a_late_stream_leaves_for_a_data_centre_where_it_is_in_time)
{
    const Choice choice = chooseDataCenter({}, overloadedHome(), start);
    BOOST_TEST(choice.dataCenter == "away");
    BOOST_TEST(choiceReasonName(choice.reason) == "elsewhere-in-time");
}

// Guards against work that leaves without need, and against leaving a place for another one where the stream is late as well.
BOOST_AUTO_TEST_CASE(a_stream_stays_if_leaving_does_not_pay)
{
    ChoiceInputs inputs = overloadedHome();
    inputs.local.firstEventMs = 500;
    BOOST_TEST(reasonOf({}, inputs) == "local-in-time");
    inputs = overloadedHome();
    inputs.hasTarget = false;
    BOOST_TEST(reasonOf({}, inputs) == "local-in-time");
    inputs = overloadedHome();
    inputs.others = {optionAt("away", 501)};
    BOOST_TEST(reasonOf({}, inputs) == "late-everywhere");
    BOOST_TEST(chooseDataCenter({}, inputs, start).dataCenter == "home");
    inputs.msLeft = -1; // arrived late already
    BOOST_TEST(reasonOf({}, inputs) == "late-everywhere");
}

// Guards against a slow link that makes a stream late, which was forecast without it.
BOOST_AUTO_TEST_CASE(the_forecast_counts_the_link_in_both_directions)
{
    const DataCenterChoice state;
    BOOST_TEST(firstEventForecastMs(state, "away", 40, 20, 30, start) == 120);
    BOOST_TEST(firstEventForecastMs(state, "away", 0, 0, 0, start) == 0);
}

// Guards against a forecast for an idle data centre that contains what streams waited in the overloaded one.
BOOST_AUTO_TEST_CASE(delays_are_observed_for_each_data_centre_and_expire)
{
    DataCenterChoice state;
    recordFirstEvent(state, "home", 700, start);
    BOOST_TEST(firstEventForecastMs(state, "home", 40, 0, 0, start) == 700);
    BOOST_TEST(firstEventForecastMs(state, "away", 40, 0, 0, start) == 40);
    BOOST_TEST(firstEventForecastMs(state, "home", 40, 0, 0, start + firstEventLifetime) == 40);
    recordFirstEvent(state, "home", -5, start + 2 * firstEventLifetime); // the backlog was forecast too long
    BOOST_TEST(firstEventForecastMs(state, "home", 40, 0, 0, start + 2 * firstEventLifetime) == 0);
}

// Guards against decisions by loads that have changed long ago. The limit is the one after which reports of other entries are dropped.
BOOST_AUTO_TEST_CASE(with_stale_reports_only_streams_without_a_local_chain_leave)
{
    BOOST_TEST((maxReportAge == exchangeTimeout));
    ChoiceInputs inputs = overloadedHome();
    inputs.reportAge = maxReportAge;
    BOOST_TEST(reasonOf({}, inputs) == "stale-reports");
    inputs.local = {"home"};
    BOOST_TEST(reasonOf({}, inputs) == "no-local-chain");
}

// Guards against refusals for a share or an allowance while there is a chain elsewhere.
BOOST_AUTO_TEST_CASE(a_stream_without_a_local_chain_leaves_whatever_the_share_is)
{
    ChoiceInputs inputs = overloadedHome();
    inputs.local = {"home"};
    inputs.others = {optionAt("near", 50, 0), optionAt("far", 80, 10)};
    inputs.draw = 0.99;
    BOOST_TEST(chooseDataCenter({}, inputs, start).dataCenter == "far", "one where streams still fit goes first");
    inputs.others = {optionAt("near", 50, 0), optionAt("far", 80, 0)};
    BOOST_TEST(chooseDataCenter({}, inputs, start).dataCenter == "near");
    inputs.hasTarget = false;
    BOOST_TEST(chooseDataCenter({}, inputs, start).dataCenter == "near");
}

// Guards against streams that are sent to a lost data centre.
BOOST_AUTO_TEST_CASE(a_data_centre_without_a_chain_gets_nothing)
{
    ChoiceInputs inputs = overloadedHome();
    inputs.others.front().hasChain = false;
    BOOST_TEST(reasonOf({}, inputs) == "late-everywhere");
    inputs.local = {"home"};
    BOOST_TEST(reasonOf({}, inputs) == "no-chain");
    BOOST_TEST(chooseDataCenter({}, inputs, start).dataCenter.empty());
    inputs.others.clear();
    BOOST_TEST(reasonOf({}, inputs) == "no-chain");
}

BOOST_AUTO_TEST_CASE(the_share_doubles_while_local_chains_are_late_and_falls_slowly_afterwards)
{
    DataCenterChoice state;
    const auto second = [&](int arrivals, int misses) {
        state.arrivals = arrivals;
        state.localMisses = misses;
        adaptLeavingShare(state);
        return state.leavingShare;
    };
    BOOST_TEST(second(10, 10) == 0.5);
    BOOST_TEST(second(10, 5) == 1);
    BOOST_TEST(second(10, 10) == 1);
    BOOST_TEST(second(10, 4) == 0.75);
    BOOST_TEST(second(0, 0) == 0.5625);
    for (int i = 0; i < 10; ++i) {
        second(10, 0);
    }
    BOOST_TEST(state.leavingShare == minLeavingShare);
}

// Guards against shares of a stream that never add up to one: entries with little demand would send nothing.
BOOST_AUTO_TEST_CASE(parts_of_a_stream_add_up_over_windows)
{
    DataCenterChoice state;
    ChoiceInputs inputs = overloadedHome();
    inputs.others.front().fittingStreams = 10;
    inputs.demandShare = 0.025;
    int leaves = 0;
    for (int second = 0; second < 40; ++second) {
        const TimePoint now = start + std::chrono::seconds(second);
        const Choice choice = chooseDataCenter(state, inputs, now);
        recordChoice(state, inputs, choice, now);
        leaves += choice.dataCenter == "away" ? 1 : 0;
    }
    BOOST_TEST(leaves >= 8);
    BOOST_TEST(leaves <= 10);
}

// Guards against equal shares, which leave most of the room to entries that have no streams to send, and against shares of an idle fleet
// that add up to more than one.
BOOST_AUTO_TEST_CASE(an_entry_gets_its_share_of_the_demand)
{
    Fleet fleet;
    BOOST_TEST(demandShare(fleet, {"chat"}, false, 8) == 0.125);
    BOOST_TEST(demandShare(fleet, {"chat"}, true, 8) == 0.125);
    BOOST_TEST(demandShare(fleet, {"chat"}, true, 0) == 1);
    BOOST_TEST(demandShare(fleet, {"chat"}, false, 0) == 1);
    recordRegistration(fleet, engineAt("e", "home", {0, 80}), start);
    Target &target = *findTarget(fleet, {"e"});
    target.peersOpenRequests = 92;
    BOOST_TEST(demandShare(fleet, {"chat"}, false, 8) == 0.01);
    target.openRequests = 49;
    target.peersOpenRequests = 43;
    BOOST_TEST(demandShare(fleet, {"chat"}, false, 8) == 0.5);
    BOOST_TEST(demandShare(fleet, {"other"}, false, 8) == 0.125);
}

BOOST_AUTO_TEST_CASE(streams_fit_by_cache_and_by_stated_slots)
{
    DataCenterFreeCapacity capacity;
    capacity.streams = 30;
    BOOST_TEST(fittingStreams(capacity) == 30);
    capacity.hasSlots = true;
    capacity.freeSlots = 4;
    BOOST_TEST(fittingStreams(capacity) == 4);
}

// Guards against a search of one data centre that uses engines of others.
BOOST_AUTO_TEST_CASE(a_chain_of_one_data_centre_uses_only_its_engines)
{
    const EngineModel model = lightModel();
    Fleet fleet;
    recordRegistration(fleet, engineAt("h", "home", {0, 80}), start);
    recordRegistration(fleet, engineAt("a1", "away", {0, 40}), start);
    recordRegistration(fleet, engineAt("a2", "away", {40, 80}), start);
    ChainSelectionContext context;
    context.model = &model;
    context.service = {"chat"};
    context.dataCenter = "home";
    context.now = start;
    std::mt19937_64 random(1);
    ChainTuning tuning;
    tuning.onlyDataCenter = "away";
    const RatedChain chain = selectRatedChain(fleet, context, {100, 50}, random, tuning);
    BOOST_REQUIRE(chain.stages.size() == 2U);
    BOOST_TEST(chain.costMs > tuning.remoteStartMs);
    tuning.onlyDataCenter = "lost";
    BOOST_TEST(selectRatedChain(fleet, context, {100, 50}, random, tuning).stages.empty());
}

namespace
{

/// Several entries of one overloaded data centre, whose streams fit another one in part. Each sees what the others have started there
/// only after a delay.
struct SwarmSimulation {
    int entries = 8;
    double capacity = 60;               ///< streams that fit the other data centre
    milliseconds reportDelay{400};      ///< age of what an entry knows of the others
    milliseconds streamTime{2000};      ///< duration of a stream
    milliseconds arrivalInterval{10};   ///< between streams of all entries together
    int mostOpen = 0;                   ///< result: most streams open at once in the other data centre
    std::vector<int> leavesPerSecond{}; ///< result

    struct Stream {
        TimePoint startedAt;
        int entry;
    };
    std::deque<Stream> streams{};

    int openTo(int entry, TimePoint now) const
    {
        return static_cast<int>(std::count_if(streams.begin(), streams.end(), [&](const Stream &stream) {
            const TimePoint seenAt = stream.entry == entry ? now : now - reportDelay;
            return stream.startedAt <= seenAt && seenAt < stream.startedAt + streamTime;
        }));
    }
    void run(int seconds)
    {
        std::mt19937_64 random(7);
        std::uniform_real_distribution<double> draw(0, 1);
        std::vector<DataCenterChoice> states(entries);
        leavesPerSecond.assign(seconds, 0);
        int arrivals = 0;
        for (milliseconds at{0}; at < std::chrono::seconds(seconds); at += arrivalInterval) {
            const TimePoint now = start + at;
            if (at.count() % 1000 == 0 && at.count() > 0) {
                std::for_each(states.begin(), states.end(), adaptLeavingShare);
            }
            const int entry = arrivals++ % entries;
            ChoiceInputs inputs = overloadedHome();
            inputs.others.front().fittingStreams = std::max(0.0, capacity - openTo(entry, now));
            inputs.demandShare = 1.0 / entries;
            inputs.draw = draw(random);
            const Choice choice = chooseDataCenter(states[entry], inputs, now);
            recordChoice(states[entry], inputs, choice, now);
            if (choice.dataCenter == "away") {
                streams.push_back({now, entry});
                ++leavesPerSecond[std::chrono::duration_cast<std::chrono::seconds>(at).count()];
            }
            std::erase_if(streams, [&](const Stream &stream) {
                return stream.startedAt + streamTime + reportDelay < now;
            });
            const auto open = std::count_if(streams.begin(), streams.end(), [&](const Stream &stream) {
                return stream.startedAt + streamTime > now;
            });
            mostOpen = std::max(mostOpen, static_cast<int>(open));
        }
    }
};

} // namespace

// Guards against entries that all see the same free data centre and overload it together before their reports arrive, and against
// alternating between all and none.
BOOST_AUTO_TEST_CASE(many_entries_with_delayed_views_fill_a_data_centre_and_do_not_overload_it)
{
    for (const int entries : {1, 8, 28}) {
        SwarmSimulation simulation;
        simulation.entries = entries;
        simulation.run(30);
        std::string series;
        for (const int leaves : simulation.leavesPerSecond) {
            series += std::to_string(leaves) + ' ';
        }
        BOOST_TEST_CONTEXT("entries " << entries << ", most open " << simulation.mostOpen << ", leaves in each second " << series)
        {
            BOOST_TEST(simulation.mostOpen <= simulation.capacity * 1.2);
            BOOST_TEST(simulation.mostOpen >= simulation.capacity * 0.6);
            // Two seconds are the duration of a stream. The start is a step, whose effect fades with each window.
            int least = 1000;
            int most = 0;
            for (int second = 5; second + 1 < 30; ++second) {
                const int leaves = simulation.leavesPerSecond[second] + simulation.leavesPerSecond[second + 1];
                BOOST_TEST(leaves >= simulation.capacity / 3);
                least = second >= 20 ? std::min(least, leaves) : least;
                most = second >= 20 ? std::max(most, leaves) : most;
            }
            BOOST_TEST(most - least <= simulation.capacity / 2, "no alternation between a full and an empty data centre");
        }
    }
}

BOOST_AUTO_TEST_CASE(choices_keep_their_limits_for_random_inputs)
{
    const bool isRight = rc::check([] {
        DataCenterChoice state;
        TimePoint now = start;
        std::map<std::string, LeavingAllowance> granted; // leaves: in this window; left: limit of them
        const auto steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(*rc::gen::inRange(0, 300));
            ChoiceInputs inputs;
            inputs.local = optionAt("home", *rc::gen::inRange(0, 1000));
            inputs.local.hasChain = *rc::gen::inRange(0, 5) > 0;
            for (const char *name : {"away", "far"}) {
                inputs.others.push_back(optionAt(name, *rc::gen::inRange(0, 1000), *rc::gen::inRange(0, 8)));
                inputs.others.back().hasChain = *rc::gen::inRange(0, 4) > 0;
            }
            inputs.hasTarget = *rc::gen::inRange(0, 5) > 0;
            inputs.msLeft = *rc::gen::inRange(-100, 800);
            inputs.reportAge = milliseconds(*rc::gen::inRange(0, 2000));
            inputs.demandShare = *rc::gen::inRange(0, 101) / 100.0;
            inputs.draw = *rc::gen::inRange(0, 100) / 100.0;
            const Choice choice = chooseDataCenter(state, inputs, now);
            const bool isLate = inputs.hasTarget && inputs.local.firstEventMs > inputs.msLeft;
            if (inputs.local.hasChain && (!isLate || inputs.reportAge >= maxReportAge)) {
                RC_ASSERT(choice.dataCenter == "home");
            }
            for (const DataCenterOption &option : inputs.others) {
                if (option.dataCenter != choice.dataCenter) {
                    continue;
                }
                RC_ASSERT(option.hasChain);
                if (inputs.local.hasChain) {
                    RC_ASSERT(option.firstEventMs <= inputs.msLeft);
                    RC_ASSERT(leavingAllowance(state, option, inputs.demandShare, now) >= 1);
                }
            }
            recordChoice(state, inputs, choice, now);
            for (const DataCenterOption &option : inputs.others) {
                LeavingAllowance &window = granted[option.dataCenter];
                if (window.grantedAt != state.allowances[option.dataCenter].grantedAt) {
                    // Earlier windows pass on at most one stream.
                    window = {state.allowances[option.dataCenter].grantedAt, 0, option.fittingStreams * inputs.demandShare + 1, 0};
                }
                const bool leavesByChoice = option.dataCenter == choice.dataCenter && inputs.local.hasChain;
                window.leaves += leavesByChoice ? 1 : 0;
                RC_ASSERT(static_cast<double>(window.leaves) <= window.left);
            }
            if (*rc::gen::inRange(0, 5) == 0) {
                adaptLeavingShare(state);
            }
            RC_ASSERT(state.leavingShare >= minLeavingShare);
            RC_ASSERT(state.leavingShare <= 1);
            for (const auto &[name, allowance] : state.allowances) {
                RC_ASSERT(allowance.left <= 8 + 1);
            }
        }
    });
    BOOST_TEST(isRight);
}

// Guards against a model without constants that gets forecasts other than zero or not finite.
BOOST_AUTO_TEST_CASE(a_model_of_zeros_has_a_forecast_of_zero)
{
    Fleet fleet;
    recordRegistration(fleet, engineAt("e", "home", {0, 80}), start);
    EngineModel model;
    const std::vector<ChainStage> chain = {{{"e"}, {}, {0, 80}}, {{"unknown"}, {}, {80, 90}}};
    BOOST_TEST(unloadedFirstEventMs(fleet, model, chain, 900) == 0);
    model = lightModel();
    model.prefillTokensPerMs = 0;
    model.prefillChunkTokens = 512;
    // One pass of two steps remains: 2 x 0.85 x 16 ms.
    BOOST_TEST(unloadedFirstEventMs(fleet, model, chain, 900) == 27.2, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(link_rate)

// Guards against a link that stays overloaded, as its configured capacity is not what it carries.
BOOST_AUTO_TEST_CASE(the_rate_is_halved_while_gaps_are_long_and_grows_back)
{
    ObservedLink link;
    const auto second = [&](double gapMs) {
        recordCrossDataCenterGap(link, gapMs, milliseconds(300));
        adaptLinkRate(link);
        return link.rateFactor;
    };
    BOOST_TEST(second(150) == 1, "half of the target is not over it");
    BOOST_TEST(second(151) == 0.5);
    BOOST_TEST(second(400) == 0.25);
    BOOST_TEST(second(50) == 0.35, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(adaptLinkRate(link), "without streams on the link the rate grows back too");
    BOOST_TEST(link.rateFactor == 0.45, boost::test_tools::tolerance(1e-9));
}

// Guards against a rate of zero, which means no limit, and against a division by a target of zero.
BOOST_AUTO_TEST_CASE(the_rate_never_becomes_zero_and_needs_a_target)
{
    ObservedLink link;
    for (int i = 0; i < 100; ++i) {
        recordCrossDataCenterGap(link, 5000, milliseconds(300));
        adaptLinkRate(link);
    }
    EngineModel model = lightModel();
    model.dataCenterLinkMbps = 1000;
    BOOST_TEST(makeCrossDataCenterBudget(model, demandShare({}, {"chat"}, true, 400) * link.rateFactor).perSecond > 0);
    link = {};
    recordCrossDataCenterGap(link, 5000, milliseconds(0));
    BOOST_TEST(!adaptLinkRate(link));
    BOOST_TEST(link.rateFactor == 1);
}

// Guards against shares of the link that add up to more than it carries.
BOOST_AUTO_TEST_CASE(the_shares_of_all_entries_make_up_the_link)
{
    EngineModel model = lightModel();
    model.dataCenterLinkMbps = 1000;
    double sum = 0;
    for (const int own : {2, 10, 88}) {
        Fleet fleet;
        recordRegistration(fleet, engineAt("e", "home", {0, 80}), start);
        findTarget(fleet, {"e"})->openRequests = own;
        findTarget(fleet, {"e"})->peersOpenRequests = 100 - own;
        sum += makeCrossDataCenterBudget(model, demandShare(fleet, {"chat"}, false, 3)).perSecond;
    }
    BOOST_TEST(sum == makeCrossDataCenterBudget(model, 1).perSecond, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
