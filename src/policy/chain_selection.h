// Selects the chain of engines that runs a streamed request.
//
// The engines hold overlapping layer ranges. A chain uses a range of some of them, so that every layer is applied once and in
// order. Among all chains whose engines have KV cache for the request, the one with the least expected time per step is
// selected, as a shortest path over the layers. Loaded engines cost more, which spreads the load.
//
// Pure: randomness and time are passed in.
#pragma once

#include "policy/fleet.h"
#include "policy/routes.h"

#include <cstdint>
#include <random>
#include <set>
#include <vector>

namespace Parsleytrail
{

/// The layers that one engine applies in a chain.
struct ChainStage {
    TargetId id;       ///< id of the engine
    Address address;   ///< address of the engine
    LayerRange layers; ///< layers that the engine applies

    bool operator==(const ChainStage &) const = default;
};

/// Expected size of a request.
struct StreamDemand {
    double promptTokens = 0; ///< prompt length, processed before the first event
    double answerTokens = 0; ///< expected length of the answer; the caller's limit is far above it
};

/// KV cache that is planned for a request, tokens: its average while the request runs, which is the prompt and half of the
/// answer. The requests of an engine have each generated a different part of their answers. Planning for full answers would
/// leave a tenth of each engine's cache unused while callers are refused for lack of it.
double plannedKvTokens(const StreamDemand &demand);

/// Inputs of the selection.
struct ChainSelectionContext {
    const EngineModel *model = nullptr; ///< engine model of the service
    ServiceName service;                ///< only its engines are used
    std::string dataCenter;             ///< data centre of this entry
    TimePoint now{};                    ///< engines that are avoided at this time are left out
    std::set<TargetId> excluded;        ///< engines that already failed this request
    std::set<TargetId> excludedAsFirst; ///< engines that must not be the first of the chain
    TimePoint nextEventDue{};           ///< when the caller should have the next event; zero: no target. See policy/data_center_choice.h
    std::vector<ChainStage> current;    ///< chain of a running request: its first stage is kept, the others if possible; empty for a new request
};

/// Costs and limits of the selection.
struct ChainTuning {
    /// Cost of a hop inside a data centre: 0.2 ms one way and the wake-up of the next engine.
    double hopMs = 0.3;
    /// Cost of a hop to another data centre. The activations of every token of prompt and answer pass over a link that all
    /// chains share, so that chains make as few of these hops as possible.
    double crossDataCenterHopMs = 400;
    /// Whether chains may span data centres; see policy/cross_data_center_budget.h.
    bool allowsCrossDataCenter = true;
    /// Engines of all other data centres are left out; empty: none are.
    std::string onlyDataCenter{};
    /// Cost of a chain that begins in another data centre than the entry. Only the bytes of events cross the link, but the
    /// selection uses loads that all entries share and that are some hundred milliseconds old: without this cost the entries of
    /// all data centres would select the same few engines until the next report. It exceeds the cost of a loaded chain, so that
    /// the entry's own data centre is preferred.
    double remoteStartMs = 60;
    /// Cost of a stage whose KV cache would be full; scales with the square of the fill.
    double kvPressureMs = 12;
    /// Cost of a stage at an engine that other entries avoid: it fails, or shuts down without notice. Less than the cost of
    /// another data centre, and not an exclusion: the failures may not affect this entry, and some request has to detect that
    /// the engine has recovered.
    double avoidedByPeersMs = 40;
    /// Share of an engine's KV cache that may be planned for. Half of all answers are longer than expected; an engine that runs
    /// out of cache preempts its newest request and processes it again from the prompt.
    double kvFillLimit = 0.92;
    /// Share of a first engine's slots that may be used. The counts of other entries are some hundred milliseconds old, and an
    /// engine above its slots queues requests, then refuses them.
    double slotLimit = 0.95;
    /// Factor on the cost of a stage that a running request already has: a new stage processes all tokens so far again.
    double keptStageFactor = 0.3;
    /// Upper bound of the random share added to each cost, so that entries of a data centre, which see equal loads, don't all
    /// select the same engine.
    double jitter = 0.2;
};

/// Memory of an engine that its layers leave for KV cache, tokens x layers; 0 if its accelerator is not configured.
double kvCapacity(const EngineModel &model, const RegisteredTarget &registered);

/// Terms of the cost of a stage, ms; see ChainTuning.
struct StageCost {
    double hop = 0;            ///< hop from the engine before
    double remoteStart = 0;    ///< the chain begins here, in another data centre
    double kvPressure = 0;     ///< fill of the engine's KV cache
    double avoidedByPeers = 0; ///< other entries avoid the engine
    double backlog = 0;        ///< prompts that the engine has to process first
    double steps = 0;          ///< its layers in a pass, with the random share

    double total() const;
};

/// A chain and its cost.
struct RatedChain {
    std::vector<ChainStage> stages; ///< empty: there is none
    double costMs = 0;              ///< time of a pass with all surcharges of ChainTuning
    std::vector<StageCost> costs;   ///< of each stage, with costMs as their sum; filled by rateChains() only
    std::string dataCenter;         ///< data centre of its first engine; filled by rateChains() only
};

/// The chain with the lowest cost, with that cost; no stages if there is none.
RatedChain selectRatedChain(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, std::mt19937_64 &random,
                            const ChainTuning &tuning = {});
/// The chain with the lowest cost; empty if the usable engines don't cover all layers, or lack free KV cache or slots.
std::vector<ChainStage> selectChain(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, std::mt19937_64 &random,
                                    const ChainTuning &tuning = {});

/// Adds the time to process `tokens` to the forecast (policy/prefill_forecast.h) of each engine of `chain`. In a move, `chain` holds only
/// the stages that have to process the tokens. `multiplier` accounts for the same work of other entries:
/// recoveryMultiplier() after the loss of an engine, otherwise 1. Does nothing if the model has no forecast.
void addChainPrefill(Fleet &fleet, const EngineModel &model, const std::vector<ChainStage> &chain, double tokens, double multiplier, TimePoint now);
/// The largest backlog of prompts of the chain's engines, ms.
double chainBacklogMs(const Fleet &fleet, const std::vector<ChainStage> &chain, TimePoint now);

/// Free capacity of a data centre as this entry sees it.
struct DataCenterFreeCapacity {
    std::string dataCenter;  ///< name of the data centre
    int engines = 0;         ///< usable engines
    int freeSlots = 0;       ///< free request slots of all engines that hold layer 0
    bool hasSlots = false;   ///< an engine that holds layer 0 states its slots; otherwise they are not limited
    int streams = 0;         ///< further streams that fit the KV cache of its bottleneck layer
    int bottleneckLayer = 0; ///< layer with the least free KV cache; the first of several
};
/// Free capacity for requests like one that got no chain.
struct FleetFreeCapacity {
    std::vector<DataCenterFreeCapacity> dataCenters; ///< data centres with usable engines
    bool coversAllLayers = false;                    ///< whether usable engines hold all layers, full or not: tells a full fleet from uncovered layers
};
/// Streams that still fit the KV caches and, if they are limited, the slots of a data centre.
int fittingStreams(const DataCenterFreeCapacity &capacity);
FleetFreeCapacity freeCapacityLeft(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand);

/// Why an engine is left out of chains, or of the start of chains.
enum class EngineObstacle : std::uint8_t {
    None,
    NoLayers,
    UnknownAccelerator,   ///< the configuration has no constants for it
    Draining,             ///< as the registry or the engine itself says
    NeedsProbe,           ///< failed, and has not answered a probe since
    AvoidedAfterFailures, ///< its backoff after failures is not over
    AvoidedAfterRefusals, ///< its backoff after refusals is not over
    FailedThisRequest,    ///< see ChainSelectionContext::excluded
    NoFreeKvCache,        ///< has no room for the shortest stage that it could be used for
    NoFreeSlot,           ///< as first engine only, like all below
    Silent,               ///< accepted streams and did not begin them
    Paused,               ///< asked for no requests for a time
    OverRequestLimit,     ///< see ChainSelectionContext::excludedAsFirst
};

/// An engine of the service, and whether it can be used.
struct RatedEngine {
    const Target *target = nullptr;                 ///< part of the fleet
    EngineObstacle inChains = EngineObstacle::None; ///< why it is used for no stage
    EngineObstacle asFirst = EngineObstacle::None;  ///< why no chain begins at it, although it holds the first layer
    double kvFill = 0;                              ///< KV cache in use: 1 is all that may be planned for; 0 if it is left out
};

/// The result of a selection, and what it was based on.
struct ChainRating {
    std::vector<ChainStage> selected; ///< what selectChain() returns
    std::vector<RatedChain> chains;   ///< best chain of each data centre that a chain ends in
    std::vector<RatedEngine> engines; ///< all engines of the service
};

/// The same selection as selectChain(), with what it was based on. Draws the same random numbers. Slower: for explanations.
ChainRating rateChains(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, std::mt19937_64 &random,
                       const ChainTuning &tuning = {});

} // namespace Parsleytrail
