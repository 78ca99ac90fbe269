// stand-in-platform: the platform's stand-in as a process.
#include "stand-ins/listening_program.h"
#include "stand-ins/platform.h"

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-platform: tables, objects, membership list and weights, for tests.

Usage: stand-in-platform [--listen=HOST:PORT]

Prints "listening HOST:PORT". stand-ins/platform.h describes its interface and the faults it can be told to have.
)";

int main(int argc, char **argv)
{
    return StandIn::runListeningProgram<StandIn::Platform>(argc, argv, helpText);
}
