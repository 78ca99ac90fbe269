// What the clients of a process make it hold in memory, all together, and who gives way when that is too much.
//
// Each limit on a single request can be kept by a crowd of clients that fills the memory of the process, which the operating system then
// ends with all its other requests. So everything that is held because of a client is charged to one account: heads, bodies whole and in
// part, copies for targets, bytes that were read and not processed, responses that were not sent. What counts is the capacity of a buffer,
// not its size, and for a connection that is not being read also its receive buffer in the kernel, which the system counts as memory too.
//
//     ClientMemory memory{clientMemoryLimits(processBytes, connections)};
//     MemoryCharge charge(&memory, MemoryUse::Receiving);
//     charge.set(body.capacity());
//     if (!hasRoomFor(memory, announcedBytes)) ...                    // refuse the request: it can't be served
//     for (const std::size_t i : selectToRelease(memory, holders)) ... // refuse or close these
//
// Small requests have a part of the memory for themselves, so that ordinary clients are served while others fill the rest.
//
// Pure: no input or output, and the caller passes the time in.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Parsleytrail
{

/// What memory is held for.
enum class MemoryUse : std::uint8_t {
    Receiving, ///< a request that is not complete, so that it certainly has not run: it can be refused at any time
    Working    ///< a complete request or its response: only a response that its client does not read is given up
};

/// Requests of up to this many bytes are small. Far above requests with a prompt, far below the bodies that fill memory.
constexpr std::size_t smallRequestBytes = 64 * 1024;
/// Copies of a request while it is passed on: the one received, and the one that waits until its target takes it.
constexpr std::size_t copiesOfRequest = 2;
/// Bookkeeping of an open connection in this process, in bytes: its session, handlers and events.
constexpr std::size_t connectionOverheadBytes = 2048;
/// Memory of a machine of which nothing is known, in MB (1,000,000 bytes): that of the smallest machines the system runs on.
constexpr std::int64_t smallestMachineMegabytes = 160;

/// Limits that follow from the memory of a process.
struct ClientMemoryLimits {
    std::size_t total = 0;              ///< bytes that clients may make the process hold; 0: no limit
    std::size_t largeRequests = 0;      ///< bytes up to which requests that are not small are admitted
    std::size_t receiveBufferBytes = 0; ///< receive buffer of a client's connection; 0: that of the operating system
};
/// Limits for a process that may use `processBytes` and have `connections` clients connected.
ClientMemoryLimits clientMemoryLimits(std::size_t processBytes, std::size_t connections);

/// The account of a process.
struct ClientMemory {
    ClientMemoryLimits limits{};
    std::size_t receiving = 0;      ///< bytes charged as MemoryUse::Receiving
    std::size_t working = 0;        ///< bytes charged as MemoryUse::Working
    std::size_t peak = 0;           ///< most bytes ever charged
    std::function<void()> onOver{}; ///< called each time that a charge has raised the account over its limit; may be empty
};

/// Bytes charged to the account.
std::size_t heldBytes(const ClientMemory &memory);
bool isOver(const ClientMemory &memory);
/// Whether a request of this size can be served beside all that can't be released now. It needs a copy for its target.
bool hasRoomFor(const ClientMemory &memory, std::size_t requestBytes);

/// Bytes that one buffer or request adds to an account. Subtracts them when it is destroyed. Without an account it does nothing.
class MemoryCharge
{
public:
    explicit MemoryCharge(ClientMemory *memory = nullptr, MemoryUse use = MemoryUse::Working);
    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;
    ~MemoryCharge();

    /// Replaces the charged bytes. May call ClientMemory::onOver.
    void set(std::size_t bytes);
    void setUse(MemoryUse use);
    std::size_t bytes() const;
    MemoryUse use() const;
    ClientMemory *memory() const;

private:
    ClientMemory *m_memory;
    MemoryUse m_use;
    std::size_t m_bytes = 0;
};

/// Something that holds memory for a client and can release it.
struct MemoryHolder {
    MemoryUse use = MemoryUse::Receiving;
    TimePoint since{};               ///< Receiving: when the request began
    std::size_t bytes = 0;           ///< that a release would free; Working: of a response that is not read
    std::function<void()> release{}; ///< refuses the request, or closes the connection
};
/// Which holders release their memory, as indices, so that the account has some room again. Empty while it is not over its limit.
///
/// First the requests that have been received for longest, as an ordinary client sends its request at once; after all others those that
/// free little. Only if these are not enough, the largest responses that are not read: their requests may have run. A response of which
/// little is left stays: it is about to be read, and would free nothing.
std::vector<std::size_t> selectToRelease(const ClientMemory &memory, const std::vector<MemoryHolder> &holders);

/// Raises the capacity of a buffer for `more` bytes. It doubles, but not beyond what is expected in total: a string that grows by itself
/// may end with twice the bytes it holds.
void growBuffer(std::string &buffer, std::size_t more, std::size_t expectedTotal);
/// Gives back what a buffer has in excess of its bytes, if that is much.
void trimBuffer(std::string &buffer);
/// Empties a buffer and gives back its memory: an assignment of an empty string would keep it.
void releaseBuffer(std::string &buffer);

} // namespace Parsleytrail
