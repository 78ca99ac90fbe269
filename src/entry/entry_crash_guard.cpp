#include "entry/entry_crash_guard.h"

#include "base/log.h"
#include "base/text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Parsleytrail
{

struct EntryCrashGuard::Private {
    EntryContext &context;
    CrashingRequests known{};
    std::function<void(const CrashNotices &)> noticesHandler{};

    void announce(std::uint64_t fingerprint) const
    {
        noticesHandler({noticesOf(known, fingerprint, context.clock.now())});
    }
};

EntryCrashGuard::EntryCrashGuard(EntryContext &context)
    : d(new Private{context})
{
}

EntryCrashGuard::~EntryCrashGuard() = default;

void EntryCrashGuard::onNotices(std::function<void(const CrashNotices &)> handler)
{
    d->noticesHandler = std::move(handler);
}

bool EntryCrashGuard::isRefused(std::uint64_t fingerprint) const
{
    return isQuarantined(d->known, fingerprint);
}

bool EntryCrashGuard::isRefused(const RequestInputs &inputs, const std::vector<std::string> &allowed) const
{
    // The input itself is judged by InputGuard, whose runs alone at an engine need fewer crashes.
    const std::optional<std::uint64_t> found = findQuarantined(d->known, inputs);
    return found && isPart(*found) && std::find(allowed.begin(), allowed.end(), fingerprintText(*found)) == allowed.end();
}

void EntryCrashGuard::recordCrash(std::uint64_t fingerprint, std::uint64_t crash, const ServiceName &service)
{
    const TimePoint now = d->context.clock.now();
    const bool wasRefused = Parsleytrail::isRefused(d->known, fingerprint);
    if (!Parsleytrail::recordCrash(d->known, fingerprint, crash, now, now)) {
        return;
    }
    if (Parsleytrail::isRefused(d->known, fingerprint) && !wasRefused) {
        logEvent(Event::RequestQuarantined,
                 {{"input", fingerprintText(fingerprint)}, {"kind", isPart(fingerprint) ? "part" : "request"}, {"service", service.value}, {"source", "own"}});
    }
    d->announce(fingerprint);
}

void EntryCrashGuard::recordCrash(const RequestInputs &inputs, std::uint64_t crash, const ServiceName &service)
{
    if (inputs.parts.empty()) {
        return;
    }
    for (const std::uint64_t input : allOf(inputs)) {
        recordCrash(input, crash, service);
    }
}

void EntryCrashGuard::recordSoundParts(const std::vector<std::uint64_t> &parts)
{
    for (const std::uint64_t part : parts) {
        if (recordSoundPart(d->known, part, d->context.clock.now())) {
            d->announce(part);
        }
    }
}

void EntryCrashGuard::recordCompletion(std::uint64_t fingerprint)
{
    const TimePoint now = d->context.clock.now();
    if (Parsleytrail::recordCompletion(d->known, fingerprint, now, now)) {
        d->announce(fingerprint);
    }
}

void EntryCrashGuard::handleNotices(const CrashNotices &message)
{
    const TimePoint now = d->context.clock.now();
    bool isNews = false;
    for (const CrashNotice &notice : message.notices) {
        isNews = applyNotice(d->known, notice, now) || isNews;
    }
    if (isNews) {
        d->noticesHandler(message);
    }
}

std::vector<CrashNotices> EntryCrashGuard::notices() const
{
    std::vector<CrashNotices> list;
    for (const auto &[fingerprint, record] : d->known.records) {
        list.push_back({noticesOf(d->known, fingerprint, d->context.clock.now())});
    }
    return list;
}

nlohmann::json EntryCrashGuard::describe() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[fingerprint, record] : d->known.records) {
        list.push_back({{"fingerprint", fingerprintText(fingerprint)},
                        {"standing", Parsleytrail::isRefused(d->known, fingerprint) ? "refused" : "suspect"},
                        {"crashes", record.crashes.size()}});
    }
    return list;
}

void EntryCrashGuard::prune()
{
    Parsleytrail::prune(d->known, d->context.clock.now());
}

} // namespace Parsleytrail
