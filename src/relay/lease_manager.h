// A duty that one entry holds at a time, as a lease in a row of the platform's store.
//
// The row holds the holder's id and the time of its end on the store's monotonic clock. Whoever finds it ended takes it,
// on the condition that the row has not changed. The holder stops at its own clock's end less a margin, so that one that
// was paused or cut off has stopped before another may begin.
#pragma once

#include "http/client.h"
#include "relay/context.h"

#include <functional>
#include <memory>
#include <string>

namespace Parsleytrail
{

/// One duty.
class LeaseManager
{
public:
    struct Handlers {
        std::function<bool()> isHeldElsewhere;                 ///< another entry says that it holds the lease: then the store is not asked
        std::function<void(const std::string &)> onHolderHost; ///< the host of another that holds the lease, as the store tells it
    };

    LeaseManager(RelayContext &context, HttpClient &client, const Address &store, std::string name, Handlers handlers);
    ~LeaseManager();
    void start();
    /// Whether this entry may act now.
    bool isHeld() const;
    /// Whether the lease was this entry's when the store last answered it. True also after its end.
    bool wasHeldAtLastResponse() const;
    /// Gives the lease up, so that another need not wait for its end.
    void release();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
