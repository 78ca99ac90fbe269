// Strict parser for the heads and bodies of HTTP/1.1 messages and for the events of event streams.
//
//     HttpHead head;
//     switch (parseRequestHead(input, 16384, head)) { case ParseResult::Complete: ... }
//     BodyReader body = planRequestBody(head).reader;
//     input.erase(0, readBody(body, input, out));
//
// evhttp and libevhtp don't fit a relay: they rewrite messages, merge header fields, hide how a body ended and can't hold
// back a truncated response. A relay must pass bytes on unchanged and tell a complete response from a truncated one. The
// parser rejects every message that two programs could read differently, as such differences allow request smuggling.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// Result of a parse attempt.
enum class ParseResult : std::uint8_t {
    Incomplete, ///< more bytes are needed
    Complete,   ///< the element was parsed
    Malformed,  ///< not an HTTP/1.0 or HTTP/1.1 message, or ambiguous
    TooLarge    ///< larger than the given limit
};

/// A header field; both views point into HttpHead::text.
struct HeadField {
    std::string_view name;  ///< spelled as received
    std::string_view value; ///< without leading and trailing blanks
};

/// Head of a request or a response. Not copyable, as its views point into `text`.
struct HttpHead {
    HttpHead() = default;
    HttpHead(const HttpHead &) = delete;
    HttpHead &operator=(const HttpHead &) = delete;

    std::string text;              ///< entire head, including the empty line at its end
    std::string_view method;       ///< requests only
    std::string_view target;       ///< requests only: path and query as received
    std::string_view statusLine;   ///< responses only: first line without its line end
    int status = 0;                ///< responses only
    bool isHttp11 = true;          ///< false: HTTP/1.0
    std::vector<HeadField> fields; ///< in the order received

    /// Path of the request target, without the query.
    std::string_view path() const;
    /// Value of the first field of that name, ignoring case; empty if there is none.
    std::string_view find(std::string_view name) const;
    bool has(std::string_view name) const;
    /// Whether a field with a comma-separated list contains `word`, ignoring case.
    bool listHas(std::string_view name, std::string_view word) const;
    /// Whether the connection stays open after this message.
    bool keepsConnection() const;
};

/// Parses a head at the start of `input` and copies it into `head`. Nothing is removed from `input`: the caller drops
/// head.text.size() bytes.
ParseResult parseRequestHead(std::string_view input, std::size_t maxBytes, HttpHead &head);
ParseResult parseResponseHead(std::string_view input, std::size_t maxBytes, HttpHead &head);

/// How the end of a body is determined.
enum class BodyFraming : std::uint8_t {
    None,      ///< no body
    Length,    ///< Content-Length
    Chunked,   ///< Transfer-Encoding: chunked
    UntilClose ///< a response that ends when its connection is closed
};
const char *toString(BodyFraming framing);

/// State of reading one body.
struct BodyReader {
    BodyFraming framing = BodyFraming::None;
    std::uint64_t remaining = 0;              ///< bytes still to read of the body, or of the current chunk
    bool isInChunk = false;                   ///< chunked: `remaining` bytes of data and a line end follow
    bool isInTrailer = false;                 ///< chunked: the last chunk was read, trailer lines follow
    std::size_t trailerBytesLeft = 32 * 1024; ///< chunked: bytes that the trailer lines may still have; the owner sets its limit for a head
    bool isComplete = false;                  ///< the entire body was read
    bool isMalformed = false;                 ///< the framing is invalid; the connection can't be used any more
};

/// Body framing derived from a head.
struct BodyPlan {
    BodyReader reader;        ///< only valid if isAmbiguous is false
    bool isAmbiguous = false; ///< conflicting or malformed framing fields
};
BodyPlan planRequestBody(const HttpHead &head);
/// `isHead`: the request method was HEAD, whose responses have no body.
BodyPlan planResponseBody(const HttpHead &head, bool isHead);
/// Decodes body bytes from `input` and appends them to `out`. Returns the number of bytes of `input` that were consumed.
std::size_t readBody(BodyReader &reader, std::string_view input, std::string &out);

/// Whether a field applies to one connection only and must not be forwarded. `head` may name further such fields in Connection.
bool isConnectionField(const HttpHead &head, std::string_view name);

/// Appends `bytes`, which must not be empty, as one chunk.
void appendChunk(std::string &out, std::string_view bytes);

/// One event of a server-sent event stream.
struct StreamEvent {
    std::string_view bytes; ///< entire event, including the empty line at its end
    std::uint64_t id = 0;   ///< value of its id line
    bool hasId = false;     ///< false for comments and events without a numeric id
};
/// Parses the first event of `input`. Incomplete if its end was not received yet, TooLarge above 1 MiB without an end.
ParseResult parseEvent(std::string_view input, StreamEvent &event);

} // namespace Parsleytrail
