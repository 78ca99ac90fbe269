// Answers of the completion protocol: whole, or as server-sent events.
#pragma once

#include "entry/completion_request.h"

namespace Parsleytrail
{

/// An answer being made.
struct CompletionAnswer {
    CompletionRequest request; ///< as checked
    ExchangePtr exchange;      ///< the caller
    RequestId id;              ///< stream
    std::string publicId;      ///< X-Request-Id
    std::int64_t created = 0;  ///< seconds since 1970
    std::string text;          ///< of a whole answer
    std::uint32_t tokens = 0;  ///< generated so far
};

/// Takes a token: sends its event, or keeps its text.
void pushToken(CompletionAnswer &answer, const TokenFrame &token);
/// The last token was taken: ends the events with [DONE], or sends the whole answer.
void endAnswer(CompletionAnswer &answer, FinishReason reason, std::uint32_t promptTokens);
/// The answer can't be completed: a refusal, or an error event and no [DONE] if events were sent.
void failAnswer(CompletionAnswer &answer, const CompletionError &error);

} // namespace Parsleytrail
