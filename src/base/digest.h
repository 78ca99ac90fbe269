// Hash functions: SHA-256 where forgery must be infeasible, XXH3 where only an even distribution matters.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// SHA-256 digest as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);
/// 64-bit XXH3 hash. Not cryptographic.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);
/// 128 cryptographically random bits from OpenSSL as 32 hexadecimal digits.
std::string randomHex();
/// Whether two strings are equal. Takes the same time wherever they differ, so that timing does not reveal the position.
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace Parsleytrail
