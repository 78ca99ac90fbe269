#include "entry/call_guard.h"

#include "base/log.h"
#include "base/text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Parsleytrail
{

struct CallGuard::Private {
    EntryContext &context;
    CrashingRequests calls{};
    std::function<void(const CrashNotices &)> noticesHandler{};

    void announce(std::uint64_t fingerprint) const
    {
        noticesHandler({noticesOf(calls, fingerprint, context.clock.now())});
    }
};

CallGuard::CallGuard(EntryContext &context)
    : d(new Private{context})
{
}

CallGuard::~CallGuard() = default;

void CallGuard::onNotices(std::function<void(const CrashNotices &)> handler)
{
    d->noticesHandler = std::move(handler);
}

bool CallGuard::isRefused(std::uint64_t fingerprint) const
{
    return isQuarantined(d->calls, fingerprint);
}

bool CallGuard::isRefused(const RequestInputs &inputs, const std::vector<std::string> &allowed) const
{
    // The input itself is judged by InputGuard, whose runs alone at an engine need fewer crashes.
    const std::optional<std::uint64_t> found = findQuarantined(d->calls, inputs);
    return found && isPart(*found) && std::find(allowed.begin(), allowed.end(), fingerprintText(*found)) == allowed.end();
}

void CallGuard::recordCrash(std::uint64_t fingerprint, std::uint64_t crash, const ServiceName &service)
{
    const TimePoint now = d->context.clock.now();
    const bool wasRefused = Parsleytrail::isRefused(d->calls, fingerprint);
    if (!Parsleytrail::recordCrash(d->calls, fingerprint, crash, now, now)) {
        return;
    }
    if (Parsleytrail::isRefused(d->calls, fingerprint) && !wasRefused) {
        logEvent(Event::RequestQuarantined,
                 {{"input", fingerprintText(fingerprint)}, {"kind", isPart(fingerprint) ? "part" : "request"}, {"service", service.value}, {"source", "own"}});
    }
    d->announce(fingerprint);
}

void CallGuard::recordCrash(const RequestInputs &inputs, std::uint64_t crash, const ServiceName &service)
{
    if (inputs.parts.empty()) {
        return;
    }
    for (const std::uint64_t input : allOf(inputs)) {
        recordCrash(input, crash, service);
    }
}

void CallGuard::recordSoundParts(const std::vector<std::uint64_t> &parts)
{
    for (const std::uint64_t part : parts) {
        if (recordSoundPart(d->calls, part, d->context.clock.now())) {
            d->announce(part);
        }
    }
}

void CallGuard::recordCompletion(std::uint64_t fingerprint)
{
    const TimePoint now = d->context.clock.now();
    if (Parsleytrail::recordCompletion(d->calls, fingerprint, now, now)) {
        d->announce(fingerprint);
    }
}

void CallGuard::handleNotices(const CrashNotices &message)
{
    const TimePoint now = d->context.clock.now();
    bool isNews = false;
    for (const CrashNotice &notice : message.notices) {
        isNews = applyNotice(d->calls, notice, now) || isNews;
    }
    if (isNews) {
        d->noticesHandler(message);
    }
}

std::vector<CrashNotices> CallGuard::notices() const
{
    std::vector<CrashNotices> list;
    for (const auto &[fingerprint, record] : d->calls.records) {
        list.push_back({noticesOf(d->calls, fingerprint, d->context.clock.now())});
    }
    return list;
}

nlohmann::json CallGuard::describe() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[fingerprint, record] : d->calls.records) {
        list.push_back({{"fingerprint", fingerprintText(fingerprint)},
                        {"standing", Parsleytrail::isRefused(d->calls, fingerprint) ? "refused" : "suspect"},
                        {"crashes", record.crashes.size()}});
    }
    return list;
}

void CallGuard::prune()
{
    Parsleytrail::prune(d->calls, d->context.clock.now());
}

} // namespace Parsleytrail
