// Admission control: the limit on running streams, the order of waiting requests, and refusals.
#include "policy/admission.h"
#include "tests/cluster.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};

WaitingRequest waitingOf(const std::string &workspace, double worth, double cost, int arrivedMs)
{
    return {{workspace + std::to_string(arrivedMs)}, {workspace}, worth, cost, start + milliseconds(arrivedMs), start + std::chrono::hours(1)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(the_limit_follows_the_gaps)
{
    // Gaps between tokens grow by 1 ms with each running stream, so the limit must settle around the target of 39 ms.
    AdmissionLimit limit;
    TimePoint now = start;
    for (int step = 0; step < 60000; ++step) {
        now += milliseconds(1);
        const double running = limit.limit;
        recordLatency(limit, running / 1000, 0.039, static_cast<std::size_t>(running), now);
    }
    BOOST_TEST(limit.limit > 25);
    BOOST_TEST(limit.limit < 48);
}

BOOST_AUTO_TEST_CASE(a_limit_that_is_not_used_does_not_grow)
{
    AdmissionLimit limit;
    for (int step = 0; step < 10000; ++step) {
        recordLatency(limit, 0.001, 0.039, 3, start + milliseconds(step));
    }
    BOOST_TEST(limit.limit == AdmissionLimit().limit);
}

BOOST_AUTO_TEST_CASE(a_large_workspace_does_not_shut_out_small_ones)
{
    // One workspace has a hundred waiting requests, two others have five each. All ten of the others must be among the first
    // thirty to start.
    std::vector<WaitingRequest> waiting;
    waiting.reserve(100);
    for (int i = 0; i < 100; ++i) {
        waiting.push_back(waitingOf("large", 1, 50, i));
    }
    for (int i = 0; i < 5; ++i) {
        waiting.push_back(waitingOf("small-a", 1, 50, 200 + i));
        waiting.push_back(waitingOf("small-b", 1, 50, 200 + i));
    }
    FairShareLedger ledger;
    int small = 0;
    for (int i = 0; i < 30; ++i) {
        const std::size_t next = selectNext(waiting, ledger, start);
        recordStart(ledger, waiting[next], start);
        small += waiting[next].workspace.value != "large" ? 1 : 0;
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(next));
    }
    BOOST_TEST(small == 10);
}

BOOST_AUTO_TEST_CASE(worth_for_cost_goes_first_within_a_workspace)
{
    std::vector<WaitingRequest> waiting = {waitingOf("w", 1, 100, 0), waitingOf("w", 1, 10, 5), waitingOf("w", 1, 10, 3)};
    BOOST_TEST(selectNext(waiting, {}, start) == 2u);
    waiting[2].startBy = start; // can no longer start in time
    BOOST_TEST(selectNext(waiting, {}, start) == 1u);
    BOOST_TEST((expiredRequests(waiting, start) == std::vector<std::size_t>{2}));
    BOOST_TEST(selectNext({}, {}, start) == 0u);
}

BOOST_AUTO_TEST_CASE(over_the_limit_requests_wait_and_late_ones_are_refused_at_once)
{
    // Gaps between tokens are far over their target, so the limit falls to its minimum. A burst of requests then finds no free
    // capacity: those that cannot get their first token in time are refused at their deadline with the outcome not-run, and
    // never reach an engine. Requests that were started get a complete response.
    ClusterOptions options;
    options.entries = 1;
    options.tuneEngine = [](StandIn::EngineOptions &engine) {
        engine.fixedStepTime = microseconds(8000);
    };
    options.configuration = defaultConfiguration();
    options.configuration.replace(options.configuration.find("adapter = clay\n[service.booking]"), 15, "adapter = clay\nbetween-tokens-target = 5ms\n");
    Cluster cluster(options);
    std::vector<AnswerPtr> answers;
    answers.reserve(30);
    for (int i = 0; i < 30; ++i) {
        answers.push_back(cluster.requestCompletion("long " + std::to_string(i), 60));
    }
    cluster.wait("the limit to fall", [&] {
        const json lanes = json::parse(cluster.entries[0]->status())["admission"];
        return lanes.contains("assistant") && lanes["assistant"]["limit"] < 20;
    });
    for (int i = 0; i < 30; ++i) {
        answers.push_back(cluster.requestCompletion("late " + std::to_string(i), 60));
    }
    int refused = 0;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        cluster.wait("an answer", [&] {
            return answers[i]->isEnded;
        });
        if (answers[i]->status == 503) {
            ++refused;
            BOOST_TEST(findHeader(answers[i]->headers, "parsley-outcome") == "not-run");
            BOOST_TEST(findHeader(answers[i]->headers, "Retry-After") == "1");
        } else {
            BOOST_TEST(answers[i]->hasDone);
        }
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(refused <= 30);
    const json lanes = json::parse(cluster.entries[0]->status())["admission"];
    BOOST_TEST(lanes["assistant"]["running"] == 0);
    BOOST_TEST(lanes["assistant"]["waiting"] == 0);
}

BOOST_AUTO_TEST_CASE(a_caller_that_waits_may_hang_up)
{
    ClusterOptions options;
    options.entries = 1;
    options.tuneEngine = [](StandIn::EngineOptions &engine) {
        engine.fixedStepTime = microseconds(8000);
    };
    options.configuration = defaultConfiguration();
    options.configuration.replace(options.configuration.find("adapter = clay\n[service.booking]"), 15,
                                  "adapter = clay\nbetween-tokens-target = 5ms\nfirst-token-deadline = 60s\n");
    Cluster cluster(options);
    std::vector<AnswerPtr> answers;
    answers.reserve(80);
    for (int i = 0; i < 80; ++i) {
        answers.push_back(cluster.requestCompletion("long " + std::to_string(i), 30));
    }
    const auto waiting = [&] {
        const json lanes = json::parse(cluster.entries[0]->status())["admission"];
        return lanes.contains("assistant") ? lanes["assistant"]["waiting"].get<int>() : 0;
    };
    cluster.wait("some to wait", [&] {
        return waiting() > 0;
    });
    for (const AnswerPtr &answer : answers) {
        answer->call->cancel();
    }
    cluster.wait("nothing to be open", [&] {
        return cluster.entries[0]->openRequestCount() == 0 && waiting() == 0;
    });
}

BOOST_AUTO_TEST_SUITE_END()
