#include "base/clock.h"

namespace Parsleytrail
{

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallTime() const
{
    return std::chrono::system_clock::now();
}

} // namespace Parsleytrail
