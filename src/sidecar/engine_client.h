// Client of the engine beside a sidecar: batched steps, cancellation, and health checks.
#pragma once

#include "policy/stage_stream.h"
#include "sidecar/context.h"

namespace Parsleytrail
{

/// One stream's item in a step request.
struct StepItem {
    RequestId request;              ///< stream; the engine uses the same id
    bool isReset = false;           ///< the engine discards its state of the stream and starts anew
    ModelName model;                ///< model of the stream
    std::string version;            ///< version of the model
    std::string adapter;            ///< adapter, empty for none
    std::string prompt;             ///< prompt text; used only if `input.withPrompt`
    StepInput input;                ///< positions to apply
    bool isFirst = false;           ///< first stage: the input values are tokens, not activations
    std::uint32_t promptLength = 0; ///< in positions; 0 until known
    std::uint32_t priority = 0;     ///< priority of the request; 0 is the lowest
    bool isExclusive = false;       ///< must be the only item at the engine during this step
};

/// Outcome of a step for one stream.
enum class StepEnd {
    Done,    ///< the results are valid
    Refused, ///< the engine refused this stream (unknown, out of memory); others of the batch may have succeeded
    Lost,    ///< the connection to the engine broke or its response was malformed: its state of the stream is unknown
    TimedOut ///< the engine did not respond within step-timeout
};

/// Result of a step for one stream.
struct StepResult {
    StepEnd end = StepEnd::Lost;            ///< outcome
    std::string error;                      ///< reason, empty for Done
    std::uint32_t promptLength = 0;         ///< number of tokens in the prompt
    std::uint32_t positions = 0;            ///< number of positions applied
    std::vector<std::uint64_t> activations; ///< results, empty at the last stage
    std::vector<KeptToken> tokens;          ///< generated tokens, only at the last stage
    std::uint64_t acceleratorMicros = 0;    ///< duration of the step, divided evenly among its streams
    std::uint64_t crash = 0;                ///< Lost: id of the engine crash, equal for all steps broken by it; 0 if nothing of the request was written
};

/// State of the engine as last reported.
struct EngineState {
    bool isHealthy = false;            ///< it responds to status queries
    ModelName model;                   ///< name of the loaded model
    std::string version;               ///< version of the loaded model
    std::vector<std::string> adapters; ///< names of the loaded adapters
    std::uint32_t layerBegin = 0;      ///< first layer loaded
    std::uint32_t layerEnd = 0;        ///< one past the last layer
    std::uint32_t kvUsed = 0;          ///< positions held in the KV cache
    std::uint32_t kvCapacity = 0;      ///< positions that the KV cache can hold
};

/// Client of the engine's HTTP interface.
class EngineClient
{
public:
    using StepDone = std::function<void(const StepResult &)>;

    explicit EngineClient(SidecarContext &context);
    ~EngineClient();

    /// Queues an item; it is sent together with the other queued ones, in at most `maxStepsInFlight` requests at a time.
    /// `done` is called once with the result.
    void submit(StepItem item, StepDone done);
    /// Makes the engine discard its state of these streams.
    void cancel(const std::vector<RequestId> &requests);
    /// Queries the engine's status; `changed` is called after the response or failure, unless another query is in progress.
    void refresh(std::function<void()> changed);

    const EngineState &engineState() const;
    /// Number of items that wait to be sent.
    std::size_t queued() const;
    /// Whether a step succeeded, or was sent to the idle engine, within the time that steps of the present load usually take.
    bool isMakingProgress() const;
    /// Smoothed duration of a step in microseconds; 0 before the first has succeeded.
    std::uint32_t stepMicros() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t maxStepsInFlight = 2; ///< one running and one waiting at the engine, so that it is never idle between steps
constexpr std::size_t maxItemsInStep = 256; ///< maximum number of streams in one step request

} // namespace Parsleytrail
