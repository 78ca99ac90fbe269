// Compression of message bodies, as HTTP's content coding "zstd".
//
//     std::string body = compress(bytes);
//     BOOST_LEAF_AUTO(plain, decompress(body, maxBytes));
#pragma once

#include "base/errors.h"

#include <string>
#include <string_view>

namespace Parsleytrail
{

/// Name of the content coding in header fields.
constexpr const char *zstdCoding = "zstd";

/// Compresses fast rather than small. Empty if the library fails, which it does only without memory.
std::string compress(std::string_view bytes);
/// Fails with the step "decompress" if the bytes are damaged, or would be longer than `maxBytes`.
Result<std::string> decompress(std::string_view bytes, std::size_t maxBytes);

} // namespace Parsleytrail
