// Stand-in for a target whose bytes a test decides: whole answers, cut ones, answers that belong to no request.
#pragma once

#include "relay/connection.h"
#include "relay/http_message.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail::StandIn
{

/// A request as it came.
struct RawRequest {
    std::string head;   ///< whole head
    std::string body;   ///< whole body
    int connection = 0; ///< which of the accepted connections, from 1

    /// Value of a header field; empty if there is none.
    std::string field(std::string_view name) const;
};

/// What is done to a request.
struct RawReply {
    std::string bytes;     ///< sent as they are
    bool closes = false;   ///< then the connection is closed in order
    bool resets = false;   ///< then the connection is reset
    milliseconds delay{0}; ///< before the bytes
};

/// A target on the loop of its process.
class RawTarget
{
public:
    using Handler = std::function<RawReply(const RawRequest &)>;

    RawTarget(EventLoop &loop, Handler handler);
    ~RawTarget();
    Address address() const;
    /// All requests read, in order.
    const std::vector<RawRequest> &requests() const;
    /// Connections that the other side has closed.
    int closedConnections() const;
    /// Sends bytes that nobody asked for on all open connections.
    void sendUnsolicited(const std::string &bytes);
    /// Closes all connections in order, as after an idle time.
    void closeConnections();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// A whole answer with id and seal.
std::string sealedAnswer(const RawRequest &request, const std::string &body, const std::string &statusLine = "HTTP/1.1 200 OK",
                         const std::string &extraFields = {});

} // namespace Parsleytrail::StandIn
