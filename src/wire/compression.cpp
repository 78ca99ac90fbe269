#include "wire/compression.h"

#include <zstd.h>

namespace Parsleytrail
{

constexpr int fastLevel = 1; ///< tables are rows of similar JSON, which higher levels hardly make smaller

std::string compress(std::string_view bytes)
{
    std::string out(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(out.data(), out.size(), bytes.data(), bytes.size(), fastLevel);
    out.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return out;
}

Result<std::string> decompress(std::string_view bytes, std::size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return fail("decompress", {}, "no zstd frame of known size");
    }
    if (size > maxBytes) {
        return fail("decompress", {}, "more than " + std::to_string(maxBytes) + " bytes");
    }
    std::string out(size, '\0');
    const std::size_t written = ZSTD_decompress(out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) != 0 || written != size) {
        return fail("decompress", {}, "damaged zstd frame");
    }
    return out;
}

} // namespace Parsleytrail
