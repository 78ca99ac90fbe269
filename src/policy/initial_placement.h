// Initial placement for a group of engines that hold nothing: the number of full copies of the model and each engine's range.
#pragma once

#include "policy/engine_group.h"

namespace Parsleytrail
{

/// Adds the orders of the initial placement; none if the engines' memory can't hold the model.
void planInitialPlacement(const EngineModel &model, const EngineGroup &group, const PlacementTuning &tuning, std::vector<PlacementOrder> &orders);

} // namespace Parsleytrail
