// Targets that send bytes which are no answer, and don't stop.
#include "http/http_message.h"
#include "stand-ins/registry_entry.h"
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::RawTarget;
using StandIn::sealedAnswer;

namespace
{

constexpr std::size_t manyBytes = 2 << 20; ///< sent without an end; more than the relay keeps of anything that is no answer

std::string repeated(const std::string &text)
{
    std::string bytes;
    while (bytes.size() < manyBytes) {
        bytes += text;
    }
    return bytes;
}

std::string chunks()
{
    return repeated("400\r\n" + std::string(0x400, 'x') + "\r\n");
}

/// What a target sends in place of an answer.
struct EndlessKind {
    std::string name;
    std::function<std::string(const RawRequest &)> bytes;
};

std::ostream &operator<<(std::ostream &out, const EndlessKind &kind)
{
    return out << kind.name;
}

const std::vector<EndlessKind> &endlessKinds()
{
    static const std::vector<EndlessKind> kinds = {
        {"interim responses",
         [](const RawRequest &) {
             return repeated("HTTP/1.1 102 Processing\r\n\r\n");
         }},
        {"one header field",
         [](const RawRequest &) {
             return "HTTP/1.1 200 OK\r\nX-Field: " + repeated("x");
         }},
        {"header fields",
         [](const RawRequest &) {
             return "HTTP/1.1 200 OK\r\n" + repeated("X-Field: value\r\n");
         }},
        {"noise",
         [](const RawRequest &) {
             return repeated("noise");
         }},
        {"the extension of a chunk",
         [](const RawRequest &) {
             return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;" + repeated("x");
         }},
        {"a failure's body",
         [](const RawRequest &) {
             return "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks();
         }},
        {"a body that is not the target's own",
         [](const RawRequest &) {
             return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks();
         }},
        {"a body until the connection closes",
         [](const RawRequest &) {
             return "HTTP/1.1 200 OK\r\n\r\n" + repeated("bytes");
         }},
        {"trailer lines",
         [](const RawRequest &request) {
             return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("X-Attempt-Id")
                    + "\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n" + repeated("X-Field: value\r\n");
         }},
    };
    return kinds;
}

constexpr int layersOfModel = 4;

bool isStream(const RawRequest &request)
{
    return request.head.starts_with("POST /chat/");
}

RawReply reportOrOrder(const RawRequest &request)
{
    const bool isReport = request.head.starts_with("GET /report ");
    const std::string body = R"({"busy":false,"seqNo":0,"layers":{"from":0,"to":4},"born":1000,"stalled":[]})";
    const std::string length = std::to_string(isReport ? body.size() : 0);
    return {std::string(isReport ? "HTTP/1.1 200 OK" : "HTTP/1.1 409 Conflict") + "\r\nContent-Length: " + length + "\r\n\r\n" + (isReport ? body : "")};
}

std::string streamHead(const RawRequest &request)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("X-Attempt-Id")
           + "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string wholeStream(const RawRequest &request)
{
    std::string bytes = streamHead(request);
    appendChunk(bytes, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    return bytes + "0\r\n\r\n";
}

/// The same for streams, and an event without an end.
const std::vector<EndlessKind> &endlessStreams()
{
    static const std::vector<EndlessKind> kinds = [] {
        std::vector<EndlessKind> all = endlessKinds();
        all.pop_back(); // the trailer of a stream whose events have all arrived
        all.push_back({"an event", [](const RawRequest &request) {
                           return streamHead(request) + chunks();
                       }});
        return all;
    }();
    return kinds;
}

RawCallPtr answered(RelaySystem &system, const RawCallPtr &call)
{
    system.wait("an answer", [&call] {
        return call->hasCompleteResponse();
    });
    return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayEndlessBytesTest)

/// Guards against callers that wait until their time is up for a target whose bytes can't become an answer, while another could answer.
BOOST_DATA_TEST_CASE(anIdempotentCallIsAnsweredByAnotherTarget, boost::unit_test::data::make(endlessKinds()), kind)
{
    RelaySystem system;
    system.addTarget("endless", [&kind](const RawRequest &request) {
        return RawReply{kind.bytes(request)};
    });
    system.addTarget("sound", [](const RawRequest &request) {
        return RawReply{sealedAnswer(request, "fine")};
    });
    system.waitReady();
    constexpr int calls = 6;
    for (int i = 0; i < calls; ++i) {
        const RawCallPtr call = answered(system, system.call("GET", "/read/x", "c" + std::to_string(i)));
        BOOST_TEST(call->status() == 200);
        BOOST_TEST(call->body() == "fine");
    }
}

/// Guards against a caller that learns only at its deadline that the outcome of its booking, or its stream, is unknown.
BOOST_DATA_TEST_CASE(aRequestThatMayRunOnceFailsAtOnce, boost::unit_test::data::make(endlessKinds()), kind)
{
    RelaySystem system;
    system.addTarget("endless", [&kind](const RawRequest &request) {
        return RawReply{kind.bytes(request)};
    });
    system.waitReady();
    for (const char *path : {"/book/x", "/feed/x"}) {
        const RawCallPtr call = answered(system, system.call("POST", path, std::string("b-") + path[1], "seat 4"));
        BOOST_TEST(call->status() == 502, path);
        system.waitState("\"isUsable\": true");
    }
}

/// Guards against a stream that ends at its caller's deadline because of an engine's bytes, while another engine could serve it.
BOOST_DATA_TEST_CASE(aStreamThatMayBeResumedIsServedByAnotherEngine, boost::unit_test::data::make(endlessStreams()), kind)
{
    RelaySystemOptions options;
    options.engineOptions.layers = layersOfModel;
    RelaySystem system(options);
    std::vector<std::unique_ptr<RawTarget>> engines;
    engines.push_back(std::make_unique<RawTarget>(system.loop(), [&kind](const RawRequest &request) {
        return isStream(request) ? RawReply{kind.bytes(request)} : reportOrOrder(request);
    }));
    engines.push_back(std::make_unique<RawTarget>(system.loop(), [](const RawRequest &request) {
        return isStream(request) ? RawReply{wholeStream(request)} : reportOrOrder(request);
    }));
    for (const char *id : {"endless", "sound"}) {
        const std::size_t index = id == std::string("sound");
        RegisteredTarget engine{{id}, {"chat"}, engines[index]->address(), "dc-1", false, 6, "small", {0, layersOfModel}, 1000};
        system.store().put("servers", id, StandIn::registryEntry(engine, 1));
    }
    system.waitReady();
    system.waitState("\"sound\"");
    const auto isTried = [&engines] {
        return std::any_of(engines[0]->requests().begin(), engines[0]->requests().end(), isStream);
    };
    constexpr int maxStreams = 100; // engines are chosen at random
    for (int i = 0; i < maxStreams && !isTried(); ++i) {
        const RawCallPtr call = answered(system, system.stream("s" + std::to_string(i)));
        BOOST_TEST(call->status() == 200);
        BOOST_TEST(call->eventIds().size() == 2U);
    }
    BOOST_TEST(isTried());
}

/// Guards against bounds on what is no answer that cut true answers.
BOOST_AUTO_TEST_CASE(aLargeAnswerIsPassedOnWhole)
{
    constexpr std::size_t bytes = 50 << 20;
    RelaySystem system;
    system.addTarget("t", [](const RawRequest &request) {
        return RawReply{sealedAnswer(request, std::string(bytes, 'x'))};
    });
    system.waitReady();
    const RawCallPtr call = system.call("GET", "/read/x", "c1");
    system.wait("the whole answer", [&call] {
        return call->received.size() >= bytes && call->received.ends_with("0\r\n\r\n");
    });
    BOOST_TEST(call->body().size() == bytes);
}

/// Guards against a failure with a long body that reaches the caller cut, with a length that fits what is left of it.
BOOST_AUTO_TEST_CASE(aLongFailureIsPassedOnWhole)
{
    constexpr std::size_t bytes = 300 * 1024;
    RelaySystem system;
    system.addTarget("t", [](const RawRequest &request) {
        return RawReply{sealedAnswer(request, std::string(bytes, 'x'), "HTTP/1.1 404 Not Found")};
    });
    system.waitReady();
    const RawCallPtr call = answered(system, system.call("GET", "/read/x", "c1"));
    BOOST_TEST(call->status() == 404);
    BOOST_TEST(call->body().size() == bytes);
}

BOOST_AUTO_TEST_SUITE_END()
