#include "stand-ins/listening_program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "host:port");

namespace Parsleytrail::StandIn
{

std::string parseListenAddress(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return absl::GetFlag(FLAGS_listen);
}

} // namespace Parsleytrail::StandIn
