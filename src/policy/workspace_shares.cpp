#include "policy/workspace_shares.h"

#include "base/digest.h"
#include "policy/load_exchange.h"

#include <algorithm>
#include <cmath>

namespace Parsleytrail
{

std::uint32_t workspaceKey(const WorkspaceName &workspace)
{
    return static_cast<std::uint32_t>(hash64(workspace.value, 0));
}

std::uint64_t keepUsage(ReceivedUsage &kept, const std::vector<WorkspaceUsage> &list, TimePoint now)
{
    if (list.empty()) {
        return 0;
    }
    kept = {list, now};
    return std::erase_if(kept.list, [](const WorkspaceUsage &usage) {
        return usage.tokens > maxUsageTokens;
    });
}

bool dropOutdatedUsage(ReceivedUsage &kept, milliseconds timeout, TimePoint now)
{
    if (kept.list.empty() || now - kept.receivedAt <= timeout) {
        return false;
    }
    kept = {};
    return true;
}

void addUsage(UsageTable &table, const ReceivedUsage &usage, TimePoint now)
{
    for (const WorkspaceUsage &one : usage.list) {
        table[one.workspace] += decayedCost(one.tokens, usage.receivedAt, now);
    }
}

std::vector<WorkspaceUsage> listUsage(const UsageTable &table, std::size_t limit)
{
    std::vector<WorkspaceUsage> list;
    for (const auto &[workspace, tokens] : table) {
        const double rounded = std::round(std::min(tokens, static_cast<double>(maxUsageTokens)));
        if (rounded >= 1) {
            list.push_back({workspace, static_cast<std::uint32_t>(rounded)});
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const WorkspaceUsage &a, const WorkspaceUsage &b) {
        return a.tokens > b.tokens;
    });
    list.resize(std::min(list.size(), limit));
    return list;
}

void recordStartedTokens(WorkspaceShares &shares, const WorkspaceName &workspace, double tokens, TimePoint now)
{
    if (!(tokens > 0)) {
        return; // also if it is not a number
    }
    WaitingRequest started;
    started.workspace = workspace;
    started.cost = std::min(tokens, static_cast<double>(maxUsageTokens));
    recordStart(shares.own, started, now);
}

void recordShortage(WorkspaceShares &shares, TimePoint now)
{
    shares.shortageAt = now;
}

bool isShortOfRoom(const WorkspaceShares &shares, TimePoint now)
{
    return shares.shortageAt != TimePoint() && now - shares.shortageAt < shortageReportTime;
}

static UsageTable ownUsage(const WorkspaceShares &shares, TimePoint now)
{
    UsageTable table;
    for (const auto &[workspace, tokens] : shares.own.startedCost) {
        table[workspaceKey(workspace)] += decayedCost(tokens, shares.own.decayedAt, now);
    }
    return table;
}

std::vector<WorkspaceUsage> describeUsage(const WorkspaceShares &shares, TimePoint now)
{
    return isShortOfRoom(shares, now) ? listUsage(ownUsage(shares, now), maxOwnWorkspaces) : std::vector<WorkspaceUsage>();
}

void setOthersUsage(WorkspaceShares &shares, UsageTable others, TimePoint now)
{
    shares.others = std::move(others);
    shares.othersAt = now;
}

static bool isOthersUsageRecent(const WorkspaceShares &shares, TimePoint now)
{
    return now - shares.othersAt <= exchangeTimeout;
}

double ownTokens(const WorkspaceShares &shares, const WorkspaceName &workspace, TimePoint now)
{
    const auto found = shares.own.startedCost.find(workspace);
    return found == shares.own.startedCost.end() ? 0 : decayedCost(found->second, shares.own.decayedAt, now);
}

double othersTokens(const WorkspaceShares &shares, const WorkspaceName &workspace, TimePoint now)
{
    const auto found = shares.others.find(workspaceKey(workspace));
    const bool isKnown = found != shares.others.end() && isOthersUsageRecent(shares, now);
    return isKnown ? decayedCost(found->second, shares.othersAt, now) : 0;
}

FairShareLedger fleetLedger(const WorkspaceShares &shares, const std::vector<WaitingRequest> &waiting, TimePoint now)
{
    FairShareLedger ledger;
    ledger.decayedAt = now;
    for (const WaitingRequest &request : waiting) {
        const auto [entry, isNew] = ledger.startedCost.emplace(request.workspace, 0);
        if (isNew) {
            entry->second = ownTokens(shares, request.workspace, now) + othersTokens(shares, request.workspace, now);
        }
    }
    return ledger;
}

UsageTable knownUsage(const WorkspaceShares &shares, TimePoint now)
{
    UsageTable table = ownUsage(shares, now);
    if (isOthersUsageRecent(shares, now)) {
        for (const auto &[workspace, tokens] : shares.others) {
            table[workspace] += decayedCost(tokens, shares.othersAt, now);
        }
    }
    std::erase_if(table, [](const auto &entry) {
        return entry.second < 1;
    });
    return table;
}

double largestShare(const UsageTable &table)
{
    double sum = 0;
    double largest = 0;
    for (const auto &[workspace, tokens] : table) {
        sum += tokens;
        largest = std::max(largest, tokens);
    }
    return sum > 0 ? largest / sum : 0;
}

} // namespace Parsleytrail
