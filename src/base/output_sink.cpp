#include "base/output_sink.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

#include <utility>

namespace Parsleytrail
{

OutputSink::OutputSink(int descriptor)
    : m_descriptor(descriptor)
{
}

void OutputSink::write(std::string_view line)
{
    if (m_buffer.size() + line.size() > maxLogBufferBytes) {
        ++m_droppedLines;
    } else {
        m_buffer.append(line);
    }
    flush();
}

void OutputSink::flush()
{
    while (!m_buffer.empty()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || !(ready.revents & (POLLOUT | POLLERR | POLLHUP))) {
            return;
        }
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking; a larger write could block.
        const ssize_t size = ::write(m_descriptor, m_buffer.data(), std::min<std::size_t>(m_buffer.size(), PIPE_BUF));
        if (size < 0 && (errno == EINTR || errno == EAGAIN)) {
            return;
        }
        if (size <= 0) {
            // The reader has closed its end: drop the lines and continue.
            m_droppedLines += std::count(m_buffer.begin(), m_buffer.end(), '\n');
            m_buffer.clear();
            return;
        }
        m_buffer.erase(0, size);
    }
}

std::uint64_t OutputSink::consumeDroppedLines()
{
    return std::exchange(m_droppedLines, 0);
}

std::size_t OutputSink::pendingBytes() const
{
    return m_buffer.size();
}

} // namespace Parsleytrail
