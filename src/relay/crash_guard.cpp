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

    void logIfRefused(std::uint64_t input, bool wasRefused, std::string_view source) const;
    void storeIfSuspect(std::uint64_t input);
    bool isStored(std::uint64_t input) const;
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

/// Logs an input that requests are refused for from now on.
void CrashGuard::Private::logIfRefused(std::uint64_t input, bool wasRefused, std::string_view source) const
{
    if (wasRefused || !isRefused(context.crashingRequests, input)) {
        return;
    }
    const std::vector<std::uint64_t> together = refusedTogetherWith(context.crashingRequests, input);
    logEvent(Event::RequestQuarantined, {{"input", fingerprintText(input)},
                                         {"kind", isPart(input) ? "part" : "request"},
                                         {"together", fingerprintsText(together)},
                                         {"crashes", std::to_string(context.crashingRequests.records.at(input).crashes.size())},
                                         {"source", std::string(source)}});
}

void CrashGuard::Private::storeIfSuspect(std::uint64_t input)
{
    const std::size_t needed = isAlone() ? crashesUntilStoredAlone : crashesUntilStored;
    if (countUnexplainedCrashes(context.crashingRequests, input) >= needed) {
        store.write(noticesOf(context.crashingRequests, input, context.clock.now()));
    }
}

void CrashGuard::recordCrashedRun(const ForwardedRequest &request, const SentRequest &sent)
{
    CrashingRequests &table = d->context.crashingRequests;
    const TimePoint now = d->context.clock.now();
    const std::vector<std::uint64_t> inputs = allOf(inputsOf(d->context, request));
    const std::uint64_t crash = crashOfRun(table, inputs, sent.target, sent.startedAtMs, sent.sentAt);
    for (const std::uint64_t input : inputs) {
        const bool wasRefused = isRefused(table, input);
        if (recordCrash(table, input, crash, now, now)) {
            d->logIfRefused(input, wasRefused, "own");
            d->storeIfSuspect(input);
        }
    }
}

/// Whether the store may hold crashes of the input. They stay there until a completion is stored too.
bool CrashGuard::Private::isStored(std::uint64_t input) const
{
    const auto found = context.crashingRequests.records.find(input);
    return found != context.crashingRequests.records.end() && found->second.crashes.size() >= crashesUntilStored;
}

void CrashGuard::recordCompletedRun(const ForwardedRequest &request)
{
    recordBegunRun(request);
    CrashingRequests &table = d->context.crashingRequests;
    if (table.records.empty()) {
        return;
    }
    const TimePoint now = d->context.clock.now();
    const std::uint64_t fingerprint = inputFingerprint(request);
    const bool wasStored = d->isStored(fingerprint);
    if (recordCompletion(table, fingerprint, now, now) && wasStored) {
        d->store.write(noticesOf(table, fingerprint, now));
    }
}

void CrashGuard::recordBegunRun(const ForwardedRequest &request)
{
    CrashingRequests &table = d->context.crashingRequests;
    const TimePoint now = d->context.clock.now();
    for (const std::uint64_t part : sharedPartFingerprints(d->context, request)) {
        const bool wasStored = d->isStored(part);
        if (recordSoundPart(table, part, now) && wasStored) {
            d->store.write(noticesOf(table, part, now));
        }
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
        const bool wasRefused = isRefused(table, notice.input);
        if (applyNotice(table, notice, now)) {
            d->logIfRefused(notice.input, wasRefused, "others");
        }
    }
}

} // namespace Parsleytrail
