#include "policy/initial_placement.h"

#include <algorithm>

namespace Parsleytrail
{

/// The number of layers of each engine of a chain: each layer goes to the engine that then has the most memory per layer.
///
/// A chain runs as many streams as the engine with the least KV cache per layer can hold, and each layer needs the same amount
/// of cache. Rounded proportional shares would leave a small engine with one layer too many and almost no cache, while the
/// other engines are half empty.
static std::vector<int> layerCountsOfChain(const EngineModel &model, const EngineGroup &chain)
{
    std::vector<int> counts(chain.size(), 0);
    for (int assigned = 0; assigned < model.layers; ++assigned) {
        std::size_t largest = 0;
        double largestMb = 0;
        for (std::size_t i = 0; i < chain.size(); ++i) {
            const double mbPerLayer = memoryOf(model, chain[i]) / (counts[i] + 1);
            if (mbPerLayer > largestMb) {
                largest = i;
                largestMb = mbPerLayer;
            }
        }
        ++counts[largest];
    }
    return counts;
}

/// Splits the model into consecutive ranges that maximize the smallest KV cache per layer. Returns no orders if the engines'
/// memory can't hold the model.
static std::vector<PlacementOrder> splitLayers(const EngineModel &model, const EngineGroup &chain)
{
    std::vector<PlacementOrder> orders;
    if (chain.empty()) {
        return orders;
    }
    const std::vector<int> counts = layerCountsOfChain(model, chain);
    int from = 0;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        if (counts[i] > layersThatFit(model, chain[i], 1.0)) {
            return {};
        }
        if (counts[i] > 0) {
            orders.push_back({chain[i].id, {from, from + counts[i]}, "initial placement"});
            from += counts[i];
        }
    }
    return orders;
}

/// Distributes the engines, largest first, over chains of nearly equal memory.
static std::vector<EngineGroup> partitionIntoChains(const EngineModel &model, EngineGroup group, int chains)
{
    std::stable_sort(group.begin(), group.end(), [&](const PlacedEngine &a, const PlacedEngine &b) {
        const double memoryA = memoryOf(model, a);
        const double memoryB = memoryOf(model, b);
        return memoryA != memoryB ? memoryA > memoryB : a.id < b.id;
    });
    std::vector<EngineGroup> assigned(chains);
    for (const PlacedEngine &engine : group) {
        const auto smallest = std::min_element(assigned.begin(), assigned.end(), [&](const EngineGroup &a, const EngineGroup &b) {
            return groupMemory(model, a) < groupMemory(model, b);
        });
        smallest->push_back(engine);
    }
    return assigned;
}

/// Expected stream capacity with a number of full copies: the concurrent streams, limited by KV cache and by the slots of
/// first engines, plus the concurrent streams that remain after an engine, and with it one copy, is lost.
///
/// With two copies the loss of an engine leaves no layer uncovered, and the first engine of each copy accepts requests. One
/// copy too many uses up the KV cache of the others: after each loss the data centre is too small for its load, and prompts
/// are processed again.
static double streamCapacityOfCopies(double memoryMb, double copyMb, double streamMb, double slots, int copies)
{
    const double cached = std::max(0.0, memoryMb - copies * copyMb) / streamMb;
    const double streams = std::min(cached, copies * slots);
    const double streamsAfterLoss = streams * (copies - 1) / copies;
    return streams + streamsAfterLoss;
}

/// The number of full copies that a group should hold.
static int bestCopyCount(const EngineModel &model, const EngineGroup &group, const PlacementTuning &tuning)
{
    const double memory = groupMemory(model, group);
    const double copyMb = model.layers * model.layerMb;
    const double streamMb = kvMbPerStreamLayer(model) * model.layers;
    if (streamMb <= 0 || model.batchSlots <= 0) {
        return std::max(1, static_cast<int>(memory * tuning.layerShare / copyMb));
    }
    // The KV cache for the streams of one first engine is never given up for a copy.
    const int maxCopies = static_cast<int>((memory - streamMb * model.batchSlots) / copyMb);
    int best = 1;
    double bestCapacity = 0;
    for (int copies = 1; copies <= maxCopies; ++copies) {
        const double capacity = streamCapacityOfCopies(memory, copyMb, streamMb, model.batchSlots, copies);
        if (capacity > bestCapacity) {
            best = copies;
            bestCapacity = capacity;
        }
    }
    return best;
}

void planInitialPlacement(const EngineModel &model, const EngineGroup &group, const PlacementTuning &tuning, std::vector<PlacementOrder> &orders)
{
    EngineGroup staying;
    for (const PlacedEngine &engine : group) {
        if (!engine.isLeaving && memoryOf(model, engine) >= model.layerMb) {
            staying.push_back(engine);
        }
    }
    // A few large engines can't always be distributed evenly: one full copy less is better than an incomplete one.
    for (int copies = bestCopyCount(model, staying, tuning); copies > 0; --copies) {
        std::vector<PlacementOrder> plan;
        bool isComplete = true;
        for (const EngineGroup &chain : partitionIntoChains(model, staying, copies)) {
            const std::vector<PlacementOrder> chainOrders = splitLayers(model, chain);
            isComplete = isComplete && !chainOrders.empty();
            plan.insert(plan.end(), chainOrders.begin(), chainOrders.end());
        }
        if (isComplete) {
            orders.insert(orders.end(), plan.begin(), plan.end());
            return;
        }
    }
}

} // namespace Parsleytrail
