#include "relay/crash_detector.h"

#include "relay/connection.h"

#include <vector>

namespace Parsleytrail
{

/// The connection that an accepted check leaves behind serves the next request. Targets close idle ones after a second or more.
constexpr milliseconds checkedConnectionIdleTime{500};

/// A check in progress.
struct CrashCheck {
    ConnectionPtr connection;
    Address address;
    TimePoint startedAt{};
    std::vector<CrashDetector::Handler> handlers; ///< one for each request that waits for the result
};

struct CrashDetector::Private {
    RelayContext &context;
    std::map<TargetId, CrashCheck> checks{};                    ///< by target
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< lets deferred calls detect that this object was destroyed

    void finish(const TargetId &id, TargetCondition condition);
    TargetCondition conditionOfUnconnected(const CrashCheck &check) const;
};

const char *toString(TargetCondition condition)
{
    switch (condition) {
    case TargetCondition::Running:
        return "running";
    case TargetCondition::Crashed:
        return "crashed";
    case TargetCondition::Unknown:
        return "unknown";
    }
    return "?";
}

CrashDetector::CrashDetector(RelayContext &context)
    : d(new Private{context})
{
}

CrashDetector::~CrashDetector()
{
    for (auto &[id, check] : d->checks) {
        check.connection->close();
    }
}

void CrashDetector::check(const TargetId &id, Handler done)
{
    if (const auto pending = d->checks.find(id); pending != d->checks.end()) {
        pending->second.handlers.push_back(std::move(done));
        return;
    }
    const Target *target = findTarget(d->context.fleet, id);
    const ConnectionPtr connection = target ? Connection::connect(d->context.loop, target->registered.address, crashCheckTimeout) : nullptr;
    if (!connection) {
        d->context.loop.defer([done = std::move(done), alive = std::weak_ptr(d->alive)] {
            if (!alive.expired()) {
                done(TargetCondition::Unknown);
            }
        });
        return;
    }
    ++d->context.metrics.crashChecks;
    d->checks[id] = {connection, target->registered.address, d->context.clock.now(), {std::move(done)}};
    Connection::Handlers handlers;
    handlers.onConnected = [this, id] {
        d->finish(id, TargetCondition::Running);
    };
    handlers.onEnd = [this, id](ConnectionEnd) {
        d->finish(id, d->conditionOfUnconnected(d->checks.at(id)));
    };
    connection->setHandlers(std::move(handlers));
}

/// A refused connection ends at once, an unanswered one at the timeout.
TargetCondition CrashDetector::Private::conditionOfUnconnected(const CrashCheck &check) const
{
    const bool isTimeout = context.clock.now() - check.startedAt >= crashCheckTimeout;
    return isTimeout ? TargetCondition::Unknown : TargetCondition::Crashed;
}

void CrashDetector::Private::finish(const TargetId &id, TargetCondition condition)
{
    const auto it = checks.find(id);
    const CrashCheck check = std::move(it->second);
    checks.erase(it);
    if (condition == TargetCondition::Running) {
        context.connections.release(check.address, check.connection, checkedConnectionIdleTime);
    } else {
        check.connection->close();
    }
    for (const Handler &handler : check.handlers) {
        handler(condition);
    }
}

} // namespace Parsleytrail
