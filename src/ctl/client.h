// One request to an entry's operator port, waited for.
#pragma once

#include "http/client.h"

namespace Parsleytrail
{

/// Where and as whom to ask.
struct OperatorEndpoint {
    Address address;             ///< operator port of an entry
    std::string key;             ///< operators' credential
    milliseconds timeout{10000}; ///< longest wait
};

/// Sends a request and waits for its answer.
HttpResult sendOperatorRequest(const OperatorEndpoint &endpoint, const std::string &method, const std::string &path, const std::string &body = {},
                               const HttpHeaders &headers = {});

} // namespace Parsleytrail
