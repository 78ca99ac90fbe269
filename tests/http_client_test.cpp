// The HTTP client of all programs: which responses count as complete.
#include "http/client.h"
#include "stand-ins/raw_target.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;
using StandIn::RawReply;
using StandIn::RawRequest;

namespace
{

/// A server's response, and whether the client must take it for a complete one.
struct Ending {
    const char *name;
    const char *bytes;
    bool resets;
    bool isComplete;
};
std::ostream &operator<<(std::ostream &out, const Ending &ending)
{
    return out << ending.name;
}

const Ending endings[] = {
    {"without length, closed", "HTTP/1.1 200 OK\r\n\r\nfine", false, true},
    {"without length, close announced", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfine", false, true},
    {"without length, reset", "HTTP/1.1 200 OK\r\n\r\nfine", true, false},
    {"length, closed before it", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine", false, false},
    {"chunked, closed before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n", false, false},
    {"chunked, closed in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nfine", false, false},
    {"head only", "HTTP/1.1 200 OK\r\n", false, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against responses that were cut and count as complete, and the other way round.
BOOST_DATA_TEST_CASE(aResponseIsCompleteAsItsFramingSays, boost::unit_test::data::make(endings), ending)
{
    EventLoop loop;
    StandIn::RawTarget server(loop, [&](const RawRequest &) {
        RawReply reply{ending.bytes};
        reply.resets = ending.resets;
        reply.closes = !ending.resets;
        return reply;
    });
    HttpClient client(loop);
    std::optional<HttpResult> result;
    client.fetch(server.address(), {}, [&](const HttpResult &received) {
        result = received;
    });
    BOOST_REQUIRE(loop.runUntil(
        [&] {
            return result.has_value();
        },
        milliseconds(10000)));
    BOOST_TEST(!result->failure.has_value() == ending.isComplete);
    BOOST_TEST((!ending.isComplete || result->body == "fine"));
}

struct EndlessBytes {
    const char *name;
    std::string begin;
    std::string repeated;
};
std::ostream &operator<<(std::ostream &out, const EndlessBytes &endless)
{
    return out << endless.name;
}

const EndlessBytes endlessBytes[] = {
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"one header field", "HTTP/1.1 200 OK\r\nX-Field: ", "x"},
    {"header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nfine\r\n"},
    {"a body until the connection closes", "HTTP/1.1 200 OK\r\n\r\n", "fine"},
    {"trailer lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n", "X-Field: value\r\n"},
};

// Guards against probes and orders that read from an engine until their time is up, into memory that has no bound.
BOOST_DATA_TEST_CASE(bytesWithoutEndFailTheRequestBeforeItsTimeout, boost::unit_test::data::make(endlessBytes), endless)
{
    constexpr std::size_t bytes = 4 << 20;
    EventLoop loop;
    StandIn::RawTarget server(loop, [&](const RawRequest &) {
        RawReply reply{endless.begin};
        while (reply.bytes.size() < bytes) {
            reply.bytes += endless.repeated;
        }
        return reply;
    });
    HttpClient client(loop);
    HttpClientRequest request;
    request.maxBodyBytes = 128 * 1024;
    std::optional<HttpResult> result;
    client.fetch(server.address(), request, [&](const HttpResult &received) {
        result = received;
    });
    BOOST_REQUIRE(loop.runUntil(
        [&] {
            return result.has_value();
        },
        milliseconds(10000)));
    BOOST_REQUIRE(result->failure.has_value());
    BOOST_TEST(!result->failure->isTimeout);
}

BOOST_AUTO_TEST_SUITE_END()
