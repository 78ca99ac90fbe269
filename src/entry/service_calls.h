// Calls to plain services: chooses a target, forwards the request, streams the response back, and states for every failed call
// whether it was run.
//
// A call is sent to a second target only while no part of a response has been received, and only if the first target certainly
// did not run it, or if its method is idempotent and the configuration does not mark it as non-idempotent. A call that crashes
// applications is refused at all entries; see entry/entry_crash_guard.h.
#pragma once

#include "entry/completions.h"
#include "entry/entry_crash_guard.h"
#include "entry/keyed_calls.h"

namespace Parsleytrail
{

/// Serves /services/<service>/<path>.
class ServiceCalls
{
public:
    ServiceCalls(EntryContext &context, Targets &targets, KeyedCalls &keys, UsageRecorder &usageRecorder, EntryCrashGuard &guard);
    ~ServiceCalls();

    /// `service` is the name in the path; `path` is what follows it, with a leading slash.
    void serve(const ExchangePtr &exchange, const Caller &caller, const std::string &service, const std::string &path, const Configuration &configuration);

    /// Handles a frame that belongs to calls; false if it is malformed or of another message type.
    bool handleFrame(const Frame &frame);
    /// The link to an address was lost: its calls fail with outcome Unknown, or are retried elsewhere.
    void handleLinkLost(const std::string &address, const Error &error);
    /// Ends calls whose deadline has passed. Called every 50 ms.
    void tick();

    std::size_t openCount() const;
    std::size_t openCount(const WorkspaceName &workspace) const;
    /// The open calls as a JSON list, for the state dump.
    std::string dump() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
