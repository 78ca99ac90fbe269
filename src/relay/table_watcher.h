// A table of the platform's store, read whole and then followed.
//
// The newest rows known stay good while the store is away. When the store no longer has the history of a watch the table
// is read anew, and rows that are missing then are reported as removed.
#pragma once

#include "generated/messages.h"
#include "http/client.h"
#include "relay/context.h"
#include "store/rows.h"

#include <functional>
#include <memory>
#include <string>

namespace Parsleytrail
{

/// Whether a peer's copy brings a feed that knows all changes up to `lastChange` further. Changes since a later one would leave a
/// hole that nothing fills.
bool canApplyCopy(const TableCopy &copy, std::uint64_t lastChange);

/// Follows one table.
class TableWatcher
{
public:
    struct Handlers {
        std::function<void(const Row &)> onRow;                 ///< new or changed
        std::function<void(const std::string &)> onRemoved;     ///< key of a removed row
        std::function<void()> onRead;                           ///< a whole reading of the table is done
        std::function<void(bool isReachable)> onStoreReachable; ///< the store was lost or is back
    };

    TableWatcher(RelayContext &context, HttpClient &client, const Address &store, std::string table, Handlers handlers);
    ~TableWatcher();
    void start();
    /// Whether the table was read since the start.
    bool isRead() const;
    /// When the store last answered, or a peer that it answers lately told that nothing newer is known.
    TimePoint confirmedAt() const;
    /// Whether the store does not answer.
    bool isStoreLost() const;
    /// Newest change that is known.
    std::uint64_t lastChange() const;
    /// Whether this feed watches the table itself.
    bool isWatching() const;
    /// Rows changed after a change, for a peer; all of them if the change is 0 or before this feed's first reading.
    TableCopy copyRows(std::uint64_t after) const;
    /// Takes a peer's rows if they are newer.
    void applyCopy(const TableCopy &copy);
    /// A peer follows the table: for a moment this feed need not watch.
    void followPeer();
    /// Asks the store once, if this feed does not watch.
    void queryNow();
    /// The peer is of no use: this feed watches again.
    void stopFollowingPeer();
    /// A peer that the store answers knows nothing newer than `change`.
    void recordConfirmation(std::uint64_t change);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
