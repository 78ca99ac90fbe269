// The process beside a target: an engine with a range of layers, or a plain application.
//
//     Sidecar sidecar(loop, clock, settings);
//     sidecar.start();                                  // listens, announces itself
//     sidecar.drain([&] { loop.stop(); });              // accepts no new work; calls back when the last stream has ended
#pragma once

#include "base/address.h"
#include "base/history.h"
#include "generated/settings.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// A sidecar that runs on the given event loop.
class Sidecar
{
public:
    Sidecar(EventLoop &loop, const Clock &clock, SidecarSettings settings);
    ~Sidecar();

    /// Opens the ports and starts to announce the target. The error names the step that failed.
    Result<void> start();
    /// Accepts no new work; `finished` is called when no stream or call is open any more, or after drain-timeout.
    void drain(std::function<void()> finished);

    /// Address for links and datagrams of entries and other sidecars.
    Address linkAddress() const;
    /// Address of the operator interface.
    Address operatorAddress() const;
    History &history();
    /// Number of open streams or calls.
    std::size_t openCount() const;
    /// The state dump as JSON.
    std::string state() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
