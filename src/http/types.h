// What HTTP server and client share.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// One header field.
struct HttpHeader {
    std::string name;  ///< as sent
    std::string value; ///< as sent
};
using HttpHeaders = std::vector<HttpHeader>;

/// Value of the first field of that name (any case), or empty.
std::string findHeader(const HttpHeaders &headers, std::string_view name);
/// Whether the field belongs to one connection only (RFC 9110 section 7.6.1) and is not passed on.
bool isHopByHop(std::string_view name);
/// Standard text of a status; "Status" if unknown.
const char *reasonPhrase(int status);

} // namespace Parsleytrail
