// Explains where a request would go now and why: GET /explain on the metrics port.
//
//     /explain?host=HOST&path=PATH[&workspace=NAME][&prompt=TOKENS][&answer=TOKENS]
//
// host and path are those of the request. The workspace's own priority goes before the route's, see requestPriority(). prompt and
// answer are the expected size of a stream; without them the usual size of the model is assumed.
//
// The answer is a JSON object: the route, service and priority; for a stream the best chain of each data centre with the terms of its cost,
// the chain that the next such request gets, and the engines that are not usable; for a call the targets; and the limits that apply.
// Whether the request itself is refused because it crashes targets depends on its content and is not covered.
//
// The explanation has no side effects: nothing is sent, no budget is consumed, and the random generator is copied.
#pragma once

#include "relay/context.h"

#include <string>
#include <string_view>

namespace Parsleytrail
{

/// State of the relay outside of its context.
struct RelayCondition {
    bool isDraining = false;           ///< new connections end soon
    bool isConfigurationFresh = false; ///< otherwise requests without a route are answered 503 instead of 404
    int openRequests = 0;
    int openRequestsLimit = 0; ///< while so many are open, connections are closed unread; 0: no limit
};

/// Answer to a request for an explanation.
struct Explanation {
    int status = 200; ///< 400: bad parameters; 404: no route matches; 503: no configuration yet
    std::string body; ///< JSON object; other than 200 has "error", a text
};

/// Explains the request that a query string describes.
Explanation explainRequest(const RelayContext &context, const RelayCondition &condition, std::string_view query);

} // namespace Parsleytrail
