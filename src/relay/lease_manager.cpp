#include "relay/lease_manager.h"

#include "base/log.h"
#include "base/text.h"

namespace Parsleytrail
{

constexpr const char *leaseTable = "leases";
/// Length of a lease, and the longest time that its task is left undone after the holder died. It is not shorter because each
/// renewal costs a call to the store.
constexpr milliseconds leaseDuration{3500};
constexpr milliseconds renewInterval{1500};    ///< two renewals may fail before the lease expires
constexpr milliseconds leaseMargin{500};       ///< the holder stops acting this long before the expiry: more than clocks drift during a lease
constexpr milliseconds storeCallTimeout{1000}; ///< timeout of one call to the store
constexpr milliseconds retryPause{500};        ///< pause after a failed call
/// How often an entry that leaves the lease to others checks whether it still may. One read by each entry per length of a lease was
/// a sixth of all store calls with 21 entries.
constexpr milliseconds candidacyCheckInterval{500};
/// Entries query the store for an expired lease after a random delay of up to this, so that few transactions conflict.
constexpr milliseconds maxTakeoverJitter{250};

/// Content of the lease's row.
struct LeaseRow {
    std::uint64_t version = 0; ///< version of the row; 0: it does not exist
    std::string holder;        ///< id of the entry that holds the lease
    std::int64_t endsAtMs = 0; ///< expiry on the store's clock, milliseconds; if the value can't be read: the latest one possible
    std::string host{};        ///< host of the holder, from a separate row
};

/// Key of the row with the holder's host. Entries whose seeds are all unreachable find the others by it.
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
    std::int64_t storeTimeMs = 0;  ///< the store's clock in its last response
    TimePoint storeTimeAt{};       ///< when that response was received, on the own clock
    TimePoint sentAt{};            ///< when the pending call was sent
    std::uint64_t seenVersion = 0; ///< version of the row in the last read
    TimePoint seenAt{};            ///< when that version was read first
    TimePoint heldUntil{};         ///< on the own clock; in the past: not held
    bool wasHeld = false;
    bool isReleased = false; ///< this entry is stopping and does not acquire the lease any more

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
        // The row as last read may be outdated: only a lease that this entry holds is renewed without reading the row first.
        if (isHeld()) {
            d->write(d->storeTime() + leaseDuration.count());
        } else if (d->handlers.shouldSeek()) {
            d->read();
        } else {
            d->next->start(d->withJitter(candidacyCheckInterval));
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
    d->next->start(milliseconds(0));
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
        // The write may have been carried out: the next read shows it.
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
        if (found.key != name || found.isDeleted) {
            continue;
        }
        // The version counts whatever the value is: without it, each write of a row that can't be read conflicts.
        row.version = found.version;
        const std::int64_t latestEndMs = page.storeTimeMs + leaseDuration.count();
        const std::vector<std::string> words = splitList(found.value, ' ');
        std::int64_t endsAtMs = 0;
        const bool isReadable = words.size() == 2 && parseNumber(words[1], endsAtMs);
        row.holder = isReadable ? words[0] : "";
        row.endsAtMs = isReadable ? std::clamp<std::int64_t>(endsAtMs, 0, latestEndMs) : latestEndMs;
    }
    if (row.version != seenVersion) {
        seenVersion = row.version;
        seenAt = context.clock.now();
    }
}

/// After a read: acquires an expired lease, or waits until the lease should have expired.
void LeaseManager::Private::acquireOrWait()
{
    if (isReleased) {
        return;
    }
    // A lease under this entry's own id that it does not hold was acquired by its previous process, which has ended.
    const bool isOwn = row.holder == context.settings.id;
    // No holder goes on for longer than a lease without another write, whatever end the row names.
    const auto unchangedFor = std::chrono::duration_cast<milliseconds>(context.clock.now() - seenAt);
    const std::int64_t left = std::min(row.endsAtMs - storeTime(), (leaseDuration - unchangedFor).count());
    if (!isOwn && !row.host.empty()) {
        handlers.onHolderHost(row.host);
    }
    if (left <= 0 || isOwn) {
        return write(storeTime() + leaseDuration.count());
    }
    next->start(withJitter(milliseconds(left)));
}

} // namespace Parsleytrail
