// Decoding of JSON that another process wrote: responses of the store, and values of rows.
#pragma once

#include <nlohmann/json.hpp>

#include <exception>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace Parsleytrail
{

/// Runs a decoder of nlohmann::json. Returns false if it threw because a member is missing or has another type.
/// What it has filled in by then is unspecified.
template<typename Decode>
bool decodeItem(const nlohmann::json &item, Decode decode)
{
    try {
        decode(item);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

/// Parses a JSON object and runs a decoder on it. Returns false if `text` is no JSON object, or as decodeItem() does.
template<typename Decode>
bool decodeObject(std::string_view text, Decode decode)
{
    const nlohmann::json object = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    return object.is_object() && decodeItem(object, decode);
}

/// Member `key` as an integer, or `fallback` if it is missing. Throws if it is no integer or does not fit.
template<typename Integer>
Integer integerOr(const nlohmann::json &item, const char *key, Integer fallback)
{
    const auto found = item.find(key);
    if (found == item.end()) {
        return fallback;
    }
    if (found->is_number_unsigned()) {
        const auto number = found->get<std::uint64_t>();
        if (std::in_range<Integer>(number)) {
            return static_cast<Integer>(number);
        }
    } else if (found->is_number_integer()) {
        const auto number = found->get<std::int64_t>();
        if (std::in_range<Integer>(number)) {
            return static_cast<Integer>(number);
        }
    }
    throw std::out_of_range(key);
}

/// Member `key`, or an empty array if it is missing. Throws if it is no array. A reference, because copies of deeply nested JSON recurse.
inline const nlohmann::json &arrayOr(const nlohmann::json &item, const char *key)
{
    static const nlohmann::json none = nlohmann::json::array();
    const auto found = item.find(key);
    if (found == item.end()) {
        return none;
    }
    return found->is_array() ? *found : throw std::invalid_argument(key);
}

} // namespace Parsleytrail
