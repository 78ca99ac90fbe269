#include "policy/prefill_forecast.h"

#include <algorithm>

namespace Parsleytrail
{

double prefillMs(const EngineModel &model, const AcceleratorKind &kind, double tokens, int layers)
{
    if (model.prefillChunkTokens <= 0 || model.layers <= 0 || model.prefillTokensPerMs <= 0) {
        return 0;
    }
    const double layerShare = static_cast<double>(layers) / model.layers;
    const double passes = tokens / (model.stepsPerPass * model.prefillChunkTokens);
    const double decodingMs = passes * model.stepsPerPass * model.stepMs * kind.decodeSlowdownFactor;
    const double readingMs = tokens * kind.prefillSlowdownFactor / model.prefillTokensPerMs;
    return layerShare * (decodingMs + readingMs);
}

double prefillBacklogMs(const Target &target, TimePoint now)
{
    return std::max(0.0, std::chrono::duration<double, std::milli>(target.prefillBusyUntil - now).count());
}

void addPrefill(Target &target, double ms, TimePoint now)
{
    const auto added = std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(ms));
    target.prefillBusyUntil = std::max(now, target.prefillBusyUntil) + added;
}

double recoveryMultiplier(const Target &lost)
{
    return static_cast<double>(std::max(1, totalOpenRequests(lost))) / std::max(1, lost.openRequests);
}

void limitForecast(RouteTable &table, std::string_view scope)
{
    for (auto &[name, service] : table.services) {
        const bool isInScope = scope == "always" || (scope == "priorities" && service.hasPriorities);
        if (service.engine && !isInScope) {
            service.engine->prefillChunkTokens = 0;
        }
    }
}

} // namespace Parsleytrail
