// The process beside a target: an engine with a range of layers, or a plain application.
//
//     Sidecar sidecar(loop, clock, settings);
//     sidecar.start();                                  // listens, announces itself
//     sidecar.drain([&] { loop.stop(); });              // no new work; calls back when the last stream has ended
#pragma once

#include "base/address.h"
#include "base/history.h"
#include "generated/settings.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// One sidecar on the loop of its process.
class Sidecar
{
public:
    Sidecar(EventLoop &loop, const Clock &clock, SidecarSettings settings);
    ~Sidecar();

    /// Listens and begins to announce. Fails with the step that failed.
    Result<void> start();
    /// Takes no new work; `finished` is called when nothing is open any more, or after drain-timeout.
    void drain(std::function<void()> finished);

    Address linkAddress() const;
    Address operatorAddress() const;
    History &history();
    /// Streams or calls open.
    std::size_t openCount() const;
    /// The state dump, JSON.
    std::string state() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
