// stand-in-platform: the platform's stand-in as a process.
#include "stand-ins/platform.h"
#include "stand-ins/process.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

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
    Error error;
    const auto start = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(wanted, parseAddress(absl::GetFlag(FLAGS_listen)));
        BOOST_LEAF_AUTO(taken, platform.listen(wanted));
        std::cout << "listening " << taken.toString() << std::endl;
        return {};
    };
    if (!runCatching(start, error)) {
        std::cerr << error.toString() << '\n';
        return 1;
    }
    StandIn::runUntilSignal(loop);
    return 0;
}
