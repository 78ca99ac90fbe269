// A request hidden in the bytes of one that is refused must not run, however the bytes arrive.
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using StandIn::RawRequest;

namespace
{

/// A request that is refused, up to the place where another one's text follows.
struct RefusedRequest {
    const char *name;
    std::string fields; ///< beside the usual ones
    std::string body;
    int status;
};
std::ostream &operator<<(std::ostream &out, const RefusedRequest &refused)
{
    return out << refused.name;
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";

const RefusedRequest refusedRequests[] = {
    {"chunk longer than its size", chunked, "5\r\nnote:XX", 400},
    {"chunk size that is no number", chunked, "zz\r\n", 400},
    {"trailer without a colon", chunked, "0\r\nno field\r\n\r\n", 400},
    {"trailer without a name", chunked, "0\r\n: value\r\n\r\n", 400},
    {"length and chunks", "Content-Length: 3\r\n" + chunked, "0\r\n\r\n", 400},
    {"two lengths", "Content-Length: 0\r\nContent-Length: 3\r\n", "", 400},
    {"field without a colon", "no field\r\n", "", 400},
    {"head too large", "X-Large: " + std::string(5000, 'a') + "\r\n", "", 431},
    {"body too large", "Content-Length: 70000\r\n", "", 413},
    {"unknown key, connection closes", "Connection: close\r\n", "", 401},
};

enum class Arrival : std::uint8_t { AtOnce, HeadFirst, InSmallParts };
std::ostream &operator<<(std::ostream &out, Arrival arrival)
{
    return out << (arrival == Arrival::AtOnce ? "at once" : arrival == Arrival::HeadFirst ? "head first" : "in small parts");
}
const Arrival arrivals[] = {Arrival::AtOnce, Arrival::HeadFirst, Arrival::InSmallParts};

std::string textOf(const RefusedRequest &refused)
{
    const std::string key = refused.status == 401 ? "other" : "key-1";
    return "POST /book/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: outer\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token " + key + "\r\n" + refused.fields
           + "\r\n";
}

RawCallPtr sendParts(RelaySystem &system, const std::vector<std::string> &parts)
{
    const RawCallPtr call = system.send({});
    for (const std::string &part : parts) {
        call->connection->write(part);
        system.idle(milliseconds(1));
    }
    return call;
}

std::vector<std::string> split(const std::string &head, const std::string &rest, Arrival arrival)
{
    if (arrival == Arrival::AtOnce) {
        return {head + rest};
    }
    if (arrival == Arrival::HeadFirst) {
        return {head, rest};
    }
    constexpr std::size_t maxParts = 500; // single bytes, but for large requests, which have to arrive in time
    const std::string text = head + rest;
    const std::size_t size = 1 + text.size() / maxParts;
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < text.size(); at += size) {
        parts.push_back(text.substr(at, size));
    }
    return parts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayRefusedRequestTest)

/// Guards against request smuggling: bytes after a refused request were read as the next one, and it ran.
BOOST_DATA_TEST_CASE(nothingIsReadAfterARefusal, boost::unit_test::data::make(refusedRequests) * boost::unit_test::data::make(arrivals), refused, arrival)
{
    RelaySystem system;
    const auto answer = [](const RawRequest &request) {
        return StandIn::RawReply{StandIn::sealedAnswer(request, "fine")};
    };
    StandIn::RawTarget &target = system.addTarget("t", answer);
    system.waitReady();
    const std::string hidden = system.request("POST", "/book/x", "hidden", "seat");
    const RawCallPtr call = sendParts(system, split(textOf(refused), refused.body + hidden, arrival));
    system.wait("the refusal", [&call] {
        return call->hasCompleteResponse() || call->isClosed;
    });
    BOOST_TEST(call->status() == refused.status);
    const RawCallPtr next = system.call("POST", "/book/x", "next", "seat");
    system.wait("the next request", [&next] {
        return next->hasCompleteResponse();
    });
    BOOST_TEST(next->status() == 200);
    const bool hasRun = std::ranges::any_of(target.requests(), [](const RawRequest &request) {
        return request.field("X-Attempt-Id") != "next";
    });
    BOOST_TEST(!hasRun);
    BOOST_TEST(call->received.find("hidden") == std::string::npos);
}

/// Guards against the same after a request that was not complete in time.
BOOST_AUTO_TEST_CASE(nothingIsReadAfterATimeout)
{
    RelaySystem system;
    const auto answer = [](const RawRequest &request) {
        return StandIn::RawReply{StandIn::sealedAnswer(request, "fine")};
    };
    StandIn::RawTarget &target = system.addTarget("t", answer);
    system.waitReady();
    const RawCallPtr call = system.send("POST /book/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: outer\r\nContent-Length: 400\r\n\r\nhalf");
    system.wait("the refusal", [&call] {
        return call->hasCompleteResponse();
    });
    BOOST_TEST(call->status() == 408);
    call->connection->write(system.request("POST", "/book/x", "hidden", "seat"));
    system.wait("the end of the connection", [&call] {
        return call->isClosed;
    });
    BOOST_TEST(target.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()
