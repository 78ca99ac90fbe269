#include "policy/quarantine.h"

#include <algorithm>

namespace Parsleytrail
{

static bool isQuarantined(const Suspicion &suspicion)
{
    return suspicion.crashes.size() >= crashesToQuarantine;
}

InputStatus classifyInput(const Quarantine &quarantine, std::uint64_t fingerprint)
{
    const auto it = quarantine.suspicions.find(fingerprint);
    if (it == quarantine.suspicions.end()) {
        return InputStatus::Clear;
    }
    return isQuarantined(it->second) ? InputStatus::Quarantined : InputStatus::Suspect;
}

/// Drops the oldest input that is not quarantined, or the oldest one if all are.
static void dropOldest(Quarantine &quarantine)
{
    const auto oldest = std::min_element(quarantine.suspicions.begin(), quarantine.suspicions.end(), [](const auto &a, const auto &b) {
        const bool isHeldA = isQuarantined(a.second);
        const bool isHeldB = isQuarantined(b.second);
        return isHeldA != isHeldB ? isHeldB : a.second.updatedAt < b.second.updatedAt;
    });
    quarantine.suspicions.erase(oldest);
}

bool recordCrash(Quarantine &quarantine, std::uint64_t fingerprint, const Suspicion &suspicion, TimePoint now)
{
    const bool isNew = !quarantine.suspicions.count(fingerprint);
    if (isNew && quarantine.suspicions.size() >= maxSuspicions) {
        dropOldest(quarantine);
    }
    Suspicion &recorded = quarantine.suspicions[fingerprint];
    const std::size_t before = recorded.crashes.size();
    recorded.crashes.insert(suspicion.crashes.begin(), suspicion.crashes.end());
    if (recorded.crashes.size() == before) {
        return false;
    }
    recorded.service = suspicion.service;
    recorded.workspace = suspicion.workspace;
    recorded.request = suspicion.request;
    recorded.updatedAt = now;
    return true;
}

bool clearSuspicion(Quarantine &quarantine, std::uint64_t fingerprint)
{
    const auto it = quarantine.suspicions.find(fingerprint);
    if (it == quarantine.suspicions.end() || isQuarantined(it->second)) {
        return false;
    }
    quarantine.suspicions.erase(it);
    return true;
}

void prune(Quarantine &quarantine, TimePoint now)
{
    std::erase_if(quarantine.suspicions, [now](const auto &item) {
        const auto lifetime = isQuarantined(item.second) ? quarantineLifetime : suspicionLifetime;
        return now - item.second.updatedAt >= lifetime;
    });
}

} // namespace Parsleytrail
