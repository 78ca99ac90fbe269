// Services and state that the components of one entry share. Internal to src/entry.
#pragma once

#include "base/history.h"
#include "base/metrics.h"
#include "generated/settings.h"
#include "policy/budget.h"
#include "policy/configuration.h"
#include "wire/link.h"
#include "wire/memory_guard.h"

#include <random>

namespace Parsleytrail
{

/// Shared by the components of one entry, which must not outlive it.
struct EntryContext {
    EventLoop &loop;                       ///< event loop of the process
    const Clock &clock;                    ///< time source
    const EntrySettings &settings;         ///< as read at startup
    Incarnation incarnation;               ///< identifies this start of the process
    LinkPool &links;                       ///< links to sidecars and other entries
    Metrics &metrics;                      ///< metrics of the process
    MemoryGuard &memoryGuard;              ///< account of what callers make this process hold
    History &history;                      ///< events from which tests and the bench check the promises of a run
    std::mt19937_64 random;                ///< for random choices among targets
    RetryBudget retryBudget;               ///< limits new attempts of streams and retries of calls to a share of the requests
    bool isDraining = false;               ///< new requests are refused
    TimePoint answerBy = TimePoint::max(); ///< while this process stops: when open requests get a failure
};

} // namespace Parsleytrail
