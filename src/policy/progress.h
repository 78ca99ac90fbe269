// Adaptive timeouts, detection of stalled streams and diagnosis of the faulty stage.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Parsleytrail
{

/// Smoothed mean and mean deviation of a duration, as in TCP's retransmission timer (RFC 6298).
struct TimeEstimate {
    double meanSeconds = 0;      ///< 0: no sample yet
    double deviationSeconds = 0; ///< smoothed mean deviation
};
/// Adds a sample.
void recordTime(TimeEstimate &estimate, double seconds);
/// Timeout derived from the samples: mean + 4 deviations, clamped to [shortest, longest]; `longest` while there is no sample.
milliseconds adaptiveTimeout(const TimeEstimate &estimate, milliseconds shortest, milliseconds longest);

/// Time for which this process was paused or its loop was blocked before a tick: the time since the last tick beyond two
/// intervals; zero before the first tick. Messages that arrived meanwhile are still unread, so that the time must not count
/// towards the timeouts of their senders.
milliseconds processPauseBefore(TimePoint lastTick, TimePoint now, milliseconds interval);
/// Moves a time of last reception forward by such a pause, but never past `now`.
TimePoint creditProcessPause(TimePoint lastReceivedAt, milliseconds pause, TimePoint now);

/// Progress of one stage, as its sidecar reported it.
struct StageProgress {
    std::uint32_t received = 0;  ///< positions received
    std::uint32_t applied = 0;   ///< positions applied by the engine
    std::uint32_t sent = 0;      ///< positions whose results were sent to the next stage
    bool isKnown = true;         ///< false: the sidecar does not hold the stream
    bool isEngineMoving = false; ///< its engine completes steps: unapplied inputs are only queued
};

/// Why a stage is considered faulty.
enum class StageFault { NoAnswer, StreamUnknown, InputsNotApplied, InputsNotReceived };
const char *toString(StageFault fault);

/// The stage to replace, and why.
struct StageDiagnosis {
    std::uint32_t stage = 0;                 ///< index in the chain
    StageFault fault = StageFault::NoAnswer; ///< why
};

/// Finds the stage to replace; nothing if no stage is at fault. A missing report means that the stage did not answer.
///
/// At fault is the first stage that did not answer or does not hold the stream; otherwise the first that has unapplied inputs
/// while its engine completes no steps; otherwise the first that has not received all that the preceding stage has sent.
std::optional<StageDiagnosis> findFaultyStage(const std::vector<std::optional<StageProgress>> &stages);

/// What to do about a stalled stream.
enum class StallAction {
    Wait,    ///< do nothing yet; the stages are queried again if the stream stays stalled
    Renew,   ///< start a new attempt on the same chain, in which each stage requests the inputs that it lacks
    Replace, ///< replace the stage that the diagnosis names
};
struct StallDecision {
    StallAction action = StallAction::Wait; ///< step to take
    StageDiagnosis diagnosis;               ///< valid for Replace only
};

/// Decides what to do about a stalled stream from its stages' reports. `inconclusiveQueries` counts queries that led neither
/// to a replacement nor to a stage whose engine is working on queued inputs of the stream. It is reset here with each
/// replacement and with each new attempt for which no frame was missing; the caller resets it with each token.
StallDecision decideStallAction(const std::vector<std::optional<StageProgress>> &stages, std::uint32_t &inconclusiveQueries);

constexpr std::uint32_t inconclusiveQueriesToRenew = 2; ///< a single query may have caught frames in transit

} // namespace Parsleytrail
