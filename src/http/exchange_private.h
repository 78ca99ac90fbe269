// State of an HTTP request and its response that Exchange and HttpServer share. Internal to src/http.
#pragma once

#include "http/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <evhtp.h>

namespace Parsleytrail
{

/// Bookkeeping of libevhtp for each header field, in bytes.
constexpr std::size_t headerFieldOverheadBytes = 128;

struct Exchange::Private {
    evhtp_request_t *raw = nullptr; ///< null once libevhtp has freed it or the caller has disconnected
    EventLoop *loop = nullptr;
    HttpRequest request;
    int refusalStatus = 0;         ///< status of the refusal, sent once the request is read; 0: not refused
    std::string refusalText;       ///< reason of the refusal
    std::size_t bodyBytes = 0;     ///< body bytes received, including those over the limit
    std::size_t expectedBytes = 0; ///< upper bound of the body's length
    MemoryCharge charge;           ///< head and body
    bool isHandled = false;        ///< the complete request was passed to the handler or refused
    bool isBegun = false;
    bool isEnded = false;
    std::function<void()> disconnectHandler;
    std::function<void()> drainedHandler;
    evbuffer_cb_entry *outputCallback = nullptr; ///< owned by the output buffer

    explicit Private(ClientMemory *memory)
        : charge(memory, MemoryUse::Receiving)
    {
    }

    void updateCharge()
    {
        const std::size_t copies = charge.use() == MemoryUse::Receiving ? copiesOfRequest : 1; // the one to pass on, in advance
        std::size_t bytes = request.path.capacity() + request.query.capacity() + request.body.capacity() * copies;
        for (const HttpHeader &header : request.headers) {
            bytes += header.name.capacity() + header.value.capacity() + headerFieldOverheadBytes;
        }
        charge.set(bytes);
    }

    /// Watches the output buffer itself, since libevhtp doesn't call its write hook while a request is paused.
    void watchOutput()
    {
        const auto onOutput = [](evbuffer *buffer, const evbuffer_cb_info *info, void *arg) {
            auto *self = static_cast<Private *>(arg);
            const bool isEmptied = info->n_deleted > 0 && evbuffer_get_length(buffer) == 0;
            if (isEmptied && self->drainedHandler) {
                self->loop->defer(self->drainedHandler);
            }
        };
        outputCallback = evbuffer_add_cb(output(), onOutput, this);
    }

    void unwatchOutput()
    {
        if (outputCallback) {
            evbuffer_remove_cb_entry(output(), outputCallback);
            outputCallback = nullptr;
        }
    }

    evbuffer *output() const
    {
        return bufferevent_get_output(evhtp_connection_get_bev(raw->conn));
    }

    /// Ends the response and lets libevhtp continue with the connection's next request.
    void finish()
    {
        unwatchOutput();
        isEnded = true;
        drainedHandler = nullptr;
        disconnectHandler = nullptr;
        evhtp_request_resume(raw);
    }

    void addHeaders(const HttpHeaders &headers)
    {
        for (const HttpHeader &header : headers) {
            // Skips a field with a line break (or a colon or space in its name): it would inject further header fields.
            const bool isClean = header.value.find_first_of("\r\n") == std::string::npos && header.name.find_first_of("\r\n: ") == std::string::npos;
            if (isClean) {
                evhtp_headers_add_header(raw->headers_out, evhtp_header_new(header.name.c_str(), header.value.c_str(), 1, 1));
            }
        }
    }
};

} // namespace Parsleytrail
