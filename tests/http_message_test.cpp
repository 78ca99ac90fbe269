// The relay's HTTP parser: accepted and rejected messages, and that the result does not depend on how the bytes are split.
#include "http/http_message.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;

namespace
{

/// Decodes a body that arrives in pieces of `step` bytes.
std::string readInPieces(BodyReader &reader, const std::string &bytes, std::size_t step)
{
    std::string pending;
    std::string body;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        pending += bytes.substr(at, step);
        pending.erase(0, readBody(reader, pending, body));
    }
    return body;
}

/// A head that two programs could interpret differently.
struct BadHead {
    const char *name;
    const char *text;
};
std::ostream &operator<<(std::ostream &out, const BadHead &bad)
{
    return out << bad.name;
}

const BadHead badHeads[] = {
    {"no version", "GET /\r\n\r\n"},
    {"three blanks", "GET / x HTTP/1.1\r\n\r\n"},
    {"other version", "GET / HTTP/2.0\r\n\r\n"},
    {"no path", "GET x HTTP/1.1\r\n\r\n"},
    {"blank before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n"},
    {"folded line", "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n"},
    {"no colon", "GET / HTTP/1.1\r\nHost\r\n\r\n"},
    {"bare line feed in a value", "GET / HTTP/1.1\r\nA: b\nContent-Length: 5\r\n\r\n"},
    {"control character in the path", "GET /\x01 HTTP/1.1\r\n\r\n"},
    {"empty field name", "GET / HTTP/1.1\r\n: b\r\n\r\n"},
};

/// Heads with ambiguous framing of the request body.
const BadHead badFramings[] = {
    {"length and chunked", "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"},
    {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"},
    {"the same length twice", "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n"},
    {"signed length", "POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n"},
    {"length with a list", "POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n"},
    {"length that overflows", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n"},
    {"other encoding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"},
    {"chunked twice", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"},
    {"chunked in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"},
};

/// Response heads with a status that is none, or fields that two programs could interpret differently.
const BadHead badResponses[] = {
    {"status 000", "HTTP/1.1 000 OK\r\n\r\n"},
    {"status 099", "HTTP/1.1 099 OK\r\n\r\n"},
    {"status 600", "HTTP/1.1 600 OK\r\n\r\n"},
    {"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n"},
    {"status of two digits", "HTTP/1.1 20 OK\r\n\r\n"},
    {"status with a letter", "HTTP/1.1 200x OK\r\n\r\n"},
    {"status with a control byte", "HTTP/1.1 200\x01\r\n\r\n"},
    {"status with a tab", "HTTP/1.1 200\tOK\r\n\r\n"},
    {"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n\r\n"},
    {"line feed in the reason", "HTTP/1.1 200 OK\nX-A: b\r\n\r\n"},
    {"two blanks before the status", "HTTP/1.1  200 OK\r\n\r\n"},
    {"blank in a name", "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n"},
    {"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01A: b\r\n\r\n"},
    {"blank before the colon", "HTTP/1.1 200 OK\r\nX-A : b\r\n\r\n"},
    {"no name", "HTTP/1.1 200 OK\r\n: b\r\n\r\n"},
    {"no colon", "HTTP/1.1 200 OK\r\nX-A\r\n\r\n"},
    {"control byte in a value", "HTTP/1.1 200 OK\r\nX-A: b\x01\r\n\r\n"},
    {"folded line", "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n\r\n"},
};

const BadHead badChunks[] = {
    {"no digits", "x\r\nab\r\n"},
    {"negative", "-1\r\n"},
    {"blank in the size", "1 0\r\n"},
    {"size that overflows", "fffffffffffffffff\r\n"},
    {"data longer than its size", "2\r\nabc\r\n0\r\n\r\n"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpMessageTest)

BOOST_AUTO_TEST_CASE(aRequestHeadIsReadAtEverySplit)
{
    const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: one.example\r\nX-Empty:\r\nConnection: keep-alive, X-Own\r\n\r\nrest";
    const std::size_t headBytes = text.size() - 4;
    for (std::size_t size = 0; size < text.size(); ++size) {
        HttpHead head;
        const ParseResult result = parseRequestHead(std::string_view(text).substr(0, size), 4096, head);
        BOOST_REQUIRE(result == (size < headBytes ? ParseResult::Incomplete : ParseResult::Complete));
    }
    HttpHead head;
    BOOST_REQUIRE(parseRequestHead(text, 4096, head) == ParseResult::Complete);
    BOOST_TEST(head.text.size() == headBytes);
    BOOST_TEST(head.method == "POST");
    BOOST_TEST(head.target == "/a/b?c=d");
    BOOST_TEST(head.path() == "/a/b");
    BOOST_TEST(head.find("host") == "one.example");
    BOOST_TEST(head.has("x-empty"));
    BOOST_TEST(isConnectionField(head, "x-own"));
    BOOST_TEST(!isConnectionField(head, "Host"));
}

BOOST_DATA_TEST_CASE(headsThatCanBeReadDifferentlyAreRefused, boost::unit_test::data::make(badHeads), bad)
{
    HttpHead head;
    BOOST_TEST((parseRequestHead(bad.text, 4096, head) == ParseResult::Malformed));
}

/// Guards against a failing target's bytes that reach a caller as a response.
BOOST_DATA_TEST_CASE(responseHeadsThatAreNoneAreRefused, boost::unit_test::data::make(badResponses), bad)
{
    HttpHead head;
    BOOST_TEST((parseResponseHead(bad.text, 4096, head) == ParseResult::Malformed));
}

BOOST_DATA_TEST_CASE(statusLinesMayLackAReason, boost::unit_test::data::make({"HTTP/1.1 204\r\n\r\n", "HTTP/1.1 204 \r\n\r\n"}), text)
{
    HttpHead head;
    BOOST_REQUIRE((parseResponseHead(text, 4096, head) == ParseResult::Complete));
    BOOST_TEST(head.status == 204);
}

BOOST_DATA_TEST_CASE(ambiguousLengthsAreRefused, boost::unit_test::data::make(badFramings), bad)
{
    HttpHead head;
    BOOST_REQUIRE(parseRequestHead(bad.text, 4096, head) == ParseResult::Complete);
    BOOST_TEST(planRequestBody(head).isAmbiguous);
}

BOOST_AUTO_TEST_CASE(headsOverTheLimitAreRefusedBeforeTheirEnd)
{
    HttpHead head;
    const std::string endless = "GET / HTTP/1.1\r\nA: " + std::string(5000, 'a');
    BOOST_TEST((parseRequestHead(endless, 4096, head) == ParseResult::TooLarge));
    BOOST_TEST((parseRequestHead(endless + "\r\n\r\n", 4096, head) == ParseResult::TooLarge));
}

BOOST_AUTO_TEST_CASE(bytesThatAreNoResponseAreRefusedAtOnce)
{
    HttpHead head;
    BOOST_TEST((parseResponseHead("HT", 4096, head) == ParseResult::Incomplete));
    BOOST_TEST((parseResponseHead("\x7f\x01garbage", 4096, head) == ParseResult::Malformed));
    BOOST_TEST((parseResponseHead("HTTP/1.1 abc\r\n\r\n", 4096, head) == ParseResult::Malformed));
    BOOST_TEST((parseResponseHead("HTTP/1.1 999 No\r\n\r\n", 4096, head) == ParseResult::Malformed));
    BOOST_REQUIRE((parseResponseHead("HTTP/1.1 200\r\n\r\n", 4096, head) == ParseResult::Complete));
    BOOST_TEST(head.status == 200);
}

BOOST_AUTO_TEST_CASE(aChunkedBodyIsTheSameAtEverySplit)
{
    const std::string bytes = "5\r\nhello\r\n1;ext=1\r\n \r\nA\r\nworld of c\r\n0\r\nTrailer: x\r\n\r\n";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        BodyReader reader;
        reader.framing = BodyFraming::Chunked;
        BOOST_TEST(readInPieces(reader, bytes, step) == "hello world of c");
        BOOST_TEST(reader.isComplete);
        BOOST_TEST(!reader.isMalformed);
    }
}

BOOST_DATA_TEST_CASE(brokenChunksAreRefused, boost::unit_test::data::make(badChunks), bad)
{
    BodyReader reader;
    reader.framing = BodyFraming::Chunked;
    readInPieces(reader, bad.text, 1);
    BOOST_TEST(reader.isMalformed);
}

BOOST_AUTO_TEST_CASE(aBodyOfKnownLengthEndsThere)
{
    HttpHead head;
    BOOST_REQUIRE(parseRequestHead("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n", 4096, head) == ParseResult::Complete);
    BodyPlan plan = planRequestBody(head);
    std::string body;
    BOOST_TEST(readBody(plan.reader, "abcGET", body) == 3U);
    BOOST_TEST(body == "abc");
    BOOST_TEST(plan.reader.isComplete);
}

BOOST_AUTO_TEST_CASE(answersWithoutLengthLastUntilTheConnectionCloses)
{
    HttpHead head;
    BOOST_REQUIRE(parseResponseHead("HTTP/1.1 200 OK\r\n\r\n", 4096, head) == ParseResult::Complete);
    BOOST_TEST((planResponseBody(head, false).reader.framing == BodyFraming::UntilClose));
    BOOST_TEST(planResponseBody(head, true).reader.isComplete);
    BOOST_REQUIRE(parseResponseHead("HTTP/1.1 204 No Content\r\n\r\n", 4096, head) == ParseResult::Complete);
    BOOST_TEST(planResponseBody(head, false).reader.isComplete);
}

BOOST_AUTO_TEST_CASE(eventsEndAtAnEmptyLine)
{
    StreamEvent event;
    BOOST_TEST((parseEvent("id: 7\ndata: a\n", event) == ParseResult::Incomplete));
    BOOST_REQUIRE((parseEvent("id: 7\ndata: a\n\nid: 8", event) == ParseResult::Complete));
    BOOST_TEST(event.bytes == "id: 7\ndata: a\n\n");
    BOOST_TEST(event.hasId);
    BOOST_TEST(event.id == 7U);
    BOOST_REQUIRE((parseEvent("x-weight-versions: 2\r\nid: 12\r\ndata: b\r\n\r\n", event) == ParseResult::Complete));
    BOOST_TEST(event.id == 12U);
    BOOST_REQUIRE((parseEvent(": comment\n\n", event) == ParseResult::Complete));
    BOOST_TEST(!event.hasId);
}

BOOST_AUTO_TEST_SUITE_END()
