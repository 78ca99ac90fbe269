// State of one stream at one stage, and the rules for accepting inputs and sending results to the next stage.
//
// Every layer must run exactly once for each token, in order. These rules ensure it:
//  - inputs are accepted only for the next position, and only from the newest attempt that the stage knows;
//  - each position goes to the engine once; its result is kept, so that it can be sent again in a later attempt;
//  - results are sent in order, starting at the position that the next stage requested.
//
// Pure: no I/O. The sidecar sends the results and runs the steps that these functions return.
#pragma once

#include "generated/messages.h"

#include <optional>

namespace Parsleytrail
{

/// A generated token, kept at the last stage.
struct KeptToken {
    std::uint32_t token = 0;                  ///< token id
    std::string text;                         ///< decoded text
    FinishReason finish = FinishReason::None; ///< Stop or Length for the last token
};

/// One stream at one stage.
struct StageStream {
    // Identity
    RequestId request;            ///< identifies the stream
    Attempt attempt;              ///< newest attempt opened at this stage
    std::uint32_t stageIndex = 0; ///< index in the chain
    bool isFirst = false;         ///< first stage: its inputs are tokens
    bool isLast = false;          ///< last stage: its results are tokens
    std::uint32_t layerBegin = 0; ///< first layer applied at this stage
    std::uint32_t layerEnd = 0;   ///< one past the last layer
    std::uint32_t maxTokens = 0;  ///< maximum number of tokens to generate

    // Inputs. Positions [0, applied) are done, [applied, applied + inStep) are at the engine, the remaining ones wait.
    std::uint32_t promptLength = 0;     ///< in positions; 0 until known
    std::uint32_t applied = 0;          ///< positions whose results are complete
    std::uint32_t inStep = 0;           ///< positions in the engine's current step
    std::vector<std::uint64_t> waiting; ///< inputs not yet given to the engine: activations, or tokens at the first stage
    std::uint32_t tokensAccepted = 0;   ///< first stage: generated tokens accepted as inputs
    bool isPromptWaiting = false;       ///< first stage: the prompt has not been given to the engine yet

    // Results
    std::vector<std::uint64_t> kept; ///< results from position keptFrom on; empty at the last stage
    std::uint32_t keptFrom = 0;      ///< results before this position were dropped to save memory
    std::vector<KeptToken> tokens;   ///< last stage: all tokens computed at this stage, from the start of the response
    std::uint32_t sent = 0;          ///< positions (last stage: tokens) sent so far
    bool maySend = false;            ///< the next stage expects results from position `sent` on
    bool isFinished = false;         ///< last stage: the final token was computed
};

/// What to do with a frame of inputs. Only accepted frames change the stream.
enum class InputDecision { Accept, Duplicate, Gap, OldAttempt, NewerAttempt, WrongLayer };

/// Number of positions received so far.
std::uint32_t received(const StageStream &stream);

/// Classifies a frame of activations and, for Accept, appends the positions that are new.
InputDecision handleActivations(StageStream &stream, const ActivationFrame &frame);
/// Classifies a token sent back to the first stage and, for Accept, appends it.
InputDecision handleToken(StageStream &stream, Attempt attempt, std::uint32_t index, std::uint32_t token);

/// Opens a stream or moves it to a newer attempt. Returns false and changes nothing if the attempt is not newer or its stage
/// index is out of range.
///
/// `stream` is empty or holds the state of an earlier attempt. Results computed then are kept, since the same inputs give the
/// same results, unless this stage's layers have changed.
bool openAttempt(StageStream &stream, const OpenStage &open);

/// Inputs of one engine step.
struct StepInput {
    std::uint32_t position = 0;        ///< first position
    bool withPrompt = false;           ///< first stage: the prompt precedes `values`
    std::vector<std::uint64_t> values; ///< activations or tokens
};
/// Begins a step with all waiting inputs; nothing if a step of this stream is running, no input waits or the stream is finished.
std::optional<StepInput> beginStep(StageStream &stream);
/// Ends a step: the engine has applied `positions`. `promptLength` is 0 if unknown; the first stage learns it from the engine.
void endStep(StageStream &stream, std::uint32_t promptLength, std::uint32_t positions, const std::vector<std::uint64_t> &results);
/// Last stage: records a computed token. Returns false if it differs from the token at the same index in `emitted`, the tokens
/// that the caller already has.
bool recordToken(StageStream &stream, KeptToken token, const std::vector<std::uint32_t> &emitted);

/// The next stage requests results from a position on. Returns false if they were dropped.
bool resumeFrom(StageStream &stream, std::uint32_t position);
/// Returns the results to send now, from position `stream.sent` on, and advances it. Empty if there are none.
std::vector<std::uint64_t> consumeResults(StageStream &stream);
/// Drops kept results that were sent to the next stage, to limit memory. Returns the bytes freed.
std::size_t dropKeptResults(StageStream &stream);

} // namespace Parsleytrail
