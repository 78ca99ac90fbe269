#include "policy/usage.h"

namespace Parsleytrail
{

constexpr double microsPerHour = 3.6e9;

void addTo(UsageCounters &sum, const UsageCounters &counters)
{
    sum.answered += counters.answered;
    sum.refused += counters.refused;
    sum.unknown += counters.unknown;
    sum.worth += counters.worth;
    sum.promptTokens += counters.promptTokens;
    sum.completionTokens += counters.completionTokens;
    for (const auto &[kind, micros] : counters.acceleratorMicros) {
        sum.acceleratorMicros[kind] += micros;
    }
}

bool parseGrouping(std::string_view text, UsageGrouping &grouping)
{
    if (text == "workspace") {
        grouping = UsageGrouping::Workspace;
    } else if (text == "service") {
        grouping = UsageGrouping::Service;
    } else if (text == "model") {
        grouping = UsageGrouping::Model;
    } else {
        return false;
    }
    return true;
}

static const std::string &nameOf(const UsageKey &key, UsageGrouping grouping)
{
    switch (grouping) {
    case UsageGrouping::Workspace:
        return key.workspace.value;
    case UsageGrouping::Service:
        return key.service.value;
    case UsageGrouping::Model:
        return key.model.value;
    }
    return key.workspace.value;
}

std::vector<UsageLine> summarize(const UsageLedger &ledger, UsageGrouping grouping, const std::map<std::string, double> &pricePerHour)
{
    std::map<std::string, UsageCounters> sums;
    for (const auto &[key, counters] : ledger) {
        addTo(sums[nameOf(key, grouping)], counters);
    }
    std::vector<UsageLine> lines;
    for (auto &[name, counters] : sums) {
        UsageLine line{name, std::move(counters), 0};
        for (const auto &[kind, micros] : line.counters.acceleratorMicros) {
            const auto price = pricePerHour.find(kind);
            line.cost += price == pricePerHour.end() ? 0 : static_cast<double>(micros) / microsPerHour * price->second;
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace Parsleytrail
