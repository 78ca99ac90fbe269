// Writes log lines to a file descriptor without ever blocking on its reader.
//
// A process that blocks on its own log stops serving when the log's reader is slow. Lines are held in a bounded buffer;
// those that do not fit are dropped and counted, so that the caller can log the count later.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Parsleytrail
{

constexpr std::size_t maxLogBufferBytes = 256 * 1024; ///< some thousand lines: covers a reader that is stalled for seconds at the usual rate

/// Bounded buffer in front of a file descriptor. Not thread-safe.
class OutputSink
{
public:
    explicit OutputSink(int descriptor);

    /// Adds a line, which includes its line end, and writes as much of the buffer as possible without blocking.
    void write(std::string_view line);
    /// Writes as much of the buffer as possible without blocking.
    void flush();
    /// Returns the number of lines dropped since the last call and resets it.
    std::uint64_t consumeDroppedLines();
    /// Bytes that are buffered and not yet written.
    std::size_t pendingBytes() const;

private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
};

} // namespace Parsleytrail
