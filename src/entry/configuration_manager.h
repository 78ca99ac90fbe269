// The configuration at an entry: accepting files, the version in force, and seeing to it that peers and sidecars have it.
//
// The one authority is a row of the table service, written by compare-and-set. It names content-addressed objects: a
// snapshot and the changes since. Entries hand changes to each other and to their sidecars; the row is read now and
// then, so that a process that missed a change still finds it. Nothing older than what is in force is ever taken.
#pragma once

#include "entry/context.h"
#include "store/store.h"

#include <functional>

namespace Parsleytrail
{

/// How an operator's file ended.
enum class ApplyOutcome {
    Accepted,    ///< in force here, on its way to the others
    Unchanged,   ///< the file equals what is in force
    DryRun,      ///< it would be accepted
    Invalid,     ///< it has problems
    Conflict,    ///< another version is in force than the one the operator named, or another file came first
    Unavailable, ///< the store is away: not accepted
    Unknown      ///< the store's answers were lost: it may be accepted yet
};

/// Result of an operator's file.
struct ApplyResult {
    ApplyOutcome outcome = ApplyOutcome::Unavailable; ///< how it ended
    ConfigurationVersion version;                     ///< accepted, or in force for the others
    std::vector<IniProblem> problems;                 ///< for Invalid
    std::vector<SectionDifference> differences;       ///< what changes
};

/// A version in the history.
struct HistoryEntry {
    ConfigurationVersion version;     ///< accepted version
    std::string digest;               ///< of the configuration
    std::string entry;                ///< entry that accepted it
    std::string time;                 ///< UTC, RFC 3339
    std::vector<std::string> changes; ///< "+section", "-section", "~section"
};

/// Keeps the configuration.
class ConfigurationManager
{
public:
    ConfigurationManager(EntryContext &context, Store &store);
    ~ConfigurationManager();

    /// What is in force; version 0 before any is known.
    const Configuration &inForce() const;
    /// Called after each change of what is in force.
    void onChanged(std::function<void()> handler);

    void apply(const std::string &text, std::optional<ConfigurationVersion> ifMatch, bool isDryRun, std::function<void(const ApplyResult &)> done);
    /// Newest first, at most `limit`.
    void history(int limit, std::function<void(StoreStatus, const std::vector<HistoryEntry> &)> done);

    /// Reads the row and, if it is newer, the objects it names.
    void poll();
    /// Takes an update from a peer.
    void handleUpdate(const LinkPtr &link, const ConfigurationUpdate &update);
    /// Sends a peer what it lacks.
    void sendTo(const LinkPtr &link, ConfigurationVersion known, SectionScope scope);

    /// Whether this process has good reason to hold the newest configuration: it read the row since its start, or a
    /// peer that serves gave it one while the store was away.
    bool isTrusted() const;
    /// Bytes of section texts sent to peers and sidecars.
    std::uint64_t bytesSent() const;
    /// A peer in service has this version in force.
    void recordPeerVersion(ConfigurationVersion version);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
