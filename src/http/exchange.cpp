#include "http/exchange_private.h"

#include <sys/socket.h>

namespace Parsleytrail
{

Exchange::Exchange(ClientMemory *memory)
    : d(std::make_unique<Private>(memory))
{
}

Exchange::~Exchange() = default;

const HttpRequest &Exchange::request() const
{
    return d->request;
}

bool Exchange::isOpen() const
{
    return d->raw && !d->isEnded;
}

bool Exchange::isBegun() const
{
    return d->isBegun;
}

std::size_t Exchange::unsentBytes() const
{
    return isOpen() ? evbuffer_get_length(d->output()) : 0;
}

void Exchange::reply(int status, const HttpHeaders &headers, std::string_view body)
{
    if (!isOpen() || d->isBegun) {
        return;
    }
    d->isBegun = true;
    d->addHeaders(headers);
    evbuffer_add(d->raw->buffer_out, body.data(), body.size());
    evhtp_send_reply(d->raw, static_cast<evhtp_res>(status));
    d->finish();
}

void Exchange::beginStream(int status, const HttpHeaders &headers)
{
    if (!isOpen() || d->isBegun) {
        return;
    }
    d->isBegun = true;
    d->addHeaders(headers);
    evhtp_send_reply_chunk_start(d->raw, static_cast<evhtp_res>(status));
    d->watchOutput();
}

void Exchange::pushChunk(std::string_view bytes)
{
    if (!isOpen() || bytes.empty()) {
        return;
    }
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, bytes.data(), bytes.size());
    evhtp_send_reply_chunk(d->raw, buffer);
    evbuffer_free(buffer);
}

void Exchange::endStream()
{
    if (!isOpen()) {
        return;
    }
    evhtp_send_reply_chunk_end(d->raw);
    d->finish();
}

void Exchange::abort()
{
    if (!isOpen()) {
        return;
    }
    // libevhtp frees the connection when it reads the end of the socket; until then nothing more is sent.
    d->unwatchOutput();
    d->isEnded = true;
    d->disconnectHandler = nullptr;
    shutdown(bufferevent_getfd(evhtp_connection_get_bev(d->raw->conn)), SHUT_RDWR);
    evhtp_request_resume(d->raw);
}

void Exchange::onDisconnected(std::function<void()> handler)
{
    d->disconnectHandler = std::move(handler);
}

void Exchange::onDrained(std::function<void()> handler)
{
    d->drainedHandler = std::move(handler);
}

} // namespace Parsleytrail
