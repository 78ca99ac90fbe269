// Keeps the configuration and the fleet up to date from the platform's store.
#pragma once

#include "generated/messages.h"
#include "policy/load_exchange.h"
#include "relay/context.h"
#include "relay/table_feed.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// Feeds RelayContext::routes and RelayContext::fleet.
class Registry
{
public:
    struct Handlers {
        std::function<void()> onRoutes;  ///< another configuration is in force
        std::function<void()> onTargets; ///< a target came, went or changed
    };

    Registry(RelayContext &context, HttpClient &client, const Address &store, Handlers handlers);
    ~Registry();
    void start();
    /// Fills in what others may want to know of this view.
    void describe(EntryState &state) const;
    /// Learns from the others. While the aggregator follows the tables this entry does not, and fetches changes from it; while
    /// the store does not answer this entry, it fetches newer rows from whoever has them.
    void noteOthers(const PeersView &others);
    /// Answers a peer's TableWanted with a TableCopy; empty if it is malformed or asks for another table.
    std::string copyTable(std::string_view wantedBytes) const;
    /// Whether targets that live may be missing: the store came back a moment ago, entries lapse while it is away, and this
    /// entry had not read them before.
    bool mayListBeShort() const;
    /// Whether the store does not answer, and since when.
    bool isStoreLost() const;
    TimePoint storeLostAt() const;
    /// Whether configuration and targets are known.
    bool isComplete() const;
    /// Whether the store confirmed the configuration a short time ago: only then may a route or key be called unknown.
    bool isConfigurationFresh() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
