// Stand-in for a target whose response bytes a test chooses: complete responses, truncated ones, and responses that
// belong to no request.
#pragma once

#include "http/http_message.h"
#include "relay/connection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail::StandIn
{

/// A request as received.
struct RawRequest {
    std::string head;   ///< request line and header fields
    std::string body;   ///< complete body, without transfer coding; empty if the target responds before it
    int connection = 0; ///< number of its connection, in the order of acceptance, from 1

    /// Value of a header field; empty if there is none.
    std::string field(std::string_view name) const;
};

/// How the target responds to a request.
struct RawReply {
    std::string bytes;            ///< sent unchanged
    bool closes = false;          ///< closes the connection after the bytes are written
    bool resets = false;          ///< resets the connection after the bytes are passed to it
    bool crashes = false;         ///< the target crashes instead of sending the bytes
    milliseconds delay{0};        ///< time before the bytes are sent
    milliseconds resetDelay{0};   ///< time from the bytes until the reset
    bool endsBeforeReset = false; ///< an orderly end of the response comes before the reset
};

struct RawTargetOptions {
    /// Responds to a long request when its head has arrived, and reads nothing more on that connection. Buffers and segments are small as in
    /// a real network, so that the peer still has a part of the request to send.
    bool respondsBeforeLongBodies = false;
};

/// A target that listens on a free local port and runs on the caller's event loop.
class RawTarget
{
public:
    /// Called for each complete request; its result is sent.
    using Handler = std::function<RawReply(const RawRequest &)>;

    RawTarget(EventLoop &loop, Handler handler, RawTargetOptions options = {});
    ~RawTarget();
    Address address() const;
    /// All complete requests received, in order.
    const std::vector<RawRequest> &requests() const;
    /// Number of connections that the peer has closed.
    int closedConnections() const;
    /// Sends bytes on all open connections, although no request asks for them.
    void sendUnsolicited(const std::string &bytes);
    /// Resets all connections and stops listening.
    void crash();
    /// Listens again at the same address after a crash.
    void restart();
    bool isCrashed() const;
    /// Closes all connections without a reset, as after an idle timeout.
    void closeConnections();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// A complete response with the request's X-Attempt-Id and an X-Response-Seal.
std::string sealedAnswer(const RawRequest &request, const std::string &body, const std::string &statusLine = "HTTP/1.1 200 OK",
                         const std::string &extraFields = {});

} // namespace Parsleytrail::StandIn
