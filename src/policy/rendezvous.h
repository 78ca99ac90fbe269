// Rendezvous hashing: each member picks the same few peers as long as they live, and a change moves few members.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// Indices of the `count` peers that rank highest for `member`, best first. All of them if there are no more.
std::vector<std::size_t> pickPeers(std::string_view member, const std::vector<std::string> &peers, std::size_t count);

} // namespace Parsleytrail
