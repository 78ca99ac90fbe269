// Functions shared by the stand-in programs: printing help, and running until a signal.
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"

#include <functional>
#include <string>

namespace Parsleytrail::StandIn
{

/// Prints the text and returns true if --help is among the arguments.
bool printHelp(int argc, char **argv, const char *text);
/// Runs a stand-in that listens on one address: parses `address`, calls `listen` with it, prints "listening HOST:PORT" with
/// the bound address and runs until SIGTERM or SIGINT. Returns the exit status.
int runListening(EventLoop &loop, const std::string &address, const std::function<Result<Address>(const Address &)> &listen);
/// Runs the loop until SIGTERM or SIGINT.
void runUntilSignal(EventLoop &loop);

} // namespace Parsleytrail::StandIn
