#include "policy/coverage_repair.h"

#include <algorithm>

namespace Parsleytrail
{

/// Cost of an infeasible choice.
constexpr double infeasibleCost = 1e18;

/// Assigns the start of an uncovered range to an idle engine; returns the number of layers assigned. Prefers the smallest
/// engine that can hold the entire range, else the largest one.
static int coverWithIdleEngine(const EngineModel &model, EngineGroup &group, LayerRange uncovered, const PlacementTuning &tuning, std::vector<int> &copies,
                               std::vector<PlacementOrder> &orders)
{
    PlacedEngine *best = nullptr;
    int bestRank = 0;
    for (PlacedEngine &engine : group) {
        const int maxLayers = layersThatFit(model, engine, tuning.emergencyShare);
        if (maxLayers == 0 || engine.layers.count() > 0 || engine.isLeaving || engine.hasPendingOrder) {
            continue;
        }
        const int rank = maxLayers >= uncovered.count() ? model.layers * 2 - maxLayers : maxLayers;
        if (!best || rank > bestRank) {
            best = &engine;
            bestRank = rank;
        }
    }
    if (!best) {
        return 0;
    }
    const int count = std::min(uncovered.count(), layersThatFit(model, *best, tuning.emergencyShare));
    assignLayers(*best, {uncovered.from, uncovered.from + count}, "uncovered layers assigned to an idle engine", copies, orders);
    return count;
}

/// The range to order from an engine so that it serves `stage`: joined with its present layers, if they are adjacent and fit.
///
/// Released layers accept no new streams, and new layers are loaded only after the streams in the released ones have ended,
/// which takes seconds. An engine that only adds layers loads at once and keeps serving.
static LayerRange rangeToLoad(const EngineModel &model, const PlacedEngine &engine, LayerRange stage, const PlacementTuning &tuning)
{
    const LayerRange both{std::min(stage.from, engine.layers.from), std::max(stage.to, engine.layers.to)};
    const bool isAdjacent = engine.layers.count() > 0 && both.count() <= stage.count() + engine.layers.count();
    return isAdjacent && both.count() <= layersThatFit(model, engine, tuning.emergencyShare) ? both : stage;
}

/// Prefix sums of the cost of releasing each layer. A plan needs the cost of some hundred thousand ranges, and an entry may
/// have a twentieth of a core, where a plan that takes milliseconds delays events.
static std::vector<double> releaseCostPrefixSums(const std::vector<int> &copies, const PlacementTuning &tuning)
{
    std::vector<double> sums = {0};
    for (const int holders : copies) {
        sums.push_back(sums.back() + (holders > 1 ? tuning.releaseSharedCost : tuning.releaseCost));
    }
    return sums;
}

static int keptLayers(const PlacedEngine &engine, LayerRange held)
{
    return std::max(0, std::min(held.to, engine.layers.to) - std::max(held.from, engine.layers.from));
}

/// Cost of releasing all layers of an engine except those in `held`.
static double releaseCost(const PlacedEngine &engine, LayerRange held, const std::vector<double> &sums)
{
    const double all = sums[engine.layers.to] - sums[engine.layers.from];
    if (keptLayers(engine, held) == 0) {
        return all;
    }
    return all - (sums[std::min(held.to, engine.layers.to)] - sums[std::max(held.from, engine.layers.from)]);
}

/// Cost of having an engine serve a stage: layers to load and to release, and the KV cache that is lost.
static double stageCost(const EngineModel &model, const PlacedEngine &engine, LayerRange stage, const std::vector<double> &releaseSums,
                        const PlacementTuning &tuning)
{
    if (stage.count() == 0 || engine.layers.contains(stage)) {
        return 0;
    }
    const LayerRange held = rangeToLoad(model, engine, stage, tuning);
    const double fill = held.count() * model.layerMb / memoryOf(model, engine) / tuning.layerShare;
    const double lostCache = tuning.fillCost * fill * fill * fill * fill;
    return (held.count() - keptLayers(engine, held)) + lostCache + releaseCost(engine, held, releaseSums);
}

/// An assignment of ranges that covers all layers.
struct Partition {
    EngineGroup chain;              ///< engines in the order of their ranges
    std::vector<LayerRange> stages; ///< range of each engine of the chain; empty: unchanged
    double cost = infeasibleCost;   ///< sum of stageCost(), plus what a moved engine releases
};

/// The cheapest way to cover all layers with the engines in the given order: each starts at the layer where the previous one
/// ends, or is left out. The cost is at least unreachableCost if they can't cover all layers.
static Partition partitionInOrder(const EngineModel &model, EngineGroup chain, const std::vector<double> &releaseSums, const PlacementTuning &tuning)
{
    const std::size_t width = model.layers + 1;
    std::vector<double> cost((chain.size() + 1) * width, infeasibleCost);
    std::vector<int> cameFrom((chain.size() + 1) * width, 0);
    cost[0] = 0;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        const int layerLimit = chain[i].hasPendingOrder ? model.layers : layersThatFit(model, chain[i], tuning.emergencyShare);
        for (int from = 0; from <= model.layers; ++from) {
            const double base = cost[i * width + from];
            for (int to = from; base < infeasibleCost && to <= std::min(model.layers, from + layerLimit); ++to) {
                // An engine with a pending order can only serve layers that it holds, or none.
                if (chain[i].hasPendingOrder && to > from && !chain[i].layers.contains({from, to})) {
                    continue;
                }
                const double total = base + stageCost(model, chain[i], {from, to}, releaseSums, tuning);
                if (total < cost[(i + 1) * width + to]) {
                    cost[(i + 1) * width + to] = total;
                    cameFrom[(i + 1) * width + to] = from;
                }
            }
        }
    }
    Partition partition;
    partition.cost = cost[chain.size() * width + model.layers];
    partition.stages.resize(chain.size());
    int to = model.layers;
    for (std::size_t i = chain.size(); i > 0 && partition.cost < infeasibleCost; --i) {
        const int from = cameFrom[i * width + to];
        partition.stages[i - 1] = {from, to};
        to = from;
    }
    partition.chain = std::move(chain);
    return partition;
}

/// The cheapest partition with one engine moved to the start of an uncovered range.
///
/// A lost engine with many layers leaves more than its neighbours can add to their own. If the range is passed on from
/// neighbour to neighbour, every engine of the group releases layers. A single engine that moves into it instead leaves an
/// uncovered range that its own neighbours can take.
static Partition partitionWithMove(const EngineModel &model, const EngineGroup &chain, const std::vector<int> &copies, const PlacementTuning &tuning)
{
    const std::vector<double> releaseSums = releaseCostPrefixSums(copies, tuning);
    Partition best;
    for (const LayerRange &uncovered : uncoveredRanges(copies)) {
        for (std::size_t movedIndex = 0; movedIndex < chain.size(); ++movedIndex) {
            if (chain[movedIndex].hasPendingOrder || chain[movedIndex].layers.count() == 0) {
                continue;
            }
            EngineGroup others = chain;
            PlacedEngine engine = chain[movedIndex];
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(movedIndex));
            engine.layers = {uncovered.from, uncovered.from};
            const auto behind = std::find_if(others.begin(), others.end(), [&](const PlacedEngine &other) {
                return other.layers.from > uncovered.from;
            });
            others.insert(behind, engine);
            Partition partition = partitionInOrder(model, std::move(others), releaseSums, tuning);
            partition.cost += releaseCost(chain[movedIndex], {}, releaseSums);
            if (partition.cost < best.cost) {
                best = std::move(partition);
            }
        }
    }
    return best;
}

/// Adds the orders for what a partition changes.
///
/// While leaving engines still serve their layers, the chain works. Engines that only add layers are then ordered first, and
/// layers without another holder are released only if there is nothing to add.
static void addOrders(const EngineModel &model, EngineGroup &group, const Partition &partition, const PlacementTuning &tuning, std::vector<int> &copies,
                      std::vector<PlacementOrder> &orders)
{
    if (partition.cost >= infeasibleCost) {
        return;
    }
    const std::vector<double> releaseSums = releaseCostPrefixSums(copies, tuning);
    std::vector<PlacementOrder> adding;
    std::vector<PlacementOrder> releasing;
    for (std::size_t i = 0; i < partition.chain.size(); ++i) {
        const PlacedEngine &engine = *findEngine(group, partition.chain[i].id);
        if (partition.stages[i].count() == 0 || engine.layers.contains(partition.stages[i])) {
            continue;
        }
        const LayerRange held = rangeToLoad(model, partition.chain[i], partition.stages[i], tuning);
        const bool releases = releaseCost(engine, held, releaseSums) >= tuning.releaseCost;
        (releases ? releasing : adding).push_back({engine.id, held, "uncovered layers redistributed"});
    }
    const bool isServing = servesAllLayers(model, group);
    if (!isServing || adding.empty()) {
        adding.insert(adding.end(), releasing.begin(), releasing.end());
    }
    for (PlacementOrder &order : adding) {
        assignLayers(*findEngine(group, order.id), order.layers, "uncovered layers redistributed", copies, orders);
        // Streams in a group without a complete chain get no events; waiting for them would leave it incomplete for seconds.
        orders.back().dropsStreams = !isServing;
    }
}

/// Repartitions the ranges of a group with uncovered layers.
static void repartition(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies,
                        std::vector<PlacementOrder> &orders)
{
    EngineGroup chain;
    for (const PlacedEngine &engine : group) {
        if (!engine.isLeaving && memoryOf(model, engine) >= model.layerMb) {
            chain.push_back(engine);
        }
    }
    std::stable_sort(chain.begin(), chain.end(), [](const PlacedEngine &a, const PlacedEngine &b) {
        return a.layers.from != b.layers.from ? a.layers.from < b.layers.from : a.id < b.id;
    });
    const Partition partition = partitionInOrder(model, chain, releaseCostPrefixSums(copies, tuning), tuning);
    const Partition moved = partitionWithMove(model, chain, copies, tuning);
    addOrders(model, group, moved.cost < partition.cost ? moved : partition, tuning, copies, orders);
}

bool repairCoverage(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies, std::vector<PlacementOrder> &orders)
{
    std::vector<LayerRange> remaining = uncoveredRanges(copies);
    while (!remaining.empty() && coverWithIdleEngine(model, group, remaining.front(), tuning, copies, orders) > 0) {
        remaining = uncoveredRanges(copies);
    }
    if (remaining.empty()) {
        return true;
    }
    const bool isChanging = std::any_of(group.begin(), group.end(), [](const PlacedEngine &engine) {
        return engine.hasPendingOrder;
    });
    // Repartitioning around engines with pending orders would move most of the others; the orders are done within seconds.
    if (!isChanging) {
        repartition(model, group, tuning, copies, orders);
    }
    return false;
}

} // namespace Parsleytrail
