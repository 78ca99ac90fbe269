// Guards against an input that crashes every engine that runs it: retried on one engine after the other, or sent again by its
// caller, it would take down all of them, together with the requests that they were running.
#include "policy/quarantine.h"
#include "tests/cluster.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;

namespace
{

constexpr const char *crashInput = "poison";

/// `holders` engines for each layer range, slow enough that other inputs are still in flight when one crashes an engine.
ClusterOptions slowEngines(std::uint32_t holders)
{
    ClusterOptions options;
    options.enginesPerRange = holders;
    options.tuneEngine = [](StandIn::EngineOptions &engine) {
        engine.fixedStepTime = microseconds(3000);
    };
    return options;
}

/// Makes every engine crash on `crashInput`.
void crashEnginesOnInput(Cluster &cluster)
{
    for (const auto &engine : cluster.engines) {
        engine->crashOn(crashInput);
    }
}

std::size_t countCrashedEngines(const Cluster &cluster)
{
    return static_cast<std::size_t>(std::count_if(cluster.engines.begin(), cluster.engines.end(), [](const auto &engine) {
        return engine->isDead();
    }));
}

json suspectInputs(Cluster &cluster, std::size_t entry)
{
    return json::parse(cluster.entries[entry]->status())["suspectInputs"];
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(two_crashes_quarantine_and_a_pass_clears)
{
    Quarantine quarantine;
    const TimePoint now{std::chrono::hours(1)};
    BOOST_TEST((classifyInput(quarantine, 7) == InputStatus::Clear));
    BOOST_TEST(recordCrash(quarantine, 7, {{1}}, now));
    BOOST_TEST(!recordCrash(quarantine, 7, {{1}}, now)); // the same crash reported twice
    BOOST_TEST((classifyInput(quarantine, 7) == InputStatus::Suspect));
    BOOST_TEST(clearSuspicion(quarantine, 7));
    BOOST_TEST((classifyInput(quarantine, 7) == InputStatus::Clear));
    recordCrash(quarantine, 7, {{2}}, now);
    recordCrash(quarantine, 7, {{3}}, now);
    BOOST_TEST((classifyInput(quarantine, 7) == InputStatus::Quarantined));
    BOOST_TEST(!clearSuspicion(quarantine, 7));
    prune(quarantine, now + suspicionLifetime);
    BOOST_TEST((classifyInput(quarantine, 7) == InputStatus::Quarantined));
    prune(quarantine, now + quarantineLifetime);
    BOOST_TEST((classifyInput(quarantine, 7) == InputStatus::Clear));
}

/// Guards against growth without bound while all inputs of the table are quarantined.
BOOST_AUTO_TEST_CASE(the_table_is_bounded)
{
    Quarantine quarantine;
    TimePoint now{std::chrono::hours(1)};
    for (std::uint64_t input = 0; input < maxSuspicions + 10; ++input) {
        now += milliseconds(1);
        recordCrash(quarantine, input, {{2 * input + 1, 2 * input + 2}}, now);
    }
    BOOST_TEST(quarantine.suspicions.size() == maxSuspicions);
    BOOST_TEST((classifyInput(quarantine, 0) == InputStatus::Clear));
    BOOST_TEST((classifyInput(quarantine, maxSuspicions + 9) == InputStatus::Quarantined));
}

BOOST_AUTO_TEST_CASE(a_crashing_input_costs_two_engines_and_no_other_input)
{
    // Twenty streams run when one caller sends an input that crashes the first stage's engine. All inputs in flight there
    // become suspect, and each runs its next step alone. The crashing input takes down a second engine, alone there, and is
    // refused. The other streams complete. Sent again at both entries, the input is refused at once and no engine crashes.
    Cluster cluster(slowEngines(4));
    crashEnginesOnInput(cluster);
    std::vector<AnswerPtr> answers;
    answers.reserve(20);
    for (int i = 0; i < 20; ++i) {
        answers.push_back(cluster.requestCompletion("innocent " + std::to_string(i), 40, static_cast<std::size_t>(i % 2)));
    }
    cluster.wait("tokens of all streams", [&] {
        return std::all_of(answers.begin(), answers.end(), [](const AnswerPtr &answer) {
            return answer->events >= 3;
        });
    });
    const AnswerPtr crashing = cluster.requestCompletion(crashInput, 10);
    cluster.wait("the refusal", [&] {
        return crashing->isEnded;
    });
    BOOST_TEST(crashing->status == 422);
    BOOST_TEST(findHeader(crashing->headers, "parsley-outcome") == "unknown");
    BOOST_TEST(countCrashedEngines(cluster) == 2u);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        cluster.wait("an answer", [&] {
            return answers[i]->isEnded;
        });
        BOOST_TEST(answers[i]->text == cluster.expectedText("innocent " + std::to_string(i), 40));
    }
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const AnswerPtr again = cluster.requestCompletion(crashInput, 10, entry);
        cluster.wait("the refusal", [&] {
            return again->isEnded;
        });
        BOOST_TEST(again->status == 422);
        BOOST_TEST(findHeader(again->headers, "parsley-outcome") == "not-run");
        BOOST_REQUIRE(suspectInputs(cluster, entry).size() == 1u);
        BOOST_TEST(suspectInputs(cluster, entry)[0]["standing"] == "refused");
        BOOST_TEST(suspectInputs(cluster, entry)[0]["workspace"] == "studio");
    }
    BOOST_TEST(countCrashedEngines(cluster) == 2u);
}

BOOST_AUTO_TEST_CASE(sent_at_both_entries_at_once)
{
    // The same input reaches two entries at the same time and crashes one engine for each. The entries exchange notices before
    // either retries, so that it costs two engines, not four.
    Cluster cluster(slowEngines(5));
    crashEnginesOnInput(cluster);
    const AnswerPtr a = cluster.requestCompletion(crashInput, 10, 0);
    const AnswerPtr b = cluster.requestCompletion(crashInput, 10, 1);
    cluster.wait("both refusals", [&] {
        return a->isEnded && b->isEnded;
    });
    BOOST_TEST(a->status == 422);
    BOOST_TEST(b->status == 422);
    BOOST_TEST(countCrashedEngines(cluster) <= 2u);
}

BOOST_AUTO_TEST_CASE(an_entry_that_starts_later_receives_the_quarantine)
{
    Cluster cluster(slowEngines(4));
    crashEnginesOnInput(cluster);
    const AnswerPtr first = cluster.requestCompletion(crashInput, 10);
    cluster.wait("the refusal", [&] {
        return first->isEnded;
    });
    cluster.killEntry(1);
    cluster.startEntry(1);
    cluster.wait("the new entry to receive the quarantine", [&] {
        return suspectInputs(cluster, 1).size() == 1u;
    });
    cluster.wait("the new entry to be ready", [&] {
        return cluster.entries[1]->isReady();
    });
    const AnswerPtr again = cluster.requestCompletion(crashInput, 10, 1);
    cluster.wait("the refusal", [&] {
        return again->isEnded;
    });
    BOOST_TEST(again->status == 422);
    BOOST_TEST(countCrashedEngines(cluster) == 2u);
}

/// Guards against a message that crashes engine after engine, in requests of which no two are alike.
BOOST_AUTO_TEST_CASE(requests_that_share_a_message_that_crashes_engines_are_refused)
{
    Cluster cluster(slowEngines(7));
    crashEnginesOnInput(cluster);
    constexpr std::size_t requests = 6;
    std::vector<int> statuses;
    for (std::size_t i = 0; i < requests; ++i) {
        const AnswerPtr crashing = cluster.requestCompletion("question " + std::to_string(i), 10, i % 2, crashInput);
        cluster.wait("the refusal", [&] {
            return crashing->isEnded;
        });
        statuses.push_back(crashing->status);
        const AnswerPtr sound = cluster.requestCompletion("question " + std::to_string(i), 10, i % 2, "answer briefly");
        cluster.wait("the answer", [&] {
            return sound->isEnded;
        });
        BOOST_TEST(sound->status == 200);
    }
    BOOST_TEST(statuses == std::vector<int>(requests, 422), boost::test_tools::per_element());
    BOOST_TEST(countCrashedEngines(cluster) <= 4U);
}

BOOST_AUTO_TEST_CASE(the_operator_allows_a_quarantined_input)
{
    // The engines no longer crash on the input, and the operator allows it by its fingerprint in the service's section.
    Cluster cluster(slowEngines(4));
    crashEnginesOnInput(cluster);
    const AnswerPtr first = cluster.requestCompletion(crashInput, 10);
    cluster.wait("the refusal", [&] {
        return first->isEnded;
    });
    const std::string fingerprint = suspectInputs(cluster, 0)[0]["fingerprint"];
    for (const auto &engine : cluster.engines) {
        engine->crashOn("");
    }
    std::string text = defaultConfiguration();
    text.replace(text.find("adapter = clay\n[service.booking]"), 15, "adapter = clay\nallow-inputs = " + fingerprint + "\n");
    cluster.apply(text);
    const AnswerPtr again = cluster.requestCompletion(crashInput, 10);
    cluster.wait("the answer", [&] {
        return again->isEnded;
    });
    BOOST_TEST(again->status == 200);
    BOOST_TEST(again->text == cluster.expectedText(crashInput, 10));
}

BOOST_AUTO_TEST_SUITE_END()
