// Assigns layers to idle engines once all layers are covered.
#pragma once

#include "policy/engine_group.h"

namespace Parsleytrail
{

/// Gives each idle engine the range that raises the capacity of chains most, for instance where an engine was lost or took
/// over the layers of a lost neighbour.
void assignIdleEngines(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies,
                       std::vector<PlacementOrder> &orders);

} // namespace Parsleytrail
