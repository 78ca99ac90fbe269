// Header fields and status codes, shared by the HTTP server and client.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// One header field.
struct HttpHeader {
    std::string name;  ///< as on the wire
    std::string value; ///< as on the wire
};
using HttpHeaders = std::vector<HttpHeader>;

/// Value of the first field of that name, ignoring case; empty if there is none.
std::string findHeader(const HttpHeaders &headers, std::string_view name);
/// Whether the field applies to a single connection (RFC 9110 section 7.6.1) and must not be forwarded.
bool isHopByHop(std::string_view name);
/// Standard reason phrase of a status; "Status" if it is not in the list.
const char *reasonPhrase(int status);

} // namespace Parsleytrail
