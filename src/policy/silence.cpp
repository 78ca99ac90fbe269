#include "policy/silence.h"

#include <algorithm>
#include <cmath>
#include <map>

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

static milliseconds scaled(double averageGapMs, double factor)
{
    return milliseconds(static_cast<std::int64_t>(averageGapMs * factor));
}

milliseconds stallThreshold(double averageGapMs, const SuspectTuning &tuning)
{
    return std::clamp(scaled(averageGapMs, tuning.singleFactor), tuning.minSingle, tuning.maxSingle);
}

/// The streams of one engine.
struct EngineActivity {
    std::size_t streams = 0;    ///< streams that pass it
    TimePoint lastProgressAt{}; ///< newest progress of any of them
};

std::vector<TargetId> findSuspects(const std::vector<StreamActivity> &streams, double averageGapMs, TimePoint now, const SuspectTuning &tuning)
{
    const milliseconds single = stallThreshold(averageGapMs, tuning);
    std::map<TargetId, EngineActivity> engines;
    for (const StreamActivity &stream : streams) {
        // A request that was just sent shows nothing about its engines. To count it as progress would hide a failed engine for as
        // long as new requests are sent there.
        if (!stream.hasEvents && now - stream.lastProgressAt < single) {
            continue;
        }
        for (const ChainStage &stage : *stream.chain) {
            EngineActivity &engine = engines[stage.id];
            ++engine.streams;
            engine.lastProgressAt = std::max(engine.lastProgressAt, stream.lastProgressAt);
        }
    }
    const milliseconds shared = std::min(single, std::max(scaled(averageGapMs, tuning.sharedFactor), tuning.minShared));
    std::vector<TargetId> suspects;
    for (const auto &[id, engine] : engines) {
        const milliseconds threshold = engine.streams >= tuning.sharedStreams ? shared : single;
        const auto silence = now - engine.lastProgressAt;
        if (silence >= threshold && silence < single + tuning.window) {
            suspects.push_back(id);
        }
    }
    return suspects;
}

} // namespace Parsleytrail
