// Inputs that crash the targets that run them: whole requests, and parts of prompts that many requests share.
//
// When a target crashes, each request that was open there may be the cause, or a part of its prompt. An input that was open at three
// crashes is refused from then on, by all entries. Entries send each other what they observe, as notices with an age:
//
//     recordCrash(table, input, crash, now, now);        // a target crashed with the input open
//     recordCompletion(table, input, now, now);          // a target ran it, so it does not crash targets
//     recordSoundPart(table, part, now);                 // the same of a part, also before any crash is known
//     if (findQuarantined(table, inputs)) ...            // refuse the request
//     applyNotice(table, notice, now);                   // from another entry
//
// An input that only was beside the cause is not held responsible: a crash counts for it only until another input that was open
// there has more crashes, and a run that goes well clears it.
//
// The cause has not run well, whereas most parts of prompts that are open beside it have: a part that ran well before its crashes gives
// way to one that did not, however many crashes it has, and takes more of them to be refused.
//
// Parts that were open at just the same crashes can't be told apart. Requests are refused that hold all of them; one that holds only
// some may run, and its run shows which of them is the cause.
//
// Every notice keeps the age of what it tells, so that an observation expires everywhere at the same time, and hearing it again is no
// news. The table is bounded. Pure: no I/O, the caller passes the time in.
#pragma once

#include "base/clock.h"
#include "generated/messages.h"

#include <map>
#include <optional>
#include <vector>

namespace Parsleytrail
{

constexpr std::uint64_t partBit = 1ULL << 63;  ///< set in fingerprints of parts of prompts, and clear in those of requests
constexpr std::size_t crashesUntilRefusal = 3; ///< two may be a coincidence where targets crash in turn
/// The same for an input that ran well before: most requests may hold it, so that it is open whenever several targets crash in turn.
constexpr std::size_t crashesUntilSoundRefusal = 5;
constexpr std::size_t maxCrashRecords = 512;       ///< beyond it, the oldest of the inputs with the fewest crashes is dropped
constexpr std::size_t maxSoundParts = 256;         ///< beyond it, the one that was used least recently is dropped
constexpr std::size_t maxCrashesOfRecord = 8;      ///< further crashes change nothing
constexpr std::chrono::minutes suspicionTime{10};  ///< how long a crash counts for an input that is not quarantined
constexpr std::chrono::minutes soundRunMemory{10}; ///< how long before its crashes an input may have run well to count as sound before
constexpr std::chrono::hours quarantineTime{1};    ///< how long a quarantined input is refused after its last crash
constexpr std::chrono::seconds completionTime{30}; ///< how long a completion is remembered, against older notices of crashes
constexpr std::chrono::seconds noticeDelay{2};     ///< by how much an observation may seem too recent after its way through several entries
constexpr milliseconds repeatedRunTime{200};       ///< a run that seems to be later by less, from another entry, is the one that is known
constexpr std::chrono::seconds crashNewsTime{2};   ///< how long an observation is sent with each message: several may be lost

constexpr std::size_t maxNewsNotices = 16;   ///< in one message: 320 bytes
constexpr std::size_t maxTurnNotices = 24;   ///< in one message: two inputs or more
constexpr std::uint64_t messagesPerTurn = 8; ///< one in so many messages carries notices that are no news

/// Fingerprints of a request, each of which may identify the cause of a crash.
struct RequestInputs {
    std::uint64_t request = 0;        ///< fingerprint of the whole request
    std::vector<std::uint64_t> parts; ///< fingerprints of the parts of its prompt that other requests may share
};

/// What is known of one input.
struct CrashRecord {
    std::map<std::uint64_t, TimePoint> crashes; ///< crashes at which it was open, and when each happened
    TimePoint completedAt{};                    ///< when a target last ran it well, before its crashes; zero: not known
    TimePoint updatedAt{};                      ///< when something new was learned of it
};

/// What an entry knows of inputs that were open at crashes, by their fingerprints.
struct CrashingRequests {
    std::map<std::uint64_t, CrashRecord> records;
    std::map<std::uint64_t, TimePoint> soundParts; ///< when targets last ran each part well, as seen by this entry
    std::uint64_t lastNoticed = 0;                 ///< input that noticesToSend() took last in turn
};

/// Identifier of the crash of one start of a target, the same at all entries.
std::uint64_t crashOf(const TargetId &target, std::uint64_t startedAtMs);

/// Fingerprint of a whole request, and of a part, from a hash of it.
std::uint64_t requestFingerprint(std::uint64_t hash);
std::uint64_t partFingerprint(std::uint64_t hash);
bool isPart(std::uint64_t input);
/// All fingerprints of a request: its own and those of the shared parts of its prompt.
std::vector<std::uint64_t> allOf(const RequestInputs &inputs);

/// Identifier of the crash that ended a run of these inputs, which was sent at `sentAt` to the target that the registry says was started
/// at `startedAtMs`. The registry may not show a restart yet: a crash that is known from before `sentAt` ended an earlier start.
std::uint64_t crashOfRun(const CrashingRequests &table, const std::vector<std::uint64_t> &inputs, const TargetId &target, std::uint64_t startedAtMs,
                         TimePoint sentAt);

/// Records that a target crashed at `at` while the input was open there. Returns whether that was not known.
bool recordCrash(CrashingRequests &table, std::uint64_t input, std::uint64_t crash, TimePoint at, TimePoint now);
/// Records that a target ran the input well until `at`. Returns whether crashes of it were known, which are dropped.
bool recordCompletion(CrashingRequests &table, std::uint64_t input, TimePoint at, TimePoint now);

/// Records that a target ran a request with this part of a prompt without a crash until `at`. Crashes up to noticeDelay later don't count
/// for the part: requests with a part that many share are open at almost any crash. Returns whether crashes of the part were known, which
/// are dropped.
bool recordSoundPart(CrashingRequests &table, std::uint64_t part, TimePoint at);

/// Number of crashes at which the input was open and that no other input explains.
std::size_t countUnexplainedCrashes(const CrashingRequests &table, std::uint64_t input);
/// Whether the request was open at a crash that no other input explains. It should not run beside another such request.
bool isSuspect(const CrashingRequests &table, std::uint64_t request);
/// Whether the input was open at crashesUntilRefusal such crashes, or crashesUntilSoundRefusal if it ran well before.
bool isQuarantined(const CrashingRequests &table, std::uint64_t input);
/// The parts that requests must hold, all of them, to be refused for this one; empty if none is to be refused for it. Parts are not
/// held responsible for crashes as long as one whole request was open at all of them, nor those that ran well before beside one that
/// did not.
std::vector<std::uint64_t> refusedTogetherWith(const CrashingRequests &table, std::uint64_t part);
/// Whether requests are refused for the input: for a part, those that hold all of refusedTogetherWith().
bool isRefused(const CrashingRequests &table, std::uint64_t input);
/// The input that the request is to be refused for; nothing if it may run.
std::optional<std::uint64_t> findQuarantined(const CrashingRequests &table, const RequestInputs &inputs);
/// Time until a quarantined input may run again; zero if it is not quarantined.
milliseconds quarantineTimeLeft(const CrashingRequests &table, std::uint64_t input, TimePoint now);
/// Drops what has expired.
void prune(CrashingRequests &table, TimePoint now);

/// Notices for a message to another entry: what was learned within crashNewsTime, the newest first, and in one of messagesPerTurn
/// messages some of all others in turn, for entries that missed the news or have just started. `draw` is a random number: messages
/// go to the same receivers in the same order, so that a counter would pick the same ones.
std::vector<CrashNotice> noticesToSend(CrashingRequests &table, TimePoint now, std::uint64_t draw);
/// Notices of all crashes and the completion of one input.
std::vector<CrashNotice> noticesOf(const CrashingRequests &table, std::uint64_t input, TimePoint now);
/// Applies another entry's notice. Returns whether it was news.
bool applyNotice(CrashingRequests &table, const CrashNotice &notice, TimePoint now);

} // namespace Parsleytrail
