// The relay in front of plain services: what callers get when targets fail or send truncated, invalid or duplicate responses,
// and which requests and header fields must not reach a target.
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::sealedAnswer;

namespace
{

RawReply answerSuccessfully(const RawRequest &request)
{
    return {sealedAnswer(request, "fine")};
}

/// Bytes that a caller sends, and the expected status of the response.
struct BadInput {
    const char *name;
    std::string bytes;
    int status;
};
std::ostream &operator<<(std::ostream &out, const BadInput &bad)
{
    return out << bad.name;
}

std::string withFields(const std::string &fields, const std::string &requestLine = "POST /read/x HTTP/1.1")
{
    return requestLine + "\r\nHost: host.example\r\nX-Attempt-Id: bad\r\nAuthorization: Token key-1\r\n" + fields + "\r\n";
}

const BadInput badInputs[] = {
    {"no HTTP", "hello\r\n\r\n", 400},
    {"two lengths", withFields("Content-Length: 1\r\nContent-Length: 2\r\n") + "ab", 400},
    {"length and chunked", withFields("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n", 400},
    {"broken chunk", withFields("Transfer-Encoding: chunked\r\n") + "zz\r\n", 400},
    {"head too large", withFields("X-Large: " + std::string(5000, 'a') + "\r\n"), 431},
    {"body too large", withFields("Content-Length: 70000\r\n"), 413},
    {"chunked body too large", withFields("Transfer-Encoding: chunked\r\n") + "11170\r\n" + std::string(70000, 'a'), 413},
    {"head never ends", "GET /read/x HTTP/1.1\r\nHost: host.example\r\n", 408},
    {"body never ends", withFields("Content-Length: 10\r\n") + "abc", 408},
    {"unknown path", withFields("", "GET /nowhere HTTP/1.1"), 404},
    {"unknown key", "GET /read/x HTTP/1.1\r\nHost: host.example\r\nAuthorization: Token other\r\n\r\n", 401},
    {"other scheme", "GET /read/x HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key-1\r\n\r\n", 401},
    {"no key", "GET /read/x HTTP/1.1\r\nHost: host.example\r\n\r\n", 401},
};

/// A target's response that must not reach a caller as a success.
struct BadAnswer {
    const char *name;
    RawReply (*reply)(const RawRequest &);
};
std::ostream &operator<<(std::ostream &out, const BadAnswer &bad)
{
    return out << bad.name;
}

RawReply garbage(const RawRequest &)
{
    return {"\x16\x03\x01 not an answer"};
}

RawReply withoutSeal(const RawRequest &request)
{
    return {"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\nContent-Length: 4\r\n\r\nfine"};
}

RawReply withOtherId(const RawRequest &)
{
    return {"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: s\r\nContent-Length: 4\r\n\r\nfine"};
}

RawReply encoded(const RawRequest &request)
{
    return {sealedAnswer(request, "fine", "HTTP/1.1 200 OK", "Content-Encoding: gzip\r\n")};
}

RawReply cutShort(const RawRequest &request)
{
    RawReply reply{sealedAnswer(request, "fine")};
    reply.bytes.pop_back();
    reply.closes = true;
    return reply;
}

RawReply resetWithoutLength(const RawRequest &request)
{
    return {"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n\r\nfi", false, true};
}

RawReply noAnswer(const RawRequest &)
{
    return {"", true};
}

RawReply brokenChunk(const RawRequest &request)
{
    return {"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfineX"};
}

const BadAnswer badAnswers[] = {
    {"garbage", garbage},    {"without seal", withoutSeal}, {"another request's id", withOtherId},        {"encoded", encoded},
    {"cut short", cutShort}, {"no answer", noAnswer},       {"reset without length", resetWithoutLength}, {"broken chunk", brokenChunk},
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayCallsTest)

BOOST_AUTO_TEST_CASE(aRequestIsPassedOnUnchangedButForItsOwnFields)
{
    RelaySystem system;
    StandIn::RawTarget &target = system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/book/a?b=c", "id-1", "two bytes \r\n\x01",
                                        "X-Own: kept\r\nX-Tenant: forged\r\nX-Expect-Instance: forged\r\nConnection: X-Drop\r\nX-Drop: 1\r\n");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 200);
    BOOST_TEST(call->body() == "fine");
    BOOST_TEST(call->field("X-Response-Seal") == "seal-1");
    BOOST_REQUIRE(target.requests().size() == 1U);
    const RawRequest &seen = target.requests()[0];
    BOOST_TEST(seen.head.starts_with("POST /book/a?b=c HTTP/1.1\r\n"));
    BOOST_TEST(seen.body == "two bytes \r\n\x01");
    BOOST_TEST(seen.field("X-Own") == "kept");
    BOOST_TEST(seen.field("X-Tenant") == "studio");
    BOOST_TEST(seen.field("X-Expect-Instance") == "t1");
    BOOST_TEST(seen.field("Authorization").empty());
    BOOST_TEST(seen.field("X-Drop").empty());
    const int left = std::stoi(seen.field("X-Deadline-Ms"));
    BOOST_TEST(left <= 2000);
    BOOST_TEST(left > 1000);
}

BOOST_AUTO_TEST_CASE(aChunkedBodyReachesTheTargetWhole)
{
    RelaySystem system;
    StandIn::RawTarget &target = system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    const RawCallPtr call = system.send(withFields("Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(target.requests().at(0).body == "abcde");
    BOOST_TEST(target.requests().at(0).field("Content-Length") == "5");
}

BOOST_DATA_TEST_CASE(badInputIsAnsweredAndReachesNoTarget, boost::unit_test::data::make(badInputs), bad)
{
    RelaySystem system;
    StandIn::RawTarget &target = system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    const RawCallPtr call = system.send(bad.bytes);
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == bad.status);
    BOOST_TEST(target.requests().empty());
}

BOOST_DATA_TEST_CASE(aRepeatableRequestIsServedByAnotherTarget, boost::unit_test::data::make(badAnswers), bad)
{
    // The first target that gets the request sends an invalid response. The request may run twice, so the caller must get the
    // complete response of the other target and no byte of the first.
    RelaySystem system;
    int received = 0;
    const auto handler = [&](const RawRequest &request) {
        return ++received == 1 ? bad.reply(request) : answerSuccessfully(request);
    };
    system.addTarget("t1", handler);
    system.addTarget("t2", handler);
    system.waitReady();
    const RawCallPtr call = system.call("GET", "/read/x", "id-1");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 200);
    BOOST_TEST(call->body() == "fine");
    BOOST_TEST(received == 2);
}

BOOST_DATA_TEST_CASE(aRequestThatMayNotRepeatIsNeverSentTwice, boost::unit_test::data::make(badAnswers), bad)
{
    // The target sends an invalid response to a request that it may have run. The caller must not get a status that guarantees
    // that it did not run, and no other target may get the request.
    RelaySystem system;
    int received = 0;
    const auto handler = [&](const RawRequest &request) {
        ++received;
        return bad.reply(request);
    };
    system.addTarget("t1", handler);
    system.addTarget("t2", handler);
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/book/x", "id-1", "seat 4");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 502);
    BOOST_TEST(call->field("X-Response-Seal").empty());
    system.idle(milliseconds(100));
    BOOST_TEST(received == 1);
}

BOOST_AUTO_TEST_CASE(aTargetThatDidNotRunItLeavesTheCallerFreeToComeBack)
{
    RelaySystem system;
    system.addTarget("t1", [](const RawRequest &request) {
        return RawReply{sealedAnswer(request, "", "HTTP/1.1 503 Full", "X-Not-Executed: 1\r\n")};
    });
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/book/x", "id-1", "seat 4");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 503);
    BOOST_TEST(!call->field("Retry-After").empty());
    BOOST_TEST(call->field("X-Response-Seal").empty());
}

BOOST_AUTO_TEST_CASE(a503WithoutAPromiseIsNotPassedOnAsOne)
{
    // A target responds with 503 without stating that it did not run the request. Callers treat a 503 as a guarantee that the
    // request did not run: they would send a booking again.
    RelaySystem system;
    system.addTarget("t1", [](const RawRequest &request) {
        return RawReply{sealedAnswer(request, "", "HTTP/1.1 503 Broken")};
    });
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/book/x", "id-1", "seat 4");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 502);
}

BOOST_AUTO_TEST_CASE(aTargetsOwnFailureIsPassedOnWithItsSeal)
{
    RelaySystem system;
    system.addTarget("t1", [](const RawRequest &request) {
        return RawReply{sealedAnswer(request, "no seat", "HTTP/1.1 500 Failed")};
    });
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/book/x", "id-1", "seat 4");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 500);
    BOOST_TEST(call->body() == "no seat");
    BOOST_TEST(call->field("X-Response-Seal") == "seal-1");
}

BOOST_AUTO_TEST_CASE(aSecondAnswerIsNotTakenForTheNext)
{
    // A target sends two responses to one request. The second arrives where the response to the next request on the connection
    // is expected: without a check of its id, another caller would get it.
    RelaySystem system;
    int received = 0;
    system.addTarget("t1", [&](const RawRequest &request) {
        RawReply reply = answerSuccessfully(request);
        if (++received == 2) {
            reply.bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale" + sealedAnswer(request, "second");
        }
        return reply;
    });
    system.waitReady();
    const RawCallPtr first = system.call("GET", "/read/x", "id-1");
    system.wait("first answer", [&] {
        return first->hasCompleteResponse();
    });
    const RawCallPtr second = system.call("GET", "/read/x", "id-2");
    system.wait("second answer", [&] {
        return second->hasCompleteResponse();
    });
    BOOST_TEST(second->status() == 200);
    BOOST_TEST(second->body() == "second");
}

BOOST_AUTO_TEST_CASE(bytesOnAnIdleConnectionEndIt)
{
    RelaySystem system;
    StandIn::RawTarget &target = system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    const RawCallPtr first = system.call("GET", "/read/x", "id-1");
    system.wait("first answer", [&] {
        return first->hasCompleteResponse();
    });
    target.sendUnsolicited("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-2\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale");
    system.idle(milliseconds(50));
    const RawCallPtr second = system.call("GET", "/read/x", "id-2");
    system.wait("second answer", [&] {
        return second->hasCompleteResponse();
    });
    BOOST_TEST(second->body() == "fine");
    BOOST_TEST(target.requests().at(1).connection == 2);
}

BOOST_AUTO_TEST_CASE(keptConnectionsAreUsedOnlyForRepeatableRequests)
{
    // A target may close an idle connection at any time. A booking sent on a connection that was just closed is reset, and
    // whether it ran is unknown. Requests that may not be repeated therefore always get a new connection.
    RelaySystem system;
    StandIn::RawTarget &target = system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    for (const char *path : {"/read/x", "/read/x", "/book/x", "/book/x"}) {
        const RawCallPtr call = system.call("POST", path, path, "body");
        system.wait("answer", [&] {
            return call->hasCompleteResponse();
        });
    }
    BOOST_TEST(target.requests().at(0).connection == target.requests().at(1).connection);
    BOOST_TEST(target.requests().at(2).connection == 2);
    BOOST_TEST(target.requests().at(3).connection == 3);
}

BOOST_AUTO_TEST_CASE(aStaleConnectionLosesNoAnswer)
{
    RelaySystem system;
    StandIn::RawTarget &target = system.addTarget("t1", [](const RawRequest &request) {
        // The second request on a connection is reset, as if the target had closed the idle connection.
        return request.field("X-Attempt-Id") == "id-2" && request.connection == 1 ? RawReply{"", false, true} : answerSuccessfully(request);
    });
    system.waitReady();
    for (const char *id : {"id-1", "id-2"}) {
        const RawCallPtr call = system.call("GET", "/read/x", id);
        system.wait("answer", [&] {
            return call->hasCompleteResponse();
        });
        BOOST_TEST(call->status() == 200);
    }
    BOOST_TEST(target.requests().back().connection == 2);
}

BOOST_AUTO_TEST_CASE(anAnswerBeforeTheBodyWasReadEndsItsConnection)
{
    // A target responds to a request of 40 KB before it has read the body, and reads the body later. It would read another
    // request on that connection as a part of the body.
    RelaySystem system;
    StandIn::RawTarget &target = system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    const RawCallPtr first = system.call("POST", "/read/x", "id-1", std::string(40000, 'a'));
    system.wait("first answer", [&] {
        return first->hasCompleteResponse();
    });
    const RawCallPtr second = system.call("POST", "/read/x", "id-2", "b");
    system.wait("second answer", [&] {
        return second->hasCompleteResponse();
    });
    BOOST_TEST(second->status() == 200);
    BOOST_TEST(target.requests().at(0).body.size() == 40000U);
    BOOST_TEST(target.requests().at(1).body == "b");
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesFreesTheTarget)
{
    RelaySystem system;
    StandIn::RawTarget &target = system.addTarget("t1", [](const RawRequest &request) {
        RawReply reply = answerSuccessfully(request);
        reply.delay = milliseconds(60000);
        return reply;
    });
    system.waitReady();
    const RawCallPtr call = system.call("GET", "/read/x", "id-1");
    system.wait("request at the target", [&] {
        return target.requests().size() == 1;
    });
    call->connection->close();
    system.wait("connection closed", [&] {
        return target.closedConnections() == 1;
    });
}

BOOST_AUTO_TEST_CASE(aRequestIsGivenUpAtItsRoutesTimeout)
{
    RelaySystemOptions options;
    options.callTimeout = milliseconds(200);
    RelaySystem system(options);
    StandIn::RawTarget &target = system.addTarget("t1", [](const RawRequest &request) {
        RawReply reply = answerSuccessfully(request);
        reply.delay = milliseconds(60000);
        return reply;
    });
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/book/x", "id-1", "seat 4");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 504);
    system.wait("connection closed", [&] {
        return target.closedConnections() == 1;
    });
}

BOOST_AUTO_TEST_CASE(aRelayThatWasPausedKeepsItsPeers)
{
    // A relay is paused for longer than the timeout of its peers, and resumes before it has read what they sent meanwhile. It
    // must not treat them as lost: their streams at the engines still count, and one of them may be giving orders.
    RelaySystemOptions options;
    options.relays = 2;
    RelaySystem system(options);
    system.waitReady();
    system.waitState("\"peersHeard\": 1");
    std::this_thread::sleep_for(milliseconds(2500));
    const bool hasLostPeer = system.loop().runUntil(
        [&system] {
            return system.relay().dumpState().find("\"peersHeard\": 1") == std::string::npos;
        },
        milliseconds(500));
    BOOST_TEST(!hasLostPeer);
}

BOOST_AUTO_TEST_CASE(aDrainingTargetGetsNothingNew)
{
    RelaySystem system;
    StandIn::RawTarget &leaving = system.addTarget("t1", answerSuccessfully);
    StandIn::RawTarget &staying = system.addTarget("t2", answerSuccessfully);
    system.waitReady();
    system.registerTarget("t1", "shop", leaving.address(), "draining");
    system.waitState("\"isDraining\": true");
    for (int i = 0; i < 5; ++i) {
        const RawCallPtr call = system.call("GET", "/read/x", "id-" + std::to_string(i));
        system.wait("answer", [&] {
            return call->hasCompleteResponse();
        });
    }
    BOOST_TEST(leaving.requests().empty());
    BOOST_TEST(staying.requests().size() == 5U);
}

BOOST_AUTO_TEST_CASE(aRevokedKeyIsRefusedAndANewOneServed)
{
    RelaySystem system;
    system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    system.configure(2, {"key-2"});
    system.waitState("\"configurationVersion\": 2");
    const RawCallPtr old = system.call("GET", "/read/x", "id-1");
    system.wait("answer", [&] {
        return old->hasCompleteResponse();
    });
    BOOST_TEST(old->status() == 401);
    const RawCallPtr fresh = system.send("GET /read/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: id-2\r\nAuthorization: Token key-2\r\n\r\n");
    system.wait("answer", [&] {
        return fresh->hasCompleteResponse();
    });
    BOOST_TEST(fresh->status() == 200);
}

BOOST_AUTO_TEST_CASE(anOlderConfigurationIsNeverTaken)
{
    RelaySystemOptions options;
    options.version = 5;
    RelaySystem system(options);
    system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    system.configure(4, {"key-old"});
    system.idle(milliseconds(600));
    const RawCallPtr call = system.call("GET", "/read/x", "id-1");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 200);
}

BOOST_AUTO_TEST_CASE(publicRoutesNeedNoKeyAndNameNoWorkspace)
{
    RelaySystem system;
    StandIn::RawTarget &target = system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    const RawCallPtr call = system.send("GET /open/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: id-1\r\nX-Tenant: forged\r\n\r\n");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 200);
    BOOST_TEST(target.requests().at(0).field("X-Tenant").empty());
}

BOOST_AUTO_TEST_CASE(withoutTheStoreARelayIsNotReadyAndPromisesNothingItMayNotKeep)
{
    // The store is unreachable when a relay starts. Without a configuration the relay can't tell whether a path or a key is
    // unknown, so it must respond with 503 and Retry-After.
    RelaySystemOptions options;
    options.relays = 0;
    RelaySystem system(options);
    system.store().faults().isDown = true;
    RelaySystemOptions one;
    RelaySystem other(one);
    other.store().faults().isDown = true;
    const RawCallPtr call = other.call("GET", "/read/x", "id-1");
    other.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 503);
    BOOST_TEST(!call->field("Retry-After").empty());
}

/// Guards against losing callers that reconnect to a restarted process and are refused because it has no configuration yet.
BOOST_AUTO_TEST_CASE(aRequestThatComesWithTheStartIsServedOnceTheConfigurationIsKnown)
{
    RelaySystem system;
    system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    system.stopRelay(0);
    system.store().faults().isDown = true;
    system.startRelay(0);
    const RawCallPtr call = system.call("GET", "/read/x", "id-1");
    system.idle(milliseconds(100));
    BOOST_TEST(call->status() == 0);
    system.store().faults().isDown = false;
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 200);
}

BOOST_AUTO_TEST_CASE(whileTheStoreIsAwayWhatIsKnownIsServedAndWhatIsNotIsNotDenied)
{
    RelaySystem system;
    system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    system.store().faults().isDown = true;
    system.idle(milliseconds(3500));
    const RawCallPtr known = system.call("GET", "/read/x", "id-1");
    const RawCallPtr unknown = system.call("GET", "/nowhere/x", "id-2");
    system.wait("answers", [&] {
        return known->hasCompleteResponse() && unknown->hasCompleteResponse();
    });
    BOOST_TEST(known->status() == 200);
    BOOST_TEST(unknown->status() == 503);
}

/// Guards against sending requests to a target that was removed after the store recovered. The watch of a store without other
/// changes reports the removal up to two seconds late.
BOOST_AUTO_TEST_CASE(aTargetThatLeavesSomeTimeAfterTheStoresReturnGetsNothingMore)
{
    RelaySystemOptions options;
    options.tuneRelay = [](RelaySettings &settings) {
        settings.storeWatch = milliseconds(2000);
    };
    RelaySystem system(options);
    system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    system.waitState("\"t1\"");
    // A change ends the watch call that is open; the calls after it fail.
    system.registerTarget("t2", "shop", {"127.0.0.1", 9});
    system.waitState("\"t2\"");
    system.store().faults().isDown = true;
    system.idle(milliseconds(700));
    system.store().faults().isDown = false;
    constexpr milliseconds expiredEntryGrace{2300};
    constexpr milliseconds detectionTime{900};
    system.idle(expiredEntryGrace + detectionTime);
    system.unregister("t1");
    system.idle(milliseconds(400));
    BOOST_TEST(system.relay().dumpState().find("\"t1\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(aRelayThatTheStoreTurnsAwayLearnsFromItsPeers)
{
    // The store serves one relay and refuses the other with 503. When a key is revoked meanwhile, the refused relay must get
    // the new configuration from its peer, otherwise it would continue to accept the key.
    RelaySystemOptions options;
    options.relays = 2;
    StandIn::RawTarget *gate = nullptr;
    options.tuneRelay = [&](RelaySettings &settings) {
        if (settings.id == "entry-1" && gate) {
            settings.store = gate->address().toString();
        }
    };
    RelaySystem system(options);
    StandIn::RawTarget refusing(system.loop(), [](const RawRequest &) {
        return RawReply{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
    });
    system.addTarget("t1", answerSuccessfully);
    system.waitReady();
    gate = &refusing;
    system.stopRelay(1);
    system.startRelay(1);
    system.wait("ready by its peer's rows", [&] {
        return system.isReady(1);
    });
    system.configure(2, {"key-2"});
    system.wait("the old key is refused", [&] {
        const RawCallPtr call = system.send(system.request("GET", "/read/x", "id-1"), 1);
        system.wait("answer", [&] {
            return call->hasCompleteResponse();
        });
        return call->status() != 200;
    });
    system.stopRelay(1);
}

BOOST_AUTO_TEST_CASE(aPlainTargetThatAPeerAvoidsIsNotAskedForAReport)
{
    // A relay avoids a target after a reset and reports that to its peer. Plain services have no report: they respond to a query
    // for one with 400. Treating that as a failure made all relays avoid a healthy target repeatedly after a single reset.
    RelaySystemOptions options;
    options.relays = 2;
    RelaySystem system(options);
    StandIn::RawTarget &target = system.addTarget("t1", [](const RawRequest &request) {
        return request.field("X-Attempt-Id") == "bad" ? RawReply{"", false, true} : answerSuccessfully(request);
    });
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/book/x", "bad", "seat 4");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 502);
    system.idle(milliseconds(700));
    BOOST_TEST(target.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aStoppingRelayAnswersWhatItHasAndEnds)
{
    RelaySystem system;
    system.addTarget("t1", [](const RawRequest &request) {
        RawReply reply = answerSuccessfully(request);
        reply.delay = milliseconds(500);
        return reply;
    });
    system.waitReady();
    const RawCallPtr open = system.call("GET", "/read/x", "id-1");
    system.idle(milliseconds(50));
    bool isFinished = false;
    system.relay().drain([&] {
        isFinished = true;
    });
    BOOST_TEST(!system.isReady());
    const RawCallPtr late = system.call("GET", "/read/x", "id-2");
    system.wait("both answers", [&] {
        return open->hasCompleteResponse() && late->hasCompleteResponse();
    });
    BOOST_TEST(open->status() == 200);
    BOOST_TEST(late->status() == 200);
    BOOST_TEST(late->field("Connection") == "close");
    system.wait("end", [&] {
        return isFinished;
    });
}

BOOST_AUTO_TEST_SUITE_END()
