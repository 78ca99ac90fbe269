#include "base/clock.h"

namespace Parsleytrail
{

Incarnation incarnationNow(const Clock &clock)
{
    return {static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(clock.wallTime().time_since_epoch()).count())};
}

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallTime() const
{
    return std::chrono::system_clock::now();
}

} // namespace Parsleytrail
