// The other relays, by UDP: that they live, what load they have where, and how new their view of the store is.
//
// The protocol is policy/load_exchange.h; this part sends and receives. No relay waits for another. One that hears of nobody
// falls back to what it sees itself.
#pragma once

#include "policy/load_exchange.h"
#include "relay/context.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// The other relays.
class RelayPeers
{
public:
    struct Handlers {
        std::function<void(EntryState &)> describe;      ///< fills in all but the loads
        std::function<void(const PeersView &)> onOthers; ///< after each news of the others
    };

    RelayPeers(RelayContext &context, Handlers handlers);
    ~RelayPeers();
    /// Binds and begins to report. Fails with the step "bind datagrams".
    Result<void> start();
    /// All others together, as last heard.
    const PeersView &others() const;
    /// The host of another relay was learned elsewhere.
    void noteHost(const std::string &host);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
