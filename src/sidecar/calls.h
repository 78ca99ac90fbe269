// Calls to the plain service beside a sidecar.
//
// The request body is collected first and handed over to the application in one piece: a failure before that is certainly
// `not-run`. Once the first byte has left this process, the outcome of a failure is `run` or `unknown`, and the request is
// never sent again from here.
#pragma once

#include "sidecar/context.h"

namespace Parsleytrail
{

/// All open calls of a sidecar whose target is an application.
class Calls
{
public:
    explicit Calls(SidecarContext &context);
    ~Calls();

    /// Handles a frame that belongs to a call; false if it is malformed or of another kind.
    bool handleFrame(const LinkPtr &link, const Frame &frame);
    /// Called when the link to an entry closed. Cancels its calls, except those handed over that are not idempotent: these run
    /// to their end and their responses are dropped.
    void onPeerDisconnected(const LinkPtr &link);

    /// Number of open calls.
    std::size_t openCount() const;
    /// Smoothed duration of a call in microseconds; 0 before the first has ended.
    std::uint32_t callMicros() const;
    /// JSON array with one object per call, for the state dump.
    std::string dump() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t callWindowBytes = 256 << 10; ///< flow control: most response bytes of a call that may be sent to the entry and not yet be credited by it

} // namespace Parsleytrail
