// IPv4 address and port of a process.
#pragma once

#include "base/errors.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// Address that a process listens on or connects to.
struct Address {
    std::string host;       ///< IPv4 address in dotted notation
    std::uint16_t port = 0; ///< 0: not set; when listening: any free port

    auto operator<=>(const Address &) const = default;
    /// "127.0.0.1:8080"
    std::string toString() const;
};

/// Parses "host:port", where the host is an IPv4 address. Fails with the step "read address".
Result<Address> parseAddress(std::string_view text);

} // namespace Parsleytrail
