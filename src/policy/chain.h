// Choosing the chain of targets that together hold all layers of a model, and replacing one stage of it.
//
// Pure: targets, time and randomness are passed in.
#pragma once

#include "policy/target.h"

#include <random>
#include <set>

namespace Parsleytrail
{

/// What a stream needs of its stages.
struct ModelRequirements {
    ModelName model;          ///< model
    std::string version;      ///< model version
    std::string adapter;      ///< adapter, or empty
    std::uint32_t layers = 0; ///< layers of the model
};

/// How a chain is chosen.
struct ChainOptions {
    std::string dataCenter;                       ///< of the entry: the first and last stage are best near it
    double crossDataCenterMicros = 500;           ///< price of a hop to another data centre
    const std::set<TargetId> *excluded = nullptr; ///< targets that failed this stream; may be null
};

/// Whether the target holds what the stream needs and takes new work.
bool isUsable(const TargetView &target, const ModelRequirements &requirements, TimePoint now, const std::set<TargetId> *excluded);

/// Indices into `targets` of the stages in layer order; empty if the layers can't be covered.
///
/// For each layer range the better of two random holders is taken, so that entries with the same stale reports do not
/// all choose the same one; then the cheapest way through the ranges, where a hop to another data centre costs extra.
std::vector<std::size_t> selectChain(const std::vector<const TargetView *> &targets, const ModelRequirements &requirements, const ChainOptions &options,
                                     TimePoint now, std::mt19937_64 &random);

/// Index of a holder of exactly [begin, end) for a stream whose other stages stay; targets.size() if there is none.
std::size_t selectReplacement(const std::vector<const TargetView *> &targets, const ModelRequirements &requirements, std::uint32_t begin, std::uint32_t end,
                              const ChainOptions &options, TimePoint now, std::mt19937_64 &random);

} // namespace Parsleytrail
