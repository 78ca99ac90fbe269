// Index: [SECTION] Parsing, [SECTION] Validation, [SECTION] Comparison, [SECTION] Updates, [SECTION] Idempotency
#include "policy/configuration.h"

#include "base/digest.h"
#include "base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace Parsleytrail
{

// [SECTION] Parsing

constexpr std::string_view workspacePrefix = "workspace.";
constexpr std::size_t maxConfigurationName = 128;

/// Splits "service.chat" into "service" and "chat"; the name is empty if there is no dot.
static std::pair<std::string_view, std::string_view> splitName(std::string_view section)
{
    const std::size_t dot = section.find('.');
    if (dot == std::string_view::npos) {
        return {section, {}};
    }
    return {section.substr(0, dot), section.substr(dot + 1)};
}

static bool isPlainName(std::string_view name)
{
    return !name.empty() && name.size() <= maxConfigurationName && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '_' || c == '.';
    });
}

static void readOneSection(const IniSection &section, Configuration &configuration, std::vector<IniProblem> &problems)
{
    const auto [kind, nameView] = splitName(section.name);
    const std::string name(nameView);
    if (!isPlainName(name)) {
        problems.push_back({section.name, "", section.line, "expected a section name such as service.NAME, with letters, digits, - _ or ."});
        return;
    }
    if (kind == "model") {
        readSection(section, configuration.models[name], problems);
    } else if (kind == "service") {
        readSection(section, configuration.services[name], problems);
    } else if (kind == "workspace") {
        readSection(section, configuration.workspaces[name], problems);
    } else if (kind == "target-class") {
        readSection(section, configuration.targetClasses[name], problems);
    } else {
        problems.push_back({section.name, "", section.line, "expected model.NAME, service.NAME, workspace.NAME or target-class.NAME"});
    }
}

static bool isInScope(const std::string &name, SectionScope scope)
{
    return scope == SectionScope::All || !name.starts_with(workspacePrefix);
}

static std::string digestOf(const Configuration &configuration, SectionScope scope)
{
    std::string text;
    for (const auto &[name, section] : configuration.sections) {
        if (isInScope(name, scope)) {
            absl::StrAppend(&text, name, " ", section.digest, "\n");
        }
    }
    return sha256Hex(text);
}

// [SECTION] Validation

/// Line of a key in the file, or of its section if the section lacks the key, for problems found across sections.
struct LineLookup {
    const IniFile &file;

    int operator()(const std::string &section, const std::string &key) const
    {
        const IniSection found = findSection(file, section);
        for (const IniEntry &entry : found.entries) {
            if (entry.key == key) {
                return entry.line;
            }
        }
        return found.line;
    }
};

static bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

static void checkService(const std::string &name, const ServiceSection &service, const Configuration &configuration, const LineLookup &line,
                         std::vector<IniProblem> &problems)
{
    const std::string section = "service." + name;
    const auto problem = [&](const char *key, std::string text) {
        problems.push_back({section, key, line(section, key), std::move(text)});
    };
    if (service.kind == "plain") {
        if (!service.model.empty()) {
            problem("model", "expected no model for kind plain");
        }
        for (const std::string &call : service.nonIdempotent) {
            const std::vector<std::string> parts = splitList(call, ' ');
            if (parts.size() != 2 || parts[1].front() != '/') {
                problem("non-idempotent", absl::StrCat("expected METHOD /path, found '", call, "'"));
            }
        }
        return;
    }
    if (service.kind != "pipeline") {
        return;
    }
    if (!service.nonIdempotent.empty()) {
        problem("non-idempotent", "expected this key only for kind plain");
    }
    const auto model = configuration.models.find(service.model);
    if (model == configuration.models.end()) {
        problem("model", absl::StrCat("expected the name of a [model.NAME] section, found '", service.model, "'"));
        return;
    }
    if (!contains(model->second.versions, service.version)) {
        problem("version", absl::StrCat("expected a version of model ", service.model, ", found '", service.version, "'"));
    }
    if (!service.adapter.empty() && !contains(model->second.adapters, service.adapter)) {
        problem("adapter", absl::StrCat("expected an adapter of model ", service.model, ", found '", service.adapter, "'"));
    }
}

static bool isSha256(const std::string &text)
{
    return text.size() == 64 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isdigit(c) || (c >= 'a' && c <= 'f');
           });
}

static void checkWorkspace(const std::string &name, const WorkspaceSection &workspace, Configuration &configuration, const LineLookup &line,
                           std::vector<IniProblem> &problems)
{
    const std::string section = "workspace." + name;
    for (const std::string &service : workspace.services) {
        if (!configuration.services.count(service)) {
            problems.push_back(
                {section, "services", line(section, "services"), absl::StrCat("expected names of [service.NAME] sections, found '", service, "'")});
        }
    }
    for (const std::string &digest : workspace.keyDigests) {
        if (!isSha256(digest)) {
            problems.push_back({section, "key-digests", line(section, "key-digests"), "expected SHA-256 digests, 64 hexadecimal digits in lower case"});
            continue;
        }
        const auto [other, isNew] = configuration.workspaceByKeyDigest.emplace(digest, name);
        if (!isNew) {
            problems.push_back(
                {section, "key-digests", line(section, "key-digests"), absl::StrCat("expected a key of its own; workspace ", other->second, " has the same")});
        }
    }
}

Configuration parseConfiguration(std::string_view text, std::vector<IniProblem> &problems)
{
    Configuration configuration;
    const IniFile file = parseIni(text, problems);
    for (const IniSection &section : file.sections) {
        readOneSection(section, configuration, problems);
        const std::string canonical = canonicalText(section);
        configuration.sections[section.name] = {canonical, sha256Hex(canonical)};
    }
    const LineLookup line{file};
    for (const auto &[name, service] : configuration.services) {
        checkService(name, service, configuration, line, problems);
    }
    for (const auto &[name, workspace] : configuration.workspaces) {
        checkWorkspace(name, workspace, configuration, line, problems);
    }
    if (file.sections.empty() && problems.empty()) {
        problems.push_back({"", "", 0, "expected at least one section"});
    }
    std::stable_sort(problems.begin(), problems.end(), [](const IniProblem &a, const IniProblem &b) {
        return a.line < b.line;
    });
    configuration.digest = digestOf(configuration, SectionScope::All);
    return configuration;
}

std::string configurationText(const Configuration &configuration)
{
    std::string text;
    for (const auto &[name, section] : configuration.sections) {
        absl::StrAppend(&text, text.empty() ? "" : "\n", section.text);
    }
    return text;
}

// [SECTION] Comparison

std::vector<SectionDifference> compareConfigurations(const Configuration &from, const Configuration &to)
{
    std::vector<SectionDifference> differences;
    for (const auto &[name, section] : to.sections) {
        const auto old = from.sections.find(name);
        if (old == from.sections.end()) {
            differences.push_back({name, SectionChange::Added});
        } else if (old->second.digest != section.digest) {
            differences.push_back({name, SectionChange::Changed});
        }
    }
    for (const auto &[name, section] : from.sections) {
        if (!to.sections.count(name)) {
            differences.push_back({name, SectionChange::Removed});
        }
    }
    return differences;
}

// [SECTION] Updates

void recordChange(ConfigurationLog &log, const Configuration &from, const Configuration &to)
{
    const bool isNextStep = log.changes.empty() || log.changes.back().version == from.version;
    if (!isNextStep) {
        log.changes.clear();
    }
    ConfigurationLog::Change change{to.version, {}};
    for (SectionDifference &difference : compareConfigurations(from, to)) {
        change.changedSections.push_back(std::move(difference.name));
    }
    // A step may skip versions when a full update came from a peer; its changes are still relative to `from`.
    if (log.changes.empty()) {
        log.changes.push_back({from.version, {}});
    }
    log.changes.push_back(std::move(change));
    if (log.changes.size() > maxLoggedChanges) {
        log.changes.erase(log.changes.begin());
    }
}

/// Names of sections changed since a version, or nothing if the log does not hold that version.
static std::optional<std::set<std::string>> sectionsChangedSince(const ConfigurationLog &log, ConfigurationVersion known)
{
    const auto base = std::find_if(log.changes.begin(), log.changes.end(), [known](const ConfigurationLog::Change &change) {
        return change.version == known;
    });
    if (base == log.changes.end()) {
        return std::nullopt;
    }
    std::set<std::string> names;
    for (auto change = std::next(base); change != log.changes.end(); ++change) {
        names.insert(change->changedSections.begin(), change->changedSections.end());
    }
    return names;
}

ConfigurationUpdate makeUpdate(const Configuration &configuration, const ConfigurationLog &log, ConfigurationVersion known, SectionScope scope)
{
    ConfigurationUpdate update;
    update.version = configuration.version;
    update.digest = scope == SectionScope::All ? configuration.digest : digestOf(configuration, scope);
    const bool isFresh = known == ConfigurationVersion{};
    const std::optional<std::set<std::string>> changedSections = isFresh ? std::nullopt : sectionsChangedSince(log, known);
    if (!changedSections) {
        for (const auto &[name, section] : configuration.sections) {
            if (isInScope(name, scope)) {
                update.sections.push_back({name, section.text});
            }
        }
        return update;
    }
    update.baseVersion = known;
    for (const std::string &name : *changedSections) {
        const auto section = configuration.sections.find(name);
        if (!isInScope(name, scope)) {
            continue;
        }
        if (section == configuration.sections.end()) {
            update.removed.push_back(name);
        } else {
            update.sections.push_back({name, section->second.text});
        }
    }
    return update;
}

static void removeSection(Configuration &configuration, const std::string &section)
{
    const auto [kind, nameView] = splitName(section);
    const std::string name(nameView);
    configuration.sections.erase(section);
    if (kind == "model") {
        configuration.models.erase(name);
    } else if (kind == "service") {
        configuration.services.erase(name);
    } else if (kind == "target-class") {
        configuration.targetClasses.erase(name);
    } else if (const auto workspace = configuration.workspaces.find(name); workspace != configuration.workspaces.end()) {
        for (const std::string &digest : workspace->second.keyDigests) {
            const auto key = configuration.workspaceByKeyDigest.find(digest);
            if (key != configuration.workspaceByKeyDigest.end() && key->second == name) {
                configuration.workspaceByKeyDigest.erase(key);
            }
        }
        configuration.workspaces.erase(workspace);
    }
}

/// Adds a section from its text. Problems are ignored, since a sender of a newer software version may use keys that this one
/// does not know. The file was validated where it was accepted, and the digest proves that this is the same text.
static void putSection(Configuration &configuration, const std::string &text)
{
    std::vector<IniProblem> problems;
    const IniFile file = parseIni(text, problems);
    for (const IniSection &section : file.sections) {
        readOneSection(section, configuration, problems);
        const std::string canonical = canonicalText(section);
        configuration.sections[section.name] = {canonical, sha256Hex(canonical)};
        const auto [kind, nameView] = splitName(section.name);
        const std::string name(nameView);
        if (kind == "workspace") {
            for (const std::string &digest : configuration.workspaces[name].keyDigests) {
                configuration.workspaceByKeyDigest[digest] = name;
            }
        }
    }
}

UpdateResult applyUpdate(const Configuration &current, const ConfigurationUpdate &update, Configuration &result)
{
    if (update.version <= current.version) {
        return UpdateResult::NotNewer;
    }
    const bool isFull = update.baseVersion == ConfigurationVersion{};
    if (!isFull && update.baseVersion != current.version) {
        return UpdateResult::BaseMismatch;
    }
    // Only the changed sections are parsed: with thousands of workspaces, parsing the complete file takes tens of
    // milliseconds, during which this process would send no token.
    result = isFull ? Configuration() : current;
    for (const std::string &name : update.removed) {
        removeSection(result, name);
    }
    for (const SectionText &section : update.sections) {
        removeSection(result, section.name);
        putSection(result, section.text);
    }
    result.digest = digestOf(result, SectionScope::All);
    if (result.digest != update.digest) {
        return UpdateResult::Damaged;
    }
    result.version = update.version;
    return UpdateResult::Applied;
}

// [SECTION] Idempotency

bool isNonIdempotent(const ServiceSection &service, std::string_view method, std::string_view path)
{
    return std::any_of(service.nonIdempotent.begin(), service.nonIdempotent.end(), [&](const std::string &call) {
        const std::vector<std::string> parts = splitList(call, ' ');
        if (parts.size() != 2 || parts[0] != method) {
            return false;
        }
        const std::string_view pattern = parts[1];
        return pattern.ends_with('*') ? path.starts_with(pattern.substr(0, pattern.size() - 1)) : path == pattern;
    });
}

} // namespace Parsleytrail
