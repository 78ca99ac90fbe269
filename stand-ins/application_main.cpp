// stand-in-application: the stand-in for the booking application as a program.
#include "stand-ins/application.h"
#include "stand-ins/listening_program.h"

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-application: a booking application for tests.

Usage: stand-in-application [--listen=HOST:PORT]

Prints "listening HOST:PORT". stand-ins/application.h describes its HTTP interface and the faults that can be injected.
)";

int main(int argc, char **argv)
{
    return StandIn::runListeningProgram<StandIn::Application>(argc, argv, helpText);
}
