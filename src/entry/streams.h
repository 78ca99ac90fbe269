// Streams: requests to pipelines, from the first stage to the last token, over as many attempts as failures call for.
//
// The caller sees each token once, in order, whatever happens to the stages. A stage that fails is replaced by another
// holder of the same layers under a new attempt; the stages that stay keep what they have, and the one before the new
// stage sends it its results again.
#pragma once

#include "entry/input_guard.h"
#include "entry/targets.h"
#include "policy/chain.h"

#include <optional>

namespace Parsleytrail
{

/// A request to a pipeline.
struct StreamRequest {
    RequestId id;                           ///< unique in the system
    ModelRequirements requirements;         ///< model, version, adapter
    std::string prompt;                     ///< text
    std::uint32_t maxTokens = 1;            ///< tokens to generate at most
    std::uint32_t priority = 0;             ///< 0 is lowest
    std::uint64_t fingerprint = 0;          ///< hash of the input
    ServiceName service;                    ///< named by the caller
    WorkspaceName workspace;                ///< of the caller
    std::vector<std::string> allowedInputs; ///< fingerprints that the service never refuses
    milliseconds deadline{60000};           ///< longest time for the whole answer
};

/// Why a stream ended without its last token.
struct StreamFailure {
    Error error;                       ///< step and peer
    Outcome outcome = Outcome::NotRun; ///< NotRun only if no stage was ever opened
    bool isTimeout = false;            ///< the deadline passed
    bool isQuarantined = false;        ///< the input kills engines
};

/// Callbacks of a stream. The last call is onEnd or onFail, once.
struct StreamHandlers {
    std::function<void(const TokenFrame &)> onToken;                     ///< each token once, in order
    std::function<void(FinishReason, std::uint32_t promptTokens)> onEnd; ///< after the last token
    std::function<void(const StreamFailure &)> onFail;
};

/// All streams of an entry.
class Streams
{
public:
    Streams(EntryContext &context, Targets &targets, InputGuard &guard);
    ~Streams();

    /// Opens a stream. Callbacks come later, never from within this call.
    void open(StreamRequest request, StreamHandlers handlers);
    /// The caller went away: stops the stages; no callback follows.
    void cancel(const RequestId &request);

    /// Takes a frame that belongs to streams; false if it is malformed.
    bool handleFrame(const Frame &frame);
    /// The link to an address is gone.
    void handleLinkLost(const std::string &address, const Error &error);
    /// A target can't be relied on any more.
    void handleTargetLost(const TargetId &target);
    /// Streams that wait for a target try again.
    void handleTargetsChanged();
    /// Looks for streams that stand still or are late. Called every few tens of milliseconds.
    void tick();

    std::size_t size() const;
    /// JSON list for the state dump.
    std::string dump() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr milliseconds suspectRetryDelay{20};         ///< before a suspect's next attempt, so that other entries have heard of it
constexpr std::uint32_t maxAttempts = 16;             ///< of one stream
constexpr milliseconds maxWaitBeforeFirstToken{1000}; ///< a stream without a token that finds no chain for this long fails
constexpr milliseconds maxWaitAfterFirstToken{10000}; ///< a stream that the caller has part of fails after this long without a chain

} // namespace Parsleytrail
