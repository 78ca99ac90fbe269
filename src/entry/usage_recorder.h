// Counts the work that an entry has served, writes the counters to the table service within a request budget, and reads
// those of all entries for a report.
//
// Each incarnation of an entry has rows of its own: one or more per hour, rewritten with higher values. If the entry dies, the
// work since the last write is lost: at most report-flush, or as long as the store was unavailable.
#pragma once

#include "entry/context.h"
#include "policy/usage.h"
#include "store/store.h"

#include <functional>

namespace Parsleytrail
{

/// What a piece of work is counted under; the recorder adds the hour.
struct UsageOwner {
    WorkspaceName workspace; ///< workspace of the caller
    ServiceName service;     ///< service that the caller named
    ModelName model;         ///< model of the service; empty for plain services
    double worth = 0;        ///< value of one answered request
};

/// Counters of the work served by this entry.
class UsageRecorder
{
public:
    UsageRecorder(EntryContext &context, Store &store);
    ~UsageRecorder();

    void countAnswered(const UsageOwner &owner, std::uint64_t promptTokens, std::uint64_t completionTokens);
    void countRefused(const UsageOwner &owner);
    /// `completionTokens` reached the caller before the response was cut off.
    void countUnknown(const UsageOwner &owner, std::uint64_t completionTokens);
    /// Stages of a stream will report their accelerator time; reports within stageUsageTimeout from now are counted for `owner`.
    void expectUsage(const RequestId &request, const UsageOwner &owner);
    void recordStageUsage(const StageUsage &usage, const std::string &accelerator);

    /// Writes changed rows every report-flush. Called every 50 ms.
    void tick();
    /// Writes changed rows; calls `done` when the store has responded, with Unavailable if another write is in progress.
    void flush(std::function<void(StoreStatus)> done);
    /// Whether any work is not yet written.
    bool isDirty() const;

    /// The ledger of all entries for hours in [from, to).
    void read(std::int64_t fromHour, std::int64_t toHour, std::function<void(StoreStatus, const UsageLedger &)> done);
    std::int64_t currentHour() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t maxKeysPerRow = 200;       ///< combinations of workspace, service and model in one row: about 40 KB
constexpr milliseconds stageUsageTimeout{10000}; ///< time after expectUsage() during which reports of accelerator time are counted
constexpr int maxReportRows = 100000;            ///< rows read for one report

} // namespace Parsleytrail
