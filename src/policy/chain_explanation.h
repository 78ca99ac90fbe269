// Explains which chain a streamed request would get, and why.
//
//     const ChainExplanation explanation = explainChains(fleet, context, demand, limits, random);   // `random` is copied
//     if (explanation.selected) ... explanation.chains[*explanation.selected]
//
// The explanation repeats the selection with a copy of the random generator, so that it names the chain that the next request of this
// size gets, and changes nothing. Pure: randomness and time are passed in.
#pragma once

#include "policy/chain_selection.h"

#include <functional>
#include <optional>

namespace Parsleytrail
{

/// Limits that this entry shares with others, as far as the selection of a chain depends on them.
struct ChainLimits {
    bool hasCrossDataCenterBudget = false; ///< chains may span data centres if no data centre has a complete one
    int entries = 1;                       ///< entries that share the limits of requests a second that engines name
};

/// A stage of a chain.
struct ExplainedStage {
    ChainStage stage;       ///< engine and its layers
    std::string dataCenter; ///< data centre of the engine
    StageCost cost;         ///< its part of the chain's cost
    double backlogMs = 0;   ///< until the engine has processed the prompts it was sent; see prefillBacklogMs()
    double prefillMs = 0;   ///< processing this request's prompt; 0 if the forecast is off
};

/// The best chain of a data centre.
struct ExplainedChain {
    std::string dataCenter; ///< data centre of its first engine
    std::vector<ExplainedStage> stages;
    StageCost terms;                    ///< sums over all stages
    double cost = 0;                    ///< ms
    std::optional<double> firstEventMs; ///< forecast from sending the request to its first event; none if the forecast is off
    double crossDataCenterBytes = 0;    ///< activations that the request would send between data centres
};

/// An engine of the service that is left out of chains or of their start.
struct ExplainedObstacle {
    TargetId id;
    std::string dataCenter;
    LayerRange layers;
    EngineObstacle obstacle = EngineObstacle::None;
    bool isOnlyAsFirst = false;   ///< the engine is still used for later stages
    milliseconds timeLeft{0};     ///< until its backoff or pause is over; 0 if no time is set
    int openRequests = 0;         ///< of all entries
    int slots = 0;                ///< as registered
    double requestsPerSecond = 0; ///< limit that it names; 0: none
};

/// Chains and engines that a request could use now.
struct ChainExplanation {
    std::vector<ExplainedChain> chains;       ///< best chain of each data centre that has one
    std::optional<std::size_t> selected;      ///< index of the chain that the request would get; none: it would get none
    std::vector<ExplainedObstacle> obstacles; ///< engines that are not usable, and why; by id
    FleetFreeCapacity freeCapacity;           ///< of the data centres with usable engines
    bool allowsCrossDataCenter = false;       ///< chains across data centres were considered
};

/// A selection within one data centre by another policy than the cost.
struct StartSelection {
    std::vector<ChainStage> selected; ///< empty: there is none
    std::vector<RatedChain> chains;   ///< chains that were considered, with the costs of their stages
};
using SelectStartFunction = std::function<StartSelection(const ChainSelectionContext &, std::mt19937_64 &)>;

/// Explains the selection for a new request: its search skips first engines whose limit of requests a second is used up, and spans
/// data centres only if there is no other chain and a budget for it. `selectStart`, if set, replaces the selection by cost within data centres.
ChainExplanation explainChains(const Fleet &fleet, ChainSelectionContext context, const StreamDemand &demand, const ChainLimits &limits, std::mt19937_64 random,
                               const SelectStartFunction &selectStart = {});

/// Name of the obstacle in answers, for example "no-free-slot"; empty for EngineObstacle::None.
std::string_view toString(EngineObstacle obstacle);

} // namespace Parsleytrail
