// Circuit breaker: stops calls to a failing peer and probes it after growing pauses until it recovers.
//
// Pure: the caller passes the time in.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace Parsleytrail
{

/// Settings and state of one circuit breaker.
struct CircuitBreaker {
    std::uint32_t failuresToOpen = 3; ///< consecutive failures that open the circuit
    milliseconds initialPause{500};   ///< pause before the first probe
    milliseconds maxPause{10000};     ///< the pause doubles with each failed probe, up to this value

    std::uint32_t failures = 0; ///< consecutive failures since the last success
    milliseconds pause{0};      ///< pause before the next probe; 0 while the circuit is closed
    TimePoint probeAt{};        ///< earliest time of the next probe
    bool isProbing = false;     ///< a probe was sent and has no result yet
};

/// Returns true if a call may be made now. While the circuit is open, only one call, the probe, is allowed after each pause.
bool tryAcquireCall(CircuitBreaker &circuit, TimePoint now);
/// Records a successful call. Returns true if this closed the circuit.
bool recordSuccess(CircuitBreaker &circuit);
/// Records a failed call. Returns true if this opened the circuit.
bool recordFailure(CircuitBreaker &circuit, TimePoint now);
/// Whether calls other than probes are refused.
bool isOpen(const CircuitBreaker &circuit);

} // namespace Parsleytrail
