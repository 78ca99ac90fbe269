// Requests of the completion protocol: strict parsing, and error responses in the protocol's error object.
//
// A request with an unknown or unsupported field is refused, and the error names the field: a response that silently ignored
// it would be wrong.
#pragma once

#include "generated/messages.h"
#include "http/server.h"

#include <string>
#include <vector>

namespace Parsleytrail
{

/// Form of a request: chat messages or a single text prompt.
enum class CompletionKind { Chat, Text };

/// A parsed and validated request.
struct CompletionRequest {
    CompletionKind kind = CompletionKind::Chat;
    std::string service;                     ///< name of the service; the field "model" of the request
    std::string prompt;                      ///< input text for the engines
    std::vector<std::string> sharedMessages; ///< messages before the last one, which other requests may have too
    bool isStream = false;                   ///< the response is sent as server-sent events
    bool includeUsage = false;               ///< a final event with the token counts is requested
    std::uint32_t maxTokens = 0;             ///< most tokens to generate; 0: the service's max-tokens
};

/// An error response in the completion protocol's error object.
struct CompletionError {
    int status = 400;                           ///< HTTP status
    std::string message;                        ///< human-readable description
    std::string type = "invalid_request_error"; ///< error class of the protocol
    std::string param;                          ///< name of the invalid field, or empty
    std::string code;                           ///< machine-readable code, or empty
    Outcome outcome = Outcome::NotRun;          ///< whether the request was run
    int retryAfterSeconds = 0;                  ///< value of Retry-After; 0: the header is not sent
};
/// Parses and validates a request body. Returns false and fills in `error` if the request is not acceptable.
bool readCompletionRequest(const std::string &body, CompletionKind kind, CompletionRequest &request, CompletionError &error);
/// Fills in an error. Always returns false, so that callers can write `return refuse(...)`.
bool refuse(CompletionError &error, const std::string &param, const std::string &message, const char *code = "");
/// JSON body of an error response.
std::string completionErrorBody(const CompletionError &error);
/// Sends an error response.
void replyCompletionError(const ExchangePtr &exchange, const CompletionError &error, const std::string &requestId);

} // namespace Parsleytrail
