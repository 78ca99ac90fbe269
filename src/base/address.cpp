#include "base/address.h"

#include "base/text.h"

#include <arpa/inet.h>

namespace Parsleytrail
{

std::string Address::toString() const
{
    return host + ":" + std::to_string(port);
}

Result<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    const bool hasPort = colon != std::string_view::npos && parseNumber(text.substr(colon + 1), port);
    if (!hasPort) {
        return fail("read address", std::string(text), "expected IP:port");
    }
    Address address{std::string(text.substr(0, colon)), port};
    in_addr parsed{};
    if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
        return fail("read address", std::string(text), "expected an IPv4 number before the colon");
    }
    return address;
}

} // namespace Parsleytrail
