#include "policy/routes.h"

#include <algorithm>
#include <optional>
#include <set>

namespace Parsleytrail
{

const AcceleratorKind *findKind(const EngineModel &model, std::string_view name)
{
    for (const AcceleratorKind &kind : model.kinds) {
        if (kind.name == name) {
            return &kind;
        }
    }
    return nullptr;
}

double dataCenterDelayMs(const EngineModel &model, std::string_view from, std::string_view to)
{
    for (const DataCenterDelay &delay : model.delays) {
        const bool isLink = (delay.from == from && delay.to == to) || (delay.from == to && delay.to == from);
        if (isLink) {
            return delay.ms;
        }
    }
    return 0;
}

static std::string indexKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size());
    for (const char c : host) {
        key += static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    }
    key += prefix;
    return key;
}

/// Orders by the workspace's priority, then the route's.
static int combinedPriority(std::optional<int> ofWorkspace, int ofRoute)
{
    return ofWorkspace.value_or(defaultPriority) * (lowestPriority + 1) + ofRoute;
}

/// Priorities that the table's workspaces state; without a value for callers that belong to none, or to one that states none.
static std::set<std::optional<int>> workspacePriorities(const RouteTable &table)
{
    std::set<std::optional<int>> priorities;
    for (const auto &[key, owner] : table.keyOwners) {
        priorities.insert(owner.priority);
    }
    if (!table.requiresKeys || priorities.empty()) {
        priorities.insert(std::nullopt);
    }
    return priorities;
}

/// Ranks the combined priorities of the routes, and marks the services whose stream routes differ in priority.
static void rankPriorities(RouteTable &table)
{
    const std::set<std::optional<int>> ofWorkspaces = workspacePriorities(table);
    std::set<int> all;
    std::unordered_map<ServiceName, std::set<int>> ofServices;
    for (const Route &route : table.routes) {
        for (const std::optional<int> ofWorkspace : ofWorkspaces) {
            const int combined = combinedPriority(ofWorkspace, route.priority);
            all.insert(combined);
            for (const WeightedService &part : route.services) {
                if (route.kind == CallKind::Stream) {
                    ofServices[part.service].insert(route.priority);
                }
            }
        }
    }
    table.priorityRanks.clear();
    for (const int combined : all) {
        table.priorityRanks[combined] = std::min(static_cast<int>(table.priorityRanks.size()), lowestPriority);
    }
    for (auto &[name, service] : table.services) {
        service.hasPriorities = ofServices[name].size() > 1;
    }
}

int requestPriority(const RouteTable &table, const Route &route, std::optional<int> ofWorkspace)
{
    const auto rank = table.priorityRanks.find(combinedPriority(ofWorkspace, route.priority));
    return rank == table.priorityRanks.end() ? lowestPriority : rank->second;
}

void indexRoutes(RouteTable &table)
{
    table.routeIndex.clear();
    for (std::size_t i = 0; i < table.routes.size(); ++i) {
        table.routeIndex.emplace(indexKey(table.routes[i].host, table.routes[i].prefix), i);
    }
    rankPriorities(table);
}

const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path)
{
    const std::string_view name = host.substr(0, host.find(':'));
    std::string key = indexKey(name, path);
    // Prefixes end with a slash: only the path up to and including one of its slashes can match; the longest is tried first.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        key.resize(name.size() + end + 1);
        const auto it = table.routeIndex.find(key);
        if (it != table.routeIndex.end()) {
            return &table.routes[it->second];
        }
    }
    return nullptr;
}

const ServiceSpec *pickService(const RouteTable &table, const Route &route, double draw)
{
    double total = 0;
    for (const WeightedService &candidate : route.services) {
        total += std::max(candidate.weight, 0.0);
    }
    double remaining = draw * total;
    const ServiceSpec *last = nullptr;
    for (const WeightedService &candidate : route.services) {
        const auto it = table.services.find(candidate.service);
        if (candidate.weight <= 0 || it == table.services.end()) {
            continue;
        }
        last = &it->second;
        remaining -= candidate.weight;
        if (remaining < 0) {
            return last;
        }
    }
    return last;
}

} // namespace Parsleytrail
