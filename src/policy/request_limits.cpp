#include "policy/request_limits.h"

#include <algorithm>
#include <cmath>

namespace Parsleytrail
{

constexpr double thousandths = 1000;
constexpr std::uint32_t neverNamed = UINT32_MAX; ///< age of a limit that was named to no entry

static bool setLimit(RequestDemand &demand, double perSecond, TimePoint namedAt, bool isNamedHere, double draw)
{
    const bool hasChanged = perSecond != demand.limit;
    if (demand.limit == 0 && perSecond > 0) {
        demand.credit = draw;
    }
    demand.limit = perSecond;
    demand.namedAt = namedAt;
    demand.isNamedHere = isNamedHere;
    return hasChanged;
}

bool recordNamedLimit(RequestDemand &demand, double perSecond, TimePoint now, double draw)
{
    const bool isUnlimited = perSecond == 0 && demand.namedAt == TimePoint();
    return !isUnlimited && setLimit(demand, perSecond, now, true, draw);
}

bool recordLearnedLimit(RequestDemand &demand, double perSecond, TimePoint namedAt, double draw)
{
    return namedAt > demand.namedAt && setLimit(demand, perSecond, namedAt, false, draw);
}

bool hasRecentLimit(const RequestDemand &demand, TimePoint now)
{
    return demand.namedAt != TimePoint() && now - demand.namedAt < limitLifetime;
}

double limitInForce(const RequestDemand &demand, TimePoint now)
{
    return hasRecentLimit(demand, now) ? demand.limit : 0;
}

double wantedRate(const RequestDemand &demand, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - demand.wantedAt) / std::chrono::duration<double>(demandWindow);
    return demand.wanted * std::exp(-elapsed);
}

static void countWanted(RequestDemand &demand, TimePoint now)
{
    demand.wanted = wantedRate(demand, now) + 1 / std::chrono::duration<double>(demandWindow).count();
    demand.wantedAt = now;
}

bool admitRequest(RequestDemand &demand, int entries, TimePoint now)
{
    countWanted(demand, now);
    const double limit = limitInForce(demand, now);
    if (limit == 0) {
        return true;
    }
    const double reported = demand.wanted + demand.peersWanted;
    const int reporting = 1 + demand.peersReporting;
    const double all = reported * std::max(1.0, static_cast<double>(entries) / reporting);
    demand.credit += std::min(1.0, usableLimitShare * limit / all);
    if (demand.credit < 1) {
        return false;
    }
    demand.credit -= 1;
    return true;
}

void addDemands(DemandTable &table, const std::vector<TargetDemand> &demands, TimePoint receivedAt)
{
    for (const TargetDemand &demand : demands) {
        DemandSum &sum = table[demand.target];
        sum.wanted += demand.wanted / thousandths;
        sum.entries += demand.entries;
        const TimePoint namedAt = receivedAt - milliseconds(demand.limitAgeMs);
        if (demand.limitAgeMs != neverNamed && namedAt > sum.namedAt) {
            sum.namedAt = namedAt;
            sum.limit = demand.limit / thousandths;
        }
    }
}

static std::uint32_t toThousandths(double value)
{
    return static_cast<std::uint32_t>(std::clamp(std::ceil(value * thousandths), 0.0, static_cast<double>(UINT32_MAX)));
}

static TargetDemand toMessage(std::uint32_t target, const DemandSum &sum, TimePoint now)
{
    const bool isNamed = sum.namedAt != TimePoint();
    const auto age = std::chrono::duration_cast<milliseconds>(now - sum.namedAt).count();
    return {target, toThousandths(sum.limit), isNamed ? static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0)) : neverNamed, toThousandths(sum.wanted),
            static_cast<std::uint16_t>(std::min(sum.entries, static_cast<int>(UINT16_MAX)))};
}

TargetDemand describeDemand(const RequestDemand &demand, std::uint32_t target, TimePoint now)
{
    // Only what was named to this entry: the others would hear their own words again.
    const TimePoint namedAt = demand.isNamedHere ? demand.namedAt : TimePoint();
    return toMessage(target, {demand.limit, namedAt, wantedRate(demand, now), 1}, now);
}

std::vector<TargetDemand> listDemands(const DemandTable &table, TimePoint now)
{
    std::vector<TargetDemand> list;
    for (const auto &[target, sum] : table) {
        list.push_back(toMessage(target, sum, now));
    }
    std::stable_sort(list.begin(), list.end(), [](const TargetDemand &a, const TargetDemand &b) {
        return a.wanted > b.wanted;
    });
    list.resize(std::min(list.size(), maxReportedDemands));
    return list;
}

} // namespace Parsleytrail
