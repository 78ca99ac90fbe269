#include "relay/registry.h"

#include "base/log.h"

#include <map>
#include <set>

namespace Parsleytrail
{

/// Rows that expired during an outage of the store reappear within two seconds after its recovery if their target is live; a target
/// that is missing longer is removed. The remainder allows for the delay of the watch.
constexpr milliseconds expiredEntryGrace{2300};
/// The configuration counts as fresh this long after the store last confirmed it: the wait of a watch and its margin.
constexpr milliseconds configurationFreshTime{3000};
constexpr milliseconds removalCheckInterval{100}; ///< how often due removals are searched for

struct Registry::Private {
    RelayContext &context;
    HttpClient &client;
    Handlers handlers;
    std::unique_ptr<TableWatcher> configuration{};
    std::unique_ptr<TableWatcher> targets{};
    std::unique_ptr<Timer> removalTimer{};
    std::map<std::string, TimePoint> removals{}; ///< keys of targets to be removed, and when
    TimePoint storeRecoveredAt{};                ///< when the store last recovered; zero: it was never lost
    TimePoint storeLostAt{};                     ///< when the store was last lost
    bool isStoreUnreachable = false;
    bool hadCompleteList = false;       ///< before the store was last lost; targets whose rows expired since are kept for expiredEntryGrace
    std::set<std::string> copying{};    ///< tables of which a copy was requested from a peer
    std::size_t configurationBytes = 0; ///< size of the configuration in force

    void fetchConfiguration(const std::string &aggregator);
    void fetchCopy(TableWatcher &watcher, const std::string &table, const std::string &host);
    void applyConfiguration(const Row &row);
    void applyTarget(const Row &row);
    void handleTargetRemoval(const std::string &key);
    void removeTarget(const std::string &key);
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
        d->handlers.onRoutes();
    };
    onConfiguration.onStoreReachable = [](bool) {};
    d->configuration = std::make_unique<TableWatcher>(context, client, store, context.adapter.configurationTable(), std::move(onConfiguration));

    TableWatcher::Handlers onTargets;
    onTargets.onRow = [this](const Row &row) {
        d->applyTarget(row);
    };
    onTargets.onRemoved = [this](const std::string &key) {
        d->handleTargetRemoval(key);
    };
    onTargets.onRead = [this] {
        d->handlers.onTargets();
    };
    onTargets.onStoreReachable = [this](bool isReachable) {
        d->isStoreUnreachable = !isReachable;
        d->hadCompleteList = isReachable ? d->hadCompleteList : d->targets->isRead();
        d->storeLostAt = isReachable ? d->storeLostAt : d->context.clock.now();
        d->storeRecoveredAt = isReachable ? d->context.clock.now() : d->storeRecoveredAt;
    };
    d->targets = std::make_unique<TableWatcher>(context, client, store, context.adapter.targetTable(), std::move(onTargets));
    d->removalTimer = std::make_unique<Timer>(context.loop, [this] {
        d->removeDueTargets();
    });
}

Registry::~Registry() = default;

void Registry::start()
{
    d->configuration->start();
    d->targets->start();
}

bool Registry::isComplete() const
{
    return d->context.routes && d->targets->isRead();
}

bool Registry::isConfigurationFresh() const
{
    return d->context.routes && d->context.clock.now() - d->configuration->confirmedAt() < configurationFreshTime;
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

TimePoint Registry::storeLostAt() const
{
    return d->storeLostAt;
}

void Registry::describe(EntryState &state) const
{
    // An entry that does not query the store can't tell whether it is reachable.
    state.isStoreLost = d->isStoreUnreachable || !d->targets->isWatching();
    state.isWatching = isComplete() && d->targets->isWatching() && d->configuration->isWatching();
    state.configurationChange = d->configuration->lastChange();
    state.targetsChange = d->targets->lastChange();
}

void Registry::applyPeerState(const PeersView &others)
{
    const EntriesView &entries = others.entries;
    if (others.isAggregatorWatching) {
        d->configuration->followPeer();
        d->targets->followPeer();
        if (entries.configuration.change > d->configuration->lastChange()) {
            d->fetchConfiguration(others.aggregator);
        }
        if (entries.targets.change > d->targets->lastChange()) {
            d->fetchCopy(*d->targets, d->context.adapter.targetTable(), others.aggregator);
        }
    }
    if (d->configuration->isStoreLost() && entries.configuration.change > d->configuration->lastChange()) {
        d->fetchCopy(*d->configuration, d->context.adapter.configurationTable(), entries.configuration.host);
    }
    if (d->targets->isStoreLost() && entries.targets.change > d->targets->lastChange()) {
        d->fetchCopy(*d->targets, d->context.adapter.targetTable(), entries.targets.host);
    }
    if (entries.isStoreReached) {
        d->configuration->recordConfirmation(entries.configuration.change);
        d->targets->recordConfirmation(entries.targets.change);
    }
}

constexpr std::uint16_t copyWireVersion = 3; ///< wire version of copies between relays
constexpr milliseconds copyTimeout{1000};    ///< a copy of all rows is some hundred KB at most
constexpr milliseconds changesTimeout{400};  ///< changes are a few rows; on a timeout the watcher watches the table itself

/// Configurations above this size are read from the store, which sends them to many entries at once faster than the aggregator:
/// its link may carry 20 Mbit/s, and a group has up to 24 members.
constexpr std::size_t maxCopiedConfigurationBytes = 64 * 1024;

/// Fetches a newer configuration that the aggregator of this entry's group has. Calls to the store are limited and charged.
void Registry::Private::fetchConfiguration(const std::string &aggregator)
{
    if (configurationBytes > maxCopiedConfigurationBytes) {
        return configuration->queryNow();
    }
    fetchCopy(*configuration, context.adapter.configurationTable(), aggregator);
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
    if (!encode(wanted, copyWireVersion, request.body)) {
        return;
    }
    copying.insert(table);
    const Address address{host, static_cast<std::uint16_t>(context.settings.peerPort)};
    client.fetch(address, std::move(request), [this, &watcher, table, host, after = wanted.after](const HttpResult &result) {
        copying.erase(table);
        TableCopy copy;
        const bool isCopy = result.isOk() && decode(result.body, copyWireVersion, copy) && copy.table == table && copy.after == after;
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
            watcher.stopFollowingPeer();
        }
    });
}

std::string Registry::copyTable(std::string_view wantedBytes) const
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
    std::string bytes;
    return encode(watcher.copyRows(wanted.after), copyWireVersion, bytes) ? bytes : std::string();
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
    logEvent(Event::ConfigurationInForce, {{"version", std::to_string(table->version.value)},
                                           {"revision", std::to_string(row.version)},
                                           {"routes", std::to_string(table->routes.size())},
                                           {"keys", std::to_string(table->keyOwners.size())}});
    context.routes = std::move(table);
    configurationBytes = row.value.size();
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
    removalTimer->start(removalCheckInterval);
}

void Registry::Private::removeTarget(const std::string &key)
{
    const Target *target = findTarget(context.fleet, TargetId{key});
    if (!target) {
        return;
    }
    logEvent(Event::TargetUnlisted, {{"target", key}, {"address", target->registered.address.toString()}});
    context.connections.drop(target->registered.address);
    recordRemoval(context.fleet, TargetId{key});
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
    if (!removals.empty()) {
        removalTimer->start(removalCheckInterval);
    }
}

} // namespace Parsleytrail
