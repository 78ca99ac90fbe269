// stand-in-application: the booking application's stand-in as a process.
#include "stand-ins/application.h"
#include "stand-ins/listening_program.h"

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-application: bookings and echoes, for tests.

Usage: stand-in-application [--listen=HOST:PORT]

Prints "listening HOST:PORT". stand-ins/application.h describes its interface and the faults it can be told to have.
)";

int main(int argc, char **argv)
{
    return StandIn::runListeningProgram<StandIn::Application>(argc, argv, helpText);
}
