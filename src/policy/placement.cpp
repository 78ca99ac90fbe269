// Index: [SECTION] Groups, [SECTION] First plan, [SECTION] Repair
#include "policy/placement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace Parsleytrail
{

// [SECTION] Groups

using EngineGroup = std::vector<PlacedEngine>;

static double memoryOf(const EngineModel &model, const PlacedEngine &engine)
{
    const AcceleratorKind *kind = findKind(model, engine.kind);
    return kind ? kind->memoryMb : 0;
}

static int layersThatFit(const EngineModel &model, const PlacedEngine &engine, double share)
{
    return std::min(model.layers, static_cast<int>(memoryOf(model, engine) * share / model.layerMb));
}

static double groupMemory(const EngineModel &model, const EngineGroup &group)
{
    double total = 0;
    for (const PlacedEngine &engine : group) {
        total += engine.isLeaving ? 0 : memoryOf(model, engine);
    }
    return total;
}

/// Groups by data centre; the key of the group of those too small for a whole model is empty.
static std::map<std::string, EngineGroup> makeGroups(const EngineModel &model, const std::vector<PlacedEngine> &engines, const PlacementTuning &tuning)
{
    std::map<std::string, EngineGroup> byDataCenter;
    for (const PlacedEngine &engine : engines) {
        byDataCenter[engine.dataCenter].push_back(engine);
    }
    std::map<std::string, EngineGroup> groups;
    for (auto &[name, group] : byDataCenter) {
        const bool holdsModel = groupMemory(model, group) * tuning.emergencyShare >= model.layers * model.layerMb;
        EngineGroup &into = groups[holdsModel ? name : ""];
        into.insert(into.end(), group.begin(), group.end());
    }
    return groups;
}

static std::vector<int> copiesOfLayers(const EngineModel &model, const EngineGroup &group)
{
    std::vector<int> copies(model.layers, 0);
    for (const PlacedEngine &engine : group) {
        if (engine.isLeaving) {
            continue;
        }
        for (int layer = std::max(engine.layers.from, 0); layer < std::min(engine.layers.to, model.layers); ++layer) {
            ++copies[layer];
        }
    }
    return copies;
}

static std::vector<LayerRange> gapsOf(const std::vector<int> &copies)
{
    std::vector<LayerRange> gaps;
    for (int layer = 0; layer < static_cast<int>(copies.size()); ++layer) {
        if (copies[layer] > 0) {
            continue;
        }
        if (gaps.empty() || gaps.back().to != layer) {
            gaps.push_back({layer, layer});
        }
        gaps.back().to = layer + 1;
    }
    return gaps;
}

// [SECTION] First plan

/// Cuts the model into consecutive ranges in proportion to the engines' memory.
static void cutChain(const EngineModel &model, const EngineGroup &chain, std::vector<PlacementOrder> &orders)
{
    double rest = groupMemory(model, chain);
    int from = 0;
    for (const PlacedEngine &engine : chain) {
        const double memory = memoryOf(model, engine);
        const int wanted = static_cast<int>(std::lround((model.layers - from) * memory / rest));
        const int count = std::clamp(wanted, 0, layersThatFit(model, engine, 1.0));
        rest -= memory;
        if (count > 0) {
            orders.push_back({engine.id, {from, from + count}, "first plan"});
            from += count;
        }
    }
}

/// Deals the engines, largest first, to chains of nearly equal memory.
static std::vector<EngineGroup> dealChains(const EngineModel &model, EngineGroup group, int chains)
{
    std::stable_sort(group.begin(), group.end(), [&](const PlacedEngine &a, const PlacedEngine &b) {
        const double memoryA = memoryOf(model, a);
        const double memoryB = memoryOf(model, b);
        return memoryA != memoryB ? memoryA > memoryB : a.id < b.id;
    });
    std::vector<EngineGroup> dealt(chains);
    for (const PlacedEngine &engine : group) {
        const auto smallest = std::min_element(dealt.begin(), dealt.end(), [&](const EngineGroup &a, const EngineGroup &b) {
            return groupMemory(model, a) < groupMemory(model, b);
        });
        smallest->push_back(engine);
    }
    return dealt;
}

static void planFirst(const EngineModel &model, const EngineGroup &group, const PlacementTuning &tuning, std::vector<PlacementOrder> &orders)
{
    EngineGroup staying;
    for (const PlacedEngine &engine : group) {
        if (!engine.isLeaving && memoryOf(model, engine) >= model.layerMb) {
            staying.push_back(engine);
        }
    }
    const double copyMb = model.layers * model.layerMb;
    const int chains = std::max(1, static_cast<int>(groupMemory(model, staying) * tuning.layerShare / copyMb));
    for (const EngineGroup &chain : dealChains(model, staying, chains)) {
        if (groupMemory(model, chain) >= copyMb) {
            cutChain(model, chain, orders);
        }
    }
}

// [SECTION] Repair

/// Whether an engine's range could go without leaving a layer of its group uncovered.
static bool isSpare(const PlacedEngine &engine, const std::vector<int> &copies)
{
    if (engine.layers.count() == 0) {
        return true;
    }
    for (int layer = engine.layers.from; layer < engine.layers.to; ++layer) {
        if (copies[layer] < 2) {
            return false;
        }
    }
    return true;
}

static void assign(PlacedEngine &engine, LayerRange layers, const char *reason, std::vector<int> &copies, std::vector<PlacementOrder> &orders)
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

/// Gives the start of a gap to the empty engine with most room; returns the layers taken.
static int fillWithEmptyEngine(const EngineModel &model, EngineGroup &group, LayerRange gap, const PlacementTuning &tuning, std::vector<int> &copies,
                               std::vector<PlacementOrder> &orders)
{
    PlacedEngine *best = nullptr;
    for (PlacedEngine &engine : group) {
        const bool isFree = !engine.isLeaving && engine.layers.count() == 0;
        if (isFree && (!best || memoryOf(model, engine) > memoryOf(model, *best))) {
            best = &engine;
        }
    }
    if (!best) {
        return 0;
    }
    const int count = std::min(gap.count(), layersThatFit(model, *best, tuning.emergencyShare));
    if (count > 0) {
        assign(*best, {gap.from, gap.from + count}, "gap filled by an empty engine", copies, orders);
    }
    return count;
}

/// Lets the neighbours of a gap hold more layers; returns the layers taken.
static int fillWithNeighbours(const EngineModel &model, EngineGroup &group, LayerRange gap, const PlacementTuning &tuning, std::vector<int> &copies,
                              std::vector<PlacementOrder> &orders)
{
    PlacedEngine *best = nullptr;
    int bestRoom = 0;
    for (PlacedEngine &engine : group) {
        const bool touches = engine.layers.count() > 0 && (engine.layers.to == gap.from || engine.layers.from == gap.to);
        const int room = layersThatFit(model, engine, tuning.emergencyShare) - engine.layers.count();
        if (!engine.isLeaving && touches && room > bestRoom) {
            best = &engine;
            bestRoom = room;
        }
    }
    if (!best) {
        return 0;
    }
    // Half of what is missing, so that the neighbour on the other side takes the rest and both keep KV cache.
    const int count = std::min(bestRoom, (gap.count() + 1) / 2);
    const bool isBefore = best->layers.to == gap.from;
    const LayerRange wider = isBefore ? LayerRange{best->layers.from, best->layers.to + count} : LayerRange{best->layers.from - count, best->layers.to};
    assign(*best, wider, "gap filled by a neighbour", copies, orders);
    return count;
}

/// Moves an engine whose layers others hold too to the gap; returns the layers taken.
static int fillWithSpare(const EngineModel &model, EngineGroup &group, LayerRange gap, const PlacementTuning &tuning, std::vector<int> &copies,
                         std::vector<PlacementOrder> &orders)
{
    for (PlacedEngine &engine : group) {
        if (engine.isLeaving || !isSpare(engine, copies)) {
            continue;
        }
        const int count = std::min(gap.count(), layersThatFit(model, engine, tuning.emergencyShare));
        if (count > 0) {
            assign(engine, {gap.from, gap.from + count}, "gap filled by a spare", copies, orders);
            return count;
        }
    }
    return 0;
}

/// Gives each engine that is still empty the part of the model with the fewest copies.
static void employEmptyEngines(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies,
                               std::vector<PlacementOrder> &orders)
{
    for (PlacedEngine &engine : group) {
        const int count = layersThatFit(model, engine, tuning.layerShare);
        if (engine.isLeaving || engine.layers.count() > 0 || count == 0) {
            continue;
        }
        int bestFrom = 0;
        int bestCopies = -1;
        for (int from = 0; from + count <= model.layers; ++from) {
            int sum = 0;
            for (int layer = from; layer < from + count; ++layer) {
                sum += copies[layer];
            }
            if (bestCopies < 0 || sum < bestCopies) {
                bestCopies = sum;
                bestFrom = from;
            }
        }
        assign(engine, {bestFrom, bestFrom + count}, "empty engine employed", copies, orders);
    }
}

static void repair(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<PlacementOrder> &orders)
{
    std::vector<int> copies = copiesOfLayers(model, group);
    for (std::vector<LayerRange> gaps = gapsOf(copies); !gaps.empty(); gaps = gapsOf(copies)) {
        const LayerRange gap = gaps.front();
        int taken = fillWithEmptyEngine(model, group, gap, tuning, copies, orders);
        if (taken == 0) {
            taken = fillWithNeighbours(model, group, gap, tuning, copies, orders);
        }
        if (taken == 0) {
            taken = fillWithSpare(model, group, gap, tuning, copies, orders);
        }
        if (taken == 0) {
            return;
        }
    }
    employEmptyEngines(model, group, tuning, copies, orders);
}

/// One order an engine: a later one of the same plan replaces an earlier one.
static std::vector<PlacementOrder> lastOrders(const std::vector<PlacementOrder> &orders)
{
    std::vector<PlacementOrder> last;
    for (const PlacementOrder &order : orders) {
        const auto same = std::find_if(last.begin(), last.end(), [&](const PlacementOrder &known) {
            return known.id == order.id;
        });
        if (same != last.end()) {
            *same = order;
        } else {
            last.push_back(order);
        }
    }
    return last;
}

std::vector<PlacementOrder> planPlacement(const EngineModel &model, const std::vector<PlacedEngine> &engines, const PlacementTuning &tuning)
{
    std::vector<PlacementOrder> orders;
    for (auto &[name, group] : makeGroups(model, engines, tuning)) {
        const bool isEmpty = std::all_of(group.begin(), group.end(), [](const PlacedEngine &engine) {
            return engine.layers.count() == 0;
        });
        if (isEmpty) {
            planFirst(model, group, tuning, orders);
        } else {
            repair(model, group, tuning, orders);
        }
    }
    return lastOrders(orders);
}

std::vector<LayerRange> missingLayers(const EngineModel &model, const std::vector<PlacedEngine> &engines, const std::string &dataCenter)
{
    EngineGroup group;
    for (const PlacedEngine &engine : engines) {
        if (engine.dataCenter == dataCenter) {
            group.push_back(engine);
        }
    }
    return gapsOf(copiesOfLayers(model, group));
}

} // namespace Parsleytrail
