#include "policy/exchange_groups.h"

#include <algorithm>

namespace Parsleytrail
{

bool isBetterAggregator(const EntryRef &a, const EntryRef &b)
{
    return a.capacity != b.capacity ? a.capacity > b.capacity : a.entry < b.entry;
}

bool isMuchBetter(const EntryRef &a, const EntryRef &b)
{
    return a.capacity > b.capacity + b.capacity / 2;
}

bool isOwn(const LoadExchange &exchange, const EntryRef &entry)
{
    return entry.entry == exchange.self.entry;
}

bool isSameDataCenter(const LoadExchange &exchange, const EntryRef &entry)
{
    return entry.dataCenter == exchange.self.dataCenter;
}

bool isUnresponsive(const LoadExchange &exchange, const std::string &host, TimePoint now)
{
    const auto it = exchange.unresponsiveUntil.find(host);
    return it != exchange.unresponsiveUntil.end() && now < it->second;
}

milliseconds sendInterval(const LoadExchange &exchange)
{
    return exchangeInterval * (1 + std::min(exchange.localTargets.size(), maxReportedLoads) / localTargetsPerInterval);
}

std::size_t summaryTurns(const LoadExchange &exchange)
{
    return std::max<std::size_t>(1, (exchange.groups.size() + summariesPerInterval - 1) / summariesPerInterval);
}

milliseconds extendedTimeout(milliseconds timeout, milliseconds interval)
{
    constexpr int lostInRow = 2;
    return timeout + lostInRow * (interval - exchangeInterval);
}

milliseconds groupTimeout(const LoadExchange &exchange)
{
    return extendedTimeout(exchangeTimeout, sendInterval(exchange) * summaryTurns(exchange));
}

bool hasRecentDigest(const LoadExchange &exchange, TimePoint now)
{
    return exchange.digest.receivedAt != TimePoint() && now - exchange.digest.receivedAt < extendedTimeout(exchangeTimeout, sendInterval(exchange));
}

bool isTakingOver(const LoadExchange &exchange, TimePoint now)
{
    return isAggregator(exchange) && hasRecentDigest(exchange, now) && now - exchange.aggregatorSince < takeoverTime;
}

bool isJoining(const LoadExchange &exchange, TimePoint now)
{
    return exchange.members.empty() && now - exchange.startedAt < joinTime;
}

bool hasGroup(const LoadExchange &exchange)
{
    const bool isAccepted = !isAggregator(exchange) && exchange.digest.last.sender.entry == exchange.aggregator.entry;
    return isAccepted || exchange.isAppointed || !exchange.members.empty();
}

std::size_t groupSize(const GroupSummary &summary)
{
    return summary.group.entries;
}

const EntryRef *groupToJoin(const LoadExchange &exchange, const std::string &dataCenter, std::size_t joining, TimePoint now)
{
    const EntryRef *best = nullptr;
    for (const auto &[id, group] : exchange.groups) {
        const EntryRef &ref = group.last.sender;
        const bool hasFreeSlots = groupSize(group.last) + joining <= maxGroupMembers + 1;
        const bool isCandidate = ref.dataCenter == dataCenter && ref.capacity > 0 && hasFreeSlots && !isUnresponsive(exchange, ref.host, now);
        if (isCandidate && (!best || isBetterAggregator(ref, *best))) {
            best = &ref;
        }
    }
    return best;
}

EntryRef standbyAggregator(const LoadExchange &exchange)
{
    EntryRef best;
    for (const auto &[id, member] : exchange.members) {
        const EntryRef &ref = member.last.sender;
        if (ref.capacity > 0 && (best.entry.isEmpty() || isBetterAggregator(ref, best))) {
            best = ref;
        }
    }
    return best;
}

} // namespace Parsleytrail
