// Calls to plain services: forwarding, execution at most once, and idempotency keys.
#include "tests/cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;

namespace
{

HttpClientRequest call(const std::string &method, const std::string &path, const std::string &body = {}, HttpHeaders headers = {})
{
    HttpClientRequest request = post(path, body, std::move(headers));
    request.method = method;
    return request;
}

HttpClientRequest keyedBooking(const std::string &key, const std::string &wheel = "w1")
{
    return post("/services/booking/bookings", json{{"wheel", wheel}}.dump(), {{"Idempotency-Key", key}});
}

std::string outcomeOf(const HttpResult &result)
{
    return findHeader(result.headers, "parsley-outcome");
}

/// Number of bookings that the applications ran.
std::size_t bookingsRun(const Cluster &cluster)
{
    std::size_t count = 0;
    for (const auto &application : cluster.applications) {
        count += application->bookings().size();
    }
    return count;
}

/// Retries a keyed booking until its response is 201.
void waitAnswered(Cluster &cluster, const std::string &key, std::size_t entry)
{
    cluster.wait("the keyed booking to get 201", [&] {
        return cluster.send(keyedBooking(key), entry).status == 201;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(services)

BOOST_DATA_TEST_CASE(any_method_is_passed_on, boost::unit_test::data::make({"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}), method)
{
    Cluster cluster;
    const HttpResult result = cluster.send(
        call(method, "/services/booking/echo?a=1&b=%20", "some body", {{"X-Mine", "yes"}, {"traceparent", "00-ab-cd-01"}, {"X-Request-Id", "r1"}}));
    BOOST_REQUIRE(result.status == 200);
    const json echo = json::parse(result.body);
    BOOST_TEST(echo["method"] == method);
    BOOST_TEST(echo["path"] == "/echo");
    BOOST_TEST(echo["query"] == "a=1&b=%20");
    BOOST_TEST(echo["headers"]["X-Mine"] == "yes");
    BOOST_TEST(echo["headers"]["traceparent"] == "00-ab-cd-01");
    BOOST_TEST(echo["headers"]["X-Request-Id"] == "r1");
    BOOST_TEST(!echo["headers"].contains("Authorization"));
    if (std::string(method) != "GET" && std::string(method) != "OPTIONS") {
        BOOST_TEST(echo["body"] == "some body");
    }
}

// Guards against an application's event stream that is told as complete though it ended in the middle of an event.
BOOST_AUTO_TEST_CASE(an_event_stream_that_ends_within_an_event_is_told_as_cut)
{
    Cluster cluster;
    const HttpResult whole = cluster.send(call("GET", "/services/booking/events"));
    BOOST_TEST(!whole.failure.has_value());
    BOOST_TEST(whole.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    const HttpResult cut = cluster.send(call("GET", "/services/booking/events?cut"));
    BOOST_TEST(cut.failure.has_value());
}

BOOST_AUTO_TEST_CASE(large_bodies_pass_both_ways)
{
    Cluster cluster;
    const std::string body(900 << 10, 'b');
    const HttpResult up = cluster.send(call("POST", "/services/booking/echo", body));
    BOOST_REQUIRE(up.status == 200);
    BOOST_TEST(json::parse(up.body)["body"].get<std::string>().size() == body.size());
    const HttpResult down = cluster.send(call("GET", "/services/booking/bytes?count=7000000"));
    BOOST_TEST(down.body.size() == 7000000u);
}

BOOST_AUTO_TEST_CASE(a_slow_reader_holds_the_answer_back)
{
    // The caller stops reading a long response. The sidecar must stop reading from the application once a window of bytes is
    // uncredited, or the memory of sidecar and entry would grow without bound (the kernel's own buffers hold about 40 MB).
    // When the caller resumes reading, the remainder must arrive.
    Cluster cluster;
    std::size_t received = 0;
    bool isOver = false;
    HttpStreamHandlers handlers;
    handlers.onData = [&](std::string_view bytes) {
        received += bytes.size();
    };
    handlers.onDone = [&](const std::optional<HttpFailure> &failure) {
        BOOST_TEST(!failure.has_value());
        isOver = true;
    };
    HttpClientRequest request = call("GET", "/services/booking/bytes?count=150000000");
    request.maxBodyBytes = SIZE_MAX;
    const HttpCallPtr reader = cluster.client.stream(cluster.entries[0]->callerAddress(), request, std::move(handlers));
    reader->pauseReading(true);
    std::string before;
    cluster.wait("the response to stall", [&] {
        cluster.idle(milliseconds(300));
        const std::string now = json::parse(cluster.sidecars.back()->state())["calls"].dump();
        const bool isStalled = now == before && now != "[]";
        before = now;
        return isStalled;
    });
    BOOST_TEST(received < 60000000u);
    const json state = json::parse(cluster.sidecars.back()->state());
    BOOST_REQUIRE(state["calls"].size() == 1u);
    BOOST_TEST(state["calls"][0]["uncredited"].get<std::size_t>() < 2u << 20);
    reader->pauseReading(false);
    cluster.wait("the remainder", [&] {
        return isOver;
    });
    BOOST_TEST(received == 150000000u);
}

BOOST_AUTO_TEST_CASE(one_huge_chunk_does_not_overrun_the_link)
{
    // The application sends 100 MB as a single chunk, which arrives at the sidecar in one piece. Forwarding it at once exceeded
    // the link's limit for unsent bytes: the link was closed, and every other call on it got `unknown`.
    Cluster cluster;
    cluster.applications[0]->setResponseDelay(milliseconds(0));
    HttpClientRequest request = call("GET", "/services/booking/bytes?count=100000000&chunk=100000000");
    request.maxBodyBytes = SIZE_MAX;
    const auto large = cluster.sendAsync(request);
    const HttpResult other = cluster.send(call("GET", "/services/booking/echo"));
    BOOST_TEST(other.status == 200);
    cluster.wait("the large response", [&] {
        return large->has_value();
    });
    BOOST_TEST(!(*large)->failure.has_value());
    BOOST_TEST((*large)->body.size() == 100000000u);
}

BOOST_AUTO_TEST_CASE(non_idempotent_call_is_not_repeated_when_its_answer_is_lost)
{
    // The application books and then closes the connection without a response. The caller must get `unknown`, and the call must
    // not be sent again although another application is available.
    ClusterOptions options;
    options.applications = 2;
    Cluster cluster(options);
    for (const auto &application : cluster.applications) {
        application->setCrash(StandIn::ApplicationCrash::After);
    }
    const HttpResult result = cluster.send(post("/services/booking/bookings", R"({"wheel": "w1"})"));
    BOOST_TEST(result.status == 502);
    BOOST_TEST(outcomeOf(result) == "unknown");
    BOOST_TEST(json::parse(result.body)["parsley-outcome"] == "unknown");
    BOOST_TEST(bookingsRun(cluster) == 1u);
}

BOOST_AUTO_TEST_CASE(idempotent_call_is_repeated_elsewhere)
{
    ClusterOptions options;
    options.applications = 2;
    Cluster cluster(options);
    cluster.applications[0]->setCrash(StandIn::ApplicationCrash::Before);
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(cluster.send(call("GET", "/services/booking/echo")).status == 200);
    }
}

BOOST_AUTO_TEST_CASE(not_run_is_only_said_when_certain)
{
    // One application's process has ended: its port refuses connections. The call was certainly not run there, so even a
    // non-idempotent booking must be sent to the other one. With both ended the caller must get `not-run`.
    ClusterOptions options;
    options.applications = 2;
    options.tuneSidecar = [](SidecarSettings &sidecar) {
        sidecar.announceInterval = milliseconds(5000); // the sidecar still announces itself as ready
    };
    Cluster cluster(options);
    cluster.applications[0].reset();
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(cluster.send(post("/services/booking/bookings", R"({"wheel": "w1"})")).status == 201);
    }
    cluster.applications[1].reset();
    const HttpResult result = cluster.send(post("/services/booking/bookings", R"({"wheel": "w1"})"));
    BOOST_TEST(result.status == 503);
    BOOST_TEST(outcomeOf(result) == "not-run");
    BOOST_TEST(!findHeader(result.headers, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(sidecar_dies_during_a_booking)
{
    // The application's sidecar is killed while the application works on a booking. Whether the booking was made can't be known:
    // the caller must get `unknown`, and the call must not be sent a second time.
    ClusterOptions options;
    options.applications = 2;
    Cluster cluster(options);
    for (const auto &application : cluster.applications) {
        application->setResponseDelay(milliseconds(300));
    }
    const auto result = cluster.sendAsync(post("/services/booking/bookings", R"({"wheel": "w1"})"));
    cluster.wait("the call to reach a sidecar", [&] {
        return cluster.sidecars[6]->openCount() + cluster.sidecars[7]->openCount() > 0;
    });
    cluster.killSidecar(cluster.sidecars[6]->openCount() > 0 ? 6 : 7);
    cluster.wait("the outcome", [&] {
        return result->has_value();
    });
    BOOST_TEST((*result)->status == 502);
    BOOST_TEST(outcomeOf(**result) == "unknown");
    cluster.idle(milliseconds(500));
    BOOST_TEST(bookingsRun(cluster) <= 1u);
}

BOOST_AUTO_TEST_CASE(a_late_answer_is_unknown)
{
    ClusterOptions options;
    options.configuration = defaultConfiguration();
    options.configuration.replace(options.configuration.find("deadline = 5s"), 13, "deadline = 200ms");
    Cluster cluster(options);
    cluster.applications[0]->setResponseDelay(milliseconds(1500));
    const HttpResult result = cluster.send(post("/services/booking/bookings", R"({"wheel": "w1"})"));
    const bool isLate = result.status == 502 || result.status == 504;
    BOOST_TEST(isLate);
    BOOST_TEST(outcomeOf(result) == "unknown");
}

// [SECTION] Keys

BOOST_AUTO_TEST_CASE(the_same_key_gets_the_first_answer_at_any_entry)
{
    Cluster cluster;
    const HttpResult first = cluster.send(keyedBooking("k1"), 0);
    const HttpResult again = cluster.send(keyedBooking("k1"), 0);
    const HttpResult elsewhere = cluster.send(keyedBooking("k1"), 1);
    BOOST_TEST(first.status == 201);
    BOOST_TEST(again.status == 201);
    BOOST_TEST(elsewhere.status == 201);
    BOOST_TEST(again.body == first.body);
    BOOST_TEST(elsewhere.body == first.body);
    BOOST_TEST(findHeader(elsewhere.headers, "Idempotency-Replayed") == "true");
    BOOST_TEST(bookingsRun(cluster) == 1u);
}

BOOST_AUTO_TEST_CASE(the_same_key_with_another_body_gets_422)
{
    Cluster cluster;
    cluster.send(keyedBooking("k1", "w1"), 0);
    BOOST_TEST(cluster.send(keyedBooking("k1", "w2"), 0).status == 422);
    BOOST_TEST(cluster.send(keyedBooking("k1", "w2"), 1).status == 422);
    BOOST_TEST(bookingsRun(cluster) == 1u);
}

BOOST_AUTO_TEST_CASE(the_same_key_while_the_first_call_runs_gets_409)
{
    Cluster cluster;
    cluster.applications[0]->setResponseDelay(milliseconds(400));
    const auto first = cluster.sendAsync(keyedBooking("k1"), 0);
    cluster.wait("the call to run", [&] {
        return cluster.entries[0]->openRequestCount() == 1;
    });
    BOOST_TEST(cluster.send(keyedBooking("k1"), 0).status == 409);
    BOOST_TEST(cluster.send(keyedBooking("k1"), 1).status == 409);
    cluster.wait("the first response", [&] {
        return first->has_value();
    });
    BOOST_TEST((*first)->status == 201);
    BOOST_TEST(bookingsRun(cluster) == 1u);
}

BOOST_AUTO_TEST_CASE(two_entries_get_the_same_key_at_once)
{
    Cluster cluster;
    const auto a = cluster.sendAsync(keyedBooking("k1"), 0);
    const auto b = cluster.sendAsync(keyedBooking("k1"), 1);
    cluster.wait("both", [&] {
        return a->has_value() && b->has_value();
    });
    BOOST_TEST(bookingsRun(cluster) == 1u);
    const bool oneRan = (*a)->status == 201 || (*b)->status == 201;
    BOOST_TEST(oneRan);
}

BOOST_AUTO_TEST_CASE(the_insert_of_a_key_is_lost_after_it_took_effect)
{
    // The store inserts the row, but its response is lost. The entry inserts again with the same write id, recognises its own row
    // by it, and must make the call exactly once.
    Cluster cluster;
    cluster.platform.faults().unansweredWrites = 1;
    BOOST_TEST(cluster.send(keyedBooking("k1"), 0).status == 201);
    BOOST_TEST(cluster.send(keyedBooking("k1"), 1).status == 201);
    BOOST_TEST(bookingsRun(cluster) == 1u);
}

BOOST_AUTO_TEST_CASE(the_end_of_a_key_is_lost_after_it_took_effect)
{
    Cluster cluster;
    cluster.applications[0]->setResponseDelay(milliseconds(200));
    const auto first = cluster.sendAsync(keyedBooking("k1"), 0);
    cluster.wait("the call to run", [&] {
        return cluster.entries[0]->openRequestCount() == 1;
    });
    cluster.platform.faults().unansweredWrites = 2;
    cluster.wait("the response", [&] {
        return first->has_value();
    });
    BOOST_TEST((*first)->status == 201);
    HttpResult elsewhere;
    cluster.wait("the outcome to be in the store", [&] {
        return json::parse(cluster.entries[0]->status())["store"]["unwrittenCallEnds"] == 0;
    });
    elsewhere = cluster.send(keyedBooking("k1"), 1);
    BOOST_TEST(elsewhere.status == 201);
    BOOST_TEST(bookingsRun(cluster) == 1u);
}

BOOST_AUTO_TEST_CASE(a_key_that_ran_is_not_called_not_run_while_the_store_is_away)
{
    // A booking ran through one entry, and the caller sends its key again to another entry while the store is unavailable. That
    // entry sends no call, but must not respond `not-run`: the caller would conclude that there is no booking.
    Cluster cluster;
    BOOST_TEST(cluster.send(keyedBooking("k1"), 0).status == 201);
    cluster.platform.faults().isDown = true;
    const HttpResult again = cluster.send(keyedBooking("k1"), 1);
    BOOST_TEST(again.status == 502);
    BOOST_TEST(outcomeOf(again) == "unknown");
    BOOST_TEST(findHeader(again.headers, "Retry-After") == "2");
    BOOST_TEST(bookingsRun(cluster) == 1u);
    cluster.platform.faults().isDown = false;
    waitAnswered(cluster, "k1", 1);
    BOOST_TEST(bookingsRun(cluster) == 1u);
}

BOOST_AUTO_TEST_CASE(keys_are_refused_while_the_store_is_away)
{
    // Without the store an entry can't tell whether the key was used at another entry. Bookings without a key are still accepted:
    // a caller that sends one again requests a second booking.
    Cluster cluster;
    cluster.platform.faults().isDown = true;
    const HttpResult keyed = cluster.send(keyedBooking("k1"), 0);
    BOOST_TEST(keyed.status == 502);
    BOOST_TEST(outcomeOf(keyed) == "unknown");
    BOOST_TEST(cluster.send(post("/services/booking/bookings", R"({"wheel": "w1"})")).status == 201);
    BOOST_TEST(bookingsRun(cluster) == 1u);
    cluster.platform.faults().isDown = false;
    waitAnswered(cluster, "k1", 0);
    BOOST_TEST(bookingsRun(cluster) == 2u);
}

BOOST_AUTO_TEST_CASE(an_entry_dies_while_a_keyed_call_runs)
{
    // The caller sends the key again to the other entry. The first call may have run, so the key must never run again: the caller
    // gets 409 until 5 s after the deadline of the first call, and `unknown` from then on.
    ClusterOptions options;
    options.configuration = defaultConfiguration();
    options.configuration.replace(options.configuration.find("deadline = 5s"), 13, "deadline = 1s");
    Cluster cluster(options);
    cluster.applications[0]->setResponseDelay(milliseconds(100));
    const auto first = cluster.sendAsync(keyedBooking("k1"), 0);
    cluster.wait("the call to run", [&] {
        return cluster.sidecars.back()->openCount() == 1;
    });
    cluster.killEntry(0);
    cluster.wait("the broken connection", [&] {
        return first->has_value();
    });
    const HttpResult soon = cluster.send(keyedBooking("k1"), 1);
    BOOST_TEST(soon.status == 409);
    BOOST_TEST(outcomeOf(soon) == "unknown");
    HttpResult later;
    cluster.wait("the deadline to pass", [&] {
        cluster.idle(milliseconds(200));
        later = cluster.send(keyedBooking("k1"), 1);
        return later.status != 409;
    });
    BOOST_TEST(later.status == 502);
    BOOST_TEST(outcomeOf(later) == "unknown");
    BOOST_TEST(bookingsRun(cluster) == 1u);
}

/// Guards against a call that crashes all applications of a service each time that its caller sends it again, through whichever entry.
BOOST_AUTO_TEST_CASE(a_call_that_crashes_applications_is_refused_by_all_entries)
{
    ClusterOptions options;
    options.entries = 2;
    options.applications = 3;
    Cluster cluster(options);
    for (const auto &application : cluster.applications) {
        application->crashOnQuery("poison");
    }
    const auto crashes = [&cluster] {
        int sum = 0;
        for (const auto &application : cluster.applications) {
            sum += application->crashes();
        }
        return sum;
    };
    const auto sendAndRestart = [&](std::size_t entry) {
        cluster.send(call("GET", "/services/booking/echo?poison"), entry);
        for (const auto &application : cluster.applications) {
            if (application->isDown()) {
                BOOST_TEST_REQUIRE(application->restart());
            }
        }
        cluster.wait("targets to be usable again", [&] {
            return cluster.send(call("GET", "/services/booking/echo"), entry).status == 200;
        });
    };
    for (std::size_t i = 0; crashes() < 3 && i < 20; ++i) {
        sendAndRestart(i % 2);
    }
    BOOST_TEST_REQUIRE(crashes() >= 3);
    const int before = crashes();
    for (std::size_t i = 0; i < 8; ++i) {
        sendAndRestart(i % 2);
    }
    // As few as the platform of the relays allows after the third crash.
    BOOST_TEST(crashes() - before <= 3);
}

BOOST_AUTO_TEST_SUITE_END()
