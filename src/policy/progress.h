// Noticing that a stream stands still, and finding the stage at fault.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Parsleytrail
{

/// Smoothed mean and deviation of a time, as TCP keeps them for its retransmission timer (RFC 6298).
struct TimeEstimate {
    double meanSeconds = 0;      ///< 0: nothing seen
    double deviationSeconds = 0; ///< mean deviation
};
void recordTime(TimeEstimate &estimate, double seconds);
/// Time after which something is overdue: mean + 4 deviations, within [shortest, longest]; `longest` while nothing was seen.
milliseconds adaptiveTimeout(const TimeEstimate &estimate, milliseconds shortest, milliseconds longest);

/// Time for which this process stood still before a tick, beyond what ticks every `interval` may be late; zero before the
/// first tick. What others sent meanwhile waits to be read, so that it is no sign of their silence.
milliseconds processPauseBefore(TimePoint lastTick, TimePoint now, milliseconds interval);
/// When something was last heard, with such a time not counted; never later than now.
TimePoint creditProcessPause(TimePoint lastReceivedAt, milliseconds stall, TimePoint now);

/// Progress of one stage; nothing if it did not answer.
struct StageProgress {
    std::uint32_t received = 0;  ///< positions received
    std::uint32_t applied = 0;   ///< positions applied by the engine
    std::uint32_t sent = 0;      ///< positions passed on
    bool isKnown = true;         ///< false: the sidecar does not know the stream
    bool isEngineMoving = false; ///< its engine ends steps: inputs that are not applied wait for their turn
};

/// What speaks against a stage.
enum class StageFault { NoAnswer, StreamUnknown, InputsNotApplied, InputsNotReceived };
const char *toString(StageFault fault);

/// The stage to replace, and why.
struct StageDiagnosis {
    std::uint32_t stage = 0;                 ///< its place in the chain
    StageFault fault = StageFault::NoAnswer; ///< what speaks against it
};

/// The stage to replace, or nothing if all have done what they could.
///
/// The first stage that did not answer or lost the stream is at fault; otherwise the first whose engine holds inputs
/// that it has not applied and ends no steps; otherwise the first that has not received what the stage before it has sent.
std::optional<StageDiagnosis> findFaultyStage(const std::vector<std::optional<StageProgress>> &stages);

/// What to do about a stream that stands still.
enum class StallAction {
    Wait,    ///< nothing yet: it is asked about again if it goes on standing still
    Renew,   ///< a new attempt on the same chain, so that each stage asks for what it lacks
    Replace, ///< the blamed stage
};
struct StallDecision {
    StallAction action = StallAction::Wait; ///< what to do
    StageDiagnosis diagnosis;               ///< for Replace
};

/// Judges a stream that stands still by its stages' answers. `idleQueries` counts questions in a row about it that found
/// nobody at fault and no engine at work; it is set back with each replacement here, and by the caller with each token.
StallDecision decideStallAction(const std::vector<std::optional<StageProgress>> &stages, std::uint32_t &inconclusiveQueries);

constexpr std::uint32_t inconclusiveQueriesToRenew = 2; ///< one may have been asked at a bad moment

} // namespace Parsleytrail
