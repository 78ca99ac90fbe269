// libFuzzer: the relay's reader of heads, bodies and events. A body must come out the same however its bytes arrive.
#include "relay/http_message.h"

#include <cstddef>

using namespace Parsleytrail;

static std::string readWhole(BodyReader reader, std::string_view bytes, bool &isMalformed)
{
    std::string body;
    readBody(reader, bytes, body);
    isMalformed = reader.isMalformed;
    return body;
}

static std::string readByByte(BodyReader reader, std::string_view bytes, bool &isMalformed)
{
    std::string waiting;
    std::string body;
    for (const char c : bytes) {
        waiting += c;
        waiting.erase(0, readBody(reader, waiting, body));
        if (reader.isMalformed || reader.isComplete) {
            break;
        }
    }
    isMalformed = reader.isMalformed;
    return body;
}

static void checkBody(const BodyPlan &plan, std::string_view rest)
{
    if (plan.isAmbiguous) {
        return;
    }
    bool isMalformedWhole = false;
    bool isMalformedByByte = false;
    const std::string whole = readWhole(plan.reader, rest, isMalformedWhole);
    const std::string byByte = readByByte(plan.reader, rest, isMalformedByByte);
    if (whole != byByte || isMalformedWhole != isMalformedByByte) {
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
    HttpHead answer;
    if (parseAnswerHead(bytes, 4096, answer) == ParseResult::Complete) {
        checkBody(planAnswerBody(answer, false), bytes.substr(answer.text.size()));
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
