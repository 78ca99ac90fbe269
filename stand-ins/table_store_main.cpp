// stand-in-table-store: the table store of the users' platform as a process.
#include "stand-ins/process.h"
#include "stand-ins/table_store.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "host:port");

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-table-store: tables of versioned rows, transactions and watches, for tests.

Usage: stand-in-table-store [--listen=HOST:PORT]

Prints "listening HOST:PORT". stand-ins/table_store.h describes its interface.
)";

int main(int argc, char **argv)
{
    if (StandIn::printHelp(argc, argv, helpText)) {
        return 0;
    }
    absl::ParseCommandLine(argc, argv);
    EventLoop loop;
    StandIn::TableStore store(loop);
    return StandIn::runListening(loop, absl::GetFlag(FLAGS_listen), [&store](const Address &address) {
        return store.listen(address);
    });
}
