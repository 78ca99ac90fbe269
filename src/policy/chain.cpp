#include "policy/chain.h"

#include <algorithm>
#include <limits>
#include <map>

namespace Parsleytrail
{

using Range = std::pair<std::uint32_t, std::uint32_t>;

bool isUsable(const TargetView &target, const ModelRequirements &requirements, TimePoint now, const std::set<TargetId> *excluded)
{
    const Announcement &last = target.last;
    const bool holdsModel = last.kind == TargetKind::Engine && last.model == requirements.model && last.version == requirements.version;
    if (!holdsModel || !acceptsNewWork(target, now)) {
        return false;
    }
    const bool holdsAdapter =
        requirements.adapter.empty() || std::find(last.adapters.begin(), last.adapters.end(), requirements.adapter) != last.adapters.end();
    const bool isExcluded = excluded && excluded->count(last.target) > 0;
    return holdsAdapter && !isExcluded;
}

/// Picks two members at random and returns the one with the lower expected time.
static std::size_t selectOfTwo(const std::vector<const TargetView *> &targets, const std::vector<std::size_t> &members, TimePoint now, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::size_t> any(0, members.size() - 1);
    const std::size_t a = members[any(random)];
    const std::size_t b = members[any(random)];
    return expectedMicros(*targets[a], now) <= expectedMicros(*targets[b], now) ? a : b;
}

/// Cheapest path from the entry to one candidate.
struct Path {
    double cost = std::numeric_limits<double>::infinity(); ///< microseconds
    std::size_t previous = 0;                              ///< index of the preceding candidate; the candidate's own index for a first stage
};

std::vector<std::size_t> selectChain(const std::vector<const TargetView *> &targets, const ModelRequirements &requirements, const ChainOptions &options,
                                     TimePoint now, std::mt19937_64 &random)
{
    std::map<Range, std::map<std::string, std::vector<std::size_t>>> holders; // by layer range, then data centre
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (isUsable(*targets[i], requirements, now, options.excluded)) {
            const Announcement &last = targets[i]->last;
            holders[{last.layerBegin, last.layerEnd}][last.dataCenter].push_back(i);
        }
    }
    // Candidates are sorted by their first layer, so that the cheapest path to a candidate is final before it is extended.
    std::vector<std::size_t> candidates;
    for (const auto &[range, byDataCenter] : holders) {
        for (const auto &[dataCenter, members] : byDataCenter) {
            candidates.push_back(selectOfTwo(targets, members, now, random));
        }
    }
    const auto hopCost = [&](const std::string &from, const std::string &to) {
        return from == to ? 0.0 : options.crossDataCenterMicros;
    };
    std::vector<Path> paths(candidates.size());
    std::size_t best = candidates.size();
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t c = 0; c < candidates.size(); ++c) {
        const Announcement &here = targets[candidates[c]]->last;
        const double stageCost = expectedMicros(*targets[candidates[c]], now);
        if (here.layerBegin == 0) {
            paths[c] = {stageCost + hopCost(options.dataCenter, here.dataCenter), c};
        }
        for (std::size_t p = 0; p < c; ++p) {
            const Announcement &before = targets[candidates[p]]->last;
            const double cost = paths[p].cost + stageCost + hopCost(before.dataCenter, here.dataCenter);
            if (before.layerEnd == here.layerBegin && cost < paths[c].cost) {
                paths[c] = {cost, p};
            }
        }
        const double total = paths[c].cost + hopCost(here.dataCenter, options.dataCenter);
        if (here.layerEnd == requirements.layers && total < bestCost) {
            best = c;
            bestCost = total;
        }
    }
    std::vector<std::size_t> chain;
    if (best == candidates.size()) {
        return chain;
    }
    for (std::size_t c = best;; c = paths[c].previous) {
        chain.push_back(candidates[c]);
        if (paths[c].previous == c) {
            break;
        }
    }
    std::reverse(chain.begin(), chain.end());
    return chain;
}

std::size_t selectReplacement(const std::vector<const TargetView *> &targets, const ModelRequirements &requirements, std::uint32_t begin, std::uint32_t end,
                              const ChainOptions &options, TimePoint now, std::mt19937_64 &random)
{
    std::vector<std::size_t> localHolders;
    std::vector<std::size_t> remoteHolders;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const Announcement &last = targets[i]->last;
        if (last.layerBegin == begin && last.layerEnd == end && isUsable(*targets[i], requirements, now, options.excluded)) {
            (last.dataCenter == options.dataCenter ? localHolders : remoteHolders).push_back(i);
        }
    }
    const std::vector<std::size_t> &members = localHolders.empty() ? remoteHolders : localHolders;
    return members.empty() ? targets.size() : selectOfTwo(targets, members, now, random);
}

} // namespace Parsleytrail
