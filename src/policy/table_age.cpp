#include "policy/table_age.h"

#include <algorithm>
#include <limits>

namespace Parsleytrail
{

constexpr std::uint16_t unknownAgeMs = std::numeric_limits<std::uint16_t>::max(); ///< also for tables that are older than can be written

bool isOld(TimePoint provenAt, milliseconds maxAge, TimePoint now)
{
    return maxAge > milliseconds(0) && (provenAt == TimePoint() || now - provenAt > maxAge);
}

void recordAnswer(OwnTablesAge &age, TimePoint provenAt)
{
    age.provenAt = std::max(age.provenAt, provenAt);
}

void recordProof(OwnTablesAge &age, const TablesProof &other, std::uint64_t configurationChange, std::uint64_t targetsChange)
{
    // A proof that waits for its changes is kept: while changes follow each other, the newest one may never be satisfied.
    if (age.awaited.provenAt == TimePoint()) {
        age.awaited = other;
    }
    const auto includes = [&](const TablesProof &proof) {
        return configurationChange >= proof.configurationChange && targetsChange >= proof.targetsChange;
    };
    for (const TablesProof &proof : {age.awaited, other}) {
        if (includes(proof)) {
            age.provenAt = std::max(age.provenAt, proof.provenAt);
            age.awaited = {};
        }
    }
}

std::uint16_t ageForMessage(TimePoint provenAt, TimePoint now)
{
    if (provenAt == TimePoint()) {
        return unknownAgeMs;
    }
    const std::int64_t elapsed = std::chrono::ceil<milliseconds>(now - provenAt).count();
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(elapsed, 0, unknownAgeMs));
}

TimePoint provenAtFromMessage(std::uint16_t ageMs, TimePoint receivedAt)
{
    return ageMs == unknownAgeMs ? TimePoint() : receivedAt - milliseconds(ageMs);
}

} // namespace Parsleytrail
