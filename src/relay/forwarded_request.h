// Functions shared by call and stream forwarding: building the request for a target, refusing and failing requests, and
// recording outcomes in logs and metrics.
#pragma once

#include "relay/forwarding.h"

namespace Parsleytrail
{

/// Why a request is refused and when the caller should retry.
struct Refusal {
    std::string_view reason; ///< written to the log and the response body
    milliseconds retryAfter; ///< estimated time until the request can be served
    std::string inputs{};    ///< values the decision was based on, for the log
    bool isLasting = false;  ///< the caller is told the whole time although it does not wait that long: it would be refused again
};

/// A header field that the relay sets on a request, replacing the caller's.
struct AddedField {
    std::string_view name; ///< as written to the wire
    std::string value;     ///< as written to the wire
};

/// Properties of a complete response, for log and metrics.
struct ServedResponse {
    int status = 0;             ///< HTTP status from the target
    std::string target;         ///< target that responded; for a stream the first engine of the last chain
    int attempts = 0;           ///< number of attempts that a target may have started
    TimePoint firstByteAt{};    ///< first byte of the response
    milliseconds longestGap{0}; ///< longest time between two events of a stream
    BodyFraming framing{};      ///< how the end of the target's response was determined
    std::size_t leftBytes = 0;  ///< bytes at its end that were not relayed
};

/// Serializes the request for a target. Connection-specific fields, the caller's API key and fields that the relay sets
/// itself are not copied from the caller's request.
std::string serializeRequest(const RelayContext &context, const ForwardedRequest &request, const TargetId &target, const std::vector<AddedField> &added);

/// Limits a Retry-After time for a caller that waits for `timeLeft` at most: callers that are given a longer time don't retry.
milliseconds clampedRetryAfter(milliseconds wanted, milliseconds timeLeft);
/// Refuses a request that has certainly not run and will not run: 503 with Retry-After.
void refuseRequest(RelayContext &context, const ForwardedRequest &request, const Refusal &refusal, int attempts);
/// Fails a request that may have run: 504 after its deadline, otherwise 502. A response that was already begun is aborted.
void failRequest(RelayContext &context, const ForwardedRequest &request, std::string_view reason, std::string_view target, int attempts);
/// Records a request with a complete response in log and metrics.
void recordServed(RelayContext &context, const ForwardedRequest &request, const ServedResponse &response);
void recordCallerDisconnected(RelayContext &context, const ForwardedRequest &request, int attempts);
void recordRetry(RelayContext &context, const ForwardedRequest &request, std::string_view reason, std::string_view target, int attempts);

/// Whether a response states that the target did not run the request.
bool reportsNotExecuted(const HeaderNames &names, const HttpHead &head);
/// Whether a response was produced by the target itself: it echoes the attempt id, has a seal, and has no content encoding,
/// so that the body is as the target made it.
bool isAuthenticResponse(const HeaderNames &names, const HttpHead &head, const std::string &attemptId);
/// Requests a second from the header field in which a target names its limit; zero if there is none or it is no positive number.
double parseRequestLimit(std::string_view text);
/// Time from the field Retry-After of a target's refusal; zero if it is missing or no positive number of seconds.
milliseconds parseRetryAfter(std::string_view text);
/// Whether callers treat a status as a guarantee that the request has not run and never will.
bool guaranteesNotRun(int status);

} // namespace Parsleytrail
