// The report of the served work, compared with what the stand-ins ran and the callers received.
#include "policy/usage.h"
#include "tests/cluster.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;

namespace
{

json reportLine(Cluster &cluster, const std::string &by, const std::string &name, std::size_t entry = 0)
{
    const HttpResult result = cluster.sendOperatorRequest("GET", "/operator/v1/report?by=" + by, {}, {}, entry);
    BOOST_REQUIRE(result.status == 200);
    const json report = json::parse(result.body);
    for (const json &line : report["lines"]) {
        if (line["name"] == name) {
            return line;
        }
    }
    return json::object();
}

ClusterOptions quickFlush()
{
    ClusterOptions options;
    options.tuneEntry = [](EntrySettings &entry) {
        entry.reportFlush = milliseconds(100);
    };
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(work)

BOOST_AUTO_TEST_CASE(ledgers_sum_by_what_is_asked)
{
    UsageLedger ledger;
    ledger[{1, {"a"}, {"chat"}, {"m"}}] = {3, 1, 0, 6, 30, 60, {{"fast", 3600000000}}};
    ledger[{2, {"a"}, {"book"}, {}}] = {1, 0, 1, 2, 0, 0, {}};
    ledger[{2, {"b"}, {"chat"}, {"m"}}] = {1, 0, 0, 5, 10, 20, {{"fast", 1800000000}, {"slow", 3600000000}}};
    const auto byWorkspace = summarize(ledger, UsageGrouping::Workspace, {{"fast", 2}, {"slow", 1}});
    BOOST_REQUIRE(byWorkspace.size() == 2u);
    BOOST_TEST(byWorkspace[0].counters.answered == 4u);
    BOOST_TEST(byWorkspace[0].counters.worth == 8);
    BOOST_TEST(byWorkspace[0].cost == 2);
    BOOST_TEST(byWorkspace[1].cost == 2);
    BOOST_TEST(summarize(ledger, UsageGrouping::Service, {})[1].counters.answered == 4u);
}

BOOST_AUTO_TEST_CASE(the_report_agrees_with_what_was_run)
{
    // Completions and bookings at two entries; the response to one booking is lost. The report of either entry must match what
    // the callers received and the stand-ins ran, also after one entry has restarted.
    Cluster cluster(quickFlush());
    std::size_t tokens = 0;
    std::size_t promptTokens = 0;
    for (int i = 0; i < 10; ++i) {
        const std::string prompt = "question " + std::to_string(i);
        const AnswerPtr answer = cluster.requestCompletion(prompt, 8, static_cast<std::size_t>(i % 2));
        cluster.wait("a response", [&] {
            return answer->isEnded;
        });
        const auto reference = StandIn::referenceAnswer("user: " + prompt + "\n", {"assistant", "v1", "clay"}, 32, 8);
        tokens += reference.tokens.size();
        promptTokens += reference.promptTokens;
    }
    for (int i = 0; i < 4; ++i) {
        cluster.send(post("/services/booking/bookings", "{}"), static_cast<std::size_t>(i % 2));
    }
    cluster.applications[0]->setCrash(StandIn::ApplicationCrash::After);
    cluster.send(post("/services/booking/bookings", "{}"));
    cluster.wait("both entries to have written", [&] {
        return reportLine(cluster, "workspace", "studio").value("answered", 0) == 14;
    });
    cluster.killEntry(1);
    cluster.startEntry(1);
    cluster.wait("the entry to be ready", [&] {
        return cluster.entries[1]->isReady();
    });
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const json chat = reportLine(cluster, "service", "chat", entry);
        BOOST_TEST(chat["answered"] == 10);
        BOOST_TEST(chat["completionTokens"] == tokens);
        BOOST_TEST(chat["promptTokens"] == promptTokens);
        BOOST_TEST(chat["acceleratorSeconds"]["a"].get<double>() > 0);
        const json booking = reportLine(cluster, "service", "booking", entry);
        BOOST_TEST(booking["answered"] == 4);
        BOOST_TEST(booking["unknown"] == 1);
        BOOST_TEST(cluster.applications[0]->bookings().size() == 5u);
        BOOST_TEST(reportLine(cluster, "model", "assistant", entry)["worth"] == 10);
        BOOST_TEST(reportLine(cluster, "workspace", "studio", entry)["answered"] == 14);
    }
}

BOOST_AUTO_TEST_CASE(lost_and_repeated_writes_change_nothing)
{
    // The store applies writes of the counters, but its responses are lost. Counting must not be doubled: the counters are
    // absolute, so the entry reads the row's version and writes the row again.
    Cluster cluster(quickFlush());
    for (int i = 0; i < 6; ++i) {
        cluster.platform.faults().unansweredWrites = 1;
        const AnswerPtr answer = cluster.requestCompletion("question " + std::to_string(i), 3);
        cluster.wait("a response", [&] {
            return answer->isEnded;
        });
        cluster.idle(milliseconds(120));
    }
    cluster.platform.faults().unansweredWrites = 0;
    cluster.wait("the counters to be written", [&] {
        return reportLine(cluster, "service", "chat", 1).value("answered", 0) == 6;
    });
    cluster.idle(milliseconds(300));
    BOOST_TEST(reportLine(cluster, "service", "chat", 1)["answered"] == 6);
}

BOOST_AUTO_TEST_CASE(work_is_kept_while_the_store_is_away)
{
    Cluster cluster(quickFlush());
    cluster.platform.faults().isDown = true;
    const AnswerPtr answer = cluster.requestCompletion("question", 3);
    cluster.wait("a response", [&] {
        return answer->isEnded;
    });
    BOOST_TEST(cluster.sendOperatorRequest("GET", "/operator/v1/report").status == 503);
    cluster.platform.faults().isDown = false;
    cluster.wait("the counters to be written", [&] {
        const HttpResult result = cluster.sendOperatorRequest("GET", "/operator/v1/report?by=service", {}, {}, 1);
        return result.status == 200 && result.body.find("\"answered\":1") != std::string::npos;
    });
    BOOST_TEST(cluster.sendOperatorRequest("GET", "/operator/v1/report?by=colour").status == 400);
    BOOST_TEST(cluster.sendOperatorRequest("GET", "/operator/v1/report?from=yesterday").status == 400);
    BOOST_TEST(json::parse(cluster.sendOperatorRequest("GET", "/operator/v1/report?from=2020-01-01&to=2020-01-02").body)["lines"].empty());
}

BOOST_AUTO_TEST_SUITE_END()
