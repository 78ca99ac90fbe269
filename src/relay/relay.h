// The entry for platforms whose engines pass activations directly to each other.
//
//     Relay relay(loop, clock, adapter, settings);
//     BOOST_LEAF_CHECK(relay.start());
//     relay.drain([&] { loop.stop(); });   // at the stop signal
//
// Receives callers' requests, selects a target for each, forwards the bytes, and takes part with the other entries in placing the
// layers of models. Stores nothing itself: all persistent state is in the platform's store.
#pragma once

#include "base/errors.h"
#include "generated/settings.h"
#include "relay/platform_adapter.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>
#include <string>

namespace Parsleytrail
{

/// One relay process.
class Relay
{
public:
    Relay(EventLoop &loop, const Clock &clock, const PlatformAdapter &adapter, const RelaySettings &settings);
    ~Relay();

    /// Listens, and starts to read the configuration and the targets. Fails with the step "listen".
    Result<void> start();
    /// Reports not ready from now on; calls back when the last request has ended, or 350 ms before the stop timeout.
    void drain(std::function<void()> finished);
    /// Port that callers connect to; the assigned port if the settings say 0.
    std::uint16_t callerPort() const;
    /// Whether new connections are wanted, as reported to the platform.
    bool isReady() const;
    /// State of the process as JSON, for diagnosis.
    std::string dumpState() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
