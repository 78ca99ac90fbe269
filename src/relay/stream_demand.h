// Reads the expected size of a streamed request from its header fields.
#pragma once

#include "http/http_message.h"
#include "policy/chain_selection.h"
#include "relay/platform_adapter.h"

namespace Parsleytrail
{

/// The size that a request states, or the usual one of the model where it states none.
StreamDemand readStreamDemand(const HttpHead &head, const HeaderNames &names, const EngineModel &model);

} // namespace Parsleytrail
