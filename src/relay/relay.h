// The entry for platforms whose engines pass activations among themselves.
//
//     Relay relay(loop, clock, dialect, settings);
//     BOOST_LEAF_CHECK(relay.start());
//     relay.drain([&] { loop.stop(); });   // at the stop signal
//
// Takes callers' requests, decides where each goes, passes the bytes on, and shares the duty of placing layers with the
// other entries. Keeps nothing: what must last is in the platform's store.
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

/// One process.
class Relay
{
public:
    Relay(EventLoop &loop, const Clock &clock, const PlatformAdapter &adapter, const RelaySettings &settings);
    ~Relay();

    /// Listens and starts to learn. Fails with the step "listen".
    Result<void> start();
    /// Not ready from now on; calls back when the last request has ended, or the stop timeout is near.
    void drain(std::function<void()> finished);
    /// Port that callers connect to; the one that was taken if the settings say 0.
    std::uint16_t callerPort() const;
    /// Whether new connections are wanted: what the platform is told.
    bool isReady() const;
    /// All state as JSON, for people.
    std::string dumpState() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
