#include "wire/buffer_charge.h"

#include <event2/buffer.h>

namespace Parsleytrail
{

BufferCharge::BufferCharge(evbuffer *buffer, ClientMemory *memory)
    : m_buffer(buffer)
    , m_charge(memory)
{
    if (!memory) {
        return;
    }
    const auto onChange = [](evbuffer *changed, const evbuffer_cb_info *, void *arg) {
        static_cast<MemoryCharge *>(arg)->set(evbuffer_get_length(changed));
    };
    m_callback = evbuffer_add_cb(buffer, onChange, &m_charge);
    m_charge.set(evbuffer_get_length(buffer));
}

BufferCharge::~BufferCharge()
{
    if (m_callback) {
        evbuffer_remove_cb_entry(m_buffer, m_callback);
    }
}

std::size_t BufferCharge::bytes() const
{
    return m_charge.bytes();
}

} // namespace Parsleytrail
