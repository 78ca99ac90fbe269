// Structured log lines on standard output: one numbered event a line. Never blocks; see output_sink.h.
//
//     2026-01-01T10:00:00.000 info 120 TargetJoined target=e1 layers=0-9
#pragma once

#include "generated/events.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// Most lines of level info a second, with as many saved up. A process answers some tens of requests a second, each with
/// a line or two; a storm of refusals must not cost more than the refusals themselves.
constexpr double maxInfoLinesPerSecond = 300;

/// One field of a log line.
struct LogField {
    const char *name;  ///< key
    std::string value; ///< quoted where it holds blanks
};

/// Sets the lowest level written: debug, info, warning or error. Returns false for another word.
bool setLogLevel(std::string_view level);
/// Writes an event. Lines of level info are limited to maxInfoLinesPerSecond; what is dropped is counted and told.
void logEvent(Event event, std::initializer_list<LogField> fields = {});

} // namespace Parsleytrail
