// A log sink that writes lines to a file descriptor and never waits for its reader.
//
// A process that blocks on its own log stops serving when whoever reads the log is slow. Lines wait in a bounded buffer
// here; what does not fit is dropped and counted, and the count is written as soon as there is room.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Parsleytrail
{

constexpr std::size_t maxLogBufferBytes = 256 * 1024; ///< some thousand lines: seconds of a slow reader at the usual rate

/// Buffer before a descriptor. One thread.
class OutputSink
{
public:
    explicit OutputSink(int descriptor);

    /// Adds a line, with its line end, and writes what can be written at once.
    void write(std::string_view line);
    /// Writes what can be written at once.
    void flush();
    /// Lines dropped since the last call.
    std::uint64_t consumeDroppedLines();
    std::size_t pendingBytes() const;

private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
};

} // namespace Parsleytrail
