// The configuration file: parsing, checking, comparing, and taking updates that never go back.
//
// A configuration is a set of sections, each with a canonical text and a digest. Its digest covers the names and
// digests of all sections, so two processes with equal version and digest have the same configuration in force.
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
    std::string digest; ///< SHA-256 of the text, hexadecimal
};

/// A checked configuration.
struct Configuration {
    ConfigurationVersion version;                            ///< 0 until accepted
    std::string digest;                                      ///< of all names and digests
    std::map<std::string, ConfigurationSection> sections;    ///< by section name
    std::map<std::string, ModelSection> models;              ///< by name
    std::map<std::string, ServiceSection> services;          ///< by name
    std::map<std::string, WorkspaceSection> workspaces;      ///< by name
    std::map<std::string, TargetClassSection> targetClasses; ///< by name
    std::map<std::string, std::string> workspaceByKeyDigest; ///< workspace by digest of a caller's key
};

/// Parses and checks a whole file. Every problem is added to `problems`; the result is valid only if none was.
Configuration parseConfiguration(std::string_view text, std::vector<IniProblem> &problems);
/// The configuration as one text, sections sorted by name.
std::string configurationText(const Configuration &configuration);

/// How a section differs.
enum class SectionChange { Added, Removed, Changed };
/// One difference between two configurations.
struct SectionDifference {
    std::string name;                            ///< section
    SectionChange change = SectionChange::Added; ///< from the old to the new
};
std::vector<SectionDifference> compareConfigurations(const Configuration &from, const Configuration &to);

/// Which sections a receiver needs.
enum class SectionScope {
    All,              ///< entries: everything
    WithoutWorkspaces ///< sidecars: no callers' keys, and nothing that grows with the number of workspaces
};

/// The last changes by name only, so that a receiver that is a few versions behind is sent just what differs.
struct ConfigurationLog {
    /// One change.
    struct Change {
        ConfigurationVersion version;             ///< version it led to
        std::vector<std::string> changedSections; ///< sections added, changed or removed
    };
    std::vector<Change> changes; ///< oldest first, without holes
};
constexpr std::size_t maxLoggedChanges = 128;

/// Notes the step from one configuration to the next.
void recordChange(ConfigurationLog &log, const Configuration &from, const Configuration &to);
/// The update that brings a receiver with `known` in force up to `configuration`; whole if the log does not reach back.
ConfigurationUpdate makeUpdate(const Configuration &configuration, const ConfigurationLog &log, ConfigurationVersion known, SectionScope scope);

/// What became of an update.
enum class UpdateResult {
    Applied,      ///< the result is the new configuration
    NotNewer,     ///< what is in force is as new or newer
    BaseMismatch, ///< it builds on another version than the one in force: ask for a whole one
    Damaged       ///< the result does not have the digest that the sender gave
};
/// Applies an update to what is in force. `result` is valid only for Taken.
UpdateResult applyUpdate(const Configuration &current, const ConfigurationUpdate &update, Configuration &result);

/// Whether the file marks the call as non-idempotent.
bool isNonIdempotent(const ServiceSection &service, std::string_view method, std::string_view path);

} // namespace Parsleytrail
