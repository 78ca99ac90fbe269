// A table of the platform's store: read completely once, then watched for changes.
//
// The newest known rows stay valid while the store is unreachable. When the store no longer has the history that a watch needs, the
// table is read again, and rows that are missing then are reported as removed.
#pragma once

#include "generated/messages.h"
#include "http/client.h"
#include "policy/table_source.h"
#include "relay/context.h"
#include "store/rows.h"

#include <functional>
#include <memory>
#include <string>

namespace Parsleytrail
{

/// Whether a peer's copy can be applied by a watcher that has all changes up to `lastChange`: it must be newer, and complete or
/// start at `lastChange` or before. Otherwise the changes in between would be missing for good.
bool canApplyCopy(const TableCopy &copy, std::uint64_t lastChange);

/// Watches one table.
class TableWatcher
{
public:
    struct Handlers {
        std::function<void(const Row &)> onRow;                 ///< a row was added or changed
        std::function<void(const std::string &)> onRemoved;     ///< key of a removed row
        std::function<void()> onRead;                           ///< the table was read completely
        std::function<void(bool isReachable)> onStoreReachable; ///< the store was lost or has recovered
    };

    /// A watch without changes is answered after `wait`. A store that fails is called again within `longestRetry`.
    TableWatcher(RelayContext &context, HttpClient &client, const Address &store, std::string table, milliseconds wait, milliseconds longestRetry,
                 Handlers handlers);
    ~TableWatcher();
    /// Reads the table, or first waits up to `copyWait` for a peer's copy of it.
    void start(milliseconds copyWait);
    /// Whether the table was read completely since the start, or copied from a peer.
    bool isRead() const;
    /// When the store last answered with all changes up to then; zero: never.
    TimePoint provenAt() const;
    /// When calls to the store last began after a time of copying, and when the last answer arrived.
    const StoreContact &contact() const;
    /// Whether the store is unreachable.
    bool isStoreLost() const;
    /// Newest change that was received, as a revision of the store.
    std::uint64_t lastChange() const;
    /// Whether this process watches the table itself, not through a peer.
    bool isWatching() const;
    /// Whether a call to the store is open or due. False while the table is copied from another relay instead.
    bool isQuerying() const;
    /// Rows changed after a revision, for a peer; all rows if it is 0 or older than the first read of this watcher.
    TableCopy copyRows(std::uint64_t after) const;
    /// Applies a peer's rows if canApplyCopy().
    void applyCopy(const TableCopy &copy);
    /// A peer watches the table: this watcher does not for 700 to 1100 ms, unless the store fails.
    void followPeer();
    /// Queries the store once, if this watcher is waiting for a peer.
    void queryNow();
    /// There is no peer, or it is unusable: this watcher reads or watches the table itself.
    void stopFollowingPeer();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
