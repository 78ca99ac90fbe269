#include "relay/table_watcher.h"

#include "base/log.h"
#include "policy/store_outage.h"

#include <algorithm>
#include <set>

namespace Parsleytrail
{

constexpr milliseconds readTimeout{1000}; ///< a read takes milliseconds; a store that is sixty times slower still meets this
constexpr milliseconds watchMargin{700};  ///< time after the wait of a watch until the watch counts as lost
/// A change is usually followed by others: the watch continues after this pause, so that they arrive in one response. It is a
/// fraction of the time within which a configuration must be in force.
constexpr milliseconds watchPause{200};
/// After a report of a peer that watches the table, a watcher does not watch for this long plus a random time of up to
/// maxFollowJitter: entries do not all query the store at once when the peer is lost.
constexpr milliseconds followTime{700};
constexpr milliseconds maxFollowJitter{400};
/// After its first read a watcher waits this long for a peer that watches the table: until entries that start together are in groups.
constexpr milliseconds settleTime{1500};
constexpr milliseconds followCheckInterval{50}; ///< how often a watcher that waits for a peer checks whether it must watch itself
/// Consecutive failures after which the store counts as lost: a single one may be a connection that was closed normally.
constexpr int failuresUntilLost = 2;

struct TableWatcher::Private {
    RelayContext &context;
    HttpClient &client;
    Address store;
    std::string table;
    milliseconds wait;         ///< of a watch
    milliseconds longestRetry; ///< interval of calls to a store that fails, see retryInterval()
    Handlers handlers;

    std::unique_ptr<Timer> next{};
    HttpCallPtr call{};
    std::map<std::string, Row> rows{}; ///< known rows by key; includes removed ones, without value
    /// For removed rows: a revision at which they were missing. The version of a row that a whole read did not contain is that of its last write.
    std::map<std::string, std::uint64_t> removedBy{};
    std::set<std::string> keysRead{}; ///< keys received by the current read
    std::string readFrom{};           ///< key at which the current read continues
    std::uint64_t revision = 0;       ///< revision of the last response
    std::uint64_t firstRevision = 0;  ///< revision of the first page of the current read
    std::uint64_t lastChange = 0;     ///< highest version of any row, including removed ones
    std::uint64_t historyStart = 0;   ///< revision of the first read: removals before it are unknown
    StoreContact contact{};
    TimePoint queriedAt{};          ///< start of the last call to the store
    TimePoint provenAt{};           ///< when the store last answered with all changes up to then
    TimePoint firstPageAt{};        ///< of the current read
    TimePoint followingPeerUntil{}; ///< until when a peer is relied on to watch the table
    int failures = 0;
    int resetsInRow = 0; ///< watches that the store had no history for, since one that it answered
    bool isWatching = false;
    bool isRead = false;
    bool isStarting = false;       ///< it has neither read the table nor begun to
    bool isSettling = false;       ///< it has read the table for the first time and not begun to watch it
    bool isWaitingForPeer = false; ///< it waits for a peer's changes instead of the store's

    void queryStore();
    void queryUnlessFollowing();
    bool isFollowingPeer() const;
    void handleResponse(const HttpResult &result);
    void applyPage(const RowPage &page);
    void applyRow(const Row &row);
    bool removeMissing(const std::set<std::string> &present, std::uint64_t revision);
    void finishRead();
    void continueAfterFirstCopy(std::uint64_t change);
    void handleFailure(const std::string &reason);
    void startRetryTimer(int failuresInRow, milliseconds longest);
    void recordResponse();
};

bool canApplyCopy(const TableCopy &copy, std::uint64_t lastChange)
{
    const bool hasMissingChanges = !copy.isWhole && copy.after > lastChange;
    return copy.change > lastChange && !hasMissingChanges;
}

TableWatcher::TableWatcher(RelayContext &context, HttpClient &client, const Address &store, std::string table, milliseconds wait, milliseconds longestRetry,
                           Handlers handlers)
    : d(std::make_unique<Private>(Private{context, client, store, std::move(table), wait, longestRetry, std::move(handlers)}))
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

void TableWatcher::start(milliseconds copyWait)
{
    d->isStarting = true;
    d->followingPeerUntil = d->context.clock.now() + copyWait;
    d->queryUnlessFollowing();
}

bool TableWatcher::isRead() const
{
    return d->isRead;
}

TimePoint TableWatcher::provenAt() const
{
    return d->provenAt;
}

const StoreContact &TableWatcher::contact() const
{
    return d->contact;
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

bool TableWatcher::isQuerying() const
{
    return !d->isStarting && !d->isWaitingForPeer;
}

TableCopy TableWatcher::copyRows(std::uint64_t after) const
{
    TableCopy copy;
    copy.table = d->table;
    copy.after = after;
    copy.change = d->lastChange;
    // Rows removed before the first read are unknown here, so an older requester gets all rows.
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
    if (d->isStarting || d->isSettling) {
        queryNow();
    }
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
        // Whoever copies from here learns of the removal by this: the peer may know it from a whole read, under the version of the last write.
        d->removedBy[row.key] = copy.change;
    }
    if (copy.isWhole) {
        d->removeMissing(present, copy.change);
    }
    d->lastChange = copy.change;
    d->revision = std::max(d->revision, copy.change);
    if (!d->isRead) {
        d->isRead = true;
        d->continueAfterFirstCopy(copy.change);
        d->handlers.onRead();
    }
}

/// A first copy replaces the first read, unless that is in progress. If the table has to be watched later, the watch continues from the
/// copy.
void TableWatcher::Private::continueAfterFirstCopy(std::uint64_t change)
{
    if (isStarting) {
        isStarting = false;
        isWatching = true;
        historyStart = change;
    }
}

bool TableWatcher::Private::isFollowingPeer() const
{
    return context.clock.now() < followingPeerUntil;
}

void TableWatcher::Private::queryUnlessFollowing()
{
    isWaitingForPeer = (isWatching || isStarting) && failures == 0 && isFollowingPeer();
    if (isWaitingForPeer) {
        next->start(followCheckInterval);
    } else {
        queryStore();
    }
}

void TableWatcher::Private::queryStore()
{
    queriedAt = context.clock.now();
    if (isWaitingForPeer || isStarting) {
        contact.askedAt = queriedAt;
    }
    isWaitingForPeer = false;
    isStarting = false;
    isSettling = false;
    ++context.metrics.storeCalls;
    // A recovered store answers a watch only at the next change, but its recovery has to be noticed at once: for Registry's
    // expiredEntryGrace after it, removals are taken for rows that expired during the outage, and later ones must not be.
    const milliseconds thisWait = failures > 0 ? milliseconds(0) : wait;
    HttpClientRequest request =
        isWatching ? context.adapter.watchRowsRequest(table, revision, thisWait) : context.adapter.readRowsRequest({table, readFrom, {}});
    request.timeout = !isWatching ? readTimeout : failures == 0 ? thisWait + watchMargin : lostWatchTimeout;
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
        return ++resetsInRow == 1 ? queryStore() : startRetryTimer(resetsInRow - 1, maxRetryInterval);
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
    contact.answeredAt = context.clock.now();
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
        resetsInRow = 0;
        provenAt = context.clock.now();
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
        firstPageAt = context.clock.now();
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
    // A row that was missing in a peer's older copy was not removed: the store still has it, at the known version.
    const bool isRestored = row.version == known.version && known.isDeleted && !row.isDeleted;
    // The removal itself was not received, only that the row does not exist any more.
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

/// Reports known rows as removed that a complete read, or a peer's complete copy, of this revision did not contain. Returns whether
/// there were any.
bool TableWatcher::Private::removeMissing(const std::set<std::string> &present, std::uint64_t revision)
{
    bool hasRemoved = false;
    for (auto &[key, row] : rows) {
        if (!row.isDeleted && !present.contains(key)) {
            row.isDeleted = true;
            row.value.clear();
            removedBy[key] = revision;
            handlers.onRemoved(key);
            hasRemoved = true;
        }
    }
    return hasRemoved;
}

/// Ends a read after its last page: rows that it did not contain were removed, and changes since the first page are watched.
void TableWatcher::Private::finishRead()
{
    // Only a removal is news. If each read counted as a change, entries that read at different moments would copy equal tables from each
    // other. A change of 0 means that nothing is known: an empty table has to differ from it, so that peers can copy that it is empty.
    constexpr std::uint64_t emptyTableChange = 1;
    const bool hasRemoved = removeMissing(keysRead, firstRevision);
    lastChange = std::max(lastChange, hasRemoved ? firstRevision : std::min(firstRevision, emptyTableChange));
    historyStart = historyStart == 0 ? firstRevision : historyStart;
    keysRead.clear();
    readFrom.clear();
    revision = firstRevision;
    provenAt = firstPageAt;
    isWatching = true;
    isSettling = !std::exchange(isRead, true);
    if (isSettling) {
        // Another entry probably watches for this one, which it knows once it has found its group.
        followingPeerUntil = context.clock.now() + settleTime;
    }
    handlers.onRead();
    queryUnlessFollowing();
}

void TableWatcher::Private::handleFailure(const std::string &reason)
{
    ++failures;
    if (failures == failuresUntilLost) {
        logEvent(Event::StoreUnreachable, {{"table", table}, {"reason", reason}});
        handlers.onStoreReachable(false);
    }
    startRetryTimer(failures, longestRetry);
}

/// Queries the store again once the interval since the last call has passed.
void TableWatcher::Private::startRetryTimer(int failuresInRow, milliseconds longest)
{
    const milliseconds interval = retryInterval(failuresInRow, longest, drawShare(context.random));
    next->start(std::chrono::duration_cast<microseconds>(std::max(queriedAt + interval - context.clock.now(), TimePoint::duration::zero())));
}

} // namespace Parsleytrail
