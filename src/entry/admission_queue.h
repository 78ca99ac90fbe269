// The streams that may run at once for each model, and the requests that wait for their turn.
//
// Works only for services whose section states a between-tokens-target: without one there is nothing to hold the load
// against, and every request starts at once.
#pragma once

#include "entry/context.h"
#include "policy/admission.h"

#include <functional>

namespace Parsleytrail
{

/// A request that asks to start.
struct AdmissionRequest {
    WaitingRequest waiting;             ///< startBy is filled in
    ModelName model;                    ///< whose engines it loads
    milliseconds firstTokenDeadline{0}; ///< target for the first token
    milliseconds betweenTokens{0};      ///< target between tokens; 0: not limited
};

/// Queue in front of the streams.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(EntryContext &context);
    ~AdmissionQueue();

    /// Calls `start`, now or later, or `refuse` once it is sure that the first token would be late.
    void admit(AdmissionRequest request, std::function<void()> start, std::function<void()> refuse);
    /// The caller of a waiting request went away. Returns false if it does not wait (any more).
    bool cancel(const ModelName &model, const RequestId &request);
    /// A started request has ended.
    void recordEnd(const ModelName &model);
    void recordFirstToken(const ModelName &model, double seconds, double targetSeconds);
    void recordTokenGap(const ModelName &model, double seconds, double targetSeconds);
    /// Refuses what is late. Called every few tens of milliseconds.
    void tick();

    /// JSON object by model, for the status.
    std::string describe() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t maxWaitingPerModel = 10000; ///< requests of one model; beyond it they are refused at once

} // namespace Parsleytrail
