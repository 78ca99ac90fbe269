// Which layers each engine holds.
//
// A plan is made for each group of engines: a data centre whose memory holds the model whole is a group of its own, so
// that activations stay inside it; the engines of all others form one group together. Engines that hold layers keep
// them where they can: loading takes seconds, and memory that layers take is lost to KV cache.
//
// Pure: equal inputs give equal plans, whoever computes them.
#pragma once

#include "policy/fleet.h"
#include "policy/routes.h"

#include <string>
#include <vector>

namespace Parsleytrail
{

/// An engine as the planner sees it.
struct PlacedEngine {
    TargetId id;                  ///< names it in orders
    std::string dataCenter;       ///< where it stands
    std::string kind;             ///< kind of accelerator
    LayerRange layers;            ///< ordered, or held if nothing is on its way; empty: none
    bool hasPendingOrder = false; ///< an order is being carried out: takes no other before it is done
    bool isNew = false;           ///< came a moment ago: kept free for the layers of the engine that it may replace
    bool isLeaving = false;       ///< draining or dead: what it holds is about to be lost
    bool isUnreachable = false;   ///< does not answer: what it holds serves nobody
};

/// An engine that should hold another range.
struct PlacementOrder {
    TargetId id;               ///< engine
    LayerRange layers;         ///< range that it shall hold
    std::string reason;        ///< for logs
    bool dropsStreams = false; ///< need not wait for streams in layers that are given up

    bool operator==(const PlacementOrder &) const = default;
};

/// Weights of the planner.
struct PlacementTuning {
    /// Share of memory that layers take in calm times: of an engine that is employed or, where the usual streams are not
    /// known, of a group. What is left holds KV cache: at the loads given, streams at once need a third of a copy's memory.
    double layerShare = 0.62;
    /// Share of one engine's memory that layers may take when the range of a lost engine is shared out. What is left holds
    /// the KV cache of some tens of streams.
    double emergencyShare = 0.88;
    /// Cost of a full engine against that of loading one layer, when ranges are cut anew: an engine at twice the usual
    /// fill takes half as many streams, and with it the whole chain.
    double fillCost = 3;
    /// Cost of giving up a layer that nobody else holds, against that of loading one: chains that work break, and the engine
    /// takes new layers only when the streams that pass through it have ended, which takes as long as some twenty loads.
    double releaseCost = 5;
    /// The same for a layer that another engine holds: nothing breaks, but new layers still wait for the streams in it.
    double releaseSharedCost = 1;
};

/// Orders that bring the engines to the plan; empty if nothing needs to change.
std::vector<PlacementOrder> planPlacement(const EngineModel &model, const std::vector<PlacedEngine> &engines, const PlacementTuning &tuning = {});

/// Layers that no engine of the group of `dataCenter` holds; for status and tests.
std::vector<LayerRange> uncoveredLayers(const EngineModel &model, const std::vector<PlacedEngine> &engines, const std::string &dataCenter);

} // namespace Parsleytrail
