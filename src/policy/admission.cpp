#include "policy/admission.h"

#include <algorithm>
#include <cmath>

namespace Parsleytrail
{

constexpr double usedShare = 0.8;           ///< the limit grows only while this much of it is in use
constexpr std::uint32_t fewestSamples = 20; ///< in a window, to judge by

void noteGap(AdmissionLimit &admission, double seconds, double targetSeconds, std::size_t running, TimePoint now)
{
    ++admission.samples;
    admission.misses += seconds > targetSeconds ? 1 : 0;
    if (admission.windowEnds == TimePoint{}) {
        admission.windowEnds = now + admission.window;
    }
    if (now < admission.windowEnds || admission.samples < fewestSamples) {
        return;
    }
    const bool isOverloaded = admission.misses > admission.missShare * admission.samples;
    const bool isUsed = static_cast<double>(running) >= usedShare * admission.limit;
    if (isOverloaded) {
        // From what runs, not from a limit that was never reached.
        admission.limit = std::min(admission.limit, static_cast<double>(running)) * admission.decrease;
    } else if (isUsed) {
        admission.limit += admission.increase + 0.02 * admission.limit;
    }
    admission.limit = std::clamp(admission.limit, admission.least, admission.most);
    admission.samples = 0;
    admission.misses = 0;
    admission.windowEnds = now + admission.window;
}

static double decayed(double given, const ShareLedger &ledger, TimePoint now)
{
    const double halfLives = std::chrono::duration<double>(now - ledger.decayedAt) / std::chrono::duration<double>(shareHalfLife);
    return given * std::exp2(-halfLives);
}

void noteStarted(ShareLedger &ledger, const WaitingRequest &request, TimePoint now)
{
    if (ledger.decayedAt != TimePoint{}) {
        for (auto &[workspace, given] : ledger.given) {
            given = decayed(given, ledger, now);
        }
        std::erase_if(ledger.given, [](const auto &item) {
            return item.second < 1;
        });
    }
    ledger.decayedAt = now;
    ledger.given[request.workspace] += request.cost;
}

/// Order within a workspace.
static bool goesBefore(const WaitingRequest &a, const WaitingRequest &b)
{
    const double worthA = a.worth / std::max(a.cost, 1.0);
    const double worthB = b.worth / std::max(b.cost, 1.0);
    return worthA != worthB ? worthA > worthB : a.arrivedAt < b.arrivedAt;
}

std::size_t chooseNext(const std::vector<WaitingRequest> &waiting, const ShareLedger &ledger, TimePoint now)
{
    std::map<WorkspaceName, std::size_t> best; // of each workspace
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (now >= waiting[i].startBy) {
            continue;
        }
        const auto [known, isNew] = best.emplace(waiting[i].workspace, i);
        if (!isNew && goesBefore(waiting[i], waiting[known->second])) {
            known->second = i;
        }
    }
    std::size_t chosen = waiting.size();
    double least = 0;
    for (const auto &[workspace, index] : best) {
        const auto it = ledger.given.find(workspace);
        // A workspace whose answers are worth more may be given more.
        const double given = (it == ledger.given.end() ? 0 : it->second) / std::max(waiting[index].worth, 1e-6);
        if (chosen == waiting.size() || given < least) {
            chosen = index;
            least = given;
        }
    }
    return chosen;
}

std::vector<std::size_t> lateRequests(const std::vector<WaitingRequest> &waiting, TimePoint now)
{
    std::vector<std::size_t> late;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (now >= waiting[i].startBy) {
            late.push_back(i);
        }
    }
    return late;
}

} // namespace Parsleytrail
