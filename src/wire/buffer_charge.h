// Charges what a buffer of libevent holds to the account of what clients make a process hold.
#pragma once

#include "policy/client_memory.h"

struct evbuffer;
struct evbuffer_cb_entry;

namespace Parsleytrail
{

/// Charges the bytes of a buffer. To be destroyed before the buffer.
class BufferCharge
{
public:
    /// Null for `memory`: nothing is charged.
    BufferCharge(evbuffer *buffer, ClientMemory *memory);
    ~BufferCharge();
    BufferCharge(const BufferCharge &) = delete;
    BufferCharge &operator=(const BufferCharge &) = delete;

    std::size_t bytes() const;

private:
    evbuffer *m_buffer;
    evbuffer_cb_entry *m_callback = nullptr; ///< owned by the buffer
    MemoryCharge m_charge;
};

} // namespace Parsleytrail
