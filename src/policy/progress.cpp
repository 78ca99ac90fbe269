#include "policy/progress.h"

#include <algorithm>
#include <cmath>

namespace Parsleytrail
{

constexpr double meanGain = 1.0 / 8;
constexpr double deviationGain = 1.0 / 4;

void noteTime(TimeEstimate &estimate, double seconds)
{
    if (estimate.meanSeconds == 0) {
        estimate = {seconds, seconds / 2};
        return;
    }
    const double error = seconds - estimate.meanSeconds;
    estimate.deviationSeconds += deviationGain * (std::abs(error) - estimate.deviationSeconds);
    estimate.meanSeconds += meanGain * error;
}

milliseconds overdueAfter(const TimeEstimate &estimate, milliseconds shortest, milliseconds longest)
{
    if (estimate.meanSeconds == 0) {
        return longest;
    }
    const double seconds = estimate.meanSeconds + 4 * estimate.deviationSeconds;
    const auto time = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
    return std::clamp(time, shortest, longest);
}

std::optional<std::uint32_t> blameStage(const std::vector<std::optional<StageProgress>> &stages)
{
    for (std::uint32_t i = 0; i < stages.size(); ++i) {
        if (!stages[i] || !stages[i]->isKnown) {
            return i;
        }
    }
    for (std::uint32_t i = 0; i < stages.size(); ++i) {
        if (stages[i]->applied < stages[i]->received) {
            return i;
        }
    }
    for (std::uint32_t i = 1; i < stages.size(); ++i) {
        if (stages[i]->received < stages[i - 1]->sent) {
            return i;
        }
    }
    return std::nullopt;
}

} // namespace Parsleytrail
