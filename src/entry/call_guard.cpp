#include "entry/call_guard.h"

#include "base/log.h"
#include "base/text.h"

#include <nlohmann/json.hpp>

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

void CallGuard::recordCrash(std::uint64_t fingerprint, std::uint64_t crash, const ServiceName &service)
{
    const TimePoint now = d->context.clock.now();
    const bool wasRefused = isRefused(fingerprint);
    if (!Parsleytrail::recordCrash(d->calls, fingerprint, crash, now, now)) {
        return;
    }
    if (isRefused(fingerprint) && !wasRefused) {
        logEvent(Event::RequestQuarantined, {{"input", fingerprintText(fingerprint)}, {"service", service.value}, {"source", "own"}});
    }
    d->announce(fingerprint);
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
        list.push_back(
            {{"fingerprint", fingerprintText(fingerprint)}, {"standing", isRefused(fingerprint) ? "refused" : "suspect"}, {"crashes", record.crashes.size()}});
    }
    return list;
}

void CallGuard::prune()
{
    Parsleytrail::prune(d->calls, d->context.clock.now());
}

} // namespace Parsleytrail
