// The main function of stand-in programs that listen on one address.
//
//     int main(int argc, char **argv)
//     {
//         return StandIn::runListeningProgram<StandIn::Platform>(argc, argv, helpText);
//     }
#pragma once

#include "stand-ins/process.h"

namespace Parsleytrail::StandIn
{

/// Parses the command line; returns the value of --listen, HOST:PORT.
std::string parseListenAddress(int argc, char **argv);

/// Prints the help if it is asked for, else runs a `Server` until SIGTERM or SIGINT. Returns the exit status.
template<typename Server>
int runListeningProgram(int argc, char **argv, const char *helpText)
{
    if (printHelp(argc, argv, helpText)) {
        return 0;
    }
    const std::string address = parseListenAddress(argc, argv);
    EventLoop loop;
    Server server(loop);
    return runListening(loop, address, [&server](const Address &requested) {
        return server.listen(requested);
    });
}

} // namespace Parsleytrail::StandIn
