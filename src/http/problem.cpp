#include "http/problem.h"

#include <nlohmann/json.hpp>

namespace Parsleytrail
{

const char *outcomeText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Run:
        return "run";
    }
    return "unknown";
}

std::string problemBody(const Problem &problem)
{
    const nlohmann::json body = {{"type", "about:blank"},
                                 {"title", problem.title.empty() ? reasonPhrase(problem.status) : problem.title},
                                 {"status", problem.status},
                                 {"detail", problem.detail},
                                 {"parsley-outcome", outcomeText(problem.outcome)}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpHeaders problemHeaders(const Problem &problem)
{
    HttpHeaders headers = {{"Content-Type", "application/problem+json"}, {"parsley-outcome", outcomeText(problem.outcome)}};
    if (problem.retryAfterSeconds > 0) {
        headers.push_back({"Retry-After", std::to_string(problem.retryAfterSeconds)});
    }
    return headers;
}

void replyProblem(const ExchangePtr &exchange, const Problem &problem, HttpHeaders extra)
{
    HttpHeaders headers = problemHeaders(problem);
    headers.insert(headers.end(), extra.begin(), extra.end());
    exchange->reply(problem.status, headers, problemBody(problem));
}

} // namespace Parsleytrail
