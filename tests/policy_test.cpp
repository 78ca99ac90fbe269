// Unit tests of the pure decision functions in src/policy.
#include "policy/budget.h"
#include "policy/chain.h"
#include "policy/circuit_breaker.h"
#include "policy/progress.h"
#include "policy/rendezvous.h"
#include "policy/stage_stream.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace Parsleytrail;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};

/// A ready target that holds layers [begin, end) of model m.
TargetView makeHolder(const std::string &id, std::uint32_t begin, std::uint32_t end, const std::string &dataCenter = "dc-0")
{
    TargetView view;
    view.last.target.value = id;
    view.last.incarnation.value = 1;
    view.last.state = TargetState::Ready;
    view.last.model.value = "m";
    view.last.version = "v1";
    view.last.layerBegin = begin;
    view.last.layerEnd = end;
    view.last.dataCenter = dataCenter;
    view.last.stepMicros = 1000;
    view.joinedAt = start - std::chrono::hours(1);
    return view;
}

std::vector<const TargetView *> pointers(const std::vector<TargetView> &views)
{
    std::vector<const TargetView *> list;
    list.reserve(views.size());
    for (const TargetView &view : views) {
        list.push_back(&view);
    }
    return list;
}

const ModelRequirements requirements{{"m"}, "v1", "", 30};

OpenStage makeOpenStage(std::uint32_t attempt, std::uint32_t stage, std::uint32_t stages)
{
    OpenStage open;
    open.request.value = "r";
    open.attempt.value = attempt;
    open.stageIndex = stage;
    for (std::uint32_t i = 0; i < stages; ++i) {
        open.stages.push_back({{"t" + std::to_string(i)}, {1}, "127.0.0.1", 1, i * 10, i * 10 + 10});
    }
    open.maxTokens = 1000;
    return open;
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy)

// [SECTION] Stages

BOOST_AUTO_TEST_CASE(a_stage_applies_each_position_once_in_order_whatever_arrives)
{
    // Frames arrive duplicated, late, out of order, overlapping, from old attempts and for other layers. The engine must
    // still get each position exactly once, in order and with its own value.
    const bool isRight = rc::check([] {
        StageStream stream;
        openAttempt(stream, makeOpenStage(1, 1, 3));
        std::uint32_t attempt = 1;
        std::vector<std::uint64_t> applied;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            const auto action = *rc::gen::inRange(0, 10);
            if (action == 0) {
                openAttempt(stream, makeOpenStage(++attempt, 1, 3));
                continue;
            }
            ActivationFrame frame;
            frame.attempt.value = attempt - (action == 1 ? 1 : 0);
            frame.stageIndex = 1;
            frame.layersDone = action == 2 ? 20 : 10;
            frame.promptLength = 5;
            frame.position = *rc::gen::inRange<std::uint32_t>(0, 40);
            const auto count = *rc::gen::inRange<std::uint32_t>(0, 12);
            for (std::uint32_t p = 0; p < count; ++p) {
                frame.activations.push_back(1000 + frame.position + p);
            }
            const std::uint32_t before = received(stream);
            const InputDecision decision = handleActivations(stream, frame);
            RC_ASSERT((decision == InputDecision::Accept) == (received(stream) > before));
            if (action == 1 || action == 2) {
                RC_ASSERT(decision != InputDecision::Accept);
            }
            const auto input = beginStep(stream);
            if (input) {
                RC_ASSERT(input->position == applied.size());
                applied.insert(applied.end(), input->values.begin(), input->values.end());
                endStep(stream, 5, static_cast<std::uint32_t>(input->values.size()), input->values);
            }
        }
        for (std::size_t position = 0; position < applied.size(); ++position) {
            RC_ASSERT(applied[position] == 1000 + position);
        }
    });
    BOOST_TEST(isRight);
}

BOOST_AUTO_TEST_CASE(a_new_attempt_resends_results_from_the_requested_position)
{
    StageStream stream;
    openAttempt(stream, makeOpenStage(1, 0, 3));
    endStep(stream, 4, 4, {10, 11, 12, 13});
    BOOST_TEST(consumeResults(stream).size() == 4u);
    BOOST_TEST(consumeResults(stream).empty());
    BOOST_TEST(openAttempt(stream, makeOpenStage(2, 0, 3)));
    BOOST_TEST(consumeResults(stream).empty()); // the next stage has not requested a position yet
    BOOST_TEST(resumeFrom(stream, 2));
    BOOST_TEST((consumeResults(stream) == std::vector<std::uint64_t>{12, 13}));
    BOOST_TEST(!openAttempt(stream, makeOpenStage(2, 0, 3))); // not newer
    BOOST_TEST(dropKeptResults(stream) == 4 * sizeof(std::uint64_t));
    BOOST_TEST(!resumeFrom(stream, 2));
    BOOST_TEST(resumeFrom(stream, 4));
}

BOOST_AUTO_TEST_CASE(the_last_stage_detects_a_token_that_differs_from_the_one_sent)
{
    StageStream stream;
    OpenStage open = makeOpenStage(2, 2, 3);
    open.tokens = {7, 8};
    openAttempt(stream, open);
    BOOST_TEST(recordToken(stream, {7, "a", FinishReason::None}, open.tokens));
    BOOST_TEST(!recordToken(stream, {9, "b", FinishReason::None}, open.tokens));
    BOOST_TEST(recordToken(stream, {8, "b", FinishReason::None}, open.tokens));
    BOOST_TEST(recordToken(stream, {5, "c", FinishReason::Stop}, open.tokens));
    BOOST_TEST(stream.isFinished);
}

// [SECTION] Chains

BOOST_AUTO_TEST_CASE(a_chain_covers_all_layers_or_there_is_none)
{
    const bool isRight = rc::check([] {
        std::vector<TargetView> views;
        const auto count = *rc::gen::inRange(0, 14);
        for (int i = 0; i < count; ++i) {
            const auto begin = *rc::gen::inRange<std::uint32_t>(0, 3) * 10;
            const auto length = (1 + *rc::gen::inRange<std::uint32_t>(0, 2)) * 10;
            views.push_back(makeHolder("t" + std::to_string(i), begin, std::min(begin + length, 30u), "dc-" + std::to_string(*rc::gen::inRange(0, 3))));
            views.back().isTimedOut = *rc::gen::inRange(0, 5) == 0;
        }
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const auto list = pointers(views);
        const auto chain = selectChain(list, requirements, {"dc-0"}, start, random);
        // Layers that can be reached from layer 0 through the ranges of usable targets
        std::set<std::uint32_t> reachable = {0};
        for (int pass = 0; pass < 3; ++pass) {
            for (const TargetView &view : views) {
                if (!view.isTimedOut && reachable.count(view.last.layerBegin)) {
                    reachable.insert(view.last.layerEnd);
                }
            }
        }
        RC_ASSERT(chain.empty() == !reachable.count(30));
        std::uint32_t next = 0;
        for (const std::size_t index : chain) {
            RC_ASSERT(views[index].last.layerBegin == next);
            RC_ASSERT(!views[index].isTimedOut);
            next = views[index].last.layerEnd;
        }
        RC_ASSERT(chain.empty() || next == 30);
    });
    BOOST_TEST(isRight);
}

BOOST_AUTO_TEST_CASE(chains_stay_in_one_data_center_and_avoid_load)
{
    std::vector<TargetView> views;
    for (const char *dataCenter : {"dc-0", "dc-1"}) {
        for (std::uint32_t range = 0; range < 3; ++range) {
            views.push_back(makeHolder(std::string(dataCenter) + std::to_string(range), range * 10, range * 10 + 10, dataCenter));
        }
    }
    std::mt19937_64 random(1);
    for (int i = 0; i < 20; ++i) {
        for (const std::size_t index : selectChain(pointers(views), requirements, {"dc-1"}, start, random)) {
            BOOST_TEST(views[index].last.dataCenter == "dc-1");
        }
    }
    views[4].last.streams = 50; // with the middle range of dc-1 busy, two hops are cheaper
    const auto chain = selectChain(pointers(views), requirements, {"dc-1"}, start, random);
    BOOST_TEST(views[chain[1]].last.dataCenter == "dc-0");
}

BOOST_AUTO_TEST_CASE(two_random_choices_prevent_herding_on_stale_reports)
{
    // One of ten holders reports a slightly shorter queue. If entries picked the best one, all would pick this one. With two
    // random choices it gets about a fifth of the streams.
    std::vector<TargetView> views;
    for (int i = 0; i < 10; ++i) {
        views.push_back(makeHolder("t" + std::to_string(i), 0, 30));
        views.back().last.streams = i == 0 ? 9 : 10;
    }
    std::mt19937_64 random(7);
    int first = 0;
    for (int i = 0; i < 1000; ++i) {
        first += selectChain(pointers(views), requirements, {"dc-0"}, start, random)[0] == 0 ? 1 : 0;
    }
    BOOST_TEST(first > 100);
    BOOST_TEST(first < 300);
}

BOOST_AUTO_TEST_CASE(failing_targets_are_ejected_but_never_the_majority)
{
    std::vector<TargetView> views;
    views.reserve(5);
    for (int i = 0; i < 5; ++i) {
        views.push_back(makeHolder("t" + std::to_string(i), 0, 30));
    }
    std::size_t ejected = 0;
    for (TargetView &view : views) {
        recordTargetFailure(view, start, ejected, views.size());
        ejected += start < view.ejectedUntil ? 1 : 0;
    }
    BOOST_TEST(ejected == 2u);
    BOOST_TEST(!acceptsNewWork(views[0], start));
    BOOST_TEST(acceptsNewWork(views[0], start + baseEjectionTime));
    recordTargetFailure(views[0], start + baseEjectionTime, 1, views.size());
    BOOST_TEST(!acceptsNewWork(views[0], start + baseEjectionTime * 2)); // the second ejection is longer
}

BOOST_AUTO_TEST_CASE(a_target_that_joins_ramps_up)
{
    TargetView fresh = makeHolder("t", 0, 30);
    fresh.joinedAt = start;
    const TargetView old = makeHolder("u", 0, 30);
    BOOST_TEST(expectedMicros(fresh, start) > 4 * expectedMicros(old, start));
    BOOST_TEST(expectedMicros(fresh, start + rampUpTime) == expectedMicros(old, start));
}

// [SECTION] Progress, budgets, circuit breakers

namespace
{

using Reports = std::vector<std::optional<StageProgress>>;

void checkDiagnosis(const Reports &reports, std::uint32_t stage, StageFault fault)
{
    const std::optional<StageDiagnosis> diagnosis = findFaultyStage(reports);
    BOOST_REQUIRE(diagnosis.has_value());
    BOOST_TEST(diagnosis->stage == stage);
    BOOST_TEST(toString(diagnosis->fault) == toString(fault));
}

} // namespace

BOOST_AUTO_TEST_CASE(the_stage_at_fault_is_found)
{
    const StageProgress fine{10, 10, 10, true};
    const StageProgress hangs{10, 9, 9, true};
    const StageProgress lacksFrame{8, 8, 8, true};
    BOOST_TEST(!findFaultyStage(Reports{fine, fine, fine}).has_value());
    checkDiagnosis({fine, std::nullopt, fine}, 1, StageFault::NoAnswer);
    checkDiagnosis({fine, fine, hangs}, 2, StageFault::InputsNotApplied);
    checkDiagnosis({fine, lacksFrame, fine}, 1, StageFault::InputsNotReceived);
    checkDiagnosis({StageProgress{0, 0, 0, false}, fine, fine}, 0, StageFault::StreamUnknown);
    checkDiagnosis({fine, StageProgress{10, 8, 8, true}, lacksFrame}, 1, StageFault::InputsNotApplied);
}

BOOST_AUTO_TEST_CASE(an_engine_that_ends_steps_is_not_stuck)
{
    // Thousands of streams share an engine. One of them gets no token for longer than progress-timeout, while the engine
    // completes step after step for the streams queued before it. Replacing the stage would only queue the stream again at the
    // next engine.
    const StageProgress fine{10, 10, 10, true};
    const StageProgress waits{10, 9, 9, true, true};
    const StageProgress hangs{10, 9, 9, true, false};
    BOOST_TEST(!findFaultyStage(Reports{fine, waits, fine}).has_value());
    std::uint32_t inconclusiveQueries = 0;
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST((decideStallAction(Reports{fine, waits, fine}, inconclusiveQueries).action == StallAction::Wait));
    }
    BOOST_TEST(inconclusiveQueries == 0u);
    BOOST_TEST((decideStallAction(Reports{fine, hangs, fine}, inconclusiveQueries).action == StallAction::Replace));
    checkDiagnosis({waits, hangs, fine}, 1, StageFault::InputsNotApplied);
    checkDiagnosis({waits, std::nullopt, fine}, 1, StageFault::NoAnswer);
}

BOOST_AUTO_TEST_CASE(a_frame_that_may_be_on_its_way_is_waited_for)
{
    // A stage has sent a frame that the next one has not received when it is queried. Usually the frame is only in transit. If
    // it is lost, a new attempt on the same chain requests it again, and only if that does not help the stage is replaced.
    const StageProgress fine{10, 10, 10, true};
    const StageProgress lacksFrame{8, 8, 8, true};
    const Reports lost{fine, lacksFrame, fine};
    std::uint32_t inconclusiveQueries = 0;
    BOOST_TEST((decideStallAction(lost, inconclusiveQueries).action == StallAction::Wait));
    BOOST_TEST((decideStallAction(lost, inconclusiveQueries).action == StallAction::Renew));
    const StallDecision decision = decideStallAction(lost, inconclusiveQueries);
    BOOST_TEST((decision.action == StallAction::Replace));
    BOOST_TEST(decision.diagnosis.stage == 1u);
    BOOST_TEST(inconclusiveQueries == 0u);
}

BOOST_AUTO_TEST_CASE(stages_that_wait_for_each_other_get_a_new_attempt)
{
    const StageProgress fine{10, 10, 10, true};
    const Reports idle{fine, fine, fine};
    std::uint32_t inconclusiveQueries = 0;
    BOOST_TEST((decideStallAction(idle, inconclusiveQueries).action == StallAction::Wait));
    BOOST_TEST((decideStallAction(idle, inconclusiveQueries).action == StallAction::Renew));
    BOOST_TEST((decideStallAction(idle, inconclusiveQueries).action == StallAction::Wait));
}

BOOST_AUTO_TEST_CASE(late_ticks_reveal_a_process_pause)
{
    const milliseconds interval(50);
    BOOST_TEST(processPauseBefore({}, start, interval).count() == 0);
    BOOST_TEST(processPauseBefore(start, start + milliseconds(50), interval).count() == 0);
    BOOST_TEST(processPauseBefore(start, start + milliseconds(100), interval).count() == 0);
    BOOST_TEST(processPauseBefore(start, start + milliseconds(1600), interval).count() == 1500);
    // Something received in the tick that ends the pause gets no credit: its timeout counts from then on.
    const TimePoint now = start + milliseconds(1600);
    BOOST_TEST((creditProcessPause(start, milliseconds(1500), now) == start + milliseconds(1500)));
    BOOST_TEST((creditProcessPause(now, milliseconds(1500), now) == now));
}

BOOST_AUTO_TEST_CASE(timeouts_adapt_to_observed_times)
{
    TimeEstimate estimate;
    BOOST_TEST((adaptiveTimeout(estimate, milliseconds(100), milliseconds(5000)) == milliseconds(5000)));
    for (int i = 0; i < 100; ++i) {
        recordTime(estimate, 0.2);
    }
    BOOST_TEST((adaptiveTimeout(estimate, milliseconds(100), milliseconds(5000)) < milliseconds(260)));
    recordTime(estimate, 1.0);
    BOOST_TEST((adaptiveTimeout(estimate, milliseconds(100), milliseconds(5000)) > milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(retries_stay_within_their_share)
{
    const bool isRight = rc::check([](std::uint16_t requests) {
        RetryBudget budget;
        std::uint32_t retries = 0;
        for (std::uint32_t i = 0; i < requests; ++i) {
            recordRequest(budget);
            while (tryConsumeRetry(budget)) {
                ++retries;
            }
        }
        RC_ASSERT(retries <= budget.burst + budget.share * requests + 1);
    });
    BOOST_TEST(isRight);
}

BOOST_AUTO_TEST_CASE(a_circuit_opens_probes_and_closes)
{
    CircuitBreaker circuit;
    TimePoint now = start;
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(tryAcquireCall(circuit, now));
        BOOST_TEST(!recordFailure(circuit, now));
    }
    BOOST_TEST(recordFailure(circuit, now));
    BOOST_TEST(!tryAcquireCall(circuit, now));
    now += circuit.initialPause;
    BOOST_TEST(tryAcquireCall(circuit, now));
    BOOST_TEST(!tryAcquireCall(circuit, now)); // one probe at a time
    BOOST_TEST(!recordFailure(circuit, now));
    BOOST_TEST(!tryAcquireCall(circuit, now + circuit.initialPause)); // pauses double
    now += circuit.initialPause * 2;
    BOOST_TEST(tryAcquireCall(circuit, now));
    BOOST_TEST(recordSuccess(circuit));
    BOOST_TEST(tryAcquireCall(circuit, now));
}

BOOST_AUTO_TEST_CASE(the_rate_limit_is_kept)
{
    TokenBucket budget{10, 5, 0, {}};
    int taken = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        taken += tryConsume(budget, start + milliseconds(ms)) ? 1 : 0;
    }
    BOOST_TEST(taken >= 100);
    BOOST_TEST(taken <= 106);
}

BOOST_AUTO_TEST_CASE(rendezvous_moves_few_members_when_a_peer_leaves)
{
    std::vector<std::string> entries;
    entries.reserve(20);
    for (int i = 0; i < 20; ++i) {
        entries.push_back("entry-" + std::to_string(i));
    }
    std::vector<std::string> fewer(entries.begin(), entries.end() - 1);
    std::map<std::size_t, int> loads;
    int moved = 0;
    for (int member = 0; member < 400; ++member) {
        const std::string name = "target-" + std::to_string(member);
        const auto before = pickPeers(name, entries, 6);
        const auto after = pickPeers(name, fewer, 6);
        BOOST_REQUIRE(before.size() == 6u);
        const bool hadLast = std::find(before.begin(), before.end(), 19u) != before.end();
        int differing = 0;
        for (const std::size_t peer : after) {
            differing += std::find(before.begin(), before.end(), peer) == before.end() ? 1 : 0;
        }
        BOOST_TEST(differing == (hadLast ? 1 : 0));
        moved += differing;
        for (const std::size_t peer : before) {
            ++loads[peer];
        }
    }
    BOOST_TEST(moved > 60);
    BOOST_TEST(moved < 180); // 120 on average
    for (const auto &[peer, load] : loads) {
        BOOST_TEST(load > 70);
        BOOST_TEST(load < 180); // 120 on average
    }
}

BOOST_AUTO_TEST_SUITE_END()
