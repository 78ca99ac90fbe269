#include "wire/datagrams.h"

#include "base/log.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>

namespace Parsleytrail
{

struct DatagramSocket::Private {
    EventLoop &loop;
    std::uint16_t wireVersion;
    Handler handler;
    int socket = -1;
    event *readable = nullptr;
    std::uint64_t refused = 0;
    std::uint64_t unsent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;

    void readPending()
    {
        std::array<unsigned char, frameHeaderBytes + maxDatagramBytes> buffer;
        while (true) {
            sockaddr_in from{};
            socklen_t fromSize = sizeof from;
            const ssize_t size = recvfrom(socket, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&from), &fromSize);
            if (size < 0) {
                return;
            }
            bytesReceived += static_cast<std::uint64_t>(size);
            handleDatagram(buffer.data(), static_cast<std::size_t>(size), from);
        }
    }

    void handleDatagram(const unsigned char *bytes, std::size_t size, const sockaddr_in &from)
    {
        char host[INET_ADDRSTRLEN] = "";
        inet_ntop(AF_INET, &from.sin_addr, host, sizeof host);
        const Address sender{host, ntohs(from.sin_port)};
        FrameHeader header;
        const bool isComplete = size >= frameHeaderBytes && readHeader(bytes, maxDatagramBytes, header) && size == frameHeaderBytes + header.payloadBytes;
        if (!isComplete) {
            return logDropped(Event::DatagramRefused, ++refused, sender, "header", 0);
        }
        const auto *payload = reinterpret_cast<const char *>(bytes + frameHeaderBytes);
        if (!handler({std::min(header.version, wireVersion), header.message, {payload, header.payloadBytes}}, sender)) {
            logDropped(Event::DatagramRefused, ++refused, sender, "not understood", header.message);
        }
    }

    /// Logs only when `count` is a power of two, since the number of dropped datagrams is not bounded.
    static void logDropped(Event event, std::uint64_t count, const Address &peer, const char *reason, std::uint16_t message)
    {
        if (std::has_single_bit(count)) {
            logEvent(event, {{"peer", peer.toString()}, {"reason", reason}, {"message", std::to_string(message)}, {"count", std::to_string(count)}});
        }
    }
};

DatagramSocket::DatagramSocket(EventLoop &loop, std::uint16_t wireVersion, Handler handler)
    : d(new Private{loop, wireVersion, std::move(handler)})
    , m_wireVersion(wireVersion)
{
}

DatagramSocket::~DatagramSocket()
{
    if (d->readable) {
        event_free(d->readable);
    }
    if (d->socket >= 0) {
        close(d->socket);
    }
}

Result<void> DatagramSocket::bind(const Address &address)
{
    d->socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in localAddress{};
    localAddress.sin_family = AF_INET;
    localAddress.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &localAddress.sin_addr);
    if (d->socket < 0 || ::bind(d->socket, reinterpret_cast<const sockaddr *>(&localAddress), sizeof localAddress) != 0) {
        return fail("bind datagrams", address.toString(), std::strerror(errno));
    }
    const auto onReadable = [](evutil_socket_t, short, void *arg) {
        static_cast<Private *>(arg)->readPending();
    };
    d->readable = event_new(d->loop.base(), d->socket, EV_READ | EV_PERSIST, onReadable, d.get());
    event_add(d->readable, nullptr);
    return {};
}

void DatagramSocket::sendBuffer(const Address &to)
{
    sockaddr_in destination{};
    destination.sin_family = AF_INET;
    destination.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &destination.sin_addr);
    d->bytesSent += m_buffer.size();
    sendto(d->socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr *>(&destination), sizeof destination);
}

void DatagramSocket::countUnsent(const Address &to, std::uint16_t message)
{
    Private::logDropped(Event::FrameUnsent, ++d->unsent, to, "over a limit", message);
}

std::uint64_t DatagramSocket::unsent() const
{
    return d->unsent;
}

std::uint64_t DatagramSocket::refused() const
{
    return d->refused;
}

std::uint64_t DatagramSocket::bytesSent() const
{
    return d->bytesSent;
}

std::uint64_t DatagramSocket::bytesReceived() const
{
    return d->bytesReceived;
}

} // namespace Parsleytrail
