#include "policy/progress.h"

#include <algorithm>
#include <cmath>

namespace Parsleytrail
{

constexpr double meanGain = 1.0 / 8;      ///< alpha of RFC 6298
constexpr double deviationGain = 1.0 / 4; ///< beta of RFC 6298

void recordTime(TimeEstimate &estimate, double seconds)
{
    if (estimate.meanSeconds == 0) {
        estimate = {seconds, seconds / 2};
        return;
    }
    const double error = seconds - estimate.meanSeconds;
    estimate.deviationSeconds += deviationGain * (std::abs(error) - estimate.deviationSeconds);
    estimate.meanSeconds += meanGain * error;
}

milliseconds adaptiveTimeout(const TimeEstimate &estimate, milliseconds shortest, milliseconds longest)
{
    if (estimate.meanSeconds == 0) {
        return longest;
    }
    const double seconds = estimate.meanSeconds + 4 * estimate.deviationSeconds;
    const auto time = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
    return std::clamp(time, shortest, longest);
}

milliseconds processPauseBefore(TimePoint lastTick, TimePoint now, milliseconds interval)
{
    if (lastTick == TimePoint{}) {
        return milliseconds(0);
    }
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - lastTick) - 2 * interval);
}

TimePoint creditProcessPause(TimePoint lastReceivedAt, milliseconds pause, TimePoint now)
{
    return std::min(lastReceivedAt + pause, now);
}

const char *toString(StageFault fault)
{
    switch (fault) {
    case StageFault::NoAnswer:
        return "did not answer";
    case StageFault::StreamUnknown:
        return "stream unknown";
    case StageFault::InputsNotApplied:
        return "inputs not applied";
    case StageFault::InputsNotReceived:
        return "inputs not received";
    }
    return "unknown";
}

static bool hasPendingInputs(const StageProgress &stage)
{
    return stage.applied < stage.received;
}

std::optional<StageDiagnosis> findFaultyStage(const std::vector<std::optional<StageProgress>> &stages)
{
    for (std::uint32_t i = 0; i < stages.size(); ++i) {
        if (!stages[i] || !stages[i]->isKnown) {
            return StageDiagnosis{i, stages[i] ? StageFault::StreamUnknown : StageFault::NoAnswer};
        }
    }
    for (std::uint32_t i = 0; i < stages.size(); ++i) {
        // Under load, inputs may be queued behind many other streams. If that counted as a fault, a busy engine's streams
        // would move to the next engine, which would become slower and lose its streams too, until no engine is left. An
        // engine that hangs completes no steps.
        if (hasPendingInputs(*stages[i]) && !stages[i]->isEngineMoving) {
            return StageDiagnosis{i, StageFault::InputsNotApplied};
        }
    }
    for (std::uint32_t i = 1; i < stages.size(); ++i) {
        if (stages[i]->received < stages[i - 1]->sent) {
            return StageDiagnosis{i, StageFault::InputsNotReceived};
        }
    }
    return std::nullopt;
}

/// Whether inputs of the stream are queued at an engine that completes steps: the stream then waits for that engine, not for a
/// lost frame.
static bool isQueuedAtEngine(const std::vector<std::optional<StageProgress>> &stages)
{
    return std::any_of(stages.begin(), stages.end(), [](const std::optional<StageProgress> &stage) {
        return stage && hasPendingInputs(*stage) && stage->isEngineMoving;
    });
}

StallDecision decideStallAction(const std::vector<std::optional<StageProgress>> &stages, std::uint32_t &inconclusiveQueries)
{
    const std::optional<StageDiagnosis> diagnosis = findFaultyStage(stages);
    // Stages report at different times, so that a frame in transit between two of them looks lost. Only one that is really
    // lost still looks so in a second query and after a new attempt on the same chain.
    const bool isFrameMissing = diagnosis && diagnosis->fault == StageFault::InputsNotReceived;
    const bool mayBeInTransit = isFrameMissing && inconclusiveQueries < inconclusiveQueriesToRenew;
    if (diagnosis && !mayBeInTransit) {
        inconclusiveQueries = 0;
        return {StallAction::Replace, *diagnosis};
    }
    if (!diagnosis && isQueuedAtEngine(stages)) {
        return {StallAction::Wait, {}};
    }
    ++inconclusiveQueries;
    if (inconclusiveQueries < inconclusiveQueriesToRenew) {
        return {StallAction::Wait, {}};
    }
    // Either all stages wait for each other, or a frame was lost together with its link.
    if (!isFrameMissing) {
        inconclusiveQueries = 0;
    }
    return {StallAction::Renew, {}};
}

} // namespace Parsleytrail
