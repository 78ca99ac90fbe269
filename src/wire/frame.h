// Frame: a header and an encoded message, on a link or in a datagram. Layout of the header:
//
//     offset 0  u16  magic 0x5054      data of other protocols is refused at once
//            2  u16  wire version      that the payload is written in
//            4  u16  message id
//            6  u16  0                 reserved
//            8  u32  payload bytes
//
// All numbers are little-endian.
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

/// A received frame. The payload is valid only during the call of the handler.
struct Frame {
    std::uint16_t version = 0; ///< wire version to decode with: the lower of the writer's and the reader's versions
    std::uint16_t message = 0; ///< messageId of the payload's type
    std::string_view payload;  ///< encoded message
};

/// Decoded fields of a frame header.
struct FrameHeader {
    std::uint16_t version = 0;      ///< wire version of the writer
    std::uint16_t message = 0;      ///< messageId of the payload's type
    std::uint32_t payloadBytes = 0; ///< size of the payload
};

/// Decodes a header from `frameHeaderBytes` bytes. Returns false for a wrong magic, version 0, or a payload over `limit` bytes.
bool readHeader(const unsigned char *bytes, std::size_t limit, FrameHeader &header);
/// Appends an empty header to `out` and returns its offset.
std::size_t beginFrame(std::string &out);
/// Fills in the header that beginFrame() appended at `start`; everything after it is the payload.
void endFrame(std::string &out, std::size_t start, std::uint16_t version, std::uint16_t message);

/// Appends `message` as a frame. Returns false, and appends nothing, if the message exceeds one of its limits.
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

/// Decodes a frame's payload as `Message`. Returns false if it is malformed.
template<typename Message>
bool decodeFrame(const Frame &frame, Message &message)
{
    return decode(frame.payload, frame.version, message);
}

/// Decodes a frame's payload as `Message` and passes it to `handle`. Returns false if it is malformed.
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
