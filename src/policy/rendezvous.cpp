#include "policy/rendezvous.h"

#include "base/digest.h"

#include <algorithm>
#include <numeric>

namespace Parsleytrail
{

std::vector<std::size_t> pickPeers(std::string_view member, const std::vector<std::string> &peers, std::size_t count)
{
    const std::uint64_t seed = hash64(member);
    std::vector<std::uint64_t> ranks(peers.size());
    std::transform(peers.begin(), peers.end(), ranks.begin(), [seed](const std::string &peer) {
        return hash64(peer, seed);
    });
    std::vector<std::size_t> order(peers.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return ranks[a] != ranks[b] ? ranks[a] > ranks[b] : a < b;
    });
    order.resize(std::min(count, order.size()));
    return order;
}

} // namespace Parsleytrail
