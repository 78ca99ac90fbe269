#include "policy/cross_data_center_budget.h"

#include <algorithm>

namespace Parsleytrail
{

RateBudget makeCrossingBudget(const EngineModel &model, int entries)
{
    constexpr double bytesPerMbit = 1e6 / 8;
    RateBudget budget;
    budget.perSecond = model.pipeMbps * bytesPerMbit * pipeUse / std::max(entries, 1);
    budget.burst = budget.perSecond * longestSaving.count();
    return budget;
}

bool mayCross(RateBudget &budget, TimePoint now)
{
    refill(budget, now);
    return budget.tokens > 0 || budget.perSecond <= 0;
}

void noteCrossing(RateBudget &budget, double bytes)
{
    budget.tokens -= bytes;
}

double crossingBytes(const Fleet &fleet, const EngineModel &model, const std::vector<ChainPart> &chain, const StreamDemand &demand)
{
    int crossings = 0;
    for (std::size_t i = 1; i < chain.size(); ++i) {
        const Target *before = findTarget(fleet, chain[i - 1].id);
        const Target *after = findTarget(fleet, chain[i].id);
        crossings += before && after && before->listed.dataCenter != after->listed.dataCenter ? 1 : 0;
    }
    return crossings * (demand.promptTokens + demand.answerTokens) * model.activationBytes;
}

} // namespace Parsleytrail
