// The tokens of the stand-in engines: a deterministic function of prompt, model, version, adapter and every layer
// applied in order.
//
// Each layer keeps a digest of all its inputs, as a real layer keeps its KV cache. An activation that skips, repeats or
// swaps a layer, or that belongs to another stream, changes every later token, so that an error in the pipeline shows as
// a response that differs from the reference.
#pragma once

#include "generated/messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail::StandIn
{

/// Identifies the weights that layers apply.
struct Weights {
    std::string model;   ///< model name
    std::string version; ///< model version
    std::string adapter; ///< adapter name; empty for none
};

/// State of a stream in the layers [begin, end) of one engine: the counterpart of a KV cache.
struct LayerState {
    std::uint32_t begin = 0;            ///< first layer
    std::uint32_t positions = 0;        ///< positions applied
    std::vector<std::uint64_t> digests; ///< digest of all inputs so far, one per layer
};

/// A generated token.
struct GeneratedToken {
    std::uint32_t token = 0; ///< token id; 0 at the end of the response
    std::string text;        ///< text; empty at the end of the response
    bool isEnd = false;      ///< end of the response
};

/// Tokens of a prompt: a begin-of-text token and one token per word; never empty.
std::vector<std::uint32_t> tokenize(std::string_view prompt);
/// Activation of a token at a position, the input of layer 0.
std::uint64_t embed(std::uint32_t token, std::uint32_t position);
/// State of a new stream in the layers [begin, end).
LayerState makeLayers(std::uint32_t begin, std::uint32_t end);
/// Applies all layers of the state to one activation; returns the activation for the next layer.
std::uint64_t applyLayers(LayerState &state, const Weights &weights, std::uint64_t activation);
/// Token selected by the activation that leaves the last layer.
GeneratedToken pickToken(std::uint64_t activation);

/// The response that a correct pipeline returns, computed without one.
struct ReferenceAnswer {
    std::string text;                         ///< texts of all tokens, concatenated
    std::vector<std::uint32_t> tokens;        ///< token ids, the end token included
    FinishReason finish = FinishReason::None; ///< Stop or Length
    std::uint32_t promptTokens = 0;           ///< tokens of the prompt
};
ReferenceAnswer referenceAnswer(std::string_view prompt, const Weights &weights, std::uint32_t layers, std::uint32_t maxTokens);

} // namespace Parsleytrail::StandIn
