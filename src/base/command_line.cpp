#include "base/command_line.h"

#include <string_view>

namespace Parsleytrail
{

bool wantsHelp(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        if (std::string_view(argv[i]) == "--help") {
            return true;
        }
    }
    return false;
}

} // namespace Parsleytrail
