#include "stand-ins/process.h"

#include "base/command_line.h"

#include <csignal>
#include <iostream>

namespace Parsleytrail::StandIn
{

bool printHelp(int argc, char **argv, const char *text)
{
    if (!wantsHelp(argc, argv)) {
        return false;
    }
    std::cout << text;
    return true;
}

int runListening(EventLoop &loop, const std::string &address, const std::function<Result<Address>(const Address &)> &listen)
{
    Error error;
    const auto start = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(requested, parseAddress(address));
        BOOST_LEAF_AUTO(bound, listen(requested));
        std::cout << "listening " << bound.toString() << std::endl;
        return {};
    };
    if (!runCatching(start, error)) {
        std::cerr << error.toString() << '\n';
        return 1;
    }
    runUntilSignal(loop);
    return 0;
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
