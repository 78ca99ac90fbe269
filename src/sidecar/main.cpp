// Program parsley-sidecar: reads its settings, serves until SIGTERM or SIGINT, then drains.
#include "sidecar/sidecar.h"
#include "wire/daemon.h"

using namespace Parsleytrail;

static constexpr const char *helpText = R"(parsley-sidecar: the process beside an engine or application.

Usage: parsley-sidecar --settings=FILE [--check]

  --settings=FILE  settings (INI, section [sidecar]); docs/SETTINGS.md lists the keys
  --check          only check the file; exit 0 if it is valid, 2 if not

SIGTERM or SIGINT: accepts no new work; exits when the last stream or call has ended, or after drain-timeout.
Exit status: 0 stopped, 1 could not start, 2 wrong usage or settings.

Example: parsley-sidecar --settings=/etc/parsleytrail/sidecar.ini
)";

int main(int argc, char **argv)
{
    SidecarSettings settings;
    std::unique_ptr<Sidecar> sidecar;
    DaemonProgram program;
    program.helpText = helpText;
    program.sectionName = "sidecar";
    program.readSettings = [&settings](const IniSection &section, std::vector<IniProblem> &problems) {
        readSection(section, settings, problems);
        checkAddresses(section, {"platform", "entries", "target"}, problems);
    };
    program.logLevel = [&settings] {
        return settings.logLevel;
    };
    program.start = [&](EventLoop &loop, const Clock &clock) {
        sidecar = std::make_unique<Sidecar>(loop, clock, settings);
        return sidecar->start();
    };
    program.drain = [&sidecar](std::function<void()> finished) {
        sidecar->drain(std::move(finished));
    };
    program.destroy = [&sidecar] {
        sidecar.reset();
    };
    return runDaemon(argc, argv, program);
}
