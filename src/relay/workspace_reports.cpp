#include "relay/workspace_reports.h"

#include "base/log.h"

#include <bit>
#include <cmath>
#include <set>

namespace Parsleytrail
{

void recordStartedStream(RelayContext &context, const WorkspaceName &workspace, const StreamDemand &demand)
{
    recordStartedTokens(context.workspaces, workspace, demand.promptTokens + demand.answerTokens, context.clock.now());
}

void recordLackOfRoom(RelayContext &context, const ServiceSpec &service)
{
    if (service.hasPriorities) {
        recordShortage(context.workspaces, context.clock.now());
    }
}

static void updateMetrics(RelayContext &context, TimePoint now)
{
    const UsageTable known = knownUsage(context.workspaces, now);
    context.metrics.knownWorkspaces = static_cast<double>(known.size());
    context.metrics.largestWorkspaceShare = largestShare(known);
}

std::vector<WorkspaceUsage> usageToReport(RelayContext &context)
{
    const TimePoint now = context.clock.now();
    updateMetrics(context, now);
    std::vector<WorkspaceUsage> usage = describeUsage(context.workspaces, now);
    const bool isReporting = isShortOfRoom(context.workspaces, now);
    if (std::exchange(context.isReportingWorkspaces, isReporting) != isReporting) {
        logEvent(Event::WorkspaceReports, {{"reporting", isReporting ? "true" : "false"},
                                           {"workspaces", std::to_string(context.workspaces.own.startedCost.size())},
                                           {"largest_tokens", std::to_string(usage.empty() ? 0 : usage.front().tokens)},
                                           {"largest_share", std::to_string(context.metrics.largestWorkspaceShare)}});
    }
    return usage;
}

void applyPeerUsage(RelayContext &context, const PeersView &others)
{
    setOthersUsage(context.workspaces, others.usage, context.clock.now());
    const std::uint64_t before = std::exchange(context.metrics.impossibleUsage, others.ignoredUsage.impossible);
    context.metrics.outdatedUsage = others.ignoredUsage.outdated;
    // Logged for the 1st, 2nd, 4th, 8th and so on, as a faulty sender repeats its values several times a second.
    if (std::bit_width(before) != std::bit_width(others.ignoredUsage.impossible)) {
        logEvent(Event::WorkspaceUsageIgnored, {{"values", std::to_string(others.ignoredUsage.impossible)}, {"host", others.ignoredUsage.impossibleFromHost}});
    }
}

/// Workspaces of the configuration, and those with streams that started here.
static std::set<WorkspaceName> workspaceNames(const RelayContext &context)
{
    std::set<WorkspaceName> names;
    for (const auto &[workspace, tokens] : context.workspaces.own.startedCost) {
        names.insert(workspace);
    }
    if (context.routes) {
        for (const auto &[key, owner] : context.routes->keyOwners) {
            names.insert(owner.workspace);
        }
    }
    return names;
}

nlohmann::json dumpWorkspaces(const RelayContext &context, TimePoint now)
{
    const WorkspaceShares &shares = context.workspaces;
    nlohmann::json dump = {{"isReporting", isShortOfRoom(shares, now)}, {"named", nlohmann::json::object()}};
    UsageTable unnamed = knownUsage(shares, now);
    for (const WorkspaceName &name : workspaceNames(context)) {
        if (unnamed.erase(workspaceKey(name)) > 0) {
            dump["named"][name.value] = {{"ownTokens", std::round(ownTokens(shares, name, now))},
                                         {"othersTokens", std::round(othersTokens(shares, name, now))}};
        }
    }
    double tokens = 0;
    for (const auto &[workspace, othersTokens] : unnamed) {
        tokens += othersTokens;
    }
    dump["unnamed"] = {{"workspaces", unnamed.size()}, {"othersTokens", std::round(tokens)}};
    return dump;
}

} // namespace Parsleytrail
