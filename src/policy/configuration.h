// The configuration file: parsing, validation, comparison and incremental updates.
//
// A configuration is a set of sections, each with a canonical text and a digest. The configuration's digest covers the names
// and digests of all sections, so that two processes with equal version and digest have the same configuration in force.
// Updates never lead back to an older version.
#pragma once

#include "base/ini.h"
#include "generated/messages.h"
#include "generated/settings.h"

#include <map>
#include <optional>
#include <string>

namespace Parsleytrail
{

/// One section as it is sent and stored.
struct ConfigurationSection {
    std::string text;   ///< canonical text
    std::string digest; ///< SHA-256 of the canonical text, hexadecimal
};

/// A validated configuration.
struct Configuration {
    ConfigurationVersion version;                            ///< 0 until it is accepted
    std::string digest;                                      ///< digest of all section names and section digests
    std::map<std::string, ConfigurationSection> sections;    ///< by full section name, such as service.chat
    std::map<std::string, ModelSection> models;              ///< by name
    std::map<std::string, ServiceSection> services;          ///< by name
    std::map<std::string, WorkspaceSection> workspaces;      ///< by name
    std::map<std::string, TargetClassSection> targetClasses; ///< by name
    std::map<std::string, std::string> workspaceByKeyDigest; ///< workspace name by SHA-256 of a caller's key
};

/// Parses and validates a complete file. Adds all problems to `problems`; the result is valid only if there were none.
Configuration parseConfiguration(std::string_view text, std::vector<IniProblem> &problems);
/// The configuration as one canonical text with its sections sorted by name.
std::string configurationText(const Configuration &configuration);

/// How a section differs between two configurations.
enum class SectionChange { Added, Removed, Changed };
/// One difference between two configurations.
struct SectionDifference {
    std::string name;                            ///< name of the section
    SectionChange change = SectionChange::Added; ///< change from the old configuration to the new one
};
/// Lists the sections that differ: added and changed ones first, then removed ones.
std::vector<SectionDifference> compareConfigurations(const Configuration &from, const Configuration &to);

/// Which sections a receiver gets.
enum class SectionScope {
    All,              ///< for entries
    WithoutWorkspaces ///< for sidecars: no callers' keys, and nothing that grows with the number of workspaces
};

/// The last changes, by section name only, so that a receiver that is a few versions behind is sent only what differs.
struct ConfigurationLog {
    /// One step to a new version.
    struct Change {
        ConfigurationVersion version;             ///< version that the step led to
        std::vector<std::string> changedSections; ///< names of sections added, changed or removed
    };
    std::vector<Change> changes; ///< oldest first, without gaps; the first one only marks the version at which the log begins
};
constexpr std::size_t maxLoggedChanges = 128;

/// Records the step from one configuration to the next.
void recordChange(ConfigurationLog &log, const Configuration &from, const Configuration &to);
/// Builds the update from the receiver's version `known` to `configuration`; a full update if the log does not hold `known`.
ConfigurationUpdate makeUpdate(const Configuration &configuration, const ConfigurationLog &log, ConfigurationVersion known, SectionScope scope);

/// Outcome of an update.
enum class UpdateResult {
    Applied,      ///< the result is the new configuration
    NotNewer,     ///< the configuration in force is as new or newer
    BaseMismatch, ///< based on another version than the one in force: request one based on the version in force, or a full update
    Damaged       ///< the result does not have the digest that the sender gave
};
/// Applies an update to the configuration in force. `result` is valid only for Applied.
UpdateResult applyUpdate(const Configuration &current, const ConfigurationUpdate &update, Configuration &result);

/// Whether the service's section marks the call as non-idempotent. A configured path that ends with * matches as a prefix.
bool isNonIdempotent(const ServiceSection &service, std::string_view method, std::string_view path);

} // namespace Parsleytrail
