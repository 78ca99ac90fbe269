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

/// `provenAt`: of the tables of the entry that sent the view, which are not newer than the newest ones in it.
static TableSource sourceAt(const std::string &host, const EntriesView &view, TimePoint provenAt)
{
    return {host, changeAt(host, view.configuration), changeAt(host, view.targets), {provenAt, view.configuration.change, view.targets.change}};
}

static bool isReading(const LoadExchange &exchange)
{
    return exchange.isWatching && !exchange.ownReport.isStoreLost;
}

static TableSource sourceOfMember(const LoadExchange &exchange, TimePoint now)
{
    const GroupDigest &digest = exchange.digest.last;
    const bool isCurrent = hasRecentDigest(exchange, now) && digest.sender.entry == exchange.aggregator.entry && digest.isWatching
                           && !isOld(exchange.digest.provenAt, exchange.maxTablesAge, now);
    return isCurrent ? sourceAt(exchange.aggregator.host, digest.others, exchange.digest.provenAt) : TableSource();
}

using KnownGroup = Received<GroupSummary>;

/// The group of the best aggregator that reads the store, among those for which `isEligible` holds; null if there is none.
template<typename Predicate>
static const KnownGroup *bestReader(const LoadExchange &exchange, TimePoint now, Predicate isEligible)
{
    const KnownGroup *best = nullptr;
    for (const auto &[id, group] : exchange.groups) {
        const GroupSummary &summary = group.last;
        const bool isCurrent = summary.group.isStoreReached && !isOld(group.provenAt, exchange.maxTablesAge, now);
        const bool isReader = isCurrent && summary.sender.capacity > 0 && isEligible(summary.sender);
        if (isReader && (!best || isBetterAggregator(summary.sender, best->last.sender))) {
            best = &group;
        }
    }
    return best;
}

/// A member that reaches the store while this entry does not; null if there is none.
static const Received<EntryReport> *readingMember(const LoadExchange &exchange, TimePoint now)
{
    for (const auto &[id, member] : exchange.members) {
        if (!member.last.isStoreLost && !isOld(member.provenAt, exchange.maxTablesAge, now)) {
            return &member;
        }
    }
    return nullptr;
}

static TableSource sourceOfAggregator(const LoadExchange &exchange, TimePoint now)
{
    const auto isLocal = [&exchange](const EntryRef &sender) {
        return sender.dataCenter == exchange.self.dataCenter;
    };
    const KnownGroup *better = bestReader(exchange, now, [&](const EntryRef &sender) {
        return isLocal(sender) && isBetterAggregator(sender, exchange.self);
    });
    if (better) {
        return sourceAt(better->last.sender.host, better->last.group, better->provenAt);
    }
    if (!exchange.isStoreFailing) {
        return {};
    }
    if (const Received<EntryReport> *member = readingMember(exchange, now)) {
        const EntryReport &report = member->last;
        const TablesProof proof{member->provenAt, report.configurationChange, report.targetsChange};
        return {report.sender.host, report.configurationChange, report.targetsChange, proof};
    }
    const KnownGroup *local = bestReader(exchange, now, isLocal);
    const KnownGroup *any = local ? local : bestReader(exchange, now, [](const EntryRef &) {
        return true;
    });
    return any ? sourceAt(any->last.group.targets.host, any->last.group, any->provenAt) : TableSource();
}

TableSource findTableSource(const LoadExchange &exchange, TimePoint now)
{
    return isAggregator(exchange) ? sourceOfAggregator(exchange, now) : sourceOfMember(exchange, now);
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
    // To notice, and to read the change from a store that is sixty times slower than usual.
    constexpr milliseconds readTime{400};
    const milliseconds bound = std::clamp(tableBound, minBound, maxBound);
    const milliseconds interval = bound * 3 / 10;
    return {interval, interval + answerTime, bound - readTime, bound};
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

OwnTables describeOwnTables(bool isComplete, const MemberPatience &patience, const OwnTablesAge &age, const ContactLimits &limits, TimePoint now)
{
    return {isComplete, now < patience.readsAt, isOld(age.provenAt, limits.maxAge, now)};
}

TableAccess chooseTableAccess(const PeersView &others, const OwnTables &own)
{
    const bool mustRead = own.isComplete && own.areOld;
    if (!others.source.host.empty() && !mustRead) {
        return TableAccess::Copy;
    }
    // A new member waits until its aggregator has the tables; how long is limited by the first copy's timeout.
    const bool isNewMember = !own.isComplete && !others.aggregator.empty();
    if (others.isJoining || isNewMember || (others.leavesReadingToOthers && own.isPatient && !mustRead)) {
        return TableAccess::LeaveToOthers;
    }
    return TableAccess::Read;
}

} // namespace Parsleytrail
