// Carries out the placement plan: sends orders to engines while this entry leads the placement.
//
// Each order names the number of orders that the engine is known to have accepted. An order whose response was lost may still be
// carried out seconds later. The engine has then accepted another number, so it refuses an order that was sent in the meantime,
// and the plan is computed again from the engine's report.
#pragma once

#include "http/client.h"
#include "relay/context.h"
#include "relay/engine_prober.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// Computes the placement plan and sends its orders.
class PlacementController
{
public:
    /// `maySendOrders` returns whether this entry leads the placement now, `mayListBeIncomplete` whether live engines may be missing
    /// in the fleet.
    PlacementController(RelayContext &context, HttpClient &client, EngineProber &prober, std::function<bool()> maySendOrders,
                        std::function<bool()> mayListBeIncomplete);
    ~PlacementController();
    void start();
    /// Computes the plan without waiting for the next interval: an engine was lost, registered or reported its layers.
    void planNow();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
