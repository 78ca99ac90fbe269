// Error responses: RFC 9457 problem documents that also state whether the request was executed.
#pragma once

#include "generated/messages.h"
#include "http/server.h"

#include <string>

namespace Parsleytrail
{

/// Content of an error response.
struct Problem {
    int status = 500;                  ///< HTTP status
    std::string title;                 ///< short, the same for all problems of a kind; empty: the status's reason phrase
    std::string detail;                ///< explanation for this request
    Outcome outcome = Outcome::NotRun; ///< whether the request was executed
    int retryAfterSeconds = 0;         ///< value of Retry-After; 0: no such header
};

/// Value of parsley-outcome: "not-run", "unknown" or "run".
const char *outcomeText(Outcome outcome);
/// The problem document as JSON.
std::string problemBody(const Problem &problem);
/// Content-Type, parsley-outcome and Retry-After.
HttpHeaders problemHeaders(const Problem &problem);
/// Sends the problem as the complete response, with additional headers.
void replyProblem(const ExchangePtr &exchange, const Problem &problem, HttpHeaders extra = {});

} // namespace Parsleytrail
