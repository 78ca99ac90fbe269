// Digests: SHA-256 where others must not be able to forge, XXH3 where only spread matters.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// SHA-256, 64 hexadecimal digits.
std::string sha256Hex(std::string_view bytes);
/// XXH3 64 bit.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);
/// 128 random bits from the operating system, 32 hexadecimal digits.
std::string randomHex();
/// Whether two strings are equal, in a time that does not tell where they differ.
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace Parsleytrail
