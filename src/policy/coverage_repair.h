// Who takes over the layers of engines that are lost or leaving.
#pragma once

#include "policy/engine_group.h"

namespace Parsleytrail
{

/// Gives layers that nobody holds to empty engines, else to others of the group. Returns whether all layers had holders, or
/// have them with empty engines alone.
bool repairCoverage(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies, std::vector<PlacementOrder> &orders);

} // namespace Parsleytrail
