// UDP transport between the processes of the system: one frame per datagram, which may be lost, duplicated or reordered.
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"
#include "wire/frame.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// UDP socket that sends and receives frames.
class DatagramSocket
{
public:
    /// Handles a received frame. Returns false if it is malformed or unexpected; such a frame is counted and dropped.
    using Handler = std::function<bool(const Frame &, const Address &from)>;

    /// `wireVersion` is the newest wire version to write and read. Datagrams with a malformed header are counted and dropped.
    DatagramSocket(EventLoop &loop, std::uint16_t wireVersion, Handler handler);
    ~DatagramSocket();

    /// Binds the socket and starts receiving. Fails with the step "bind datagrams".
    Result<void> bind(const Address &address);
    /// Sends without blocking; a datagram that the socket can't accept at once is lost. A message over a limit is counted and not sent.
    template<typename Message>
    void send(const Address &to, const Message &message)
    {
        m_buffer.clear();
        if (appendFrame(message, m_wireVersion, m_buffer) && m_buffer.size() <= frameHeaderBytes + maxDatagramBytes) {
            sendBuffer(to);
        } else {
            countUnsent(to, Message::messageId);
        }
    }
    /// Datagrams dropped on receipt because their header was malformed or the handler refused them.
    std::uint64_t refused() const;
    /// Messages that were not sent because they exceed a limit that the reader checks.
    std::uint64_t unsent() const;
    /// Bytes of datagrams sent and received, excluding the UDP and IP headers.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    void sendBuffer(const Address &to);
    void countUnsent(const Address &to, std::uint16_t message);

    struct Private;
    std::unique_ptr<Private> d;
    std::uint16_t m_wireVersion;
    std::string m_buffer;
};

} // namespace Parsleytrail
