// Decides which connections of callers are accepted: none beyond what this process has processor time and descriptors for.
//
//     CallerAdmission admission(context, sessions);
//     admission.accept(socket);       // from the listener
//     admission.applyLimits(limits);  // the configuration has changed
//     admission.check(now);           // from a regular timer, whose lag shows whether there is processor time left
#pragma once

#include "policy/overload.h"
#include "relay/caller_session.h"
#include "relay/context.h"

#include <memory>

namespace Parsleytrail
{

/// Connections of callers that a process has descriptors for; zero: not known, no limit.
std::size_t maxCallerConnections(const RelaySettings &settings);

/// Accepts connections into a process's CallerSessions, or closes them unread.
class CallerAdmission
{
public:
    CallerAdmission(RelayContext &context, CallerSessions &sessions);
    ~CallerAdmission();

    /// Takes ownership of an accepted socket.
    void accept(int socket);
    /// Applies the configuration's limits of requests to the sessions.
    void applyLimits(const CallerLimits &limits);
    /// Called every forwardingCheckInterval.
    void check(TimePoint now);

    const OverloadGuard &overload() const;
    /// Connections of callers that this process has descriptors for; zero: not known, no limit.
    std::size_t maxConnections() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
