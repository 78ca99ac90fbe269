#include "policy/routes.h"

#include <algorithm>
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

/// Marks the services whose stream routes, or the workspaces that may call them, differ in priority.
static void markPriorities(RouteTable &table)
{
    std::unordered_map<ServiceName, std::set<int>> priorities;
    std::set<int> ofWorkspaces;
    for (const auto &[key, owner] : table.keyOwners) {
        if (owner.priority) {
            ofWorkspaces.insert(*owner.priority);
        }
    }
    for (const Route &route : table.routes) {
        for (const WeightedService &part : route.services) {
            if (route.kind == CallKind::Stream) {
                priorities[part.service].insert(route.priority);
                priorities[part.service].insert(ofWorkspaces.begin(), ofWorkspaces.end());
            }
        }
    }
    for (auto &[name, service] : table.services) {
        service.hasPriorities = priorities[name].size() > 1;
    }
}

void indexRoutes(RouteTable &table)
{
    table.routeIndex.clear();
    for (std::size_t i = 0; i < table.routes.size(); ++i) {
        table.routeIndex.emplace(indexKey(table.routes[i].host, table.routes[i].prefix), i);
    }
    markPriorities(table);
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
