// Reassigns the layers of engines that are lost or leaving.
#pragma once

#include "policy/engine_group.h"

namespace Parsleytrail
{

/// Assigns uncovered layers to idle engines, else to other engines of the group. Returns whether all layers were covered
/// already, or are covered by the assignments to idle engines alone.
bool repairCoverage(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies, std::vector<PlacementOrder> &orders);

} // namespace Parsleytrail
