// Decides when missing events mean that an engine has failed.
//
// Delays are observed by each entry: the usual time to the first event of a stream differs between fleets by a factor of ten,
// and a fixed timeout is either late or wrong for most of them.
//
//     DelayEstimate firstEvents;
//     recordDelay(firstEvents, milliseconds(57));             // a stream received its first event
//     if (isFirstEngineSilent(wait, firstEvents, now)) ...    // a stream has not
//
// An engine behind the first one fails without a sign to the entries: the streams through it get no more events. Those that all
// silent streams have in common, and no other stream passes, are suspected and probed.
//
// Pure: the caller passes the time in.
#pragma once

#include "policy/chain_selection.h"

namespace Parsleytrail
{

/// Moving average of a delay and of its deviation, as TCP estimates round-trip times.
struct DelayEstimate {
    double averageMs = 0;   ///< moving average, ms
    double deviationMs = 0; ///< moving average of the absolute difference from the average, ms
    bool hasSamples = false;
};

void recordDelay(DelayEstimate &estimate, milliseconds delay);

/// Bounds of the time that a stream waits for its first event.
struct FirstEventTuning {
    double deviations = 4;            ///< deviations above the average after which an event counts as missing
    milliseconds minTimeout{200};     ///< the estimate of an idle fleet may be far below what one long prompt takes
    milliseconds maxTimeout{900};     ///< callers leave after two seconds, and another engine needs a part of them
    milliseconds unknownTimeout{900}; ///< while no stream has received a first event yet
};

/// How long a stream waits for its first event until its first engine is suspected.
milliseconds firstEventTimeout(const DelayEstimate &firstEvents, const FirstEventTuning &tuning = {});

/// A stream that waits for its first event.
struct FirstEventWait {
    TimePoint since{};             ///< when the request was sent, or last moved to other engines
    TimePoint engineLastBegunAt{}; ///< when a stream last received its first event from the same first engine
};

/// Whether the first engine of a stream that waits for its first event accepts requests without executing them.
///
/// An engine that is only busy delays all its streams, but the earlier ones still begin. So an engine that began another stream
/// since this request was sent is not suspected.
bool isFirstEngineSilent(const FirstEventWait &wait, const DelayEstimate &firstEvents, TimePoint now, const FirstEventTuning &tuning = {});

/// A stream as the search for suspects sees it.
struct StreamActivity {
    const std::vector<ChainStage> *chain = nullptr; ///< engines that it passes; null: it waits for none
    TimePoint lastProgressAt{};                     ///< when the request was sent, or its last event
    bool hasEvents = false;                         ///< it has received events
};

/// Thresholds of suspecting an engine, as factors on the usual gap between two events of a stream.
struct SuspectTuning {
    /// One silent stream is weak evidence, as single gaps vary.
    double singleFactor = 1.9;
    milliseconds minSingle{90};
    milliseconds maxSingle{350};
    /// Several streams whose only common property is an engine are rarely all silent for longer than one usual gap.
    std::size_t sharedStreams = 3;
    double sharedFactor = 1.3;
    milliseconds minShared{50};
    /// An engine is suspected for this long after the threshold. After that only the first engines of stalled streams are queried,
    /// whose reports name the engine that a stream waits for.
    milliseconds window{60};
};

/// How long a stream is without an event until it counts as stalled.
milliseconds stallThreshold(double averageGapMs, const SuspectTuning &tuning = {});
/// Engines to probe: none of their streams has made progress for longer than usual.
std::vector<TargetId> findSuspects(const std::vector<StreamActivity> &streams, double averageGapMs, TimePoint now, const SuspectTuning &tuning = {});

} // namespace Parsleytrail
