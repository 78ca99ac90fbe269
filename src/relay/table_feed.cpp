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
constexpr milliseconds watchPause{50};
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
    std::map<std::string, std::uint64_t> versions{}; ///< of the rows known, by key
    std::set<std::string> seen{};                    ///< keys of the reading under way
    std::string readFrom{};                          ///< where the reading goes on
    std::uint64_t revision = 0;                      ///< of the last answer
    std::uint64_t firstRevision = 0;                 ///< of the first page of the reading under way
    TimePoint answeredAt{};
    int failures = 0;
    bool isWatching = false;
    bool isRead = false;

    void ask();
    void takeAnswer(const HttpResult &result);
    void takePage(const RowPage &page);
    void takeRow(const Row &row);
    void endReading();
    void takeFailure(const std::string &reason);
    void noteAnswer();
};

TableFeed::TableFeed(RelayContext &context, HttpClient &client, const Address &store, std::string table, Handlers handlers)
    : d(std::make_unique<Private>(Private{context, client, store, std::move(table), std::move(handlers)}))
{
    d->next = std::make_unique<Timer>(context.loop, [this] {
        d->ask();
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

TimePoint TableFeed::answeredAt() const
{
    return d->answeredAt;
}

void TableFeed::Private::ask()
{
    ++context.metrics.storeCalls;
    const milliseconds wait = context.settings.storeWatch;
    HttpClientRequest request = isWatching ? context.dialect.watchRowsRequest(table, revision, wait) : context.dialect.readRowsRequest({table, readFrom, {}});
    request.timeout = isWatching ? wait + watchMargin : readTimeout;
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
    answeredAt = context.clock.now();
    if (failures >= failuresUntilLost) {
        logEvent(Event::StoreBack, {{"table", table}});
        handlers.onStore(true);
    }
    failures = 0;
}

void TableFeed::Private::takePage(const RowPage &page)
{
    for (const Row &row : page.rows) {
        takeRow(row);
    }
    if (isWatching) {
        revision = std::max(revision, page.revision);
        next->start(page.rows.empty() ? milliseconds(0) : watchPause);
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
    if (!isWatching) {
        seen.insert(row.key);
    }
    std::uint64_t &known = versions[row.key];
    if (row.version <= known) {
        return;
    }
    known = row.version;
    if (row.isDeleted) {
        handlers.onGone(row.key);
    } else {
        handlers.onRow(row);
    }
}

/// All pages are there: rows that were not among them are gone, and changes since the first page are watched.
void TableFeed::Private::endReading()
{
    std::erase_if(versions, [this](const auto &entry) {
        const bool isGone = !seen.contains(entry.first);
        if (isGone) {
            handlers.onGone(entry.first);
        }
        return isGone;
    });
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
    const int doublings = std::min(failures - 1, 6);
    const milliseconds pause = std::min(firstRetryPause * (1 << doublings), longestRetryPause);
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    next->start(std::chrono::duration_cast<microseconds>(pause * jitter(context.random)));
}

} // namespace Parsleytrail
