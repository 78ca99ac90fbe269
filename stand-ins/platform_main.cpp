// stand-in-platform: the platform's stand-in as a process.
#include "stand-ins/platform.h"
#include "stand-ins/process.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "host:port");

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-platform: tables, objects, membership list and weights, for tests.

Usage: stand-in-platform [--listen=HOST:PORT]

Prints "listening HOST:PORT". stand-ins/platform.h describes its interface and the faults it can be told to have.
)";

int main(int argc, char **argv)
{
    if (StandIn::printHelp(argc, argv, helpText)) {
        return 0;
    }
    absl::ParseCommandLine(argc, argv);
    EventLoop loop;
    StandIn::Platform platform(loop);
    return StandIn::runListening(loop, absl::GetFlag(FLAGS_listen), [&platform](const Address &address) {
        return platform.listen(address);
    });
}
