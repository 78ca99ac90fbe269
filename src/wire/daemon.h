// The main function that all daemons share: command line, settings file, signals, shutdown.
#pragma once

#include "base/settings_file.h"
#include "wire/event_loop.h"

#include <functional>
#include <string>

namespace Parsleytrail
{

/// The parts of a daemon that differ between programs.
struct DaemonProgram {
    const char *helpText = "";         ///< printed for --help
    const char *sectionName = "";      ///< the only section of the settings file
    const char *settingsVariable = ""; ///< environment variable that holds the file's path, read if --settings is not given
    std::function<void(const IniSection &, std::vector<IniProblem> &)> readSettings; ///< stores the section's values and appends its errors
    std::function<std::string()> logLevel;                                           ///< log level from the settings
    std::function<Result<void>(EventLoop &, const Clock &)> start;                   ///< creates the daemon's objects and starts them
    std::function<void(std::function<void()>)> drain;                                ///< called on SIGTERM or SIGINT; calls its argument once drained
    std::function<void()> destroy;                                                   ///< destroys what start() created, before the loop is destroyed
};

/// Runs the daemon. Returns its exit status: 0 stopped, --help or --check; 1 start failed; 2 settings missing or invalid.
int runDaemon(int argc, char **argv, const DaemonProgram &program);

} // namespace Parsleytrail
