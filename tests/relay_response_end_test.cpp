// The relay in front of targets whose responses end with their connection, or that end a stream in the middle of an event.
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawReply;
using StandIn::RawRequest;
using StandIn::StreamCut;
using StandIn::StreamFraming;

namespace
{

constexpr int engines = 6;
constexpr int eventsOfStream = 30;

/// A way for engines to end a stream in the middle of an event.
struct Cut {
    const char *name;
    StreamFraming framing;
    StreamCut cut;
};
std::ostream &operator<<(std::ostream &out, const Cut &cut)
{
    return out << cut.name;
}

const Cut cuts[] = {
    {"without length, closed", StreamFraming::UntilClose, StreamCut::Close},
    {"without length, reset", StreamFraming::UntilClose, StreamCut::Reset},
    {"chunked, closed", StreamFraming::Chunked, StreamCut::Close},
    {"chunked, reset", StreamFraming::Chunked, StreamCut::Reset},
    {"chunked, ended", StreamFraming::Chunked, StreamCut::End},
};

RelaySystemOptions withFraming(StreamFraming framing)
{
    RelaySystemOptions options;
    options.engines = engines;
    options.engineOptions.events = eventsOfStream;
    options.engineOptions.eventInterval = milliseconds(20);
    options.engineOptions.framing = framing;
    return options;
}

/// Cuts all streams once the caller has five events.
void cutAfterFiveEvents(RelaySystem &system, const RawCallPtr &call, StreamCut cut)
{
    system.wait("some events", [&] {
        return call->eventIds().size() >= 5;
    });
    for (int i = 0; i < engines; ++i) {
        system.engines().cutStreams("engine-" + std::to_string(i), cut);
    }
}

void checkEvents(const RawCallPtr &call, int last)
{
    std::vector<int> ids(last);
    std::iota(ids.begin(), ids.end(), 1);
    BOOST_TEST(call->eventIds() == ids, boost::test_tools::per_element());
}

RawReply answerUntilClose(const RawRequest &request, const std::string &body)
{
    RawReply reply{"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n\r\n" + body};
    reply.closes = true;
    return reply;
}

const char *wholeFeed = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(RelayResponseEndTest)

// Guards against complete streams that are taken for cut ones because only the connection marks their end.
BOOST_AUTO_TEST_CASE(aStreamThatEndsWithItsConnectionIsServedOnce)
{
    RelaySystem system(withFraming(StreamFraming::UntilClose));
    system.waitReady();
    system.waitPlaced();
    const RawCallPtr call = system.stream("s-1");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 200);
    checkEvents(call, eventsOfStream);
    BOOST_TEST(system.engines().startedStreams() == 1);
}

// Guards against a stream that is told as complete though its engine ended it in the middle of an event.
BOOST_DATA_TEST_CASE(aStreamThatEndsWithinAnEventGoesOnAtAnotherEngine, boost::unit_test::data::make(cuts), cut)
{
    RelaySystem system(withFraming(cut.framing));
    system.waitReady();
    system.waitPlaced();
    const RawCallPtr call = system.stream("s-1");
    cutAfterFiveEvents(system, call, cut.cut);
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    checkEvents(call, eventsOfStream);
    BOOST_TEST(system.engines().startedStreams() == 2);
}

// Guards against the same where nothing can be resumed: the caller must see that its response is incomplete.
BOOST_DATA_TEST_CASE(aStreamThatEndsWithinAnEventIsToldAsCut, boost::unit_test::data::make(cuts) * boost::unit_test::data::make({"HTTP/1.1", "HTTP/1.0"}), cut,
                     httpVersion)
{
    RelaySystem system(withFraming(cut.framing));
    system.waitReady();
    system.waitPlaced();
    const RawCallPtr call = system.unresumableStream("s-1", httpVersion);
    cutAfterFiveEvents(system, call, cut.cut);
    system.wait("end", [&] {
        return call->isClosed || call->hasCompleteResponse();
    });
    BOOST_TEST(!call->hasCompleteResponse());
    BOOST_TEST(system.engines().startedStreams() == 1);
}

// Guards against a resumed run that is taken for the end of a stream although it ended before its first event.
BOOST_AUTO_TEST_CASE(aResumedStreamThatEndsWithItsConnectionBeforeAnyEventIsNotComplete)
{
    RelaySystem system(withFraming(StreamFraming::UntilClose));
    system.waitReady();
    system.waitPlaced();
    const RawCallPtr call = system.stream("s-1");
    system.wait("some events", [&] {
        return call->eventIds().size() >= 5;
    });
    for (int i = 0; i < engines; ++i) {
        system.engines().endStreamsWithoutEvents("engine-" + std::to_string(i));
    }
    cutAfterFiveEvents(system, call, StreamCut::Reset);
    system.wait("end", [&] {
        return call->isClosed || call->hasCompleteResponse();
    });
    BOOST_TEST(!call->hasCompleteResponse());
}

// Guards against a stream of a plain service that is told as complete though it ended in the middle of an event.
BOOST_AUTO_TEST_CASE(aPlainServicesStreamThatEndsWithinAnEventIsToldAsCut)
{
    RelaySystem system;
    system.addTarget("t1", [](const RawRequest &request) {
        return answerUntilClose(request, "id: 1\ndata: a\n\nid: 2\nda");
    });
    system.waitReady();
    const RawCallPtr call = system.call("GET", "/feed/x", "id-1");
    system.wait("end", [&] {
        return call->isClosed || call->hasCompleteResponse();
    });
    BOOST_TEST(!call->hasCompleteResponse());
}

// Guards against complete streams of plain services that are taken for cut ones.
BOOST_DATA_TEST_CASE(aPlainServicesStreamThatEndsWithItsConnectionIsServed, boost::unit_test::data::make({"", "\n", "\r\n"}), blankLines)
{
    RelaySystem system;
    system.addTarget("t1", [&](const RawRequest &request) {
        return answerUntilClose(request, wholeFeed + std::string(blankLines));
    });
    system.waitReady();
    const RawCallPtr call = system.call("GET", "/feed/x", "id-1");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 200);
    checkEvents(call, 2);
}

// Guards against complete responses to calls that are taken for cut ones because only the connection marks their end.
BOOST_DATA_TEST_CASE(aCallsResponseThatEndsWithItsConnectionIsServed, boost::unit_test::data::make({"/book/x", "/read/x"}), path)
{
    RelaySystem system;
    int received = 0;
    system.addTarget("t1", [&](const RawRequest &request) {
        ++received;
        return answerUntilClose(request, "fine");
    });
    system.waitReady();
    const RawCallPtr call = system.call("POST", path, "id-1", "seat 4");
    system.wait("answer", [&] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 200);
    BOOST_TEST(call->body() == "fine");
    BOOST_TEST(received == 1);
}

BOOST_AUTO_TEST_SUITE_END()
