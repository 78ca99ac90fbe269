// What the two kinds of forwarding share: the bytes for a target, refusals, and the log line at the end.
#pragma once

#include "relay/forwarding.h"

namespace Parsleytrail
{

/// Why a request was refused, with the time after which the caller shall come back.
struct Refusal {
    std::string_view reason; ///< for the log and the body
    milliseconds retryAfter; ///< until when the cause is expected to be gone
    std::string inputs{};    ///< what decided it, for the log
};

/// A field that the relay adds to a request.
struct AddedField {
    std::string_view name; ///< as sent
    std::string value;     ///< as sent
};

/// What is logged of a whole answer.
struct ServedResponse {
    int status = 0;             ///< of the target
    std::string target;         ///< that answered; of a stream the first engine of the last chain
    int attempts = 0;           ///< targets that the request was sent to
    TimePoint firstByteAt{};    ///< of the answer
    milliseconds longestGap{0}; ///< between two events of a stream
};

/// Bytes of the request for a target. Fields of one connection, the caller's key and fields that the relay sets itself
/// are left out.
std::string serializeRequest(const RelayContext &context, const ForwardedRequest &request, const TargetId &target, const std::vector<AddedField> &added);

/// A time after which a caller that still waits for `left` can come back: one told a longer time does not come back at all.
milliseconds clampedRetryAfter(milliseconds wanted, milliseconds timeLeft);
/// Refuses a request that has certainly not run and will not: 503 with Retry-After.
void refuseRequest(RelayContext &context, const ForwardedRequest &request, const Refusal &refusal, int attempts);
/// Answers a request that may have run: 504 if its time is up, else 502; cuts the answer if it was begun.
void failRequest(RelayContext &context, const ForwardedRequest &request, std::string_view reason, std::string_view target, int attempts);
/// Logs and counts a request that was answered whole.
void recordServed(RelayContext &context, const ForwardedRequest &request, const ServedResponse &response);
void recordCallerDisconnected(RelayContext &context, const ForwardedRequest &request, int attempts);
void recordRetry(RelayContext &context, const ForwardedRequest &request, std::string_view reason, std::string_view target, int attempts);

/// Whether an answer tells that the target did not run the request.
bool reportsNotExecuted(const HeaderNames &names, const HttpHead &head);
/// Whether an answer is the target's own: id echoed, seal there, body as the target made it.
bool isAuthenticResponse(const HeaderNames &names, const HttpHead &head, const std::string &attemptId);
/// Whether a status promises that the request has not run and never will.
bool guaranteesNotRun(int status);

} // namespace Parsleytrail
