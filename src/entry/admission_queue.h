// Limits the streams that run at once for each model, and queues the requests over the limit.
//
// Applies only to services whose section sets between-tokens-target: without a target there is no latency to adapt the limit
// to, and every request starts immediately.
#pragma once

#include "entry/context.h"
#include "policy/admission.h"

#include <functional>

namespace Parsleytrail
{

/// A request to be admitted.
struct AdmissionRequest {
    WaitingRequest waiting;             ///< admit() fills in arrivedAt and startBy
    ModelName model;                    ///< model whose engines run the request
    milliseconds firstTokenDeadline{0}; ///< target for the time from arrival to the first token
    milliseconds betweenTokens{0};      ///< target for the time between tokens; 0: the request is not limited
};

/// Admission control in front of the streams, with one queue for each model.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(EntryContext &context);
    ~AdmissionQueue();

    /// Calls `start`, immediately or later; or `refuse`, if the queue is full or once the first token would be late.
    void admit(AdmissionRequest request, std::function<void()> start, std::function<void()> refuse);
    /// Removes a waiting request whose caller disconnected. Returns false if the request is not, or no longer, waiting.
    bool cancel(const ModelName &model, const RequestId &request);
    /// Records that a started request has ended, and starts waiting requests in its place.
    void recordEnd(const ModelName &model);
    /// Records the time from start to the first token. A target of 0 leaves the limit as it is.
    void recordFirstToken(const ModelName &model, double seconds, double targetSeconds);
    /// Records the time between two tokens. A target of 0 leaves the limit as it is.
    void recordTokenGap(const ModelName &model, double seconds, double targetSeconds);
    /// Starts waiting requests that the limit allows, and refuses those that can no longer start in time. Called every 50 ms.
    void tick();

    /// JSON object with running, waiting and limit of each model, for the status.
    std::string describe() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t maxWaitingPerModel = 10000; ///< waiting requests of one model; further ones are refused immediately

} // namespace Parsleytrail
