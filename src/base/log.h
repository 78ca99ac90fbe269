// Structured log on standard output, one numbered event per line. Never blocks; see output_sink.h.
//
//     2026-01-01T10:00:00.000 info 120 TargetJoined target=e1 layers=0-9
#pragma once

#include "generated/events.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// Rate limit and burst of level info, in lines a second. A process answers some tens of requests a second, each with one or
/// two lines; under a flood of refusals, logging must not cost more than the refusals themselves.
constexpr double maxInfoLinesPerSecond = 300;

/// One field of a log line.
struct LogField {
    const char *name;  ///< field name
    std::string value; ///< quoted if it is empty or contains whitespace, quotes or "="
};

/// Sets the lowest level that is written: debug, info, warning or error. Returns false if the level is unknown.
bool setLogLevel(std::string_view level);
/// Writes an event. Lines of level info are limited to maxInfoLinesPerSecond; dropped lines are counted and reported by a later
/// LogLinesDropped event.
void logEvent(Event event, std::initializer_list<LogField> fields = {});

} // namespace Parsleytrail
