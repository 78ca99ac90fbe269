#include "stand-ins/process.h"

#include <csignal>
#include <cstring>
#include <iostream>

namespace Parsleytrail::StandIn
{

bool printHelp(int argc, char **argv, const char *text)
{
    for (int i = 1; i < argc; ++i) {
        if (std::strcmp(argv[i], "--help") == 0) {
            std::cout << text;
            return true;
        }
    }
    return false;
}

void runUntilSignal(EventLoop &loop)
{
    const auto stop = [&loop] {
        loop.stop();
    };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    loop.run();
}

} // namespace Parsleytrail::StandIn
