// Text helpers.
//
// Debian's Abseil is built with its own string_view type, so that its string functions do not accept std::string_view.
// These functions replace the few that the project needs.
#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// The text without leading and trailing spaces, tabs and line ends.
std::string_view trimmed(std::string_view text);
/// The non-empty parts between separators, trimmed.
std::vector<std::string> splitList(std::string_view text, char separator);
/// Compares two texts, ignoring the case of ASCII letters.
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// Removes the prefix from `text`. Returns false and changes nothing if `text` does not start with it.
bool consumePrefix(std::string_view &text, std::string_view prefix);
/// Concatenates the items with a separator between them.
std::string joined(const std::vector<std::string> &items, std::string_view separator);
/// Formats the fingerprint of a request's input as 16 hexadecimal digits, as logs, state dumps and settings write it.
std::string fingerprintText(std::uint64_t fingerprint);

/// Parses the entire text as a number. Returns false, with `out` unspecified, if it is not a number or out of range.
template<typename NumberType>
bool parseNumber(std::string_view text, NumberType &out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc() && end == text.data() + text.size();
}

} // namespace Parsleytrail
