#include "policy/store_outage.h"

#include <algorithm>

namespace Parsleytrail
{

constexpr milliseconds minRetryInterval{130};
constexpr int maxDoublings = 4;
constexpr double smallestShare = 0.54; ///< of the interval that the number of failures allows

milliseconds retryInterval(int failuresInRow, milliseconds longest, double share)
{
    const int doublings = std::clamp(failuresInRow - 1, 0, maxDoublings);
    const milliseconds allowed = std::min(minRetryInterval * (1 << doublings), longest);
    return std::chrono::duration_cast<milliseconds>(allowed * (smallestShare + (1 - smallestShare) * share));
}

} // namespace Parsleytrail
