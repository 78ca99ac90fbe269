// What an entry knows of a target, as the decisions see it.
#pragma once

#include "base/clock.h"
#include "generated/messages.h"

namespace Parsleytrail
{

/// A target of this entry's region.
struct TargetView {
    Announcement last;                     ///< newest announcement
    TimePoint lastReceivedAt{};            ///< when it came
    TimePoint joinedAt{};                  ///< first announcement of this incarnation
    bool isTimedOut = false;               ///< nothing heard for silence-timeout
    bool isLeaving = false;                ///< marked as leaving by the membership list
    std::uint32_t localOpenCount = 0;      ///< streams or calls that this entry has open on it
    std::uint32_t consecutiveFailures = 0; ///< failures since the last success, as this entry saw them
    TimePoint ejectedUntil{};              ///< gets no new work before this time
};

/// Names a target's incarnation in load reports.
std::uint64_t targetKeyOf(const TargetId &target, Incarnation incarnation);
/// Whether the target may get new work at all.
bool acceptsNewWork(const TargetView &target, TimePoint now);
/// Expected time for one more item, in microseconds, from its own report and from what this entry sent since.
double expectedMicros(const TargetView &target, TimePoint now);

/// A failure at the target was seen. Ejects it for a while, longer each time in a row, but never so many that less than
/// half of the `alive` targets remain: a fault that is not theirs would eject them all.
void recordTargetFailure(TargetView &target, TimePoint now, std::size_t ejected, std::size_t alive);
void recordTargetSuccess(TargetView &target);

constexpr milliseconds baseEjectionTime{500}; ///< doubles with each failure in a row
constexpr milliseconds maxEjectionTime{15000};
constexpr milliseconds rampTime{5000};            ///< a target that joined gets its full share after this time
constexpr std::uint32_t defaultStepMicros = 2000; ///< for a target that has not reported a step yet

} // namespace Parsleytrail
