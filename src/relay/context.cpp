#include "relay/context.h"

#include "base/log.h"
#include "policy/crossing.h"

#include <algorithm>

namespace Parsleytrail
{

/// Part of the platform's bound that is used: entries do not coordinate, and one that restarts begins with a full budget.
constexpr double budgetUse = 0.85;

static RetryBudget &budgetOf(RelayContext &context, const ServiceName &service)
{
    const auto it = context.retryBudgets.find(service);
    if (it != context.retryBudgets.end()) {
        return it->second;
    }
    RetryBudget budget;
    budget.share = context.settings.retryShare * budgetUse;
    budget.burst = context.settings.retryBurst * budgetUse / context.liveEntries;
    budget.saved = budget.burst;
    return context.retryBudgets.emplace(service, budget).first->second;
}

void setLiveEntries(RelayContext &context, int entries)
{
    // Entries that are gone may be back, or only cut off from this one: their part of the budget stays theirs.
    if (entries <= context.liveEntries) {
        return;
    }
    context.liveEntries = entries;
    for (auto &[service, budget] : context.retryBudgets) {
        budget.burst = context.settings.retryBurst * budgetUse / entries;
        budget.saved = std::min(budget.saved, budget.burst);
    }
}

bool tryRetry(RelayContext &context, const ServiceName &service)
{
    return tryRetry(budgetOf(context, service));
}

bool hasRetry(RelayContext &context, const ServiceName &service)
{
    return budgetOf(context, service).saved >= 1;
}

bool hasSpareRetries(RelayContext &context, const ServiceName &service)
{
    const RetryBudget &budget = budgetOf(context, service);
    return budget.saved > budget.burst / 2;
}

void noteRequest(RelayContext &context, const ServiceName &service)
{
    noteRequest(budgetOf(context, service));
}

RateBudget &crossingBudget(RelayContext &context, const ServiceSpec &service)
{
    const RateBudget newest = makeCrossingBudget(*service.engine, context.liveEntries);
    RateBudget &budget = context.crossingBudgets[service.name];
    budget.perSecond = newest.perSecond;
    budget.burst = newest.burst;
    return budget;
}

void avoidTarget(RelayContext &context, const TargetId &id, std::string_view reason)
{
    Target *target = findTarget(context.fleet, id);
    if (!target) {
        return;
    }
    const TimePoint now = context.clock.now();
    const bool isNew = isUsable(*target, now);
    noteFailure(*target, now);
    // A request sent to a dead engine stalls with its whole chain; a question costs next to nothing.
    target->needsProbe = !target->listed.accelerator.empty();
    if (target->needsProbe && target->failuresInRow == 1) {
        // One reset may be a lost answer of an engine that works: it is back as soon as it answers a question. Without it
        // the first engine of a data centre's only chain would be avoided, and the chain with it, after each lost answer.
        target->avoidUntil = now;
    }
    context.connections.drop(target->listed.address);
    if (isNew) {
        logEvent(Event::TargetAvoided, {{"target", id.value},
                                        {"address", target->listed.address.toString()},
                                        {"reason", std::string(reason)},
                                        {"failures", std::to_string(target->failuresInRow)}});
    }
}

} // namespace Parsleytrail
