// Structured log lines on standard error: one numbered event a line.
//
//     2026-01-01T10:00:00.000 info 120 TargetJoined target=e1 layers=0-9
#pragma once

#include "generated/events.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Parsleytrail
{

/// One field of a log line.
struct LogField {
    const char *name;  ///< key
    std::string value; ///< quoted where it holds blanks
};

/// Sets the lowest level written: debug, info, warning or error. Returns false for another word.
bool setLogLevel(std::string_view level);
/// Writes an event.
void logEvent(Event event, std::initializer_list<LogField> fields = {});

} // namespace Parsleytrail
