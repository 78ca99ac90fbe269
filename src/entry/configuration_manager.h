// The configuration at an entry: accepts files, holds the version in force, and distributes it to peers and sidecars.
//
// The single source of truth is a row of the table service, written by compare-and-set. It names content-addressed objects: a
// snapshot and the changes since. Entries send changes to each other and to their sidecars; each entry also polls the row, so
// that a process that missed a change still gets it. A version older than the one in force is never applied.
#pragma once

#include "entry/context.h"
#include "store/store.h"

#include <functional>

namespace Parsleytrail
{

/// Outcome of applying an operator's file.
enum class ApplyOutcome {
    Accepted,    ///< in force at this entry and being distributed
    Unchanged,   ///< the file equals the configuration in force
    DryRun,      ///< the file would be accepted
    Invalid,     ///< the file has errors
    Conflict,    ///< the version in force is not the one the operator named, or another file was accepted first
    Unavailable, ///< the store is unavailable: not accepted
    Unknown      ///< the store's responses were lost: the file may have been accepted
};

/// Result of applying an operator's file.
struct ApplyResult {
    ApplyOutcome outcome = ApplyOutcome::Unavailable; ///< whether the file was accepted, or why not
    ConfigurationVersion version;                     ///< the accepted version, or the one in force if the file was not accepted
    std::vector<IniProblem> problems;                 ///< errors of the file, for Invalid
    std::vector<SectionDifference> differences;       ///< sections that the file changes
};

/// An accepted version in the configuration history.
struct HistoryEntry {
    ConfigurationVersion version;     ///< number of the version
    std::string digest;               ///< digest of the configuration
    std::string entry;                ///< entry that accepted it
    std::string time;                 ///< UTC, RFC 3339
    std::vector<std::string> changes; ///< "+section", "-section", "~section"
};

/// Manages the configuration of this entry.
class ConfigurationManager
{
public:
    ConfigurationManager(EntryContext &context, Store &store);
    ~ConfigurationManager();

    /// The configuration in force; version 0 until one has been received or read.
    const Configuration &inForce() const;
    /// Called after each change of the configuration in force.
    void onChanged(std::function<void()> handler);

    void apply(const std::string &text, std::optional<ConfigurationVersion> ifMatch, bool isDryRun, std::function<void(const ApplyResult &)> done);
    /// Reads the accepted versions, newest first, at most `limit`.
    void history(int limit, std::function<void(StoreStatus, const std::vector<HistoryEntry> &)> done);

    /// Reads the current row and, if it is newer than the version in force, the objects it names.
    void poll();
    /// Applies an update from a peer.
    void handleUpdate(const LinkPtr &link, const ConfigurationUpdate &update);
    /// Sends the changes since version `known`, or a snapshot; nothing if `known` is not older than the version in force.
    void sendTo(const LinkPtr &link, ConfigurationVersion known, SectionScope scope);

    /// Whether the configuration in force can be taken as current: this process has read the row since its start, or it has at
    /// least the newest version that a ready peer announced (which works while the store is unavailable).
    bool isTrusted() const;
    /// Bytes of section texts sent to peers and sidecars.
    std::uint64_t bytesSent() const;
    /// A ready peer announced that it has this version in force.
    void recordPeerVersion(ConfigurationVersion version);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
