// What the daemons' programs share: the command line, the settings file, signals, and the end.
#pragma once

#include "base/settings_file.h"
#include "wire/event_loop.h"

#include <functional>
#include <string>

namespace Parsleytrail
{

/// A program that runs until it is asked to stop.
struct DaemonProgram {
    const char *helpText = "";                                                       ///< for --help
    const char *sectionName = "";                                                    ///< only section of its settings file
    const char *settingsVariable = "";                                               ///< environment variable with the file's path, if --settings is not given
    std::function<void(const IniSection &, std::vector<IniProblem> &)> readSettings; ///< fills in the settings
    std::function<std::string()> logLevel;                                           ///< of the settings
    std::function<Result<void>(EventLoop &, const Clock &)> start;                   ///< makes and starts the process
    std::function<void(std::function<void()>)> drain;                                ///< SIGTERM or SIGINT; calls back at the end
    std::function<void()> destroy;                                                   ///< ends what start() made, before the loop goes
};

/// Runs the program. Returns its exit status: 0 stopped (or checked), 1 could not start, 2 wrong usage or settings.
int runDaemon(int argc, char **argv, const DaemonProgram &program);

} // namespace Parsleytrail
