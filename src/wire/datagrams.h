// UDP: announcements between processes of the system, one frame a datagram. They may be lost, doubled or reordered.
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"
#include "wire/frame.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// A bound UDP socket.
class DatagramSocket
{
public:
    /// Returns whether the frame was understood; one that was not is counted and dropped.
    using Handler = std::function<bool(const Frame &, const Address &from)>;

    /// `wireVersion` is the newest version written and read. Malformed datagrams are counted and dropped.
    DatagramSocket(EventLoop &loop, std::uint16_t wireVersion, Handler handler);
    ~DatagramSocket();

    /// Binds. Fails with the step "bind datagrams".
    Result<void> bind(const Address &address);
    /// Sends; a datagram that can't be sent at once is lost. One that no reader would take is counted and not sent.
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
    /// Datagrams received and dropped: their header was wrong, or the handler did not understand them.
    std::uint64_t refused() const;
    /// Messages not sent because they were over a limit.
    std::uint64_t unsent() const;
    /// Bytes of datagrams sent and received, without the headers of UDP and IP.
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
