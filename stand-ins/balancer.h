// Stand-in for the platform's balancer: chooses the entry for each new connection.
//
// A caller's connections go to an entry of its data centre, by a hash of the caller; those of a data centre without entries that are in go
// to any other that is. For a time most new connections, of one data centre or of all, may go to a single entry that is in, and to another
// once that one is out. Retries go to other entries. Open connections stay where they are.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Parsleytrail::StandIn
{

/// An entry as the balancer knows it.
struct BalancedEntry {
    std::string dataCenter;
    bool isIn = true; ///< it answers that it accepts connections
};

/// Chooses entries. The same choices for the same seed and calls.
class Balancer
{
public:
    Balancer(std::vector<BalancedEntry> entries, std::uint64_t seed);

    void setIn(std::size_t entry, bool isIn);
    /// From now on `share` of the new connections of the data centre, or of all if it is empty, go to one entry.
    void concentrate(double share, const std::string &dataCenter = {});
    /// From now on they are spread again.
    void spread();
    /// The entry that most connections go to; the number of entries if there is none.
    std::size_t preferredEntry() const;

    /// Entry for a new connection of a caller.
    std::size_t choose(std::uint64_t caller, const std::string &dataCenter);
    /// Entry for a retry, which is another one than before if any other is in.
    std::size_t chooseForRetry(std::uint64_t caller, const std::string &dataCenter, std::size_t previous) const;

private:
    std::vector<std::size_t> candidates(const std::string &dataCenter) const;
    double drawShare();

    std::vector<BalancedEntry> m_entries;
    std::uint64_t m_seed;
    std::uint64_t m_draws = 0;
    double m_share = 0;                   ///< of new connections that go to one entry; zero: they are spread
    std::string m_concentratedDataCenter; ///< whose connections these are; empty: of all
};

} // namespace Parsleytrail::StandIn
