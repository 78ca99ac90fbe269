#include "policy/cross_data_center_budget.h"

#include <algorithm>

namespace Parsleytrail
{

TokenBucket makeCrossDataCenterBudget(const EngineModel &model, int entries)
{
    constexpr double bytesPerMbit = 1e6 / 8;
    TokenBucket budget;
    budget.perSecond = model.dataCenterLinkMbps * bytesPerMbit * linkUtilizationLimit / std::max(entries, 1);
    budget.burst = budget.perSecond * burstDuration.count();
    return budget;
}

bool hasCrossDataCenterBudget(TokenBucket &budget, TimePoint now)
{
    refill(budget, now);
    return budget.tokens > 0 || budget.perSecond <= 0;
}

void consumeCrossDataCenterBudget(TokenBucket &budget, double bytes)
{
    budget.tokens -= bytes;
}

double crossDataCenterBytes(const Fleet &fleet, const EngineModel &model, const std::vector<ChainStage> &chain, const StreamDemand &demand)
{
    int crossDataCenterHops = 0;
    for (std::size_t i = 1; i < chain.size(); ++i) {
        const Target *before = findTarget(fleet, chain[i - 1].id);
        const Target *after = findTarget(fleet, chain[i].id);
        crossDataCenterHops += before && after && before->registered.dataCenter != after->registered.dataCenter ? 1 : 0;
    }
    return crossDataCenterHops * (demand.promptTokens + demand.answerTokens) * model.activationBytes;
}

} // namespace Parsleytrail
