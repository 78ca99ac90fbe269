#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace Parsleytrail
{

static std::string toHex(const unsigned char *bytes, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    hex.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        hex += digits[bytes[i] >> 4];
        hex += digits[bytes[i] & 15];
    }
    return hex;
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string randomHex()
{
    std::array<unsigned char, 16> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHex(bytes.data(), bytes.size());
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace Parsleytrail
