#include "relay/table_watcher.h"

#include "base/log.h"

#include <algorithm>
#include <set>

namespace Parsleytrail
{

constexpr milliseconds readTimeout{1000};   ///< a read takes milliseconds; a store slowed sixty times still makes it
constexpr milliseconds watchMargin{700};    ///< beyond the wait of a watch until it counts as lost
constexpr milliseconds minRetryPause{100};  ///< doubles with each failure in a row
constexpr milliseconds maxRetryPause{1000}; ///< bounds how late the store's return is noticed
/// A change is followed by others: the watch goes on after this pause, so that they come in one answer. A fraction of
/// the time in which a configuration must be in force.
constexpr milliseconds watchPause{200};
/// After news of a peer that follows the table, a feed does not watch for this long, and some more that differs between
/// entries: they do not all come back at once when the peer is gone.
constexpr milliseconds followTime{700};
constexpr milliseconds maxFollowJitter{400};
constexpr milliseconds followCheckInterval{100}; ///< how often a feed that does not watch looks whether it should
/// Failures in a row after which the store counts as lost: one may be a connection that was closed in order.
constexpr int failuresUntilLost = 2;

struct TableWatcher::Private {
    RelayContext &context;
    HttpClient &client;
    Address store;
    std::string table;
    Handlers handlers;

    std::unique_ptr<Timer> next{};
    HttpCallPtr call{};
    std::map<std::string, Row> rows{};                ///< known, by key; removed ones too, without value
    std::map<std::string, std::uint64_t> removedBy{}; ///< of removed rows whose removal was not seen: a revision at which they were gone
    std::set<std::string> keysRead{};                 ///< keys of the reading under way
    std::string readFrom{};                           ///< where the reading goes on
    std::uint64_t revision = 0;                       ///< of the last answer
    std::uint64_t firstRevision = 0;                  ///< of the first page of the reading under way
    std::uint64_t lastChange = 0;                     ///< highest version of a row, removed ones included
    std::uint64_t historyStart = 0;                   ///< revision of the first reading: removals before it are not known
    TimePoint confirmedAt{};
    TimePoint followingPeerUntil{}; ///< a peer watches the table for this feed
    int failures = 0;
    bool isWatching = false;
    bool isRead = false;
    bool isWaitingForPeer = false; ///< it waits for a peer's news instead of the store's

    void queryStore();
    void queryUnlessFollowing();
    bool isFollowingPeer() const;
    void handleResponse(const HttpResult &result);
    void applyPage(const RowPage &page);
    void applyRow(const Row &row);
    void removeMissing(const std::set<std::string> &present, std::uint64_t revision);
    void finishRead();
    void handleFailure(const std::string &reason);
    void recordResponse();
};

bool canApplyCopy(const TableCopy &copy, std::uint64_t lastChange)
{
    const bool hasMissingChanges = !copy.isWhole && copy.after > lastChange;
    return copy.change > lastChange && !hasMissingChanges;
}

TableWatcher::TableWatcher(RelayContext &context, HttpClient &client, const Address &store, std::string table, Handlers handlers)
    : d(std::make_unique<Private>(Private{context, client, store, std::move(table), std::move(handlers)}))
{
    d->next = std::make_unique<Timer>(context.loop, [this] {
        d->queryUnlessFollowing();
    });
}

TableWatcher::~TableWatcher()
{
    if (d->call) {
        d->call->cancel();
    }
}

void TableWatcher::start()
{
    d->queryStore();
}

bool TableWatcher::isRead() const
{
    return d->isRead;
}

TimePoint TableWatcher::confirmedAt() const
{
    return d->confirmedAt;
}

bool TableWatcher::isStoreLost() const
{
    return d->failures >= failuresUntilLost;
}

std::uint64_t TableWatcher::lastChange() const
{
    return d->lastChange;
}

bool TableWatcher::isWatching() const
{
    return d->isWatching && d->call && !d->isFollowingPeer();
}

TableCopy TableWatcher::copyRows(std::uint64_t after) const
{
    TableCopy copy;
    copy.table = d->table;
    copy.after = after;
    copy.change = d->lastChange;
    // What was removed before the first reading is not known here.
    copy.isWhole = after == 0 || after < d->historyStart;
    for (const auto &[key, row] : d->rows) {
        const auto removal = d->removedBy.find(key);
        const std::uint64_t changedAt = removal == d->removedBy.end() ? row.version : std::max(row.version, removal->second);
        const bool isChanged = copy.isWhole || changedAt > after;
        if (isChanged && !row.isDeleted) {
            copy.rows.push_back({key, row.version, row.value});
        } else if (isChanged && !copy.isWhole) {
            copy.removed.push_back({key, row.version, {}});
        }
    }
    return copy;
}

void TableWatcher::followPeer()
{
    if (d->isRead && d->failures == 0) {
        std::uniform_int_distribution<std::int64_t> extra(0, maxFollowJitter.count());
        d->followingPeerUntil = d->context.clock.now() + followTime + milliseconds(extra(d->context.random));
    }
}

void TableWatcher::queryNow()
{
    if (d->isWaitingForPeer) {
        d->next->stop();
        d->queryStore();
    }
}

void TableWatcher::stopFollowingPeer()
{
    d->followingPeerUntil = TimePoint();
}

void TableWatcher::applyCopy(const TableCopy &copy)
{
    if (!canApplyCopy(copy, d->lastChange)) {
        return;
    }
    std::set<std::string> present;
    for (const TableRow &row : copy.rows) {
        present.insert(row.key);
        d->applyRow({row.key, row.version, row.value, false});
    }
    for (const TableRow &row : copy.removed) {
        d->applyRow({row.key, row.version, {}, true});
    }
    if (copy.isWhole) {
        d->removeMissing(present, copy.change);
    }
    d->lastChange = copy.change;
    d->revision = std::max(d->revision, copy.change);
    if (!d->isRead) {
        d->isRead = true;
        d->handlers.onRead();
    }
}

void TableWatcher::recordConfirmation(std::uint64_t change)
{
    if (d->isRead && change <= d->lastChange) {
        d->confirmedAt = d->context.clock.now();
    }
}

bool TableWatcher::Private::isFollowingPeer() const
{
    return context.clock.now() < followingPeerUntil;
}

void TableWatcher::Private::queryUnlessFollowing()
{
    isWaitingForPeer = isWatching && failures == 0 && isFollowingPeer();
    if (isWaitingForPeer) {
        next->start(followCheckInterval);
    } else {
        queryStore();
    }
}

void TableWatcher::Private::queryStore()
{
    isWaitingForPeer = false;
    ++context.metrics.storeCalls;
    // A store that is back answers a watch at the next change only. Its return has to be known at once: for a while after it
    // removals count as entries that lapsed, and one that comes later than that must not.
    const milliseconds wait = failures > 0 ? milliseconds(0) : context.settings.storeWatch;
    HttpClientRequest request = isWatching ? context.adapter.watchRowsRequest(table, revision, wait) : context.adapter.readRowsRequest({table, readFrom, {}});
    request.timeout = isWatching && failures == 0 ? wait + watchMargin : readTimeout;
    call = client.fetch(store, std::move(request), [this](const HttpResult &result) {
        handleResponse(result);
    });
}

void TableWatcher::Private::handleResponse(const HttpResult &result)
{
    constexpr int gone = 410;
    if (!result.failure && result.status == gone && isWatching) {
        logEvent(Event::WatchReset, {{"table", table}, {"revision", std::to_string(revision)}});
        recordResponse();
        isWatching = false;
        return queryStore();
    }
    if (!result.isOk()) {
        return handleFailure(result.failure ? result.failure->error.toString() : "status " + std::to_string(result.status));
    }
    RowPage page;
    Error error;
    const bool isDecoded = runCatching(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(page, context.adapter.decodeRows(result.body));
            return {};
        },
        error);
    if (!isDecoded) {
        return handleFailure(error.toString());
    }
    recordResponse();
    applyPage(page);
}

void TableWatcher::Private::recordResponse()
{
    confirmedAt = context.clock.now();
    if (failures >= failuresUntilLost) {
        logEvent(Event::StoreBack, {{"table", table}});
        handlers.onStoreReachable(true);
    }
    failures = 0;
}

void TableWatcher::Private::applyPage(const RowPage &page)
{
    for (const Row &row : page.rows) {
        if (!isWatching) {
            keysRead.insert(row.key);
        }
        applyRow(row);
    }
    if (isWatching) {
        revision = std::max(revision, page.revision);
        if (page.rows.empty()) {
            queryUnlessFollowing();
        } else {
            next->start(watchPause);
        }
        return;
    }
    if (readFrom.empty()) {
        firstRevision = page.revision;
    }
    if (page.hasMore && !page.rows.empty()) {
        readFrom = page.rows.back().key + '\x01';
        return queryStore();
    }
    finishRead();
}

void TableWatcher::Private::applyRow(const Row &row)
{
    Row &known = rows[row.key];
    // A row that a peer's older copy lacked is not gone: the store still shows it, at the version that was known.
    const bool isRestored = row.version == known.version && known.isDeleted && !row.isDeleted;
    // Its removal was not seen, only that it is not there any more.
    const bool isMissing = row.version == known.version && row.isDeleted && !known.isDeleted && known.version > 0;
    if (row.version <= known.version && !isRestored && !isMissing) {
        return;
    }
    known = row;
    lastChange = std::max(lastChange, row.version);
    if (row.isDeleted) {
        handlers.onRemoved(row.key);
    } else {
        handlers.onRow(row);
    }
}

/// Reports rows as removed that a whole reading, or a peer's whole copy, of this revision did not hold.
void TableWatcher::Private::removeMissing(const std::set<std::string> &present, std::uint64_t revision)
{
    for (auto &[key, row] : rows) {
        if (!row.isDeleted && !present.contains(key)) {
            row.isDeleted = true;
            row.value.clear();
            removedBy[key] = revision;
            handlers.onRemoved(key);
        }
    }
}

/// All pages are there: rows that were not among them are gone, and changes since the first page are watched.
void TableWatcher::Private::finishRead()
{
    removeMissing(keysRead, firstRevision);
    lastChange = std::max(lastChange, isRead ? firstRevision : 0);
    historyStart = historyStart == 0 ? firstRevision : historyStart;
    keysRead.clear();
    readFrom.clear();
    revision = firstRevision;
    isWatching = true;
    isRead = true;
    handlers.onRead();
    queryStore();
}

void TableWatcher::Private::handleFailure(const std::string &reason)
{
    ++failures;
    if (failures == failuresUntilLost) {
        logEvent(Event::StoreUnreachable, {{"table", table}, {"reason", reason}});
        handlers.onStoreReachable(false);
    }
    const int doublings = std::min(failures - 1, 4);
    const milliseconds pause = std::min(minRetryPause * (1 << doublings), maxRetryPause);
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    next->start(std::chrono::duration_cast<microseconds>(pause * jitter(context.random)));
}

} // namespace Parsleytrail
