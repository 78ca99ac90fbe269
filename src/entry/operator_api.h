// What operators may ask of an entry: apply and read the configuration, its history, and what is in force where.
#pragma once

#include "entry/configuration_keeper.h"
#include "entry/peers.h"
#include "entry/targets.h"
#include "entry/work_keeper.h"
#include "http/operator_server.h"

#include <nlohmann/json_fwd.hpp>

namespace Parsleytrail
{

/// Adds the paths of the configuration to an entry's operator server.
void addConfigurationPaths(OperatorServer &server, ConfigurationKeeper &keeper);

/// Adds the report of the served work.
void addReportPath(OperatorServer &server, WorkKeeper &work, const ConfigurationKeeper &keeper);

/// Entries and targets with their versions, those that lag behind, and which ranges of each model are held.
nlohmann::json describeSystem(const EntryContext &context, const ConfigurationKeeper &keeper, const Peers &peers, const Targets &targets);

} // namespace Parsleytrail
