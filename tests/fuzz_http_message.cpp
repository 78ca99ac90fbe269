// libFuzzer target for the relay's parser of heads, bodies and events. Decoding a body in one piece and byte by byte must give
// the same result.
#include "http/http_message.h"

#include <cstddef>

using namespace Parsleytrail;

static std::string readAtOnce(BodyReader reader, std::string_view bytes, bool &isMalformed)
{
    std::string body;
    readBody(reader, bytes, body);
    isMalformed = reader.isMalformed;
    return body;
}

static std::string readByByte(BodyReader reader, std::string_view bytes, bool &isMalformed)
{
    std::string pending;
    std::string body;
    for (const char c : bytes) {
        pending += c;
        pending.erase(0, readBody(reader, pending, body));
        if (reader.isMalformed || reader.isComplete) {
            break;
        }
    }
    isMalformed = reader.isMalformed;
    return body;
}

static void checkBody(const BodyPlan &plan, std::string_view remainder)
{
    if (plan.isAmbiguous) {
        return;
    }
    bool isMalformedAtOnce = false;
    bool isMalformedByByte = false;
    const std::string atOnce = readAtOnce(plan.reader, remainder, isMalformedAtOnce);
    const std::string byByte = readByByte(plan.reader, remainder, isMalformedByByte);
    if (atOnce != byByte || isMalformedAtOnce != isMalformedByByte) {
        __builtin_trap();
    }
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    HttpHead request;
    if (parseRequestHead(bytes, 4096, request) == ParseResult::Complete) {
        checkBody(planRequestBody(request), bytes.substr(request.text.size()));
    }
    HttpHead response;
    if (parseResponseHead(bytes, 4096, response) == ParseResult::Complete) {
        checkBody(planResponseBody(response, false), bytes.substr(response.text.size()));
    }
    BodyPlan chunked;
    chunked.reader.framing = BodyFraming::Chunked;
    checkBody(chunked, bytes);
    StreamEvent event;
    if (parseEvent(bytes, event) == ParseResult::Complete && (event.bytes.empty() || event.bytes.size() > bytes.size())) {
        __builtin_trap();
    }
    return 0;
}
