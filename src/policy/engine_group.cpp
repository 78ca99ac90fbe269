#include "policy/engine_group.h"

#include <algorithm>

namespace Parsleytrail
{

double memoryOf(const EngineModel &model, const PlacedEngine &engine)
{
    const AcceleratorKind *kind = findKind(model, engine.kind);
    return kind ? kind->memoryMb : 0;
}

int layersThatFit(const EngineModel &model, const PlacedEngine &engine, double share)
{
    return std::min(model.layers, static_cast<int>(memoryOf(model, engine) * share / model.layerMb));
}

double groupMemory(const EngineModel &model, const EngineGroup &group)
{
    double total = 0;
    for (const PlacedEngine &engine : group) {
        total += engine.isLeaving ? 0 : memoryOf(model, engine);
    }
    return total;
}

PlacedEngine *findEngine(EngineGroup &group, const TargetId &id)
{
    const auto it = std::find_if(group.begin(), group.end(), [&](const PlacedEngine &engine) {
        return engine.id == id;
    });
    return it == group.end() ? nullptr : &*it;
}

std::map<std::string, EngineGroup> makeGroups(const EngineModel &model, const std::vector<PlacedEngine> &engines, const PlacementTuning &tuning)
{
    std::map<std::string, EngineGroup> byDataCenter;
    for (const PlacedEngine &engine : engines) {
        byDataCenter[engine.dataCenter].push_back(engine);
        // Plans index their tables by the layers held.
        LayerRange &held = byDataCenter[engine.dataCenter].back().layers;
        held = held.within(model.layers);
    }
    std::map<std::string, EngineGroup> groups;
    for (auto &[name, group] : byDataCenter) {
        const bool holdsModel = groupMemory(model, group) * tuning.emergencyShare >= model.layers * model.layerMb;
        EngineGroup &into = groups[holdsModel ? name : ""];
        into.insert(into.end(), group.begin(), group.end());
    }
    return groups;
}

double kvMbPerStreamLayer(const EngineModel &model)
{
    return (model.meanPromptTokens + model.meanAnswerTokens) * model.kvTokenBytes / model.layers / 1e6;
}

std::vector<int> copiesOfLayers(const EngineModel &model, const EngineGroup &group)
{
    std::vector<int> copies(model.layers, 0);
    for (const PlacedEngine &engine : group) {
        if (engine.isLeaving) {
            continue;
        }
        const LayerRange held = engine.layers.within(model.layers);
        for (int layer = held.from; layer < held.to; ++layer) {
            ++copies[layer];
        }
    }
    return copies;
}

bool servesAllLayers(const EngineModel &model, EngineGroup group)
{
    for (PlacedEngine &engine : group) {
        engine.isLeaving = engine.isUnreachable;
    }
    const std::vector<int> copies = copiesOfLayers(model, group);
    return std::find(copies.begin(), copies.end(), 0) == copies.end();
}

std::vector<LayerRange> uncoveredRanges(const std::vector<int> &copies)
{
    std::vector<LayerRange> ranges;
    for (int layer = 0; layer < static_cast<int>(copies.size()); ++layer) {
        if (copies[layer] > 0) {
            continue;
        }
        if (ranges.empty() || ranges.back().to != layer) {
            ranges.push_back({layer, layer});
        }
        ranges.back().to = layer + 1;
    }
    return ranges;
}

void assignLayers(PlacedEngine &engine, LayerRange layers, const char *reason, std::vector<int> &copies, std::vector<PlacementOrder> &orders)
{
    for (int layer = engine.layers.from; layer < engine.layers.to; ++layer) {
        --copies[layer];
    }
    for (int layer = layers.from; layer < layers.to; ++layer) {
        ++copies[layer];
    }
    engine.layers = layers;
    orders.push_back({engine.id, layers, reason});
}

} // namespace Parsleytrail
