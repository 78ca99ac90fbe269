#include "relay/context.h"

#include "base/log.h"
#include "policy/crossing.h"

#include <algorithm>

namespace Parsleytrail
{

static SharedBudgetLimits retryTerms(const RelayContext &context)
{
    SharedBudgetLimits terms;
    terms.share = context.settings.retryShare;
    terms.burst = context.settings.retryBurst;
    terms.window = std::chrono::duration_cast<std::chrono::seconds>(context.settings.retryWindow);
    return terms;
}

static RetryBudget &budgetOf(RelayContext &context, const ServiceName &service)
{
    const auto it = context.retryBudgets.find(service);
    if (it != context.retryBudgets.end()) {
        return it->second;
    }
    RetryBudget budget = makeRetryBudget(retryTerms(context), entriesToShareWith(context.entryCount, context.clock.now()));
    if (context.hasRetryPart) {
        grantRetryBurst(budget);
    }
    return context.retryBudgets.emplace(service, budget).first->second;
}

void noteHeardEntries(RelayContext &context, int heard)
{
    context.entryCount.mostPeersSeen = std::max(context.entryCount.mostPeersSeen, heard);
}

void updateBudgetParts(RelayContext &context)
{
    const TimePoint now = context.clock.now();
    const SharedBudgetLimits terms = retryTerms(context);
    const bool isGranted = !context.hasRetryPart && now - context.entryCount.startedAt >= terms.window;
    context.hasRetryPart = context.hasRetryPart || isGranted;
    for (auto &[service, budget] : context.retryBudgets) {
        resizeRetryBudget(budget, terms, entriesToShareWith(context.entryCount, now));
        if (isGranted) {
            grantRetryBurst(budget);
        }
    }
}

bool tryRetry(RelayContext &context, const ServiceName &service)
{
    return tryConsumeRetry(budgetOf(context, service));
}

bool hasRetry(RelayContext &context, const ServiceName &service)
{
    return budgetOf(context, service).available >= 1;
}

bool hasSpareRetries(RelayContext &context, const ServiceName &service)
{
    const RetryBudget &budget = budgetOf(context, service);
    return budget.available > budget.burst / 2;
}

void noteRequest(RelayContext &context, const ServiceName &service)
{
    recordRequest(budgetOf(context, service));
}

TokenBucket &crossingBudget(RelayContext &context, const ServiceSpec &service)
{
    const TokenBucket newest = makeCrossingBudget(*service.engine, entriesToShareWith(context.entryCount, context.clock.now()));
    TokenBucket &budget = context.crossingBudgets[service.name];
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
