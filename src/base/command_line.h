// What every program's command line has.
#pragma once

namespace Parsleytrail
{

/// Whether --help is among the arguments. Asked before Abseil parses them, whose own help exits with 1 and lists flags only.
bool wantsHelp(int argc, char **argv);

} // namespace Parsleytrail
