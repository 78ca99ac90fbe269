#include "relay/context.h"

#include "base/log.h"
#include "policy/cross_data_center_budget.h"

#include <algorithm>

namespace Parsleytrail
{

static SharedBudgetTerms retryTerms(const RelayContext &context)
{
    SharedBudgetTerms terms;
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
    RetryBudget budget = makeRetryPart(retryTerms(context), entriesToShareWith(context.entryCount, context.clock.now()));
    if (context.hasRetryPart) {
        grantRetryPart(budget);
    }
    return context.retryBudgets.emplace(service, budget).first->second;
}

void noteHeardEntries(RelayContext &context, int heard)
{
    context.entryCount.mostHeard = std::max(context.entryCount.mostHeard, heard);
}

void updateBudgetParts(RelayContext &context)
{
    const TimePoint now = context.clock.now();
    const SharedBudgetTerms terms = retryTerms(context);
    const bool isGranted = !context.hasRetryPart && now - context.entryCount.startedAt >= terms.window;
    context.hasRetryPart = context.hasRetryPart || isGranted;
    for (auto &[service, budget] : context.retryBudgets) {
        resizeRetryPart(budget, terms, entriesToShareWith(context.entryCount, now));
        if (isGranted) {
            grantRetryPart(budget);
        }
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
    const RateBudget newest = makeCrossDataCenterBudget(*service.engine, entriesToShareWith(context.entryCount, context.clock.now()));
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
    recordFailure(*target, now);
    // A request sent to a dead engine stalls with its whole chain; a question costs next to nothing.
    target->needsProbe = !target->registered.accelerator.empty();
    if (target->needsProbe && target->failuresInRow == 1) {
        // One reset may be a lost answer of an engine that works: it is back as soon as it answers a question. Without it
        // the first engine of a data centre's only chain would be avoided, and the chain with it, after each lost answer.
        target->avoidUntil = now;
    }
    context.connections.drop(target->registered.address);
    if (isNew) {
        logEvent(Event::TargetAvoided, {{"target", id.value},
                                        {"address", target->registered.address.toString()},
                                        {"reason", std::string(reason)},
                                        {"failures", std::to_string(target->failuresInRow)}});
    }
}

} // namespace Parsleytrail
