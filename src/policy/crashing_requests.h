// Requests that crash the targets that run them.
//
// When a target crashes, each request that was open there may be the cause. A request that was open at three crashes is
// refused from then on, by all entries. Entries send each other what they observe, as notices with an age:
//
//     recordCrash(table, request, crash, now, now);      // a target crashed with the request open
//     recordCompletion(table, request, now, now);        // a target completed it, so it does not crash targets
//     if (isQuarantined(table, request)) ...             // refuse it
//     applyNotice(table, notice, now);                   // from another entry
//
// A request that only was beside the cause is not held responsible: a crash counts for it only until another request that was open
// there has more crashes, and a completed run clears it.
//
// Every notice keeps the age of what it tells, so that an observation expires everywhere at the same time, and hearing it again is no
// news. The table is bounded. Pure: no I/O, the caller passes the time in.
#pragma once

#include "base/clock.h"
#include "generated/messages.h"

#include <map>
#include <vector>

namespace Parsleytrail
{

constexpr std::size_t crashesUntilRefusal = 3;     ///< two may be a coincidence where targets crash in turn
constexpr std::size_t maxCrashRecords = 512;       ///< beyond it, the oldest of the requests with the fewest crashes is dropped
constexpr std::size_t maxCrashesOfRecord = 8;      ///< further crashes change nothing
constexpr std::chrono::minutes suspicionTime{10};  ///< how long a crash counts for a request that is not quarantined
constexpr std::chrono::hours quarantineTime{1};    ///< how long a quarantined request is refused after its last crash
constexpr std::chrono::seconds completionTime{30}; ///< how long a completion is remembered, against older notices of crashes
constexpr std::chrono::seconds noticeDelay{2};     ///< by how much an observation may seem too recent after its way through several entries
constexpr std::chrono::seconds crashNewsTime{2};   ///< how long an observation is sent with each message: several may be lost

constexpr std::size_t maxNewsNotices = 16;   ///< in one message: 320 bytes
constexpr std::size_t maxTurnNotices = 24;   ///< in one message: two requests or more
constexpr std::uint64_t messagesPerTurn = 8; ///< one in so many messages carries notices that are no news

/// What is known of one request.
struct CrashRecord {
    std::map<std::uint64_t, TimePoint> crashes; ///< crashes at which it was open, and when each happened
    TimePoint completedAt{};                    ///< when a target last completed it; zero: not known
    TimePoint updatedAt{};                      ///< when something new was learned of it
};

/// What an entry knows of requests that were open at crashes, by the requests' fingerprints.
struct CrashingRequests {
    std::map<std::uint64_t, CrashRecord> records;
    std::uint64_t lastNoticed = 0; ///< request that noticesToSend() took last in turn
};

/// Identifier of the crash of one start of a target, the same at all entries.
std::uint64_t crashOf(const TargetId &target, std::uint64_t startedAtMs);

/// Identifier of the crash that ended a run of the request, which was sent at `sentAt` to the target that the registry says was started
/// at `startedAtMs`. The registry may not show a restart yet: a crash that is known from before `sentAt` ended an earlier start.
std::uint64_t crashOfRun(const CrashingRequests &table, std::uint64_t request, const TargetId &target, std::uint64_t startedAtMs, TimePoint sentAt);

/// Records that a target crashed at `at` while the request was open there. Returns whether that was not known.
bool recordCrash(CrashingRequests &table, std::uint64_t request, std::uint64_t crash, TimePoint at, TimePoint now);
/// Records that a target completed the request at `at`. Returns whether crashes of it were known, which are dropped.
bool recordCompletion(CrashingRequests &table, std::uint64_t request, TimePoint at, TimePoint now);

/// Whether the request was open at a crash that no other request explains. It should not run beside another such request.
bool isSuspect(const CrashingRequests &table, std::uint64_t request);
/// Whether the request was open at crashesUntilRefusal such crashes: it is to be refused.
bool isQuarantined(const CrashingRequests &table, std::uint64_t request);
/// Time until a quarantined request may run again; zero if it is not quarantined.
milliseconds quarantineTimeLeft(const CrashingRequests &table, std::uint64_t request, TimePoint now);
/// Drops what has expired.
void prune(CrashingRequests &table, TimePoint now);

/// Notices for a message to another entry: what was learned within crashNewsTime, the newest first, and in one of messagesPerTurn
/// messages some of all others in turn, for entries that missed the news or have just started. `draw` is a random number: messages
/// go to the same receivers in the same order, so that a counter would pick the same ones.
std::vector<CrashNotice> noticesToSend(CrashingRequests &table, TimePoint now, std::uint64_t draw);
/// Notices of all crashes and the completion of one request.
std::vector<CrashNotice> noticesOf(const CrashingRequests &table, std::uint64_t request, TimePoint now);
/// Applies another entry's notice. Returns whether it was news.
bool applyNotice(CrashingRequests &table, const CrashNotice &notice, TimePoint now);

} // namespace Parsleytrail
