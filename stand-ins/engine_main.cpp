// stand-in-engine: one or more model engines as a program.
#include "base/text.h"
#include "stand-ins/engine.h"
#include "stand-ins/process.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::vector<std::string>, engines, {}, "ID=HOST:PORT:BEGIN-END, separated by commas");
ABSL_FLAG(std::string, model, "assistant", "model loaded");
ABSL_FLAG(std::string, model_version, "v1", "version loaded");
ABSL_FLAG(std::vector<std::string>, adapters, {}, "adapters loaded");
ABSL_FLAG(uint32_t, layers, 32, "layers of the model");
ABSL_FLAG(uint32_t, step_micros, 500, "base time of a step, in microseconds");
ABSL_FLAG(double, position_micros, 0.5, "time per position and layer, in microseconds");
ABSL_FLAG(uint32_t, kv_capacity, 1 << 20, "KV cache size, in positions");
ABSL_FLAG(bool, checks_fencing, true, "refuse orders with an old fencing number");

using namespace Parsleytrail;

static constexpr const char *helpText = R"(stand-in-engine: model engines that hold layer ranges, for tests.

Usage: stand-in-engine --engines=ID=HOST:PORT:BEGIN-END[,...] [--model=NAME] [--model_version=V] [--adapters=A,...]
                       [--layers=N] [--step_micros=N] [--position_micros=X] [--kv_capacity=N] [--checks_fencing=true|false]

Prints "listening ID HOST:PORT" for each engine. stand-ins/engine.h describes the HTTP interface and the
faults that can be injected.

Example: stand-in-engine --engines=e1=127.0.0.1:9001:0-10,e2=127.0.0.1:9002:10-22 --layers=32
)";

/// Parses "ID=HOST:PORT:BEGIN-END"; sets id and layers in `options` and returns the address.
static Result<Address> parseEngine(const std::string &text, StandIn::EngineOptions &options)
{
    const std::size_t equals = text.find('=');
    const std::size_t colon = text.rfind(':');
    const std::size_t dash = text.rfind('-');
    const bool hasParts = equals != std::string::npos && colon != std::string::npos && dash != std::string::npos && dash > colon && colon > equals;
    if (!hasParts || !parseNumber(std::string_view(text).substr(colon + 1, dash - colon - 1), options.layerBegin)
        || !parseNumber(std::string_view(text).substr(dash + 1), options.layerEnd) || options.layerBegin >= options.layerEnd) {
        return fail("read --engines", text, "expected ID=HOST:PORT:BEGIN-END");
    }
    options.id = text.substr(0, equals);
    return parseAddress(text.substr(equals + 1, colon - equals - 1));
}

int main(int argc, char **argv)
{
    if (StandIn::printHelp(argc, argv, helpText)) {
        return 0;
    }
    absl::ParseCommandLine(argc, argv);
    EventLoop loop;
    std::vector<std::unique_ptr<StandIn::Engine>> engines;
    Error error;
    const auto start = [&]() -> Result<void> {
        for (const std::string &text : absl::GetFlag(FLAGS_engines)) {
            StandIn::EngineOptions options;
            options.weights = {absl::GetFlag(FLAGS_model), absl::GetFlag(FLAGS_model_version), ""};
            options.adapters = absl::GetFlag(FLAGS_adapters);
            options.modelLayers = absl::GetFlag(FLAGS_layers);
            options.fixedStepTime = microseconds(absl::GetFlag(FLAGS_step_micros));
            options.microsPerPositionLayer = absl::GetFlag(FLAGS_position_micros);
            options.kvCapacity = absl::GetFlag(FLAGS_kv_capacity);
            options.checksFencing = absl::GetFlag(FLAGS_checks_fencing);
            BOOST_LEAF_AUTO(requested, parseEngine(text, options));
            engines.push_back(std::make_unique<StandIn::Engine>(loop, options));
            BOOST_LEAF_AUTO(bound, engines.back()->listen(requested));
            std::cout << "listening " << options.id << " " << bound.toString() << std::endl;
        }
        return {};
    };
    if (!runCatching(start, error)) {
        std::cerr << error.toString() << '\n';
        return 1;
    }
    StandIn::runUntilSignal(loop);
    return 0;
}
