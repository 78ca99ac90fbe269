// Chain selection: finds targets that together cover all layers of a model, or a replacement for one stage.
//
// Pure: targets, time and randomness are passed in.
#pragma once

#include "policy/target.h"

#include <random>
#include <set>

namespace Parsleytrail
{

/// What the stages of a stream must hold.
struct ModelRequirements {
    ModelName model;
    std::string version;      ///< version of the model
    std::string adapter;      ///< empty: none needed
    std::uint32_t layers = 0; ///< number of layers of the model
};

/// Parameters of the selection.
struct ChainOptions {
    std::string dataCenter;                       ///< data centre of the entry; the first and the last stage are preferred there, as they exchange data with it
    double crossDataCenterMicros = 500;           ///< cost of a hop to another data centre, in microseconds
    const std::set<TargetId> *excluded = nullptr; ///< targets that failed this stream before; may be null
};

/// Whether the target holds the model, version and adapter, accepts new work and is not in `excluded`, which may be null.
bool isUsable(const TargetView &target, const ModelRequirements &requirements, TimePoint now, const std::set<TargetId> *excluded);

/// Selects a chain: indices into `targets` in layer order, or an empty list if the layers can't all be covered.
///
/// For each layer range in each data centre, the better of two random holders becomes the candidate, so that entries that
/// work from the same stale reports do not all pick the same target. The chain is the cheapest path through the candidates'
/// layer ranges, where a hop to another data centre costs extra.
std::vector<std::size_t> selectChain(const std::vector<const TargetView *> &targets, const ModelRequirements &requirements, const ChainOptions &options,
                                     TimePoint now, std::mt19937_64 &random);

/// Selects a replacement for one stage of a stream whose other stages stay in place: the index of a usable target that holds
/// exactly the layers [begin, end), preferably in `options.dataCenter`, or targets.size() if there is none.
std::size_t selectReplacement(const std::vector<const TargetView *> &targets, const ModelRequirements &requirements, std::uint32_t begin, std::uint32_t end,
                              const ChainOptions &options, TimePoint now, std::mt19937_64 &random);

} // namespace Parsleytrail
