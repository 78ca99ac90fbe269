// The engines among which a model is placed together, their layers and their memory.
//
// Internal to the planner behind placement.h.
#pragma once

#include "policy/placement.h"

#include <map>

namespace Parsleytrail
{

using EngineGroup = std::vector<PlacedEngine>;

/// Groups by data centre. Engines of data centres that are too small for a full model share the group with the empty key.
std::map<std::string, EngineGroup> makeGroups(const EngineModel &model, const std::vector<PlacedEngine> &engines, const PlacementTuning &tuning);

/// Memory of an engine's accelerator, MB; 0 if its kind is not configured.
double memoryOf(const EngineModel &model, const PlacedEngine &engine);
/// Memory of the engines that are not leaving, MB.
double groupMemory(const EngineModel &model, const EngineGroup &group);
/// Layers that fit into a share of an engine's memory.
int layersThatFit(const EngineModel &model, const PlacedEngine &engine, double share);
/// KV cache of a typical stream in one layer, MB; 0 if the size of typical requests is not configured.
double kvMbPerStreamLayer(const EngineModel &model);

PlacedEngine *findEngine(EngineGroup &group, const TargetId &id);
/// For each layer, the number of engines that hold it and are not leaving.
std::vector<int> copiesOfLayers(const EngineModel &model, const EngineGroup &group);
/// Ranges of layers without a copy.
std::vector<LayerRange> uncoveredRanges(const std::vector<int> &copies);
/// Whether the reachable engines, draining ones included, hold all layers.
bool servesAllLayers(const EngineModel &model, EngineGroup group);

/// Assigns another range to an engine and adds the order.
void assignLayers(PlacedEngine &engine, LayerRange layers, const char *reason, std::vector<int> &copies, std::vector<PlacementOrder> &orders);

} // namespace Parsleytrail
