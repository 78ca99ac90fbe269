// Time, passed in so that tests decide what time it is.
#pragma once

#include "base/ids.h"

#include <chrono>

namespace Parsleytrail
{

using TimePoint = std::chrono::steady_clock::time_point; ///< for intervals and deadlines
using WallTime = std::chrono::system_clock::time_point;  ///< for dates shown to people and kept in the store
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Source of time.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Monotonic time; a SIGSTOP does not stop it.
    virtual TimePoint now() const = 0;
    /// Date and time of day; may jump.
    virtual WallTime wallTime() const = 0;
};

/// Incarnation of a process that starts now.
Incarnation incarnationNow(const Clock &clock);

/// The machine's clocks.
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallTime() const override;
};

} // namespace Parsleytrail
