// What the fleet shows about the engines behind the first one of a running stream's chain. The first one has the connection of the
// stream, which shows its failures by itself.
//
// Pure: the caller passes the time in.
#pragma once

#include "policy/chain_selection.h"

namespace Parsleytrail
{

/// Whether an engine was removed or does not respond. Until the stream is moved to others that hold its layers its caller gets no
/// events.
bool hasFailedStage(const Fleet &fleet, const std::vector<ChainStage> &chain, TimePoint now);
/// The first such stage; null if there is none.
const ChainStage *findFailedStage(const Fleet &fleet, const std::vector<ChainStage> &chain, TimePoint now);
/// Whether an engine releases the layers of its stage. It loads others only after the streams in them have left.
bool hasReleasedStage(const Fleet &fleet, const std::vector<ChainStage> &chain);
/// Whether an engine drains. Some are only removed from the registry and continue to serve for as long.
bool hasDrainingStage(const Fleet &fleet, const std::vector<ChainStage> &chain);

} // namespace Parsleytrail
