#include "policy/served_work.h"

namespace Parsleytrail
{

constexpr double microsPerHour = 3.6e9;

void addTo(WorkCounters &sum, const WorkCounters &counters)
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

bool parseGrouping(std::string_view text, WorkGrouping &grouping)
{
    if (text == "workspace") {
        grouping = WorkGrouping::Workspace;
    } else if (text == "service") {
        grouping = WorkGrouping::Service;
    } else if (text == "model") {
        grouping = WorkGrouping::Model;
    } else {
        return false;
    }
    return true;
}

static const std::string &nameOf(const WorkKey &key, WorkGrouping grouping)
{
    switch (grouping) {
    case WorkGrouping::Workspace:
        return key.workspace.value;
    case WorkGrouping::Service:
        return key.service.value;
    case WorkGrouping::Model:
        return key.model.value;
    }
    return key.workspace.value;
}

std::vector<WorkLine> summarize(const WorkLedger &ledger, WorkGrouping grouping, const std::map<std::string, double> &pricePerHour)
{
    std::map<std::string, WorkCounters> sums;
    for (const auto &[key, counters] : ledger) {
        addTo(sums[nameOf(key, grouping)], counters);
    }
    std::vector<WorkLine> lines;
    for (auto &[name, counters] : sums) {
        WorkLine line{name, std::move(counters), 0};
        for (const auto &[kind, micros] : line.counters.acceleratorMicros) {
            const auto price = pricePerHour.find(kind);
            line.cost += price == pricePerHour.end() ? 0 : static_cast<double>(micros) / microsPerHour * price->second;
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace Parsleytrail
