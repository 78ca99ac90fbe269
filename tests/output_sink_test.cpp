// A slow or closed reader of the log must not stop the process: a write to a full pipe would block it, and a write to a closed
// pipe fails.
#include "base/output_sink.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

#include <array>

using namespace Parsleytrail;

namespace
{

struct Pipe {
    std::array<int, 2> ends{};

    Pipe()
    {
        BOOST_REQUIRE(pipe(ends.data()) == 0);
    }
    ~Pipe()
    {
        close(ends[1]);
        closeReader();
    }
    void closeReader()
    {
        if (ends[0] >= 0) {
            close(ends[0]);
        }
        ends[0] = -1;
    }
    /// Reads everything that is in the pipe, without blocking.
    std::string drain() const
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t size = 0; (size = read(ends[0], buffer.data(), buffer.size())) > 0;) {
            text.append(buffer.data(), size);
        }
        return text;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OutputSinkTest)

BOOST_AUTO_TEST_CASE(linesArriveInOrder)
{
    const Pipe pipe;
    OutputSink sink(pipe.ends[1]);
    sink.write("one\n");
    sink.write("two\n");
    BOOST_TEST(pipe.drain() == "one\ntwo\n");
    BOOST_TEST(sink.pendingBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(blockedReaderDropsLinesWithoutBlockingTheWriter)
{
    // The pipe fills up, then the buffer; from then on lines are dropped and counted. A reader that resumes gets complete
    // lines, the oldest first.
    const Pipe pipe;
    OutputSink sink(pipe.ends[1]);
    const std::string line = std::string(999, 'x') + "\n";
    for (int i = 0; i < 2000; ++i) {
        sink.write(line);
    }
    BOOST_TEST(sink.pendingBytes() <= maxLogBufferBytes);
    const std::uint64_t dropped = sink.consumeDroppedLines();
    BOOST_TEST(dropped > 1000U);
    std::string read;
    while (sink.pendingBytes() > 0) {
        read += pipe.drain();
        sink.flush();
    }
    read += pipe.drain();
    BOOST_TEST(read.size() == (2000 - dropped) * line.size());
}

BOOST_AUTO_TEST_CASE(closedReaderDropsLinesWithoutEndingTheProcess)
{
    std::signal(SIGPIPE, SIG_IGN);
    Pipe pipe;
    pipe.closeReader();
    OutputSink sink(pipe.ends[1]);
    sink.write("lost\n");
    BOOST_TEST(sink.pendingBytes() == 0U);
    BOOST_TEST(sink.consumeDroppedLines() == 1U);
    sink.write("lost too\n");
    BOOST_TEST(sink.consumeDroppedLines() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
