#include "policy/load_table.h"

#include "base/digest.h"

#include <algorithm>
#include <limits>

namespace Parsleytrail
{

std::uint32_t loadKey(const RegisteredTarget &target)
{
    return static_cast<std::uint32_t>(hash64(target.id.value, target.startedAtMs));
}

void addLoads(LoadTable &table, const std::vector<EngineLoad> &loads)
{
    for (const EngineLoad &load : loads) {
        LoadSum &sum = table[load.target];
        sum.openRequests += load.openRequests;
        sum.avoiding += load.avoiding;
        sum.kvTokenLayers += load.kvTokenLayers;
    }
}

void removeLoads(LoadTable &table, const std::vector<EngineLoad> &loads)
{
    for (const EngineLoad &load : loads) {
        const auto it = table.find(load.target);
        if (it == table.end()) {
            continue;
        }
        LoadSum &sum = it->second;
        sum.openRequests = std::max(0, sum.openRequests - load.openRequests);
        sum.avoiding = std::max(0, sum.avoiding - load.avoiding);
        sum.kvTokenLayers = std::max(0.0, sum.kvTokenLayers - load.kvTokenLayers);
        if (sum.openRequests == 0 && sum.avoiding == 0) {
            table.erase(it);
        }
    }
}

template<typename Number>
static Number clampTo(double value)
{
    return static_cast<Number>(std::clamp(value, 0.0, static_cast<double>(std::numeric_limits<Number>::max())));
}

std::vector<EngineLoad> listLoads(const LoadTable &table, std::size_t limit)
{
    std::vector<EngineLoad> loads;
    loads.reserve(table.size());
    for (const auto &[target, sum] : table) {
        loads.push_back({target, clampTo<std::uint16_t>(sum.openRequests), clampTo<std::uint16_t>(sum.avoiding), clampTo<std::uint32_t>(sum.kvTokenLayers)});
    }
    std::sort(loads.begin(), loads.end(), [](const EngineLoad &a, const EngineLoad &b) {
        return a.openRequests != b.openRequests ? a.openRequests > b.openRequests : a.target < b.target;
    });
    loads.resize(std::min(loads.size(), limit));
    return loads;
}

static EntryId lowestId(const EntryId &a, const EntryId &b)
{
    return a.isEmpty() || (!b.isEmpty() && b < a) ? b : a;
}

static TableNews newest(const TableNews &a, const TableNews &b)
{
    return b.change > a.change ? b : a;
}

void addView(EntriesView &view, const EntriesView &other)
{
    view.entries += other.entries;
    view.isStoreReached = view.isStoreReached || other.isStoreReached;
    view.ordering = lowestId(view.ordering, other.ordering);
    view.first = lowestId(view.first, other.first);
    view.configuration = newest(view.configuration, other.configuration);
    view.targets = newest(view.targets, other.targets);
}

void addTableNews(EntriesView &view, const EntryReport &report)
{
    view.configuration = newest(view.configuration, {report.configurationChange, report.sender.host});
    view.targets = newest(view.targets, {report.targetsChange, report.sender.host});
}

void addEntry(EntriesView &view, const EntryReport &report)
{
    const bool isStopping = report.sender.capacity == 0;
    EntriesView one;
    one.entries = 1;
    one.isStoreReached = !report.isStoreLost;
    one.ordering = report.isOrdering && !isStopping ? report.sender.entry : EntryId();
    one.first = isStopping ? EntryId() : report.sender.entry;
    addTableNews(one, report);
    addView(view, one);
}

} // namespace Parsleytrail
