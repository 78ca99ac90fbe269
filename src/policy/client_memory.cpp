#include "policy/client_memory.h"

#include <algorithm>

namespace Parsleytrail
{

/// Share of a process's memory that clients may fill. The rest is for tables, targets' connections and the allocator's losses.
constexpr double clientsShare = 0.4;
/// Share of that up to which requests that are not small are admitted.
constexpr double largeRequestsShare = 0.8;
/// Share of a process's memory for what the kernel holds of all clients' connections.
constexpr double receiveBuffersShare = 0.3;
/// Bounds of a connection's receive buffer: a smaller one would slow down a single large request, a larger one gains nothing
/// within a region.
constexpr std::size_t minReceiveBufferBytes = 16 * 1024;
constexpr std::size_t maxReceiveBufferBytes = 64 * 1024;
/// A release goes on until the account is below this share of its limit, so that not each further byte calls for another.
constexpr double releasedShare = 0.9;
/// A request of which no more than this was received frees little: a head, or the begin of a body. So does a response of which no more is
/// left.
constexpr std::size_t littleBytes = 16 * 1024;
/// Excess of a buffer that is kept.
constexpr std::size_t keptExcessBytes = 4096;

static std::size_t shareOf(std::size_t bytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

ClientMemoryLimits clientMemoryLimits(std::size_t processBytes, std::size_t connections)
{
    ClientMemoryLimits limits;
    limits.total = shareOf(processBytes, clientsShare);
    limits.largeRequests = shareOf(limits.total, largeRequestsShare);
    const std::size_t perConnection = shareOf(processBytes, receiveBuffersShare) / std::max<std::size_t>(connections, 1);
    limits.receiveBufferBytes = std::clamp(perConnection, minReceiveBufferBytes, maxReceiveBufferBytes);
    return limits;
}

std::size_t heldBytes(const ClientMemory &memory)
{
    return memory.receiving + memory.working;
}

bool isOver(const ClientMemory &memory)
{
    return memory.limits.total > 0 && heldBytes(memory) > memory.limits.total;
}

bool hasRoomFor(const ClientMemory &memory, std::size_t requestBytes)
{
    if (memory.limits.total == 0) {
        return true;
    }
    const std::size_t limit = requestBytes > smallRequestBytes ? memory.limits.largeRequests : memory.limits.total;
    return memory.working <= limit && requestBytes <= (limit - memory.working) / copiesOfRequest;
}

// MemoryCharge

static std::size_t &amountOf(ClientMemory &memory, MemoryUse use)
{
    return use == MemoryUse::Receiving ? memory.receiving : memory.working;
}

MemoryCharge::MemoryCharge(ClientMemory *memory, MemoryUse use)
    : m_memory(memory)
    , m_use(use)
{
}

MemoryCharge::~MemoryCharge()
{
    if (m_memory && m_bytes > 0) {
        amountOf(*m_memory, m_use) -= m_bytes;
    }
}

void MemoryCharge::set(std::size_t bytes)
{
    if (!m_memory || bytes == m_bytes) {
        return;
    }
    const bool isMore = bytes > m_bytes;
    std::size_t &amount = amountOf(*m_memory, m_use);
    amount = amount - m_bytes + bytes;
    m_bytes = bytes;
    m_memory->peak = std::max(m_memory->peak, heldBytes(*m_memory));
    if (isMore && m_memory->onOver && isOver(*m_memory)) {
        m_memory->onOver();
    }
}

void MemoryCharge::setUse(MemoryUse use)
{
    if (m_memory && use != m_use) {
        amountOf(*m_memory, m_use) -= m_bytes;
        amountOf(*m_memory, use) += m_bytes;
    }
    m_use = use;
}

std::size_t MemoryCharge::bytes() const
{
    return m_bytes;
}

MemoryUse MemoryCharge::use() const
{
    return m_use;
}

ClientMemory *MemoryCharge::memory() const
{
    return m_memory;
}

// Release

/// Rank of a holder; lower ones release first.
static int releaseRank(const MemoryHolder &holder)
{
    if (holder.use == MemoryUse::Working) {
        return 2;
    }
    return holder.bytes > littleBytes ? 0 : 1;
}

static bool releasesBefore(const MemoryHolder &a, const MemoryHolder &b)
{
    const int rankOfA = releaseRank(a);
    const int rankOfB = releaseRank(b);
    if (rankOfA != rankOfB) {
        return rankOfA < rankOfB;
    }
    if (a.use == MemoryUse::Working) {
        return a.bytes > b.bytes;
    }
    return a.since < b.since;
}

std::vector<std::size_t> selectToRelease(const ClientMemory &memory, const std::vector<MemoryHolder> &holders)
{
    std::vector<std::size_t> selected;
    if (!isOver(memory)) {
        return selected;
    }
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (holders[i].use == MemoryUse::Receiving || holders[i].bytes > littleBytes) {
            order.push_back(i);
        }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return releasesBefore(holders[a], holders[b]);
    });
    const std::size_t goal = shareOf(memory.limits.total, releasedShare);
    std::size_t held = heldBytes(memory);
    for (const std::size_t i : order) {
        if (held <= goal) {
            break;
        }
        held -= std::min(held, holders[i].bytes);
        selected.push_back(i);
    }
    return selected;
}

// Buffers

static void setCapacity(std::string &buffer, std::size_t capacity)
{
    // reserve() and shrink_to_fit() may round up to twice the old capacity, or do nothing.
    std::string other;
    other.reserve(capacity);
    other.append(buffer);
    buffer.swap(other);
}

void growBuffer(std::string &buffer, std::size_t more, std::size_t expectedTotal)
{
    const std::size_t needed = buffer.size() + more;
    if (needed > buffer.capacity()) {
        setCapacity(buffer, std::max(needed, std::min(buffer.capacity() * 2, expectedTotal)));
    }
}

void releaseBuffer(std::string &buffer)
{
    std::string().swap(buffer);
}

void trimBuffer(std::string &buffer)
{
    if (buffer.capacity() > buffer.size() + std::max(keptExcessBytes, buffer.size() / 4)) {
        setCapacity(buffer, buffer.size());
    }
}

} // namespace Parsleytrail
