// Decides when missing events mean that an engine has failed.
//
// Delays are observed by each entry: the usual time to the first event of a stream differs between fleets by a factor of ten,
// and a fixed timeout is either late or wrong for most of them.
//
//     DelayEstimate firstEvents;
//     recordDelay(firstEvents, milliseconds(57));             // a stream received its first event
//     if (isFirstEngineSilent(wait, firstEvents, now)) ...    // a stream has not
//
// Pure: the caller passes the time in.
#pragma once

#include "base/clock.h"

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
    double deviations = 4;              ///< deviations above the average after which an event counts as missing
    milliseconds minTimeout{200};       ///< the estimate of an idle fleet may be far below what one long prompt takes
    milliseconds maxTimeout{900};       ///< callers leave after two seconds, and another engine needs a part of them
    milliseconds unknownTimeout{900};   ///< while no stream has received a first event yet
};

/// How long a stream waits for its first event until its first engine is suspected.
milliseconds firstEventTimeout(const DelayEstimate &firstEvents, const FirstEventTuning &tuning = {});

/// A stream that waits for its first event.
struct FirstEventWait {
    TimePoint since{};              ///< when the request was sent, or last moved to other engines
    TimePoint engineLastBegunAt{};  ///< when a stream last received its first event from the same first engine
};

/// Whether the first engine of a stream that waits for its first event accepts requests without executing them.
///
/// An engine that is only busy delays all its streams, but the earlier ones still begin. So an engine that began another stream
/// since this request was sent is not suspected.
bool isFirstEngineSilent(const FirstEventWait &wait, const DelayEstimate &firstEvents, TimePoint now, const FirstEventTuning &tuning = {});

} // namespace Parsleytrail
