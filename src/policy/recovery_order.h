// Recovery of streams that lost an engine of their chain, in order of urgency.
//
// The streams of a lost engine are moved to the few engines that hold the same layers, which process their tokens one stream after
// the other. Only the first ones continue before their pause exceeds the target gap of their route, so the order and the choice of
// action decide which streams are on time:
//
//     for (const std::size_t i : recoveryOrder(batch)) {
//         switch (chooseRecovery(forecastOf(batch[i]))) ...       // each action adds to the backlog that the next forecast sees
//     }
//     if (isGiveWayOver(until, backlogMs, now)) ...               // for streams that give way, at each check
//
// Every entry decides for its own streams. The streams of the others count by recoveryMultiplier() of policy/prefill_forecast.h, which
// LostEngines keeps, as the open requests it is computed from decrease while streams leave the lost engine.
//
// Pure: the caller passes the time in.
#pragma once

#include "policy/budget.h"
#include "policy/fleet.h"

#include <cstddef>
#include <limits>
#include <map>
#include <vector>

namespace Parsleytrail
{

/// Time left of a stream whose route has no target.
constexpr double unlimitedMs = std::numeric_limits<double>::infinity();

/// A stream that lost an engine.
struct LostStream {
    bool hasPriorities = false;  ///< streams of its service differ in priority; otherwise it keeps its place in order of arrival
    int priority = 5;            ///< 0 is the most urgent
    double msLeft = unlimitedMs; ///< until its pause exceeds the target gap; negative: it already does
};

/// Indices of the streams in the order in which they are recovered: by priority, then the least time left first. Streams of services
/// without priorities come first, in the given order.
std::vector<std::size_t> recoveryOrder(const std::vector<LostStream> &batch);

/// Work of one engine that has to process the tokens of a moved stream.
struct StagePrefill {
    double backlogMs = 0; ///< until it has processed what it was sent before
    double prefillMs = 0; ///< processing the stream's tokens
};
/// Time in ms until the engines of a chain have processed the tokens of a moved stream, each after the previous one. Other
/// entries move streams of the same engine at the same moment: `multiplier` streams for each one of this entry, in any order. Half of the
/// others are expected to be processed before this one.
double moveDelayMs(const std::vector<StagePrefill> &stages, double multiplier);

enum class RecoveryAction {
    Move,    ///< continue now through other engines of the data centre, in the place of the lost one
    Restart, ///< start again now on another chain
    GiveWay  ///< late in any case: move after streams that can still be on time
};
const char *toString(RecoveryAction action);

/// When a stream would get its next event.
struct RecoveryForecast {
    double msLeft = unlimitedMs;    ///< until its pause exceeds the target gap
    double moveMs = 0;              ///< until its next event if it is moved now
    double restartMs = unlimitedMs; ///< the same if it is restarted now; unlimited: not possible, or not allowed
};
RecoveryAction chooseRecovery(const RecoveryForecast &forecast);

/// Longest pause of a stream that gives way. Callers disconnect after 2 s without an event, and the move itself needs time.
constexpr milliseconds maxGiveWayPause{1000};
/// An engine with less than this backlog counts as having processed the streams that can be on time. It equals the interval at which
/// streams that give way are checked, so that the engine does not become idle between two checks.
constexpr milliseconds givenWayBacklog{25};
/// Latest time until which a stream gives way: `targetGap` from now, and not beyond maxGiveWayPause since its last event. Not before `now`.
TimePoint giveWayUntil(TimePoint now, TimePoint lastEventAt, milliseconds targetGap);
/// Whether a stream that gives way is to be moved: the engines that will process its tokens have `backlogMs` left, or its time is over.
bool isGiveWayOver(TimePoint until, double backlogMs, TimePoint now);

/// Whether a stream may consume a retry. While more urgent streams are open, less urgent ones leave half of the burst, rounded down, to
/// more urgent ones. Rounded down, because the share of the burst may be as small as one retry, which less urgent streams could never use.
bool mayConsumeRetry(const RetryBudget &budget, bool hasMoreUrgentStreams);

/// Recovery multipliers of engines that were lost recently.
struct LostEngines {
    struct Loss {
        double multiplier = 1;
        TimePoint lostAt{};
    };
    std::map<TargetId, Loss> losses;
};
/// How long a multiplier is kept: streams are found to be affected up to some hundred ms after the engine was lost.
constexpr milliseconds lossMemory{500};
/// Multiplier of a lost engine. It is computed at the first call for the engine, before streams leave it, and then kept for lossMemory.
double rememberedMultiplier(LostEngines &engines, const Fleet &fleet, const TargetId &lost, TimePoint now);

} // namespace Parsleytrail
