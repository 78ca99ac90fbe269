#include "relay/caller_session_private.h"

#include "http/types.h"

#include <absl/strings/str_cat.h>

namespace Parsleytrail
{

/// Marks the exchange as over and returns its session, or null if it was over already. No handler is called afterwards.
std::shared_ptr<CallerSession> CallerExchange::Private::detachSession()
{
    if (isOver) {
        return nullptr;
    }
    isOver = true;
    onDisconnected = nullptr;
    onDrained = nullptr;
    return session.lock();
}

/// While a request is being received, the copy for its target is charged in advance: many may be complete at the same moment.
void CallerExchange::Private::updateCharge()
{
    const std::size_t copies = charge.use() == MemoryUse::Receiving ? copiesOfRequest : 1;
    charge.set(head.text.capacity() + head.fields.capacity() * sizeof(HeadField) + body.capacity() * copies);
}

CallerExchange::CallerExchange(ClientMemory *memory)
    : d(std::make_unique<Private>(memory))
{
}

CallerExchange::~CallerExchange() = default;

const HttpHead &CallerExchange::head() const
{
    return d->head;
}

const std::string &CallerExchange::body() const
{
    return d->body;
}

TimePoint CallerExchange::receivedAt() const
{
    return d->receivedAt;
}

void CallerExchange::onDisconnected(std::function<void()> handler)
{
    d->onDisconnected = std::move(handler);
}

void CallerExchange::onDrained(std::function<void()> handler)
{
    d->onDrained = std::move(handler);
}

void CallerExchange::reply(int status, std::initializer_list<ResponseField> fields, std::string_view body)
{
    const auto session = d->session.lock();
    if (d->isOver || d->isBegun || !session) {
        return;
    }
    d->isBegun = true;
    std::string text = absl::StrCat("HTTP/1.1 ", status, " ", reasonPhrase(status), "\r\n");
    for (const ResponseField &field : fields) {
        text.append(field.name);
        absl::StrAppend(&text, ": ", field.value, "\r\n");
    }
    if (!body.empty()) {
        text += "Content-Type: text/plain\r\n";
    }
    if (d->closes || session->owner->isDraining) {
        text += "Connection: close\r\n";
    }
    absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n\r\n");
    if (d->head.method != "HEAD") {
        text += body;
    }
    session->connection->write(text);
    complete();
}

void CallerExchange::begin(const HttpHead &response, const std::uint64_t *length)
{
    const auto session = d->session.lock();
    if (d->isOver || d->isBegun || !session) {
        return;
    }
    d->isBegun = true;
    std::string text(response.statusLine);
    text += "\r\n";
    for (const HeadField &field : response.fields) {
        if (!isConnectionField(response, field.name)) {
            text.append(field.name);
            text += ": ";
            text.append(field.value);
            text += "\r\n";
        }
    }
    const bool hasBody = response.status != 204 && response.status != 304;
    d->isChunked = hasBody && !length && d->head.isHttp11;
    if (hasBody && length) {
        absl::StrAppend(&text, "Content-Length: ", *length, "\r\n");
    } else if (d->isChunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else if (hasBody) {
        d->closes = true;
    }
    if (d->closes || session->owner->isDraining) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    session->connection->write(text);
}

void CallerExchange::send(std::string_view bytes)
{
    const auto session = d->session.lock();
    if (d->isOver || bytes.empty() || !session) {
        return;
    }
    if (!d->isChunked) {
        session->connection->write(bytes);
        return;
    }
    static std::string chunk; // there is one loop on one thread; reused, so that sending an event allocates no memory
    chunk.clear();
    appendChunk(chunk, bytes);
    session->connection->write(chunk);
}

void CallerExchange::complete()
{
    const auto session = d->detachSession();
    if (!session) {
        return;
    }
    if (d->isChunked) {
        session->connection->write("0\r\n\r\n");
    }
    session->finishExchange();
}

void CallerExchange::abort()
{
    const auto session = d->detachSession();
    if (!session) {
        return;
    }
    --session->owner->openExchanges;
    session->isAnswering = false;
    session->exchange.reset();
    // A chunked response without its last chunk is recognisably incomplete. Without chunks an orderly close may mark the end
    // of the response, as it does for HTTP/1.0 callers; a reset does not.
    if (d->isChunked || !d->isBegun) {
        session->connection->close();
    } else {
        session->connection->reset();
    }
    session->owner->sessions.erase(session);
}

bool CallerExchange::isOpen() const
{
    return !d->isOver;
}

bool CallerExchange::isBegun() const
{
    return d->isBegun;
}

std::size_t CallerExchange::unsentBytes() const
{
    const auto session = d->session.lock();
    return session ? session->connection->unsentBytes() : 0;
}

} // namespace Parsleytrail
