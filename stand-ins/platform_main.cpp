// stand-in-platform: the stand-in for the platform as a program.
#include "stand-ins/listening_program.h"
#include "stand-ins/platform.h"

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-platform: tables, objects, membership list and weights, for tests.

Usage: stand-in-platform [--listen=HOST:PORT]

Prints "listening HOST:PORT". stand-ins/platform.h describes its HTTP interface and the faults that can be injected.
)";

int main(int argc, char **argv)
{
    return StandIn::runListeningProgram<StandIn::Platform>(argc, argv, helpText);
}
