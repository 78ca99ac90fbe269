#include "policy/overload.h"

#include <algorithm>

namespace Parsleytrail
{

constexpr double newLagShare = 0.2;    ///< of a sample in the average
constexpr double loweredTo = 0.9;      ///< limit while overloaded, relative to the open requests
constexpr double raisedBy = 0.02;      ///< of the limit, per limitInterval, while there is processor time left
constexpr double minRaise = 0.25;      ///< requests, per limitInterval
constexpr double limitInUseFrom = 0.8; ///< the limit is raised only if so much of it is in use: otherwise nothing shows that more would do

static void lowerLimit(OverloadGuard &guard, int openRequests)
{
    const double lowered = std::max<double>(loweredTo * openRequests, minOpenLimit);
    guard.openLimit = guard.openLimit == 0 ? lowered : std::min(guard.openLimit, lowered);
}

static void raiseLimit(OverloadGuard &guard, int openRequests)
{
    if (openRequests >= limitInUseFrom * guard.openLimit) {
        guard.openLimit += std::max(raisedBy * guard.openLimit, minRaise);
    }
}

void recordTimerLag(OverloadGuard &guard, milliseconds lag, int openRequests, TimePoint now)
{
    const auto counted = static_cast<double>(std::clamp(lag, milliseconds(0), maxCountedLag).count());
    guard.averageLagMs += newLagShare * (counted - guard.averageLagMs);
    const bool isOverloaded = guard.averageLagMs > static_cast<double>(overloadLag.count());
    guard.overloadedAt = isOverloaded ? now : guard.overloadedAt;
    if (guard.openLimit > 0 && now - guard.overloadedAt >= limitMemory) {
        guard.openLimit = 0;
    }
    if (now - guard.changedAt < limitInterval) {
        return;
    }
    guard.changedAt = now;
    if (isOverloaded) {
        lowerLimit(guard, openRequests);
    } else if (guard.openLimit > 0 && guard.averageLagMs < static_cast<double>(idleLag.count())) {
        raiseLimit(guard, openRequests);
    }
}

bool acceptsConnection(const OverloadGuard &guard, int openRequests)
{
    return guard.openLimit == 0 || openRequests < guard.openLimit;
}

} // namespace Parsleytrail
