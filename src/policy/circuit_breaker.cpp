#include "policy/circuit_breaker.h"

#include <algorithm>

namespace Parsleytrail
{

bool isOpen(const CircuitBreaker &circuit)
{
    return circuit.pause.count() > 0;
}

bool tryAcquireCall(CircuitBreaker &circuit, TimePoint now)
{
    if (!isOpen(circuit)) {
        return true;
    }
    if (circuit.isProbing || now < circuit.probeAt) {
        return false;
    }
    circuit.isProbing = true;
    return true;
}

bool recordSuccess(CircuitBreaker &circuit)
{
    const bool wasOpen = isOpen(circuit);
    circuit.failures = 0;
    circuit.pause = milliseconds(0);
    circuit.isProbing = false;
    return wasOpen;
}

bool recordFailure(CircuitBreaker &circuit, TimePoint now)
{
    const bool wasOpen = isOpen(circuit);
    ++circuit.failures;
    circuit.isProbing = false;
    if (circuit.failures < circuit.failuresToOpen) {
        return false;
    }
    circuit.pause = wasOpen ? std::min(circuit.pause * 2, circuit.maxPause) : circuit.initialPause;
    circuit.probeAt = now + circuit.pause;
    return !wasOpen;
}

} // namespace Parsleytrail
