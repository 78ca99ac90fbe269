// The plan for a group of engines that hold nothing: how many whole copies of the model, and which range each engine holds.
#pragma once

#include "policy/engine_group.h"

namespace Parsleytrail
{

/// Adds the orders of the first plan; none if the engines' memory does not hold the model.
void planInitialPlacement(const EngineModel &model, const EngineGroup &group, const PlacementTuning &tuning, std::vector<PlacementOrder> &orders);

} // namespace Parsleytrail
