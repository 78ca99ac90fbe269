// Index: [SECTION] Ranks, [SECTION] What is told, [SECTION] Membership, [SECTION] Tick, [SECTION] Messages taken
#include "policy/load_exchange.h"

#include "policy/progress.h"

#include <algorithm>
#include <set>

namespace Parsleytrail
{

// [SECTION] Ranks

/// Whether `a` is the better aggregator. All entries rank alike, so that they choose the same one.
static bool isBetter(const EntryRef &a, const EntryRef &b)
{
    return a.capacity != b.capacity ? a.capacity > b.capacity : a.entry < b.entry;
}

/// A group is handed to a member only if that has clearly more processor time: each change costs news of some hundred ms.
static bool isMuchBetter(const EntryRef &a, const EntryRef &b)
{
    return a.capacity > b.capacity + b.capacity / 2;
}

template<typename Message, typename Known>
static bool isNewer(const Message &message, const Known &known)
{
    return message.incarnation != known.incarnation ? message.incarnation > known.incarnation : message.sequence > known.sequence;
}

static bool isOwn(const LoadExchange &exchange, const EntryRef &entry)
{
    return entry.entry == exchange.self.entry;
}

static bool isNear(const LoadExchange &exchange, const EntryRef &entry)
{
    return entry.dataCenter == exchange.self.dataCenter;
}

static bool isSilent(const LoadExchange &exchange, const std::string &host, TimePoint now)
{
    const auto it = exchange.silent.find(host);
    return it != exchange.silent.end() && now < it->second;
}

bool isAggregator(const LoadExchange &exchange)
{
    return exchange.aggregator.entry.isEmpty();
}

static bool hasDigest(const LoadExchange &exchange, TimePoint now)
{
    return exchange.digest.at != TimePoint() && now - exchange.digest.at < exchangeSilence;
}

/// Whether the members and groups of a new aggregator have not all spoken yet: what it knew as a member counts on.
static bool isTakingOver(const LoadExchange &exchange, TimePoint now)
{
    return isAggregator(exchange) && hasDigest(exchange, now) && now - exchange.aggregatesSince < takeoverTime;
}

/// Whether it looks for a group after its start.
static bool isJoining(const LoadExchange &exchange, TimePoint now)
{
    return exchange.members.empty() && now - exchange.startedAt < joinTime;
}

static std::size_t groupSize(const GroupSummary &summary)
{
    return summary.group.entries;
}

/// The group of a data centre to join: of those with room the best. Null if none is known.
static const EntryRef *groupToJoin(const LoadExchange &exchange, const std::string &dataCenter, TimePoint now)
{
    const EntryRef *best = nullptr;
    for (const auto &[id, group] : exchange.groups) {
        const EntryRef &ref = group.last.sender;
        const bool hasRoom = groupSize(group.last) <= maxGroupMembers;
        const bool isCandidate = ref.dataCenter == dataCenter && ref.capacity > 0 && hasRoom && !isSilent(exchange, ref.host, now);
        if (isCandidate && (!best || isBetter(ref, *best))) {
            best = &ref;
        }
    }
    return best;
}

/// The member that takes over when this entry stops or falls silent.
static EntryRef deputyOf(const LoadExchange &exchange)
{
    EntryRef best;
    for (const auto &[id, member] : exchange.members) {
        const EntryRef &ref = member.last.sender;
        if (ref.capacity > 0 && (best.entry.isEmpty() || isBetter(ref, best))) {
            best = ref;
        }
    }
    return best;
}

// [SECTION] What is told

static EntriesView groupView(const LoadExchange &exchange)
{
    EntriesView view;
    addEntry(view, exchange.own);
    for (const auto &[id, member] : exchange.members) {
        addEntry(view, member.last);
    }
    return view;
}

/// All entries but one: this entry too, unless it is the one left out.
static EntriesView viewWithout(const LoadExchange &exchange, const EntryId &leftOut)
{
    EntriesView view;
    if (leftOut != exchange.self.entry) {
        addEntry(view, exchange.own);
    }
    for (const auto &[id, member] : exchange.members) {
        if (id != leftOut) {
            addEntry(view, member.last);
        }
    }
    for (const auto &[id, group] : exchange.groups) {
        addView(view, group.last.group);
    }
    return view;
}

static GroupDigest makeDigest(LoadExchange &exchange, const EntryRef &aggregator)
{
    GroupDigest digest;
    digest.sender = exchange.self;
    digest.incarnation = exchange.incarnation;
    digest.sequence = ++exchange.sequence;
    digest.aggregator = aggregator;
    return digest;
}

static ExchangeMessages redirect(LoadExchange &exchange, const std::string &host, const EntryRef &aggregator)
{
    return {{host, makeDigest(exchange, aggregator)}};
}

/// Names aggregators that this one hears itself, others each time. What others told is not passed on: entries that are gone
/// would be spoken of for ever.
static std::vector<EntryRef> aggregatorsInTurn(LoadExchange &exchange, std::size_t limit)
{
    std::vector<EntryRef> refs;
    auto next = exchange.groups.upper_bound(exchange.toldAggregator);
    for (std::size_t i = 0; i < std::min(exchange.groups.size(), limit); ++i) {
        next = next == exchange.groups.end() ? exchange.groups.begin() : next;
        refs.push_back(next->second.last.sender);
        exchange.toldAggregator = next->first;
        ++next;
    }
    return refs;
}

/// Whether a digest tells of a target.
static bool isTold(const LoadExchange &exchange, const GroupDigest &digest, std::uint32_t target)
{
    const bool isNearTarget = std::binary_search(exchange.nearTargets.begin(), exchange.nearTargets.end(), target);
    return isNearTarget || (digest.turns > 0 && target % digest.turns == digest.turn);
}

static LoadTable toldOf(const LoadExchange &exchange, const LoadTable &loads, const GroupDigest &digest)
{
    LoadTable told;
    for (const auto &[target, sum] : loads) {
        if (isTold(exchange, digest, target)) {
            told[target] = sum;
        }
    }
    return told;
}

/// Takes the loads of a digest for those that it tells of.
static void takeLoads(LoadExchange &exchange, const GroupDigest &digest)
{
    const bool isFull = digest.loads.size() >= maxToldLoads;
    std::erase_if(exchange.heard, [&](const auto &load) {
        return !isFull && isTold(exchange, digest, load.first);
    });
    for (const EngineLoad &load : digest.loads) {
        exchange.heard[load.target] = {load.openRequests, load.avoiding, static_cast<double>(load.kvTokenLayers)};
    }
}

/// The answer to a member.
static GroupDigest digestFor(LoadExchange &exchange, const EntryReport &report, TimePoint now)
{
    GroupDigest digest = makeDigest(exchange, exchange.self);
    digest.deputy = deputyOf(exchange);
    digest.isWatching = exchange.isWatching && !exchange.own.isStoreLost;
    digest.aggregators = aggregatorsInTurn(exchange, maxToldToMembers);
    digest.turns = farTurns;
    digest.turn = static_cast<std::uint32_t>(report.sequence % farTurns);
    if (isTakingOver(exchange, now)) {
        digest.others = exchange.digest.last.others;
        digest.loads = listLoads(toldOf(exchange, exchange.heard, digest), maxToldLoads);
        return digest;
    }
    digest.others = viewWithout(exchange, report.sender.entry);
    LoadTable others = exchange.loads;
    removeLoads(others, report.loads);
    addLoads(others, exchange.own.loads);
    digest.loads = listLoads(toldOf(exchange, others, digest), maxToldLoads);
    return digest;
}

static GroupSummary makeSummary(LoadExchange &exchange)
{
    GroupSummary summary;
    summary.sender = exchange.self;
    summary.incarnation = exchange.incarnation;
    summary.sequence = ++exchange.sequence;
    summary.group = groupView(exchange);
    summary.aggregators = aggregatorsInTurn(exchange, maxToldAggregators);
    LoadTable loads;
    addLoads(loads, exchange.own.loads);
    for (const auto &[id, member] : exchange.members) {
        addLoads(loads, member.last.loads);
    }
    summary.loads = listLoads(loads, maxToldLoads);
    return summary;
}

static EntryReport makeReport(LoadExchange &exchange)
{
    EntryReport report = exchange.own;
    report.sequence = ++exchange.sequence;
    return report;
}

LoadExchange makeLoadExchange(const EntryRef &self, Incarnation incarnation, std::vector<std::string> seeds, TimePoint now)
{
    LoadExchange exchange;
    exchange.self = self;
    exchange.incarnation = incarnation;
    exchange.seeds = std::move(seeds);
    exchange.startedAt = now;
    return exchange;
}

OthersView othersOf(const LoadExchange &exchange, TimePoint now)
{
    OthersView view;
    view.aggregator = exchange.aggregator.host;
    if (isAggregator(exchange) && !isTakingOver(exchange, now)) {
        view.entries = viewWithout(exchange, exchange.self.entry);
        view.loads = listLoads(exchange.loads, exchange.loads.size());
        return view;
    }
    if (hasDigest(exchange, now)) {
        view.entries = exchange.digest.last.others;
        view.loads = listLoads(exchange.heard, exchange.heard.size());
        view.isFollowed = exchange.digest.last.isWatching && exchange.digest.last.sender.entry == exchange.aggregator.entry;
    }
    return view;
}

// [SECTION] Membership

static void remember(LoadExchange &exchange, const std::string &host, TimePoint now)
{
    if (host == exchange.self.host) {
        return;
    }
    exchange.remembered[host] = now;
    if (exchange.remembered.size() > maxRememberedHosts) {
        const auto oldest = std::min_element(exchange.remembered.begin(), exchange.remembered.end(), [](const auto &a, const auto &b) {
            return a.second < b.second;
        });
        exchange.remembered.erase(oldest);
    }
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

/// Reports to another entry from now on; its members are told so with their next reports.
static void follow(LoadExchange &exchange, const EntryRef &aggregator, TimePoint now)
{
    if (isAggregator(exchange) && !isTakingOver(exchange, now)) {
        // Until the first answer comes, what was known counts on.
        GroupDigest known;
        known.others = viewWithout(exchange, exchange.self.entry);
        exchange.digest = {known, now};
        exchange.heard = exchange.loads;
    }
    exchange.aggregator = aggregator;
    exchange.answeredAt = now;
    exchange.members.clear();
    exchange.groups.clear();
    exchange.contacts.clear();
    exchange.loads.clear();
}

static void aggregate(LoadExchange &exchange, TimePoint now)
{
    exchange.aggregator = {};
    exchange.aggregatesSince = now;
    for (const auto &[host, at] : exchange.remembered) {
        if (now - at < freshMemory) {
            exchange.contacts[host] = now;
        }
    }
}

/// What others sent while this process stood still waits to be read: taken for gone, their load would not be counted.
static void creditStalls(LoadExchange &exchange, TimePoint now)
{
    const milliseconds stall = processPauseBefore(exchange.tickedAt, now, exchangeInterval);
    exchange.tickedAt = now;
    for (auto &[id, member] : exchange.members) {
        member.at = creditProcessPause(member.at, stall, now);
    }
    for (auto &[id, group] : exchange.groups) {
        group.at = creditProcessPause(group.at, stall, now);
    }
    exchange.answeredAt = creditProcessPause(exchange.answeredAt, stall, now);
    exchange.digest.at = exchange.digest.at == TimePoint() ? TimePoint() : creditProcessPause(exchange.digest.at, stall, now);
}

template<typename Message>
static std::vector<EntryId> silentOnes(const std::map<EntryId, Heard<Message>> &heard, milliseconds allowed, TimePoint now)
{
    std::vector<EntryId> silent;
    for (const auto &[id, one] : heard) {
        if (now - one.at > allowed) {
            silent.push_back(id);
        }
    }
    return silent;
}

static void dropSilent(LoadExchange &exchange, TimePoint now)
{
    for (const EntryId &id : silentOnes(exchange.members, exchangeSilence, now)) {
        dropMember(exchange, id);
    }
    // Each of many groups is spoken to more rarely.
    const milliseconds groupSilence = exchangeSilence + exchangeInterval * (exchange.groups.size() / groupsAnInterval);
    for (const EntryId &id : silentOnes(exchange.groups, groupSilence, now)) {
        dropGroup(exchange, id);
    }
    std::erase_if(exchange.askers, [now](const auto &asker) {
        return now - asker.second.at > exchangeSilence;
    });
    std::erase_if(exchange.contacts, [now](const auto &contact) {
        return now - contact.second > exchangeSilence;
    });
    std::erase_if(exchange.remembered, [now](const auto &host) {
        return now - host.second > rememberFor;
    });
    std::erase_if(exchange.silent, [now](const auto &host) {
        return now >= host.second;
    });
}

/// Leaves an aggregator that does not answer: for its deputy, whom all its members know, or else this entry collects itself.
static void leaveSilentAggregator(LoadExchange &exchange, TimePoint now)
{
    if (isAggregator(exchange) || now - exchange.answeredAt <= answerTimeout) {
        return;
    }
    const EntryRef deputy = exchange.digest.last.deputy;
    exchange.silent[exchange.aggregator.host] = now + aggregatorPause;
    remember(exchange, exchange.aggregator.host, now);
    const bool isDeputyElsewhere = !deputy.entry.isEmpty() && !isOwn(exchange, deputy) && !isSilent(exchange, deputy.host, now);
    if (isDeputyElsewhere) {
        return follow(exchange, deputy, now);
    }
    aggregate(exchange, now);
}

/// Joins a better group of the same data centre, or hands the group to a member.
static void chooseAggregator(LoadExchange &exchange, TimePoint now)
{
    if (!isAggregator(exchange)) {
        return;
    }
    const EntryRef *group = groupToJoin(exchange, exchange.self.dataCenter, now);
    const bool fits = group && groupSize(exchange.groups.at(group->entry).last) + exchange.members.size() <= maxGroupMembers;
    if (fits && isBetter(*group, exchange.self)) {
        return follow(exchange, EntryRef(*group), now);
    }
    const EntryRef deputy = deputyOf(exchange);
    if (!deputy.entry.isEmpty() && isMuchBetter(deputy, exchange.self)) {
        follow(exchange, deputy, now);
    }
}

// [SECTION] Tick

/// The next of the hosts that were heard of before and are not heard now.
static std::string hostToTry(LoadExchange &exchange)
{
    std::vector<std::string> hosts = exchange.seeds;
    for (const auto &[host, at] : exchange.remembered) {
        hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end());
    const auto isHeard = [&exchange](const std::string &host) {
        const auto is = [&host](const auto &entry) {
            return entry.second.last.sender.host == host;
        };
        return host == exchange.self.host || std::any_of(exchange.members.begin(), exchange.members.end(), is)
               || std::any_of(exchange.groups.begin(), exchange.groups.end(), is);
    };
    std::erase_if(hosts, isHeard);
    if (hosts.empty()) {
        return {};
    }
    const auto next = std::upper_bound(hosts.begin(), hosts.end(), exchange.triedHost);
    exchange.triedHost = next == hosts.end() ? hosts.front() : *next;
    return exchange.triedHost;
}

/// Hosts of the aggregators to speak to this time: groups in turn, those that others told of, and one of before.
static std::set<std::string> groupHosts(LoadExchange &exchange, TimePoint now)
{
    std::vector<Heard<GroupSummary> *> groups;
    for (auto &[id, group] : exchange.groups) {
        groups.push_back(&group);
    }
    std::stable_sort(groups.begin(), groups.end(), [](const auto *a, const auto *b) {
        return a->toldAt < b->toldAt;
    });
    groups.resize(std::min(groups.size(), groupsAnInterval));
    std::set<std::string> hosts;
    for (Heard<GroupSummary> *group : groups) {
        group->toldAt = now;
        hosts.insert(group->last.sender.host);
    }
    for (const auto &[host, at] : exchange.contacts) {
        hosts.insert(host);
    }
    constexpr std::uint64_t ticksBetweenTries = 6;
    const std::string tried = exchange.ticks % ticksBetweenTries == 0 ? hostToTry(exchange) : std::string();
    if (!tried.empty()) {
        hosts.insert(tried);
    }
    return hosts;
}

static void noteOwnState(LoadExchange &exchange, const EntryState &state)
{
    exchange.isWatching = state.isWatching;
    exchange.own.sender = exchange.self;
    exchange.own.sender.capacity = state.isDraining ? 0 : exchange.self.capacity;
    exchange.own.incarnation = exchange.incarnation;
    exchange.own.isStoreLost = state.isStoreLost;
    exchange.own.isOrdering = state.isOrdering;
    exchange.own.configurationChange = state.configurationChange;
    exchange.own.targetsChange = state.targetsChange;
    exchange.own.loads = state.loads;
    exchange.nearTargets = state.nearTargets;
}

ExchangeMessages tick(LoadExchange &exchange, const EntryState &state, TimePoint now)
{
    ++exchange.ticks;
    exchange.self.capacity = state.isDraining ? 0 : exchange.self.capacity;
    noteOwnState(exchange, state);
    creditStalls(exchange, now);
    dropSilent(exchange, now);
    leaveSilentAggregator(exchange, now);
    chooseAggregator(exchange, now);
    const std::size_t stride = 1 + exchange.nearTargets.size() / nearTargetsAnInterval;
    if (exchange.ticks % stride != 0) {
        return {};
    }
    if (!isAggregator(exchange)) {
        return {{exchange.aggregator.host, makeReport(exchange)}};
    }
    ExchangeMessages messages;
    for (const std::string &seed : exchange.seeds) {
        if (isJoining(exchange, now) && seed != exchange.self.host) {
            messages.push_back({seed, makeReport(exchange)});
        }
    }
    const std::set<std::string> hosts = groupHosts(exchange, now);
    if (!hosts.empty()) {
        const GroupSummary summary = makeSummary(exchange);
        for (const std::string &host : hosts) {
            messages.push_back({host, summary});
        }
    }
    return messages;
}

// [SECTION] Messages taken

void noteContact(LoadExchange &exchange, const std::string &host, TimePoint now)
{
    remember(exchange, host, now);
    if (host != exchange.self.host && exchange.contacts.size() < maxGroups) {
        exchange.contacts[host] = now;
    }
}

/// The best aggregator for an entry of another data centre: of its group there, or of those that look for one too.
static EntryRef aggregatorElsewhere(const LoadExchange &exchange, const EntryRef &asker, TimePoint now)
{
    if (const EntryRef *group = groupToJoin(exchange, asker.dataCenter, now)) {
        return *group;
    }
    const auto best = exchange.askers.find(asker.dataCenter);
    return best != exchange.askers.end() && isBetter(best->second.last, asker) ? best->second.last : asker;
}

static void noteAsker(LoadExchange &exchange, const EntryRef &asker, TimePoint now)
{
    const auto best = exchange.askers.find(asker.dataCenter);
    const bool isBest = best == exchange.askers.end() || !isBetter(best->second.last, asker);
    if (isBest && (best != exchange.askers.end() || exchange.askers.size() < maxGroups)) {
        exchange.askers[asker.dataCenter] = {asker, now};
    }
}

/// A better group of the sender's data centre that both fit into; null if this entry hears of none.
static const EntryRef *groupForGroup(const LoadExchange &exchange, const GroupSummary &summary, TimePoint now)
{
    const EntryRef *better = groupToJoin(exchange, summary.sender.dataCenter, now);
    if (!better || !isBetter(*better, summary.sender)) {
        return nullptr;
    }
    const bool fits = groupSize(exchange.groups.at(better->entry).last) + groupSize(summary) <= maxGroupMembers;
    return fits ? better : nullptr;
}

static ExchangeMessages takeMember(LoadExchange &exchange, const EntryReport &report, TimePoint now)
{
    const EntryId &id = report.sender.entry;
    const auto known = exchange.members.find(id);
    const bool isKnown = known != exchange.members.end();
    if (!isKnown && exchange.members.size() >= maxGroupMembers) {
        const EntryRef *group = groupToJoin(exchange, exchange.self.dataCenter, now);
        return redirect(exchange, report.sender.host, group ? *group : report.sender);
    }
    if (isKnown && !isNewer(report, known->second.last)) {
        return {};
    }
    if (isKnown) {
        removeLoads(exchange.loads, known->second.last.loads);
    }
    dropGroup(exchange, id);
    exchange.members[id] = {report, now};
    addLoads(exchange.loads, report.loads);
    return {{report.sender.host, digestFor(exchange, report, now)}};
}

ExchangeMessages takeReport(LoadExchange &exchange, const EntryReport &report, TimePoint now)
{
    if (isOwn(exchange, report.sender)) {
        return {};
    }
    if (report.sender.entry == exchange.aggregator.entry) {
        // It hands its group over. One that stops is not to be followed again when others still name it.
        if (report.sender.capacity == 0) {
            exchange.silent[report.sender.host] = now + aggregatorPause;
        }
        aggregate(exchange, now);
    }
    if (!isAggregator(exchange)) {
        return redirect(exchange, report.sender.host, exchange.aggregator);
    }
    if (isNear(exchange, report.sender)) {
        return takeMember(exchange, report, now);
    }
    noteAsker(exchange, report.sender, now);
    return redirect(exchange, report.sender.host, aggregatorElsewhere(exchange, report.sender, now));
}

/// A group whose aggregator reports to another of its data centre is part of that one's group now: counted twice otherwise.
static void dropGroupThatJoinedAnother(LoadExchange &exchange, const GroupDigest &digest)
{
    const auto group = exchange.groups.find(digest.sender.entry);
    const bool hasJoined = digest.aggregator.dataCenter == digest.sender.dataCenter && digest.aggregator.entry != digest.sender.entry;
    if (group != exchange.groups.end() && hasJoined && isNewer(digest, group->second.last)) {
        dropGroup(exchange, digest.sender.entry);
    }
}

/// Follows who was named, if that ends a search or improves the group; else gets to know it.
static void takeNamedAggregator(LoadExchange &exchange, const EntryRef &named, TimePoint now)
{
    if (named.entry.isEmpty() || isOwn(exchange, named) || isSilent(exchange, named.host, now)) {
        return;
    }
    const bool isUseful = isJoining(exchange, now) || isBetter(named, exchange.self);
    if (isNear(exchange, named) && isUseful && named.capacity > 0) {
        return follow(exchange, named, now);
    }
    if (!exchange.groups.contains(named.entry) && exchange.contacts.size() < maxGroups) {
        exchange.contacts[named.host] = now;
    }
}

ExchangeMessages takeDigest(LoadExchange &exchange, const GroupDigest &digest, TimePoint now)
{
    if (isOwn(exchange, digest.sender)) {
        return {};
    }
    const bool isTaken = digest.aggregator.entry == digest.sender.entry;
    if (isAggregator(exchange)) {
        // It looks for a group, or tries a host of before.
        dropGroupThatJoinedAnother(exchange, digest);
        takeNamedAggregator(exchange, digest.aggregator, now);
        return {};
    }
    if (digest.sender.entry != exchange.aggregator.entry) {
        return {};
    }
    const GroupDigest &last = exchange.digest.last;
    if (digest.sender.entry == last.sender.entry && !isNewer(digest, last)) {
        return {};
    }
    if (isTaken) {
        takeLoads(exchange, digest);
        exchange.digest = {digest, now};
        exchange.answeredAt = now;
        remember(exchange, digest.sender.host, now);
        for (const EntryRef &aggregator : digest.aggregators) {
            remember(exchange, aggregator.host, now);
        }
    } else if (isOwn(exchange, digest.aggregator)) {
        aggregate(exchange, now);
    } else if (!isSilent(exchange, digest.aggregator.host, now)) {
        follow(exchange, digest.aggregator, now);
    }
    return {};
}

ExchangeMessages takeSummary(LoadExchange &exchange, const GroupSummary &summary, TimePoint now)
{
    if (isOwn(exchange, summary.sender)) {
        return {};
    }
    remember(exchange, summary.sender.host, now);
    if (!isAggregator(exchange)) {
        const bool isOfAggregator = summary.sender.entry == exchange.aggregator.entry;
        return isOfAggregator ? ExchangeMessages() : redirect(exchange, summary.sender.host, exchange.aggregator);
    }
    const EntryId &id = summary.sender.entry;
    const auto known = exchange.groups.find(id);
    if (known != exchange.groups.end() && !isNewer(summary, known->second.last)) {
        return {};
    }
    const TimePoint toldAt = known != exchange.groups.end() ? known->second.toldAt : TimePoint();
    dropMember(exchange, id);
    dropGroup(exchange, id);
    if (exchange.groups.size() < maxGroups) {
        exchange.groups[id] = {summary, now, toldAt};
        addLoads(exchange.loads, summary.loads);
    }
    for (const EntryRef &aggregator : summary.aggregators) {
        const bool isNew = !isOwn(exchange, aggregator) && !exchange.groups.contains(aggregator.entry) && !exchange.members.contains(aggregator.entry);
        if (isNew && exchange.contacts.size() < maxGroups) {
            exchange.contacts[aggregator.host] = now;
        }
    }
    const EntryRef *better = groupForGroup(exchange, summary, now);
    return better ? redirect(exchange, summary.sender.host, *better) : ExchangeMessages();
}

} // namespace Parsleytrail
