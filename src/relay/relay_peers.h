// What relays tell each other by UDP: that they live, what load they have where, and how new their view of the store is.
//
// No relay waits for another. One that hears of nobody falls back to what it sees itself.
#pragma once

#include "generated/messages.h"
#include "relay/context.h"

#include <functional>
#include <map>
#include <memory>

namespace Parsleytrail
{

/// Another relay.
struct RelayPeer {
    RelayAnnouncement last; ///< newest announcement
    TimePoint heardAt{};    ///< when it came
};

/// The other relays.
class RelayPeers
{
public:
    struct Handlers {
        std::function<void(RelayAnnouncement &)> describe;      ///< fills in what only the relay knows of itself
        std::function<void(const RelayAnnouncement &)> onHeard; ///< after each announcement
    };

    RelayPeers(RelayContext &context, Handlers handlers);
    ~RelayPeers();
    /// Binds and begins to announce. Fails with the step "bind datagrams".
    Result<void> start();
    /// Relays heard of lately, by id.
    const std::map<EntryId, RelayPeer> &live() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
