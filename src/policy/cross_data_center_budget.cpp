#include "policy/cross_data_center_budget.h"

#include <algorithm>

namespace Parsleytrail
{

TokenBucket makeCrossDataCenterBudget(const EngineModel &model, double share)
{
    constexpr double bytesPerMbit = 1e6 / 8;
    TokenBucket budget;
    budget.perSecond = model.dataCenterLinkMbps * bytesPerMbit * linkUtilizationLimit * share;
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

void recordCrossDataCenterGap(ObservedLink &link, double gapMs, milliseconds targetGap)
{
    if (targetGap <= milliseconds(0)) {
        return;
    }
    link.gapRatioSum += gapMs / static_cast<double>(targetGap.count());
    ++link.gaps;
}

bool adaptLinkRate(ObservedLink &link)
{
    const double before = link.rateFactor;
    link.lastGapRatio = link.gaps > 0 ? link.gapRatioSum / link.gaps : 0;
    const bool isOverloaded = link.lastGapRatio > overloadedGapRatio;
    link.rateFactor = isOverloaded ? std::max(minLinkRateFactor, before * linkRateDecay) : std::min(1.0, before + linkRateGrowth);
    link.gapRatioSum = 0;
    link.gaps = 0;
    return link.rateFactor != before;
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
