// Counts the served work of an entry, writes it to the table service on a budget, and reads everyone's for a report.
//
// One row for each hour and part of this start of this entry, rewritten with higher values. What is newer than the last
// write is lost if the entry dies: at most report-flush, or as long as the store was away.
#pragma once

#include "entry/context.h"
#include "policy/usage.h"
#include "store/store.h"

#include <functional>

namespace Parsleytrail
{

/// Whose work it is; the hour is the keeper's.
struct UsageOwner {
    WorkspaceName workspace; ///< of the caller
    ServiceName service;     ///< named by the caller
    ModelName model;         ///< empty for plain services
    double worth = 0;        ///< of one answered request
};

/// Keeps the served work.
class UsageRecorder
{
public:
    UsageRecorder(EntryContext &context, Store &store);
    ~UsageRecorder();

    void countAnswered(const UsageOwner &owner, std::uint64_t promptTokens, std::uint64_t completionTokens);
    void countRefused(const UsageOwner &owner);
    /// `completionTokens` were given to the caller before the answer broke off.
    void countUnknown(const UsageOwner &owner, std::uint64_t completionTokens);
    /// A stream's stages will tell what they spent on it.
    void expectUsage(const RequestId &request, const UsageOwner &owner);
    void recordStageUsage(const StageUsage &usage, const std::string &accelerator);

    /// Writes what has changed, if it is time. Called now and then.
    void tick();
    /// Writes what has changed; `done` is called when the store has answered.
    void flush(std::function<void(StoreStatus)> done);
    /// Whether anything is not written yet.
    bool isDirty() const;

    /// The ledger of all entries for hours in [from, to).
    void read(std::int64_t fromHour, std::int64_t toHour, std::function<void(StoreStatus, const UsageLedger &)> done);
    std::int64_t currentHour() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t maxKeysPerRow = 200;       ///< workspaces x services in one row: some 40 KB
constexpr milliseconds stageUsageTimeout{10000}; ///< how long a closed stream's usage is waited for
constexpr int maxReportRows = 100000;            ///< read for one report

} // namespace Parsleytrail
