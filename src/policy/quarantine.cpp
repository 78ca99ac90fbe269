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

static void dropOldest(Quarantine &quarantine)
{
    auto oldest = quarantine.suspicions.end();
    for (auto it = quarantine.suspicions.begin(); it != quarantine.suspicions.end(); ++it) {
        if (!isQuarantined(it->second) && (oldest == quarantine.suspicions.end() || it->second.updatedAt < oldest->second.updatedAt)) {
            oldest = it;
        }
    }
    if (oldest != quarantine.suspicions.end()) {
        quarantine.suspicions.erase(oldest);
    }
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
