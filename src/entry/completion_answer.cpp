#include "entry/completion_answer.h"

#include <nlohmann/json.hpp>

namespace Parsleytrail
{

using nlohmann::json;

/// Serializes JSON. Token texts come from the engine and may contain invalid UTF-8, which is replaced so that serialization does
/// not fail.
static std::string serialize(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

static json makeEnvelope(const CompletionAnswer &answer, bool isChunk)
{
    const bool isChat = answer.request.kind == CompletionKind::Chat;
    return {{"id", (isChat ? "chatcmpl-" : "cmpl-") + answer.id.value},
            {"object", !isChat   ? "text_completion"
                       : isChunk ? "chat.completion.chunk"
                                 : "chat.completion"},
            {"created", answer.created},
            {"model", answer.request.service}};
}

static json makeUsage(const CompletionAnswer &answer, std::uint32_t promptTokens)
{
    return {{"prompt_tokens", promptTokens}, {"completion_tokens", answer.tokens}, {"total_tokens", promptTokens + answer.tokens}};
}

static const char *finishText(FinishReason reason)
{
    return reason == FinishReason::Stop ? "stop" : "length";
}

static std::string serverSentEvent(const json &event)
{
    return "data: " + serialize(event) + "\n\n";
}

/// One event of a stream; `finish` is null except in the last one.
static json makeChunk(const CompletionAnswer &answer, const json &delta, const json &finish)
{
    json event = makeEnvelope(answer, true);
    if (answer.request.kind == CompletionKind::Chat) {
        event["choices"] = json::array({{{"index", 0}, {"delta", delta}, {"logprobs", nullptr}, {"finish_reason", finish}}});
    } else {
        event["choices"] = json::array({{{"index", 0}, {"text", delta.value("content", "")}, {"logprobs", nullptr}, {"finish_reason", finish}}});
    }
    if (answer.request.includeUsage) {
        event["usage"] = nullptr;
    }
    return event;
}

static HttpHeaders answerHeaders(const CompletionAnswer &answer)
{
    if (answer.request.isStream) {
        return {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", answer.publicId}};
    }
    return {{"Content-Type", "application/json"}, {"X-Request-Id", answer.publicId}};
}

void pushToken(CompletionAnswer &answer, const TokenFrame &token)
{
    ++answer.tokens;
    if (!answer.request.isStream) {
        answer.text += token.text;
        return;
    }
    if (!answer.exchange->isBegun()) {
        answer.exchange->beginStream(200, answerHeaders(answer));
        if (answer.request.kind == CompletionKind::Chat) {
            answer.exchange->pushChunk(serverSentEvent(makeChunk(answer, {{"role", "assistant"}, {"content", ""}}, nullptr)));
        }
    }
    if (!token.text.empty()) {
        answer.exchange->pushChunk(serverSentEvent(makeChunk(answer, {{"content", token.text}}, nullptr)));
    }
}

static void endEventStream(CompletionAnswer &answer, FinishReason reason, std::uint32_t promptTokens)
{
    answer.exchange->pushChunk(serverSentEvent(makeChunk(answer, json::object(), finishText(reason))));
    if (answer.request.includeUsage) {
        json event = makeEnvelope(answer, true);
        event["choices"] = json::array();
        event["usage"] = makeUsage(answer, promptTokens);
        answer.exchange->pushChunk(serverSentEvent(event));
    }
    answer.exchange->pushChunk("data: [DONE]\n\n");
    answer.exchange->endStream();
}

static void replyNonStreamed(CompletionAnswer &answer, FinishReason reason, std::uint32_t promptTokens)
{
    json body = makeEnvelope(answer, false);
    json choice = {{"index", 0}, {"logprobs", nullptr}, {"finish_reason", finishText(reason)}};
    if (answer.request.kind == CompletionKind::Chat) {
        choice["message"] = {{"role", "assistant"}, {"content", answer.text}};
    } else {
        choice["text"] = answer.text;
    }
    body["choices"] = json::array({choice});
    body["usage"] = makeUsage(answer, promptTokens);
    answer.exchange->reply(200, answerHeaders(answer), serialize(body));
}

void endAnswer(CompletionAnswer &answer, FinishReason reason, std::uint32_t promptTokens)
{
    if (answer.request.isStream) {
        endEventStream(answer, reason, promptTokens);
    } else {
        replyNonStreamed(answer, reason, promptTokens);
    }
}

void failAnswer(CompletionAnswer &answer, const CompletionError &error)
{
    if (!answer.exchange->isBegun()) {
        return replyCompletionError(answer.exchange, error, answer.publicId);
    }
    // The status has already been sent, so the error goes into the stream; the missing [DONE] marks the response as incomplete.
    answer.exchange->pushChunk("data: " + completionErrorBody(error) + "\n\n");
    answer.exchange->endStream();
}

} // namespace Parsleytrail
