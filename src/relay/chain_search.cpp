#include "relay/chain_search.h"

#include "policy/cross_data_center_budget.h"

namespace Parsleytrail
{

std::vector<ChainStage> findChain(RelayContext &context, const ServiceSpec &service, const ChainSelectionContext &selection, const StreamDemand &demand)
{
    ChainTuning tuning;
    tuning.allowsCrossDataCenter = false;
    std::vector<ChainStage> chain = selectChain(context.fleet, selection, demand, context.random, tuning);
    if (chain.empty() && hasCrossDataCenterBudget(crossDataCenterBudget(context, service), selection.now)) {
        tuning.allowsCrossDataCenter = true;
        chain = selectChain(context.fleet, selection, demand, context.random, tuning);
    }
    return chain;
}

std::vector<ChainStage> findAdmittedChain(RelayContext &context, const ServiceSpec &service, ChainSelectionContext selection, const StreamDemand &demand)
{
    for (;;) {
        std::vector<ChainStage> chain = findChain(context, service, selection, demand);
        Target *first = chain.empty() ? nullptr : findTarget(context.fleet, chain.front().id);
        if (!first || admitRequest(context, *first)) {
            return chain;
        }
        selection.excludedAsFirst.insert(chain.front().id);
    }
}

std::vector<ChainStage> findUnlimitedChain(RelayContext &context, const ServiceSpec &service, ChainSelectionContext selection, const StreamDemand &demand)
{
    for (const auto &[id, target] : context.fleet.targets) {
        if (limitInForce(target.demand, selection.now) > 0) {
            selection.excludedAsFirst.insert(id);
        }
    }
    return findChain(context, service, selection, demand);
}

bool hasUnlimitedChain(RelayContext &context, const ServiceSpec &service, ChainSelectionContext selection, const StreamDemand &demand)
{
    return !findUnlimitedChain(context, service, std::move(selection), demand).empty();
}

} // namespace Parsleytrail
