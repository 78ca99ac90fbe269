#include "policy/stage_stream.h"

namespace Parsleytrail
{

std::uint32_t received(const StageStream &stream)
{
    return stream.applied + stream.inStep + static_cast<std::uint32_t>(stream.waiting.size());
}

static InputDecision classifyAttempt(const StageStream &stream, Attempt attempt)
{
    if (attempt < stream.attempt) {
        return InputDecision::OldAttempt;
    }
    return attempt > stream.attempt ? InputDecision::NewerAttempt : InputDecision::Accept;
}

InputDecision handleActivations(StageStream &stream, const ActivationFrame &frame)
{
    if (const InputDecision decision = classifyAttempt(stream, frame.attempt); decision != InputDecision::Accept) {
        return decision;
    }
    if (frame.layersDone != stream.layerBegin || frame.stageIndex != stream.stageIndex || stream.isFirst) {
        return InputDecision::WrongLayer;
    }
    const std::uint32_t next = received(stream);
    const auto end = frame.position + static_cast<std::uint32_t>(frame.activations.size());
    if (frame.position > next) {
        return InputDecision::Gap;
    }
    if (end <= next) {
        return InputDecision::Duplicate;
    }
    stream.promptLength = frame.promptLength;
    stream.waiting.insert(stream.waiting.end(), frame.activations.begin() + (next - frame.position), frame.activations.end());
    return InputDecision::Accept;
}

InputDecision handleToken(StageStream &stream, Attempt attempt, std::uint32_t index, std::uint32_t token)
{
    if (const InputDecision decision = classifyAttempt(stream, attempt); decision != InputDecision::Accept) {
        return decision;
    }
    if (!stream.isFirst) {
        return InputDecision::WrongLayer;
    }
    if (index != stream.tokensAccepted) {
        return index < stream.tokensAccepted ? InputDecision::Duplicate : InputDecision::Gap;
    }
    ++stream.tokensAccepted;
    stream.waiting.push_back(token);
    return InputDecision::Accept;
}

bool openAttempt(StageStream &stream, const OpenStage &open)
{
    if (open.attempt <= stream.attempt || open.stageIndex >= open.stages.size()) {
        return false;
    }
    const bool isFresh = stream.attempt == Attempt{};
    const StageAddress &self = open.stages[open.stageIndex];
    const bool isSameLayerRange = stream.layerBegin == self.layerBegin && stream.layerEnd == self.layerEnd;
    if (!isFresh && !isSameLayerRange) {
        stream = {};
    }
    const bool isEmpty = stream.attempt == Attempt{};
    stream.request = open.request;
    stream.attempt = open.attempt;
    stream.stageIndex = open.stageIndex;
    stream.isFirst = open.stageIndex == 0;
    stream.isLast = open.stageIndex + 1 == open.stages.size();
    stream.layerBegin = self.layerBegin;
    stream.layerEnd = self.layerEnd;
    stream.maxTokens = open.maxTokens;
    if (isEmpty && stream.isFirst) {
        stream.isPromptWaiting = true;
    }
    if (stream.isFirst) {
        for (std::size_t i = stream.tokensAccepted; i < open.tokens.size(); ++i) {
            stream.waiting.push_back(open.tokens[i]);
            ++stream.tokensAccepted;
        }
    }
    // In the first attempt every stage starts at position 0. In later ones the next stage first requests the position from
    // which it needs results.
    stream.maySend = stream.isLast || open.attempt == Attempt{1};
    stream.sent = stream.isLast ? static_cast<std::uint32_t>(open.tokens.size()) : 0;
    return true;
}

std::optional<StepInput> beginStep(StageStream &stream)
{
    const bool hasInput = stream.isPromptWaiting || !stream.waiting.empty();
    if (stream.inStep > 0 || !hasInput || stream.isFinished) {
        return std::nullopt;
    }
    StepInput input;
    input.position = stream.applied;
    input.withPrompt = stream.isPromptWaiting;
    input.values = std::move(stream.waiting);
    stream.waiting.clear();
    stream.isPromptWaiting = false;
    // The prompt counts as one position here: its real length is known only when the engine reports it.
    stream.inStep = static_cast<std::uint32_t>(input.values.size()) + (input.withPrompt ? 1 : 0);
    return input;
}

void endStep(StageStream &stream, std::uint32_t promptLength, std::uint32_t positions, const std::vector<std::uint64_t> &results)
{
    stream.inStep = 0;
    stream.applied += positions;
    if (promptLength > 0) {
        stream.promptLength = promptLength;
    }
    if (!stream.isLast) {
        stream.kept.insert(stream.kept.end(), results.begin(), results.end());
    }
}

bool recordToken(StageStream &stream, KeptToken token, const std::vector<std::uint32_t> &emitted)
{
    const std::size_t index = stream.tokens.size();
    if (index < emitted.size() && emitted[index] != token.token) {
        return false;
    }
    if (token.finish == FinishReason::None && index + 1 >= stream.maxTokens) {
        token.finish = FinishReason::Length;
    }
    stream.isFinished = token.finish != FinishReason::None;
    stream.tokens.push_back(std::move(token));
    return true;
}

bool resumeFrom(StageStream &stream, std::uint32_t position)
{
    if (position < stream.keptFrom) {
        return false;
    }
    stream.sent = position;
    stream.maySend = true;
    return true;
}

std::vector<std::uint64_t> consumeResults(StageStream &stream)
{
    const std::uint32_t end = stream.keptFrom + static_cast<std::uint32_t>(stream.kept.size());
    if (!stream.maySend || stream.isLast || stream.sent >= end || stream.sent < stream.keptFrom) {
        return {};
    }
    std::vector<std::uint64_t> results(stream.kept.begin() + (stream.sent - stream.keptFrom), stream.kept.end());
    stream.sent = end;
    return results;
}

std::size_t dropKeptResults(StageStream &stream)
{
    const std::uint32_t end = stream.keptFrom + static_cast<std::uint32_t>(stream.kept.size());
    const std::uint32_t dropTo = std::min(stream.sent, end);
    if (!stream.maySend || dropTo <= stream.keptFrom) {
        return 0;
    }
    const std::size_t count = dropTo - stream.keptFrom;
    stream.kept.erase(stream.kept.begin(), stream.kept.begin() + static_cast<std::ptrdiff_t>(count));
    stream.kept.shrink_to_fit();
    stream.keptFrom = dropTo;
    return count * sizeof(std::uint64_t);
}

} // namespace Parsleytrail
