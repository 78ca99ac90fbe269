// stand-in-table-store: the stand-in for the platform's table store as a program.
#include "stand-ins/listening_program.h"
#include "stand-ins/table_store.h"

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-table-store: tables of versioned rows, transactions and watches, for tests.

Usage: stand-in-table-store [--listen=HOST:PORT]

Prints "listening HOST:PORT". stand-ins/table_store.h describes its HTTP interface.
)";

int main(int argc, char **argv)
{
    return StandIn::runListeningProgram<StandIn::TableStore>(argc, argv, helpText);
}
