// Index: [SECTION] State, [SECTION] Membership, [SECTION] Tick, [SECTION] Received messages
#include "policy/load_exchange.h"

#include "policy/exchange_groups.h"
#include "policy/exchange_messages.h"
#include "policy/progress.h"
#include "policy/table_source.h"

#include <algorithm>
#include <set>

namespace Parsleytrail
{

// [SECTION] State

template<typename Message, typename Known>
static bool isNewer(const Message &message, const Known &known)
{
    return message.incarnation != known.incarnation ? message.incarnation > known.incarnation : message.sequence > known.sequence;
}

bool isAggregator(const LoadExchange &exchange)
{
    return exchange.aggregator.entry.isEmpty();
}

LoadExchange makeLoadExchange(const EntryRef &self, Incarnation incarnation, std::vector<std::string> seeds, TimePoint now)
{
    LoadExchange exchange;
    exchange.self = self;
    exchange.incarnation = incarnation;
    exchange.seeds = std::move(seeds);
    exchange.startedAt = now;
    exchange.isAppointed = std::all_of(exchange.seeds.begin(), exchange.seeds.end(), [&self](const std::string &seed) {
        return seed == self.host;
    });
    return exchange;
}

PeersView peersView(const LoadExchange &exchange, TimePoint now)
{
    PeersView view;
    view.aggregator = exchange.aggregator.host;
    view.source = findTableSource(exchange, now);
    view.isJoining = !hasGroup(exchange) && now - exchange.startedAt < groupWaitTime;
    view.leavesReadingToOthers = leavesReadingToOthers(exchange, now);
    view.ignoredUsage = exchange.ignoredUsage;
    if (isAggregator(exchange) && !isTakingOver(exchange, now)) {
        view.entries = viewWithout(exchange, exchange.self.entry);
        view.loads = listLoads(exchange.loads, exchange.loads.size());
        view.demands = demandsWithout(exchange, exchange.self.entry, now);
        view.usage = usageWithout(exchange, exchange.self.entry, now);
        return view;
    }
    if (hasRecentDigest(exchange, now)) {
        view.entries = exchange.digest.last.others;
        view.loads = listLoads(exchange.digestLoads, exchange.digestLoads.size());
        addDemands(view.demands, exchange.digest.last.demands, exchange.digest.receivedAt);
        addUsage(view.usage, exchange.digest.usage, now);
    }
    return view;
}

// [SECTION] Membership

static bool isGroupHost(const LoadExchange &exchange, const std::string &host)
{
    return std::any_of(exchange.groups.begin(), exchange.groups.end(), [&host](const auto &group) {
        return group.second.last.sender.host == host;
    });
}

/// Keeps a host to find the fleet again. Without a free place, hosts of current groups make way first, which are known anyway and are
/// recorded again when they time out: with many groups, none of a part that was cut off would be left to find it by.
static void recordHost(LoadExchange &exchange, const std::string &host, TimePoint now)
{
    if (host == exchange.self.host) {
        return;
    }
    exchange.knownHosts[host] = now;
    if (exchange.knownHosts.size() <= maxKnownHosts) {
        return;
    }
    const auto active = std::find_if(exchange.knownHosts.begin(), exchange.knownHosts.end(), [&exchange](const auto &known) {
        return isGroupHost(exchange, known.first);
    });
    const auto oldest = std::min_element(exchange.knownHosts.begin(), exchange.knownHosts.end(), [](const auto &a, const auto &b) {
        return a.second < b.second;
    });
    exchange.knownHosts.erase(active != exchange.knownHosts.end() ? active : oldest);
}

static void dropMember(LoadExchange &exchange, const EntryId &id)
{
    const auto it = exchange.members.find(id);
    if (it != exchange.members.end()) {
        removeLoads(exchange.loads, it->second.last.loads);
        exchange.members.erase(it);
    }
}

static void dropGroup(LoadExchange &exchange, const EntryId &id)
{
    const auto it = exchange.groups.find(id);
    if (it != exchange.groups.end()) {
        removeLoads(exchange.loads, it->second.last.loads);
        exchange.groups.erase(it);
    }
}

/// Reports to another entry from now on. Members are redirected to it when they report next.
static void followAggregator(LoadExchange &exchange, const EntryRef &aggregator, TimePoint now)
{
    if (isAggregator(exchange) && !isTakingOver(exchange, now)) {
        // The current view is used until the first digest arrives.
        GroupDigest known;
        known.others = viewWithout(exchange, exchange.self.entry);
        const UsageTable usage = usageWithout(exchange, exchange.self.entry, now);
        exchange.digest = {known, now, {}, {listUsage(usage, usage.size()), now}};
        exchange.digestLoads = exchange.loads;
    }
    exchange.aggregator = aggregator;
    exchange.lastResponseAt = now;
    exchange.members.clear();
    exchange.groups.clear();
    exchange.contacts.clear();
    exchange.loads.clear();
}

static void becomeAggregator(LoadExchange &exchange, TimePoint now)
{
    exchange.aggregator = {};
    exchange.aggregatorSince = now;
    for (const auto &[host, at] : exchange.knownHosts) {
        if (now - at < recentHostAge) {
            exchange.contacts[host] = now;
        }
    }
}

/// Excludes the time while the process was paused or its loop was blocked from all timeouts. What others sent meanwhile has
/// not been read yet; if they timed out, their load would not be counted.
static void creditProcessPauses(LoadExchange &exchange, TimePoint now)
{
    const milliseconds pause = processPauseBefore(exchange.lastTickAt, now, exchangeInterval);
    exchange.lastTickAt = now;
    for (auto &[id, member] : exchange.members) {
        member.receivedAt = creditProcessPause(member.receivedAt, pause, now);
        member.usage.receivedAt = creditProcessPause(member.usage.receivedAt, pause, now);
    }
    for (auto &[id, group] : exchange.groups) {
        group.receivedAt = creditProcessPause(group.receivedAt, pause, now);
        group.usage.receivedAt = creditProcessPause(group.usage.receivedAt, pause, now);
    }
    exchange.lastResponseAt = creditProcessPause(exchange.lastResponseAt, pause, now);
    exchange.digest.receivedAt = exchange.digest.receivedAt == TimePoint() ? TimePoint() : creditProcessPause(exchange.digest.receivedAt, pause, now);
}

template<typename Message>
static std::vector<EntryId> expiredIds(const std::map<EntryId, Received<Message>> &received, milliseconds timeout, TimePoint now)
{
    std::vector<EntryId> expired;
    for (const auto &[id, one] : received) {
        if (now - one.receivedAt > timeout) {
            expired.push_back(id);
        }
    }
    return expired;
}

/// Stores the list of workspaces of the last message, and counts impossible values.
template<typename Message>
static void takeUsage(LoadExchange &exchange, Received<Message> &from, TimePoint now)
{
    const std::uint64_t impossible = keepUsage(from.usage, from.last.usage, now);
    if (impossible > 0) {
        exchange.ignoredUsage.impossible += impossible;
        exchange.ignoredUsage.impossibleFromHost = from.last.sender.host;
    }
}

/// Removes lists of workspaces that no newer one has replaced in time, also those of senders that still send other messages.
static void removeOutdatedUsage(LoadExchange &exchange, TimePoint now)
{
    const auto drop = [&](ReceivedUsage &usage, milliseconds timeout) {
        exchange.ignoredUsage.outdated += dropOutdatedUsage(usage, timeout, now) ? 1 : 0;
    };
    const milliseconds timeout = extendedTimeout(exchangeTimeout, sendInterval(exchange));
    for (auto &[id, member] : exchange.members) {
        drop(member.usage, timeout);
    }
    for (auto &[id, group] : exchange.groups) {
        drop(group.usage, groupTimeout(exchange));
    }
    drop(exchange.digest.usage, timeout);
}

static void removeExpired(LoadExchange &exchange, TimePoint now)
{
    const milliseconds interval = sendInterval(exchange);
    removeOutdatedUsage(exchange, now);
    for (const EntryId &id : expiredIds(exchange.members, extendedTimeout(exchangeTimeout, interval), now)) {
        dropMember(exchange, id);
    }
    for (const EntryId &id : expiredIds(exchange.groups, groupTimeout(exchange), now)) {
        const std::string host = exchange.groups.at(id).last.sender.host;
        dropGroup(exchange, id);
        recordHost(exchange, host, now);
    }
    std::erase_if(exchange.joinCandidates, [now](const auto &candidate) {
        return now - candidate.second.receivedAt > exchangeTimeout;
    });
    std::erase_if(exchange.contacts, [now](const auto &contact) {
        return now - contact.second > exchangeTimeout;
    });
    std::erase_if(exchange.knownHosts, [now](const auto &host) {
        return now - host.second > knownHostExpiry;
    });
    std::erase_if(exchange.unresponsiveUntil, [now](const auto &host) {
        return now >= host.second;
    });
}

/// Leaves an aggregator that does not respond. Follows its standby aggregator, which its digests name to all members, or becomes
/// an aggregator itself if there is none to follow.
static void leaveUnresponsiveAggregator(LoadExchange &exchange, TimePoint now)
{
    const milliseconds timeout = extendedTimeout(aggregatorTimeout, sendInterval(exchange));
    if (isAggregator(exchange) || now - exchange.lastResponseAt <= timeout) {
        return;
    }
    const EntryRef standby = exchange.digest.last.deputy;
    exchange.unresponsiveUntil[exchange.aggregator.host] = now + aggregatorRetryDelay;
    recordHost(exchange, exchange.aggregator.host, now);
    const bool hasStandby = !standby.entry.isEmpty() && !isOwn(exchange, standby) && !isUnresponsive(exchange, standby.host, now);
    if (hasStandby) {
        return followAggregator(exchange, standby, now);
    }
    becomeAggregator(exchange, now);
}

/// Joins a better group of the same data centre, or hands the group over to a member with much more processor time.
static void selectAggregator(LoadExchange &exchange, TimePoint now)
{
    if (!isAggregator(exchange)) {
        return;
    }
    const EntryRef *group = groupToJoin(exchange, exchange.self.dataCenter, 1 + exchange.members.size(), now);
    if (group && isBetterAggregator(*group, exchange.self)) {
        return followAggregator(exchange, EntryRef(*group), now);
    }
    const EntryRef standby = standbyAggregator(exchange);
    if (!standby.entry.isEmpty() && isMuchBetter(standby, exchange.self)) {
        followAggregator(exchange, standby, now);
    }
}

// [SECTION] Tick

/// The next of the seeds and known hosts that are neither a member nor the aggregator of a known group; empty if none.
static std::string nextHostToProbe(LoadExchange &exchange)
{
    std::vector<std::string> hosts = exchange.seeds;
    for (const auto &[host, at] : exchange.knownHosts) {
        hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end());
    const auto isActive = [&exchange](const std::string &host) {
        const auto hasHost = [&host](const auto &entry) {
            return entry.second.last.sender.host == host;
        };
        return host == exchange.self.host || std::any_of(exchange.members.begin(), exchange.members.end(), hasHost)
               || std::any_of(exchange.groups.begin(), exchange.groups.end(), hasHost);
    };
    std::erase_if(hosts, isActive);
    if (hosts.empty()) {
        return {};
    }
    const auto next = std::upper_bound(hosts.begin(), hosts.end(), exchange.lastProbedHost);
    exchange.lastProbedHost = next == hosts.end() ? hosts.front() : *next;
    return exchange.lastProbedHost;
}

/// Hosts to send a summary to in this tick: aggregators of known groups in rotation, contacts, and in every sixth tick one seed
/// or known host to probe.
static std::set<std::string> summaryReceivers(LoadExchange &exchange, TimePoint now)
{
    std::vector<Received<GroupSummary> *> groups;
    for (auto &[id, group] : exchange.groups) {
        groups.push_back(&group);
    }
    std::stable_sort(groups.begin(), groups.end(), [](const auto *a, const auto *b) {
        return a->sentAt < b->sentAt;
    });
    groups.resize(std::min(groups.size(), summariesPerInterval));
    std::set<std::string> hosts;
    for (Received<GroupSummary> *group : groups) {
        group->sentAt = now;
        hosts.insert(group->last.sender.host);
    }
    for (const auto &[host, at] : exchange.contacts) {
        hosts.insert(host);
    }
    constexpr std::uint64_t ticksBetweenProbes = 6;
    const std::string probedHost = exchange.ticks % ticksBetweenProbes == 0 ? nextHostToProbe(exchange) : std::string();
    if (!probedHost.empty()) {
        hosts.insert(probedHost);
    }
    return hosts;
}

/// Takes over the entry's state. Returns whether it has newer tables than at the last tick.
static bool updateOwnReport(LoadExchange &exchange, const EntryState &state)
{
    const bool hasNews = state.configurationChange > exchange.ownReport.configurationChange || state.targetsChange > exchange.ownReport.targetsChange;
    exchange.isWatching = state.isWatching;
    exchange.isStoreFailing = state.isStoreFailing;
    exchange.tablesProvenAt = state.tablesProvenAt;
    exchange.ownReport.sender = exchange.self;
    exchange.ownReport.sender.capacity = state.isDraining ? 0 : exchange.self.capacity;
    exchange.ownReport.incarnation = exchange.incarnation;
    exchange.ownReport.isStoreLost = state.isStoreLost;
    exchange.ownReport.isOrdering = state.isOrdering;
    exchange.ownReport.configurationChange = state.configurationChange;
    exchange.ownReport.targetsChange = state.targetsChange;
    exchange.ownReport.loads = state.loads;
    exchange.ownReport.demands = state.demands;
    exchange.ownReport.usage = state.usage;
    exchange.localTargets = state.localTargets;
    return hasNews;
}

/// Tells the members, and the other aggregators of the data centre, at once that this entry has newer tables: messages about loads are
/// rare where there are many targets, and a configuration has to be in force everywhere within seconds.
static void announceNews(LoadExchange &exchange, std::set<std::string> &summaryHosts, ExchangeMessages &messages, TimePoint now)
{
    for (const auto &[id, member] : exchange.members) {
        messages.push_back({member.last.sender.host, digestFor(exchange, member.last, now)});
    }
    for (const auto &[id, group] : exchange.groups) {
        if (isSameDataCenter(exchange, group.last.sender)) {
            summaryHosts.insert(group.last.sender.host);
        }
    }
}

ExchangeMessages tick(LoadExchange &exchange, const EntryState &state, TimePoint now)
{
    ++exchange.ticks;
    exchange.redirectsSinceTick = 0;
    exchange.self.capacity = state.isDraining ? 0 : exchange.self.capacity;
    const bool hasNews = updateOwnReport(exchange, state);
    creditProcessPauses(exchange, now);
    removeExpired(exchange, now);
    leaveUnresponsiveAggregator(exchange, now);
    selectAggregator(exchange, now);
    const bool isDue = !hasGroup(exchange) || exchange.ticks % (sendInterval(exchange) / exchangeInterval) == 0;
    if (!isDue && !hasNews) {
        return {};
    }
    if (!isAggregator(exchange)) {
        return {{exchange.aggregator.host, makeReport(exchange, now)}};
    }
    ExchangeMessages messages;
    for (const std::string &seed : exchange.seeds) {
        if (isJoining(exchange, now) && seed != exchange.self.host) {
            messages.push_back({seed, makeReport(exchange, now)});
        }
    }
    std::set<std::string> hosts = isDue ? summaryReceivers(exchange, now) : std::set<std::string>();
    if (hasNews) {
        announceNews(exchange, hosts, messages, now);
    }
    if (!hosts.empty()) {
        const GroupSummary summary = makeSummary(exchange, now);
        for (const std::string &host : hosts) {
            messages.push_back({host, summary});
        }
    }
    return messages;
}

// [SECTION] Received messages

void addContact(LoadExchange &exchange, const std::string &host, TimePoint now)
{
    recordHost(exchange, host, now);
    if (host != exchange.self.host && exchange.contacts.size() < maxGroups) {
        exchange.contacts[host] = now;
    }
}

/// The best aggregator for an entry of another data centre: that of a group there, else the best entry there that looks for a
/// group too, which may be the candidate itself.
static EntryRef remoteAggregatorFor(const LoadExchange &exchange, const EntryRef &candidate, TimePoint now)
{
    if (const EntryRef *group = groupToJoin(exchange, candidate.dataCenter, 1, now)) {
        return *group;
    }
    const auto best = exchange.joinCandidates.find(candidate.dataCenter);
    return best != exchange.joinCandidates.end() && isBetterAggregator(best->second.last, candidate) ? best->second.last : candidate;
}

static void recordJoinCandidate(LoadExchange &exchange, const EntryRef &candidate, TimePoint now)
{
    const auto best = exchange.joinCandidates.find(candidate.dataCenter);
    const bool isBest = best == exchange.joinCandidates.end() || !isBetterAggregator(best->second.last, candidate);
    if (isBest && (best != exchange.joinCandidates.end() || exchange.joinCandidates.size() < maxGroups)) {
        exchange.joinCandidates[candidate.dataCenter] = {candidate, now};
    }
}

/// Aggregator for an entry that this group has no slot for: that of another group, or else the entry itself, as the first of a new
/// group. The slot counts as taken until the group's next summary: of many entries that start together, each would otherwise be
/// sent to the same slot, or begin a group of its own.
static EntryRef reserveSlot(LoadExchange &exchange, const EntryReport &report, TimePoint now)
{
    const EntryRef *found = groupToJoin(exchange, exchange.self.dataCenter, 1, now);
    if (found) {
        const EntryRef aggregator = *found;
        ++exchange.groups.at(aggregator.entry).last.group.entries;
        return aggregator;
    }
    if (exchange.groups.size() < maxGroups && report.sender.capacity > 0) {
        GroupSummary begun;
        begun.sender = report.sender;
        begun.incarnation = report.incarnation;
        begun.sequence = report.sequence;
        begun.loads = report.loads;
        addEntry(begun.group, report);
        dropGroup(exchange, report.sender.entry);
        exchange.groups[report.sender.entry] = {begun, now};
        addLoads(exchange.loads, begun.loads);
    }
    return report.sender;
}

static ExchangeMessages handleMemberReport(LoadExchange &exchange, const EntryReport &report, TimePoint now)
{
    const EntryId &id = report.sender.entry;
    const auto known = exchange.members.find(id);
    const bool isKnown = known != exchange.members.end();
    if (!isKnown && exchange.members.size() >= maxGroupMembers) {
        return redirect(exchange, report.sender.host, reserveSlot(exchange, report, now));
    }
    if (isKnown && !isNewer(report, known->second.last)) {
        return {};
    }
    if (isKnown) {
        removeLoads(exchange.loads, known->second.last.loads);
    }
    dropGroup(exchange, id);
    Received<EntryReport> &member = exchange.members[id];
    member.last = report;
    member.receivedAt = now;
    member.provenAt = provenAtFromMessage(report.tablesAgeMs, now);
    takeUsage(exchange, member, now);
    addLoads(exchange.loads, report.loads);
    return {{report.sender.host, digestFor(exchange, report, now)}};
}

ExchangeMessages handleReport(LoadExchange &exchange, const EntryReport &report, TimePoint now)
{
    if (isOwn(exchange, report.sender)) {
        return {};
    }
    if (report.sender.entry == exchange.aggregator.entry) {
        // The aggregator hands its group over to this entry. One that is stopping is not followed again while others still
        // name it.
        if (report.sender.capacity == 0) {
            exchange.unresponsiveUntil[report.sender.host] = now + aggregatorRetryDelay;
        }
        becomeAggregator(exchange, now);
    }
    if (!isAggregator(exchange)) {
        return redirect(exchange, report.sender.host, exchange.aggregator);
    }
    if (isSameDataCenter(exchange, report.sender)) {
        return handleMemberReport(exchange, report, now);
    }
    recordJoinCandidate(exchange, report.sender, now);
    return redirect(exchange, report.sender.host, remoteAggregatorFor(exchange, report.sender, now));
}

/// Removes a group whose aggregator now reports to another one of its data centre: it is part of that group, and would be
/// counted twice.
static void dropGroupThatJoinedAnother(LoadExchange &exchange, const GroupDigest &digest)
{
    const auto group = exchange.groups.find(digest.sender.entry);
    const bool hasJoined = digest.aggregator.dataCenter == digest.sender.dataCenter && digest.aggregator.entry != digest.sender.entry;
    if (group != exchange.groups.end() && hasJoined && isNewer(digest, group->second.last)) {
        dropGroup(exchange, digest.sender.entry);
    }
}

/// Follows an aggregator named by another entry if this one is joining; otherwise adds it to the contacts. A group with members
/// joins another only by selectAggregator(), once the other's size is known: a data centre may need several groups.
static void handleNamedAggregator(LoadExchange &exchange, const EntryRef &named, TimePoint now)
{
    exchange.isAppointed = exchange.isAppointed || isOwn(exchange, named);
    if (named.entry.isEmpty() || isOwn(exchange, named) || isUnresponsive(exchange, named.host, now)) {
        return;
    }
    if (isSameDataCenter(exchange, named) && isJoining(exchange, now) && named.capacity > 0) {
        return followAggregator(exchange, named, now);
    }
    if (!exchange.groups.contains(named.entry) && exchange.contacts.size() < maxGroups) {
        exchange.contacts[named.host] = now;
    }
}

/// Reports to the aggregator that a redirect named without waiting for the next tick, so that a new entry finds its group within
/// a few round trips. Limited, as two full groups may redirect to each other until their next summaries.
static ExchangeMessages reportAfterRedirect(LoadExchange &exchange, TimePoint now)
{
    if (isAggregator(exchange) || exchange.redirectsSinceTick >= maxRedirectsPerTick) {
        return {};
    }
    ++exchange.redirectsSinceTick;
    return {{exchange.aggregator.host, makeReport(exchange, now)}};
}

ExchangeMessages handleDigest(LoadExchange &exchange, const GroupDigest &digest, TimePoint now)
{
    if (isOwn(exchange, digest.sender)) {
        return {};
    }
    const bool isAccepted = digest.aggregator.entry == digest.sender.entry;
    if (isAggregator(exchange)) {
        // The response to a report sent to a seed while joining, or to a summary.
        dropGroupThatJoinedAnother(exchange, digest);
        handleNamedAggregator(exchange, digest.aggregator, now);
        return reportAfterRedirect(exchange, now);
    }
    if (digest.sender.entry != exchange.aggregator.entry) {
        return {};
    }
    const GroupDigest &last = exchange.digest.last;
    if (digest.sender.entry == last.sender.entry && !isNewer(digest, last)) {
        return {};
    }
    if (isAccepted) {
        applyLoads(exchange, digest);
        exchange.digest.last = digest;
        exchange.digest.receivedAt = now;
        exchange.digest.provenAt = provenAtFromMessage(digest.tablesAgeMs, now);
        takeUsage(exchange, exchange.digest, now);
        exchange.lastResponseAt = now;
        recordHost(exchange, digest.sender.host, now);
        for (const EntryRef &aggregator : digest.aggregators) {
            recordHost(exchange, aggregator.host, now);
        }
    } else if (isOwn(exchange, digest.aggregator)) {
        becomeAggregator(exchange, now);
    } else if (!isUnresponsive(exchange, digest.aggregator.host, now)) {
        followAggregator(exchange, digest.aggregator, now);
        return reportAfterRedirect(exchange, now);
    }
    return {};
}

ExchangeMessages handleSummary(LoadExchange &exchange, const GroupSummary &summary, TimePoint now)
{
    if (isOwn(exchange, summary.sender)) {
        return {};
    }
    recordHost(exchange, summary.sender.host, now);
    if (!isAggregator(exchange)) {
        const bool isOfAggregator = summary.sender.entry == exchange.aggregator.entry;
        return isOfAggregator ? ExchangeMessages() : redirect(exchange, summary.sender.host, exchange.aggregator);
    }
    const EntryId &id = summary.sender.entry;
    const auto known = exchange.groups.find(id);
    const bool isKnown = known != exchange.groups.end();
    if (isKnown && !isNewer(summary, known->second.last)) {
        return {};
    }
    const TimePoint sentAt = isKnown ? known->second.sentAt : TimePoint();
    const ReceivedUsage usage = isKnown ? known->second.usage : ReceivedUsage();
    dropMember(exchange, id);
    dropGroup(exchange, id);
    if (exchange.groups.size() < maxGroups) {
        Received<GroupSummary> &group = exchange.groups[id];
        group = {summary, now, sentAt, usage, provenAtFromMessage(summary.tablesAgeMs, now)};
        takeUsage(exchange, group, now);
        addLoads(exchange.loads, summary.loads);
    }
    for (const EntryRef &aggregator : summary.aggregators) {
        const bool isNew = !isOwn(exchange, aggregator) && !exchange.groups.contains(aggregator.entry) && !exchange.members.contains(aggregator.entry);
        if (isNew && exchange.contacts.size() < maxGroups) {
            exchange.contacts[aggregator.host] = now;
        }
    }
    return {};
}

} // namespace Parsleytrail
