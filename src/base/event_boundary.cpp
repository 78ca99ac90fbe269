#include "base/event_boundary.h"

namespace Parsleytrail
{

void advance(EventBoundary &boundary, std::string_view bytes)
{
    for (const char c : bytes) {
        if (c == '\n') {
            boundary.isWithinEvent = boundary.isWithinLine;
            boundary.isWithinLine = false;
        } else if (c != '\r') {
            boundary.isWithinEvent = true;
            boundary.isWithinLine = true;
        }
    }
}

bool mayBeEventStream(std::string_view contentType)
{
    return contentType.empty() || contentType.starts_with("text/event-stream");
}

} // namespace Parsleytrail
