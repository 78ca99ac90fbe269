#include "stand-ins/token_function.h"

#include "base/digest.h"

#include <array>

namespace Parsleytrail::StandIn
{

constexpr std::uint32_t beginOfText = 1;
constexpr std::uint32_t vocabularySize = 4096;
constexpr std::uint64_t meanTokensPerEnd = 97; ///< one in this many tokens, on average, ends the response

/// Finaliser of SplitMix64: every input bit changes about half of the output bits.
static std::uint64_t mix(std::uint64_t x)
{
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

static std::uint64_t weightSeed(const Weights &weights)
{
    return hash64(weights.adapter, hash64(weights.version, hash64(weights.model)));
}

std::vector<std::uint32_t> tokenize(std::string_view prompt)
{
    std::vector<std::uint32_t> tokens = {beginOfText};
    constexpr std::string_view whitespace = " \n\t";
    std::size_t begin = prompt.find_first_not_of(whitespace);
    while (begin != std::string_view::npos) {
        const std::size_t end = prompt.find_first_of(whitespace, begin);
        tokens.push_back(static_cast<std::uint32_t>(hash64(prompt.substr(begin, end - begin))));
        begin = prompt.find_first_not_of(whitespace, end);
    }
    return tokens;
}

std::uint64_t embed(std::uint32_t token, std::uint32_t position)
{
    return mix(static_cast<std::uint64_t>(position) << 32 | token);
}

LayerState makeLayers(std::uint32_t begin, std::uint32_t end)
{
    return {begin, 0, std::vector<std::uint64_t>(end - begin, 0)};
}

std::uint64_t applyLayers(LayerState &state, const Weights &weights, std::uint64_t activation)
{
    const std::uint64_t seed = weightSeed(weights);
    for (std::size_t i = 0; i < state.digests.size(); ++i) {
        const std::uint64_t layer = state.begin + i + 1;
        state.digests[i] = mix(state.digests[i] + activation);
        activation = mix(activation ^ state.digests[i]) ^ mix(seed + layer);
    }
    ++state.positions;
    return activation;
}

GeneratedToken pickToken(std::uint64_t activation)
{
    static constexpr std::array<const char *, 16> consonants = {"b", "d", "f", "g", "h", "k", "l", "m", "n", "p", "r", "s", "t", "v", "w", "z"};
    static constexpr std::array<const char *, 16> vowelEndings = {"a", "e", "i", "o", "u", "an", "en", "in", "on", "un", "ar", "er", "ir", "or", "ur", "al"};
    GeneratedToken result;
    result.isEnd = (activation >> 32) % meanTokensPerEnd == 0;
    result.token = result.isEnd ? 0 : static_cast<std::uint32_t>(activation % vocabularySize) + 2;
    if (!result.isEnd) {
        const std::uint32_t word = result.token - 2;
        result.text = std::string(" ") + consonants[word % 16] + vowelEndings[word / 16 % 16] + consonants[word / 256 % 16] + "o";
    }
    return result;
}

ReferenceAnswer referenceAnswer(std::string_view prompt, const Weights &weights, std::uint32_t layers, std::uint32_t maxTokens)
{
    ReferenceAnswer answer;
    LayerState state = makeLayers(0, layers);
    std::vector<std::uint32_t> inputs = tokenize(prompt);
    answer.promptTokens = static_cast<std::uint32_t>(inputs.size());
    while (answer.finish == FinishReason::None) {
        std::uint64_t last = 0;
        for (const std::uint32_t token : inputs) {
            last = applyLayers(state, weights, embed(token, state.positions));
        }
        const GeneratedToken next = pickToken(last);
        answer.tokens.push_back(next.token);
        answer.text += next.text;
        inputs = {next.token};
        if (next.isEnd) {
            answer.finish = FinishReason::Stop;
        } else if (answer.tokens.size() >= maxTokens) {
            answer.finish = FinishReason::Length;
        }
    }
    return answer;
}

} // namespace Parsleytrail::StandIn
