// Tests of processes that stop or join: a graceful stop cuts no stream, and a target that drains gets no new work.
#include "tests/cluster.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;

namespace
{

ClusterOptions slowEngines()
{
    ClusterOptions options;
    options.tuneEngine = [](StandIn::EngineOptions &engine) {
        engine.fixedStepTime = microseconds(3000);
    };
    // Long timeouts, so that a busy test machine is not mistaken for a stage that hangs.
    options.tuneEntry = [](EntrySettings &entry) {
        entry.progressTimeout = milliseconds(10000);
        entry.silenceTimeout = milliseconds(10000);
    };
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(drain)

BOOST_AUTO_TEST_CASE(an_entry_stops)
{
    // An entry receives SIGTERM in the middle of an answer: it immediately reports not ready, refuses new requests as not run,
    // completes the open answer, and only then ends.
    Cluster cluster(slowEngines());
    const AnswerPtr answer = cluster.requestCompletion("drums", 40);
    cluster.wait("the first tokens", [&] {
        return answer->events >= 5;
    });
    bool isFinished = false;
    cluster.entries[0]->drain([&] {
        isFinished = true;
    });
    BOOST_TEST(!cluster.entries[0]->isReady());
    const HttpResult refused = cluster.send(post("/v1/chat/completions", "{}"));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(findHeader(refused.headers, "parsley-outcome") == "not-run");
    BOOST_TEST(!isFinished);
    cluster.wait("the answer", [&] {
        return answer->isEnded;
    });
    BOOST_TEST(answer->hasDone);
    BOOST_TEST(answer->text == cluster.expectedText("drums", 40));
    cluster.wait("the entry to end", [&] {
        return isFinished;
    });
}

BOOST_AUTO_TEST_CASE(an_entry_stops_while_the_store_is_away)
{
    // The store becomes unreachable while usage counters are still to be written, and the entry is told to stop. It retries for a
    // few seconds and ends, long before drain-timeout (an hour here): the platform needs the instance.
    ClusterOptions options;
    options.tuneEntry = [](EntrySettings &entry) {
        entry.drainTimeout = std::chrono::hours(1);
    };
    Cluster cluster(options);
    const AnswerPtr answer = cluster.requestCompletion("drums", 4);
    cluster.wait("the answer", [&] {
        return answer->isEnded;
    });
    cluster.platform.faults().isUnresponsive = true;
    bool isFinished = false;
    cluster.entries[0]->drain([&] {
        isFinished = true;
    });
    cluster.wait("the entry to end", [&] {
        return isFinished;
    });
}

BOOST_AUTO_TEST_CASE(open_requests_have_answers_when_an_entry_ends)
{
    // The application and the engines answer nothing until drain-timeout. Guards against requests, also such as may not be repeated, that are
    // cut without an answer when the entry ends.
    constexpr milliseconds drainTimeout{1500};
    ClusterOptions options;
    options.tuneEntry = [drainTimeout](EntrySettings &entry) {
        entry.drainTimeout = drainTimeout;
    };
    Cluster cluster(options);
    cluster.waitReady(7);
    for (const auto &engine : cluster.engines) {
        engine->setHanging(true);
    }
    cluster.applications[0]->setResponseDelay(milliseconds(60000));
    const auto call = cluster.sendAsync(post("/services/booking/bookings", R"({"wheel": "w1"})"));
    const AnswerPtr answer = cluster.requestCompletion("drums", 4);
    cluster.idle(milliseconds(200));
    bool isFinished = false;
    cluster.entries[0]->drain([&] {
        isFinished = true;
    });
    const HttpResult late = cluster.send(post("/services/booking/bookings", R"({"wheel": "w2"})"));
    BOOST_TEST(late.status == 503);
    BOOST_TEST(findHeader(late.headers, "parsley-outcome") == "not-run");
    cluster.wait("the entry to end", [&] {
        return isFinished;
    });
    cluster.killEntry(0);
    cluster.wait("the ends of the connections", [&] {
        return call->has_value() && answer->isEnded;
    });
    BOOST_REQUIRE(!(*call)->failure);
    BOOST_TEST((*call)->status == 504);
    BOOST_TEST(findHeader((*call)->headers, "parsley-outcome") == "unknown");
    BOOST_TEST(!answer->failure);
    BOOST_TEST(answer->status == 504);
}

BOOST_AUTO_TEST_CASE(a_sidecar_stops)
{
    // The sidecar of a stage receives SIGTERM in the middle of an answer. The stream continues there to its end; new streams go to
    // other targets as soon as the entry has received the sidecar's announcement.
    Cluster cluster(slowEngines());
    const AnswerPtr answer = cluster.requestCompletion("drums", 40);
    cluster.wait("the first tokens", [&] {
        return answer->events >= 5;
    });
    const std::size_t leaving = cluster.engineOfStage(1);
    bool isFinished = false;
    cluster.sidecars[leaving]->drain([&] {
        isFinished = true;
    });
    cluster.wait("the entry to receive the announcement", [&] {
        return json::parse(cluster.entries[0]->status())["coverage"]["assistant@v1"]["10-22"] == 1;
    });
    const std::uint64_t before = cluster.engines[leaving]->openStreams();
    std::vector<AnswerPtr> others;
    others.reserve(10);
    for (int i = 0; i < 10; ++i) {
        others.push_back(cluster.requestCompletion("other", 3));
    }
    for (const AnswerPtr &other : others) {
        cluster.wait("another answer", [&] {
            return other->isEnded;
        });
        BOOST_TEST(other->hasDone);
        BOOST_TEST(cluster.engines[leaving]->openStreams() <= before);
    }
    cluster.wait("the answer", [&] {
        return answer->isEnded;
    });
    BOOST_TEST(answer->text == cluster.expectedText("drums", 40));
    BOOST_TEST(cluster.engines[leaving]->positionsApplied() == 42u); // 3 prompt tokens and 39 answer tokens, each applied once
    cluster.wait("the sidecar to end", [&] {
        return isFinished;
    });
}

BOOST_AUTO_TEST_CASE(the_list_marks_a_target_as_leaving)
{
    // The platform's list of instances marks an instance as leaving; its sidecar is not informed and still announces itself as
    // ready.
    Cluster cluster;
    cluster.platform.listInstance("engine-2", "sidecar", cluster.sidecars[2]->linkAddress(), true);
    cluster.wait("the entry to read the list", [&] {
        return json::parse(cluster.entries[0]->status())["coverage"]["assistant@v1"]["10-22"] == 1;
    });
    const std::uint64_t before = cluster.engines[2]->positionsApplied();
    for (int i = 0; i < 5; ++i) {
        const AnswerPtr answer = cluster.requestCompletion("x", 2);
        cluster.wait("an answer", [&] {
            return answer->isEnded;
        });
        BOOST_TEST(answer->hasDone);
    }
    BOOST_TEST(cluster.engines[2]->positionsApplied() == before);
}

BOOST_AUTO_TEST_CASE(a_target_joins_without_the_list)
{
    // A sidecar starts that is missing in the platform's list of instances. Entries receive its announcement and use it.
    ClusterOptions options;
    options.enginesPerRange = 1;
    Cluster cluster(options);
    cluster.killSidecar(0);
    cluster.wait("the entry to detect the loss", [&] {
        return json::parse(cluster.entries[0]->status())["coverage"]["assistant@v1"]["0-10"] == 0;
    });
    cluster.startSidecar(0);
    cluster.wait("the entry to use it", [&] {
        return json::parse(cluster.entries[0]->status())["coverage"]["assistant@v1"]["0-10"] == 1;
    });
    const AnswerPtr answer = cluster.requestCompletion("x", 4);
    cluster.wait("an answer", [&] {
        return answer->isEnded;
    });
    BOOST_TEST(answer->text == cluster.expectedText("x", 4));
}

BOOST_AUTO_TEST_CASE(a_whole_data_center_goes)
{
    // All targets of one data centre are killed at once, in the middle of answers; each layer range still has a holder in the
    // other data centre.
    Cluster cluster(slowEngines());
    std::vector<AnswerPtr> answers;
    answers.reserve(20);
    for (int i = 0; i < 20; ++i) {
        answers.push_back(cluster.requestCompletion("question " + std::to_string(i), 30, static_cast<std::size_t>(i % 2)));
    }
    cluster.wait("tokens of all", [&] {
        return std::all_of(answers.begin(), answers.end(), [](const AnswerPtr &answer) {
            return answer->events >= 3;
        });
    });
    for (std::size_t i = 0; i < 6; i += 2) {
        cluster.killSidecar(i);
    }
    for (int i = 0; i < 20; ++i) {
        cluster.wait("an answer", [&] {
            return answers[static_cast<std::size_t>(i)]->isEnded;
        });
        BOOST_TEST(answers[static_cast<std::size_t>(i)]->text == cluster.expectedText("question " + std::to_string(i), 30));
    }
}

BOOST_AUTO_TEST_CASE(processes_of_the_version_before_take_part)
{
    // Some sidecars and an entry still use older wire versions: during a rolling update all versions run together.
    ClusterOptions options;
    int count = 0;
    options.tuneSidecar = [&count](SidecarSettings &sidecar) {
        sidecar.wireVersion = 1 + count++ % currentWireVersion;
    };
    options.tuneEntry = [](EntrySettings &entry) {
        entry.wireVersion = entry.id == "entry-0" ? currentWireVersion : 1;
    };
    Cluster cluster(options);
    for (std::size_t entry = 0; entry < 2; ++entry) {
        for (int i = 0; i < 4; ++i) {
            const AnswerPtr answer = cluster.requestCompletion("old and new", 5, entry);
            cluster.wait("an answer", [&] {
                return answer->isEnded;
            });
            BOOST_TEST(answer->text == cluster.expectedText("old and new", 5));
        }
        BOOST_TEST(cluster.send(post("/services/booking/bookings", "{}"), entry).status == 201);
    }
}

BOOST_AUTO_TEST_SUITE_END()
