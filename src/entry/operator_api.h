// The entry's paths for operators: apply and read the configuration, its history, the report of the served work, and the status.
#pragma once

#include "entry/configuration_manager.h"
#include "entry/peers.h"
#include "entry/targets.h"
#include "entry/usage_recorder.h"
#include "http/operator_server.h"

#include <nlohmann/json_fwd.hpp>

namespace Parsleytrail
{

/// Adds /configuration and /configuration/history to an entry's operator server.
void addConfigurationPaths(OperatorServer &server, ConfigurationManager &configurationManager);

/// Adds /report, the report of the served work.
void addReportPath(OperatorServer &server, UsageRecorder &usageRecorder, const ConfigurationManager &configurationManager);

/// Describes entries and targets with their configuration versions, those with an older version than this entry's, and the
/// number of usable engines for each layer range of a model.
nlohmann::json describeSystem(const EntryContext &context, const ConfigurationManager &configurationManager, const Peers &peers, const Targets &targets);

} // namespace Parsleytrail
