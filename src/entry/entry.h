// The entry: the process that callers and operators send requests to.
//
//     Entry entry(loop, clock, settings);
//     entry.start();                                // listens, announces itself, reads the configuration
//     entry.drain([&] { loop.stop(); });            // not ready from now on; calls back after the last request
#pragma once

#include "base/address.h"
#include "base/history.h"
#include "generated/settings.h"
#include "wire/event_loop.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// One entry, running on the event loop of its process.
class Entry
{
public:
    Entry(EventLoop &loop, const Clock &clock, EntrySettings settings);
    ~Entry();

    /// Opens the ports and starts the timers. The error names the step that failed.
    Result<void> start();
    /// Stops being ready. Calls `finished` once no request is open, or after drain-timeout; up to 5 s later if writes to the
    /// store are outstanding.
    void drain(std::function<void()> finished);

    Address callerAddress() const;
    Address operatorAddress() const;
    Address peerAddress() const;
    History &history();
    /// Whether a load balancer may send callers here.
    bool isReady() const;
    /// Version of the configuration in force.
    std::uint64_t configurationVersion() const;
    /// Number of open requests.
    std::size_t openRequestCount() const;
    /// Status as JSON, for operators.
    std::string status() const;
    /// State dump as JSON: the status with open streams, open calls and internal counters.
    std::string state() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
