// A lease that one entry holds at a time, kept in a row of the platform's store. The holder performs the task that the lease is
// named after.
//
// The row holds the holder's id and the time at which the lease expires, on the store's monotonic clock. An entry that finds it
// expired acquires it with a write that is conditional on the unchanged row. The holder stops acting a margin before the expiry
// on its own clock, so that a holder that was paused or cut off has stopped before another can begin.
#pragma once

#include "http/client.h"
#include "relay/context.h"

#include <functional>
#include <memory>
#include <string>

namespace Parsleytrail
{

/// Acquires, renews and releases one lease.
class LeaseManager
{
public:
    struct Handlers {
        std::function<bool()> shouldSeek;                      ///< whether this entry should read the lease and acquire it if it has expired
        std::function<void(const std::string &)> onHolderHost; ///< called with the host of another entry that holds the lease, as read from the store
    };

    LeaseManager(RelayContext &context, HttpClient &client, const Address &store, std::string name, Handlers handlers);
    ~LeaseManager();
    void start();
    /// Whether this entry holds the lease now and may act.
    bool isHeld() const;
    /// Whether this entry held the lease at the store's last response. Stays true after the lease has expired.
    bool wasHeldAtLastResponse() const;
    /// Releases the lease, so that another entry need not wait until it expires. This entry does not acquire it again.
    void release();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
