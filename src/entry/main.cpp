// parsley-entry: reads its settings, serves until SIGTERM or SIGINT, then drains.
#include "entry/entry.h"
#include "wire/daemon.h"

using namespace Parsleytrail;

static constexpr const char *helpText = R"(parsley-entry: the process that callers and operators send requests to.

Usage: parsley-entry --settings=FILE [--check]

  --settings=FILE  settings (INI, section [entry]); docs/SETTINGS.md lists the keys
  --check          only check the file; exit 0 if it is valid, 2 if not

SIGTERM or SIGINT: not ready from then on; exits when the last request has ended, or after drain-timeout.
Exit: 0 stopped, 1 could not start, 2 invalid usage or settings.

Example: parsley-entry --settings=/etc/parsleytrail/entry.ini
)";

int main(int argc, char **argv)
{
    EntrySettings settings;
    std::unique_ptr<Entry> entry;
    DaemonProgram program;
    program.helpText = helpText;
    program.sectionName = "entry";
    program.readSettings = [&settings](const IniSection &section, std::vector<IniProblem> &problems) {
        readSection(section, settings, problems);
        checkAddresses(section, {"platform", "entries"}, problems);
    };
    program.logLevel = [&settings] {
        return settings.logLevel;
    };
    program.start = [&](EventLoop &loop, const Clock &clock) {
        entry = std::make_unique<Entry>(loop, clock, settings);
        return entry->start();
    };
    program.drain = [&entry](std::function<void()> finished) {
        entry->drain(std::move(finished));
    };
    program.destroy = [&entry] {
        entry.reset();
    };
    return runDaemon(argc, argv, program);
}
