#include "base/text.h"

#include <algorithm>
#include <cctype>

namespace Parsleytrail
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

std::vector<std::string> splitList(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        const std::string_view part = trimmed(text.substr(0, end));
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

bool consumePrefix(std::string_view &text, std::string_view prefix)
{
    if (!text.starts_with(prefix)) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

std::string joined(const std::vector<std::string> &items, std::string_view separator)
{
    std::string text;
    for (const std::string &item : items) {
        text += text.empty() ? "" : separator;
        text += item;
    }
    return text;
}

std::string fingerprintText(std::uint64_t fingerprint)
{
    constexpr std::size_t digits = 16;
    std::string text(digits, '0');
    for (std::size_t i = 0; i < digits; ++i) {
        text[digits - 1 - i] = "0123456789abcdef"[(fingerprint >> (4 * i)) & 0xf];
    }
    return text;
}

} // namespace Parsleytrail
