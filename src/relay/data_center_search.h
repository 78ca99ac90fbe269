// Chooses the data centre in which a stream starts, by the forecast of its first event.
//
// Collects the inputs of policy/data_center_choice.h from the state of this entry, keeps the choice's state in RelayContext, and logs
// and counts what it decides. Used by relay/chain_search.h.
#pragma once

#include "policy/chain_selection.h"
#include "policy/data_center_choice.h"
#include "relay/context.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace Parsleytrail
{

/// A chain to start a stream on.
struct StartChoice {
    std::vector<ChainStage> chain;      ///< empty: there is none
    std::optional<ChoiceInputs> inputs; ///< inputs of the choice; none if the data centre was not chosen by forecast
    Choice choice;                      ///< the choice by these inputs
};

/// Whether streams of the service are started by forecast: its model has the constants of one, and its engines are in more than one
/// data centre.
bool choosesDataCenter(const RelayContext &context, const ServiceSpec &service);
/// Selects a chain in one data centre: selectRatedChain(), or a function that draws the same random numbers and returns the same chain.
using SelectChainFunction =
    std::function<RatedChain(const Fleet &, const ChainSelectionContext &, const StreamDemand &, std::mt19937_64 &, const ChainTuning &)>;
/// Chooses the data centre of a stream and selects a chain within it. Draws random numbers, changes nothing else. `random` is
/// RelayContext::random, or a copy of it for an explanation.
StartChoice chooseStart(const RelayContext &context, std::mt19937_64 &random, const ServiceSpec &service, const ChainSelectionContext &selection,
                        const StreamDemand &demand, const SelectChainFunction &select = selectRatedChain);
/// Counts and logs the choice for a stream that starts.
void recordStart(RelayContext &context, const ServiceSpec &service, const StartChoice &start);
/// Records the first event of a stream, which came `waitMs` after the request was sent, without the backlog forecast at that time.
void recordFirstEventOf(RelayContext &context, const ServiceSpec &service, const std::vector<ChainStage> &chain, double waitMs);
/// Adapts the shares that leave and the rates between data centres. Called once a second.
void adaptDataCenterChoices(RelayContext &context);
/// Adds the state of the choices to the state dump.
void describeDataCenterChoices(const RelayContext &context, nlohmann::json &state);

} // namespace Parsleytrail
