// Inputs that kill the engines that run them.
//
// When an engine dies, every input in flight there is suspect. A suspect's next step at each stage runs alone, so that
// a second death has one suspect only: it is convicted and refused from then on, at every entry, also when its caller
// sends it again. Its companions of the first death pass their steps alone and are cleared. So an input costs two
// targets at most, and no innocent one is refused.
// Pure: entries tell each other what they note.
#pragma once

#include "base/clock.h"
#include "generated/messages.h"

#include <map>
#include <set>

namespace Parsleytrail
{

/// What is held against an input.
struct Suspicion {
    std::set<std::uint64_t> crashes; ///< separate deaths at which it was in flight
    ServiceName service;             ///< it was sent to
    WorkspaceName workspace;         ///< that sent it
    RequestId request;               ///< one of the requests
    TimePoint updatedAt{};           ///< last change
};

/// Suspicions of one entry, by fingerprint.
struct Quarantine {
    std::map<std::uint64_t, Suspicion> suspicions;
};

enum class InputStatus { Clear, Suspect, Quarantined };

constexpr std::size_t crashesToQuarantine = 2;
constexpr std::size_t maxSuspicions = 4096;              ///< the oldest unconvicted is dropped beyond it
constexpr std::chrono::hours suspicionLifetime{1};       ///< an input suspected once and not seen again
constexpr std::chrono::hours quarantineLifetime{24 * 7}; ///< a convicted input that nobody lifts

/// What is known of an input.
InputStatus classifyInput(const Quarantine &quarantine, std::uint64_t fingerprint);
/// Adds what this entry saw or another one told. Returns true if it was news.
bool recordCrash(Quarantine &quarantine, std::uint64_t fingerprint, const Suspicion &suspicion, TimePoint now);
/// The input has run past the point at which it was suspected. A convicted one stays so. Returns true if it was news.
bool clearSuspicion(Quarantine &quarantine, std::uint64_t fingerprint);
/// Drops what is too old.
void prune(Quarantine &quarantine, TimePoint now);

} // namespace Parsleytrail
