#include "wire/frame.h"

namespace Parsleytrail
{

constexpr std::uint16_t frameMagic = 0x5054;

static std::uint16_t readU16(const unsigned char *bytes)
{
    return static_cast<std::uint16_t>(bytes[0] | bytes[1] << 8);
}

static void writeU16(std::string &out, std::size_t at, std::uint16_t value)
{
    out[at] = static_cast<char>(value & 0xff);
    out[at + 1] = static_cast<char>(value >> 8);
}

bool readHeader(const unsigned char *bytes, std::size_t limit, FrameHeader &header)
{
    header.version = readU16(bytes + 2);
    header.message = readU16(bytes + 4);
    header.payloadBytes = readU16(bytes + 8) | static_cast<std::uint32_t>(readU16(bytes + 10)) << 16;
    return readU16(bytes) == frameMagic && header.version > 0 && header.payloadBytes <= limit;
}

std::size_t beginFrame(std::string &out)
{
    const std::size_t start = out.size();
    out.append(frameHeaderBytes, '\0');
    return start;
}

void endFrame(std::string &out, std::size_t start, std::uint16_t version, std::uint16_t message)
{
    const auto bytes = static_cast<std::uint32_t>(out.size() - start - frameHeaderBytes);
    writeU16(out, start, frameMagic);
    writeU16(out, start + 2, version);
    writeU16(out, start + 4, message);
    writeU16(out, start + 8, static_cast<std::uint16_t>(bytes & 0xffff));
    writeU16(out, start + 10, static_cast<std::uint16_t>(bytes >> 16));
}

} // namespace Parsleytrail
