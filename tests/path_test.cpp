// End to end: completion requests over a chain of engines, and a booking.
#include "tests/cluster.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(path)

BOOST_AUTO_TEST_CASE(streamed_answer_is_the_reference_answer)
{
    Cluster cluster;
    const AnswerPtr answer = cluster.requestCompletion("which wheel is free", 20);
    cluster.wait("the response", [&] {
        return answer->isEnded;
    });
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->hasDone);
    BOOST_TEST(answer->text == cluster.expectedText("which wheel is free", 20));
}

BOOST_AUTO_TEST_CASE(whole_answer_has_text_and_usage)
{
    Cluster cluster;
    const json body = {{"model", "chat"}, {"max_tokens", 7}, {"messages", {{{"role", "user"}, {"content", "clay"}}}}};
    const HttpResult result = cluster.send(post("/v1/chat/completions", body.dump()));
    BOOST_REQUIRE(result.status == 200);
    const json answer = json::parse(result.body);
    BOOST_TEST(answer["object"] == "chat.completion");
    BOOST_TEST(answer["choices"][0]["message"]["content"] == cluster.expectedText("clay", 7));
    BOOST_TEST(answer["usage"]["completion_tokens"] == 7);
    BOOST_TEST(answer["usage"]["prompt_tokens"] == 3); // begin of text, "user:", "clay"
    BOOST_TEST(answer["usage"]["total_tokens"] == 10);
}

BOOST_AUTO_TEST_CASE(booking_runs_once_and_is_answered)
{
    Cluster cluster;
    const HttpResult result = cluster.send(post("/services/booking/bookings", R"({"wheel": "w1"})"));
    BOOST_TEST(result.status == 201);
    BOOST_TEST(findHeader(result.headers, "parsley-outcome") == "run");
    BOOST_TEST(cluster.applications[0]->bookings().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
