// Rows and entries of the platform's lists that another writer left in an unusual form.
#include "store/store.h"
#include "tests/cluster.h"
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;
using StandIn::RawReply;
using StandIn::RawRequest;

namespace
{

std::string nested(int depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Values that are none of those expected, as JSON or not.
const std::vector<std::string> &oddValues()
{
    static const std::vector<std::string> values = {
        "",
        "null",
        "5",
        "\"text\"",
        "[]",
        "[[]]",
        "{",
        "no JSON",
        std::string("\0\x01\xff\xfe", 4),
        "{}",
        nested(100000),
        R"({"service":)" + nested(100000) + "}",
        R"({"service": 5, "address": "127.0.0.1:80", "zone": "dc-1", "state": "ready"})",
        R"({"service": "shop", "address": "127.0.0.1:70000", "zone": "dc-1", "state": "ready"})",
        R"({"service": "shop", "address": "127.0.0.1:-1", "zone": "dc-1", "state": "ready"})",
        R"({"service": "shop", "address": "127.0.0.1", "zone": "dc-1", "state": "ready"})",
        R"({"service": "shop", "address": 80, "zone": "dc-1", "state": "ready"})",
        R"({"service": "shop", "address": "127.0.0.1:80", "zone": "dc-1", "state": "odd"})",
        R"({"service": "shop", "address": "127.0.0.1:80", "zone": "dc-1", "state": "ready", "batchSlots": 1e999})",
        R"({"service": "shop", "address": "127.0.0.1:80", "zone": "dc-1", "state": "ready", "batchSlots": 99999999999999999999})",
        R"({"service": "shop", "address": "127.0.0.1:80", "zone": "dc-1", "state": "ready", "batchSlots": "many"})",
        R"({"service": "shop", "address": "127.0.0.1:80", "zone": "dc-1", "state": "ready", "born": -1})",
        R"({"service": "chat", "address": "127.0.0.1:80", "zone": "dc-1", "state": "ready", "layers": {"from": 1e300}})",
        R"({"version": 1e999, "routes": [], "services": []})",
        R"({"version": 2, "routes": 5, "services": []})",
        R"({"digest": 5, "objects": 5, "write": 5})",
        R"({"objects": ["a", 5]})",
        R"({"sections": 5})",
        "entry-9 9223372036854775807",
        "1 2 9223372036854775807",
        "1 2 -9223372036854775808",
    };
    return values;
}

/// Answers of the store's list of instances with one odd entry before a sound one.
const std::vector<std::string> &oddInstances()
{
    static const std::vector<std::string> instances = {
        "null",
        "5",
        "[]",
        "\"text\"",
        R"({"id": 5, "role": "entry", "host": "10.0.0.1", "port": 80, "state": "live"})",
        R"({"id": "a", "role": ["entry"], "host": "10.0.0.1", "port": 80})",
        R"({"id": "a", "role": "entry", "host": {"a": 1}, "port": 80})",
        R"({"id": "a", "role": "entry", "host": "no address", "port": 80})",
        R"({"id": "a", "role": "entry", "host": "10.0.0.1", "port": 70000})",
        R"({"id": "a", "role": "entry", "host": "10.0.0.1", "port": -1})",
        R"({"id": "a", "role": "entry", "host": "10.0.0.1", "port": 0})",
        R"({"id": "a", "role": "entry", "host": "10.0.0.1", "port": 80.5})",
        R"({"id": "a", "role": "entry", "host": "10.0.0.1", "port": "80"})",
        R"({"id": "a", "role": "entry", "host": "10.0.0.1", "port": 99999999999999999999})",
        R"({"id": "a", "role": "entry", "host": "10.0.0.1", "port": 80, "state": 5})",
        R"({"id": )" + nested(100000) + "}",
    };
    return instances;
}

/// A store that answers everything with the same bytes, and a client of it.
struct FixedStore {
    EventLoop loop;
    SystemClock clock;
    StandIn::RawTarget server;
    HttpClient client{loop};
    Store store;

    explicit FixedStore(const std::string &body)
        : server(loop,
                 [body](const RawRequest &) {
                     return RawReply{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
                 })
        , store(loop, clock, client, server.address(), {})
    {
    }
    void wait(const bool &isDone)
    {
        BOOST_REQUIRE(loop.runUntil(
            [&isDone] {
                return isDone;
            },
            milliseconds(10000)));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OddRowsTest)

/// Guards against entries and sidecars that end, or follow the list no more, because of one odd entry in it.
BOOST_DATA_TEST_CASE(anOddInstanceHidesNoOther, boost::unit_test::data::make(oddInstances()), odd)
{
    FixedStore fixed(R"({"instances": [)" + odd + R"(, {"id": "sound", "role": "entry", "host": "10.0.0.2", "port": 81, "state": "leaving"}]})");
    bool isDone = false;
    fixed.store.readMembership([&](StoreStatus status, const std::vector<RegisteredInstance> &instances) {
        isDone = true;
        BOOST_TEST((status == StoreStatus::Ok));
        BOOST_REQUIRE(instances.size() == 1U);
        BOOST_TEST(instances.front().id == "sound");
        BOOST_TEST(instances.front().address.toString() == "10.0.0.2:81");
        BOOST_TEST(instances.front().isLeaving);
    });
    fixed.wait(isDone);
}

/// Guards against processes that end because the store's answer is no answer of its protocol.
BOOST_DATA_TEST_CASE(anOddAnswerOfTheStoreIsNoAnswer,
                     boost::unit_test::data::make({R"({"instances": 5})", R"({"key": 5})", R"({"value": {}})", R"({"version": "x"})", R"({"rows": 5})",
                                                   R"({"rows": [5]})", R"({"rows": [{"value": 5}]})", "[]", "5"}),
                     body)
{
    FixedStore fixed(body);
    int answers = 0;
    bool isDone = false;
    const auto count = [&] {
        isDone = ++answers == 3;
    };
    fixed.store.readMembership([&](StoreStatus, const std::vector<RegisteredInstance> &instances) {
        BOOST_TEST(instances.empty());
        count();
    });
    fixed.store.readRow("t", "k", [&](StoreStatus, const Row &row) {
        BOOST_TEST(row.value == "");
        count();
    });
    fixed.store.scanRows("t", "", "", 10, [&](StoreStatus, const std::vector<Row> &rows) {
        BOOST_TEST(rows.empty());
        count();
    });
    fixed.wait(isDone);
}

/// Guards against entries that end because of an odd row in one of their own tables.
BOOST_AUTO_TEST_CASE(oddRowsOfItsOwnTablesEndNoEntry)
{
    Cluster cluster;
    cluster.waitReady(7);
    const auto hours = std::chrono::duration_cast<std::chrono::hours>(std::chrono::system_clock::now().time_since_epoch());
    const std::string digits = std::to_string(hours.count());
    const std::string thisHour = std::string(10 - digits.size(), '0') + digits;
    for (const std::string &value : oddValues()) {
        if (value.find('\xff') != std::string::npos) {
            continue; // the stand-in's answers are JSON
        }
        cluster.platform.writeRow("configuration", "current", value);
        cluster.platform.writeRow("configuration-history", "odd", value);
        cluster.platform.writeRow("served-work", thisHour + "/odd", value);
        cluster.sendOperatorRequest("GET", "/operator/v1/configuration/history");
        cluster.sendOperatorRequest("GET", "/operator/v1/report");
        cluster.idle(milliseconds(30));
    }
    BOOST_TEST(cluster.send(post("/services/booking/bookings", R"({"wheel": "w1"})")).status == 201);
}

/// Guards against relays that end, or follow the tables no more, because of an odd row: in what they read, and in what they copy from each other.
BOOST_AUTO_TEST_CASE(oddRowsEndNoRelay)
{
    RelaySystemOptions options;
    options.relays = 2;
    RelaySystem system(options);
    system.waitReady();
    int number = 0;
    for (const std::string &value : oddValues()) {
        for (const char *table : {"servers", "op", "crashes", "leases"}) {
            system.store().put(table, "odd-" + std::to_string(++number), value);
        }
        system.store().put("op", "config", value);
        system.store().put("crashes", "1", value);
    }
    system.stopRelay(1);
    system.startRelay(1); // reads the tables whole, or copies them
    system.configure(2);
    system.addTarget("sound", [](const RawRequest &request) {
        return RawReply{StandIn::sealedAnswer(request, "fine")};
    });
    system.waitReady();
    for (std::size_t relay = 0; relay < 2; ++relay) {
        system.wait("the sound target", [&] {
            return system.relay(relay).dumpState().find("\"sound\"") != std::string::npos;
        });
        const RawCallPtr call = system.send(system.request("GET", "/read/x", "c" + std::to_string(relay)), relay);
        system.wait("an answer", [&] {
            return call->hasCompleteResponse();
        });
        BOOST_TEST(call->status() == 200);
    }
}

BOOST_AUTO_TEST_SUITE_END()
