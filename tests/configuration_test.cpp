// The configuration file that operators apply: all errors are reported at once, all processes apply versions in the same order,
// and no process goes back to an older version.
#include "base/digest.h"
#include "policy/configuration.h"
#include "tests/cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;

namespace
{

Configuration parse(const std::string &text)
{
    std::vector<IniProblem> problems;
    Configuration configuration = parseConfiguration(text, problems);
    for (const IniProblem &problem : problems) {
        BOOST_ERROR(problem.toString());
    }
    return configuration;
}

std::vector<IniProblem> problemsOf(const std::string &text)
{
    std::vector<IniProblem> problems;
    parseConfiguration(text, problems);
    return problems;
}

/// The usual configuration with one more target class.
std::string withTargetClass(const std::string &name)
{
    return defaultConfiguration("[target-class." + name + "]\naccelerator = x\nmemory-gib = 1\ntokens-per-second = 1\n");
}

/// An invalid text and the section and key that a problem must name.
struct InvalidText {
    std::string text;    ///< appended to the usual configuration
    std::string section; ///< section that the problem must name
    std::string key;     ///< key that the problem must name
};

std::ostream &operator<<(std::ostream &out, const InvalidText &invalid)
{
    return out << invalid.text;
}

const std::vector<InvalidText> invalidTexts = {
    {"[service.x]\nkind = pipe\n", "service.x", "kind"},
    {"[service.x]\nkind = pipeline\nmodel = none\n", "service.x", "model"},
    {"[service.x]\nkind = pipeline\nmodel = assistant\nversion = v9\n", "service.x", "version"},
    {"[service.x]\nkind = pipeline\nmodel = assistant\nversion = v1\nadapter = mud\n", "service.x", "adapter"},
    {"[service.x]\nkind = plain\nmodel = assistant\n", "service.x", "model"},
    {"[service.x]\nkind = plain\nnon-idempotent = POST\n", "service.x", "non-idempotent"},
    {"[service.x]\nkind = plain\ndeadline = soon\n", "service.x", "deadline"},
    {"[service.x]\nkind = plain\ndeadline = 1ms\n", "service.x", "deadline"},
    {"[service.x]\nkind = plain\ndeadline = 99999999999999999999s\n", "service.x", "deadline"},
    {"[service.x]\nkind = plain\nkind = plain\n", "service.x", "kind"},
    {"[service.x]\nkind = plain\nflavour = mint\n", "service.x", "flavour"},
    {"[service.x]\n", "service.x", "kind"},
    {"[service.]\nkind = plain\n", "service.", ""},
    {"[service.a b]\nkind = plain\n", "service.a b", ""},
    {"[garden.x]\n", "garden.x", ""},
    {"[model.m]\nlayers = 0\nversions = v1\n", "model.m", "layers"},
    {"[model.m]\nlayers = 1e9\nversions = v1\n", "model.m", "layers"},
    {"[model.m]\nlayers = 3\nversions =\n", "model.m", "versions"},
    {"[workspace.w]\nkey-digests = abc\nservices = chat\n", "workspace.w", "key-digests"},
    {"[workspace.w]\nkey-digests = " + sha256Hex(callerKey) + "\nservices = chat\n", "workspace.w", "key-digests"},
    {"[workspace.w]\nkey-digests = " + sha256Hex("w") + "\nservices = tea\n", "workspace.w", "services"},
    {"[target-class.c]\naccelerator = x\nmemory-gib = nan\ntokens-per-second = 1\n", "target-class.c", "memory-gib"},
    {"[model.assistant]\nlayers = 3\nversions = v1\n", "model.assistant", ""},
    {"no equals sign here\n", "", ""},
    {"[service.x\n", "", ""},
    {"[service.x]\nkind = plain ; \x01\n", "", ""},
    {"[model.m]\nlayers = 3\nversions =; v1\n", "model.m", "versions"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_DATA_TEST_CASE(each_error_names_section_key_and_line, boost::unit_test::data::make(invalidTexts), invalid)
{
    const std::string text = defaultConfiguration() + invalid.text;
    const std::vector<IniProblem> problems = problemsOf(text);
    BOOST_REQUIRE(!problems.empty());
    const auto found = std::find_if(problems.begin(), problems.end(), [&invalid](const IniProblem &problem) {
        return problem.section == invalid.section && problem.key == invalid.key;
    });
    BOOST_REQUIRE_MESSAGE(found != problems.end(), problems.front().toString());
    const std::string good = defaultConfiguration();
    const auto firstLine = std::count(good.begin(), good.end(), '\n');
    const auto lastLine = std::count(text.begin(), text.end(), '\n');
    BOOST_TEST(found->line > firstLine);
    BOOST_TEST(found->line <= lastLine);
    BOOST_TEST(!found->text.empty());
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once)
{
    const std::vector<IniProblem> problems = problemsOf("[service.a]\nkind = x\nflavour = y\n[model.b]\nlayers = -1\n[odd.c]\n");
    BOOST_TEST(problems.size() == 5u); // kind, flavour, layers, versions missing, odd section
}

BOOST_AUTO_TEST_CASE(an_over_long_line_is_refused_and_not_truncated)
{
    // inih would parse the first bytes of the line as a value and the remainder as another line.
    const std::vector<IniProblem> problems = problemsOf(defaultConfiguration() + "[service.x]\nkind = plain\nmodel = " + std::string(20000, 'm') + "\n");
    BOOST_REQUIRE(problems.size() == 1u);
    BOOST_TEST(problems[0].text.find("bytes in a line") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_long_line_is_read_completely)
{
    // With inih's own buffer of 200 bytes, a workspace with three key digests was refused.
    std::string digests;
    for (int i = 0; i < 40; ++i) {
        digests += (i > 0 ? ", " : "") + sha256Hex("key " + std::to_string(i));
    }
    const Configuration configuration = parse(defaultConfiguration("[workspace.many]\nkey-digests = " + digests + " ; forty\nservices = chat\n"));
    BOOST_TEST(configuration.workspaces.at("many").keyDigests.size() == 40u);
    BOOST_TEST(configuration.workspaces.at("many").keyDigests.back() == sha256Hex("key 39"));
    BOOST_TEST(parse(configurationText(configuration)).digest == configuration.digest);
}

BOOST_AUTO_TEST_CASE(order_blanks_and_comments_do_not_change_the_digest)
{
    const Configuration a = parse("[model.m]\nlayers = 3\nversions = v1\n[target-class.c]\naccelerator = x\nmemory-gib = 1\ntokens-per-second = 1\n");
    const Configuration b = parse("; hello\n[target-class.c]\ntokens-per-second=1\nmemory-gib =  1\naccelerator = x\n\n[model.m]\nversions = v1\nlayers = 3\n");
    BOOST_TEST(a.digest == b.digest);
    BOOST_TEST(compareConfigurations(a, b).empty());
    BOOST_TEST(parse(configurationText(a)).digest == a.digest);
}

BOOST_AUTO_TEST_CASE(updates_carry_only_changes_and_never_go_back)
{
    Configuration first = parse(defaultConfiguration());
    first.version.value = 1;
    Configuration second = parse(withTargetClass("b"));
    second.version.value = 2;
    Configuration third = parse(defaultConfiguration());
    third.version.value = 3;
    ConfigurationLog log;
    recordChange(log, {}, first);
    recordChange(log, first, second);
    const ConfigurationUpdate toSecond = makeUpdate(second, log, first.version, SectionScope::All);
    BOOST_TEST(toSecond.sections.size() == 1u);
    Configuration result;
    BOOST_TEST((applyUpdate(first, toSecond, result) == UpdateResult::Applied));
    BOOST_TEST(result.digest == second.digest);
    recordChange(log, second, third);
    const ConfigurationUpdate toThird = makeUpdate(third, log, second.version, SectionScope::All);
    BOOST_TEST(toThird.sections.empty());
    BOOST_TEST(toThird.removed.size() == 1u);
    BOOST_TEST((applyUpdate(second, toThird, result) == UpdateResult::Applied));
    BOOST_TEST(result.digest == first.digest);
    // A key that moves from one workspace to another in one change
    Configuration before = parse(defaultConfiguration("[workspace.w]\nkey-digests = " + sha256Hex("w") + "\nservices = chat\n"));
    before.version.value = 1;
    Configuration after = parse(defaultConfiguration("[workspace.a]\nkey-digests = " + sha256Hex("w") + "\nservices = chat\n"));
    after.version.value = 2;
    ConfigurationLog keys;
    recordChange(keys, before, after);
    BOOST_TEST((applyUpdate(before, makeUpdate(after, keys, before.version, SectionScope::All), result) == UpdateResult::Applied));
    BOOST_TEST(result.workspaceByKeyDigest == after.workspaceByKeyDigest);
    BOOST_TEST(result.workspaces.size() == after.workspaces.size());
    // Late, duplicated and out-of-order updates
    BOOST_TEST((applyUpdate(third, toSecond, result) == UpdateResult::NotNewer));
    BOOST_TEST((applyUpdate(third, toThird, result) == UpdateResult::NotNewer));
    BOOST_TEST((applyUpdate(first, toThird, result) == UpdateResult::BaseMismatch));
    // Full updates for a receiver without a configuration, or with a version that the log no longer holds
    BOOST_TEST((applyUpdate({}, makeUpdate(third, log, {}, SectionScope::All), result) == UpdateResult::Applied));
    BOOST_TEST((makeUpdate(third, log, {77}, SectionScope::All).baseVersion == ConfigurationVersion{}));
    // An update that was damaged in transit
    ConfigurationUpdate damaged = toSecond;
    damaged.sections[0].text += "price-per-hour = 3\n";
    BOOST_TEST((applyUpdate(first, damaged, result) == UpdateResult::Damaged));
}

BOOST_AUTO_TEST_CASE(sidecars_get_no_workspaces)
{
    Configuration first = parse(defaultConfiguration());
    first.version.value = 1;
    const ConfigurationUpdate update = makeUpdate(first, {}, {}, SectionScope::WithoutWorkspaces);
    for (const SectionText &section : update.sections) {
        BOOST_TEST(section.name.find("workspace.") != 0u);
    }
    Configuration result;
    BOOST_TEST((applyUpdate({}, update, result) == UpdateResult::Applied));
    BOOST_TEST(result.services.size() == 2u);
    BOOST_TEST(result.workspaces.empty());
}

// [SECTION] On a running system

BOOST_AUTO_TEST_CASE(operators_see_versions_changes_and_errors)
{
    Cluster cluster;
    const HttpResult shown = cluster.sendOperatorRequest("GET", "/operator/v1/configuration");
    BOOST_TEST(findHeader(shown.headers, "ETag") == "\"1\"");
    BOOST_TEST(parse(shown.body).digest == parse(defaultConfiguration()).digest);

    const HttpResult dry = cluster.sendOperatorRequest("PUT", "/operator/v1/configuration?dry-run", withTargetClass("b"));
    BOOST_TEST(json::parse(dry.body)["result"] == "dry-run");
    BOOST_TEST(json::parse(dry.body)["changes"][0]["section"] == "target-class.b");
    BOOST_TEST(json::parse(cluster.sendOperatorRequest("PUT", "/operator/v1/configuration", defaultConfiguration()).body)["result"] == "unchanged");

    const HttpResult invalid = cluster.sendOperatorRequest("PUT", "/operator/v1/configuration", "[service.a]\nkind = x\n[odd.b]\n");
    BOOST_TEST(invalid.status == 422);
    BOOST_TEST(json::parse(invalid.body)["errors"].size() == 2u);
    BOOST_TEST(findHeader(invalid.headers, "parsley-outcome") == "not-run");

    BOOST_TEST(cluster.sendOperatorRequest("PUT", "/operator/v1/configuration", withTargetClass("b"), {{"If-Match", "\"7\""}}).status == 412);
    BOOST_TEST(cluster.sendOperatorRequest("PUT", "/operator/v1/configuration", withTargetClass("b"), {{"If-Match", "seven"}}).status == 400);
    BOOST_TEST(cluster.sendOperatorRequest("PUT", "/operator/v1/configuration", withTargetClass("b"), {{"If-Match", "\"1\""}}).status == 200);
    cluster.waitReady(7);
    const json history = json::parse(cluster.sendOperatorRequest("GET", "/operator/v1/configuration/history", {}, {}, 1).body)["history"];
    BOOST_REQUIRE(history.size() == 2u);
    BOOST_TEST(history[0]["version"] == 2);
    BOOST_TEST(history[0]["entry"] == "entry-0");
    BOOST_TEST(history[0]["changes"][0] == "+target-class.b");
}

BOOST_AUTO_TEST_CASE(two_operators_apply_at_once)
{
    // Two operators send files to two entries at the same time, both based on version 1. One is accepted as version 2. The
    // other is refused with 412, since another version is in force, and nothing of it takes effect anywhere.
    Cluster cluster;
    std::optional<HttpResult> results[2];
    for (std::size_t i = 0; i < 2; ++i) {
        HttpClientRequest request;
        request.method = "PUT";
        request.path = "/operator/v1/configuration";
        request.headers = {{"Authorization", std::string("Bearer ") + operatorKey}, {"If-Match", "\"1\""}};
        request.body = withTargetClass(i == 0 ? "first" : "second");
        cluster.client.fetch(cluster.entries[i]->operatorAddress(), request, [&results, i](const HttpResult &result) {
            results[i] = result;
        });
    }
    cluster.wait("both answers", [&] {
        return results[0] && results[1];
    });
    const bool firstWon = results[0]->status == 200;
    BOOST_TEST(results[firstWon ? 0 : 1]->status == 200);
    BOOST_TEST(results[firstWon ? 1 : 0]->status == 412);
    cluster.waitReady(7);
    for (std::size_t i = 0; i < 2; ++i) {
        const std::string text = cluster.sendOperatorRequest("GET", "/operator/v1/configuration", {}, {}, i).body;
        BOOST_TEST((text.find("target-class.first") != std::string::npos) == firstWon);
        BOOST_TEST((text.find("target-class.second") != std::string::npos) == !firstWon);
    }
}

BOOST_AUTO_TEST_CASE(the_answer_to_an_accepted_file_is_lost)
{
    // The store performs the write, but its responses are lost twice. The entry finds its own write id in the history row and
    // reports to the operator what happened: accepted once, as version 2.
    Cluster cluster;
    cluster.platform.faults().unansweredWrites = 2;
    const HttpResult result = cluster.sendOperatorRequest("PUT", "/operator/v1/configuration", withTargetClass("b"));
    BOOST_TEST(result.status == 200);
    BOOST_TEST(json::parse(result.body)["version"] == 2);
    BOOST_TEST(json::parse(cluster.sendOperatorRequest("GET", "/operator/v1/configuration/history").body)["history"].size() == 2u);
    cluster.waitReady(7);
}

BOOST_AUTO_TEST_CASE(a_file_is_refused_while_the_store_is_away)
{
    Cluster cluster;
    cluster.platform.faults().isDown = true;
    const HttpResult result = cluster.sendOperatorRequest("PUT", "/operator/v1/configuration", withTargetClass("b"));
    BOOST_TEST(result.status == 503);
    BOOST_TEST(findHeader(result.headers, "parsley-outcome") == "not-run");
    BOOST_TEST(!findHeader(result.headers, "Retry-After").empty());
    // Requests are still served with the configuration in force.
    const AnswerPtr answer = cluster.requestCompletion("hello", 4);
    cluster.wait("an answer", [&] {
        return answer->isEnded;
    });
    BOOST_TEST(answer->text == cluster.expectedText("hello", 4));
}

BOOST_AUTO_TEST_CASE(an_entry_that_starts_while_the_store_is_away_asks_its_peers)
{
    // A restarted entry has no configuration and can't read the store. Its settings name a peer, which sends it the
    // configuration in force; only then is the entry ready.
    Cluster cluster;
    cluster.apply(withTargetClass("b"));
    cluster.waitReady(7);
    cluster.killEntry(1);
    cluster.platform.faults().isUnresponsive = true;
    cluster.startEntry(1);
    BOOST_TEST(!cluster.entries[1]->isReady());
    cluster.wait("the entry to be ready", [&] {
        return cluster.entries[1]->isReady();
    });
    BOOST_TEST(cluster.entries[1]->configurationVersion() == 2u);
}

BOOST_AUTO_TEST_CASE(an_entry_alone_without_the_store_is_not_ready)
{
    ClusterOptions options;
    options.entries = 1;
    Cluster cluster(options);
    cluster.killEntry(0);
    cluster.platform.faults().isDown = true;
    cluster.startEntry(0);
    cluster.idle(milliseconds(1000));
    BOOST_TEST(!cluster.entries[0]->isReady());
    const HttpResult refused = cluster.send(post("/v1/chat/completions", "{}"));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(findHeader(refused.headers, "parsley-outcome") == "not-run");
    cluster.platform.faults().isDown = false;
    cluster.wait("the entry to be ready", [&] {
        return cluster.entries[0]->isReady();
    });
    BOOST_TEST(cluster.entries[0]->configurationVersion() == 1u);
}

BOOST_AUTO_TEST_CASE(many_versions_are_read_back_from_the_store)
{
    // More changes than are stored after one snapshot: a restarted entry without peers reads the snapshot and the changes.
    ClusterOptions options;
    options.entries = 1;
    Cluster cluster(options);
    for (int i = 0; i < 70; ++i) {
        cluster.apply(withTargetClass("c" + std::to_string(i)));
    }
    cluster.killEntry(0);
    cluster.startEntry(0);
    cluster.wait("the entry to be ready", [&] {
        return cluster.entries[0]->isReady();
    });
    BOOST_TEST(cluster.entries[0]->configurationVersion() == 71u);
    BOOST_TEST(parse(cluster.sendOperatorRequest("GET", "/operator/v1/configuration").body).digest == parse(withTargetClass("c69")).digest);
}

BOOST_AUTO_TEST_CASE(a_change_of_keys_takes_effect_at_every_entry)
{
    Cluster cluster;
    std::string text = defaultConfiguration();
    text.replace(text.find(sha256Hex(callerKey)), 64, sha256Hex("another-key"));
    cluster.apply(text, 1);
    cluster.waitReady(7);
    for (std::size_t i = 0; i < 2; ++i) {
        BOOST_TEST(cluster.send(post("/v1/chat/completions", "{}"), i).status == 401);
    }
}

BOOST_AUTO_TEST_SUITE_END()
