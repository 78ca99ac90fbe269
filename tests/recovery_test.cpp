// Failures of stages, entries and callers during a response. Whichever stage fails, the caller receives the reference answer.
//
// Each failure is injected after a fixed number of tokens; the sequence of events is described at each test.
#include "tests/cluster.h"
#include "wire/link.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <thread>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;

namespace
{

constexpr std::uint32_t answerTokens = 40;
const std::string prompt = "how do I rinse a drum";

/// Engines slow enough that a response is still in progress when the test injects its failure. Only tests of stalls shorten the
/// time after which a stream counts as stalled: in all others, a short load peak on the machine must not change the result.
ClusterOptions slowEngines(milliseconds progressTimeout = milliseconds(10000))
{
    ClusterOptions options;
    options.tuneEngine = [](StandIn::EngineOptions &engine) {
        engine.fixedStepTime = microseconds(3000);
    };
    options.tuneEntry = [progressTimeout](EntrySettings &entry) {
        entry.progressTimeout = progressTimeout;
        entry.silenceTimeout = milliseconds(10000);
    };
    return options;
}

/// Starts a completion, waits for its first `afterTokens` tokens, and returns the index of the engine that runs `stage`.
std::size_t startAndFindEngine(Cluster &cluster, AnswerPtr &answer, std::size_t stage, std::uint32_t afterTokens = 10)
{
    answer = cluster.requestCompletion(prompt, answerTokens);
    cluster.wait("the first tokens", [&] {
        return answer->events >= afterTokens || answer->isEnded;
    });
    BOOST_REQUIRE(!answer->isEnded);
    const std::size_t engine = cluster.engineOfStage(stage);
    BOOST_REQUIRE(engine < cluster.engines.size());
    return engine;
}

void checkAnswer(Cluster &cluster, const AnswerPtr &answer)
{
    cluster.wait("the end of the answer", [&] {
        return answer->isEnded;
    });
    BOOST_TEST(answer->hasDone);
    BOOST_TEST(answer->text == cluster.expectedText(prompt, answerTokens));
}

/// Positions that an engine applied, over all streams.
std::uint64_t appliedPositions(const Cluster &cluster, std::size_t engine)
{
    return cluster.engines[engine]->positionsApplied();
}

} // namespace

BOOST_AUTO_TEST_SUITE(recovery)

BOOST_DATA_TEST_CASE(engine_dies, boost::unit_test::data::xrange(3), stage)
{
    // The engine of one stage dies after ten tokens. Its sidecar sees the connection break and reports it to the entry, which
    // replaces the stage with the other holder of its layer range. The stage before it sends its kept results again, so that
    // only the failed range is computed a second time. The caller receives one complete response.
    Cluster cluster(slowEngines());
    AnswerPtr answer;
    const std::size_t engine = startAndFindEngine(cluster, answer, static_cast<std::size_t>(stage));
    std::vector<std::size_t> survivors;
    for (std::size_t other = 0; other < 3; ++other) {
        if (other != static_cast<std::size_t>(stage)) {
            survivors.push_back(cluster.engineOfStage(other));
        }
    }
    cluster.engines[engine]->die();
    checkAnswer(cluster, answer);
    const std::uint64_t positions = 7 + 1 + answerTokens - 1; // prompt of 8 tokens; the last generated token is not applied
    for (const std::size_t survivor : survivors) {
        BOOST_TEST(appliedPositions(cluster, survivor) == positions);
    }
}

BOOST_DATA_TEST_CASE(engine_hangs, boost::unit_test::data::xrange(3), stage)
{
    // The engine of one stage accepts steps and never responds: no connection breaks. The entry receives no token for
    // progress-timeout, queries the progress of all stages, and replaces the one with inputs that it has not applied.
    Cluster cluster(slowEngines(milliseconds(300)));
    AnswerPtr answer;
    const std::size_t engine = startAndFindEngine(cluster, answer, static_cast<std::size_t>(stage));
    cluster.engines[engine]->setHanging(true);
    checkAnswer(cluster, answer);
}

BOOST_AUTO_TEST_CASE(the_entry_itself_stands_still, *boost::unit_test::label("known_red"))
{
    // The entry's process is paused, or its machine is busy, for longer than silence-timeout, and then continues. Messages that
    // the sidecars sent meanwhile are still unread: no sidecar may time out, no stage be replaced and no request be refused.
    ClusterOptions options = slowEngines();
    options.tuneEntry = [](EntrySettings &entry) {
        entry.silenceTimeout = milliseconds(700);
        entry.progressTimeout = milliseconds(600);
    };
    Cluster cluster(options);
    AnswerPtr answer;
    startAndFindEngine(cluster, answer, 0);
    std::this_thread::sleep_for(milliseconds(1500));
    checkAnswer(cluster, answer);
    const std::string metrics = cluster.sendOperatorRequest("GET", "/operator/v1/metrics").body;
    BOOST_TEST(metrics.find("parsley_stages_replaced_total 0\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_sidecar_reports_that_it_does_not_hold_a_stream)
{
    // A healthy sidecar has freed a stream that its entry still has open. Its report on a progress query names the attempt and
    // the stage of the query, and no attempt of its own, so that the entry replaces it without waiting any longer.
    Cluster cluster;
    std::optional<StageReport> report;
    LinkHandlers handlers;
    handlers.onFrame = [&report](const LinkPtr &, const Frame &frame) {
        return frame.message != StageReport::messageId || decodeAndHandle<StageReport>(frame, [&report](const StageReport &message) {
                   report = message;
               });
    };
    handlers.onClosed = [](const LinkPtr &, const Error &) {};
    LinkPool links(cluster.loop, {{Role::Entry, "asker", {1}}, currentWireVersion}, handlers);
    links.link(cluster.sidecars[0]->linkAddress())->send(StageQuery{{"lost"}, {3}, 2});
    cluster.wait("a report", [&report] {
        return report.has_value();
    });
    BOOST_TEST(report->request.value == "lost");
    BOOST_TEST(report->attempt.value == 0u);
    BOOST_TEST(report->askedAttempt.value == 3u);
    BOOST_TEST(report->stageIndex == 2u);
}

BOOST_DATA_TEST_CASE(sidecar_dies, boost::unit_test::data::xrange(3), stage)
{
    // The sidecar of one stage is killed: the entry and the neighbouring stages see their links break.
    Cluster cluster(slowEngines());
    AnswerPtr answer;
    const std::size_t engine = startAndFindEngine(cluster, answer, static_cast<std::size_t>(stage));
    cluster.killSidecar(engine);
    checkAnswer(cluster, answer);
}

BOOST_AUTO_TEST_CASE(two_stages_die_one_after_the_other)
{
    // A second stage dies while the first is being replaced: the new attempt is abandoned for a newer one, and late frames of
    // the older one are dropped.
    Cluster cluster(slowEngines());
    AnswerPtr answer;
    const std::size_t first = startAndFindEngine(cluster, answer, 0);
    const std::size_t last = cluster.engineOfStage(2);
    cluster.engines[first]->die();
    cluster.idle(milliseconds(2));
    cluster.engines[last]->die();
    checkAnswer(cluster, answer);
}

BOOST_AUTO_TEST_CASE(the_only_holder_restarts)
{
    // Each range has one holder. Its sidecar is killed, and 200 ms later another one starts in its place with a new
    // incarnation. Meanwhile the stream has no chain; the caller waits, and then receives the remainder of its response.
    ClusterOptions options = slowEngines();
    options.enginesPerRange = 1;
    Cluster cluster(options);
    AnswerPtr answer;
    const std::size_t engine = startAndFindEngine(cluster, answer, 1);
    cluster.killSidecar(engine);
    cluster.idle(milliseconds(200));
    cluster.startSidecar(engine);
    checkAnswer(cluster, answer);
}

BOOST_AUTO_TEST_CASE(kept_activations_were_dropped)
{
    // Sidecars may keep no activations at all. When the last stage is replaced, the stage before it can't send its results
    // again; it is replaced too, and so on to the first, which starts again from the prompt. The answer is the same.
    ClusterOptions options = slowEngines();
    options.tuneSidecar = [](SidecarSettings &sidecar) {
        sidecar.keptActivationBytes = 0;
    };
    Cluster cluster(options);
    AnswerPtr answer;
    const std::size_t engine = startAndFindEngine(cluster, answer, 2);
    cluster.engines[engine]->die();
    checkAnswer(cluster, answer);
}

BOOST_AUTO_TEST_CASE(entry_dies)
{
    // The caller's connection breaks without [DONE], so that it can't mistake the partial response for a complete one. Sidecars
    // see the entry's link close and free the stream, also at their engines.
    ClusterOptions options = slowEngines();
    options.tuneSidecar = [](SidecarSettings &sidecar) {
        sidecar.orphanTimeout = milliseconds(300);
    };
    Cluster cluster(options);
    AnswerPtr answer;
    startAndFindEngine(cluster, answer, 0);
    cluster.killEntry(0);
    cluster.wait("the caller's connection to break", [&] {
        return answer->isEnded;
    });
    BOOST_TEST(!answer->hasDone);
    cluster.wait("sidecars and engines to be free", [&] {
        const bool engines = std::all_of(cluster.engines.begin(), cluster.engines.end(), [](const auto &engine) {
            return engine->openStreams() == 0;
        });
        const bool sidecars = std::all_of(cluster.sidecars.begin(), cluster.sidecars.end(), [](const auto &sidecar) {
            return sidecar->openCount() == 0;
        });
        return engines && sidecars;
    });
}

BOOST_AUTO_TEST_CASE(caller_hangs_up)
{
    // The caller closes its connection in the middle of a response. The entry closes the stages, and the engines stop long
    // before the response would have ended.
    Cluster cluster(slowEngines());
    const AnswerPtr answer = cluster.requestCompletion(prompt, 4000);
    cluster.wait("the first tokens", [&] {
        return answer->events >= 3;
    });
    answer->call->cancel();
    cluster.wait("entry, sidecars and engines to be free", [&] {
        const bool engines = std::all_of(cluster.engines.begin(), cluster.engines.end(), [](const auto &engine) {
            return engine->openStreams() == 0;
        });
        return engines && cluster.entries[0]->openRequestCount() == 0;
    });
    BOOST_TEST(answer->events < 100u);
}

BOOST_AUTO_TEST_CASE(callers_hang_up_at_once)
{
    // Callers disconnect while their first step waits in the sidecar or runs at the engine: the cancel overtakes the step, which
    // then opens the stream again at the engine. The sidecar, which no longer holds the stream, cancels it again when the step's
    // result arrives; otherwise the engine's KV cache would fill up with streams that nobody reads.
    Cluster cluster(slowEngines());
    for (int i = 0; i < 60; ++i) {
        const AnswerPtr answer = cluster.requestCompletion("gone " + std::to_string(i), 4000);
        cluster.idle(milliseconds(i % 12));
        answer->call->cancel();
    }
    cluster.wait("entry, sidecars and engines to be free", [&] {
        const bool engines = std::all_of(cluster.engines.begin(), cluster.engines.end(), [](const auto &engine) {
            return engine->openStreams() == 0;
        });
        return engines && cluster.entries[0]->openRequestCount() == 0;
    });
}

BOOST_AUTO_TEST_CASE(a_replaced_stage_is_closed_at_once)
{
    // The engine of a stage hangs and the stage is replaced. Its sidecar, which is healthy, must receive CloseStream at once and not
    // only at the end of the response, so that its engine can use the memory when it recovers.
    Cluster cluster(slowEngines(milliseconds(300)));
    AnswerPtr answer = cluster.requestCompletion(prompt, 4000);
    cluster.wait("the first tokens", [&] {
        return answer->events >= 5;
    });
    const std::size_t engine = cluster.engineOfStage(1);
    cluster.engines[engine]->setHanging(true);
    cluster.wait("the stage to be replaced", [&] {
        return cluster.engineOfStage(1) != engine;
    });
    cluster.wait("the sidecar to be free", [&] {
        return cluster.sidecars[engine]->openCount() == 0;
    });
    BOOST_TEST(!answer->isEnded);
}

BOOST_AUTO_TEST_CASE(caller_of_a_whole_answer_hangs_up)
{
    // Nothing is written to the caller before the end of the response, so that only the reading side of its connection can detect
    // that it has disconnected.
    Cluster cluster(slowEngines());
    const nlohmann::json body = {{"model", "chat"}, {"max_tokens", 4000}, {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    HttpStreamHandlers handlers;
    const HttpCallPtr call = cluster.client.stream(cluster.entries[0]->callerAddress(), post("/v1/chat/completions", body.dump()), std::move(handlers));
    cluster.wait("the stream to run", [&] {
        return cluster.entries[0]->openRequestCount() == 1 && cluster.engines[0]->positionsApplied() + cluster.engines[1]->positionsApplied() > 10;
    });
    call->cancel();
    cluster.wait("the entry to detect the disconnect", [&] {
        return cluster.entries[0]->openRequestCount() == 0;
    });
}

BOOST_AUTO_TEST_CASE(no_holder_of_a_range_at_all)
{
    // Both holders of the middle range are lost before the request arrives. The entry saw their links break, opens no stage,
    // waits up to maxWaitBeforeFirstToken for a holder to return, and then responds that nothing was run.
    Cluster cluster;
    cluster.killSidecar(2);
    cluster.killSidecar(3);
    cluster.wait("the entry to report the range as uncovered", [&] {
        const nlohmann::json status = nlohmann::json::parse(cluster.entries[0]->status());
        return status["coverage"]["assistant@v1"]["10-22"] == 0;
    });
    const AnswerPtr answer = cluster.requestCompletion(prompt, 5);
    cluster.wait("the refusal", [&] {
        return answer->isEnded;
    });
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(findHeader(answer->headers, "parsley-outcome") == "not-run");
    BOOST_TEST(!findHeader(answer->headers, "Retry-After").empty());
    for (const auto &engine : cluster.engines) {
        BOOST_TEST(engine->positionsApplied() == 0u);
    }
}

BOOST_AUTO_TEST_SUITE_END()
