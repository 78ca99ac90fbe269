// stand-in-table-store: the table store of the users' platform as a process.
#include "stand-ins/listening_program.h"
#include "stand-ins/table_store.h"

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-table-store: tables of versioned rows, transactions and watches, for tests.

Usage: stand-in-table-store [--listen=HOST:PORT]

Prints "listening HOST:PORT". stand-ins/table_store.h describes its interface.
)";

int main(int argc, char **argv)
{
    return StandIn::runListeningProgram<StandIn::TableStore>(argc, argv, helpText);
}
