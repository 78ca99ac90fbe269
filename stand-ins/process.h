// What the stand-ins' programs share: help, and running until a signal.
#pragma once

#include "wire/event_loop.h"

namespace Parsleytrail::StandIn
{

/// Prints the text and returns true if --help is among the arguments.
bool printHelp(int argc, char **argv, const char *text);
/// Runs the loop until SIGTERM or SIGINT.
void runUntilSignal(EventLoop &loop);

} // namespace Parsleytrail::StandIn
