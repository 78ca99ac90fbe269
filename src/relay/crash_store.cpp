#include "relay/crash_store.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Parsleytrail
{

constexpr const char *crashTable = "crashes";
constexpr milliseconds crashReadTimeout{1000}; ///< timeout of a read or a write
/// Datagrams of other entries bring the same news sooner, so that calls to the store may be rare.
constexpr milliseconds crashWatchWait{20000};
constexpr milliseconds crashWatchMargin{1000};  ///< time after the wait of a watch until the watch counts as lost
constexpr milliseconds watchCheckInterval{500}; ///< how often an entry that does not watch checks whether it has to
constexpr milliseconds crashRetryPause{500};    ///< after a failed call; doubles with each consecutive failure
constexpr int maxRetryDoublings = 2;
constexpr int failuresUntilLogged = 2; ///< a single one may be a connection that was closed normally

/// A notice to be written, with the time of what it tells on the own clock.
struct UnwrittenNotice {
    CrashNotice notice;
    TimePoint at{};
};

struct CrashStore::Private {
    RelayContext &context;
    HttpClient &client;
    Address store;
    Handlers handlers;

    std::unique_ptr<Timer> readTimer{};
    std::unique_ptr<Timer> writeTimer{};
    HttpCallPtr readCall{};
    HttpCallPtr writeCall{};
    std::vector<UnwrittenNotice> unwritten{};
    std::uint64_t revision = 0;   ///< revision of the last response, from which the watch continues
    std::int64_t storeTimeMs = 0; ///< the store's clock in its last response
    TimePoint storeTimeAt{};      ///< when that response was received; zero: none was
    int readFailures = 0;
    int writeFailures = 0;
    bool isRead = false;    ///< the table was read, or is known to be empty
    bool isReading = false; ///< a read or a watch is in progress
    bool isWriting = false;

    void readOrWatch();
    void read();
    void watch();
    void handlePage(const HttpResult &result);
    bool decodePage(const HttpResult &result, RowPage &page);
    void writeUnwritten();
    void handleWritten(const HttpResult &result, std::size_t count);
    milliseconds retryPause(int failures) const;
};

CrashStore::CrashStore(RelayContext &context, HttpClient &client, const Address &store, Handlers handlers)
    : d(new Private{context, client, store, std::move(handlers)})
{
    d->readTimer = std::make_unique<Timer>(context.loop, [this] {
        d->readOrWatch();
    });
    d->writeTimer = std::make_unique<Timer>(context.loop, [this] {
        d->writeUnwritten();
    });
}

CrashStore::~CrashStore()
{
    for (const HttpCallPtr &call : {d->readCall, d->writeCall}) {
        if (call) {
            call->cancel();
        }
    }
}

void CrashStore::start()
{
    d->isRead = d->context.settings.firstStart;
    d->readTimer->start(milliseconds(0));
}

void CrashStore::write(const std::vector<CrashNotice> &notices)
{
    const TimePoint now = d->context.clock.now();
    for (const CrashNotice &notice : notices) {
        if (d->unwritten.size() < maxStoredNotices) {
            d->unwritten.push_back({notice, now - milliseconds(notice.ageMs)});
        }
    }
    d->writeUnwritten();
}

milliseconds CrashStore::Private::retryPause(int failures) const
{
    std::uniform_real_distribution<double> jitter(0.7, 1.3);
    const milliseconds pause = crashRetryPause * (1 << std::min(failures - 1, maxRetryDoublings));
    return std::chrono::duration_cast<milliseconds>(pause * jitter(context.random));
}

void CrashStore::Private::readOrWatch()
{
    const bool needsTime = storeTimeAt == TimePoint() && (!unwritten.empty() || handlers.shouldWatch());
    if (!isRead || needsTime) {
        read();
    } else if (handlers.shouldWatch()) {
        watch();
    } else {
        readTimer->start(watchCheckInterval);
    }
}

void CrashStore::Private::read()
{
    ++context.metrics.storeCalls;
    HttpClientRequest request = context.adapter.readRowsRequest({crashTable, {}, {}});
    request.timeout = crashReadTimeout;
    isReading = true;
    readCall = client.fetch(store, std::move(request), [this](const HttpResult &result) {
        handlePage(result);
    });
}

void CrashStore::Private::watch()
{
    ++context.metrics.storeCalls;
    HttpClientRequest request = context.adapter.watchRowsRequest(crashTable, revision, crashWatchWait);
    request.timeout = crashWatchWait + crashWatchMargin;
    isReading = true;
    readCall = client.fetch(store, std::move(request), [this](const HttpResult &result) {
        handlePage(result);
    });
}

static std::string failureText(const HttpResult &result)
{
    return result.failure ? result.failure->error.toString() : "status " + std::to_string(result.status);
}

bool CrashStore::Private::decodePage(const HttpResult &result, RowPage &page)
{
    Error error;
    return result.isOk()
           && runCatching(
               [&]() -> Result<void> {
                   BOOST_LEAF_ASSIGN(page, context.adapter.decodeRows(result.body));
                   return {};
               },
               error);
}

/// Decodes a row: the fingerprint, the crash and the time of the store's clock at which it happened, in milliseconds, separated by spaces. The
/// age of the notice is counted up to `storeTimeMs`.
static bool decodeNotice(const Row &row, std::int64_t storeTimeMs, CrashNotice &notice)
{
    const std::vector<std::string> words = splitList(row.value, ' ');
    std::int64_t writtenMs = 0;
    if (words.size() != 3 || !parseNumber(words[0], notice.input) || !parseNumber(words[1], notice.crash) || !parseNumber(words[2], writtenMs)
        || writtenMs < 0) {
        return false;
    }
    const std::int64_t oldest = std::chrono::duration_cast<milliseconds>(std::chrono::hours(24)).count();
    notice.ageMs = static_cast<std::uint32_t>(std::clamp<std::int64_t>(storeTimeMs - writtenMs, 0, oldest));
    return true;
}

void CrashStore::Private::handlePage(const HttpResult &result)
{
    constexpr int gone = 410;
    isReading = false;
    RowPage page;
    if (!decodePage(result, page)) {
        if (++readFailures == failuresUntilLogged) {
            logEvent(Event::StoreUnreachable, {{"table", crashTable}, {"reason", failureText(result)}});
        }
        // Without the history since the last revision the table is read again.
        isRead = isRead && (result.failure || result.status != gone);
        return readTimer->start(retryPause(readFailures));
    }
    readFailures = 0;
    isRead = true;
    revision = std::max(revision, page.revision);
    storeTimeMs = page.storeTimeMs;
    storeTimeAt = context.clock.now();
    std::vector<CrashNotice> notices;
    for (const Row &row : page.rows) {
        CrashNotice notice;
        if (!row.isDeleted && decodeNotice(row, page.storeTimeMs, notice)) {
            notices.push_back(notice);
        }
    }
    handlers.onNotices(notices);
    readTimer->start(watchCheckInterval);
    writeUnwritten();
}

void CrashStore::Private::writeUnwritten()
{
    if (unwritten.empty() || isWriting) {
        return;
    }
    if (storeTimeAt == TimePoint()) {
        // Rows hold times of the store's clock, which a read tells.
        if (!isReading && readFailures == 0) {
            readTimer->start(milliseconds(0));
        }
        return;
    }
    const std::int64_t storeNowMs = storeTimeMs + std::chrono::duration_cast<milliseconds>(context.clock.now() - storeTimeAt).count();
    RowTransaction transaction;
    for (const UnwrittenNotice &item : unwritten) {
        const std::int64_t ageMs = std::chrono::duration_cast<milliseconds>(context.clock.now() - item.at).count();
        const std::uint64_t slot = hash64(absl::StrCat(item.notice.input), item.notice.crash) % maxStoredNotices;
        const std::string value = absl::StrCat(item.notice.input, " ", item.notice.crash, " ", storeNowMs - ageMs);
        transaction.writes.push_back({crashTable, absl::StrCat(slot), value, 0});
        constexpr std::size_t maxWrites = 50; // half of what a transaction may hold
        if (transaction.writes.size() == maxWrites) {
            break;
        }
    }
    ++context.metrics.storeCalls;
    isWriting = true;
    HttpClientRequest request = context.adapter.transactionRequest(transaction);
    request.timeout = crashReadTimeout;
    writeCall = client.fetch(store, std::move(request), [this, count = transaction.writes.size()](const HttpResult &result) {
        handleWritten(result, count);
    });
}

void CrashStore::Private::handleWritten(const HttpResult &result, std::size_t count)
{
    isWriting = false;
    if (!result.isOk()) {
        if (++writeFailures == failuresUntilLogged) {
            logEvent(Event::StoreUnreachable, {{"table", crashTable}, {"reason", failureText(result)}});
        }
        // Whether or not it was carried out: writing the same rows again is harmless.
        return writeTimer->start(retryPause(writeFailures));
    }
    writeFailures = 0;
    unwritten.erase(unwritten.begin(), unwritten.begin() + static_cast<std::ptrdiff_t>(count));
    writeUnwritten();
}

} // namespace Parsleytrail
