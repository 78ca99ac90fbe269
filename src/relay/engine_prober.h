// Queries engines for their state and checks that they respond: engines that failed or are slow, engines that carry out an
// order, and engines of chains with stalled requests.
#pragma once

#include "http/client.h"
#include "relay/context.h"

#include <functional>
#include <memory>
#include <set>

namespace Parsleytrail
{

/// Sends load and health probes to engines and updates the fleet from the reports.
class EngineProber
{
public:
    struct Handlers {
        std::function<void(const TargetId &)> onUnresponsive; ///< an engine did not answer a probe, or another engine reported that requests wait for it
        std::function<void()> onReport;                       ///< the fleet was updated from a report
    };

    EngineProber(RelayContext &context, HttpClient &client, Handlers handlers);
    ~EngineProber();
    void start();
    /// Probes an engine now, unless a probe of it is pending. Does nothing for targets that are no engines.
    void probe(const TargetId &id);
    /// Probes an engine that streams seem to wait for, with a timeout of 30 ms instead of 400 ms.
    void probeSuspect(const TargetId &id);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
