// Tells whether a server-sent event stream ends after an event or in the middle of one.
//
//     EventBoundary boundary;
//     advance(boundary, bytes); // for each part received
//     if (boundary.isWithinEvent) ...
//
// The framing of a response does not show this: a target that stops in the middle of an event may close its connection in an
// orderly way, and an orderly close is also the regular end of a response without length and chunks.
#pragma once

#include <string_view>

namespace Parsleytrail
{

/// Position in an event stream.
struct EventBoundary {
    bool isWithinEvent = false; ///< lines were received that no empty line has ended
    bool isWithinLine = false;  ///< bytes were received that no line end has followed
};

/// Moves on by `bytes`. Lines end with LF or CR LF.
void advance(EventBoundary &boundary, std::string_view bytes);

/// Whether a response with this Content-Type, which may be empty, can be an event stream.
bool mayBeEventStream(std::string_view contentType);

} // namespace Parsleytrail
