// What engines that hold nothing are given once all layers are held.
#pragma once

#include "policy/engine_group.h"

namespace Parsleytrail
{

/// Gives each empty engine the part of the model that holds chains back most: where an engine was lost, or took over the
/// layers of a lost neighbour.
void assignIdleEngines(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies,
                       std::vector<PlacementOrder> &orders);

} // namespace Parsleytrail
