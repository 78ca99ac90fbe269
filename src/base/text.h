// Small helpers on text.
//
// Debian's Abseil is built with a string_view of its own, so its string functions do not take std::string_view; these
// few are all that the project needs of them.
#pragma once

#include <charconv>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// Without blanks, tabs and line ends around it.
std::string_view trimmed(std::string_view text);
/// Parts between separators, trimmed, without empty ones.
std::vector<std::string> splitList(std::string_view text, char separator);
/// Whether two texts are equal but for the case of ASCII letters.
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// Removes the prefix if `text` starts with it.
bool consumePrefix(std::string_view &text, std::string_view prefix);
/// Items with a separator between them.
std::string joined(const std::vector<std::string> &items, std::string_view separator);

/// Reads a whole text as a number; false, with `out` unspecified, if it is none or out of range.
template<typename NumberType>
bool parseNumber(std::string_view text, NumberType &out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc() && end == text.data() + text.size();
}

} // namespace Parsleytrail
