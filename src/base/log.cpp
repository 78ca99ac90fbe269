#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace Parsleytrail
{

static spdlog::logger &logger()
{
    static const auto instance = [] {
        auto made = spdlog::stderr_logger_st("parsleytrail");
        made->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
        return made;
    }();
    return *instance;
}

static spdlog::level::level_enum toSpdlog(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return spdlog::level::debug;
    case EventLevel::Info:
        return spdlog::level::info;
    case EventLevel::Warning:
        return spdlog::level::warn;
    case EventLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

static void appendValue(std::string &line, const std::string &value)
{
    const bool isPlain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
    if (isPlain) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    line += '"';
}

bool setLogLevel(std::string_view level)
{
    for (const EventLevel known : {EventLevel::Debug, EventLevel::Info, EventLevel::Warning, EventLevel::Error}) {
        const auto name = spdlog::level::to_string_view(toSpdlog(known));
        if (level == std::string_view(name.data(), name.size())) {
            logger().set_level(toSpdlog(known));
            return true;
        }
    }
    return false;
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const EventInfo info = eventInfo(event);
    const auto level = toSpdlog(info.level);
    if (!logger().should_log(level)) {
        return;
    }
    std::string line = std::to_string(static_cast<int>(event)) + " " + info.name;
    for (const LogField &field : fields) {
        line += std::string(" ") + field.name + "=";
        appendValue(line, field.value);
    }
    logger().log(level, line);
}

} // namespace Parsleytrail
