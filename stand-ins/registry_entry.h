// Rows of the platform's target registry, as targets write them; for stand-ins and tests.
#pragma once

#include "policy/fleet.h"

#include <nlohmann/json.hpp>

namespace Parsleytrail::StandIn
{

/// The JSON value of a target's registry row; `heartbeats` is the number of times it has been written.
inline std::string registryEntry(const RegisteredTarget &target, int heartbeats)
{
    nlohmann::json entry = {{"service", target.service.value},
                            {"address", target.address.toString()},
                            {"zone", target.dataCenter},
                            {"version", "v1"},
                            {"batchSlots", target.slots},
                            {"state", target.isDraining ? "draining" : "ready"},
                            {"coldLeftMs", 0},
                            {"seqNo", heartbeats},
                            {"born", target.startedAtMs}};
    if (!target.accelerator.empty()) {
        entry["kind"] = target.accelerator;
        entry["layers"] = {{"from", target.layers.from}, {"to", target.layers.to}, {"version", 1}};
    }
    return entry.dump();
}

} // namespace Parsleytrail::StandIn
