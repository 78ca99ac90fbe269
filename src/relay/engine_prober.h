// Asks engines what they hold and whether they answer: those that failed, those under order, and first engines whose
// requests have stalled.
#pragma once

#include "http/client.h"
#include "relay/context.h"

#include <functional>
#include <memory>
#include <set>

namespace Parsleytrail
{

/// Probes engines.
class EngineProber
{
public:
    struct Handlers {
        std::function<void(const TargetId &)> onUnresponsive; ///< an engine does not answer, or others wait for it
        std::function<void()> onReport;                       ///< the fleet was updated from a report
    };

    EngineProber(RelayContext &context, HttpClient &client, Handlers handlers);
    ~EngineProber();
    void start();
    /// Asks an engine now, unless it is being asked.
    void probe(const TargetId &id);
    /// Asks an engine that streams seem to wait for; it counts as dead after a far shorter time.
    void probeSuspect(const TargetId &id);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
