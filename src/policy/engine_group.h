// The engines among which a model is placed together, and what they hold and have room for.
//
// Shared by the parts of placement.h; nothing else needs it.
#pragma once

#include "policy/placement.h"

#include <map>

namespace Parsleytrail
{

using EngineGroup = std::vector<PlacedEngine>;

/// Groups by data centre; the key of the group of those too small for a whole model is empty.
std::map<std::string, EngineGroup> makeGroups(const EngineModel &model, const std::vector<PlacedEngine> &engines, const PlacementTuning &tuning);

double memoryOf(const EngineModel &model, const PlacedEngine &engine);
/// Memory of the engines that stay, MB.
double groupMemory(const EngineModel &model, const EngineGroup &group);
/// Layers that a share of an engine's memory holds.
int layersThatFit(const EngineModel &model, const PlacedEngine &engine, double share);
/// KV cache of a usual stream in one layer, MB; 0 if usual requests are not known.
double kvMbPerStreamLayer(const EngineModel &model);

PlacedEngine *findEngine(EngineGroup &group, const TargetId &id);
/// For each layer how many engines that stay hold it.
std::vector<int> copiesOfLayers(const EngineModel &model, const EngineGroup &group);
/// Layers without a copy.
std::vector<LayerRange> uncoveredRanges(const std::vector<int> &copies);
/// Whether the engines that answer, draining ones too, hold all layers.
bool servesAllLayers(const EngineModel &model, EngineGroup group);

/// Gives an engine another range, and notes the order.
void assignLayers(PlacedEngine &engine, LayerRange layers, const char *reason, std::vector<int> &copies, std::vector<PlacementOrder> &orders);

} // namespace Parsleytrail
