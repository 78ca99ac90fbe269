#include "base/log.h"

#include "base/output_sink.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace Parsleytrail
{

static OutputSink &output()
{
    static OutputSink instance(STDOUT_FILENO);
    return instance;
}

/// spdlog sink that writes formatted lines to the output.
class LineSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        output().write(std::string_view(line.data(), line.size()));
    }
    void flush_() override
    {
        output().flush();
    }
};

static spdlog::logger &logger()
{
    static const auto instance = [] {
        auto created = std::make_shared<spdlog::logger>("parsleytrail", std::make_shared<LineSink>());
        created->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
        return created;
    }();
    return *instance;
}

/// Lines of level info that the rate limit dropped since the last report.
static std::uint64_t rateLimitedLines = 0;

/// Consumes one line from the rate limit of level info. Returns false, and counts the line, if the limit is reached.
static bool tryConsumeInfoLine()
{
    using Seconds = std::chrono::duration<double>;
    static double availableLines = maxInfoLinesPerSecond;
    static auto refilledAt = std::chrono::steady_clock::now();
    const auto now = std::chrono::steady_clock::now();
    availableLines = std::min(maxInfoLinesPerSecond, availableLines + Seconds(now - refilledAt).count() * maxInfoLinesPerSecond);
    refilledAt = now;
    if (availableLines < 1) {
        ++rateLimitedLines;
        return false;
    }
    availableLines -= 1;
    return true;
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
    const bool needsNoQuotes = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
    if (needsNoQuotes) {
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
    for (const EventLevel candidate : {EventLevel::Debug, EventLevel::Info, EventLevel::Warning, EventLevel::Error}) {
        const auto name = spdlog::level::to_string_view(toSpdlog(candidate));
        if (level == std::string_view(name.data(), name.size())) {
            logger().set_level(toSpdlog(candidate));
            return true;
        }
    }
    return false;
}

static std::string lineText(Event event, const EventInfo &info, std::initializer_list<LogField> fields)
{
    std::string line = std::to_string(static_cast<int>(event)) + " " + info.name;
    for (const LogField &field : fields) {
        line += std::string(" ") + field.name + "=";
        appendValue(line, field.value);
    }
    return line;
}

/// Logs how many lines were dropped since the last report, if any.
static void logDroppedLines()
{
    const std::uint64_t droppedLines = output().consumeDroppedLines();
    if (droppedLines + rateLimitedLines == 0) {
        return;
    }
    const std::string line = lineText(Event::LogLinesDropped, eventInfo(Event::LogLinesDropped),
                                      {{"slow_reader", std::to_string(droppedLines)}, {"too_many", std::to_string(rateLimitedLines)}});
    rateLimitedLines = 0;
    logger().log(spdlog::level::warn, line);
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const EventInfo info = eventInfo(event);
    const auto level = toSpdlog(info.level);
    if (!logger().should_log(level) || (info.level == EventLevel::Info && !tryConsumeInfoLine())) {
        return;
    }
    logDroppedLines();
    logger().log(level, lineText(event, info, fields));
}

} // namespace Parsleytrail
