// Exchanges state with the other relays over UDP: liveness, load per target, and the newest change of the store's tables that each
// has received.
//
// The protocol is in policy/load_exchange.h; this class sends and receives its messages. No relay waits for another. A relay that
// reaches no other uses only its own observations.
#pragma once

#include "policy/load_exchange.h"
#include "relay/context.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// State of the other relays.
class RelayPeers
{
public:
    struct Handlers {
        std::function<void(EntryState &)> describe;                           ///< fills in all of this entry's state except the loads
        std::function<void(const PeersView &)> onOthers;                      ///< called when the state of the others may have changed
        std::function<std::vector<CrashNotice>()> crashNotices;               ///< what to tell an entry that is sent a message
        std::function<void(const std::vector<CrashNotice> &)> onCrashNotices; ///< called with what another entry tells
    };

    RelayPeers(RelayContext &context, Handlers handlers);
    ~RelayPeers();
    /// Binds the socket and starts to send reports. Fails with the step "bind datagrams".
    Result<void> start();
    /// Combined state of all other relays, as last received.
    const PeersView &others() const;
    /// Adds the host of another relay that was found by other means.
    void recordHost(const std::string &host);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
