// Fuzz target (libFuzzer) for the configuration file and the settings of entries and sidecars.
#include "base/ini.h"
#include "policy/configuration.h"

#include <cstddef>

using namespace Parsleytrail;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    std::vector<IniProblem> problems;
    const Configuration configuration = parseConfiguration(text, problems);
    if (problems.empty()) {
        // The canonical text of a valid configuration must parse to the same configuration.
        std::vector<IniProblem> none;
        const Configuration again = parseConfiguration(configurationText(configuration), none);
        if (!none.empty() || again.digest != configuration.digest) {
            __builtin_trap();
        }
    }
    problems.clear();
    const IniFile file = parseIni(text, problems);
    EntrySettings entry;
    SidecarSettings sidecar;
    for (const IniSection &section : file.sections) {
        readSection(section, entry, problems);
        readSection(section, sidecar, problems);
    }
    return 0;
}
