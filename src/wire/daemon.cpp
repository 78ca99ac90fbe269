#include "wire/daemon.h"

#include "base/command_line.h"
#include "base/log.h"
#include "wire/memory_guard.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "settings file (INI)");
ABSL_FLAG(bool, check, false, "only check the settings file");

namespace Parsleytrail
{

enum DaemonExitStatus { DaemonStopped = 0, DaemonStartFailed = 1, DaemonUsageError = 2 };

static std::string settingsPath(const DaemonProgram &program)
{
    const std::string flag = absl::GetFlag(FLAGS_settings);
    const char *variable = flag.empty() ? std::getenv(program.settingsVariable) : nullptr;
    return variable ? variable : flag;
}

static bool readSettings(const DaemonProgram &program)
{
    if (!loadSettings(settingsPath(program), program.sectionName, program.readSettings)) {
        return false;
    }
    if (!setLogLevel(program.logLevel())) {
        std::cerr << "log-level: expected debug, info, warning or error\n";
        return false;
    }
    return true;
}

int runDaemon(int argc, char **argv, const DaemonProgram &program)
{
    if (wantsHelp(argc, argv)) {
        std::cout << program.helpText;
        return DaemonStopped;
    }
    absl::ParseCommandLine(argc, argv);
    if (!readSettings(program)) {
        return DaemonUsageError;
    }
    if (absl::GetFlag(FLAGS_check)) {
        return DaemonStopped;
    }
    prepareAllocator();
    EventLoop loop;
    const SystemClock clock;
    Error error;
    const bool isStarted = runCatching(
        [&] {
            return program.start(loop, clock);
        },
        error);
    if (isStarted) {
        const auto stop = [&] {
            program.drain([&loop] {
                loop.stop();
            });
        };
        loop.onSignal(SIGTERM, stop);
        loop.onSignal(SIGINT, stop);
        loop.run();
        logEvent(Event::ProcessStopped);
    } else {
        std::cerr << error.toString() << '\n';
    }
    program.destroy();
    return isStarted ? DaemonStopped : DaemonStartFailed;
}

} // namespace Parsleytrail
