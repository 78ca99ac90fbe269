// Entries of the platform's registry as targets write them, for stand-ins and tests.
#pragma once

#include "policy/fleet.h"

#include <nlohmann/json.hpp>

namespace Parsleytrail::StandIn
{

/// The row of a target; `heartbeats` counts its writes.
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
