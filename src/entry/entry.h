// The process that callers and operators speak to.
//
//     Entry entry(loop, clock, settings);
//     entry.start();                                // listens, announces itself, reads the configuration
//     entry.drain([&] { loop.stop(); });            // not ready at once; calls back when the last request has ended
#pragma once

#include "base/address.h"
#include "base/history.h"
#include "generated/settings.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// One entry on the loop of its process.
class Entry
{
public:
    Entry(EventLoop &loop, const Clock &clock, EntrySettings settings);
    ~Entry();

    /// Listens. Fails with the step that failed.
    Result<void> start();
    /// Is not ready from now on; `finished` is called when nothing is open any more, or after drain-timeout.
    void drain(std::function<void()> finished);

    Address callerAddress() const;
    Address operatorAddress() const;
    Address peerAddress() const;
    History &history();
    /// Whether the balancer may send callers here.
    bool isReady() const;
    /// Version in force.
    std::uint64_t configurationVersion() const;
    /// Requests open.
    std::size_t open() const;
    /// The status, JSON.
    std::string status() const;
    /// The state dump, JSON.
    std::string state() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
