// Decides which layers each engine holds.
//
// Each group of engines is planned by itself: a data centre with enough memory for the full model is a group of its own, so
// that activations stay inside it; the engines of all other data centres form one group. Engines keep the layers that they
// hold if possible: loading takes seconds, and memory used for layers is not available for KV cache.
//
// Pure: equal inputs give equal plans on every entry.
#pragma once

#include "policy/fleet.h"
#include "policy/routes.h"

#include <string>
#include <vector>

namespace Parsleytrail
{

/// The planner's view of an engine.
struct PlacedEngine {
    TargetId id;                  ///< id of the engine, used in orders
    std::string dataCenter;       ///< data centre of the engine
    std::string kind;             ///< kind of accelerator
    LayerRange layers;            ///< layers of the pending order, else layers held; empty: none
    bool hasPendingOrder = false; ///< an order is in progress: accepts no other until it is done
    bool isNew = false;           ///< recently added: stays idle for the layers of an engine that it may replace
    bool isLeaving = false;       ///< draining, refusing work or unreachable: its layers are about to be lost
    bool isUnreachable = false;   ///< doesn't respond: its layers serve no requests
};

/// A new layer range for an engine.
struct PlacementOrder {
    TargetId id;               ///< id of the engine
    LayerRange layers;         ///< range to hold
    std::string reason;        ///< reason of the order, for logs
    bool dropsStreams = false; ///< the engine doesn't wait for streams in the layers that it releases

    bool operator==(const PlacementOrder &) const = default;
};

/// Limits and costs of the planner.
struct PlacementTuning {
    /// Share of memory that layers normally take: of an engine that is repartitioned or, if the size of typical requests is not
    /// configured, of a group. The remainder holds KV cache: at the given loads, concurrent streams need a third of the memory of
    /// a copy of the model.
    double layerShare = 0.62;
    /// Share of one engine's memory that layers may take when idle engines are assigned or a lost range is redistributed. The
    /// remainder holds the KV cache of some tens of streams.
    double emergencyShare = 0.88;
    /// Cost of an engine at its normal fill, relative to loading one layer, when ranges are repartitioned; grows with the fourth
    /// power of the fill. An engine at twice the normal fill runs half as many streams, and so does the entire chain.
    double fillCost = 3;
    /// Cost of releasing a layer that no other engine holds, relative to loading one: working chains break, and the engine loads
    /// new layers only after the streams that pass through it have ended, which takes as long as about twenty loads.
    double releaseCost = 5;
    /// Cost of releasing a layer that another engine holds too: no chain breaks, but new layers still wait for its streams.
    double releaseSharedCost = 1;
};

/// Orders that lead to the planned placement; empty if nothing needs to change.
std::vector<PlacementOrder> planPlacement(const EngineModel &model, const std::vector<PlacedEngine> &engines, const PlacementTuning &tuning = {});

/// Layers that no engine of `dataCenter` holds, leaving engines not counted; for status and tests.
std::vector<LayerRange> uncoveredLayers(const EngineModel &model, const std::vector<PlacedEngine> &engines, const std::string &dataCenter);

} // namespace Parsleytrail
