#include "policy/idle_engine_assignment.h"

#include <algorithm>

namespace Parsleytrail
{

/// Streams for which an engine has KV cache if it holds that many layers.
static double streamCapacityOfEngine(const EngineModel &model, const PlacedEngine &engine, int layers)
{
    // If the size of typical requests is not configured, capacities are compared by memory alone.
    const double streamLayerMb = kvMbPerStreamLayer(model) > 0 ? kvMbPerStreamLayer(model) : 1;
    const double freeMb = std::max(0.0, memoryOf(model, engine) - layers * model.layerMb);
    return freeMb / (layers * streamLayerMb);
}

/// The same at one layer. Chains begin at layer 0, where an engine accepts a limited number of requests.
static double streamCapacityAtLayer(const EngineModel &model, double streams, int layer)
{
    return layer == 0 && model.batchSlots > 0 ? std::min<double>(streams, model.batchSlots) : streams;
}

/// Streams that each layer can serve at all of its holders; an engine that holds many layers adds little to each.
static std::vector<double> streamCapacityByLayer(const EngineModel &model, const EngineGroup &group)
{
    std::vector<double> streams(model.layers, 0);
    for (const PlacedEngine &engine : group) {
        if (engine.isLeaving || engine.layers.count() == 0) {
            continue;
        }
        const double capacity = streamCapacityOfEngine(model, engine, engine.layers.count());
        const LayerRange held = engine.layers.within(model.layers);
        for (int layer = held.from; layer < held.to; ++layer) {
            streams[layer] += streamCapacityAtLayer(model, capacity, layer);
        }
    }
    return streams;
}

/// Weight of a layer with this stream capacity in the search for a range. The fourth power lets the layers with the least
/// capacity dominate, then their number.
static double bottleneckWeight(double streams)
{
    const double weight = 1 / (1 + streams);
    return weight * weight * weight * weight;
}

/// The range for an idle engine that lowers the sum of bottleneck weights most. It may be longer or shorter than the engine's
/// usual share: one layer left out of a bottleneck range limits all chains as much as the entire range did.
static LayerRange mostRelievingRange(const EngineModel &model, const PlacedEngine &engine, const std::vector<double> &streams, const PlacementTuning &tuning)
{
    std::vector<double> weights;
    weights.reserve(streams.size());
    for (const double capacity : streams) {
        weights.push_back(bottleneckWeight(capacity));
    }
    LayerRange best;
    double bestRelief = 0;
    const int maxLayers = layersThatFit(model, engine, tuning.emergencyShare);
    for (int count = 1; count <= maxLayers; ++count) {
        const double capacity = streamCapacityOfEngine(model, engine, count);
        std::vector<double> reliefs = {0}; // prefix sums over the layers
        for (int layer = 0; layer < model.layers; ++layer) {
            const double relieved = bottleneckWeight(streams[layer] + streamCapacityAtLayer(model, capacity, layer));
            reliefs.push_back(reliefs.back() + weights[layer] - relieved);
        }
        for (int from = 0; from + count <= model.layers; ++from) {
            const double relief = reliefs[from + count] - reliefs[from];
            if (relief > bestRelief) {
                best = {from, from + count};
                bestRelief = relief;
            }
        }
    }
    return best;
}

void assignIdleEngines(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies,
                       std::vector<PlacementOrder> &orders)
{
    for (PlacedEngine &engine : group) {
        if (engine.isLeaving || engine.isNew || engine.hasPendingOrder || engine.layers.count() > 0) {
            continue;
        }
        const LayerRange range = mostRelievingRange(model, engine, streamCapacityByLayer(model, group), tuning);
        if (range.count() > 0) {
            assignLayers(engine, range, "idle engine assigned", copies, orders);
        }
    }
}

} // namespace Parsleytrail
