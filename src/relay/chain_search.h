// Searches for chains of engines with the budgets and limits that this entry shares with others.
//
// policy/chain_selection.h selects the best chain by cost and free capacity; here the search is limited by this entry's share of the links
// between data centres, and by the limits of requests a second that first engines name.
#pragma once

#include "policy/chain_selection.h"
#include "relay/context.h"

#include <vector>

namespace Parsleytrail
{

/// Selects a chain within one data centre. If there is none, selects one across data centres, provided that the budget for
/// traffic between them allows it. Empty if there is none.
std::vector<ChainStage> findChain(RelayContext &context, const ServiceSpec &service, const ChainSelectionContext &selection, const StreamDemand &demand);
/// Selects a chain whose first engine takes the request under the limit of requests a second that it may have named. Counts the request
/// as wanted at the engines that don't.
std::vector<ChainStage> findAdmittedChain(RelayContext &context, const ServiceSpec &service, ChainSelectionContext selection, const StreamDemand &demand);
/// Selects a chain whose first engine names no limit. Unlike findAdmittedChain(), this does not count the request as wanted.
std::vector<ChainStage> findUnlimitedChain(RelayContext &context, const ServiceSpec &service, ChainSelectionContext selection, const StreamDemand &demand);
/// Whether there is such a chain.
bool hasUnlimitedChain(RelayContext &context, const ServiceSpec &service, ChainSelectionContext selection, const StreamDemand &demand);

} // namespace Parsleytrail
