// Chooses the engines that a streamed request passes through.
//
// The engines hold overlapping layer ranges. A chain takes a part of some of them so that every layer is applied once
// and in order. Of all chains with room for the request's KV cache the one with the least expected time for a step is
// taken, found as a shortest path over layers; engines that are loaded count as slower, so that load spreads.
//
// Pure: randomness and time are passed in.
#pragma once

#include "policy/fleet.h"
#include "policy/routes.h"

#include <random>
#include <set>
#include <vector>

namespace Parsleytrail
{

/// One engine's part of a chain.
struct ChainStage {
    TargetId id;       ///< engine
    Address address;   ///< of the engine
    LayerRange layers; ///< applied there

    bool operator==(const ChainStage &) const = default;
};

/// What a request will need.
struct StreamDemand {
    double promptTokens = 0; ///< read before the first event
    double answerTokens = 0; ///< expected; the bound that the caller gives is far above it
};

/// KV cache that a request is counted with, tokens: what it holds on average while it runs. Its prompt is there from the
/// start, and its answer grows; of many requests at an engine some begin while others end. Counted with its whole answer
/// from the start, each engine would stand a tenth empty while callers are refused for want of room.
double plannedKvTokens(const StreamDemand &demand);

/// Where and when a chain is chosen.
struct ChainSelectionContext {
    const EngineModel *model = nullptr; ///< of the service
    ServiceName service;                ///< whose engines are taken
    std::string dataCenter;             ///< of the entry
    TimePoint now{};                    ///< engines to be avoided until later are left out
    std::set<TargetId> excluded;        ///< engines that already failed this request
    std::vector<ChainStage> current;    ///< chain of a request that runs: its first part is kept, others where they can be
};

/// Weights of the choice.
struct ChainTuning {
    /// A hop inside a data centre: 0.2 ms one way and the wake-up of the next engine.
    double hopMs = 0.3;
    /// A hop to another data centre moves the activations of every token of prompt and answer through a pipe that all
    /// share: chains take as few as they can.
    double crossDataCenterHopMs = 400;
    /// Whether chains may cross between data centres; see policy/crossing.h.
    bool allowsCrossDataCenter = true;
    /// A chain that begins in another data centre than the entry. Only bytes of events cross, but the choice rests on news
    /// that all entries share and that is some hundred milliseconds old: entries of all data centres would choose the same
    /// few engines until they hear of each other. More than a loaded chain costs, so that the own data centre goes first.
    double remoteStartMs = 60;
    /// Added for a part whose KV cache would be full, falling with the square of the fill.
    double kvPressureMs = 12;
    /// Added for a part at an engine that other entries avoid for now: it leaves without a word, or fails. Less than the way to
    /// another data centre, and no ban: what they saw may not concern this entry, and somebody has to find it well again.
    double avoidedByPeersMs = 40;
    /// Share of an engine's KV cache that is planned for. Answers are longer than expected half of the time; an engine
    /// that runs out stops its newest request and reads it again.
    double kvFillLimit = 0.92;
    /// Share of a first engine's slots that is planned for: counts of other entries are some hundred milliseconds old, and
    /// an engine over its slots queues, then refuses.
    double slotLimit = 0.95;
    /// Factor on the cost of a part that a running request already has: a new part reads all tokens so far.
    double keptStageFactor = 0.3;
    /// Random share added to each cost, so that entries of a data centre, whose views are equal, do not all choose the same engine.
    double jitter = 0.2;
};

/// KV cache of an engine, tokens x layers.
double kvCapacity(const EngineModel &model, const RegisteredTarget &registered);

/// The best chain; empty if the engines that may be used do not cover all layers, or have no room.
std::vector<ChainStage> selectChain(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand, std::mt19937_64 &random,
                                    const ChainTuning &tuning = {});
/// How much more a data centre could take, as this entry sees it.
struct DataCenterFreeCapacity {
    std::string dataCenter;  ///< name
    int engines = 0;         ///< that may be used
    int freeSlots = 0;       ///< free at the engines that hold layer 0
    int streams = 0;         ///< for which its narrowest layer has KV cache
    int bottleneckLayer = 0; ///< that layer; the first of several
};
/// What is left for requests like one that found no chain.
struct FleetFreeCapacity {
    std::vector<DataCenterFreeCapacity> dataCenters; ///< room of each
    bool coversAllLayers = false;                    ///< usable engines hold all layers, full or not: tells a full fleet from one with a gap
};
FleetFreeCapacity freeCapacityLeft(const Fleet &fleet, const ChainSelectionContext &context, const StreamDemand &demand);

} // namespace Parsleytrail
