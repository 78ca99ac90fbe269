// Shares of workspaces in a relay: counts the streams that start here, reports them to the other relays and applies what those
// report; see policy/workspace_shares.h.
//
// The state is RelayContext::workspaces.
#pragma once

#include "policy/load_exchange.h"
#include "relay/context.h"

#include <nlohmann/json.hpp>

namespace Parsleytrail
{

/// Counts a stream that is sent to engines for the first time.
void recordStartedStream(RelayContext &context, const WorkspaceName &workspace, const StreamDemand &demand);
/// Records that a stream of the service was queued or refused for lack of room. Ignored if the service's streams do not
/// differ in priority, as these are not ordered.
void recordLackOfRoom(RelayContext &context, const ServiceSpec &service);
/// The usage to report now. Logs when reports begin and end.
std::vector<WorkspaceUsage> usageToReport(RelayContext &context);
/// Applies what the other relays report. Counts and logs ignored values.
void applyPeerUsage(RelayContext &context, const PeersView &others);
/// Whether this relay reports, and own and others' tokens of each workspace known by name, for the state dump. `unnamed` sums up the
/// workspaces that only other relays can name.
nlohmann::json dumpWorkspaces(const RelayContext &context, TimePoint now);

} // namespace Parsleytrail
