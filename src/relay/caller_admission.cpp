#include "relay/caller_admission.h"

#include "base/log.h"
#include "relay/forwarding.h"

#include <event2/util.h>

namespace Parsleytrail
{

constexpr milliseconds connectionLogInterval{1000}; ///< between two events about connections that were closed for want of descriptors
/// Callers reuse a connection for a fraction of the idle timeout; the remainder is a margin for requests that arrive late.
constexpr milliseconds idleSlack{1000};

struct CallerAdmission::Private {
    RelayContext &context;
    CallerSessions &sessions;
    OverloadGuard overload{};
    SessionLimits limits{};
    TimePoint checkedAt{};            ///< last call of check()
    std::uint64_t reportedClosed = 0; ///< connections that reportClosed() has logged
    TimePoint reportedAt{};           ///< last time that it logged any

    void recordLag(TimePoint now);
    void reportClosed(TimePoint now);
};

std::size_t maxCallerConnections(const RelaySettings &settings)
{
    return clientConnections(settings.maxDescriptors > 0 ? static_cast<std::size_t>(settings.maxDescriptors) : descriptorLimit());
}

CallerAdmission::CallerAdmission(RelayContext &context, CallerSessions &sessions)
    : d(new Private{context, sessions})
{
    d->checkedAt = context.clock.now();
    d->limits.maxConnections = maxCallerConnections(context.settings);
    sessions.setLimits(d->limits);
}

CallerAdmission::~CallerAdmission() = default;

void CallerAdmission::accept(int socket)
{
    if (!acceptsConnection(d->overload, static_cast<int>(d->sessions.openExchanges()))) {
        ++d->context.metrics.connectionsClosedUnread;
        evutil_closesocket(socket);
        return;
    }
    const bool isAdded = d->sessions.add(socket);
    ++(isAdded ? d->context.metrics.connections : d->context.metrics.connectionsClosedUnread);
}

void CallerAdmission::applyLimits(const CallerLimits &limits)
{
    d->limits.maxHeaderBytes = limits.maxHeaderBytes;
    d->limits.maxBodyBytes = limits.maxBodyBytes;
    d->limits.headerTimeout = limits.headerTimeout;
    d->limits.idleTimeout = limits.idleTimeout + idleSlack;
    d->limits.deadlineField = d->context.adapter.headers().deadline;
    d->sessions.setLimits(d->limits);
}

void CallerAdmission::check(TimePoint now)
{
    d->recordLag(now);
    d->reportClosed(now);
}

/// Records how late the timer of check() has fired, and logs when connections begin or cease to be closed unread.
void CallerAdmission::Private::recordLag(TimePoint now)
{
    const auto sinceLast = std::chrono::duration_cast<milliseconds>(now - std::exchange(checkedAt, now));
    const bool wasLimited = overload.openLimit > 0;
    recordTimerLag(overload, sinceLast - forwardingCheckInterval, static_cast<int>(sessions.openExchanges()), now);
    const bool isLimited = overload.openLimit > 0;
    if (isLimited != wasLimited) {
        logEvent(Event::OverloadLimit, {{"limit", std::to_string(static_cast<int>(overload.openLimit))},
                                        {"open", std::to_string(sessions.openExchanges())},
                                        {"connections", std::to_string(sessions.count())},
                                        {"lag_ms", std::to_string(static_cast<int>(overload.averageLagMs))}});
    }
}

/// Logs, at most once in connectionLogInterval, how many idle connections were closed for want of descriptors.
void CallerAdmission::Private::reportClosed(TimePoint now)
{
    const std::uint64_t closed = sessions.closedForOthers();
    if (closed == reportedClosed || now - reportedAt < connectionLogInterval) {
        return;
    }
    context.metrics.idleConnectionsClosed = closed;
    logEvent(Event::ConnectionsAtLimit, {{"limit", std::to_string(limits.maxConnections)},
                                         {"open", std::to_string(sessions.openExchanges())},
                                         {"connections", std::to_string(sessions.count())},
                                         {"closed", std::to_string(closed - reportedClosed)}});
    reportedClosed = closed;
    reportedAt = now;
}

const OverloadGuard &CallerAdmission::overload() const
{
    return d->overload;
}

std::size_t CallerAdmission::maxConnections() const
{
    return d->limits.maxConnections;
}

} // namespace Parsleytrail
