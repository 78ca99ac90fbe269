// Forecast of when engines will have processed the prompts that they were sent.
//
// An engine processes prompts one after the other, between the passes of its running streams. When an engine of a chain is lost, all
// its streams are processed again by the few engines that hold the same layers, and a stream that is sent there continues only
// after those before it. The forecast counts what this entry has sent, so that the next streams can be sent elsewhere, or in order
// of urgency.
//
//     const double ms = prefillMs(model, kind, tokens, stage.layers.count());
//     if (prefillBacklogMs(target, now) + ms <= msLeft) ...
//     addPrefill(target, ms, now);
//
// Pure: the caller passes the time in.
#pragma once

#include "policy/fleet.h"
#include "policy/routes.h"

#include <string_view>

namespace Parsleytrail
{

/// Time in ms that an engine of this kind takes to process `tokens` through `layers` layers, with the decoding steps of its running
/// streams in between. Zero if the model does not say how many tokens a step processes: the forecast is off.
double prefillMs(const EngineModel &model, const AcceleratorKind &kind, double tokens, int layers);

/// Time in ms until the engine is expected to have processed all prompts that it was sent so far.
double prefillBacklogMs(const Target &target, TimePoint now);
/// Adds `ms` to the engine's backlog.
void addPrefill(Target &target, double ms, TimePoint now);

/// Factor on this entry's own work when all entries send the streams of a lost engine elsewhere at once: all open requests there,
/// relative to this entry's. The reports of the others arrive too late to be used for that.
double recoveryMultiplier(const Target &lost);

/// Turns the forecast off for the services outside of `scope`, a value of the setting prompt-forecast. Without it chains are selected
/// by their cost alone.
void limitForecast(RouteTable &table, std::string_view scope);

} // namespace Parsleytrail
