// Responses of the completion protocol: one JSON body, or server-sent events.
#pragma once

#include "entry/completion_request.h"

namespace Parsleytrail
{

/// A response in progress.
struct CompletionAnswer {
    CompletionRequest request; ///< validated request
    ExchangePtr exchange;      ///< HTTP exchange with the caller
    RequestId id;              ///< id of the stream
    std::string publicId;      ///< X-Request-Id of the response
    std::int64_t created = 0;  ///< Unix time, in seconds
    std::string text;          ///< text generated so far; only if the response is not streamed
    std::uint32_t tokens = 0;  ///< tokens generated so far
};

/// Adds a generated token: sends its event, or appends its text to the body.
void pushToken(CompletionAnswer &answer, const TokenFrame &token);
/// Completes the response after the last token: ends the events with [DONE], or sends the body.
void endAnswer(CompletionAnswer &answer, FinishReason reason, std::uint32_t promptTokens);
/// Ends a response that can't be completed: sends an error response, or, if events were already sent, an error event without
/// [DONE].
void failAnswer(CompletionAnswer &answer, const CompletionError &error);

} // namespace Parsleytrail
