#include "policy/silence.h"

#include <algorithm>
#include <cmath>

namespace Parsleytrail
{

/// Weights of a new sample, as in RFC 6298.
constexpr double averageWeight = 1.0 / 8;
constexpr double deviationWeight = 1.0 / 4;

void recordDelay(DelayEstimate &estimate, milliseconds delay)
{
    const double ms = std::max<double>(0, static_cast<double>(delay.count()));
    if (!estimate.hasSamples) {
        estimate = {ms, ms / 2, true};
        return;
    }
    estimate.deviationMs += deviationWeight * (std::abs(ms - estimate.averageMs) - estimate.deviationMs);
    estimate.averageMs += averageWeight * (ms - estimate.averageMs);
}

milliseconds firstEventTimeout(const DelayEstimate &firstEvents, const FirstEventTuning &tuning)
{
    if (!firstEvents.hasSamples) {
        return tuning.unknownTimeout;
    }
    const double ms = firstEvents.averageMs + tuning.deviations * firstEvents.deviationMs;
    return std::clamp(milliseconds(static_cast<std::int64_t>(ms)), tuning.minTimeout, tuning.maxTimeout);
}

bool isFirstEngineSilent(const FirstEventWait &wait, const DelayEstimate &firstEvents, TimePoint now, const FirstEventTuning &tuning)
{
    const bool hasBegunOthers = wait.engineLastBegunAt >= wait.since;
    return !hasBegunOthers && now - wait.since >= firstEventTimeout(firstEvents, tuning);
}

} // namespace Parsleytrail
