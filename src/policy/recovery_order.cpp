#include "policy/recovery_order.h"

#include "policy/prefill_forecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace Parsleytrail
{

std::vector<std::size_t> recoveryOrder(const std::vector<LostStream> &batch)
{
    const auto keyOf = [&batch](std::size_t index) {
        const LostStream &stream = batch[index];
        return stream.hasPriorities ? std::tuple(true, stream.priority, stream.msLeft) : std::tuple(false, 0, 0.0);
    };
    std::vector<std::size_t> order(batch.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(), [&keyOf](std::size_t left, std::size_t right) {
        return keyOf(left) < keyOf(right);
    });
    return order;
}

double moveDelayMs(const std::vector<StagePrefill> &stages, double multiplier)
{
    const double streamsProcessed = (std::max(1.0, multiplier) + 1) / 2;
    double delayMs = 0;
    for (const StagePrefill &stage : stages) {
        delayMs = std::max(delayMs, stage.backlogMs) + stage.prefillMs * streamsProcessed;
    }
    return delayMs;
}

const char *toString(RecoveryAction action)
{
    switch (action) {
    case RecoveryAction::Move:
        return "move";
    case RecoveryAction::Restart:
        return "restart";
    case RecoveryAction::GiveWay:
        return "give-way";
    }
    return "unknown";
}

RecoveryAction chooseRecovery(const RecoveryForecast &forecast)
{
    if (forecast.moveMs <= forecast.msLeft) {
        return RecoveryAction::Move;
    }
    return forecast.restartMs <= forecast.msLeft ? RecoveryAction::Restart : RecoveryAction::GiveWay;
}

TimePoint giveWayUntil(TimePoint now, TimePoint lastEventAt, milliseconds targetGap)
{
    return std::max(now, std::min(now + targetGap, lastEventAt + maxGiveWayPause));
}

bool isGiveWayOver(TimePoint until, double backlogMs, TimePoint now)
{
    return now >= until || backlogMs < static_cast<double>(givenWayBacklog.count());
}

bool mayConsumeRetry(const RetryBudget &budget, bool hasMoreUrgentStreams)
{
    const double reserved = hasMoreUrgentStreams ? std::floor(budget.burst / 2) : 0;
    return budget.available >= reserved + 1;
}

double rememberedMultiplier(LostEngines &engines, const Fleet &fleet, const TargetId &lost, TimePoint now)
{
    std::erase_if(engines.losses, [now](const auto &entry) {
        return now - entry.second.lostAt >= lossMemory;
    });
    const auto known = engines.losses.find(lost);
    if (known != engines.losses.end()) {
        return known->second.multiplier;
    }
    const Target *target = findTarget(fleet, lost);
    const double multiplier = target ? recoveryMultiplier(*target) : 1;
    engines.losses[lost] = {multiplier, now};
    return multiplier;
}

} // namespace Parsleytrail
