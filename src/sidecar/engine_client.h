// The engine beside a sidecar: steps in batches, cancels, and its health.
#pragma once

#include "policy/stage_stream.h"
#include "sidecar/context.h"

namespace Parsleytrail
{

/// One stream's part of a step.
struct StepItem {
    RequestId request;              ///< stream, also the engine's name for it
    bool isReset = false;           ///< the engine starts the stream from nothing
    ModelName model;                ///< model
    std::string version;            ///< version
    std::string adapter;            ///< adapter, or empty
    std::string prompt;             ///< prompt, if input.withPrompt
    StepInput input;                ///< positions to apply
    bool isFirst = false;           ///< input values are tokens, not activations
    std::uint32_t promptLength = 0; ///< 0 if not known yet
    std::uint32_t priority = 0;     ///< 0 is lowest
    bool isExclusive = false;       ///< nothing else may be at the engine during this step
};

/// How a step ended for one stream.
enum class StepEnd {
    Done,    ///< the results are valid
    Refused, ///< the engine refused this stream (unknown, out of memory); others of the batch may be done
    Lost,    ///< the engine's connection broke: the state of the stream there is not known
    TimedOut ///< the engine did not answer within step-timeout
};

/// Result of a step for one stream.
struct StepResult {
    StepEnd end = StepEnd::Lost;            ///< how it ended
    std::string error;                      ///< reason, unless Done
    std::uint32_t promptLength = 0;         ///< tokens in the prompt
    std::uint32_t positions = 0;            ///< positions applied
    std::vector<std::uint64_t> activations; ///< unless this is the last stage
    std::vector<KeptToken> tokens;          ///< at the last stage
    std::uint64_t acceleratorMicros = 0;    ///< time of the step, shared evenly among its streams
    std::uint64_t crash = 0;                ///< Lost: the same for all that were in flight at this death; 0: it was not handed over
};

/// What the engine holds, as it last reported.
struct EngineState {
    bool isHealthy = false;            ///< it answers
    ModelName model;                   ///< model loaded
    std::string version;               ///< version loaded
    std::vector<std::string> adapters; ///< adapters loaded
    std::uint32_t layerBegin = 0;      ///< first layer held
    std::uint32_t layerEnd = 0;        ///< one past the last
    std::uint32_t kvUsed = 0;          ///< positions in the KV cache
    std::uint32_t kvCapacity = 0;      ///< positions it can hold
};

/// Client of the engine's interface.
class EngineClient
{
public:
    using StepDone = std::function<void(const StepResult &)>;

    explicit EngineClient(SidecarContext &context);
    ~EngineClient();

    /// Queues one stream's part; it goes out with all others that wait, at most `maxStepsInFlight` requests at once.
    void submit(StepItem item, StepDone done);
    /// Tells the engine to forget streams.
    void cancel(const std::vector<RequestId> &requests);
    /// Asks for the engine's report; `changed` is called when it comes.
    void refresh(std::function<void()> changed);

    const EngineState &engineState() const;
    std::size_t queued() const;
    /// Whether the engine has ended a step, or was given its first, within the usual time of a step.
    bool isMakingProgress() const;
    /// Smoothed time of a step, microseconds; 0 before the first.
    std::uint32_t stepMicros() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t maxStepsInFlight = 2; ///< one running at the engine, one waiting there, so that it is never idle
constexpr std::size_t maxItemsInStep = 256; ///< streams in one request

} // namespace Parsleytrail
