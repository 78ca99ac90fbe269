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

/// Whether an engine holds nothing that only it holds.
static bool isFree(const PlacedEngine &engine, const std::vector<int> &copies)
{
    for (int layer = engine.layers.from; layer < engine.layers.to; ++layer) {
        if (copies[layer] < 2) {
            return false;
        }
    }
    return !engine.isLeaving && !engine.isFixed;
}

/// Gives the start of a gap to an engine that is empty or whose layers others hold too; returns the layers taken. One
/// that takes the whole gap goes first, the smallest of these; else the largest.
static int fillWithFreeEngine(const EngineModel &model, EngineGroup &group, LayerRange gap, const PlacementTuning &tuning, std::vector<int> &copies,
                              std::vector<PlacementOrder> &orders)
{
    PlacedEngine *best = nullptr;
    int bestRank = 0;
    for (PlacedEngine &engine : group) {
        const int room = layersThatFit(model, engine, tuning.emergencyShare);
        if (room == 0 || !isFree(engine, copies)) {
            continue;
        }
        const int rank = room >= gap.count() ? model.layers * 2 - room : room;
        if (!best || rank > bestRank) {
            best = &engine;
            bestRank = rank;
        }
    }
    if (!best) {
        return 0;
    }
    const int count = std::min(gap.count(), layersThatFit(model, *best, tuning.emergencyShare));
    assign(*best, {gap.from, gap.from + count}, "gap filled by a free engine", copies, orders);
    return count;
}

/// Cost of an engine's holding a range: layers to be loaded, and the KV cache that is lost.
static double rangeCost(const EngineModel &model, const PlacedEngine &engine, LayerRange layers, const PlacementTuning &tuning)
{
    const int kept = std::max(0, std::min(layers.to, engine.layers.to) - std::max(layers.from, engine.layers.from));
    const double fill = layers.count() * model.layerMb / memoryOf(model, engine) / tuning.layerShare;
    const int givenUp = engine.layers.count() - kept;
    return (layers.count() - kept) + tuning.fillCost * std::pow(fill, 4) + tuning.giveUpCost * givenUp;
}

/// The cheapest way to cover all layers by the engines in the order of their ranges: each takes the layers where the one
/// before it ends, or is left out. Empty if they can't.
static std::vector<LayerRange> cutAnew(const EngineModel &model, const EngineGroup &chain, const PlacementTuning &tuning)
{
    constexpr double unreachable = 1e18;
    const std::size_t width = model.layers + 1;
    std::vector<double> cost((chain.size() + 1) * width, unreachable);
    std::vector<int> cameFrom((chain.size() + 1) * width, 0);
    cost[0] = 0;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        const int most = chain[i].isFixed ? model.layers : layersThatFit(model, chain[i], tuning.emergencyShare);
        for (int from = 0; from <= model.layers; ++from) {
            const double base = cost[i * width + from];
            for (int to = from; base < unreachable && to <= std::min(model.layers, from + most); ++to) {
                // An engine that can't be ordered now serves from where the one before it ends to its own end, or not at all.
                const bool isOwnRest = from >= chain[i].layers.from && to == chain[i].layers.to;
                if (chain[i].isFixed && to > from && !isOwnRest) {
                    continue;
                }
                const bool isFree = to == from || chain[i].isFixed;
                const double total = base + (isFree ? 0 : rangeCost(model, chain[i], {from, to}, tuning));
                if (total < cost[(i + 1) * width + to]) {
                    cost[(i + 1) * width + to] = total;
                    cameFrom[(i + 1) * width + to] = from;
                }
            }
        }
    }
    std::vector<LayerRange> ranges(chain.size());
    if (cost[chain.size() * width + model.layers] >= unreachable) {
        return {};
    }
    int to = model.layers;
    for (std::size_t i = chain.size(); i > 0; --i) {
        const int from = cameFrom[i * width + to];
        ranges[i - 1] = {from, to};
        to = from;
    }
    return ranges;
}

/// Cuts the ranges of a group with gaps anew. All engines change at once, also those that give up layers which nobody else
/// holds yet: the group has no whole chain anyway, and one load later it has.
static void recut(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies, std::vector<PlacementOrder> &orders)
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
    const std::vector<LayerRange> ranges = cutAnew(model, chain, tuning);
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        PlacedEngine &engine = *std::find_if(group.begin(), group.end(), [&](const PlacedEngine &other) {
            return other.id == chain[i].id;
        });
        if (!engine.isFixed && ranges[i].count() > 0 && ranges[i] != engine.layers) {
            assign(engine, ranges[i], "gap shared out", copies, orders);
        }
    }
}

/// Gives each engine that is still empty the part of the model with the fewest copies.
static void employEmptyEngines(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies,
                               std::vector<PlacementOrder> &orders)
{
    for (PlacedEngine &engine : group) {
        const int count = layersThatFit(model, engine, tuning.layerShare);
        if (engine.isLeaving || engine.isNew || engine.isFixed || engine.layers.count() > 0 || count == 0) {
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
    std::vector<LayerRange> gaps = gapsOf(copies);
    while (!gaps.empty() && fillWithFreeEngine(model, group, gaps.front(), tuning, copies, orders) > 0) {
        gaps = gapsOf(copies);
    }
    const bool isChanging = std::any_of(group.begin(), group.end(), [](const PlacedEngine &engine) {
        return engine.isFixed;
    });
    // A cut around engines that can't be ordered now would move most of the others; theirs are done within seconds.
    if (!gaps.empty() && isChanging) {
        return;
    }
    if (!gaps.empty()) {
        recut(model, group, tuning, copies, orders);
        return;
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
