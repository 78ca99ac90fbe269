#include "policy/target.h"

#include "base/digest.h"

#include <algorithm>

namespace Parsleytrail
{

std::uint64_t targetKeyOf(const TargetId &target, Incarnation incarnation)
{
    return hash64(target.value, incarnation.value);
}

bool acceptsNewWork(const TargetView &target, TimePoint now)
{
    const bool isReady = target.last.state == TargetState::Ready;
    return isReady && !target.isTimedOut && !target.isLeaving && now >= target.ejectedUntil;
}

double expectedMicros(const TargetView &target, TimePoint now)
{
    const double step = target.last.stepMicros > 0 ? target.last.stepMicros : defaultStepMicros;
    // The report is up to one announcement interval old and may lack what this entry opened since, so its own count is the
    // lower bound.
    const double open = std::max(target.last.streams, target.localOpenCount);
    // A target that has just joined has an empty queue and looks best to every entry at once. Without the ramp-up, all of
    // them would send their next requests there.
    const std::chrono::duration<double> age = now - target.joinedAt;
    const double ramp = std::clamp(age / std::chrono::duration<double>(rampUpTime), 0.2, 1.0);
    return step * (1 + open + target.last.queued) / ramp;
}

void recordTargetFailure(TargetView &target, TimePoint now, std::size_t ejected, std::size_t alive)
{
    ++target.consecutiveFailures;
    const bool wouldLeaveTooFew = (ejected + 1) * 2 > alive;
    if (wouldLeaveTooFew) {
        return;
    }
    const auto doublings = std::min<std::uint32_t>(target.consecutiveFailures - 1, 5);
    target.ejectedUntil = now + std::min(baseEjectionTime * (1 << doublings), maxEjectionTime);
}

void recordTargetSuccess(TargetView &target)
{
    target.consecutiveFailures = 0;
}

} // namespace Parsleytrail
