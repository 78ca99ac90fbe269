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

std::uint64_t crashOfRun(const CrashingRequests &table, std::uint64_t request, const TargetId &target, std::uint64_t startedAtMs, TimePoint sentAt)
{
    std::uint64_t crash = crashOf(target, startedAtMs);
    const auto known = table.records.find(request);
    if (known == table.records.end()) {
        return crash;
    }
    const std::map<std::uint64_t, TimePoint> &crashes = known->second.crashes;
    for (auto earlier = crashes.find(crash); earlier != crashes.end() && earlier->second < sentAt; earlier = crashes.find(crash)) {
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

/// The request's record, which is added if there is none.
static CrashRecord &recordFor(CrashingRequests &table, std::uint64_t request)
{
    const auto found = table.records.find(request);
    if (found != table.records.end()) {
        return found->second;
    }
    if (table.records.size() >= maxCrashRecords) {
        dropLeastSuspect(table);
    }
    return table.records[request];
}

static bool isCompletedSince(const CrashRecord &record, TimePoint at)
{
    return record.completedAt != TimePoint() && at <= record.completedAt + noticeDelay;
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
    const bool isHeld = record.crashes.size() >= crashesUntilRefusal;
    return last + (isHeld ? std::chrono::duration_cast<milliseconds>(quarantineTime) : std::chrono::duration_cast<milliseconds>(suspicionTime));
}

bool recordCrash(CrashingRequests &table, std::uint64_t request, std::uint64_t crash, TimePoint at, TimePoint now)
{
    const auto known = table.records.find(request);
    const bool isKnown = known != table.records.end();
    if (isKnown && (known->second.crashes.contains(crash) || isCompletedSince(known->second, at) || known->second.crashes.size() >= maxCrashesOfRecord)) {
        return false;
    }
    if (at + suspicionTime <= now && !isKnown) {
        return false;
    }
    CrashRecord &record = recordFor(table, request);
    record.crashes[crash] = at;
    record.updatedAt = now;
    return true;
}

bool recordCompletion(CrashingRequests &table, std::uint64_t request, TimePoint at, TimePoint now)
{
    const auto known = table.records.find(request);
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

/// Whether another request explains a crash: it was open there too, and at more crashes than `record`.
static bool isExplained(const CrashingRequests &table, const CrashRecord &record, std::uint64_t crash)
{
    return std::any_of(table.records.begin(), table.records.end(), [&](const auto &other) {
        return other.second.crashes.size() > record.crashes.size() && other.second.crashes.contains(crash);
    });
}

static std::size_t countUnexplained(const CrashingRequests &table, std::uint64_t request)
{
    const auto found = table.records.find(request);
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
    return countUnexplained(table, request) > 0;
}

bool isQuarantined(const CrashingRequests &table, std::uint64_t request)
{
    return countUnexplained(table, request) >= crashesUntilRefusal;
}

milliseconds quarantineTimeLeft(const CrashingRequests &table, std::uint64_t request, TimePoint now)
{
    if (!isQuarantined(table, request)) {
        return milliseconds(0);
    }
    return std::max(std::chrono::duration_cast<milliseconds>(expiryOf(table.records.at(request)) - now), milliseconds(0));
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

static void appendNotices(std::vector<CrashNotice> &notices, std::uint64_t request, const CrashRecord &record, TimePoint now)
{
    if (record.completedAt != TimePoint()) {
        notices.push_back({request, 0, ageAt(record.completedAt, now)});
    }
    for (const auto &[crash, at] : record.crashes) {
        notices.push_back({request, crash, ageAt(at, now)});
    }
}

std::vector<CrashNotice> noticesOf(const CrashingRequests &table, std::uint64_t request, TimePoint now)
{
    std::vector<CrashNotice> notices;
    if (const auto found = table.records.find(request); found != table.records.end()) {
        appendNotices(notices, request, found->second, now);
    }
    return notices;
}

static std::vector<CrashNotice> newsNotices(const CrashingRequests &table, TimePoint now)
{
    std::vector<std::pair<TimePoint, std::uint64_t>> news;
    for (const auto &[request, record] : table.records) {
        if (now - record.updatedAt < crashNewsTime) {
            news.emplace_back(record.updatedAt, request);
        }
    }
    std::sort(news.rbegin(), news.rend());
    std::vector<CrashNotice> notices;
    for (std::size_t i = 0; i < news.size() && notices.size() < maxNewsNotices; ++i) {
        appendNotices(notices, news[i].second, table.records.at(news[i].second), now);
    }
    notices.resize(std::min(notices.size(), maxNewsNotices));
    return notices;
}

/// Appends notices of the requests that follow the last one.
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

bool applyNotice(CrashingRequests &table, const CrashNotice &notice, TimePoint now)
{
    const TimePoint at = now - milliseconds(notice.ageMs);
    return notice.crash == 0 ? recordCompletion(table, notice.request, at, now) : recordCrash(table, notice.request, notice.crash, at, now);
}

} // namespace Parsleytrail
