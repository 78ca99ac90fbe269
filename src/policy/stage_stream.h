// State of one stream at one stage, and the rules by which inputs are taken and results passed on.
//
// Every layer must run exactly once for each token, in order. The rules that see to it:
//  - inputs are taken only for the next position, and only from the newest attempt that the stage knows;
//  - a position goes to the engine once; its result is kept, so that a later attempt can be given it again;
//  - results are passed on in order, from the position that the next stage asked for.
// Pure: no I/O; the sidecar performs what these functions return.
#pragma once

#include "generated/messages.h"

#include <optional>

namespace Parsleytrail
{

/// A generated token as the last stage keeps it.
struct KeptToken {
    std::uint32_t token = 0;                  ///< id
    std::string text;                         ///< text
    FinishReason finish = FinishReason::None; ///< Stop or Length for the last
};

/// One stream at one stage.
struct StageStream {
    // Identity
    RequestId request;            ///< stream
    Attempt attempt;              ///< newest attempt opened here
    std::uint32_t stageIndex = 0; ///< place in the chain
    bool isFirst = false;         ///< takes tokens
    bool isLast = false;          ///< gives tokens
    std::uint32_t layerBegin = 0; ///< first layer applied here
    std::uint32_t layerEnd = 0;   ///< one past the last
    std::uint32_t maxTokens = 0;  ///< tokens to generate at most

    // Inputs. Positions [0, applied) are done, [applied, applied + inStep) are at the engine, the rest waits.
    std::uint32_t promptLength = 0;     ///< 0 until known
    std::uint32_t applied = 0;          ///< positions whose result is known
    std::uint32_t inStep = 0;           ///< positions at the engine
    std::vector<std::uint64_t> waiting; ///< activations, or tokens at the first stage, after those at the engine
    std::uint32_t tokensAccepted = 0;   ///< first stage: generated tokens taken as inputs
    bool isPromptWaiting = false;       ///< first stage: the prompt has not been given to the engine

    // Results
    std::vector<std::uint64_t> kept; ///< results from position keptFrom on; empty at the last stage
    std::uint32_t keptFrom = 0;      ///< results before it were dropped to save memory
    std::vector<KeptToken> tokens;   ///< last stage: every token since the start
    std::uint32_t sent = 0;          ///< positions (last stage: tokens) passed on
    bool maySend = false;            ///< the next stage is known to listen from `sent`
    bool isFinished = false;         ///< last stage: the last token was computed
};

/// What to do with a frame of inputs.
enum class InputDecision { Accept, Duplicate, Gap, OldAttempt, NewerAttempt, WrongLayer };

/// Positions received so far.
std::uint32_t received(const StageStream &stream);

/// Judges a frame and, for Take, appends the part that is new.
InputDecision handleActivations(StageStream &stream, const ActivationFrame &frame);
/// Judges a token for the first stage and, for Take, appends it.
InputDecision handleToken(StageStream &stream, Attempt attempt, std::uint32_t index, std::uint32_t token);

/// Opens a stream, or carries it over to a newer attempt. Returns false, with nothing changed, if the attempt is not newer.
///
/// `stream` is fresh or what the stage still holds; what was computed for an earlier attempt is kept, since the same
/// inputs give the same results.
bool openAttempt(StageStream &stream, const OpenStage &open);

/// Inputs for the engine now; nothing if it is busy with this stream or nothing waits.
struct StepInput {
    std::uint32_t position = 0;        ///< first position
    bool withPrompt = false;           ///< first stage: the prompt stands before `values`
    std::vector<std::uint64_t> values; ///< activations or tokens
};
std::optional<StepInput> beginStep(StageStream &stream);
/// The engine has applied the step's positions; at the first stage this may tell the prompt's length.
void endStep(StageStream &stream, std::uint32_t promptLength, std::uint32_t positions, const std::vector<std::uint64_t> &results);
/// Last stage: notes a computed token; returns false if the caller already has another one at that place.
bool recordToken(StageStream &stream, KeptToken token, const std::vector<std::uint32_t> &emitted);

/// The next stage asks for results from a position. Returns false if they were dropped.
bool resumeFrom(StageStream &stream, std::uint32_t position);
/// Results to pass on now, from position `stream.sent`; advances it. Empty if none.
std::vector<std::uint64_t> consumeResults(StageStream &stream);
/// Drops kept results that the next stage has; used when memory is short. Returns the bytes freed.
std::size_t dropKeptResults(StageStream &stream);

} // namespace Parsleytrail
