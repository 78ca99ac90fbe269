#include "policy/table_source.h"

#include "policy/exchange_groups.h"

#include <algorithm>

namespace Parsleytrail
{

/// Change that `host` itself is known to have; 0 if another entry has a newer one, as the host's own is not known then.
static std::uint64_t changeAt(const std::string &host, const TableNews &news)
{
    return news.host == host ? news.change : 0;
}

static TableSource sourceAt(const std::string &host, const EntriesView &view)
{
    return {host, changeAt(host, view.configuration), changeAt(host, view.targets)};
}

static bool isReading(const LoadExchange &exchange)
{
    return exchange.isWatching && !exchange.ownReport.isStoreLost;
}

static TableSource sourceOfMember(const LoadExchange &exchange, TimePoint now)
{
    const GroupDigest &digest = exchange.digest.last;
    const bool isCurrent = hasRecentDigest(exchange, now) && digest.sender.entry == exchange.aggregator.entry && digest.isWatching;
    return isCurrent ? sourceAt(exchange.aggregator.host, digest.others) : TableSource();
}

/// The best aggregator that reads the store, among those for which `isEligible` holds; null if there is none.
template<typename Predicate>
static const GroupSummary *bestReader(const LoadExchange &exchange, Predicate isEligible)
{
    const GroupSummary *best = nullptr;
    for (const auto &[id, group] : exchange.groups) {
        const GroupSummary &summary = group.last;
        const bool isReader = summary.group.isStoreReached && summary.sender.capacity > 0 && isEligible(summary.sender);
        if (isReader && (!best || isBetterAggregator(summary.sender, best->sender))) {
            best = &summary;
        }
    }
    return best;
}

/// A member that reaches the store while this entry does not; null if there is none.
static const EntryReport *readingMember(const LoadExchange &exchange)
{
    for (const auto &[id, member] : exchange.members) {
        if (!member.last.isStoreLost) {
            return &member.last;
        }
    }
    return nullptr;
}

static TableSource sourceOfAggregator(const LoadExchange &exchange)
{
    const auto isLocal = [&exchange](const EntryRef &sender) {
        return sender.dataCenter == exchange.self.dataCenter;
    };
    const GroupSummary *better = bestReader(exchange, [&](const EntryRef &sender) {
        return isLocal(sender) && isBetterAggregator(sender, exchange.self);
    });
    if (better) {
        return sourceAt(better->sender.host, better->group);
    }
    if (!exchange.isStoreFailing) {
        return {};
    }
    if (const EntryReport *member = readingMember(exchange)) {
        return {member->sender.host, member->configurationChange, member->targetsChange};
    }
    const GroupSummary *local = bestReader(exchange, isLocal);
    const GroupSummary *any = local ? local : bestReader(exchange, [](const EntryRef &) {
        return true;
    });
    return any ? sourceAt(any->group.targets.host, any->group) : TableSource();
}

TableSource findTableSource(const LoadExchange &exchange, TimePoint now)
{
    return isAggregator(exchange) ? sourceOfAggregator(exchange) : sourceOfMember(exchange, now);
}

bool hasCurrentTables(const LoadExchange &exchange, TimePoint now)
{
    return isReading(exchange) || !findTableSource(exchange, now).host.empty();
}

bool leavesReadingToOthers(const LoadExchange &exchange, TimePoint now)
{
    const bool isStandby = exchange.digest.last.deputy.entry == exchange.self.entry;
    return !isAggregator(exchange) && hasRecentDigest(exchange, now) && !isStandby;
}

ContactLimits contactLimits(milliseconds tableBound)
{
    constexpr milliseconds minBound{2000};
    constexpr milliseconds maxBound{10000};
    // The pause between two watches, and the answer of a store that is sixty times slower than usual.
    constexpr milliseconds answerTime{600};
    const milliseconds interval = std::clamp(tableBound, minBound, maxBound) * 3 / 10;
    return {interval, interval + answerTime};
}

bool isStoreSilent(const StoreContact &contact, milliseconds maxSilence, TimePoint now)
{
    return now - std::max(contact.askedAt, contact.answeredAt) > maxSilence;
}

void recordSource(MemberPatience &patience, int entries, double turn, TimePoint now)
{
    // Members read by themselves one after the other: all at once would make as many calls as there are entries.
    const auto turnTime = std::chrono::duration_cast<milliseconds>(memberTurnTime * entries * turn);
    patience.readsAt = now + standbyTime + turnTime;
}

TableAccess chooseTableAccess(const PeersView &others, bool isComplete, bool isPatient)
{
    if (!others.source.host.empty()) {
        return TableAccess::Copy;
    }
    // A new member waits until its aggregator has the tables; how long is limited by the first copy's timeout.
    const bool isNewMember = !isComplete && !others.aggregator.empty();
    if (others.isJoining || isNewMember || (others.leavesReadingToOthers && isPatient)) {
        return TableAccess::LeaveToOthers;
    }
    return TableAccess::Read;
}

} // namespace Parsleytrail
