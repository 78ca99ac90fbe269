#include "policy/chain_selection.h"

#include <algorithm>
#include <limits>

namespace Parsleytrail
{

/// An engine that may be part of the chain.
struct Candidate {
    const Target *target = nullptr; ///< of the fleet
    double stepMsPerLayer = 0;      ///< expected time of one layer of a pass
    double kvRoom = 0;              ///< tokens x layers
    double kvFill = 0;              ///< 0 empty to 1 full
    double avoidedMs = 0;           ///< added because other entries avoid it
    bool isFullAsFirst = false;     ///< takes no more requests from entries; parts of chains that began elsewhere it does
    std::size_t dataCenter = 0;     ///< index
};

/// Best way found to have applied the layers before a boundary, ending in a data centre.
struct PathState {
    double cost = std::numeric_limits<double>::infinity(); ///< ms
    int candidate = -1;                                    ///< last engine
    std::size_t previous = 0;                              ///< state before it
};

double kvCapacity(const EngineModel &model, const ListedTarget &listed)
{
    const AcceleratorKind *kind = findKind(model, listed.accelerator);
    if (!kind || model.layers == 0) {
        return 0;
    }
    const double freeMb = kind->memoryMb - listed.layers.count() * model.layerMb;
    const double tokenLayerMb = model.kvTokenBytes / model.layers / 1e6;
    return std::max(0.0, freeMb / tokenLayerMb);
}

double plannedTokens(const StreamDemand &demand)
{
    return demand.promptTokens + demand.answerTokens / 2;
}

static std::size_t indexOf(std::vector<std::string> &names, const std::string &name)
{
    const auto it = std::find(names.begin(), names.end(), name);
    if (it != names.end()) {
        return it - names.begin();
    }
    names.push_back(name);
    return names.size() - 1;
}

static std::vector<Candidate> makeCandidates(const Fleet &fleet, const ChainSituation &situation, std::mt19937_64 &random, const ChainTuning &tuning,
                                             std::vector<std::string> &dataCenters)
{
    const EngineModel &model = *situation.model;
    std::uniform_real_distribution<double> jitter(1.0, 1.0 + tuning.jitter);
    std::vector<Candidate> candidates;
    for (const auto &[id, target] : fleet.targets) {
        const AcceleratorKind *kind = findKind(model, target.listed.accelerator);
        const bool serves = target.listed.service == situation.service && target.listed.layers.count() > 0 && kind;
        if (!serves || !isUsable(target, situation.now) || situation.excluded.contains(id)) {
            continue;
        }
        Candidate candidate;
        candidate.target = &target;
        const int open = allOpenRequests(target);
        const double passMs = model.stepsPerPass * kind->stepFactor * target.slowness * (model.stepMs + model.stepMsPerSequence * open);
        candidate.stepMsPerLayer = passMs / model.layers * jitter(random);
        const double capacity = kvCapacity(model, target.listed) * tuning.kvFillLimit;
        const double used = target.kvTokenLayers + target.peersKvTokenLayers;
        candidate.kvRoom = capacity - used;
        candidate.kvFill = capacity > 0 ? used / capacity : 1;
        candidate.avoidedMs = target.peersAvoiding > 0 ? tuning.avoidedByPeersMs : 0;
        candidate.isFullAsFirst = target.listed.slots > 0 && open >= target.listed.slots * tuning.slotLimit;
        candidate.dataCenter = indexOf(dataCenters, target.listed.dataCenter);
        candidates.push_back(candidate);
    }
    return candidates;
}

static std::vector<int> boundariesOf(const std::vector<Candidate> &candidates, const ChainSituation &situation)
{
    std::vector<int> boundaries = {0, situation.model->layers};
    for (const ChainPart &part : situation.current) {
        boundaries.push_back(part.layers.to);
    }
    for (const Candidate &candidate : candidates) {
        boundaries.push_back(candidate.target->listed.layers.from);
        boundaries.push_back(candidate.target->listed.layers.to);
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    return boundaries;
}

/// Search for the shortest path over the boundaries of layer ranges.
struct ChainSearch {
    const std::vector<Candidate> &candidates;
    const std::vector<int> &boundaries;
    const std::vector<std::string> &dataCenters;
    const ChainSituation &situation;
    const ChainTuning &tuning;
    double tokens;      ///< that the request will hold in KV cache
    bool usesWholeRest; ///< an engine is left only at the end of its range

    std::vector<PathState> states{};

    std::size_t stateAt(std::size_t boundary, std::size_t dataCenter) const
    {
        return boundary * dataCenters.size() + dataCenter;
    }
    double hopCost(std::size_t boundary, std::size_t before, const Candidate &candidate) const
    {
        if (boundary == 0) {
            return dataCenters[candidate.dataCenter] == situation.dataCenter ? 0 : tuning.remoteStartMs;
        }
        if (before == candidate.dataCenter) {
            return tuning.hopMs;
        }
        return tuning.mayCross ? tuning.crossHopMs : std::numeric_limits<double>::infinity();
    }
    /// Whether a running request may take this part; the first one it has must stay as it is.
    bool isAllowed(const TargetId &id, const LayerRange &layers) const
    {
        return situation.current.empty() || layers.from > 0 || isPart(situation.current.front(), id, layers);
    }
    bool isFullStart(std::size_t boundary, const Candidate &candidate) const
    {
        return boundary == 0 && situation.current.empty() && candidate.isFullAsFirst;
    }
    double keepFactor(const TargetId &id, const LayerRange &layers) const
    {
        const bool isKept = std::any_of(situation.current.begin(), situation.current.end(), [&](const ChainPart &part) {
            return isPart(part, id, layers);
        });
        return isKept ? tuning.keptPartFactor : 1;
    }
    static bool isPart(const ChainPart &part, const TargetId &id, const LayerRange &layers)
    {
        return part.layers == layers && part.id == id;
    }
    void relax(std::size_t boundary, std::size_t dataCenter, int index)
    {
        const Candidate &candidate = candidates[index];
        const LayerRange &held = candidate.target->listed.layers;
        const std::size_t fromState = stateAt(boundary, dataCenter);
        const double pressure = tuning.kvPressureMs * candidate.kvFill * candidate.kvFill;
        const double base = states[fromState].cost + hopCost(boundary, dataCenter, candidate) + pressure + candidate.avoidedMs;
        for (std::size_t next = boundary + 1; next < boundaries.size() && boundaries[next] <= held.to; ++next) {
            const bool isEnd = boundaries[next] == held.to;
            const int layers = boundaries[next] - boundaries[boundary];
            if ((usesWholeRest && !isEnd) || tokens * layers > candidate.kvRoom) {
                continue;
            }
            const LayerRange range{boundaries[boundary], boundaries[next]};
            const TargetId &id = candidate.target->listed.id;
            if (!isAllowed(id, range)) {
                continue;
            }
            const double cost = base + candidate.stepMsPerLayer * layers * keepFactor(id, range);
            PathState &state = states[stateAt(next, candidate.dataCenter)];
            if (cost < state.cost) {
                state = {cost, index, fromState};
            }
        }
    }
    void run()
    {
        states.assign(boundaries.size() * dataCenters.size(), {});
        states[0].cost = 0;
        for (std::size_t boundary = 0; boundary + 1 < boundaries.size(); ++boundary) {
            for (std::size_t dataCenter = 0; dataCenter < dataCenters.size(); ++dataCenter) {
                if (states[stateAt(boundary, dataCenter)].cost == std::numeric_limits<double>::infinity()) {
                    continue;
                }
                for (int index = 0; index < static_cast<int>(candidates.size()); ++index) {
                    const LayerRange &held = candidates[index].target->listed.layers;
                    if (held.from <= boundaries[boundary] && boundaries[boundary] < held.to && !isFullStart(boundary, candidates[index])) {
                        relax(boundary, dataCenter, index);
                    }
                }
            }
        }
    }
    std::vector<ChainPart> bestChain() const
    {
        std::size_t best = stateAt(boundaries.size() - 1, 0);
        for (std::size_t dataCenter = 1; dataCenter < dataCenters.size(); ++dataCenter) {
            const std::size_t state = stateAt(boundaries.size() - 1, dataCenter);
            best = states[state].cost < states[best].cost ? state : best;
        }
        std::vector<ChainPart> chain;
        if (states[best].candidate < 0) {
            return chain;
        }
        for (std::size_t state = best; state >= dataCenters.size(); state = states[state].previous) {
            const int from = boundaries[states[state].previous / dataCenters.size()];
            const int to = boundaries[state / dataCenters.size()];
            const ListedTarget &listed = candidates[states[state].candidate].target->listed;
            chain.push_back({listed.id, listed.address, {from, to}});
        }
        std::reverse(chain.begin(), chain.end());
        return chain;
    }
};

static bool hasRepeatedEngine(const std::vector<ChainPart> &chain)
{
    std::set<TargetId> seen;
    for (const ChainPart &part : chain) {
        if (!seen.insert(part.id).second) {
            return true;
        }
    }
    return false;
}

static bool holdAllLayers(const std::vector<Candidate> &candidates, int layers)
{
    std::vector<bool> isHeld(layers, false);
    for (const Candidate &candidate : candidates) {
        const LayerRange held = candidate.target->listed.layers.within(layers);
        for (int layer = held.from; layer < held.to; ++layer) {
            isHeld[layer] = true;
        }
    }
    return std::find(isHeld.begin(), isHeld.end(), false) == isHeld.end();
}

std::vector<ChainPart> chooseChain(const Fleet &fleet, const ChainSituation &situation, const StreamDemand &demand, std::mt19937_64 &random,
                                   const ChainTuning &tuning)
{
    std::vector<std::string> dataCenters;
    const std::vector<Candidate> candidates = makeCandidates(fleet, situation, random, tuning, dataCenters);
    if (candidates.empty()) {
        return {};
    }
    const std::vector<int> boundaries = boundariesOf(candidates, situation);
    const double tokens = plannedTokens(demand);
    ChainSearch search{candidates, boundaries, dataCenters, situation, tuning, tokens, false};
    search.run();
    std::vector<ChainPart> chain = search.bestChain();
    if (hasRepeatedEngine(chain)) {
        // Engines refuse a chain that names one of them twice.
        search.usesWholeRest = true;
        search.run();
        chain = search.bestChain();
    }
    return chain;
}

static DataCenterRoom roomOf(const std::vector<Candidate> &candidates, std::size_t dataCenter, const EngineModel &model, double tokens,
                             const ChainTuning &tuning)
{
    DataCenterRoom room;
    std::vector<double> streams(model.layers, 0);
    for (const Candidate &candidate : candidates) {
        const ListedTarget &listed = candidate.target->listed;
        if (candidate.dataCenter != dataCenter) {
            continue;
        }
        ++room.engines;
        const int open = allOpenRequests(*candidate.target);
        room.slots += listed.layers.from == 0 ? std::max(0, static_cast<int>(listed.slots * tuning.slotLimit) - open) : 0;
        const LayerRange held = listed.layers.within(model.layers);
        for (int layer = held.from; layer < held.to; ++layer) {
            streams[layer] += std::max(0.0, candidate.kvRoom / (tokens * listed.layers.count()));
        }
    }
    const auto narrowest = std::min_element(streams.begin(), streams.end());
    room.narrowestLayer = static_cast<int>(narrowest - streams.begin());
    room.streams = static_cast<int>(*narrowest);
    return room;
}

FleetRoom roomLeft(const Fleet &fleet, const ChainSituation &situation, const StreamDemand &demand)
{
    std::mt19937_64 random; // NOLINT(bugprone-random-generator-seed,cert-msc51-cpp): costs don't matter
    const ChainTuning tuning;
    std::vector<std::string> names;
    const std::vector<Candidate> candidates = makeCandidates(fleet, situation, random, tuning, names);
    const double tokens = std::max(1.0, plannedTokens(demand));
    FleetRoom room;
    room.coversAllLayers = holdAllLayers(candidates, situation.model->layers);
    for (std::size_t dataCenter = 0; dataCenter < names.size(); ++dataCenter) {
        room.dataCenters.push_back(roomOf(candidates, dataCenter, *situation.model, tokens, tuning));
        room.dataCenters.back().dataCenter = names[dataCenter];
    }
    return room;
}

} // namespace Parsleytrail
