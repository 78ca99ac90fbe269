// Heads and bodies of HTTP/1.1 messages, parsed strictly.
//
//     HttpHead head;
//     switch (parseRequestHead(input, 16384, head)) { case ParseResult::Complete: ... }
//     BodyReader body = requestBody(head).value;
//     input.erase(0, readBody(body, input, out));
//
// evhttp and libevhtp rewrite what they relay: they merge fields, hide how a body ended and can't hold back a cut
// answer. A relay that must pass bytes on unchanged, and must tell a whole answer from one that was cut, reads them
// itself. The parser refuses whatever two programs could read differently: that is how requests are smuggled.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// How far a parser got.
enum class ParseResult : std::uint8_t {
    Incomplete, ///< more bytes are needed
    Complete,   ///< done
    Malformed,  ///< no HTTP/1.1 message, or an ambiguous one
    TooLarge    ///< over the limit given
};

/// A header field; points into the head's text.
struct HeadField {
    std::string_view name;  ///< as sent
    std::string_view value; ///< without surrounding blanks
};

/// Head of a request or an answer. Not copyable: its parts point into `text`.
struct HttpHead {
    HttpHead() = default;
    HttpHead(const HttpHead &) = delete;
    HttpHead &operator=(const HttpHead &) = delete;

    std::string text;              ///< whole head, with the empty line
    std::string_view method;       ///< of a request
    std::string_view target;       ///< of a request: path and query, as sent
    std::string_view statusLine;   ///< of an answer, without line end
    int status = 0;                ///< of an answer
    bool isHttp11 = true;          ///< false: HTTP/1.0
    std::vector<HeadField> fields; ///< in order

    /// Path of the target, without its query.
    std::string_view path() const;
    /// First field of that name, any case; empty if there is none.
    std::string_view find(std::string_view name) const;
    bool has(std::string_view name) const;
    /// Whether a list-valued field holds a word, any case.
    bool listHas(std::string_view name, std::string_view word) const;
    /// Whether the connection stays open after this message.
    bool keepsConnection() const;
};

/// Reads a head from the start of `input` and copies it; does not consume it: head.text.size() bytes are the caller's to drop.
ParseResult parseRequestHead(std::string_view input, std::size_t maxBytes, HttpHead &head);
ParseResult parseResponseHead(std::string_view input, std::size_t maxBytes, HttpHead &head);

/// How the end of a body is told.
enum class BodyFraming : std::uint8_t {
    None,      ///< no body
    Length,    ///< Content-Length
    Chunked,   ///< Transfer-Encoding: chunked
    UntilClose ///< an answer that ends with its connection
};

/// Progress through a body.
struct BodyReader {
    BodyFraming framing = BodyFraming::None;
    std::uint64_t remaining = 0; ///< bytes left of the body, or of the current chunk
    bool isInChunk = false;      ///< chunked: `left` bytes of data, then a line end, follow
    bool isInTrailer = false;    ///< chunked: the last chunk was read
    bool isComplete = false;     ///< nothing of the body is missing
    bool isMalformed = false;    ///< framing is broken; the connection can't be used any more
};

/// A body reader, or that the head is ambiguous.
struct BodyPlan {
    BodyReader reader;        ///< valid if isAmbiguous is false
    bool isAmbiguous = false; ///< conflicting or malformed framing fields
};
BodyPlan planRequestBody(const HttpHead &head);
/// `isHead`: the request was HEAD, whose answers have no body.
BodyPlan planResponseBody(const HttpHead &head, bool isHead);
/// Takes body bytes from `input` and appends them to `out`; returns the bytes of `input` that were used.
std::size_t readBody(BodyReader &reader, std::string_view input, std::string &out);

/// Whether a field belongs to one connection only and is not passed on; `head` may name more in Connection.
bool isConnectionField(const HttpHead &head, std::string_view name);

/// Appends one chunk with `bytes`, which are not empty.
void appendChunk(std::string &out, std::string_view bytes);

/// One event of an event stream.
struct StreamEvent {
    std::string_view bytes; ///< whole, with the empty line at its end
    std::uint64_t id = 0;   ///< of its id line
    bool hasId = false;     ///< false for comments and events without id
};
/// Reads the first whole event of `input`; Incomplete if its end is not there yet.
ParseResult parseEvent(std::string_view input, StreamEvent &event);

} // namespace Parsleytrail
