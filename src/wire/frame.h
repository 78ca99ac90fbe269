// The header before every message on a link or in a datagram.
//
//     offset 0  u16  magic 0x5054      refuses strangers at once
//            2  u16  wire version      of the writer
//            4  u16  message id
//            6  u16  0                 reserved
//            8  u32  payload bytes
//
// All numbers little-endian.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Parsleytrail
{

constexpr std::size_t frameHeaderBytes = 12;
constexpr std::size_t maxFrameBytes = 16u << 20; ///< largest payload on a link
constexpr std::size_t maxDatagramBytes = 8192;   ///< largest payload in a datagram

/// A received frame; the payload lives as long as the handler's call.
struct Frame {
    std::uint16_t version = 0; ///< wire version to decode with: the lower of the writer's and the reader's
    std::uint16_t message = 0; ///< messageId
    std::string_view payload;  ///< bytes for decode()
};

/// Header fields as read.
struct FrameHeader {
    std::uint16_t version = 0;      ///< writer's
    std::uint16_t message = 0;      ///< messageId
    std::uint32_t payloadBytes = 0; ///< payload
};

/// Reads a header. Returns false for a wrong magic, version 0, or a payload over `limit`.
bool readHeader(const unsigned char *bytes, std::size_t limit, FrameHeader &header);
/// Makes room for a header in `out` and returns where it starts.
std::size_t beginFrame(std::string &out);
/// Fills in the header that beginFrame() made room for; the payload is everything after it.
void endFrame(std::string &out, std::size_t start, std::uint16_t version, std::uint16_t message);

/// Appends a whole frame. Returns false, and appends nothing, if the message is over one of its limits.
template<typename Message>
[[nodiscard]] bool appendFrame(const Message &message, std::uint16_t version, std::string &out)
{
    const std::size_t start = beginFrame(out);
    if (!encode(message, version, out)) {
        out.resize(start);
        return false;
    }
    endFrame(out, start, version, Message::messageId);
    return true;
}

/// Decodes a frame's payload as `Message`.
template<typename Message>
bool decodeFrame(const Frame &frame, Message &message)
{
    return decode(frame.payload, frame.version, message);
}

/// Decodes a frame's payload as `Message` and hands it to `take`; false if it is malformed.
template<typename Message, typename Handle>
bool decodeAndHandle(const Frame &frame, Handle &&handle)
{
    Message message;
    if (!decodeFrame(frame, message)) {
        return false;
    }
    handle(message);
    return true;
}

} // namespace Parsleytrail
