// Index: [SECTION] Groups, [SECTION] First plan, [SECTION] Repair
#include "policy/placement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace Parsleytrail
{

// [SECTION] Groups

using EngineGroup = std::vector<PlacedEngine>;

/// Cost of what can't be done.
constexpr double unreachableCost = 1e18;

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

static PlacedEngine *findEngine(EngineGroup &group, const TargetId &id)
{
    const auto it = std::find_if(group.begin(), group.end(), [&](const PlacedEngine &engine) {
        return engine.id == id;
    });
    return it == group.end() ? nullptr : &*it;
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

/// KV cache of a usual stream in one layer.
static double kvStreamLayerMb(const EngineModel &model)
{
    return (model.usualPromptTokens + model.usualAnswerTokens) * model.kvTokenBytes / model.layers / 1e6;
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

/// Whether the engines that answer, draining ones too, hold all layers.
static bool servesAllLayers(const EngineModel &model, EngineGroup group)
{
    for (PlacedEngine &engine : group) {
        engine.isLeaving = engine.isDead;
    }
    const std::vector<int> copies = copiesOfLayers(model, group);
    return std::find(copies.begin(), copies.end(), 0) == copies.end();
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

/// How many layers each engine of a chain holds: one after the other goes to the engine that keeps most memory for each layer.
///
/// A chain takes as many streams as its narrowest engine has KV cache for, and each layer needs the same cache. Shares that
/// are rounded leave a small engine with one layer too many and next to no cache, while those beside it stand half empty.
static std::vector<int> layersOfChain(const EngineModel &model, const EngineGroup &chain)
{
    std::vector<int> counts(chain.size(), 0);
    for (int dealt = 0; dealt < model.layers; ++dealt) {
        std::size_t widest = 0;
        double widestMb = 0;
        for (std::size_t i = 0; i < chain.size(); ++i) {
            const double mbPerLayer = memoryOf(model, chain[i]) / (counts[i] + 1);
            if (mbPerLayer > widestMb) {
                widest = i;
                widestMb = mbPerLayer;
            }
        }
        ++counts[widest];
    }
    return counts;
}

/// Cuts the model into consecutive ranges, so that the narrowest engine has the most KV cache for each layer. Returns no
/// orders if the engines' memory does not hold the model.
static std::vector<PlacementOrder> cutChain(const EngineModel &model, const EngineGroup &chain)
{
    std::vector<PlacementOrder> orders;
    if (chain.empty()) {
        return orders;
    }
    const std::vector<int> counts = layersOfChain(model, chain);
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

/// How many whole copies a group should hold.
///
/// With two, an engine that dies leaves no gap, and each copy's first engine takes requests. With one more than leaves KV
/// cache for the streams that one first engine takes, the cache binds, and prompts are read again and again.
static int copiesToHold(const EngineModel &model, const EngineGroup &group, const PlacementTuning &tuning)
{
    const double memory = groupMemory(model, group);
    const double copyMb = model.layers * model.layerMb;
    const double streamMb = kvStreamLayerMb(model) * model.layers;
    if (streamMb <= 0 || model.batchSlots <= 0) {
        return std::max(1, static_cast<int>(memory * tuning.layerShare / copyMb));
    }
    return std::max(1, static_cast<int>((memory - streamMb * model.batchSlots) / copyMb));
}

static void planFirst(const EngineModel &model, const EngineGroup &group, const PlacementTuning &tuning, std::vector<PlacementOrder> &orders)
{
    EngineGroup staying;
    for (const PlacedEngine &engine : group) {
        if (!engine.isLeaving && memoryOf(model, engine) >= model.layerMb) {
            staying.push_back(engine);
        }
    }
    // Few large engines can't always be dealt evenly: one whole copy less is better than a part of one.
    for (int copies = copiesToHold(model, staying, tuning); copies > 0; --copies) {
        std::vector<PlacementOrder> plan;
        bool isWhole = true;
        for (const EngineGroup &chain : dealChains(model, staying, copies)) {
            const std::vector<PlacementOrder> cut = cutChain(model, chain);
            isWhole = isWhole && !cut.empty();
            plan.insert(plan.end(), cut.begin(), cut.end());
        }
        if (isWhole) {
            orders.insert(orders.end(), plan.begin(), plan.end());
            return;
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

/// Gives the start of a gap to an empty engine; returns the layers taken. One that takes the whole gap goes first, the
/// smallest of these; else the largest.
static int fillWithEmptyEngine(const EngineModel &model, EngineGroup &group, LayerRange gap, const PlacementTuning &tuning, std::vector<int> &copies,
                               std::vector<PlacementOrder> &orders)
{
    PlacedEngine *best = nullptr;
    int bestRank = 0;
    for (PlacedEngine &engine : group) {
        const int room = layersThatFit(model, engine, tuning.emergencyShare);
        if (room == 0 || engine.layers.count() > 0 || engine.isLeaving || engine.isFixed) {
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
    assign(*best, {gap.from, gap.from + count}, "gap filled by an empty engine", copies, orders);
    return count;
}

/// What an engine is ordered to hold so that it serves `part`: what it holds as well, if both fit and touch.
///
/// Layers that are given up take no new streams, and new ones are loaded only when the streams in the old ones have ended,
/// which takes seconds. An engine that adds layers to its own loads at once and goes on serving.
static LayerRange rangeToHold(const EngineModel &model, const PlacedEngine &engine, LayerRange part, const PlacementTuning &tuning)
{
    const LayerRange both{std::min(part.from, engine.layers.from), std::max(part.to, engine.layers.to)};
    const bool touches = engine.layers.count() > 0 && both.count() <= part.count() + engine.layers.count();
    return touches && both.count() <= layersThatFit(model, engine, tuning.emergencyShare) ? both : part;
}

/// Sums of the cost of giving up the layers below each layer: a plan asks for the cost of some hundred thousand ranges, and
/// on a twentieth of a core a plan of milliseconds holds back events.
static std::vector<double> sumGiveUpCosts(const std::vector<int> &copies, const PlacementTuning &tuning)
{
    std::vector<double> sums = {0};
    for (const int holders : copies) {
        sums.push_back(sums.back() + (holders > 1 ? tuning.giveUpSharedCost : tuning.giveUpCost));
    }
    return sums;
}

static int keptLayers(const PlacedEngine &engine, LayerRange held)
{
    return std::max(0, std::min(held.to, engine.layers.to) - std::max(held.from, engine.layers.from));
}

/// Cost of an engine's giving up all of its layers but those in `held`.
static double giveUpCost(const PlacedEngine &engine, LayerRange held, const std::vector<double> &sums)
{
    const double all = sums[engine.layers.to] - sums[engine.layers.from];
    if (keptLayers(engine, held) == 0) {
        return all;
    }
    return all - (sums[std::min(held.to, engine.layers.to)] - sums[std::max(held.from, engine.layers.from)]);
}

/// Cost of an engine's serving a part: layers to be loaded and given up, and the KV cache that is lost.
static double partCost(const EngineModel &model, const PlacedEngine &engine, LayerRange part, const std::vector<double> &giveUpSums,
                       const PlacementTuning &tuning)
{
    if (part.count() == 0 || engine.layers.contains(part)) {
        return 0;
    }
    const LayerRange held = rangeToHold(model, engine, part, tuning);
    const double fill = held.count() * model.layerMb / memoryOf(model, engine) / tuning.layerShare;
    const double lostCache = tuning.fillCost * fill * fill * fill * fill;
    return (held.count() - keptLayers(engine, held)) + lostCache + giveUpCost(engine, held, giveUpSums);
}

/// A way to cover all layers.
struct Cut {
    EngineGroup chain;             ///< engines in the order of their parts
    std::vector<LayerRange> parts; ///< of each engine of the chain; empty: left as it is
    double cost = unreachableCost; ///< see partCost()
};

/// The cheapest way to cover all layers by the engines in the given order: each takes the layers where the one before it
/// ends, or is left out. The cost is unreachableCost if they can't.
static Cut cutInOrder(const EngineModel &model, EngineGroup chain, const std::vector<double> &giveUpSums, const PlacementTuning &tuning)
{
    const std::size_t width = model.layers + 1;
    std::vector<double> cost((chain.size() + 1) * width, unreachableCost);
    std::vector<int> cameFrom((chain.size() + 1) * width, 0);
    cost[0] = 0;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        const int most = chain[i].isFixed ? model.layers : layersThatFit(model, chain[i], tuning.emergencyShare);
        for (int from = 0; from <= model.layers; ++from) {
            const double base = cost[i * width + from];
            for (int to = from; base < unreachableCost && to <= std::min(model.layers, from + most); ++to) {
                // An engine that can't be ordered now serves what it holds, or nothing.
                if (chain[i].isFixed && to > from && !chain[i].layers.contains({from, to})) {
                    continue;
                }
                const double total = base + partCost(model, chain[i], {from, to}, giveUpSums, tuning);
                if (total < cost[(i + 1) * width + to]) {
                    cost[(i + 1) * width + to] = total;
                    cameFrom[(i + 1) * width + to] = from;
                }
            }
        }
    }
    Cut cut;
    cut.cost = cost[chain.size() * width + model.layers];
    cut.parts.resize(chain.size());
    int to = model.layers;
    for (std::size_t i = chain.size(); i > 0 && cut.cost < unreachableCost; --i) {
        const int from = cameFrom[i * width + to];
        cut.parts[i - 1] = {from, to};
        to = from;
    }
    cut.chain = std::move(chain);
    return cut;
}

/// The cheapest cut with one engine moved to the start of a gap.
///
/// A lost engine with many layers leaves more than its neighbours can add to their own. Handed on from neighbour to
/// neighbour, the gap makes every engine of the group give up its layers; one engine that moves into it leaves a gap of its
/// own that its neighbours can take.
static Cut cutWithMove(const EngineModel &model, const EngineGroup &chain, const std::vector<int> &copies, const PlacementTuning &tuning)
{
    const std::vector<double> giveUpSums = sumGiveUpCosts(copies, tuning);
    Cut best;
    for (const LayerRange &gap : gapsOf(copies)) {
        for (std::size_t moved = 0; moved < chain.size(); ++moved) {
            if (chain[moved].isFixed || chain[moved].layers.count() == 0) {
                continue;
            }
            EngineGroup others = chain;
            PlacedEngine engine = chain[moved];
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(moved));
            engine.layers = {gap.from, gap.from};
            const auto behind = std::find_if(others.begin(), others.end(), [&](const PlacedEngine &other) {
                return other.layers.from > gap.from;
            });
            others.insert(behind, engine);
            Cut cut = cutInOrder(model, std::move(others), giveUpSums, tuning);
            cut.cost += giveUpCost(chain[moved], {}, giveUpSums);
            if (cut.cost < best.cost) {
                best = std::move(cut);
            }
        }
    }
    return best;
}

/// Orders what a cut changes.
///
/// While engines that are about to leave still serve their layers, the chain works: those that add layers go first, and
/// layers that nobody else holds are given up only when nothing else is left to do.
static void orderCut(const EngineModel &model, EngineGroup &group, const Cut &cut, const PlacementTuning &tuning, std::vector<int> &copies,
                     std::vector<PlacementOrder> &orders)
{
    if (cut.cost >= unreachableCost) {
        return;
    }
    const std::vector<double> giveUpSums = sumGiveUpCosts(copies, tuning);
    std::vector<PlacementOrder> adding;
    std::vector<PlacementOrder> givingUp;
    for (std::size_t i = 0; i < cut.chain.size(); ++i) {
        const PlacedEngine &engine = *findEngine(group, cut.chain[i].id);
        if (cut.parts[i].count() == 0 || engine.layers.contains(cut.parts[i])) {
            continue;
        }
        const LayerRange held = rangeToHold(model, cut.chain[i], cut.parts[i], tuning);
        const bool givesUp = giveUpCost(engine, held, giveUpSums) >= tuning.giveUpCost;
        (givesUp ? givingUp : adding).push_back({engine.id, held, "gap shared out"});
    }
    const bool isServing = servesAllLayers(model, group);
    if (!isServing || adding.empty()) {
        adding.insert(adding.end(), givingUp.begin(), givingUp.end());
    }
    for (PlacementOrder &order : adding) {
        assign(*findEngine(group, order.id), order.layers, "gap shared out", copies, orders);
        // Streams in a group whose chain is broken get no events; waiting for them would keep it broken for seconds.
        orders.back().dropsStreams = !isServing;
    }
}

/// Cuts the ranges of a group with gaps anew.
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
    const Cut cut = cutInOrder(model, chain, sumGiveUpCosts(copies, tuning), tuning);
    const Cut moved = cutWithMove(model, chain, copies, tuning);
    orderCut(model, group, moved.cost < cut.cost ? moved : cut, tuning, copies, orders);
}

/// Streams that one of an engine's layers has room for, if it holds that many.
static double streamsOfEngine(const EngineModel &model, const PlacedEngine &engine, int layers)
{
    // Where usual requests are not known, room is compared by memory alone.
    const double streamLayerMb = kvStreamLayerMb(model) > 0 ? kvStreamLayerMb(model) : 1;
    const double freeMb = std::max(0.0, memoryOf(model, engine) - layers * model.layerMb);
    return freeMb / (layers * streamLayerMb);
}

/// The same for one layer: chains begin at layer 0, and an engine takes a limited number of requests that begin there.
static double streamsAtLayer(const EngineModel &model, double streams, int layer)
{
    return layer == 0 && model.batchSlots > 0 ? std::min<double>(streams, model.batchSlots) : streams;
}

/// Streams that each layer has room for at all of its holders, with engines that hold much counting little.
static std::vector<double> streamsOfLayers(const EngineModel &model, const EngineGroup &group)
{
    std::vector<double> streams(model.layers, 0);
    for (const PlacedEngine &engine : group) {
        if (engine.isLeaving || engine.layers.count() == 0) {
            continue;
        }
        const double room = streamsOfEngine(model, engine, engine.layers.count());
        for (int layer = std::max(engine.layers.from, 0); layer < std::min(engine.layers.to, model.layers); ++layer) {
            streams[layer] += streamsAtLayer(model, room, layer);
        }
    }
    return streams;
}

/// How much a layer with this room holds chains back: the narrowest layer counts most, then how many are as narrow.
static double needOf(double streams)
{
    const double need = 1 / (1 + streams);
    return need * need * need * need;
}

/// The range for an empty engine after which the layers need least. It may be longer or shorter than the engine's usual
/// share: one layer left out of a narrow stretch holds all chains back as much as the whole stretch did.
static LayerRange neediestRange(const EngineModel &model, const PlacedEngine &engine, const std::vector<double> &streams, const PlacementTuning &tuning)
{
    LayerRange best;
    double bestRelief = 0;
    const int most = layersThatFit(model, engine, tuning.emergencyShare);
    for (int count = 1; count <= most; ++count) {
        const double room = streamsOfEngine(model, engine, count);
        std::vector<double> reliefs = {0}; // sums over the layers below each
        for (int layer = 0; layer < model.layers; ++layer) {
            const double relieved = needOf(streams[layer] + streamsAtLayer(model, room, layer));
            reliefs.push_back(reliefs.back() + needOf(streams[layer]) - relieved);
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

/// Gives each engine that is still empty the part of the model that holds chains back most: where an engine was lost, or
/// took over the layers of a lost neighbour.
static void employEmptyEngines(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<int> &copies,
                               std::vector<PlacementOrder> &orders)
{
    for (PlacedEngine &engine : group) {
        if (engine.isLeaving || engine.isNew || engine.isFixed || engine.layers.count() > 0) {
            continue;
        }
        const LayerRange range = neediestRange(model, engine, streamsOfLayers(model, group), tuning);
        if (range.count() > 0) {
            assign(engine, range, "empty engine employed", copies, orders);
        }
    }
}

static void repair(const EngineModel &model, EngineGroup &group, const PlacementTuning &tuning, std::vector<PlacementOrder> &orders)
{
    std::vector<int> copies = copiesOfLayers(model, group);
    std::vector<LayerRange> gaps = gapsOf(copies);
    while (!gaps.empty() && fillWithEmptyEngine(model, group, gaps.front(), tuning, copies, orders) > 0) {
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
