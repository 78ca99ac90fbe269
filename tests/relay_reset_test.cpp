// Targets that respond before they have read a long request, and reset the connection while the rest of it is still to be sent.
#include "stand-ins/registry_entry.h"
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::RawTarget;
using StandIn::sealedAnswer;

namespace
{

constexpr int uploadBytes = 1 << 20;
constexpr std::size_t partBytes = 8000; ///< of the response, before the reset

RelaySystemOptions withLongUploads()
{
    RelaySystemOptions options;
    options.maxBodyBytes = 2 * uploadBytes;
    return options;
}

/// When the target resets the connection: before the relay can have read the response, or after.
const std::vector<int> resetDelaysMs = {0, 50};
const std::vector<std::string> statusLines = {"HTTP/1.1 200 OK", "HTTP/1.1 500 Failed"};

RawReply partThenReset(const RawRequest &request, const std::string &statusLine, milliseconds resetDelay, const std::string &body)
{
    RawReply reply{statusLine + "\r\nX-Attempt-Id: " + request.field("X-Attempt-Id")
                   + "\r\nX-Response-Seal: s\r\nContent-Type: " + (body.starts_with("id:") ? "text/event-stream" : "text/plain") + "\r\n\r\n" + body};
    reply.resets = true;
    reply.resetDelay = resetDelay;
    return reply;
}

void waitEnd(RelaySystem &system, const RawCallPtr &call)
{
    system.wait("end", [&] {
        return call->isClosed || call->hasCompleteResponse();
    });
}

constexpr StandIn::RawTargetOptions respondsEarly{true};
const std::string upload(uploadBytes, 'u');
const std::string part(partBytes, 'x');
const std::string wholeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(RelayResetTest)

/// Guards against a part of a response that reaches the caller as the whole: sending took the socket's error, and reading then saw an orderly end.
BOOST_DATA_TEST_CASE(aResponseCutByAResetDuringTheUploadIsNotComplete,
                     boost::unit_test::data::make(resetDelaysMs) * boost::unit_test::data::make(statusLines)
                         * boost::unit_test::data::make({"/book/x", "/read/x"}),
                     resetDelayMs, statusLine, path)
{
    RelaySystem system(withLongUploads());
    system.addTarget(
        "t1",
        [&](const RawRequest &request) {
            return partThenReset(request, statusLine, milliseconds(resetDelayMs), part);
        },
        respondsEarly);
    system.waitReady();
    const RawCallPtr call = system.call("POST", path, "id-1", upload);
    waitEnd(system, call);
    BOOST_TEST((call->status() == 502 || !call->hasCompleteResponse()));
    BOOST_TEST(call->field("X-Response-Seal") == (call->status() == 502 ? "" : "s"));
}

/// Guards against the same part in place of the response of another target that could serve the call.
BOOST_DATA_TEST_CASE(anIdempotentCallCutByAResetDuringTheUploadIsServedElsewhere, boost::unit_test::data::make(resetDelaysMs), resetDelayMs)
{
    RelaySystem system(withLongUploads());
    system.addTarget(
        "resets",
        [&](const RawRequest &request) {
            return partThenReset(request, "HTTP/1.1 200 OK", milliseconds(resetDelayMs), part);
        },
        respondsEarly);
    system.addTarget("sound", [](const RawRequest &request) {
        return RawReply{sealedAnswer(request, "fine")};
    });
    system.waitReady();
    for (int i = 0; i < 4; ++i) {
        const RawCallPtr call = system.call("POST", "/read/x", "id-" + std::to_string(i), upload);
        waitEnd(system, call);
        BOOST_TEST(call->status() == 200);
        BOOST_TEST(call->body() == "fine");
    }
}

/// Guards against a stream of a plain service that is told as complete after its first events.
BOOST_DATA_TEST_CASE(aPlainServicesStreamCutByAResetDuringTheUploadIsToldAsCut, boost::unit_test::data::make(resetDelaysMs), resetDelayMs)
{
    RelaySystem system(withLongUploads());
    system.addTarget(
        "t1",
        [&](const RawRequest &request) {
            return partThenReset(request, "HTTP/1.1 200 OK", milliseconds(resetDelayMs), wholeEvents);
        },
        respondsEarly);
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/feed/x", "id-1", upload);
    waitEnd(system, call);
    BOOST_TEST((call->status() == 502 || !call->hasCompleteResponse()));
}

/// Guards against a stream of an engine that is told as complete after its first events.
BOOST_DATA_TEST_CASE(anEnginesStreamCutByAResetDuringTheUploadIsToldAsCut, boost::unit_test::data::make(resetDelaysMs), resetDelayMs)
{
    RelaySystemOptions options = withLongUploads();
    options.engineOptions.layers = 4;
    RelaySystem system(options);
    RawTarget engine(
        system.loop(),
        [&](const RawRequest &request) {
            if (request.head.starts_with("POST /talk/")) {
                return partThenReset(request, "HTTP/1.1 200 OK", milliseconds(resetDelayMs), wholeEvents);
            }
            const std::string report = R"({"busy":false,"seqNo":0,"layers":{"from":0,"to":4},"born":1000,"stalled":[]})";
            return RawReply{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(report.size()) + "\r\n\r\n" + report};
        },
        respondsEarly);
    const RegisteredTarget entry{{"engine"}, {"chat"}, engine.address(), "dc-1", false, 6, "small", {0, 4}, 1000};
    system.store().put("servers", "engine", StandIn::registryEntry(entry, 1));
    system.waitReady();
    system.waitState("\"engine\"");
    const RawCallPtr call = system.call("POST", "/talk/x", "s-1", upload, "X-Model: m\r\nX-Token-Usage: 100,20\r\n");
    waitEnd(system, call);
    BOOST_TEST(call->status() != 503);
    BOOST_TEST((call->status() == 502 || !call->hasCompleteResponse()));
}

/// Guards against whole responses that are taken for cut ones: the target resets the connection for what it has not read, after the length.
BOOST_AUTO_TEST_CASE(aWholeResponseBeforeAResetDuringTheUploadIsPassedOn)
{
    RelaySystem system(withLongUploads());
    system.addTarget(
        "t1",
        [](const RawRequest &request) {
            RawReply reply{sealedAnswer(request, part)};
            reply.resets = true;
            return reply;
        },
        respondsEarly);
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/book/x", "id-1", upload);
    waitEnd(system, call);
    BOOST_TEST(call->status() == 200);
    BOOST_TEST(call->body() == part);
}

/// Guards against the same for a response without a length: its orderly end came before the reset.
BOOST_AUTO_TEST_CASE(aResponseThatEndedBeforeTheResetIsPassedOn)
{
    RelaySystem system(withLongUploads());
    system.addTarget(
        "t1",
        [](const RawRequest &request) {
            RawReply reply = partThenReset(request, "HTTP/1.1 200 OK", milliseconds(0), part);
            reply.endsBeforeReset = true;
            return reply;
        },
        respondsEarly);
    system.waitReady();
    const RawCallPtr call = system.call("POST", "/book/x", "id-1", upload);
    waitEnd(system, call);
    BOOST_TEST(call->status() == 200);
    BOOST_TEST(call->body() == part);
}

BOOST_AUTO_TEST_SUITE_END()
