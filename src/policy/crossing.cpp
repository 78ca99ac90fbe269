#include "policy/crossing.h"

#include <algorithm>

namespace Parsleytrail
{

CrossingBudget makeCrossingBudget(const EngineModel &model, int entries)
{
    constexpr double bytesPerMbit = 1e6 / 8;
    CrossingBudget budget;
    budget.bytesPerSecond = model.pipeMbps * bytesPerMbit * pipeUse / std::max(entries, 1);
    return budget;
}

bool mayCross(CrossingBudget &budget, TimePoint now)
{
    const std::chrono::duration<double> passed = budget.filledAt == TimePoint() ? longestSaving : now - budget.filledAt;
    budget.bytes = std::min(budget.bytes + passed.count() * budget.bytesPerSecond, longestSaving.count() * budget.bytesPerSecond);
    budget.filledAt = now;
    return budget.bytes > 0 || budget.bytesPerSecond <= 0;
}

void noteCrossing(CrossingBudget &budget, double bytes)
{
    budget.bytes -= bytes;
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
