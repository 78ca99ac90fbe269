#include "relay/crash_guard.h"

#include "base/log.h"
#include "base/text.h"
#include "relay/request_inputs.h"

namespace Parsleytrail
{

constexpr milliseconds pruneInterval{1000};
/// A single crash is mostly a coincidence, and other entries learn of it by datagrams, if there are any.
constexpr std::size_t crashesUntilStored = 2;
constexpr std::size_t crashesUntilStoredAlone = 1;

struct CrashGuard::Private {
    RelayContext &context;
    CrashDetector detector;
    CrashStore store;
    std::function<bool()> isAlone;
    std::unique_ptr<Timer> pruneTimer{};

    void logIfQuarantined(std::uint64_t request, bool wasQuarantined, std::string_view source) const;
    void storeIfSuspect(std::uint64_t request);
};

CrashGuard::CrashGuard(RelayContext &context, HttpClient &client, const Address &store, Handlers handlers)
{
    CrashStore::Handlers onStore;
    onStore.shouldWatch = std::move(handlers.watchesStore);
    onStore.onNotices = [this](const std::vector<CrashNotice> &notices) {
        applyNotices(notices);
    };
    d.reset(new Private{context, CrashDetector(context), CrashStore(context, client, store, std::move(onStore)), std::move(handlers.isAlone)});
    d->pruneTimer = std::make_unique<Timer>(context.loop, [this] {
        prune(d->context.crashingRequests, d->context.clock.now());
    });
}

CrashGuard::~CrashGuard() = default;

void CrashGuard::start()
{
    d->store.start();
    d->pruneTimer->startRepeating(pruneInterval);
}

void CrashGuard::checkForCrash(const TargetId &target, CrashDetector::Handler done)
{
    d->detector.check(target, std::move(done));
}

/// Logs a request that is refused from now on.
void CrashGuard::Private::logIfQuarantined(std::uint64_t request, bool wasQuarantined, std::string_view source) const
{
    if (wasQuarantined || !isQuarantined(context.crashingRequests, request)) {
        return;
    }
    logEvent(Event::RequestQuarantined, {{"input", fingerprintText(request)},
                                         {"crashes", std::to_string(context.crashingRequests.records.at(request).crashes.size())},
                                         {"source", std::string(source)}});
}

void CrashGuard::Private::storeIfSuspect(std::uint64_t request)
{
    const auto found = context.crashingRequests.records.find(request);
    const std::size_t needed = isAlone() ? crashesUntilStoredAlone : crashesUntilStored;
    if (found != context.crashingRequests.records.end() && found->second.crashes.size() >= needed) {
        store.write(noticesOf(context.crashingRequests, request, context.clock.now()));
    }
}

void CrashGuard::recordCrashedRun(const ForwardedRequest &request, const SentRequest &sent)
{
    const TimePoint now = d->context.clock.now();
    const std::uint64_t fingerprint = inputFingerprint(request);
    const bool wasQuarantined = isQuarantined(d->context.crashingRequests, fingerprint);
    const std::uint64_t crash = crashOfRun(d->context.crashingRequests, fingerprint, sent.target, sent.startedAtMs, sent.sentAt);
    if (recordCrash(d->context.crashingRequests, fingerprint, crash, now, now)) {
        d->logIfQuarantined(fingerprint, wasQuarantined, "own");
        d->storeIfSuspect(fingerprint);
    }
}

void CrashGuard::recordCompletedRun(const ForwardedRequest &request)
{
    CrashingRequests &table = d->context.crashingRequests;
    if (table.records.empty()) {
        return;
    }
    const TimePoint now = d->context.clock.now();
    const std::uint64_t fingerprint = inputFingerprint(request);
    const auto found = table.records.find(fingerprint);
    const bool wasStored = found != table.records.end() && found->second.crashes.size() >= crashesUntilStored;
    if (recordCompletion(table, fingerprint, now, now) && wasStored) {
        d->store.write(noticesOf(table, fingerprint, now));
    }
}

std::vector<CrashNotice> CrashGuard::noticesToSend()
{
    CrashingRequests &table = d->context.crashingRequests;
    if (table.records.empty()) {
        return {};
    }
    return Parsleytrail::noticesToSend(table, d->context.clock.now(), d->context.random());
}

void CrashGuard::applyNotices(const std::vector<CrashNotice> &notices)
{
    CrashingRequests &table = d->context.crashingRequests;
    const TimePoint now = d->context.clock.now();
    for (const CrashNotice &notice : notices) {
        const bool wasQuarantined = isQuarantined(table, notice.request);
        if (applyNotice(table, notice, now)) {
            d->logIfQuarantined(notice.request, wasQuarantined, "others");
        }
    }
}

} // namespace Parsleytrail
