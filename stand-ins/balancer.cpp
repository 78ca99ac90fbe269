#include "stand-ins/balancer.h"

#include "base/digest.h"

namespace Parsleytrail::StandIn
{

Balancer::Balancer(std::vector<BalancedEntry> entries, std::uint64_t seed)
    : m_entries(std::move(entries))
    , m_seed(seed)
{
}

void Balancer::setIn(std::size_t entry, bool isIn)
{
    m_entries.at(entry).isIn = isIn;
}

void Balancer::concentrate(double share, const std::string &dataCenter)
{
    m_share = share;
    m_concentratedDataCenter = dataCenter;
}

void Balancer::spread()
{
    m_share = 0;
}

/// The entries of the data centre that are in, or those of all if there is none.
std::vector<std::size_t> Balancer::candidates(const std::string &dataCenter) const
{
    std::vector<std::size_t> local;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (!m_entries[i].isIn) {
            continue;
        }
        all.push_back(i);
        if (m_entries[i].dataCenter == dataCenter) {
            local.push_back(i);
        }
    }
    return local.empty() ? all : local;
}

std::size_t Balancer::preferredEntry() const
{
    for (std::size_t i = 0; m_share > 0 && i < m_entries.size(); ++i) {
        const bool isConcerned = m_concentratedDataCenter.empty() || m_entries[i].dataCenter == m_concentratedDataCenter;
        if (isConcerned && m_entries[i].isIn) {
            return i;
        }
    }
    return m_entries.size();
}

/// A number in [0, 1).
double Balancer::drawShare()
{
    constexpr std::uint64_t steps = 1 << 20;
    return static_cast<double>(hash64(std::to_string(++m_draws), m_seed) % steps) / steps;
}

std::size_t Balancer::choose(std::uint64_t caller, const std::string &dataCenter)
{
    const std::size_t preferred = preferredEntry();
    const bool isConcerned = m_concentratedDataCenter.empty() || dataCenter == m_concentratedDataCenter;
    if (preferred < m_entries.size() && isConcerned && drawShare() < m_share) {
        return preferred;
    }
    const std::vector<std::size_t> entries = candidates(dataCenter);
    return entries.at(hash64(std::to_string(caller), m_seed) % entries.size());
}

std::size_t Balancer::chooseForRetry(std::uint64_t caller, const std::string &dataCenter, std::size_t previous) const
{
    std::vector<std::size_t> entries = candidates(dataCenter);
    if (entries.size() == 1 && entries.front() == previous) {
        entries = candidates({});
    }
    if (entries.size() > 1) {
        std::erase(entries, previous);
    }
    return entries.at(hash64(std::to_string(caller), m_seed + 1) % entries.size());
}

} // namespace Parsleytrail::StandIn
