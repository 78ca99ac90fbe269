// State shared by the components of a sidecar. Internal to src/sidecar.
#pragma once

#include "base/history.h"
#include "base/metrics.h"
#include "generated/settings.h"
#include "http/client.h"
#include "policy/configuration.h"
#include "wire/link.h"
#include "wire/memory_guard.h"

namespace Parsleytrail
{

/// Shared by the components of one sidecar, and outlives them.
struct SidecarContext {
    EventLoop &loop;                 ///< event loop of the process
    const Clock &clock;              ///< source of the current time
    const SidecarSettings &settings; ///< read once at the start
    Incarnation incarnation;         ///< identifies this run of the process
    Address targetAddress;           ///< address of the engine or application beside this sidecar
    HttpClient &client;              ///< HTTP client for requests to the target
    LinkPool &peers;                 ///< links to other sidecars
    Metrics &metrics;                ///< metrics of the process
    MemoryGuard &memoryGuard;        ///< account of what calls make this process hold
    History &history;                ///< event history that tests check
    bool isDraining = false;         ///< no new streams or calls are accepted
};

} // namespace Parsleytrail
