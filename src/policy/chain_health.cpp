#include "policy/chain_health.h"

namespace Parsleytrail
{

/// The first stage behind the first one of the chain for which `isAffected(target, stage)` holds; `target` is null if the engine was
/// removed.
template<typename Predicate>
static const ChainStage *findLaterStage(const Fleet &fleet, const std::vector<ChainStage> &chain, Predicate isAffected)
{
    for (std::size_t i = 1; i < chain.size(); ++i) {
        if (isAffected(findTarget(fleet, chain[i].id), chain[i])) {
            return &chain[i];
        }
    }
    return nullptr;
}

const ChainStage *findFailedStage(const Fleet &fleet, const std::vector<ChainStage> &chain, TimePoint now)
{
    return findLaterStage(fleet, chain, [now](const Target *target, const ChainStage &) {
        return !target || isFailing(*target, now);
    });
}

bool hasFailedStage(const Fleet &fleet, const std::vector<ChainStage> &chain, TimePoint now)
{
    return findFailedStage(fleet, chain, now) != nullptr;
}

bool hasReleasedStage(const Fleet &fleet, const std::vector<ChainStage> &chain)
{
    return findLaterStage(fleet, chain,
                          [](const Target *target, const ChainStage &stage) {
                              return target && !target->registered.layers.contains(stage.layers);
                          })
           != nullptr;
}

bool hasDrainingStage(const Fleet &fleet, const std::vector<ChainStage> &chain)
{
    return findLaterStage(fleet, chain,
                          [](const Target *target, const ChainStage &) {
                              return !target || isLeaving(*target);
                          })
           != nullptr;
}

} // namespace Parsleytrail
