// stand-in-application: the booking application's stand-in as a process.
#include "stand-ins/application.h"
#include "stand-ins/process.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "host:port");

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-application: bookings and echoes, for tests.

Usage: stand-in-application [--listen=HOST:PORT]

Prints "listening HOST:PORT". stand-ins/application.h describes its interface and the faults it can be told to have.
)";

int main(int argc, char **argv)
{
    if (StandIn::printHelp(argc, argv, helpText)) {
        return 0;
    }
    absl::ParseCommandLine(argc, argv);
    EventLoop loop;
    StandIn::Application application(loop);
    return StandIn::runListening(loop, absl::GetFlag(FLAGS_listen), [&application](const Address &address) {
        return application.listen(address);
    });
}
