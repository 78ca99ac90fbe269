#include "policy/placement.h"

#include "policy/coverage_repair.h"
#include "policy/idle_engine_assignment.h"
#include "policy/initial_placement.h"

#include <algorithm>

namespace Parsleytrail
{

/// Keeps one order per engine: a later order of the same plan replaces an earlier one.
static std::vector<PlacementOrder> lastOrders(const std::vector<PlacementOrder> &orders)
{
    std::vector<PlacementOrder> last;
    for (const PlacementOrder &order : orders) {
        const auto same = std::find_if(last.begin(), last.end(), [&](const PlacementOrder &known) {
            return known.id == order.id;
        });
        if (same != last.end()) {
            *same = order;
        } else {
            last.push_back(order);
        }
    }
    return last;
}

std::vector<PlacementOrder> planPlacement(const EngineModel &model, const std::vector<PlacedEngine> &engines, const PlacementTuning &tuning)
{
    std::vector<PlacementOrder> orders;
    for (auto &[name, group] : makeGroups(model, engines, tuning)) {
        const bool isEmpty = std::all_of(group.begin(), group.end(), [](const PlacedEngine &engine) {
            return engine.layers.count() == 0;
        });
        if (isEmpty) {
            planInitialPlacement(model, group, tuning, orders);
        } else {
            std::vector<int> copies = copiesOfLayers(model, group);
            if (repairCoverage(model, group, tuning, copies, orders)) {
                assignIdleEngines(model, group, tuning, copies, orders);
            }
        }
    }
    return lastOrders(orders);
}

std::vector<LayerRange> uncoveredLayers(const EngineModel &model, const std::vector<PlacedEngine> &engines, const std::string &dataCenter)
{
    EngineGroup group;
    for (const PlacedEngine &engine : engines) {
        if (engine.dataCenter == dataCenter) {
            group.push_back(engine);
        }
    }
    return uncoveredRanges(copiesOfLayers(model, group));
}

} // namespace Parsleytrail
