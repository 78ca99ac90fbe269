#include "policy/initial_placement.h"

#include <algorithm>

namespace Parsleytrail
{

/// How many layers each engine of a chain holds: one after the other goes to the engine that keeps most memory for each layer.
///
/// A chain takes as many streams as its narrowest engine has KV cache for, and each layer needs the same cache. Shares that
/// are rounded leave a small engine with one layer too many and next to no cache, while those beside it stand half empty.
static std::vector<int> layerCountsOfChain(const EngineModel &model, const EngineGroup &chain)
{
    std::vector<int> counts(chain.size(), 0);
    for (int assigned = 0; assigned < model.layers; ++assigned) {
        std::size_t roomiest = 0;
        double roomiestMb = 0;
        for (std::size_t i = 0; i < chain.size(); ++i) {
            const double mbPerLayer = memoryOf(model, chain[i]) / (counts[i] + 1);
            if (mbPerLayer > roomiestMb) {
                roomiest = i;
                roomiestMb = mbPerLayer;
            }
        }
        ++counts[roomiest];
    }
    return counts;
}

/// Cuts the model into consecutive ranges, so that the narrowest engine has the most KV cache for each layer. Returns no
/// orders if the engines' memory does not hold the model.
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
            orders.push_back({chain[i].id, {from, from + counts[i]}, "first plan"});
            from += counts[i];
        }
    }
    return orders;
}

/// Deals the engines, largest first, to chains of nearly equal memory.
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

/// What a number of whole copies is worth: streams that run at once, limited by KV cache and by the slots of first engines,
/// and those that still do once an engine of one copy is lost, with whose layers that copy is.
///
/// With two copies an engine that dies leaves no gap, and each copy's first engine takes requests. One copy too many takes
/// the KV cache of the others: each loss then makes a data centre too small for its callers, and prompts are read again.
static double streamCapacityOfCopies(double memoryMb, double copyMb, double streamMb, double slots, int copies)
{
    const double cached = std::max(0.0, memoryMb - copies * copyMb) / streamMb;
    const double streams = std::min(cached, copies * slots);
    const double streamsAfterLoss = streams * (copies - 1) / copies;
    return streams + streamsAfterLoss;
}

/// How many whole copies a group should hold.
static int bestCopyCount(const EngineModel &model, const EngineGroup &group, const PlacementTuning &tuning)
{
    const double memory = groupMemory(model, group);
    const double copyMb = model.layers * model.layerMb;
    const double streamMb = kvMbPerStreamLayer(model) * model.layers;
    if (streamMb <= 0 || model.batchSlots <= 0) {
        return std::max(1, static_cast<int>(memory * tuning.layerShare / copyMb));
    }
    // What the streams of one first engine need is never given to a copy.
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
    // Few large engines can't always be dealt evenly: one whole copy less is better than a part of one.
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
