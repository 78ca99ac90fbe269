// The callers' completion protocol: chat and text completions, whole or streamed, and the list of models.
//
// Requests are checked strictly: a field that is not understood is refused by name rather than ignored, since an
// answer that silently leaves it out would be wrong.
#pragma once

#include "entry/admission_queue.h"
#include "entry/completion_request.h"
#include "entry/streams.h"
#include "entry/usage_recorder.h"
#include "http/server.h"

namespace Parsleytrail
{

/// Who asks.
struct Caller {
    WorkspaceName workspace;                   ///< of the key
    const WorkspaceSection *section = nullptr; ///< valid during the call it is passed to
    RequestId request;                         ///< unique in the system
    std::string shownId;                       ///< X-Request-Id of the answer: the caller's own, if it sent one
};

/// Serves the completion protocol.
class Completions
{
public:
    Completions(EntryContext &context, Streams &streams, const InputGuard &guard, UsageRecorder &work);
    ~Completions();

    /// POST /v1/chat/completions
    void chat(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration);
    /// POST /v1/completions
    void complete(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration);
    /// GET /v1/models
    void models(const ExchangePtr &exchange, const Caller &caller, const Configuration &configuration) const;

    /// Open requests of a workspace.
    std::size_t open(const WorkspaceName &workspace) const;
    std::size_t open() const;
    /// Refuses waiting requests that are late. Called every few tens of milliseconds.
    void tick();
    /// JSON object by model: running, waiting, limit.
    std::string describeAdmission() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
