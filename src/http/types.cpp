#include "http/types.h"

#include "base/text.h"

#include <algorithm>
#include <array>

namespace Parsleytrail
{

std::string findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalsIgnoringCase(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names = {
        "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
        "trailer",    "transfer-encoding", "upgrade",          "content-length"};
    return std::any_of(names.begin(), names.end(), [name](std::string_view known) {
        return equalsIgnoringCase(known, name);
    });
}

const char *reasonPhrase(int status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace Parsleytrail
