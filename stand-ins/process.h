// What the stand-ins' programs share: help, and running until a signal.
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"

#include <functional>
#include <string>

namespace Parsleytrail::StandIn
{

/// Prints the text and returns true if --help is among the arguments.
bool printHelp(int argc, char **argv, const char *text);
/// Runs a stand-in that listens on one address: reads it, calls `listen`, prints "listening HOST:PORT" and runs until a
/// signal. Returns the exit status.
int runListening(EventLoop &loop, const std::string &address, const std::function<Result<Address>(const Address &)> &listen);
/// Runs the loop until SIGTERM or SIGINT.
void runUntilSignal(EventLoop &loop);

} // namespace Parsleytrail::StandIn
