// Requests of the completion protocol: strict reading, and refusals in the protocol's error object.
//
// A field that is not understood is refused by name rather than ignored, since an answer that silently leaves it out would
// be wrong.
#pragma once

#include "generated/messages.h"
#include "http/server.h"

#include <string>

namespace Parsleytrail
{

/// Which of the two forms a request has.
enum class CompletionKind { Chat, Text };

/// A checked request.
struct CompletionRequest {
    CompletionKind kind = CompletionKind::Chat;
    std::string service;         ///< "model" in the request
    std::string prompt;          ///< text for the engines
    bool isStream = false;       ///< server-sent events
    bool includeUsage = false;   ///< a last event with usage
    std::uint32_t maxTokens = 0; ///< 0: the service's own
};

/// A refusal in the completion protocol's error object.
struct CompletionError {
    int status = 400;                           ///< HTTP status
    std::string message;                        ///< for people
    std::string type = "invalid_request_error"; ///< class of error
    std::string param;                          ///< field at fault, or empty
    std::string code;                           ///< for programs, or empty
    Outcome outcome = Outcome::NotRun;          ///< what is known of the request
    int retryAfterSeconds = 0;                  ///< 0: no Retry-After
};
/// Reads and checks a request's body. Returns false with `error` filled if it is not acceptable.
bool readCompletionRequest(const std::string &body, CompletionKind kind, CompletionRequest &request, CompletionError &error);
/// Fills in a refusal; returns false, for `return refuse(...)`.
bool refuse(CompletionError &error, const std::string &param, const std::string &message, const char *code = "");
/// The error object.
std::string completionErrorBody(const CompletionError &error);
/// Answers with the error object.
void replyCompletionError(const ExchangePtr &exchange, const CompletionError &error, const std::string &requestId);

} // namespace Parsleytrail
