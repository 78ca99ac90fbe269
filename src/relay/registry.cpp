#include "relay/registry.h"

#include "base/log.h"
#include "policy/prefill_forecast.h"
#include "policy/store_outage.h"
#include "policy/table_source.h"
#include "wire/compression.h"

#include <algorithm>
#include <map>
#include <set>

namespace Parsleytrail
{

/// At the first start of the whole system an entry waits this long for a copy of the tables before it reads them: until it knows its
/// group, and that has them.
constexpr milliseconds maxCopyWait{3000};
/// Without an entry that reaches the store for this long, it counts as unreachable: another reader takes over in less time.
constexpr milliseconds storeSilenceTimeout{2500};
/// If an aggregator's source does not get rows that another entry has, they are copied from that one after this time: longer than
/// summaries take in a fleet of some hundred entries.
constexpr milliseconds sourceLagTimeout{1000};

/// After its start an entry leaves reading to others for this long, if it has the tables and the others don't reach the store.
constexpr milliseconds startPatience{4000};

/// The last copy that was sent of a table. The members of a group ask for the same one at the same time.
struct EncodedCopy {
    std::uint64_t after = 0;   ///< see TableCopy
    std::uint64_t change = 0;  ///< see TableCopy
    bool isCompressed = false; ///< by wire/compression.h
    std::string bytes;         ///< empty: none was sent yet
};

struct Registry::Private {
    RelayContext &context;
    HttpClient &client;
    Handlers handlers;
    ContactLimits limits = contactLimits(tablesBound(context.settings));
    std::unique_ptr<TableWatcher> configuration{};
    std::unique_ptr<TableWatcher> targets{};
    std::unique_ptr<Timer> removalTimer{};
    std::map<std::string, TimePoint> removals{}; ///< keys of targets to be removed, and when
    TimePoint storeRecoveredAt{};                ///< when the store last recovered; zero: it was never lost
    TimePoint storeLostAt{};                     ///< when the store was last lost
    bool isStoreUnreachable = false;             ///< by this entry and by all others that it knows of
    bool isReachedByOthers = false;              ///< another entry reaches the store, as last reported
    bool hadCompleteList = false;                ///< before the store was last lost; targets whose rows expired since are kept for expiredEntryGrace
    std::set<std::string> copying{};             ///< tables of which a copy was requested from a peer
    EncodedCopy lastConfigurationCopy{};
    EncodedCopy lastTargetsCopy{};
    TimePoint behindSince{};      ///< since when another entry has newer rows than this one; zero: none has
    TimePoint storeSilentSince{}; ///< since when no entry is known to reach the store; zero: one does, or this entry queries it
    MemberPatience patience{};    ///< with others that don't reach the store
    OwnTablesAge age{};           ///< how old the tables are
    bool areTablesOld = false;    ///< as last logged

    StoreContact contact() const;
    bool isSilent() const;
    void updateAge(const TableSource &source);
    void updateStoreReachability(const PeersView &others);
    void recordOwnPath(bool isReachable);
    void recordStoreReachable(bool isReachable);
    void followSource(const TableSource &source);
    void copyIfBehind(const EntriesView &entries);
    void fetchCopy(TableWatcher &watcher, const std::string &table, const std::string &host);
    void applyConfiguration(const Row &row);
    void applyTarget(const Row &row);
    void handleTargetRemoval(const std::string &key);
    void removeTarget(const std::string &key);
    void startRemovalTimer();
    void removeDueTargets();
};

Registry::Registry(RelayContext &context, HttpClient &client, const Address &store, Handlers handlers)
    : d(new Private{context, client, std::move(handlers)})
{
    TableWatcher::Handlers onConfiguration;
    onConfiguration.onRow = [this](const Row &row) {
        d->applyConfiguration(row);
    };
    onConfiguration.onRemoved = [](const std::string &) {
        // The operator never removes the configuration; the one in force stays.
    };
    onConfiguration.onRead = [this] {
        d->updateAge({});
        d->handlers.onRoutes();
    };
    onConfiguration.onStoreReachable = [](bool) {};
    d->configuration = std::make_unique<TableWatcher>(context, client, store, context.adapter.configurationTable(), context.settings.storeWatch,
                                                      maxRetryInterval, std::move(onConfiguration));

    TableWatcher::Handlers onTargets;
    onTargets.onRow = [this](const Row &row) {
        d->applyTarget(row);
    };
    onTargets.onRemoved = [this](const std::string &key) {
        d->handleTargetRemoval(key);
    };
    onTargets.onRead = [this] {
        logEvent(Event::TargetsRead, {{"targets", std::to_string(d->context.fleet.targets.size())}, {"revision", std::to_string(d->targets->lastChange())}});
        d->updateAge({});
        d->handlers.onTargets();
    };
    onTargets.onStoreReachable = [this](bool isReachable) {
        d->recordOwnPath(isReachable);
    };
    d->targets = std::make_unique<TableWatcher>(context, client, store, context.adapter.targetTable(),
                                                std::min(d->limits.interval, context.settings.storeWatch), maxTargetsRetryInterval, std::move(onTargets));
    d->removalTimer = std::make_unique<Timer>(context.loop, [this] {
        d->removeDueTargets();
    });
}

Registry::~Registry() = default;

void Registry::start()
{
    const milliseconds copyWait = d->context.settings.firstStart ? maxCopyWait : milliseconds(0);
    d->patience.readsAt = d->context.clock.now() + startPatience;
    d->configuration->start(copyWait);
    d->targets->start(copyWait);
}

bool Registry::isComplete() const
{
    return d->context.routes && d->targets->isRead();
}

bool Registry::isConfigurationFresh() const
{
    return d->context.routes && !isOld(d->age.provenAt, d->limits.bound, d->context.clock.now());
}

bool Registry::mayListBeIncomplete() const
{
    const bool hasJustRecovered = d->storeRecoveredAt != TimePoint() && d->context.clock.now() < d->storeRecoveredAt + expiredEntryGrace;
    return hasJustRecovered && !d->hadCompleteList;
}

bool Registry::isStoreLost() const
{
    return d->isStoreUnreachable;
}

bool Registry::isQueryingStore() const
{
    return d->targets->isQuerying() || d->configuration->isQuerying();
}

bool Registry::isStorePathLost() const
{
    return d->targets->isStoreLost() || d->configuration->isStoreLost();
}

TimePoint Registry::storeLostAt() const
{
    return d->storeLostAt;
}

TimePoint Registry::tablesProvenAt() const
{
    return d->age.provenAt;
}

void Registry::describe(EntryState &state) const
{
    state.isStoreFailing = isStorePathLost() || d->isSilent();
    // An entry that does not query the store can't tell whether it is reachable.
    state.isStoreLost = d->isStoreUnreachable || !d->targets->isWatching() || state.isStoreFailing;
    state.isWatching = isComplete() && d->targets->isWatching() && d->configuration->isWatching() && !state.isStoreFailing;
    state.configurationChange = d->configuration->lastChange();
    state.targetsChange = d->targets->lastChange();
    state.tablesProvenAt = d->age.provenAt;
}

void Registry::applyPeerState(const PeersView &others)
{
    const EntriesView &entries = others.entries;
    d->updateStoreReachability(others);
    d->updateAge(others.source);
    const OwnTables own = describeOwnTables(isComplete(), d->patience, d->age, d->limits, d->context.clock.now());
    switch (chooseTableAccess(others, own)) {
    case TableAccess::Copy:
        d->followSource(others.source);
        if (others.aggregator.empty()) {
            d->copyIfBehind(entries);
        }
        break;
    case TableAccess::LeaveToOthers:
        d->configuration->followPeer();
        d->targets->followPeer();
        break;
    case TableAccess::Read:
        d->configuration->stopFollowingPeer();
        d->targets->stopFollowingPeer();
        break;
    }
    if (d->configuration->isStoreLost() && entries.configuration.change > d->configuration->lastChange()) {
        d->fetchCopy(*d->configuration, d->context.adapter.configurationTable(), entries.configuration.host);
    }
    if (d->targets->isStoreLost() && entries.targets.change > d->targets->lastChange()) {
        d->fetchCopy(*d->targets, d->context.adapter.targetTable(), entries.targets.host);
    }
}

/// The answers to the calls for either table count: both come from one store.
StoreContact Registry::Private::contact() const
{
    const StoreContact &first = targets->contact();
    const StoreContact &second = configuration->contact();
    return {std::max(first.askedAt, second.askedAt), std::max(first.answeredAt, second.answeredAt)};
}

/// Whether this entry queries the store and has no answer for too long.
bool Registry::Private::isSilent() const
{
    return targets->isQuerying() && isStoreSilent(contact(), limits.maxSilence, context.clock.now());
}

/// Records what the store, or an entry that this one copies from, has proved of the tables.
void Registry::Private::updateAge(const TableSource &source)
{
    // The open watch of the other table would have told of its changes.
    const bool isWatchingBoth = configuration->isWatching() && targets->isWatching() && !configuration->isStoreLost() && !targets->isStoreLost();
    const auto [older, newer] = std::minmax({configuration->provenAt(), targets->provenAt()});
    recordAnswer(age, isWatchingBoth ? newer : older);
    if (!source.host.empty()) {
        recordProof(age, source.proof, configuration->lastChange(), targets->lastChange());
    }
    const TimePoint now = context.clock.now();
    const bool wereOld = std::exchange(areTablesOld, age.provenAt != TimePoint() && isOld(age.provenAt, limits.maxAge, now));
    if (areTablesOld != wereOld) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - age.provenAt);
        logEvent(areTablesOld ? Event::TablesOld : Event::TablesCurrent, {{"age_ms", std::to_string(elapsed.count())}, {"source", source.host}});
    }
}

/// Records that this entry's own calls to the store began to fail, or work again. As long as another entry reaches the store, only the
/// path is broken: targets can still renew their rows, so a missing row was really removed.
void Registry::Private::recordOwnPath(bool isReachable)
{
    const bool isChange = isReachable ? isStoreUnreachable : !isStoreUnreachable && !isReachedByOthers;
    if (isChange) {
        recordStoreReachable(isReachable);
    }
}

/// Decides from the other entries' reports whether the store is down for everyone, which starts and ends the grace for expired rows
/// (expiredEntryGrace). Needed at entries that don't query the store, or can't.
void Registry::Private::updateStoreReachability(const PeersView &others)
{
    isReachedByOthers = others.entries.isStoreReached;
    const bool isOwnPathLost = targets->isStoreLost();
    if (isReachedByOthers || isOwnPathLost || targets->isWatching() || others.entries.entries == 0) {
        storeSilentSince = TimePoint();
        if (isReachedByOthers && isStoreUnreachable) {
            recordStoreReachable(true);
        } else if (isOwnPathLost && !isReachedByOthers && !isStoreUnreachable) {
            recordStoreReachable(false);
        }
        return;
    }
    const TimePoint now = context.clock.now();
    storeSilentSince = storeSilentSince == TimePoint() ? now : storeSilentSince;
    if (!isStoreUnreachable && now - storeSilentSince >= storeSilenceTimeout) {
        recordStoreReachable(false);
    }
}

void Registry::Private::recordStoreReachable(bool isReachable)
{
    isStoreUnreachable = !isReachable;
    hadCompleteList = isReachable ? hadCompleteList : targets->isRead();
    storeLostAt = isReachable ? storeLostAt : context.clock.now();
    storeRecoveredAt = isReachable ? context.clock.now() : storeRecoveredAt;
}

/// Copies what the source has and this entry has not.
void Registry::Private::followSource(const TableSource &source)
{
    recordSource(patience, context.entryCount.mostPeersSeen, drawShare(context.random), context.clock.now());
    configuration->followPeer();
    targets->followPeer();
    if (source.configurationChange > configuration->lastChange()) {
        fetchCopy(*configuration, context.adapter.configurationTable(), source.host);
    }
    if (source.targetsChange > targets->lastChange()) {
        fetchCopy(*targets, context.adapter.targetTable(), source.host);
    }
}

/// Copies from the entry that has the newest rows, if the source has not had them for too long. For aggregators: if members did so too,
/// the whole fleet would ask one entry.
void Registry::Private::copyIfBehind(const EntriesView &entries)
{
    const TimePoint now = context.clock.now();
    const bool isBehind = entries.configuration.change > configuration->lastChange() || entries.targets.change > targets->lastChange();
    behindSince = !isBehind ? TimePoint() : behindSince == TimePoint() ? now : behindSince;
    if (!isBehind || now - behindSince < sourceLagTimeout) {
        return;
    }
    behindSince = now;
    if (entries.configuration.change > configuration->lastChange()) {
        fetchCopy(*configuration, context.adapter.configurationTable(), entries.configuration.host);
    }
    if (entries.targets.change > targets->lastChange()) {
        fetchCopy(*targets, context.adapter.targetTable(), entries.targets.host);
    }
}

constexpr std::uint16_t copyWireVersion = 3;    ///< wire version of copies between relays
constexpr milliseconds copyTimeout{1000};       ///< a copy of all rows is some hundred KB at most
constexpr milliseconds changesTimeout{400};     ///< changes are a few rows; on a timeout the store is queried once
constexpr std::size_t maxCopyBytes = 64u << 20; ///< bounds what a damaged copy may ask for

static bool decodeCopy(const HttpResult &result, TableCopy &copy)
{
    if (findHeader(result.headers, "Content-Encoding") != zstdCoding) {
        return decode(result.body, copyWireVersion, copy);
    }
    Error error;
    std::string bytes;
    const bool isDecompressed = runCatching(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(bytes, decompress(result.body, maxCopyBytes));
            return {};
        },
        error);
    return isDecompressed && decode(bytes, copyWireVersion, copy);
}

void Registry::Private::fetchCopy(TableWatcher &watcher, const std::string &table, const std::string &host)
{
    if (copying.contains(table)) {
        return;
    }
    HttpClientRequest request;
    // The parameters are in the body, not in the path: libevhtp misparses a request line that is received in two parts.
    const TableWanted wanted{table, watcher.isRead() ? watcher.lastChange() : 0};
    request.method = "POST";
    request.path = "/peer/table";
    request.timeout = wanted.after == 0 ? copyTimeout : changesTimeout;
    request.headers.push_back({"Accept-Encoding", zstdCoding});
    if (!encode(wanted, copyWireVersion, request.body)) {
        return;
    }
    copying.insert(table);
    const Address address{host, static_cast<std::uint16_t>(context.settings.peerPort)};
    client.fetch(address, std::move(request), [this, &watcher, table, host, after = wanted.after](const HttpResult &result) {
        copying.erase(table);
        TableCopy copy;
        const bool isCopy = result.isOk() && decodeCopy(result, copy) && copy.table == table && copy.after == after;
        const std::size_t changed = copy.rows.size() + copy.removed.size();
        logEvent(Event::TableCopied, {{"table", table},
                                      {"peer", host},
                                      {"change", std::to_string(copy.change)},
                                      {"rows", std::to_string(changed)},
                                      {"outcome", isCopy           ? "taken"
                                                  : result.failure ? result.failure->error.text
                                                                   : "no copy"}});
        if (isCopy) {
            watcher.applyCopy(copy);
        } else {
            watcher.queryNow(); // one call, which the store answers at once, as it has newer rows
        }
    });
}

std::string Registry::copyTable(std::string_view wantedBytes, bool isCompressed) const
{
    TableWanted wanted;
    if (!decode(wantedBytes, copyWireVersion, wanted)) {
        return {};
    }
    const bool isConfiguration = wanted.table == d->context.adapter.configurationTable();
    const bool isTargets = wanted.table == d->context.adapter.targetTable();
    if (!isConfiguration && !isTargets) {
        return {};
    }
    const TableWatcher &watcher = isConfiguration ? *d->configuration : *d->targets;
    EncodedCopy &last = isConfiguration ? d->lastConfigurationCopy : d->lastTargetsCopy;
    if (last.bytes.empty() || last.after != wanted.after || last.change != watcher.lastChange() || last.isCompressed != isCompressed) {
        std::string bytes;
        if (!encode(watcher.copyRows(wanted.after), copyWireVersion, bytes)) {
            return {};
        }
        last = {wanted.after, watcher.lastChange(), isCompressed, isCompressed ? compress(bytes) : std::move(bytes)};
    }
    return last.bytes;
}

void Registry::Private::applyConfiguration(const Row &row)
{
    if (row.key != context.adapter.configurationKey()) {
        return;
    }
    auto table = std::make_shared<RouteTable>();
    Error error;
    const bool isDecoded = runCatching(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(*table, context.adapter.decodeConfiguration(row.value));
            return {};
        },
        error);
    if (!isDecoded) {
        logEvent(Event::ConfigurationUnreadable, {{"error", error.toString()}, {"revision", std::to_string(row.version)}});
        return;
    }
    if (context.routes && table->version <= context.routes->version) {
        logEvent(Event::ConfigurationOlder, {{"version", std::to_string(table->version.value)}});
        return;
    }
    indexRoutes(*table);
    limitForecast(*table, context.settings.promptForecast);
    logEvent(Event::ConfigurationInForce, {{"version", std::to_string(table->version.value)},
                                           {"revision", std::to_string(row.version)},
                                           {"routes", std::to_string(table->routes.size())},
                                           {"keys", std::to_string(table->keyOwners.size())}});
    context.routes = std::move(table);
    handlers.onRoutes();
}

static std::string layersText(const LayerRange &layers)
{
    return std::to_string(layers.from) + "-" + std::to_string(layers.to);
}

void Registry::Private::applyTarget(const Row &row)
{
    RegisteredTarget registered;
    Error error;
    const bool isDecoded = runCatching(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(registered, context.adapter.decodeTarget(row.key, row.value));
            return {};
        },
        error);
    if (!isDecoded) {
        logEvent(Event::TargetUnreadable, {{"key", row.key}, {"error", error.toString()}});
        return;
    }
    removals.erase(row.key);
    const Target *known = findTarget(context.fleet, registered.id);
    const bool isChange = !known || known->registered != registered;
    if (!recordRegistration(context.fleet, registered, context.clock.now()) || !isChange) {
        return;
    }
    if (!targets->isRead()) {
        return; // one line for the whole table, see onRead
    }
    logEvent(Event::TargetListed, {{"target", registered.id.value},
                                   {"service", registered.service.value},
                                   {"address", registered.address.toString()},
                                   {"data_center", registered.dataCenter},
                                   {"draining", registered.isDraining ? "true" : "false"},
                                   {"accelerator", registered.accelerator},
                                   {"layers", layersText(registered.layers)},
                                   {"revision", std::to_string(row.version)}});
    handlers.onTargets();
}

void Registry::Private::handleTargetRemoval(const std::string &key)
{
    const TimePoint now = context.clock.now();
    const bool mayHaveExpired = isStoreUnreachable || (storeRecoveredAt != TimePoint() && now < storeRecoveredAt + expiredEntryGrace);
    if (!mayHaveExpired) {
        return removeTarget(key);
    }
    removals[key] = std::max(storeRecoveredAt, now - expiredEntryGrace) + expiredEntryGrace;
    startRemovalTimer();
}

void Registry::Private::startRemovalTimer()
{
    const auto first = std::min_element(removals.begin(), removals.end(), [](const auto &a, const auto &b) {
        return a.second < b.second;
    });
    if (first != removals.end()) {
        const TimePoint::duration left = std::max(first->second - context.clock.now(), TimePoint::duration::zero());
        removalTimer->start(std::chrono::ceil<microseconds>(left));
    }
}

void Registry::Private::removeTarget(const std::string &key)
{
    const Target *target = findTarget(context.fleet, TargetId{key});
    if (!target) {
        return;
    }
    logEvent(Event::TargetUnlisted, {{"target", key}, {"address", target->registered.address.toString()}});
    dropConnections(context, *target);
    recordRemoval(context.fleet, TargetId{key}, context.clock.now());
    handlers.onTargets();
}

void Registry::Private::removeDueTargets()
{
    const TimePoint now = context.clock.now();
    std::vector<std::string> due;
    for (const auto &[key, at] : removals) {
        if (at <= now) {
            due.push_back(key);
        }
    }
    for (const std::string &key : due) {
        removals.erase(key);
        removeTarget(key);
    }
    startRemovalTimer();
}

} // namespace Parsleytrail
