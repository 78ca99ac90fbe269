#include "relay/chain_search.h"

#include "policy/cross_data_center_budget.h"
#include "relay/data_center_search.h"

namespace Parsleytrail
{

/// Selects a chain within one data centre: by forecast where there is one, otherwise by cost.
static StartChoice findChainInDataCenter(RelayContext &context, const ServiceSpec &service, const ChainSelectionContext &selection, const StreamDemand &demand)
{
    if (choosesDataCenter(context, service)) {
        return chooseStart(context, context.random, service, selection, demand);
    }
    ChainTuning tuning;
    tuning.allowsCrossDataCenter = false;
    StartChoice start;
    start.chain = selectChain(context.fleet, selection, demand, context.random, tuning);
    return start;
}

static StartChoice findStart(RelayContext &context, const ServiceSpec &service, const ChainSelectionContext &selection, const StreamDemand &demand)
{
    StartChoice start = findChainInDataCenter(context, service, selection, demand);
    if (start.chain.empty() && hasCrossDataCenterBudget(crossDataCenterBudget(context, service), selection.now)) {
        start.chain = selectChain(context.fleet, selection, demand, context.random);
    }
    return start;
}

std::vector<ChainStage> findChain(RelayContext &context, const ServiceSpec &service, const ChainSelectionContext &selection, const StreamDemand &demand)
{
    return findStart(context, service, selection, demand).chain;
}

std::vector<ChainStage> findAdmittedChain(RelayContext &context, const ServiceSpec &service, ChainSelectionContext selection, const StreamDemand &demand)
{
    for (;;) {
        const StartChoice start = findStart(context, service, selection, demand);
        Target *first = start.chain.empty() ? nullptr : findTarget(context.fleet, start.chain.front().id);
        if (!first || admitRequest(context, *first)) {
            recordStart(context, service, start);
            return start.chain;
        }
        selection.excludedAsFirst.insert(start.chain.front().id);
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
