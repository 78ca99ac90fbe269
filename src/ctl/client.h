// Synchronous HTTP requests to an entry's operator port, or to a relay's metrics port.
#pragma once

#include "http/client.h"

namespace Parsleytrail
{

/// Address and credential of an operator request.
struct OperatorEndpoint {
    Address address;             ///< operator port of an entry, or metrics port of a relay
    std::string key;             ///< operators' credential, sent as a bearer token; empty: none is sent
    milliseconds timeout{10000}; ///< longest wait for the response
};

/// Sends a request and blocks until its response or a failure.
HttpResult sendOperatorRequest(const OperatorEndpoint &endpoint, const std::string &method, const std::string &path, const std::string &body = {},
                               const HttpHeaders &headers = {});

} // namespace Parsleytrail
