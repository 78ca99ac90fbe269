// Calls to plain services: chooses a target, passes the body on, streams the answer back, and says of every refusal
// whether the call was run.
//
// A call is sent to a second target only if it certainly was not handed over at the first, or if its method is
// idempotent, the file does not mark it, and nothing of an answer has come.
#pragma once

#include "entry/completions.h"
#include "entry/keyed_calls.h"

namespace Parsleytrail
{

/// Serves /services/<service>/<path>.
class ServiceCalls
{
public:
    ServiceCalls(EntryContext &context, Targets &targets, KeyedCalls &keys, UsageRecorder &usageRecorder);
    ~ServiceCalls();

    /// `service` is the name in the path; `path` is what follows it, with a leading slash.
    void serve(const ExchangePtr &exchange, const Caller &caller, const std::string &service, const std::string &path, const Configuration &configuration);

    /// Takes a frame that belongs to calls; false if it is malformed.
    bool handleFrame(const Frame &frame);
    /// The link to an address is gone.
    void handleLinkLost(const std::string &address, const Error &error);
    /// Ends calls that are late. Called every few tens of milliseconds.
    void tick();

    std::size_t open() const;
    std::size_t open(const WorkspaceName &workspace) const;
    /// JSON list for the state dump.
    std::string dump() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
