// One input that kills every engine that runs it.
#include "policy/quarantine.h"
#include "tests/cluster.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;

namespace
{

constexpr const char *poison = "poison";

/// So many holders for each range, slow enough that companions are still in flight.
ClusterOptions deadlyEngines(std::uint32_t holders)
{
    ClusterOptions options;
    options.holders = holders;
    options.tuneEngine = [](StandIn::EngineOptions &engine) {
        engine.stepFixed = microseconds(3000);
    };
    return options;
}

/// Every engine dies of the input.
void makeDeadly(Cluster &cluster)
{
    for (const auto &engine : cluster.engines) {
        engine->crashOn(poison);
    }
}

std::size_t deadEngines(const Cluster &cluster)
{
    return static_cast<std::size_t>(std::count_if(cluster.engines.begin(), cluster.engines.end(), [](const auto &engine) {
        return engine->isDead();
    }));
}

json suspects(Cluster &cluster, std::size_t entry)
{
    return json::parse(cluster.entries[entry]->status())["suspectInputs"];
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(two_deaths_convict_and_a_pass_clears)
{
    Quarantine quarantine;
    const TimePoint now{std::chrono::hours(1)};
    BOOST_TEST((judgeInput(quarantine, 7) == InputStanding::Clear));
    BOOST_TEST(noteCrash(quarantine, 7, {{1}}, now));
    BOOST_TEST(!noteCrash(quarantine, 7, {{1}}, now)); // the same death told twice
    BOOST_TEST((judgeInput(quarantine, 7) == InputStanding::Suspect));
    BOOST_TEST(notePassed(quarantine, 7));
    BOOST_TEST((judgeInput(quarantine, 7) == InputStanding::Clear));
    noteCrash(quarantine, 7, {{2}}, now);
    noteCrash(quarantine, 7, {{3}}, now);
    BOOST_TEST((judgeInput(quarantine, 7) == InputStanding::Convicted));
    BOOST_TEST(!notePassed(quarantine, 7));
    prune(quarantine, now + suspicionLife);
    BOOST_TEST((judgeInput(quarantine, 7) == InputStanding::Convicted));
    prune(quarantine, now + convictionLife);
    BOOST_TEST((judgeInput(quarantine, 7) == InputStanding::Clear));
}

BOOST_AUTO_TEST_CASE(a_deadly_input_costs_two_engines_and_no_companion)
{
    // Twenty answers run when one caller sends an input that kills the first stage's engine. All that were in flight are
    // suspect; each runs its next step alone. The deadly one kills a second engine, alone there, and is refused. The
    // others are answered in full. The caller sends it again at the other entry: refused at once, nothing dies.
    Cluster cluster(deadlyEngines(4));
    makeDeadly(cluster);
    std::vector<AnswerPtr> answers;
    answers.reserve(20);
    for (int i = 0; i < 20; ++i) {
        answers.push_back(cluster.ask("innocent " + std::to_string(i), 40, static_cast<std::size_t>(i % 2)));
    }
    cluster.wait("tokens of all", [&] {
        return std::all_of(answers.begin(), answers.end(), [](const AnswerPtr &answer) {
            return answer->events >= 3;
        });
    });
    const AnswerPtr deadly = cluster.ask(poison, 10);
    cluster.wait("the refusal", [&] {
        return deadly->isOver;
    });
    BOOST_TEST(deadly->status == 422);
    BOOST_TEST(findHeader(deadly->headers, "parsley-outcome") == "unknown");
    BOOST_TEST(deadEngines(cluster) == 2u);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        cluster.wait("an answer", [&] {
            return answers[i]->isOver;
        });
        BOOST_TEST(answers[i]->text == cluster.expected("innocent " + std::to_string(i), 40));
    }
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const AnswerPtr again = cluster.ask(poison, 10, entry);
        cluster.wait("the refusal", [&] {
            return again->isOver;
        });
        BOOST_TEST(again->status == 422);
        BOOST_TEST(findHeader(again->headers, "parsley-outcome") == "not-run");
        BOOST_REQUIRE(suspects(cluster, entry).size() == 1u);
        BOOST_TEST(suspects(cluster, entry)[0]["standing"] == "refused");
        BOOST_TEST(suspects(cluster, entry)[0]["workspace"] == "studio");
    }
    BOOST_TEST(deadEngines(cluster) == 2u);
}

BOOST_AUTO_TEST_CASE(sent_at_both_entries_at_once)
{
    // The same input reaches two entries in the same moment and kills one engine for each. They tell each other before
    // either tries again: two engines, not four.
    Cluster cluster(deadlyEngines(5));
    makeDeadly(cluster);
    const AnswerPtr a = cluster.ask(poison, 10, 0);
    const AnswerPtr b = cluster.ask(poison, 10, 1);
    cluster.wait("both refusals", [&] {
        return a->isOver && b->isOver;
    });
    BOOST_TEST(a->status == 422);
    BOOST_TEST(b->status == 422);
    BOOST_TEST(deadEngines(cluster) <= 2u);
}

BOOST_AUTO_TEST_CASE(an_entry_that_starts_later_knows)
{
    Cluster cluster(deadlyEngines(4));
    makeDeadly(cluster);
    const AnswerPtr first = cluster.ask(poison, 10);
    cluster.wait("the refusal", [&] {
        return first->isOver;
    });
    cluster.killEntry(1);
    cluster.startEntry(1);
    cluster.wait("the new entry to know", [&] {
        return suspects(cluster, 1).size() == 1u;
    });
    cluster.wait("the new entry to be ready", [&] {
        return cluster.entries[1]->isReady();
    });
    const AnswerPtr again = cluster.ask(poison, 10, 1);
    cluster.wait("the refusal", [&] {
        return again->isOver;
    });
    BOOST_TEST(again->status == 422);
    BOOST_TEST(deadEngines(cluster) == 2u);
}

BOOST_AUTO_TEST_CASE(the_operator_lifts_it)
{
    // The engines were mended; the operator allows the input by its fingerprint in the service's section.
    Cluster cluster(deadlyEngines(4));
    makeDeadly(cluster);
    const AnswerPtr first = cluster.ask(poison, 10);
    cluster.wait("the refusal", [&] {
        return first->isOver;
    });
    const std::string fingerprint = suspects(cluster, 0)[0]["fingerprint"];
    for (const auto &engine : cluster.engines) {
        engine->crashOn("");
    }
    std::string text = usualConfiguration();
    text.replace(text.find("adapter = clay\n[service.booking]"), 15, "adapter = clay\nallow-inputs = " + fingerprint + "\n");
    cluster.apply(text);
    const AnswerPtr again = cluster.ask(poison, 10);
    cluster.wait("the answer", [&] {
        return again->isOver;
    });
    BOOST_TEST(again->status == 200);
    BOOST_TEST(again->text == cluster.expected(poison, 10));
}

BOOST_AUTO_TEST_SUITE_END()
