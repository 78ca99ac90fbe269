// The callers' completion protocol: chat and text completions, whole or streamed, and the list of models.
//
// Requests are checked strictly: a field that is not understood is refused by name rather than ignored, since an
// answer that silently leaves it out would be wrong.
#pragma once

#include "entry/admission_queue.h"
#include "entry/streams.h"
#include "entry/work_keeper.h"
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
    Completions(EntryContext &context, Streams &streams, const InputGuard &guard, WorkKeeper &work);
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

/// A refusal in the completion protocol's error object.
struct CompletionError {
    int status = 400;                           ///< HTTP status
    std::string message;                        ///< for people
    std::string type = "invalid_request_error"; ///< class of error
    std::string param;                          ///< field at fault, or empty
    std::string code;                           ///< for programs, or empty
    Outcome outcome = Outcome::NotRun;          ///< what is known of the request
    int retryAfterSeconds = 0;                  ///< 0: no Retry-After
};
/// The error object.
std::string completionErrorBody(const CompletionError &error);
/// Answers with the error object.
void replyCompletionError(const ExchangePtr &exchange, const CompletionError &error, const std::string &requestId);

} // namespace Parsleytrail
