// Carries out the placement plan: sends orders to engines while this entry holds the lease.
//
// Each order names the number of orders that the engine is known to have accepted. An order whose answer was lost may
// still be carried out seconds later; as the engine then has accepted another number, an order sent meanwhile is refused
// and the plan is made anew from what the engine reports.
#pragma once

#include "http/client.h"
#include "relay/context.h"
#include "relay/engine_prober.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// Plans and orders.
class PlacementController
{
public:
    /// `isHeld` tells whether this entry may order; `mayListBeShort` whether engines that live may be missing in the fleet.
    PlacementController(RelayContext &context, HttpClient &client, EngineProber &prober, std::function<bool()> isHeld,
                        std::function<bool()> mayListBeIncomplete);
    ~PlacementController();
    void start();
    /// Makes the plan anew without waiting for the next tick: an engine was lost, came or told what it holds.
    void planNow();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
