// Where an event stream may end.
#include "base/event_boundary.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;

namespace
{

struct Ending {
    const char *bytes;
    bool isWithinEvent;
};
std::ostream &operator<<(std::ostream &out, const Ending &ending)
{
    return out << ending.bytes;
}

const Ending endings[] = {
    {"", false},
    {"id: 1\ndata: a\n\n", false},
    {"id: 1\r\ndata: a\r\n\r\n", false},
    {"id: 1\ndata: a\n\n\n", false},
    {"id: 1\ndata: a\n\r\n", false},
    {": comment\n\n", false},
    {"i", true},
    {"id: 1\n", true},
    {"id: 1\ndata: a", true},
    {"id: 1\ndata: a\n", true},
    {"id: 1\r\ndata: a\r\n", true},
    {"id: 1\ndata: a\n\nid: 2", true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(EventBoundaryTest)

// Guards against cut streams that look complete, and complete ones that look cut, wherever the parts of a stream begin.
BOOST_DATA_TEST_CASE(theEndOfAStreamIsFoundAtEverySplit, boost::unit_test::data::make(endings), ending)
{
    const std::string_view bytes = ending.bytes;
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
        EventBoundary boundary;
        advance(boundary, bytes.substr(0, split));
        advance(boundary, bytes.substr(split));
        BOOST_TEST(boundary.isWithinEvent == ending.isWithinEvent);
    }
}

BOOST_AUTO_TEST_CASE(onlyEventStreamsEndWithEvents)
{
    BOOST_TEST(mayBeEventStream(""));
    BOOST_TEST(mayBeEventStream("text/event-stream; charset=utf-8"));
    BOOST_TEST(!mayBeEventStream("application/json"));
}

BOOST_AUTO_TEST_SUITE_END()
