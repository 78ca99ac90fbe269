// HTTP API on the callers' port: authenticates callers, assigns request ids, and routes requests to the completion protocol
// or to the plain services.
#pragma once

#include "entry/completions.h"
#include "entry/service_calls.h"

#include <functional>

namespace Parsleytrail
{

/// HTTP server for callers.
class CallerApi
{
public:
    /// `configuration` returns the configuration in force. While `isReady` returns false, all requests are refused.
    CallerApi(EntryContext &context, Completions &completions, ServiceCalls &calls, std::function<const Configuration &()> configuration,
              std::function<bool()> isReady);
    ~CallerApi();

    Result<Address> listen(const Address &address);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
