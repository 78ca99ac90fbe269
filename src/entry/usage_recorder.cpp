// Index: [SECTION] Rows, [SECTION] Counting, [SECTION] Writing, [SECTION] Reading
#include "entry/usage_recorder.h"

#include "store/json_rows.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <unordered_map>

namespace Parsleytrail
{

using nlohmann::json;

constexpr const char *usageTable = "served-work";

// [SECTION] Rows

namespace
{

/// A stream whose stages may still report their accelerator time.
struct PendingUsage {
    UsageOwner owner;
    TimePoint expiresAt{};
};

/// A row as it is in the store.
struct WrittenRow {
    std::uint64_t version = 0; ///< version of the row; 0 if it doesn't exist
    std::string value;         ///< value last written successfully or read
};

json encodeCounters(const UsageKey &key, const UsageCounters &counters)
{
    return {{"workspace", key.workspace.value},
            {"service", key.service.value},
            {"model", key.model.value},
            {"answered", counters.answered},
            {"refused", counters.refused},
            {"unknown", counters.unknown},
            {"worth", counters.worth},
            {"promptTokens", counters.promptTokens},
            {"completionTokens", counters.completionTokens},
            {"acceleratorMicros", counters.acceleratorMicros}};
}

void decodeCounters(const json &item, std::int64_t hour, UsageLedger &ledger)
{
    UsageKey key;
    key.hour = hour;
    key.workspace.value = item.value("workspace", "");
    key.service.value = item.value("service", "");
    key.model.value = item.value("model", "");
    UsageCounters counters;
    counters.answered = integerOr(item, "answered", std::uint64_t{0});
    counters.refused = integerOr(item, "refused", std::uint64_t{0});
    counters.unknown = integerOr(item, "unknown", std::uint64_t{0});
    counters.worth = item.value("worth", 0.0);
    counters.promptTokens = integerOr(item, "promptTokens", std::uint64_t{0});
    counters.completionTokens = integerOr(item, "completionTokens", std::uint64_t{0});
    counters.acceleratorMicros = item.value("acceleratorMicros", std::map<std::string, std::uint64_t>());
    addTo(ledger[key], counters);
}

std::string hourText(std::int64_t hour)
{
    return absl::StrCat(absl::Dec(hour, absl::kZeroPad10));
}

} // namespace

struct UsageRecorder::Private {
    EntryContext &context;
    Store &store;
    UsageLedger ledger;
    std::unordered_map<RequestId, PendingUsage> pendingUsage;
    std::map<std::string, WrittenRow> written; ///< this incarnation's rows in the store, by row key
    bool isDirty = false;
    bool isWriting = false;
    TimePoint nextFlush{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    UsageCounters &countersOf(const UsageOwner &owner);
    std::int64_t hour() const;
    std::map<std::string, std::string> rows() const;
    void handleWriteResult(const std::vector<RowWrite> &writes, StoreStatus status);
    void readVersion(const std::string &key);
    void dropOldHours();
};

// [SECTION] Counting

std::int64_t UsageRecorder::Private::hour() const
{
    return std::chrono::duration_cast<std::chrono::hours>(context.clock.wallTime().time_since_epoch()).count();
}

UsageCounters &UsageRecorder::Private::countersOf(const UsageOwner &owner)
{
    isDirty = true;
    return ledger[{hour(), owner.workspace, owner.service, owner.model}];
}

UsageRecorder::UsageRecorder(EntryContext &context, Store &store)
    : d(new Private{context, store})
{
}

UsageRecorder::~UsageRecorder() = default;

void UsageRecorder::countAnswered(const UsageOwner &owner, std::uint64_t promptTokens, std::uint64_t completionTokens)
{
    UsageCounters &counters = d->countersOf(owner);
    ++counters.answered;
    counters.worth += owner.worth;
    counters.promptTokens += promptTokens;
    counters.completionTokens += completionTokens;
}

void UsageRecorder::countRefused(const UsageOwner &owner)
{
    ++d->countersOf(owner).refused;
}

void UsageRecorder::countUnknown(const UsageOwner &owner, std::uint64_t completionTokens)
{
    UsageCounters &counters = d->countersOf(owner);
    ++counters.unknown;
    counters.completionTokens += completionTokens;
}

void UsageRecorder::expectUsage(const RequestId &request, const UsageOwner &owner)
{
    d->pendingUsage[request] = {owner, d->context.clock.now() + stageUsageTimeout};
}

void UsageRecorder::recordStageUsage(const StageUsage &usage, const std::string &accelerator)
{
    const auto it = d->pendingUsage.find(usage.request);
    if (it != d->pendingUsage.end()) {
        d->countersOf(it->second.owner).acceleratorMicros[accelerator] += usage.acceleratorMicros;
    }
}

// [SECTION] Writing

/// Encodes the ledger as rows of up to maxKeysPerRow keys. The ledger is sorted and only grows within an hour, so few keys move
/// to another row; a row that lost a key to another one is written in the same transaction.
std::map<std::string, std::string> UsageRecorder::Private::rows() const
{
    std::map<std::int64_t, std::vector<json>> byHour;
    for (const auto &[key, counters] : ledger) {
        byHour[key.hour].push_back(encodeCounters(key, counters));
    }
    std::map<std::string, std::string> rows;
    for (const auto &[hour, items] : byHour) {
        for (std::size_t first = 0; first < items.size(); first += maxKeysPerRow) {
            const auto end = items.begin() + static_cast<std::ptrdiff_t>(std::min(first + maxKeysPerRow, items.size()));
            const std::string key =
                hourText(hour) + "/" + context.settings.id + "/" + std::to_string(context.incarnation.value) + "/" + std::to_string(first / maxKeysPerRow);
            rows[key] = json(std::vector<json>(items.begin() + static_cast<std::ptrdiff_t>(first), end)).dump();
        }
    }
    return rows;
}

void UsageRecorder::Private::readVersion(const std::string &key)
{
    store.readRow(usageTable, key, [this, key, weak = std::weak_ptr(alive)](StoreStatus status, const Row &row) {
        if (!weak.expired() && (status == StoreStatus::Ok || status == StoreStatus::NotFound)) {
            written[key] = {row.version, row.value};
        }
    });
}

void UsageRecorder::Private::handleWriteResult(const std::vector<RowWrite> &writes, StoreStatus status)
{
    isWriting = false;
    for (const RowWrite &write : writes) {
        if (status == StoreStatus::Ok) {
            written[write.key] = {write.ifVersion + 1, write.value};
        } else if (status != StoreStatus::Unavailable) {
            // Only this incarnation of this entry writes the row, so a conflict means that a write whose response was lost took
            // effect. The values are absolute: the next write with the current version corrects the row.
            readVersion(write.key);
        }
    }
    if (status != StoreStatus::Ok) {
        isDirty = true;
    }
}

void UsageRecorder::Private::dropOldHours()
{
    const std::int64_t now = hour();
    std::erase_if(ledger, [now](const auto &item) {
        return item.first.hour < now - 1;
    });
    const std::string oldest = hourText(now - 1);
    std::erase_if(written, [&oldest](const auto &item) {
        return item.first < oldest;
    });
}

void UsageRecorder::flush(std::function<void(StoreStatus)> done)
{
    std::vector<RowWrite> writes;
    for (auto &[key, value] : d->rows()) {
        const WrittenRow &row = d->written[key];
        if (row.value != value) {
            writes.push_back({usageTable, key, value, row.version});
        }
    }
    if (d->isWriting || writes.empty()) {
        return done(d->isWriting ? StoreStatus::Unavailable : StoreStatus::Ok);
    }
    d->isWriting = true;
    d->isDirty = false;
    d->store.transact(writes, [this, writes, done = std::move(done), weak = std::weak_ptr(d->alive)](StoreStatus status) {
        if (!weak.expired()) {
            d->handleWriteResult(writes, status);
        }
        done(status);
    });
}

void UsageRecorder::tick()
{
    const TimePoint now = d->context.clock.now();
    std::erase_if(d->pendingUsage, [now](const auto &item) {
        return now >= item.second.expiresAt;
    });
    if (now < d->nextFlush) {
        return;
    }
    d->nextFlush = now + d->context.settings.reportFlush;
    if (!d->isDirty) {
        d->dropOldHours();
        return;
    }
    flush([](StoreStatus) {});
}

bool UsageRecorder::isDirty() const
{
    return d->isDirty || d->isWriting;
}

std::int64_t UsageRecorder::currentHour() const
{
    return d->hour();
}

// [SECTION] Reading

void UsageRecorder::read(std::int64_t fromHour, std::int64_t toHour, std::function<void(StoreStatus, const UsageLedger &)> done)
{
    // Writes this entry's own work first, so that the report includes everything that it has counted.
    flush([this, fromHour, toHour, done = std::move(done), weak = std::weak_ptr(d->alive)](StoreStatus) {
        if (weak.expired()) {
            return;
        }
        d->store.scanRows(usageTable, hourText(fromHour), hourText(toHour), maxReportRows, [done](StoreStatus status, const std::vector<Row> &rows) {
            UsageLedger ledger;
            for (const Row &row : rows) {
                const json items = json::parse(row.value, nullptr, false);
                const std::int64_t hour = std::strtoll(row.key.c_str(), nullptr, 10);
                if (!items.is_array()) {
                    continue;
                }
                for (const json &item : items) {
                    decodeItem(item, [&](const json &counters) {
                        decodeCounters(counters, hour, ledger);
                    });
                }
            }
            done(status, ledger);
        });
    });
}

} // namespace Parsleytrail
