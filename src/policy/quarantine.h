// Quarantine of inputs that crash the engines that run them.
//
// When an engine crashes, every input in flight there becomes suspect. The next step of a suspect input runs alone at each
// stage, so that a second crash has only one suspect: that input is quarantined and refused from then on, at every entry,
// also when its caller sends it again. The other inputs of the first crash complete their steps alone and are cleared. So
// an input crashes at most two targets, and no harmless input is refused.
//
// Pure: no I/O. Entries send each other what they record (SuspicionNotice).
#pragma once

#include "base/clock.h"
#include "generated/messages.h"

#include <map>
#include <set>

namespace Parsleytrail
{

/// Crashes recorded for an input.
struct Suspicion {
    std::set<std::uint64_t> crashes; ///< identifiers of the crashes at which the input was in flight
    ServiceName service;             ///< service that it was sent to
    WorkspaceName workspace;         ///< workspace that sent it
    RequestId request;               ///< request reported with the last new crash
    TimePoint updatedAt{};           ///< when a crash was last added
};

/// Suspect and quarantined inputs held by one entry, by fingerprint.
struct Quarantine {
    std::map<std::uint64_t, Suspicion> suspicions;
};

/// Status of an input. Quarantined inputs are refused.
enum class InputStatus { Clear, Suspect, Quarantined };

constexpr std::size_t crashesToQuarantine = 2;
constexpr std::size_t maxSuspicions = 4096;              ///< beyond it, the oldest input is dropped, quarantined ones last
constexpr std::chrono::hours suspicionLifetime{1};       ///< suspect input without a further crash
constexpr std::chrono::hours quarantineLifetime{24 * 7}; ///< quarantined input, unless an operator allows it earlier

/// Classifies an input by its recorded crashes.
InputStatus classifyInput(const Quarantine &quarantine, std::uint64_t fingerprint);
/// Adds crashes that this entry saw or another one reported. Returns true if one of them was new.
bool recordCrash(Quarantine &quarantine, std::uint64_t fingerprint, const Suspicion &suspicion, TimePoint now);
/// Clears a suspect input once it has run past the point at which it became suspect. A quarantined input stays quarantined.
/// Returns true if the input was suspect.
bool clearSuspicion(Quarantine &quarantine, std::uint64_t fingerprint);
/// Drops inputs whose lifetime since their last crash has expired.
void prune(Quarantine &quarantine, TimePoint now);

} // namespace Parsleytrail
