// What operators may ask of an entry: apply and read the configuration, its history, and what is in force where.
#pragma once

#include "entry/configuration_manager.h"
#include "entry/peers.h"
#include "entry/targets.h"
#include "entry/usage_recorder.h"
#include "http/operator_server.h"

#include <nlohmann/json_fwd.hpp>

namespace Parsleytrail
{

/// Adds the paths of the configuration to an entry's operator server.
void addConfigurationPaths(OperatorServer &server, ConfigurationManager &configurationManager);

/// Adds the report of the served work.
void addReportPath(OperatorServer &server, UsageRecorder &usageRecorder, const ConfigurationManager &configurationManager);

/// Entries and targets with their versions, those that lag behind, and which ranges of each model are held.
nlohmann::json describeSystem(const EntryContext &context, const ConfigurationManager &configurationManager, const Peers &peers, const Targets &targets);

} // namespace Parsleytrail
