// Keeps what clients make a process hold within its memory: holds the account of policy/client_memory.h, and releases what it selects.
//
//     MemoryGuard guard(loop, clock, clientMemoryLimits(processBytes, connections));
//     source = guard.addSource([this](std::vector<MemoryHolder> &holders) { ... });   // who could release something
//     MemoryCharge charge(&guard.memory());
//
// A release follows from the loop, right after the callback in which the account went over its limit. Until then nothing more is read
// for requests that are not complete; see Connection and HttpServer.
#pragma once

#include "base/metrics.h"
#include "policy/client_memory.h"
#include "wire/event_loop.h"

#include <memory>
#include <vector>

namespace Parsleytrail
{

/// What a MemoryGuard has done so far.
struct MemoryGuardFigures {
    std::uint64_t requestsRefused = 0;   ///< not complete, or not begun, for want of memory
    std::uint64_t connectionsClosed = 0; ///< with a response that their clients did not read
};

/// Lists what could be released, by appending to `holders`. Their release handlers are called before anything else happens.
using MemorySource = std::function<void(std::vector<MemoryHolder> &holders)>;

/// The account of a process, and its enforcement.
class MemoryGuard
{
public:
    MemoryGuard(EventLoop &loop, const Clock &clock, const ClientMemoryLimits &limits);
    ~MemoryGuard();

    ClientMemory &memory();
    const ClientMemory &memory() const;
    /// Adds a source for as long as the caller keeps the result.
    [[nodiscard]] std::shared_ptr<const MemorySource> addSource(MemorySource source);
    /// The present time, for MemoryHolder::since.
    TimePoint now() const;
    /// Counts a request that was refused because hasRoomFor() was false.
    void countRefused();
    const MemoryGuardFigures &figures() const;
    /// The account as JSON, for state dumps.
    std::string dump() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Memory of this process, in bytes: `megabytes` if it is not zero, else what the environment variable PARSLEY_MEMORY_MB says, else that
/// of the smallest machine.
std::size_t processMemoryBytes(std::int64_t megabytes);
/// Makes the allocator return large buffers to the system when they are freed. Called once, at the start of a program.
void prepareAllocator();
/// Descriptors that this process may have open by the operating system; zero: no limit.
std::size_t descriptorLimit();
/// Connections of clients for which a process with so many descriptors has some; the rest is for other connections.
std::size_t clientConnections(std::size_t descriptors);
/// Connections to each port that is not for clients: operators, readiness, and other processes of the system, of which many may come at
/// once when they start.
constexpr std::size_t maxOtherConnections = 256;
/// Sets the metrics of an account.
void exportMemoryMetrics(const MemoryGuard &guard, Metrics &metrics);

} // namespace Parsleytrail
