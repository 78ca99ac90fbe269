// HTTP server of the operator port. Health and readiness are public; all other paths require the operator credential.
#pragma once

#include "base/metrics.h"
#include "http/server.h"

#include <functional>
#include <memory>
#include <string>

namespace Parsleytrail
{

/// Callbacks for the operator paths that every process serves.
struct OperatorViews {
    std::function<std::string()> state;   ///< JSON for GET /operator/v1/state
    std::function<std::string()> status;  ///< JSON for GET /operator/v1/status
    std::function<void()> refreshMetrics; ///< updates the metrics; called before each GET /operator/v1/metrics
    const Metrics *metrics = nullptr;     ///< served by GET /operator/v1/metrics
    std::function<bool()> isReady;        ///< decides between 200 and 503 for GET /operator/v1/ready
};

/// Serves the operator paths of a process.
class OperatorServer
{
public:
    using Handler = std::function<void(const ExchangePtr &)>;

    /// `keyDigest` is the hexadecimal SHA-256 digest of the operator credential.
    OperatorServer(EventLoop &loop, std::string keyDigest, OperatorViews views, MemoryGuard &memoryGuard);
    ~OperatorServer();

    /// Adds a path below /operator/v1 that requires the credential. The handler is called for every method.
    void addPath(const std::string &path, Handler handler);
    Result<Address> listen(const Address &address);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// The token of the "Authorization: Bearer" header, or empty if there is none.
std::string bearerToken(const HttpHeaders &headers);

} // namespace Parsleytrail
