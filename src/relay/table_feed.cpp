#include "relay/table_feed.h"

#include "base/log.h"

#include <algorithm>
#include <set>

namespace Parsleytrail
{

constexpr milliseconds readTimeout{1000};       ///< a read takes milliseconds; a store slowed sixty times still makes it
constexpr milliseconds watchMargin{700};        ///< beyond the wait of a watch until it counts as lost
constexpr milliseconds firstRetryPause{100};    ///< doubles with each failure in a row
constexpr milliseconds longestRetryPause{1000}; ///< bounds how late the store's return is noticed
/// A change is followed by others: the watch goes on after this pause, so that they come in one answer. A fraction of
/// the time in which a configuration must be in force.
constexpr milliseconds watchPause{200};
/// After news of a peer that follows the table, a feed does not watch for this long, and some more that differs between
/// entries: they do not all come back at once when the peer is gone.
constexpr milliseconds followTime{700};
constexpr milliseconds followSpread{400};
constexpr milliseconds followTick{100}; ///< how often a feed that does not watch looks whether it should
/// Failures in a row after which the store counts as lost: one may be a connection that was closed in order.
constexpr int failuresUntilLost = 2;

struct TableFeed::Private {
    RelayContext &context;
    HttpClient &client;
    Address store;
    std::string table;
    Handlers handlers;

    std::unique_ptr<Timer> next{};
    HttpCallPtr call{};
    std::map<std::string, Row> rows{};             ///< known, by key; removed ones too, without value
    std::map<std::string, std::uint64_t> goneBy{}; ///< of removed rows whose removal was not seen: a revision at which they were gone
    std::set<std::string> seen{};                  ///< keys of the reading under way
    std::string readFrom{};                        ///< where the reading goes on
    std::uint64_t revision = 0;                    ///< of the last answer
    std::uint64_t firstRevision = 0;               ///< of the first page of the reading under way
    std::uint64_t lastChange = 0;                  ///< highest version of a row, removed ones included
    std::uint64_t knownSince = 0;                  ///< revision of the first reading: removals before it are not known
    TimePoint confirmedAt{};
    TimePoint followedUntil{}; ///< a peer watches the table for this feed
    int failures = 0;
    bool isWatching = false;
    bool isRead = false;
    bool isIdle = false; ///< it waits for a peer's news instead of the store's

    void ask();
    void askUnlessFollowed();
    bool isFollowed() const;
    void takeAnswer(const HttpResult &result);
    void takePage(const RowPage &page);
    void takeRow(const Row &row);
    void dropMissing(const std::set<std::string> &present, std::uint64_t revision);
    void endReading();
    void takeFailure(const std::string &reason);
    void noteAnswer();
};

bool goesOnFrom(const TableCopy &copy, std::uint64_t lastChange)
{
    const bool hasHole = !copy.isWhole && copy.after > lastChange;
    return copy.change > lastChange && !hasHole;
}

TableFeed::TableFeed(RelayContext &context, HttpClient &client, const Address &store, std::string table, Handlers handlers)
    : d(std::make_unique<Private>(Private{context, client, store, std::move(table), std::move(handlers)}))
{
    d->next = std::make_unique<Timer>(context.loop, [this] {
        d->askUnlessFollowed();
    });
}

TableFeed::~TableFeed()
{
    if (d->call) {
        d->call->cancel();
    }
}

void TableFeed::start()
{
    d->ask();
}

bool TableFeed::isRead() const
{
    return d->isRead;
}

TimePoint TableFeed::confirmedAt() const
{
    return d->confirmedAt;
}

bool TableFeed::isStoreLost() const
{
    return d->failures >= failuresUntilLost;
}

std::uint64_t TableFeed::lastChange() const
{
    return d->lastChange;
}

bool TableFeed::isWatching() const
{
    return d->isWatching && d->call && !d->isFollowed();
}

TableCopy TableFeed::copyRows(std::uint64_t after) const
{
    TableCopy copy;
    copy.table = d->table;
    copy.after = after;
    copy.change = d->lastChange;
    // What was removed before the first reading is not known here.
    copy.isWhole = after == 0 || after < d->knownSince;
    for (const auto &[key, row] : d->rows) {
        const auto gone = d->goneBy.find(key);
        const std::uint64_t changedAt = gone == d->goneBy.end() ? row.version : std::max(row.version, gone->second);
        const bool isChanged = copy.isWhole || changedAt > after;
        if (isChanged && !row.isDeleted) {
            copy.rows.push_back({key, row.version, row.value});
        } else if (isChanged && !copy.isWhole) {
            copy.removed.push_back({key, row.version, {}});
        }
    }
    return copy;
}

void TableFeed::follow()
{
    if (d->isRead && d->failures == 0) {
        std::uniform_int_distribution<std::int64_t> more(0, followSpread.count());
        d->followedUntil = d->context.clock.now() + followTime + milliseconds(more(d->context.random));
    }
}

void TableFeed::catchUp()
{
    if (d->isIdle) {
        d->next->stop();
        d->ask();
    }
}

void TableFeed::stopFollowing()
{
    d->followedUntil = TimePoint();
}

void TableFeed::takeCopy(const TableCopy &copy)
{
    if (!goesOnFrom(copy, d->lastChange)) {
        return;
    }
    std::set<std::string> present;
    for (const TableRow &row : copy.rows) {
        present.insert(row.key);
        d->takeRow({row.key, row.version, row.value, false});
    }
    for (const TableRow &row : copy.removed) {
        d->takeRow({row.key, row.version, {}, true});
    }
    if (copy.isWhole) {
        d->dropMissing(present, copy.change);
    }
    d->lastChange = copy.change;
    d->revision = std::max(d->revision, copy.change);
    if (!d->isRead) {
        d->isRead = true;
        d->handlers.onRead();
    }
}

void TableFeed::noteConfirmed(std::uint64_t change)
{
    if (d->isRead && change <= d->lastChange) {
        d->confirmedAt = d->context.clock.now();
    }
}

bool TableFeed::Private::isFollowed() const
{
    return context.clock.now() < followedUntil;
}

void TableFeed::Private::askUnlessFollowed()
{
    isIdle = isWatching && failures == 0 && isFollowed();
    if (isIdle) {
        next->start(followTick);
    } else {
        ask();
    }
}

void TableFeed::Private::ask()
{
    isIdle = false;
    ++context.metrics.storeCalls;
    // A store that is back answers a watch at the next change only. Its return has to be known at once: for a while after it
    // removals count as entries that lapsed, and one that comes later than that must not.
    const milliseconds wait = failures > 0 ? milliseconds(0) : context.settings.storeWatch;
    HttpClientRequest request = isWatching ? context.dialect.watchRowsRequest(table, revision, wait) : context.dialect.readRowsRequest({table, readFrom, {}});
    request.timeout = isWatching && failures == 0 ? wait + watchMargin : readTimeout;
    call = client.fetch(store, std::move(request), [this](const HttpResult &result) {
        takeAnswer(result);
    });
}

void TableFeed::Private::takeAnswer(const HttpResult &result)
{
    constexpr int gone = 410;
    if (!result.failure && result.status == gone && isWatching) {
        logEvent(Event::WatchReset, {{"table", table}, {"revision", std::to_string(revision)}});
        noteAnswer();
        isWatching = false;
        return ask();
    }
    if (!result.isOk()) {
        return takeFailure(result.failure ? result.failure->error.toString() : "status " + std::to_string(result.status));
    }
    RowPage page;
    Error error;
    const bool isDecoded = runCatching(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(page, context.dialect.decodeRows(result.body));
            return {};
        },
        error);
    if (!isDecoded) {
        return takeFailure(error.toString());
    }
    noteAnswer();
    takePage(page);
}

void TableFeed::Private::noteAnswer()
{
    confirmedAt = context.clock.now();
    if (failures >= failuresUntilLost) {
        logEvent(Event::StoreBack, {{"table", table}});
        handlers.onStore(true);
    }
    failures = 0;
}

void TableFeed::Private::takePage(const RowPage &page)
{
    for (const Row &row : page.rows) {
        if (!isWatching) {
            seen.insert(row.key);
        }
        takeRow(row);
    }
    if (isWatching) {
        revision = std::max(revision, page.revision);
        if (page.rows.empty()) {
            askUnlessFollowed();
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
        return ask();
    }
    endReading();
}

void TableFeed::Private::takeRow(const Row &row)
{
    Row &known = rows[row.key];
    // A row that a peer's older copy lacked is not gone: the store still shows it, at the version that was known.
    const bool isBack = row.version == known.version && known.isDeleted && !row.isDeleted;
    // Its removal was not seen, only that it is not there any more.
    const bool isGone = row.version == known.version && row.isDeleted && !known.isDeleted && known.version > 0;
    if (row.version <= known.version && !isBack && !isGone) {
        return;
    }
    known = row;
    lastChange = std::max(lastChange, row.version);
    if (row.isDeleted) {
        handlers.onGone(row.key);
    } else {
        handlers.onRow(row);
    }
}

/// Reports rows as removed that a whole reading, or a peer's whole copy, of this revision did not hold.
void TableFeed::Private::dropMissing(const std::set<std::string> &present, std::uint64_t revision)
{
    for (auto &[key, row] : rows) {
        if (!row.isDeleted && !present.contains(key)) {
            row.isDeleted = true;
            row.value.clear();
            goneBy[key] = revision;
            handlers.onGone(key);
        }
    }
}

/// All pages are there: rows that were not among them are gone, and changes since the first page are watched.
void TableFeed::Private::endReading()
{
    dropMissing(seen, firstRevision);
    lastChange = std::max(lastChange, isRead ? firstRevision : 0);
    knownSince = knownSince == 0 ? firstRevision : knownSince;
    seen.clear();
    readFrom.clear();
    revision = firstRevision;
    isWatching = true;
    isRead = true;
    handlers.onRead();
    ask();
}

void TableFeed::Private::takeFailure(const std::string &reason)
{
    ++failures;
    if (failures == failuresUntilLost) {
        logEvent(Event::StoreUnreachable, {{"table", table}, {"reason", reason}});
        handlers.onStore(false);
    }
    const int doublings = std::min(failures - 1, 4);
    const milliseconds pause = std::min(firstRetryPause * (1 << doublings), longestRetryPause);
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    next->start(std::chrono::duration_cast<microseconds>(pause * jitter(context.random)));
}

} // namespace Parsleytrail
