// Streams: requests to pipelines, from the selection of the stages to the last token, with a new attempt after each failure.
//
// The caller receives each token once, in order, whatever happens to the stages. A failed stage is replaced by another holder
// of the same layers under a new attempt; the other stages keep their state, and the one before the new stage sends it its
// results again.
#pragma once

#include "entry/entry_crash_guard.h"
#include "entry/input_guard.h"
#include "entry/targets.h"
#include "policy/chain.h"

#include <optional>

namespace Parsleytrail
{

/// A request to a pipeline.
struct StreamRequest {
    RequestId id;                           ///< unique in the system
    ModelRequirements requirements;         ///< model, version and adapter that the stages must hold
    std::string prompt;                     ///< input text
    std::uint32_t maxTokens = 1;            ///< most tokens to generate
    std::uint32_t priority = 0;             ///< priority of the request; 0 is lowest
    std::uint64_t fingerprint = 0;          ///< hash of the input and its service
    std::vector<std::uint64_t> parts;       ///< fingerprints of the messages that other inputs of the service may share
    ServiceName service;                    ///< service that the caller named
    WorkspaceName workspace;                ///< workspace of the caller
    std::vector<std::string> allowedInputs; ///< fingerprints that are never refused: the service's allow-inputs
    milliseconds deadline{60000};           ///< longest time until the response is complete
};

/// The input of a request and its messages, as possible causes of a crash.
RequestInputs inputsOf(const StreamRequest &request);

/// Why a stream ended before its last token.
struct StreamFailure {
    Error error;                       ///< failed step, peer and reason
    Outcome outcome = Outcome::NotRun; ///< NotRun only if no stage was ever opened
    bool isTimeout = false;            ///< the deadline passed
    bool isQuarantined = false;        ///< the input is quarantined, as it crashes engines
};

/// Callbacks of a stream. Unless the stream is cancelled, the last call is either onEnd or onFail, once.
struct StreamHandlers {
    std::function<void(const TokenFrame &)> onToken;                     ///< each token once, in order
    std::function<void(FinishReason, std::uint32_t promptTokens)> onEnd; ///< after the last token
    std::function<void(const StreamFailure &)> onFail;
};

/// The open streams of an entry.
class Streams
{
public:
    Streams(EntryContext &context, Targets &targets, InputGuard &guard, EntryCrashGuard &crashGuard);
    ~Streams();

    /// Opens a stream. Callbacks are called later, never from within this call.
    void open(StreamRequest request, StreamHandlers handlers);
    /// Ends a stream that the caller no longer reads: closes its stages; no callback follows.
    void cancel(const RequestId &request);

    /// Handles a frame that belongs to a stream; false if it is malformed or of another kind.
    bool handleFrame(const Frame &frame);
    /// Replaces all stages at an address whose link broke.
    void handleLinkLost(const std::string &address, const Error &error);
    /// Replaces all stages at a target that timed out, restarted or lost its engine.
    void handleTargetLost(const TargetId &target);
    /// Retries the waiting streams, as a target may have become usable.
    void handleTargetsChanged();
    /// Detects stalled streams and passed deadlines, and retries waiting streams. Called every 50 ms.
    void tick();

    std::size_t size() const;
    /// JSON list of the open streams, for the state dump.
    std::string dump() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr milliseconds suspectRetryDelay{20};         ///< delay before a suspect's next attempt, so that other entries have received the notice
constexpr std::uint32_t maxAttempts = 16;             ///< attempts of one stream
constexpr milliseconds maxWaitBeforeFirstToken{1000}; ///< a stream that has emitted no token fails after waiting this long
constexpr milliseconds maxWaitAfterFirstToken{10000}; ///< a stream that has emitted tokens fails after waiting this long

} // namespace Parsleytrail
