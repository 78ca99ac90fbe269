#include "policy/data_center_choice.h"

#include "policy/prefill_forecast.h"

#include <algorithm>

namespace Parsleytrail
{

std::string_view choiceReasonName(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::LocalInTime:
        return "local-in-time";
    case ChoiceReason::NoLocalChain:
        return "no-local-chain";
    case ChoiceReason::ElsewhereInTime:
        return "elsewhere-in-time";
    case ChoiceReason::NotInShare:
        return "not-in-share";
    case ChoiceReason::NoAllowance:
        return "no-allowance";
    case ChoiceReason::LateEverywhere:
        return "late-everywhere";
    case ChoiceReason::StaleReports:
        return "stale-reports";
    case ChoiceReason::NoChain:
        break;
    }
    return "no-chain";
}

double unloadedFirstEventMs(const Fleet &fleet, const EngineModel &model, const std::vector<ChainStage> &chain, double tokens)
{
    double ms = 0;
    for (const ChainStage &stage : chain) {
        const Target *target = findTarget(fleet, stage.id);
        const AcceleratorKind *kind = target ? findKind(model, target->registered.accelerator) : nullptr;
        if (kind && model.layers > 0) {
            const double passMs = model.stepsPerPass * model.stepMs * kind->decodeSlowdownFactor * stage.layers.count() / model.layers;
            ms += prefillMs(model, *kind, tokens, stage.layers.count()) + passMs;
        }
    }
    return ms;
}

double firstEventForecastMs(const DataCenterChoice &state, const std::string &dataCenter, double unloadedMs, double backlogMs, double linkMs, TimePoint now)
{
    const auto it = state.observed.find(dataCenter);
    const bool isObserved = it != state.observed.end() && now - it->second.observedAt < firstEventLifetime;
    const double usualMs = isObserved ? it->second.delay.averageMs : unloadedMs;
    return usualMs + backlogMs + 2 * linkMs;
}

void recordFirstEvent(DataCenterChoice &state, const std::string &dataCenter, double delayMs, TimePoint now)
{
    ObservedFirstEvents &observed = state.observed[dataCenter];
    if (now - observed.observedAt >= firstEventLifetime) {
        observed.delay = {};
    }
    recordDelay(observed.delay, milliseconds(static_cast<std::int64_t>(std::max(0.0, delayMs))));
    observed.observedAt = now;
}

double demandShare(const Fleet &fleet, const ServiceName &service, bool isAlone, int entries)
{
    if (isAlone) {
        return 1.0 / std::max(1, entries);
    }
    // Each entry counts as having one request more than it has. So the shares of all entries add up to one in an idle fleet too, where
    // a burst may begin at all of them before the first reports of it.
    int own = 1;
    int all = std::max(1, entries);
    for (const auto &[id, target] : fleet.targets) {
        own += target.registered.service == service ? target.openRequests : 0;
        all += target.registered.service == service ? totalOpenRequests(target) : 0;
    }
    return static_cast<double>(own) / std::max(own, all);
}

static bool isLocalLate(const ChoiceInputs &inputs)
{
    return inputs.hasTarget && inputs.local.firstEventMs > inputs.msLeft;
}

bool mayLeave(const ChoiceInputs &inputs)
{
    return !inputs.local.hasChain || isLocalLate(inputs);
}

/// The part of a stream, or the debt, that a window passes on to the next one.
static double carriedFrom(const LeavingAllowance &allowance)
{
    return std::min(allowance.left, 1.0);
}

static bool isWindowOver(const LeavingAllowance &allowance, TimePoint now)
{
    return now - allowance.grantedAt >= allowanceWindow;
}

double leavingAllowance(const DataCenterChoice &state, const DataCenterOption &option, double demandShare, TimePoint now)
{
    const double granted = option.fittingStreams * demandShare;
    const auto it = state.allowances.find(option.dataCenter);
    if (it == state.allowances.end()) {
        return granted;
    }
    if (isWindowOver(it->second, now)) {
        return granted + carriedFrom(it->second);
    }
    // Newer reports may tell that less is left than was granted.
    return std::min(it->second.left, granted + std::max(0.0, it->second.carried));
}

/// The best of the other data centres for a stream. Null if none qualifies.
template<typename Qualifies>
static const DataCenterOption *bestOther(const ChoiceInputs &inputs, const Qualifies &qualifies)
{
    const DataCenterOption *best = nullptr;
    for (const DataCenterOption &option : inputs.others) {
        if (!option.hasChain || !qualifies(option)) {
            continue;
        }
        const auto rank = [](const DataCenterOption &one) {
            return std::pair(one.firstEventMs, one.costMs);
        };
        best = !best || rank(option) < rank(*best) ? &option : best;
    }
    return best;
}

static Choice chooseWithoutLocalChain(const DataCenterChoice &state, const ChoiceInputs &inputs, TimePoint now)
{
    const auto allowanceOf = [&](const DataCenterOption &option) {
        return leavingAllowance(state, option, inputs.demandShare, now);
    };
    const DataCenterOption *best = bestOther(inputs, [&](const DataCenterOption &option) {
        return allowanceOf(option) >= 1;
    });
    // The allowance is an estimate, and a refusal is certainly late: such a stream leaves without allowance if there is a chain.
    best = best ? best : bestOther(inputs, [](const DataCenterOption &) {
        return true;
    });
    return best ? Choice{best->dataCenter, ChoiceReason::NoLocalChain, 1, allowanceOf(*best)} : Choice{};
}

Choice chooseDataCenter(const DataCenterChoice &state, const ChoiceInputs &inputs, TimePoint now)
{
    if (!inputs.local.hasChain) {
        return chooseWithoutLocalChain(state, inputs, now);
    }
    Choice stay{inputs.local.dataCenter, ChoiceReason::LocalInTime, state.leavingShare, 0};
    if (!isLocalLate(inputs)) {
        return stay;
    }
    if (inputs.reportAge >= maxReportAge) {
        stay.reason = ChoiceReason::StaleReports;
        return stay;
    }
    const auto isInTime = [&](const DataCenterOption &option) {
        return option.firstEventMs <= inputs.msLeft;
    };
    if (!bestOther(inputs, isInTime)) {
        stay.reason = ChoiceReason::LateEverywhere;
        return stay;
    }
    const DataCenterOption *best = bestOther(inputs, [&](const DataCenterOption &option) {
        return isInTime(option) && leavingAllowance(state, option, inputs.demandShare, now) >= 1;
    });
    if (!best) {
        stay.reason = ChoiceReason::NoAllowance;
        return stay;
    }
    const double allowance = leavingAllowance(state, *best, inputs.demandShare, now);
    // An allowance that is less than what arrives in a second is spread over it, as newer reports may tell that less is left.
    const double spread = state.arrivalsPerSecond > 0 ? allowance / state.arrivalsPerSecond : 1;
    stay.share = std::min(state.leavingShare, spread);
    stay.allowance = allowance;
    if (inputs.draw >= stay.share) {
        stay.reason = ChoiceReason::NotInShare;
        return stay;
    }
    return {best->dataCenter, ChoiceReason::ElsewhereInTime, stay.share, allowance};
}

static void countStay(StayCounts &stays, ChoiceReason reason)
{
    stays.byShare += reason == ChoiceReason::NotInShare ? 1 : 0;
    stays.byAllowance += reason == ChoiceReason::NoAllowance ? 1 : 0;
    stays.lateEverywhere += reason == ChoiceReason::LateEverywhere ? 1 : 0;
    stays.byStaleReports += reason == ChoiceReason::StaleReports ? 1 : 0;
}

void recordChoice(DataCenterChoice &state, const ChoiceInputs &inputs, const Choice &choice, TimePoint now)
{
    ++state.arrivals;
    state.localMisses += mayLeave(inputs) ? 1 : 0;
    countStay(state.stays, choice.reason);
    for (const DataCenterOption &option : inputs.others) {
        const bool isNew = !state.allowances.contains(option.dataCenter);
        LeavingAllowance &allowance = state.allowances[option.dataCenter];
        if (isNew || isWindowOver(allowance, now)) {
            // A debt above one window's grant is dropped: it would keep streams from a data centre that has had room since.
            const double granted = option.fittingStreams * inputs.demandShare;
            allowance.carried = isNew ? 0 : std::max(carriedFrom(allowance), -granted);
            allowance.left = granted + allowance.carried;
            allowance.grantedAt = now;
        }
        if (option.dataCenter == choice.dataCenter) {
            --allowance.left;
            ++allowance.leaves;
        }
    }
}

void adaptLeavingShare(DataCenterChoice &state)
{
    const bool mostlyMisses = state.localMisses > 0 && state.localMisses * 2 >= state.arrivals;
    const double factor = mostlyMisses ? leavingShareGrowth : leavingShareDecay;
    state.leavingShare = std::clamp(state.leavingShare * factor, minLeavingShare, 1.0);
    state.arrivalsPerSecond = state.arrivals;
    state.arrivals = 0;
    state.localMisses = 0;
    state.stays = {};
}

} // namespace Parsleytrail
