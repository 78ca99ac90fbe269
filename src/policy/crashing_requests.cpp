#include "policy/crashing_requests.h"

#include "base/digest.h"

#include <algorithm>

namespace Parsleytrail
{

std::uint64_t crashOf(const TargetId &target, std::uint64_t startedAtMs)
{
    // Zero stands for a completion in notices.
    return std::max<std::uint64_t>(hash64(target.value, startedAtMs), 1);
}

std::uint64_t requestFingerprint(std::uint64_t hash)
{
    return hash & ~partBit;
}

std::uint64_t partFingerprint(std::uint64_t hash)
{
    return hash | partBit;
}

bool isPart(std::uint64_t input)
{
    return (input & partBit) != 0;
}

std::vector<std::uint64_t> allOf(const RequestInputs &inputs)
{
    std::vector<std::uint64_t> all = {inputs.request};
    all.insert(all.end(), inputs.parts.begin(), inputs.parts.end());
    return all;
}

/// Whether one of the inputs has a record of the crash that says it happened before `time`.
static bool isKnownFromBefore(const CrashingRequests &table, const std::vector<std::uint64_t> &inputs, std::uint64_t crash, TimePoint time)
{
    return std::any_of(inputs.begin(), inputs.end(), [&](std::uint64_t input) {
        const auto record = table.records.find(input);
        if (record == table.records.end()) {
            return false;
        }
        const auto earlier = record->second.crashes.find(crash);
        return earlier != record->second.crashes.end() && earlier->second < time;
    });
}

std::uint64_t crashOfRun(const CrashingRequests &table, const std::vector<std::uint64_t> &inputs, const TargetId &target, std::uint64_t startedAtMs,
                         TimePoint sentAt)
{
    std::uint64_t crash = crashOf(target, startedAtMs);
    while (isKnownFromBefore(table, inputs, crash, sentAt)) {
        crash = crashOf(target, crash);
    }
    return crash;
}

static void dropLeastSuspect(CrashingRequests &table)
{
    const auto least = std::min_element(table.records.begin(), table.records.end(), [](const auto &a, const auto &b) {
        const std::size_t crashesOfA = a.second.crashes.size();
        const std::size_t crashesOfB = b.second.crashes.size();
        return crashesOfA != crashesOfB ? crashesOfA < crashesOfB : a.second.updatedAt < b.second.updatedAt;
    });
    table.records.erase(least);
}

/// The input's record, which is added if there is none.
static CrashRecord &recordFor(CrashingRequests &table, std::uint64_t input)
{
    const auto found = table.records.find(input);
    if (found != table.records.end()) {
        return found->second;
    }
    if (table.records.size() >= maxCrashRecords) {
        dropLeastSuspect(table);
    }
    return table.records[input];
}

static bool isCompletedSince(const CrashRecord &record, TimePoint at)
{
    return record.completedAt != TimePoint() && at <= record.completedAt + noticeDelay;
}

/// Whether the input ran well not long before its crashes. Crashes up to noticeDelay after the run are not in its record.
static bool ranWellBefore(const CrashRecord &record)
{
    return record.completedAt != TimePoint() && std::all_of(record.crashes.begin(), record.crashes.end(), [&](const auto &crash) {
               return crash.second <= record.completedAt + soundRunMemory;
           });
}

static std::size_t crashesNeeded(const CrashRecord &record)
{
    return ranWellBefore(record) ? crashesUntilSoundRefusal : crashesUntilRefusal;
}

static TimePoint expiryOf(const CrashRecord &record)
{
    if (record.crashes.empty()) {
        return record.completedAt + completionTime;
    }
    TimePoint last{};
    for (const auto &[crash, at] : record.crashes) {
        last = std::max(last, at);
    }
    const bool isHeld = record.crashes.size() >= crashesNeeded(record);
    return last + (isHeld ? std::chrono::duration_cast<milliseconds>(quarantineTime) : std::chrono::duration_cast<milliseconds>(suspicionTime));
}

/// If this entry saw the part run well before `at`, notes that in its record, from which other entries are told.
static void noteSoundRun(CrashingRequests &table, std::uint64_t input, TimePoint at, TimePoint now)
{
    const auto sound = table.soundParts.find(input);
    if (sound == table.soundParts.end() || at > sound->second + soundRunMemory) {
        return;
    }
    CrashRecord &record = recordFor(table, input);
    if (sound->second > record.completedAt) {
        record.completedAt = sound->second;
        record.updatedAt = now;
    }
}

bool recordCrash(CrashingRequests &table, std::uint64_t input, std::uint64_t crash, TimePoint at, TimePoint now)
{
    noteSoundRun(table, input, at, now);
    const auto known = table.records.find(input);
    const bool isKnown = known != table.records.end();
    if (isKnown && (known->second.crashes.contains(crash) || isCompletedSince(known->second, at) || known->second.crashes.size() >= maxCrashesOfRecord)) {
        return false;
    }
    if (at + suspicionTime <= now && !isKnown) {
        return false;
    }
    CrashRecord &record = recordFor(table, input);
    record.crashes[crash] = at;
    record.updatedAt = now;
    return true;
}

bool recordCompletion(CrashingRequests &table, std::uint64_t input, TimePoint at, TimePoint now)
{
    const auto known = table.records.find(input);
    if (known == table.records.end() || at <= known->second.completedAt) {
        return false;
    }
    CrashRecord &record = known->second;
    record.completedAt = at;
    const bool hasCleared = std::erase_if(record.crashes,
                                          [&](const auto &crash) {
                                              return isCompletedSince(record, crash.second);
                                          })
                            > 0;
    record.updatedAt = hasCleared ? now : record.updatedAt;
    return hasCleared;
}

bool recordSoundPart(CrashingRequests &table, std::uint64_t part, TimePoint at)
{
    if (table.soundParts.size() >= maxSoundParts && !table.soundParts.contains(part)) {
        table.soundParts.erase(std::min_element(table.soundParts.begin(), table.soundParts.end(), [](const auto &a, const auto &b) {
            return a.second < b.second;
        }));
    }
    table.soundParts[part] = at;
    return recordCompletion(table, part, at, at);
}

/// Whether `other` is the likelier cause of a crash at which both were open.
static bool isLikelierCause(const CrashRecord &other, const CrashRecord &record)
{
    const bool otherRanWell = ranWellBefore(other);
    if (otherRanWell != ranWellBefore(record)) {
        return !otherRanWell && other.crashes.size() >= crashesUntilRefusal;
    }
    return other.crashes.size() > record.crashes.size();
}

/// Whether another input explains a crash: it was open there too, and is the likelier cause.
static bool isExplained(const CrashingRequests &table, const CrashRecord &record, std::uint64_t crash)
{
    return std::any_of(table.records.begin(), table.records.end(), [&](const auto &other) {
        return other.second.crashes.contains(crash) && isLikelierCause(other.second, record);
    });
}

std::size_t countUnexplainedCrashes(const CrashingRequests &table, std::uint64_t input)
{
    const auto found = table.records.find(input);
    if (found == table.records.end()) {
        return 0;
    }
    const CrashRecord &record = found->second;
    return std::count_if(record.crashes.begin(), record.crashes.end(), [&](const auto &crash) {
        return !isExplained(table, record, crash.first);
    });
}

bool isSuspect(const CrashingRequests &table, std::uint64_t request)
{
    return countUnexplainedCrashes(table, request) > 0;
}

bool isQuarantined(const CrashingRequests &table, std::uint64_t input)
{
    const auto found = table.records.find(input);
    if (found == table.records.end()) {
        return false;
    }
    const std::size_t needed = crashesNeeded(found->second);
    return found->second.crashes.size() >= needed && countUnexplainedCrashes(table, input) >= needed;
}

static bool haveSameCrashes(const CrashRecord &a, const CrashRecord &b)
{
    return std::equal(a.crashes.begin(), a.crashes.end(), b.crashes.begin(), b.crashes.end(), [](const auto &crashOfA, const auto &crashOfB) {
        return crashOfA.first == crashOfB.first;
    });
}

std::vector<std::uint64_t> refusedTogetherWith(const CrashingRequests &table, std::uint64_t part)
{
    if (!isPart(part) || !isQuarantined(table, part)) {
        return {};
    }
    const CrashRecord &record = table.records.at(part);
    std::vector<std::uint64_t> parts;
    for (const auto &[input, other] : table.records) {
        const bool isLessLikely = ranWellBefore(other) && !ranWellBefore(record);
        if (!haveSameCrashes(record, other) || isLessLikely) {
            continue;
        }
        if (!isPart(input)) {
            return {};
        }
        parts.push_back(input);
    }
    return parts;
}

bool isRefused(const CrashingRequests &table, std::uint64_t input)
{
    return isPart(input) ? !refusedTogetherWith(table, input).empty() : isQuarantined(table, input);
}

std::optional<std::uint64_t> findQuarantined(const CrashingRequests &table, const RequestInputs &inputs)
{
    if (isQuarantined(table, inputs.request)) {
        return inputs.request;
    }
    for (const std::uint64_t part : inputs.parts) {
        const std::vector<std::uint64_t> together = refusedTogetherWith(table, part);
        const bool holdsAll = std::all_of(together.begin(), together.end(), [&](std::uint64_t other) {
            return std::find(inputs.parts.begin(), inputs.parts.end(), other) != inputs.parts.end();
        });
        if (!together.empty() && holdsAll) {
            return part;
        }
    }
    return std::nullopt;
}

milliseconds quarantineTimeLeft(const CrashingRequests &table, std::uint64_t input, TimePoint now)
{
    if (!isQuarantined(table, input)) {
        return milliseconds(0);
    }
    return std::max(std::chrono::duration_cast<milliseconds>(expiryOf(table.records.at(input)) - now), milliseconds(0));
}

void prune(CrashingRequests &table, TimePoint now)
{
    std::erase_if(table.records, [now](const auto &item) {
        return now >= expiryOf(item.second);
    });
}

static std::uint32_t ageAt(TimePoint at, TimePoint now)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::duration_cast<milliseconds>(now - at).count(), 0));
}

/// Appends notices of an input. That of its last good run comes last: an entry that knows no crash of the input ignores it.
static void appendNotices(std::vector<CrashNotice> &notices, std::uint64_t input, const CrashRecord &record, TimePoint now)
{
    for (const auto &[crash, at] : record.crashes) {
        notices.push_back({input, crash, ageAt(at, now)});
    }
    if (record.completedAt != TimePoint()) {
        notices.push_back({input, 0, ageAt(record.completedAt, now)});
    }
}

std::vector<CrashNotice> noticesOf(const CrashingRequests &table, std::uint64_t input, TimePoint now)
{
    std::vector<CrashNotice> notices;
    if (const auto found = table.records.find(input); found != table.records.end()) {
        appendNotices(notices, input, found->second, now);
    }
    return notices;
}

static std::vector<CrashNotice> newsNotices(const CrashingRequests &table, TimePoint now)
{
    std::vector<std::pair<TimePoint, std::uint64_t>> news;
    for (const auto &[input, record] : table.records) {
        if (now - record.updatedAt < crashNewsTime) {
            news.emplace_back(record.updatedAt, input);
        }
    }
    std::sort(news.rbegin(), news.rend());
    std::vector<CrashNotice> notices;
    for (const auto &[updatedAt, input] : news) {
        const std::size_t before = notices.size();
        appendNotices(notices, input, table.records.at(input), now);
        if (notices.size() > maxNewsNotices) {
            notices.resize(before); // crashes without the run that went well before them would mislead the receiver
            break;
        }
    }
    return notices;
}

/// Appends notices of the inputs that follow the last one.
static void appendTurn(CrashingRequests &table, std::vector<CrashNotice> &notices, TimePoint now)
{
    const std::size_t end = notices.size() + maxTurnNotices;
    auto next = table.records.upper_bound(table.lastNoticed);
    for (std::size_t i = 0; i < table.records.size() && notices.size() + maxCrashesOfRecord < end; ++i) {
        next = next == table.records.end() ? table.records.begin() : next;
        appendNotices(notices, next->first, next->second, now);
        table.lastNoticed = next->first;
        ++next;
    }
}

std::vector<CrashNotice> noticesToSend(CrashingRequests &table, TimePoint now, std::uint64_t draw)
{
    std::vector<CrashNotice> notices = newsNotices(table, now);
    if (draw % messagesPerTurn == 0) {
        appendTurn(table, notices, now);
    }
    return notices;
}

/// Whether the table knows of a good run of the input at about that time. Each message makes it seem a little later than it was.
static bool isKnownRun(const CrashingRequests &table, std::uint64_t input, TimePoint at)
{
    const auto known = table.records.find(input);
    return known != table.records.end() && known->second.completedAt != TimePoint() && at < known->second.completedAt + repeatedRunTime;
}

bool applyNotice(CrashingRequests &table, const CrashNotice &notice, TimePoint now)
{
    const TimePoint at = now - milliseconds(notice.ageMs);
    if (notice.crash == 0 && isKnownRun(table, notice.input, at)) {
        return false;
    }
    return notice.crash == 0 ? recordCompletion(table, notice.input, at, now) : recordCrash(table, notice.input, notice.crash, at, now);
}

} // namespace Parsleytrail
