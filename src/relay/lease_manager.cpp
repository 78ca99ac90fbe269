#include "relay/lease_manager.h"

#include "base/log.h"
#include "base/text.h"

namespace Parsleytrail
{

constexpr const char *leaseTable = "leases";
/// Length of a lease. A dead holder's duty rests for this long at most; renewals cost calls, so it is not shorter.
constexpr milliseconds leaseDuration{3500};
constexpr milliseconds renewInterval{1500};    ///< two renewals may fail before the lease ends
constexpr milliseconds leaseMargin{500};       ///< the holder stops this much before its end: more than clocks drift in a lease's time
constexpr milliseconds storeCallTimeout{1000}; ///< for one call to the store
constexpr milliseconds retryPause{500};        ///< after a call that failed
/// How often an entry that need not ask the store looks whether another still says that it holds the lease. One read per
/// lease's time of each entry was a sixth of all calls with 21 entries.
constexpr milliseconds heldElsewhereCheckInterval{500};
/// Spread over which entries ask after a lease that ended, so that few transactions conflict.
constexpr milliseconds maxTakeoverJitter{250};

/// What the row says.
struct LeaseRow {
    std::uint64_t version = 0; ///< 0: there is none
    std::string holder;        ///< id of an entry
    std::int64_t endsAtMs = 0; ///< on the store's clock
    std::string host{};        ///< of the holder, from a row of its own
};

/// Row beside a lease with the holder's host: entries whose seeds are all gone find the others by it.
static std::string hostKey(const std::string &lease)
{
    return lease + ".host";
}

struct LeaseManager::Private {
    RelayContext &context;
    HttpClient &client;
    Address store;
    std::string name;
    Handlers handlers;

    std::unique_ptr<Timer> next{};
    HttpCallPtr call{};
    LeaseRow row{};
    std::int64_t storeTimeMs = 0; ///< as of the last answer
    TimePoint storeTimeAt{};      ///< when that answer came
    TimePoint sentAt{};           ///< of the call on its way
    TimePoint heldUntil{};        ///< own clock; past: not held
    bool wasHeld = false;
    bool isReleased = false; ///< this entry is stopping: it does not take the lease any more

    void send(HttpClientRequest request, bool isWrite);
    void read();
    void write(std::int64_t endsAtMs);
    void handleResponse(const HttpResult &result, bool isWrite);
    void applyRow(const RowPage &page);
    void acquireOrWait();
    std::int64_t storeTime() const;
    milliseconds withJitter(milliseconds wait) const;
    void logOwnershipChange();
};

LeaseManager::LeaseManager(RelayContext &context, HttpClient &client, const Address &store, std::string name, Handlers handlers)
    : d(std::make_unique<Private>(Private{context, client, store, std::move(name), std::move(handlers)}))
{
    d->next = std::make_unique<Timer>(context.loop, [this] {
        d->logOwnershipChange();
        // What was read last may be old by now: only one's own unchanged lease is renewed without looking.
        if (isHeld()) {
            d->write(d->storeTime() + leaseDuration.count());
        } else if (d->handlers.isHeldElsewhere()) {
            d->next->start(d->withJitter(heldElsewhereCheckInterval));
        } else {
            d->read();
        }
    });
}

LeaseManager::~LeaseManager()
{
    if (d->call) {
        d->call->cancel();
    }
}

void LeaseManager::start()
{
    d->read();
}

bool LeaseManager::isHeld() const
{
    return d->context.clock.now() < d->heldUntil;
}

bool LeaseManager::wasHeldAtLastResponse() const
{
    return d->row.holder == d->context.settings.id && d->heldUntil != TimePoint() && !d->isReleased;
}

void LeaseManager::release()
{
    d->next->stop();
    d->isReleased = true;
    if (isHeld()) {
        d->write(0);
        d->heldUntil = TimePoint();
        d->logOwnershipChange();
    }
}

std::int64_t LeaseManager::Private::storeTime() const
{
    return storeTimeMs + std::chrono::duration_cast<milliseconds>(context.clock.now() - storeTimeAt).count();
}

milliseconds LeaseManager::Private::withJitter(milliseconds wait) const
{
    std::uniform_int_distribution<std::int64_t> jitter(0, maxTakeoverJitter.count());
    return wait + milliseconds(jitter(context.random));
}

void LeaseManager::Private::logOwnershipChange()
{
    const bool isHeld = context.clock.now() < heldUntil;
    if (isHeld != wasHeld) {
        wasHeld = isHeld;
        logEvent(isHeld ? Event::LeaseTaken : Event::LeaseLost, {{"lease", name}, {"version", std::to_string(row.version)}});
    }
}

void LeaseManager::Private::send(HttpClientRequest request, bool isWrite)
{
    ++context.metrics.storeCalls;
    request.timeout = storeCallTimeout;
    sentAt = context.clock.now();
    call = client.fetch(store, std::move(request), [this, isWrite](const HttpResult &result) {
        handleResponse(result, isWrite);
    });
}

void LeaseManager::Private::read()
{
    send(context.adapter.readRowsRequest({leaseTable, name, hostKey(name) + '\x01'}), false);
}

void LeaseManager::Private::write(std::int64_t endsAtMs)
{
    RowTransaction transaction;
    transaction.conditions.push_back({leaseTable, name, {}, row.version});
    transaction.writes.push_back({leaseTable, name, context.settings.id + " " + std::to_string(endsAtMs), 0});
    transaction.writes.push_back({leaseTable, hostKey(name), context.settings.host, 0});
    row.endsAtMs = endsAtMs;
    send(context.adapter.transactionRequest(transaction), true);
}

void LeaseManager::Private::handleResponse(const HttpResult &result, bool isWrite)
{
    constexpr int conflict = 412;
    const bool isConflict = !result.failure && result.status == conflict;
    RowPage page;
    Error error;
    const bool isDecoded = (result.isOk() || isConflict)
                           && runCatching(
                               [&]() -> Result<void> {
                                   BOOST_LEAF_ASSIGN(page, context.adapter.decodeRows(result.body));
                                   return {};
                               },
                               error);
    if (!isDecoded) {
        // The write may have been done: reading tells.
        if (!isReleased) {
            next->start(retryPause);
        }
        return logOwnershipChange();
    }
    storeTimeMs = page.storeTimeMs;
    storeTimeAt = context.clock.now();
    if (isWrite && !isConflict) {
        row.version = page.revision;
        row.holder = context.settings.id;
        heldUntil = row.endsAtMs > 0 ? sentAt + leaseDuration - leaseMargin : TimePoint();
        logOwnershipChange();
        if (!isReleased) {
            next->start(renewInterval);
        }
        return;
    }
    heldUntil = isConflict ? TimePoint() : heldUntil;
    applyRow(page);
    logOwnershipChange();
    acquireOrWait();
}

void LeaseManager::Private::applyRow(const RowPage &page)
{
    row = LeaseRow();
    for (const Row &found : page.rows) {
        if (found.key == hostKey(name) && !found.isDeleted) {
            row.host = found.value;
        }
        const std::vector<std::string> words = splitList(found.value, ' ');
        if (found.key != name || words.size() != 2 || found.isDeleted) {
            continue;
        }
        row.version = found.version;
        row.holder = words[0];
        parseNumber(words[1], row.endsAtMs);
    }
}

/// After a reading: takes a lease that has ended, or waits until it should have.
void LeaseManager::Private::acquireOrWait()
{
    if (isReleased) {
        return;
    }
    // A lease under this entry's own id that it does not hold is one of its life before: that process is gone.
    const bool isOwn = row.holder == context.settings.id;
    const std::int64_t left = row.endsAtMs - storeTime();
    if (!isOwn && !row.host.empty()) {
        handlers.onHolderHost(row.host);
    }
    if (left <= 0 || isOwn) {
        return write(storeTime() + leaseDuration.count());
    }
    next->start(withJitter(milliseconds(left)));
}

} // namespace Parsleytrail
