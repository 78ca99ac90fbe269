// Calls to the plain service beside a sidecar.
//
// The body is collected first and handed over whole: until then a failure is `not-run` for certain. After the first
// byte of it has left this process the outcome is `run` or `unknown`, and nothing here sends it a second time.
#pragma once

#include "sidecar/context.h"

namespace Parsleytrail
{

/// All calls of a sidecar beside an application.
class Calls
{
public:
    explicit Calls(SidecarContext &context);
    ~Calls();

    /// Takes a frame that belongs to calls; false if it is malformed.
    bool handleFrame(const LinkPtr &link, const Frame &frame);
    /// An entry's link is gone: calls not yet handed over never will be.
    void onPeerDisconnected(const LinkPtr &link);

    std::size_t openCount() const;
    /// Smoothed time of a call, microseconds; 0 before the first.
    std::uint32_t callMicros() const;
    /// JSON list for the state dump.
    std::string dump() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t callWindowBytes = 256 << 10; ///< answer bytes on their way to the entry that its caller has not taken

} // namespace Parsleytrail
