// Command-line handling that all programs share.
#pragma once

namespace Parsleytrail
{

/// Whether --help is among the arguments. Call it before Abseil parses them: Abseil's own help exits with 1 and lists only flags.
bool wantsHelp(int argc, char **argv);

} // namespace Parsleytrail
