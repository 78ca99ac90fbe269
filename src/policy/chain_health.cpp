#include "policy/chain_health.h"

#include <algorithm>

namespace Parsleytrail
{

/// Whether `isAffected(target, stage)` holds for a stage behind the first one; `target` is null if the engine was removed.
template<typename Predicate>
static bool anyLaterStage(const Fleet &fleet, const std::vector<ChainStage> &chain, Predicate isAffected)
{
    return chain.size() > 1 && std::any_of(chain.begin() + 1, chain.end(), [&](const ChainStage &stage) {
               return isAffected(findTarget(fleet, stage.id), stage);
           });
}

bool hasFailedStage(const Fleet &fleet, const std::vector<ChainStage> &chain, TimePoint now)
{
    return anyLaterStage(fleet, chain, [now](const Target *target, const ChainStage &) {
        return !target || isFailing(*target, now);
    });
}

bool hasReleasedStage(const Fleet &fleet, const std::vector<ChainStage> &chain)
{
    return anyLaterStage(fleet, chain, [](const Target *target, const ChainStage &stage) {
        return target && !target->registered.layers.contains(stage.layers);
    });
}

bool hasDrainingStage(const Fleet &fleet, const std::vector<ChainStage> &chain)
{
    return anyLaterStage(fleet, chain, [](const Target *target, const ChainStage &) {
        return !target || isLeaving(*target);
    });
}

} // namespace Parsleytrail
