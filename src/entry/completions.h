// Completion protocol for callers: chat and text completions, streamed or not, and the list of models.
//
// Requests are validated strictly: one with an unknown or unsupported field is refused, and the error names the field, as a
// response that silently ignored it would be wrong.
#pragma once

#include "entry/admission_queue.h"
#include "entry/completion_request.h"
#include "entry/streams.h"
#include "entry/usage_recorder.h"
#include "http/server.h"

namespace Parsleytrail
{

/// An authenticated caller and the ids of its request.
struct Caller {
    WorkspaceName workspace;                   ///< workspace that the caller's key belongs to
    const WorkspaceSection *section = nullptr; ///< its configuration; valid only during the call that it is passed to
    RequestId request;                         ///< generated id, unique in the system
    std::string publicId;                      ///< X-Request-Id of the response: the caller's own if it sent a safe one, otherwise `request`
};

/// Serves the completion protocol.
class Completions
{
public:
    Completions(EntryContext &context, Streams &streams, const InputGuard &guard, const EntryCrashGuard &crashGuard, UsageRecorder &usageRecorder);
    ~Completions();

    /// POST /v1/chat/completions
    void chat(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration);
    /// POST /v1/completions
    void complete(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration);
    /// GET /v1/models
    void models(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration) const;

    /// Number of open requests of a workspace.
    std::size_t openCount(const WorkspaceName &workspace) const;
    /// Number of all open requests.
    std::size_t openCount() const;
    /// Starts waiting requests, and refuses those that can no longer start in time. Called every 50 ms.
    void tick();
    /// JSON object with running, waiting and limit of each model.
    std::string describeAdmission() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
