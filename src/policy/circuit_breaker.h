// Circuit breaker: stops calling a peer that fails, and probes it now and then.
//
// Pure: the caller passes the time in.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace Parsleytrail
{

/// Settings and state of a circuit.
struct CircuitBreaker {
    std::uint32_t failuresToOpen = 3; ///< consecutive failures that open it
    milliseconds firstPause{500};     ///< pause before the first probe
    milliseconds longestPause{10000}; ///< pauses double up to this

    std::uint32_t failures = 0; ///< consecutive failures so far
    milliseconds pause{0};      ///< current pause; 0 while closed
    TimePoint probeAt{};        ///< when the next probe may go out
    bool isProbing = false;     ///< a probe is on its way
};

/// Whether a call may go out now. While the circuit is open only one probe goes out after each pause.
bool tryAcquireCall(CircuitBreaker &circuit, TimePoint now);
/// A call succeeded. Returns true if this closed the circuit.
bool recordSuccess(CircuitBreaker &circuit);
/// A call failed. Returns true if this opened the circuit.
bool recordFailure(CircuitBreaker &circuit, TimePoint now);
/// Whether calls are being refused.
bool isOpen(const CircuitBreaker &circuit);

} // namespace Parsleytrail
