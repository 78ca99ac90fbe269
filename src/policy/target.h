// An entry's view of a target, on which selection and admission decisions are based.
#pragma once

#include "base/clock.h"
#include "generated/messages.h"

namespace Parsleytrail
{

/// State of a target in this entry's region.
struct TargetView {
    Announcement last;                     ///< newest announcement, updated by load reports
    TimePoint lastReceivedAt{};            ///< when the last announcement or load report arrived
    TimePoint joinedAt{};                  ///< when the first announcement of this incarnation arrived
    bool isTimedOut = false;               ///< nothing received for silence-timeout, or its link closed
    bool isLeaving = false;                ///< marked as leaving by the membership list
    std::uint32_t localOpenCount = 0;      ///< streams or calls that this entry has open on it
    std::uint32_t consecutiveFailures = 0; ///< failures since the last success, as seen by this entry
    TimePoint ejectedUntil{};              ///< gets no new work before this time
};

/// Key that stands for one incarnation of a target in load reports.
std::uint64_t targetKeyOf(const TargetId &target, Incarnation incarnation);
/// Whether the target is ready and neither timed out, leaving nor ejected.
bool acceptsNewWork(const TargetView &target, TimePoint now);
/// Expected time for one more item, in microseconds, from the target's own report and the work that this entry has open on it.
double expectedMicros(const TargetView &target, TimePoint now);

/// Records a failure and ejects the target for a time that doubles with each consecutive failure. The target is not ejected
/// if less than half of the `alive` targets would remain, with `ejected` of them ejected already: otherwise a fault that is not
/// the targets' own would eject all of them.
void recordTargetFailure(TargetView &target, TimePoint now, std::size_t ejected, std::size_t alive);
/// Resets the consecutive failures; an ejection runs until its end.
void recordTargetSuccess(TargetView &target);

constexpr milliseconds baseEjectionTime{500}; ///< doubles with each consecutive failure
constexpr milliseconds maxEjectionTime{15000};
constexpr milliseconds rampUpTime{5000};          ///< a target gets its full share of work this long after it joined
constexpr std::uint32_t defaultStepMicros = 2000; ///< assumed for a target that has not reported a step time yet

} // namespace Parsleytrail
