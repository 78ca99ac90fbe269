#include "policy/chain_selection.h"

#include "policy/prefill_forecast.h"

#include <algorithm>
#include <limits>

namespace Parsleytrail
{

/// An engine that may be used in the chain.
struct Candidate {
    const Target *target = nullptr; ///< the engine in the fleet
    double stepMsPerLayer = 0;      ///< expected time of one layer of a pass
    double freeKvTokenLayers = 0;   ///< KV cache left of the share that may be planned for, tokens x layers
    double kvFill = 0;              ///< KV cache in use, relative to the share that may be planned for: 0 empty, 1 full
    double avoidedMs = 0;           ///< cost added because other entries avoid it
    double backlogMs = 0;           ///< time until it has processed the prompts that it was sent
    bool canBeFirstStage = true;    ///< accepts further requests from entries; one that does not is still used for later stages
    std::size_t dataCenter = 0;     ///< index of its name
};

/// Cheapest path found that has applied all layers below a boundary and ends in a data centre.
struct PathState {
    double cost = std::numeric_limits<double>::infinity(); ///< ms
    int candidate = -1;                                    ///< last engine; -1: none
    std::size_t previous = 0;                              ///< state before the last engine
};

/// The cost of a path that is continued by a stage.
static double addedTo(double pathCost, const StageCost &stage)
{
    return pathCost + stage.hop + stage.remoteStart + stage.kvPressure + stage.avoidedByPeers + (stage.steps + stage.backlog);
}

double StageCost::total() const
{
    return addedTo(0, *this);
}

double kvCapacity(const EngineModel &model, const RegisteredTarget &registered)
{
    const AcceleratorKind *kind = findKind(model, registered.accelerator);
    if (!kind || model.layers == 0) {
        return 0;
    }
    const double freeMb = kind->memoryMb - registered.layers.count() * model.layerMb;
    const double tokenLayerMb = model.kvTokenBytes / model.layers / 1e6;
    return std::max(0.0, freeMb / tokenLayerMb);
}

double plannedKvTokens(const StreamDemand &demand)
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

/// Why an engine of the service is not used for any stage.
static EngineObstacle obstacleInChains(const Target &target, const AcceleratorKind *kind, const ChainSelectionContext &context)
{
    if (target.registered.layers.count() <= 0) {
        return EngineObstacle::NoLayers;
    }
    if (!kind) {
        return EngineObstacle::UnknownAccelerator;
    }
    if (isUsable(target, context.now)) {
        return context.excluded.contains(target.registered.id) ? EngineObstacle::FailedThisRequest : EngineObstacle::None;
    }
    if (isLeaving(target)) {
        return EngineObstacle::Draining;
    }
    if (target.needsProbe) {
        return EngineObstacle::NeedsProbe;
    }
    return target.failuresInRow > 0 ? EngineObstacle::AvoidedAfterFailures : EngineObstacle::AvoidedAfterRefusals;
}

/// Why no request is sent to an engine as the first of a chain. It is still used for later stages.
static EngineObstacle obstacleAsFirst(const Target &target, const ChainSelectionContext &context, const ChainTuning &tuning)
{
    const int slots = target.registered.slots;
    if (slots > 0 && totalOpenRequests(target) >= slots * tuning.slotLimit) {
        return EngineObstacle::NoFreeSlot;
    }
    if (!mayBeginStreams(target, context.now)) {
        return EngineObstacle::Silent;
    }
    if (isPaused(target, context.now)) {
        return EngineObstacle::Paused;
    }
    return context.excludedAsFirst.contains(target.registered.id) ? EngineObstacle::OverRequestLimit : EngineObstacle::None;
}

static std::vector<Candidate> makeCandidates(const Fleet &fleet, const ChainSelectionContext &context, std::mt19937_64 &random, const ChainTuning &tuning,
                                             std::vector<std::string> &dataCenters)
{
    const EngineModel &model = *context.model;
    std::uniform_real_distribution<double> jitter(1.0, 1.0 + tuning.jitter);
    std::vector<Candidate> candidates;
    for (const auto &[id, target] : fleet.targets) {
        const AcceleratorKind *kind = findKind(model, target.registered.accelerator);
        const bool isElsewhere = !tuning.onlyDataCenter.empty() && target.registered.dataCenter != tuning.onlyDataCenter;
        if (target.registered.service != context.service || isElsewhere || obstacleInChains(target, kind, context) != EngineObstacle::None) {
            continue;
        }
        Candidate candidate;
        candidate.target = &target;
        const int open = totalOpenRequests(target);
        const double passMs = model.stepsPerPass * kind->decodeSlowdownFactor * target.slowdownFactor * (model.stepMs + model.stepMsPerSequence * open);
        candidate.stepMsPerLayer = passMs / model.layers * jitter(random);
        const double capacity = kvCapacity(model, target.registered) * tuning.kvFillLimit;
        const double used = target.kvTokenLayers + target.peersKvTokenLayers;
        candidate.freeKvTokenLayers = capacity - used;
        candidate.kvFill = capacity > 0 ? used / capacity : 1;
        candidate.avoidedMs = target.peersAvoiding > 0 ? tuning.avoidedByPeersMs : 0;
        candidate.backlogMs = model.prefillChunkTokens > 0 ? prefillBacklogMs(target, context.now) : 0;
        candidate.canBeFirstStage = obstacleAsFirst(target, context, tuning) == EngineObstacle::None;
        candidate.dataCenter = indexOf(dataCenters, target.registered.dataCenter);
        candidates.push_back(candidate);
    }
    return candidates;
}

static std::vector<int> boundariesOf(const std::vector<Candidate> &candidates, const ChainSelectionContext &context)
{
    std::vector<int> boundaries = {0, context.model->layers};
    for (const ChainStage &stage : context.current) {
        boundaries.push_back(stage.layers.to);
    }
    for (const Candidate &candidate : candidates) {
        const LayerRange held = candidate.target->registered.layers.within(context.model->layers);
        boundaries.push_back(held.from);
        boundaries.push_back(held.to);
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    return boundaries;
}

/// Shortest-path search over the boundaries of layer ranges.
struct ChainSearch {
    const std::vector<Candidate> &candidates;
    const std::vector<int> &boundaries;
    const std::vector<std::string> &dataCenters;
    const ChainSelectionContext &context;
    const ChainTuning &tuning;
    double tokens;       ///< KV cache planned for the request
    bool usesRangeToEnd; ///< each engine is used to the end of its range

    std::vector<PathState> states{};

    std::size_t stateAt(std::size_t boundary, std::size_t dataCenter) const
    {
        return boundary * dataCenters.size() + dataCenter;
    }
    double remoteStartCost(std::size_t boundary, const Candidate &candidate) const
    {
        return boundary > 0 || dataCenters[candidate.dataCenter] == context.dataCenter ? 0 : tuning.remoteStartMs;
    }
    double hopCost(std::size_t boundary, std::size_t before, const Candidate &candidate) const
    {
        if (boundary == 0) {
            return 0;
        }
        if (before == candidate.dataCenter) {
            return tuning.hopMs;
        }
        return tuning.allowsCrossDataCenter ? tuning.crossDataCenterHopMs : std::numeric_limits<double>::infinity();
    }
    /// Cost of a stage that continues at an engine, without the terms that depend on its layers.
    StageCost enteringCost(std::size_t boundary, std::size_t before, const Candidate &candidate) const
    {
        StageCost cost;
        cost.hop = hopCost(boundary, before, candidate);
        cost.remoteStart = remoteStartCost(boundary, candidate);
        cost.kvPressure = tuning.kvPressureMs * candidate.kvFill * candidate.kvFill;
        cost.avoidedByPeers = candidate.avoidedMs;
        return cost;
    }
    /// Whether a running request may use this stage; its first stage must stay as it is.
    bool isAllowed(const TargetId &id, const LayerRange &layers) const
    {
        return context.current.empty() || layers.from > 0 || isSameStage(context.current.front(), id, layers);
    }
    /// Whether a stream may continue at an engine from a boundary on. A running request stays at its first engine.
    bool mayContinueAt(std::size_t boundary, const Candidate &candidate) const
    {
        return boundary > 0 || !context.current.empty() || candidate.canBeFirstStage;
    }
    bool isKept(const TargetId &id, const LayerRange &layers) const
    {
        return std::any_of(context.current.begin(), context.current.end(), [&](const ChainStage &stage) {
            return isSameStage(stage, id, layers);
        });
    }
    /// Adds the terms that depend on the layers of a stage. A stage that the running request already has holds its KV cache: it does not
    /// wait for the prompts of others.
    void addLayersCost(StageCost &cost, const Candidate &candidate, const LayerRange &layers) const
    {
        const double passMs = candidate.stepMsPerLayer * layers.count();
        const bool keeps = isKept(candidate.target->registered.id, layers);
        cost.steps = keeps ? passMs * tuning.keptStageFactor : passMs;
        cost.backlog = keeps ? 0 : candidate.backlogMs;
    }
    static bool isSameStage(const ChainStage &stage, const TargetId &id, const LayerRange &layers)
    {
        return stage.layers == layers && stage.id == id;
    }
    void relax(std::size_t boundary, std::size_t dataCenter, int index)
    {
        const Candidate &candidate = candidates[index];
        const LayerRange &held = candidate.target->registered.layers;
        const std::size_t fromState = stateAt(boundary, dataCenter);
        StageCost stage = enteringCost(boundary, dataCenter, candidate);
        for (std::size_t next = boundary + 1; next < boundaries.size() && boundaries[next] <= held.to; ++next) {
            const bool isEnd = boundaries[next] == held.to;
            const int layers = boundaries[next] - boundaries[boundary];
            if ((usesRangeToEnd && !isEnd) || tokens * layers > candidate.freeKvTokenLayers) {
                continue;
            }
            const LayerRange range{boundaries[boundary], boundaries[next]};
            const TargetId &id = candidate.target->registered.id;
            if (!isAllowed(id, range)) {
                continue;
            }
            addLayersCost(stage, candidate, range);
            const double cost = addedTo(states[fromState].cost, stage);
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
                    const LayerRange &held = candidates[index].target->registered.layers;
                    if (held.from <= boundaries[boundary] && boundaries[boundary] < held.to && mayContinueAt(boundary, candidates[index])) {
                        relax(boundary, dataCenter, index);
                    }
                }
            }
        }
    }
    RatedChain bestChain() const
    {
        std::size_t best = stateAt(boundaries.size() - 1, 0);
        for (std::size_t dataCenter = 1; dataCenter < dataCenters.size(); ++dataCenter) {
            const std::size_t state = stateAt(boundaries.size() - 1, dataCenter);
            best = states[state].cost < states[best].cost ? state : best;
        }
        return chainTo(best);
    }
    /// The cheapest chain that ends in a state, without the costs of its stages.
    RatedChain chainTo(std::size_t end) const
    {
        RatedChain chain;
        if (states[end].candidate < 0) {
            return chain;
        }
        chain.costMs = states[end].cost;
        for (std::size_t state = end; state >= dataCenters.size(); state = states[state].previous) {
            const int from = boundaries[states[state].previous / dataCenters.size()];
            const int to = boundaries[state / dataCenters.size()];
            const RegisteredTarget &registered = candidates[states[state].candidate].target->registered;
            chain.stages.push_back({registered.id, registered.address, {from, to}});
        }
        std::reverse(chain.stages.begin(), chain.stages.end());
        return chain;
    }
    /// The cheapest chain that ends in a data centre, with the costs of its stages.
    RatedChain chainWithCosts(std::size_t dataCenter) const
    {
        const std::size_t end = stateAt(boundaries.size() - 1, dataCenter);
        RatedChain rated = chainTo(end);
        for (std::size_t state = end; states[state].candidate >= 0; state = states[state].previous) {
            const std::size_t previous = states[state].previous;
            const std::size_t boundary = previous / dataCenters.size();
            const Candidate &candidate = candidates[states[state].candidate];
            StageCost cost = enteringCost(boundary, previous % dataCenters.size(), candidate);
            addLayersCost(cost, candidate, {boundaries[boundary], boundaries[state / dataCenters.size()]});
            rated.costs.push_back(cost);
            rated.dataCenter = dataCenters[candidate.dataCenter];
        }
        std::reverse(rated.costs.begin(), rated.costs.end());
        return rated;
    }
    /// Whether the KV cache of an engine has room for the shortest stage that it could be used for.
    bool fitsAnyStage(const Candidate &candidate) const
    {
        const LayerRange &held = candidate.target->registered.layers;
        for (std::size_t boundary = 1; boundary < boundaries.size(); ++boundary) {
            const LayerRange range{boundaries[boundary - 1], boundaries[boundary]};
            if (held.contains(range) && tokens * range.count() <= candidate.freeKvTokenLayers) {
                return true;
            }
        }
        return false;
    }
};

static bool hasRepeatedEngine(const std::vector<ChainStage> &chain)
{
    std::set<TargetId> seen;
    for (const ChainStage &stage : chain) {
        if (!seen.insert(stage.id).second) {
            return true;
        }
    }
    return false;
}

/// Runs the search and returns the chain with the lowest cost.
static RatedChain findBestChain(ChainSearch &search)
{
    search.run();
    RatedChain chain = search.bestChain();
    if (hasRepeatedEngine(chain.stages)) {
        // Engines refuse a chain that names one of them twice.
        search.usesRangeToEnd = true;
        search.run();
        chain = search.bestChain();
    }
    return chain;
}

static bool coverAllLayers(const std::vector<Candidate> &candidates, int layers)
{
    std::vector<bool> isHeld(layers, false);
    for (const Candidate &candidate : candidates) {
        const LayerRange held = candidate.target->registered.layers.within(layers);
        for (int layer = held.from; layer < held.to; ++layer) {
            isHeld[layer] = true;
        }
    }
    return std::find(isHeld.begin(), isHeld.end(), false) == isHeld.end();
}

RatedChain selectRatedChain(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, std::mt19937_64 &random,
                            const ChainTuning &tuning)
{
    std::vector<std::string> dataCenters;
    const std::vector<Candidate> candidates = makeCandidates(fleet, context, random, tuning, dataCenters);
    if (candidates.empty()) {
        return {};
    }
    const std::vector<int> boundaries = boundariesOf(candidates, context);
    const double tokens = plannedKvTokens(demand);
    ChainSearch search{candidates, boundaries, dataCenters, context, tuning, tokens, false};
    return findBestChain(search);
}

/// Whether the selection can use an engine of the service; `candidate` is null if it is left out of chains.
static RatedEngine rateEngine(const Target &target, const Candidate *candidate, const ChainSearch &search)
{
    const ChainSelectionContext &context = search.context;
    RatedEngine rated;
    rated.target = &target;
    rated.inChains = obstacleInChains(target, findKind(*context.model, target.registered.accelerator), context);
    if (candidate) {
        rated.inChains = search.fitsAnyStage(*candidate) ? EngineObstacle::None : EngineObstacle::NoFreeKvCache;
        rated.asFirst = target.registered.layers.from <= 0 ? obstacleAsFirst(target, context, search.tuning) : EngineObstacle::None;
        rated.kvFill = candidate->kvFill;
    }
    return rated;
}

static std::vector<RatedEngine> rateEngines(const Fleet &fleet, const ChainSearch &search)
{
    std::vector<RatedEngine> engines;
    auto candidate = search.candidates.begin(); // in the order of the fleet
    for (const auto &[id, target] : fleet.targets) {
        if (target.registered.service != search.context.service) {
            continue;
        }
        const bool isCandidate = candidate != search.candidates.end() && candidate->target == &target;
        engines.push_back(rateEngine(target, isCandidate ? &*candidate : nullptr, search));
        candidate += isCandidate ? 1 : 0;
    }
    return engines;
}

ChainRating rateChains(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, std::mt19937_64 &random, const ChainTuning &tuning)
{
    std::vector<std::string> dataCenters;
    const std::vector<Candidate> candidates = makeCandidates(fleet, context, random, tuning, dataCenters);
    const std::vector<int> boundaries = boundariesOf(candidates, context);
    ChainSearch search{candidates, boundaries, dataCenters, context, tuning, plannedKvTokens(demand), false};
    ChainRating rating;
    rating.engines = rateEngines(fleet, search);
    if (candidates.empty()) {
        return rating;
    }
    rating.selected = findBestChain(search).stages;
    ChainSearch rangeToEnd = search;
    rangeToEnd.usesRangeToEnd = true;
    rangeToEnd.run();
    for (std::size_t dataCenter = 0; dataCenter < dataCenters.size(); ++dataCenter) {
        RatedChain chain = search.chainWithCosts(dataCenter);
        if (hasRepeatedEngine(chain.stages)) {
            chain = rangeToEnd.chainWithCosts(dataCenter);
        }
        if (!chain.stages.empty()) {
            rating.chains.push_back(std::move(chain));
        }
    }
    return rating;
}

std::vector<ChainStage> selectChain(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, std::mt19937_64 &random,
                                    const ChainTuning &tuning)
{
    return selectRatedChain(fleet, context, demand, random, tuning).stages;
}

void addChainPrefill(Fleet &fleet, const EngineModel &model, const std::vector<ChainStage> &chain, double tokens, double multiplier, TimePoint now)
{
    if (model.prefillChunkTokens <= 0) {
        return;
    }
    for (const ChainStage &stage : chain) {
        Target *target = findTarget(fleet, stage.id);
        const AcceleratorKind *kind = target ? findKind(model, target->registered.accelerator) : nullptr;
        if (kind) {
            addPrefill(*target, multiplier * prefillMs(model, *kind, tokens, stage.layers.count()), now);
        }
    }
}

double chainBacklogMs(const Fleet &fleet, const std::vector<ChainStage> &chain, TimePoint now)
{
    double backlogMs = 0;
    for (const ChainStage &stage : chain) {
        const Target *target = findTarget(fleet, stage.id);
        backlogMs = std::max(backlogMs, target ? prefillBacklogMs(*target, now) : 0);
    }
    return backlogMs;
}

static DataCenterFreeCapacity freeCapacityOf(const std::vector<Candidate> &candidates, std::size_t dataCenter, const EngineModel &model, double tokens,
                                             const ChainTuning &tuning)
{
    DataCenterFreeCapacity freeCapacity;
    std::vector<double> streams(model.layers, 0);
    for (const Candidate &candidate : candidates) {
        const RegisteredTarget &registered = candidate.target->registered;
        if (candidate.dataCenter != dataCenter) {
            continue;
        }
        ++freeCapacity.engines;
        const int open = totalOpenRequests(*candidate.target);
        freeCapacity.freeSlots += registered.layers.from == 0 ? std::max(0, static_cast<int>(registered.slots * tuning.slotLimit) - open) : 0;
        freeCapacity.hasSlots = freeCapacity.hasSlots || (registered.layers.from == 0 && registered.slots > 0);
        const LayerRange held = registered.layers.within(model.layers);
        for (int layer = held.from; layer < held.to; ++layer) {
            streams[layer] += std::max(0.0, candidate.freeKvTokenLayers / (tokens * registered.layers.count()));
        }
    }
    const auto bottleneck = std::min_element(streams.begin(), streams.end());
    freeCapacity.bottleneckLayer = static_cast<int>(bottleneck - streams.begin());
    freeCapacity.streams = static_cast<int>(*bottleneck);
    return freeCapacity;
}

int fittingStreams(const DataCenterFreeCapacity &capacity)
{
    return capacity.hasSlots ? std::min(capacity.streams, capacity.freeSlots) : capacity.streams;
}

FleetFreeCapacity freeCapacityLeft(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand)
{
    std::mt19937_64 random; // NOLINT(bugprone-random-generator-seed,cert-msc51-cpp): costs don't matter
    const ChainTuning tuning;
    std::vector<std::string> names;
    const std::vector<Candidate> candidates = makeCandidates(fleet, context, random, tuning, names);
    const double tokens = std::max(1.0, plannedKvTokens(demand));
    FleetFreeCapacity freeCapacity;
    freeCapacity.coversAllLayers = coverAllLayers(candidates, context.model->layers);
    for (std::size_t dataCenter = 0; dataCenter < names.size(); ++dataCenter) {
        freeCapacity.dataCenters.push_back(freeCapacityOf(candidates, dataCenter, *context.model, tokens, tuning));
        freeCapacity.dataCenters.back().dataCenter = names[dataCenter];
    }
    return freeCapacity;
}

} // namespace Parsleytrail
