// Rendezvous hashing: each member selects the same few peers while they are up, and a change of peers affects few members.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// Indices of the `count` peers that rank highest for `member`, best first; all peers if there are no more than `count`.
std::vector<std::size_t> pickPeers(std::string_view member, const std::vector<std::string> &peers, std::size_t count);

} // namespace Parsleytrail
