// Clock interface, injected so that tests can control the time.
#pragma once

#include "base/ids.h"

#include <chrono>

namespace Parsleytrail
{

using TimePoint = std::chrono::steady_clock::time_point; ///< for intervals and deadlines
using WallTime = std::chrono::system_clock::time_point;  ///< for dates that are displayed or stored
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Source of monotonic and wall-clock time.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Monotonic time. Keeps advancing while the process is stopped by SIGSTOP.
    virtual TimePoint now() const = 0;
    /// Date and time of day. May jump in either direction when the system clock is set.
    virtual WallTime wallTime() const = 0;
};

/// Incarnation for a process that starts now: the wall time in microseconds since 1970.
Incarnation incarnationNow(const Clock &clock);

/// Clock of the operating system.
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallTime() const override;
};

} // namespace Parsleytrail
