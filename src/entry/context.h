// What the parts of an entry share. Internal to src/entry.
#pragma once

#include "base/history.h"
#include "base/metrics.h"
#include "generated/settings.h"
#include "policy/budget.h"
#include "policy/configuration.h"
#include "wire/link.h"

#include <random>

namespace Parsleytrail
{

/// Shared by the parts of one entry; they live no longer than it.
struct EntryContext {
    EventLoop &loop;               ///< the process's loop
    const Clock &clock;            ///< time
    const EntrySettings &settings; ///< as read at the start
    Incarnation incarnation;       ///< this start
    LinkPool &links;               ///< links to sidecars and other entries
    Metrics &metrics;              ///< counters of the process
    History &history;              ///< events for tests
    std::mt19937_64 random;        ///< for choices between equals
    RetryBudget retryBudget;       ///< new attempts allowed
    bool isDraining = false;       ///< no new requests are taken
};

} // namespace Parsleytrail
