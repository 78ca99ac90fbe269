// Index: [SECTION] Heads, [SECTION] Bodies, [SECTION] Events
#include "http/http_message.h"

#include "base/text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Parsleytrail
{

// [SECTION] Heads

constexpr std::size_t maxChunkLineBytes = 256;  ///< chunk size line with extensions, or trailer line; longer lines are rejected
constexpr std::size_t maxEventBytes = 1u << 20; ///< more bytes than this without the end of an event are rejected

static bool isTokenChar(char c)
{
    static constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    const bool isAlphanumeric = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isAlphanumeric || symbols.find(c) != std::string_view::npos;
}

static bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

/// Whether a field value or request target is free of control characters, which other programs could treat as line ends.
static bool isPrintable(std::string_view text, bool allowsBlanks)
{
    return std::all_of(text.begin(), text.end(), [allowsBlanks](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte == ' ' || byte == '\t' ? allowsBlanks : byte > 0x20 && byte != 0x7f;
    });
}

std::string_view HttpHead::path() const
{
    return target.substr(0, target.find('?'));
}

std::string_view HttpHead::find(std::string_view name) const
{
    for (const HeadField &field : fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

bool HttpHead::has(std::string_view name) const
{
    return std::any_of(fields.begin(), fields.end(), [&](const HeadField &field) {
        return equalsIgnoringCase(field.name, name);
    });
}

static bool listContains(std::string_view list, std::string_view word)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (equalsIgnoringCase(trimmed(list.substr(0, comma)), word)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

bool HttpHead::listHas(std::string_view name, std::string_view word) const
{
    return std::any_of(fields.begin(), fields.end(), [&](const HeadField &field) {
        return equalsIgnoringCase(field.name, name) && listContains(field.value, word);
    });
}

bool HttpHead::keepsConnection() const
{
    if (listHas("Connection", "close")) {
        return false;
    }
    return isHttp11 || listHas("Connection", "keep-alive");
}

/// Copies the text of the head into `head` if its end was received and it is within the limit.
static ParseResult extractHeadText(std::string_view input, std::size_t maxBytes, HttpHead &head)
{
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string_view::npos) {
        return input.size() > maxBytes ? ParseResult::TooLarge : ParseResult::Incomplete;
    }
    if (end + 4 > maxBytes) {
        return ParseResult::TooLarge;
    }
    head.text.assign(input.substr(0, end + 4));
    head.fields.clear();
    return ParseResult::Complete;
}

static bool parseFields(HttpHead &head, std::size_t from)
{
    std::string_view remainder = std::string_view(head.text).substr(from);
    while (true) {
        const std::size_t end = remainder.find("\r\n");
        const std::string_view line = remainder.substr(0, end);
        if (line.empty()) {
            return true;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
            return false;
        }
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (!isPrintable(value, true)) {
            return false;
        }
        head.fields.push_back({line.substr(0, colon), value});
        remainder = remainder.substr(end + 2);
    }
}

static bool parseVersion(std::string_view text, bool &isHttp11)
{
    isHttp11 = text == "HTTP/1.1";
    return isHttp11 || text == "HTTP/1.0";
}

ParseResult parseRequestHead(std::string_view input, std::size_t maxBytes, HttpHead &head)
{
    const ParseResult result = extractHeadText(input, maxBytes, head);
    if (result != ParseResult::Complete) {
        return result;
    }
    const std::size_t lineEnd = head.text.find("\r\n");
    const std::string_view line = std::string_view(head.text).substr(0, lineEnd);
    const std::size_t firstBlank = line.find(' ');
    const std::size_t lastBlank = line.rfind(' ');
    if (firstBlank == std::string_view::npos || firstBlank == lastBlank) {
        return ParseResult::Malformed;
    }
    head.method = line.substr(0, firstBlank);
    head.target = line.substr(firstBlank + 1, lastBlank - firstBlank - 1);
    const bool isRequest =
        isToken(head.method) && head.target.starts_with('/') && isPrintable(head.target, false) && parseVersion(line.substr(lastBlank + 1), head.isHttp11);
    return isRequest && parseFields(head, lineEnd + 2) ? ParseResult::Complete : ParseResult::Malformed;
}

/// Parses HttpHead::statusLine: the version, a status of three digits, and a reason, which may be missing.
static bool parseStatusLine(HttpHead &head)
{
    constexpr std::size_t statusAt = 9; // after "HTTP/1.1 "
    constexpr std::size_t statusEnd = statusAt + 3;
    const std::string_view line = head.statusLine;
    if (line.size() < statusEnd || !parseVersion(line.substr(0, statusAt - 1), head.isHttp11) || line[statusAt - 1] != ' ') {
        return false;
    }
    const bool isStatus = parseNumber(line.substr(statusAt, statusEnd - statusAt), head.status) && head.status >= 100 && head.status <= 599;
    const std::string_view reason = line.substr(statusEnd);
    return isStatus && (reason.empty() || (reason.front() == ' ' && isPrintable(reason, true)));
}

ParseResult parseResponseHead(std::string_view input, std::size_t maxBytes, HttpHead &head)
{
    // Reject bytes that can't become a response immediately: a peer that sends something else than HTTP may never send the end
    // of a head.
    static constexpr std::string_view httpPrefix = "HTTP/1.";
    if (input.substr(0, httpPrefix.size()) != httpPrefix.substr(0, input.size())) {
        return ParseResult::Malformed;
    }
    const ParseResult result = extractHeadText(input, maxBytes, head);
    if (result != ParseResult::Complete) {
        return result;
    }
    const std::size_t lineEnd = head.text.find("\r\n");
    head.statusLine = std::string_view(head.text).substr(0, lineEnd);
    return parseStatusLine(head) && parseFields(head, lineEnd + 2) ? ParseResult::Complete : ParseResult::Malformed;
}

// [SECTION] Bodies

const char *toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::UntilClose:
        return "until-close";
    }
    return "?";
}

/// Derives the framing from Content-Length and Transfer-Encoding; sets `hasNoFraming` if neither is present.
static BodyPlan planBody(const HttpHead &head, bool &hasNoFraming)
{
    BodyPlan plan;
    int lengths = 0;
    int encodings = 0;
    std::string_view length;
    std::string_view encoding;
    for (const HeadField &field : head.fields) {
        if (equalsIgnoringCase(field.name, "Content-Length")) {
            ++lengths;
            length = field.value;
        } else if (equalsIgnoringCase(field.name, "Transfer-Encoding")) {
            ++encodings;
            encoding = field.value;
        }
    }
    hasNoFraming = lengths + encodings == 0;
    if (hasNoFraming) {
        return plan;
    }
    if (lengths + encodings > 1) {
        plan.isAmbiguous = true;
    } else if (encodings == 1) {
        plan.isAmbiguous = !equalsIgnoringCase(encoding, "chunked") || !head.isHttp11;
        plan.reader.framing = BodyFraming::Chunked;
    } else {
        constexpr std::size_t maxDigits = 15; // far above any body size limit, and can't overflow 64 bits
        const bool isNumber = !length.empty() && length.size() <= maxDigits && std::all_of(length.begin(), length.end(), [](char c) {
            return c >= '0' && c <= '9';
        });
        plan.isAmbiguous = !isNumber || !parseNumber(length, plan.reader.remaining);
        plan.reader.framing = BodyFraming::Length;
        plan.reader.isComplete = plan.reader.remaining == 0;
    }
    return plan;
}

BodyPlan planRequestBody(const HttpHead &head)
{
    bool hasNoFraming = false;
    BodyPlan plan = planBody(head, hasNoFraming);
    if (hasNoFraming) {
        plan.reader.isComplete = true;
    }
    return plan;
}

BodyPlan planResponseBody(const HttpHead &head, bool isHead)
{
    bool hasNoFraming = false;
    BodyPlan plan = planBody(head, hasNoFraming);
    if (isHead || head.status < 200 || head.status == 204 || head.status == 304) {
        plan.reader = BodyReader();
        plan.reader.isComplete = true;
    } else if (hasNoFraming) {
        plan.reader.framing = BodyFraming::UntilClose;
    }
    return plan;
}

/// Parses the line with a chunk's size. Returns the bytes consumed, 0 if the line is incomplete or malformed.
static std::size_t readChunkLine(BodyReader &reader, std::string_view input)
{
    const std::size_t end = input.find("\r\n");
    if (end == std::string_view::npos) {
        reader.isMalformed = input.size() > maxChunkLineBytes;
        return 0;
    }
    const std::string_view line = input.substr(0, end);
    const std::string_view digits = trimmed(line.substr(0, line.find(';')));
    constexpr std::size_t maxDigits = 12; // far above any body size limit, and can't overflow 64 bits
    const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), reader.remaining, 16);
    if (error != std::errc() || stop != digits.data() + digits.size() || digits.size() > maxDigits) {
        reader.isMalformed = true;
        return 0;
    }
    reader.isInChunk = reader.remaining > 0;
    reader.isInTrailer = reader.remaining == 0;
    return end + 2;
}

/// Skips a trailer line; an empty line completes the body. Returns the bytes consumed.
static std::size_t readTrailerLine(BodyReader &reader, std::string_view input)
{
    const std::size_t end = input.find("\r\n");
    if (end == std::string_view::npos) {
        reader.isMalformed = input.size() > maxChunkLineBytes;
        return 0;
    }
    const std::string_view name = input.substr(0, std::min(end, input.find(':')));
    const bool isField = name.size() < end && isToken(name);
    reader.isComplete = end == 0;
    reader.isMalformed = end > reader.trailerBytesLeft || (end > 0 && !isField);
    reader.trailerBytesLeft -= std::min(end, reader.trailerBytesLeft);
    return end + 2;
}

static std::size_t readChunkData(BodyReader &reader, std::string_view input, std::string &out)
{
    if (reader.remaining > 0) {
        const std::size_t size = std::min<std::uint64_t>(reader.remaining, input.size());
        out.append(input.substr(0, size));
        reader.remaining -= size;
        return size;
    }
    if (input == "\r") {
        return 0;
    }
    reader.isMalformed = !input.starts_with("\r\n");
    reader.isInChunk = false;
    return 2;
}

static std::size_t readChunked(BodyReader &reader, std::string_view input, std::string &out)
{
    std::size_t used = 0;
    while (!reader.isComplete && !reader.isMalformed && used < input.size()) {
        const std::string_view remainder = input.substr(used);
        const std::size_t step = reader.isInChunk     ? readChunkData(reader, remainder, out)
                                 : reader.isInTrailer ? readTrailerLine(reader, remainder)
                                                      : readChunkLine(reader, remainder);
        if (step == 0) {
            break;
        }
        used += step;
    }
    return used;
}

std::size_t readBody(BodyReader &reader, std::string_view input, std::string &out)
{
    if (reader.isComplete || reader.isMalformed || input.empty()) {
        return 0;
    }
    if (reader.framing == BodyFraming::Chunked) {
        return readChunked(reader, input, out);
    }
    const std::size_t size = reader.framing == BodyFraming::Length ? std::min<std::uint64_t>(reader.remaining, input.size()) : input.size();
    out.append(input.substr(0, size));
    if (reader.framing == BodyFraming::Length) {
        reader.remaining -= size;
        reader.isComplete = reader.remaining == 0;
    }
    return size;
}

bool isConnectionField(const HttpHead &head, std::string_view name)
{
    static constexpr std::array<std::string_view, 10> known = {
        "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
        "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};
    const bool isKnown = std::any_of(known.begin(), known.end(), [&](std::string_view field) {
        return equalsIgnoringCase(field, name);
    });
    return isKnown || head.listHas("Connection", name);
}

void appendChunk(std::string &out, std::string_view bytes)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
    out.append(digits.data(), end);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
}

// [SECTION] Events

ParseResult parseEvent(std::string_view input, StreamEvent &event)
{
    const std::size_t end = input.find("\n\n");
    const std::size_t endCrLf = input.find("\r\n\r\n");
    if (end == std::string_view::npos && endCrLf == std::string_view::npos) {
        return input.size() > maxEventBytes ? ParseResult::TooLarge : ParseResult::Incomplete;
    }
    const std::size_t size = end < endCrLf ? end + 2 : endCrLf + 4;
    event = StreamEvent();
    event.bytes = input.substr(0, size);
    std::string_view remainder = event.bytes;
    while (!remainder.empty()) {
        const std::size_t lineEnd = remainder.find('\n');
        std::string_view line = remainder.substr(0, lineEnd);
        if (consumePrefix(line, "id:")) {
            event.hasId = parseNumber(trimmed(line), event.id);
        }
        remainder = lineEnd == std::string_view::npos ? std::string_view() : remainder.substr(lineEnd + 1);
    }
    return ParseResult::Complete;
}

} // namespace Parsleytrail
