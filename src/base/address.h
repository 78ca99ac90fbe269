// IP number and port.
#pragma once

#include "base/errors.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// Where a process listens.
struct Address {
    std::string host;       ///< IPv4 number
    std::uint16_t port = 0; ///< 0: none, or "any free port" when listening

    auto operator<=>(const Address &) const = default;
    /// "127.0.0.1:8080"
    std::string toString() const;
};

/// Reads "host:port". Fails with the step "read address".
Result<Address> parseAddress(std::string_view text);

} // namespace Parsleytrail
