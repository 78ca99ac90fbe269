// stand-in-target-host: the engines and plain targets of one data centre in one program, registered in the table store.
#include "base/text.h"
#include "http/client.h"
#include "stand-ins/chain_engines.h"
#include "stand-ins/process.h"
#include "stand-ins/raw_target.h"
#include "stand-ins/registry_entry.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/escaping.h>

#include <csignal>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, store, "", "host:port of the table store");
ABSL_FLAG(std::string, data_center, "dc-1", "data centre of all targets");
ABSL_FLAG(std::vector<std::string>, engines, {}, "engines as ID=HOST:PORT, separated by commas; HOST:PORT is the address to register");
ABSL_FLAG(std::vector<std::string>, targets, {}, "plain targets of the service \"shop\", in the same form");
ABSL_FLAG(uint64_t, born, 1000, "start time of the targets to register, in Unix milliseconds");
ABSL_FLAG(uint32_t, work_ms, 20, "time that a plain target takes for a request, in milliseconds");

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-target-host: engines and plain targets of one data centre, for soak tests.

Usage: stand-in-target-host --store=HOST:PORT [--data_center=NAME] [--engines=ID=HOST:PORT,...] [--targets=ID=HOST:PORT,...]
                            [--born=MS] [--work_ms=N]

Prints "listening ID HOST:PORT" for each target: the address at which it really listens. Whoever starts the program
forwards the registered address to it. Prints "ran ATTEMPT TARGET" for each request that a plain target receives.
On SIGTERM the targets are registered as draining, serve for another second, and are removed from the registry.
)";

/// Interval between two registry writes; also the timeout of each.
constexpr milliseconds heartbeatInterval{300};
/// Time that draining targets still serve before they are removed from the registry.
constexpr milliseconds drainTime{1000};

/// All targets of the process and its connection to the registry.
struct TargetHost {
    EventLoop loop;
    HttpClient client{loop};
    StandIn::ChainEngines engines{loop, {.layers = 8, .events = 20, .eventInterval = milliseconds(20), .loadTime = milliseconds(50)}};
    std::map<std::string, std::unique_ptr<StandIn::RawTarget>> targets;
    std::vector<RegisteredTarget> registered; ///< all targets, with the addresses to register
    Address store;                            ///< address of the table store that holds the registry
    int heartbeats = 0;
    bool isDraining = false;
};

static StandIn::RawReply runRequest(const std::string &target, const StandIn::RawRequest &request)
{
    std::cout << "ran " << request.field("X-Attempt-Id") << " " << target << std::endl;
    StandIn::RawReply reply;
    reply.bytes = StandIn::sealedAnswer(request, "done " + request.field("X-Attempt-Id") + " " + request.body);
    reply.delay = milliseconds(absl::GetFlag(FLAGS_work_ms));
    return reply;
}

/// Writes the registry rows of all targets, or removes them and stops the loop.
static void writeRows(TargetHost &host, bool isRemoval)
{
    ++host.heartbeats;
    nlohmann::json puts = nlohmann::json::array();
    nlohmann::json removals = nlohmann::json::array();
    for (RegisteredTarget &target : host.registered) {
        nlohmann::json row = {{"table", "servers"}, {"part", ""}, {"key", target.id.value}};
        if (isRemoval) {
            removals.push_back(row);
            continue;
        }
        target.isDraining = host.isDraining;
        target.layers = target.accelerator.empty() ? LayerRange() : host.engines.layers(target.id.value);
        row["value"] = absl::Base64Escape(StandIn::registryEntry(target, host.heartbeats));
        puts.push_back(row);
    }
    HttpClientRequest request;
    request.method = "POST";
    request.path = "/rows-tx";
    request.body = nlohmann::json{{"expectedRevision", nlohmann::json::array()}, {"puts", puts}, {"remove", removals}}.dump();
    request.timeout = heartbeatInterval;
    host.client.fetch(host.store, std::move(request), [&host, isRemoval](const HttpResult &result) {
        if (!result.isOk()) {
            std::cerr << "registry: " << (result.failure ? result.failure->error.toString() : std::to_string(result.status)) << '\n';
        }
        if (isRemoval) {
            host.loop.stop();
        }
    });
}

static Result<RegisteredTarget> parseTarget(const std::string &text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
        return fail("read --engines or --targets", text, "expected ID=HOST:PORT");
    }
    RegisteredTarget target;
    target.id = {text.substr(0, equals)};
    BOOST_LEAF_ASSIGN(target.address, parseAddress(text.substr(equals + 1)));
    target.dataCenter = absl::GetFlag(FLAGS_data_center);
    target.startedAtMs = absl::GetFlag(FLAGS_born);
    return target;
}

static Result<void> startTargets(TargetHost &host)
{
    BOOST_LEAF_ASSIGN(host.store, parseAddress(absl::GetFlag(FLAGS_store)));
    for (const std::string &text : absl::GetFlag(FLAGS_engines)) {
        BOOST_LEAF_AUTO(target, parseTarget(text));
        target.service = {"chat"};
        target.accelerator = "small";
        target.slots = 192;
        std::cout << "listening " << target.id.value << " " << host.engines.add(target.id.value, target.address).toString() << std::endl;
        host.registered.push_back(target);
    }
    for (const std::string &text : absl::GetFlag(FLAGS_targets)) {
        BOOST_LEAF_AUTO(target, parseTarget(text));
        target.service = {"shop"};
        target.slots = 6;
        const std::string id = target.id.value;
        host.targets[id] = std::make_unique<StandIn::RawTarget>(host.loop, [id](const StandIn::RawRequest &request) {
            return runRequest(id, request);
        });
        std::cout << "listening " << id << " " << host.targets[id]->address().toString() << std::endl;
        host.registered.push_back(target);
    }
    return {};
}

int main(int argc, char **argv)
{
    if (StandIn::printHelp(argc, argv, helpText)) {
        return 0;
    }
    absl::ParseCommandLine(argc, argv);
    TargetHost host;
    Error error;
    const auto start = [&host] {
        return startTargets(host);
    };
    if (!runCatching(start, error)) {
        std::cerr << error.toString() << '\n';
        return 1;
    }
    Timer heartbeatTimer(host.loop, [&host] {
        writeRows(host, false);
    });
    Timer removalTimer(host.loop, [&host, &heartbeatTimer] {
        heartbeatTimer.stop();
        writeRows(host, true);
    });
    host.loop.onSignal(SIGTERM, [&host, &removalTimer] {
        host.isDraining = true;
        writeRows(host, false);
        removalTimer.start(drainTime);
    });
    writeRows(host, false);
    heartbeatTimer.startRepeating(heartbeatInterval);
    host.loop.run();
    return 0;
}
