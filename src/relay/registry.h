// Keeps the configuration and the list of targets up to date from the platform's store, or from peers during its outage.
#pragma once

#include "generated/messages.h"
#include "policy/load_exchange.h"
#include "relay/context.h"
#include "relay/table_watcher.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// Updates RelayContext::routes and RelayContext::fleet.
class Registry
{
public:
    struct Handlers {
        std::function<void()> onRoutes;  ///< a new configuration is in force, or the configuration table was read
        std::function<void()> onTargets; ///< a target was added, removed or changed, or the target table was read
    };

    Registry(RelayContext &context, HttpClient &client, const Address &store, Handlers handlers);
    ~Registry();
    /// Begins to read the tables. At the first start of the whole system it first waits for an entry to copy them from.
    void start();
    /// Fills in the fields of `state` about the store and the tables, for reports to other entries.
    void describe(EntryState &state) const;
    /// Applies the state of the other entries. While another one is the source of the tables, this entry copies rows from it and does
    /// not query the store. While this entry can't reach the store, it copies newer rows from any entry that has them.
    void applyPeerState(const PeersView &others);
    /// Encoded TableCopy for a peer's encoded TableWanted; empty if that is malformed or names an unknown table.
    std::string copyTable(std::string_view wantedBytes, bool isCompressed) const;
    /// Whether live targets may be missing: their rows expire during an outage of the store, the store recovered less than 2.3 s
    /// ago, and this entry had not read the complete list before the outage.
    bool mayListBeIncomplete() const;
    /// Whether the store is unreachable, and when it last became so.
    bool isStoreLost() const;
    TimePoint storeLostAt() const;
    /// Whether this entry queries the store, also by a watch from before it found another one to copy from.
    bool isQueryingStore() const;
    /// Whether this entry's own calls to the store failed repeatedly.
    bool isStorePathLost() const;
    /// Whether a configuration is in force and the target table was read.
    bool isComplete() const;
    /// When the store is known to have held nothing newer than this entry's tables; zero: never.
    TimePoint tablesProvenAt() const;
    /// Whether the configuration is younger than the time within which a change must be in force. Only then may an unknown route or key be
    /// answered as an error of the caller.
    bool isConfigurationFresh() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
