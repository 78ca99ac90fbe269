// Index: [SECTION] Responses, [SECTION] Files, [SECTION] Applying, [SECTION] Inspecting, [SECTION] Waiting
#include "ctl/commands.h"

#include "base/settings_file.h"
#include "base/text.h"
#include "policy/configuration.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>
#include <thread>

namespace Parsleytrail
{

using nlohmann::json;

constexpr milliseconds waitPollInterval{200};

// [SECTION] Responses

/// Prints why a request failed and returns the exit status for it.
static int reportFailure(const CtlOptions &options, const HttpResult &result)
{
    if (result.failure) {
        const std::string text = result.failure->error.toString();
        if (options.isJson) {
            std::cout << json{{"error", text}}.dump(2) << '\n';
        } else {
            std::cerr << "unreachable: " << text << '\n';
        }
        return ExitUnreachable;
    }
    const json body = json::parse(result.body, nullptr, false);
    if (options.isJson) {
        std::cout << (body.is_object() ? body.dump(2) : result.body) << '\n';
    } else if (body.is_object()) {
        std::cerr << "refused: " << body.value("title", "") << ": " << body.value("detail", "") << '\n';
        for (const json &problem : body.value("errors", json::array())) {
            const IniProblem shown{problem.value("section", ""), problem.value("key", ""), problem.value("line", 0), problem.value("text", "")};
            std::cerr << "  " << shown.toString() << '\n';
        }
        if (body.contains("version")) {
            std::cerr << "  in force: version " << body["version"] << '\n';
        }
    } else {
        std::cerr << "refused: status " << result.status << '\n';
    }
    const bool isUnknown = body.is_object() && body.value("parsley-outcome", "") == "unknown";
    return isUnknown ? ExitUnknown : ExitRefused;
}

/// Fetches a JSON document. Returns ExitDone with `body` set, or the exit status of the failure, which it has printed.
static int fetchJson(const CtlOptions &options, const std::string &path, json &body)
{
    const HttpResult result = sendOperatorRequest(options.endpoint, "GET", path);
    if (!result.isOk()) {
        return reportFailure(options, result);
    }
    body = json::parse(result.body, nullptr, false);
    if (!body.is_object()) {
        std::cerr << "the entry's response is not a JSON object\n";
        return ExitUnreachable;
    }
    return ExitDone;
}

// [SECTION] Files

static bool readTextFile(const std::string &file, std::string &text)
{
    Error error;
    const auto read = [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(text, readFile(file));
        return {};
    };
    if (!runCatching(read, error)) {
        std::cerr << error.toString() << '\n';
        return false;
    }
    return true;
}

static void printProblems(const CtlOptions &options, const std::string &file, const std::vector<IniProblem> &problems)
{
    json list = json::array();
    for (const IniProblem &problem : problems) {
        list.push_back({{"section", problem.section}, {"key", problem.key}, {"line", problem.line}, {"text", problem.text}});
        if (!options.isJson) {
            std::cerr << file << ": " << problem.toString() << '\n';
        }
    }
    if (options.isJson) {
        std::cout << json{{"result", problems.empty() ? "valid" : "invalid"}, {"errors", list}}.dump(2) << '\n';
    }
}

/// Loads a configuration file and validates it as the entries do. Returns ExitDone, or the exit status after printing the problems.
static int loadConfiguration(const CtlOptions &options, const std::string &file, std::string &text, Configuration &configuration)
{
    if (!readTextFile(file, text)) {
        return ExitUsage;
    }
    std::vector<IniProblem> problems;
    configuration = parseConfiguration(text, problems);
    if (!problems.empty()) {
        printProblems(options, file, problems);
        return ExitRefused;
    }
    return ExitDone;
}

int runCheck(const CtlOptions &options, const std::string &file)
{
    std::string text;
    Configuration configuration;
    const int status = loadConfiguration(options, file, text, configuration);
    if (status != ExitDone) {
        return status;
    }
    if (options.isJson) {
        printProblems(options, file, {});
    } else {
        std::cout << file << ": valid, " << configuration.sections.size() << " sections\n";
    }
    return ExitDone;
}

// [SECTION] Applying

static void printChanges(const json &changes)
{
    for (const json &change : changes) {
        const std::string kind = change.value("change", "");
        const char *sign = kind == "added" ? "+" : kind == "removed" ? "-" : "~";
        std::cout << "  " << sign << " [" << change.value("section", "") << "]\n";
    }
    if (changes.empty()) {
        std::cout << "  no changes\n";
    }
}

/// Fetches the configuration in force and its version. Returns ExitDone, or the exit status of the failure.
static int fetchConfigurationInForce(const CtlOptions &options, Configuration &configuration)
{
    const HttpResult result = sendOperatorRequest(options.endpoint, "GET", "/operator/v1/configuration");
    if (!result.isOk()) {
        return reportFailure(options, result);
    }
    std::vector<IniProblem> problems;
    configuration = parseConfiguration(result.body, problems);
    const std::string tag = findHeader(result.headers, "ETag");
    if (tag.size() > 2) {
        parseNumber(std::string_view(tag).substr(1, tag.size() - 2), configuration.version.value);
    }
    return ExitDone;
}

static json differencesToJson(const std::vector<SectionDifference> &differences)
{
    json list = json::array();
    for (const SectionDifference &difference : differences) {
        const char *change = difference.change == SectionChange::Added ? "added" : difference.change == SectionChange::Removed ? "removed" : "changed";
        list.push_back({{"section", difference.name}, {"change", change}});
    }
    return list;
}

/// A valid configuration file and the configuration in force.
struct FileComparison {
    std::string text;       ///< text of the file
    Configuration proposed; ///< parsed file
    Configuration inForce;  ///< in force at the entry
};

/// Loads both sides of a comparison. Returns ExitDone, or the exit status of the failure.
static int loadForComparison(const CtlOptions &options, const std::string &file, FileComparison &comparison)
{
    const int status = loadConfiguration(options, file, comparison.text, comparison.proposed);
    return status != ExitDone ? status : fetchConfigurationInForce(options, comparison.inForce);
}

int runDiff(const CtlOptions &options, const std::string &file)
{
    FileComparison comparison;
    if (const int status = loadForComparison(options, file, comparison); status != ExitDone) {
        return status;
    }
    const auto &[text, proposed, inForce] = comparison;
    const json changes = differencesToJson(compareConfigurations(inForce, proposed));
    if (options.isJson) {
        std::cout << json{{"version", inForce.version.value}, {"changes", changes}}.dump(2) << '\n';
    } else {
        std::cout << "against version " << inForce.version.value << ":\n";
        printChanges(changes);
    }
    return ExitDone;
}

int runApply(const CtlOptions &options, const std::string &file)
{
    FileComparison comparison;
    if (const int status = loadForComparison(options, file, comparison); status != ExitDone) {
        return status;
    }
    const auto &[text, proposed, inForce] = comparison;
    const std::uint64_t base = options.version > 0 ? options.version : inForce.version.value;
    if (!options.isJson) {
        std::cout << "changes against version " << inForce.version.value << ":\n";
        printChanges(differencesToJson(compareConfigurations(inForce, proposed)));
    }
    // The entry replaces only version `base`, which is the one that the changes were shown against unless --at_version names
    // another: if another operator applied a file in the meantime, this one is refused instead of overwriting it.
    const std::string path = std::string("/operator/v1/configuration") + (options.isDryRun ? "?dry-run" : "");
    const HttpResult result = sendOperatorRequest(options.endpoint, "PUT", path, text, {{"If-Match", "\"" + std::to_string(base) + "\""}});
    if (result.failure && result.failure->mayHaveBeenSent) {
        std::cerr << "no response from the entry: the file may have been accepted or may still be; check with `parsleyctl history`\n";
        return ExitUnknown;
    }
    if (!result.isOk()) {
        return reportFailure(options, result);
    }
    const json body = json::parse(result.body, nullptr, false);
    if (options.isJson) {
        std::cout << body.dump(2) << '\n';
    } else {
        std::cout << body.value("result", "") << ": version " << body.value("version", std::uint64_t{0}) << '\n';
    }
    if (!options.shouldWait || options.isDryRun) {
        return ExitDone;
    }
    CtlOptions waitOptions = options;
    waitOptions.version = body.value("version", std::uint64_t{0});
    return runWait(waitOptions);
}

// [SECTION] Inspecting

int runShow(const CtlOptions &options)
{
    const HttpResult result = sendOperatorRequest(options.endpoint, "GET", "/operator/v1/configuration");
    if (!result.isOk()) {
        return reportFailure(options, result);
    }
    if (options.isJson) {
        std::cout << json{{"version", findHeader(result.headers, "ETag")}, {"text", result.body}}.dump(2) << '\n';
    } else {
        std::cout << "; version " << findHeader(result.headers, "ETag") << '\n' << result.body;
    }
    return ExitDone;
}

int runHistory(const CtlOptions &options)
{
    json body;
    if (const int status = fetchJson(options, "/operator/v1/configuration/history?limit=" + std::to_string(options.limit), body); status != ExitDone) {
        return status;
    }
    if (options.isJson) {
        std::cout << body.dump(2) << '\n';
        return ExitDone;
    }
    for (const json &entry : body["history"]) {
        std::cout << std::setw(6) << entry.value("version", 0) << "  " << entry.value("time", "") << "  by " << entry.value("entry", "") << "  "
                  << joined(entry.value("changes", std::vector<std::string>()), " ") << '\n';
    }
    return ExitDone;
}

static void printTargets(const json &targets)
{
    std::cout << "targets:\n";
    for (const json &target : targets) {
        const std::string assignment = target.contains("layers")
                                           ? target.value("model", "") + "@" + target.value("version", "") + " layers " + target.value("layers", "")
                                           : "service " + target.value("service", "");
        std::cout << "  " << std::left << std::setw(20) << target.value("id", "") << std::setw(10) << target.value("state", "") << std::setw(14)
                  << target.value("dataCenter", "") << std::setw(32) << assignment << "v" << target.value("configuration", 0) << "  streams "
                  << target.value("streams", 0) << (target.value("isLeaving", false) ? "  leaving" : "") << '\n';
    }
}

int runStatus(const CtlOptions &options)
{
    json body;
    if (const int status = fetchJson(options, "/operator/v1/status", body); status != ExitDone) {
        return status;
    }
    if (options.isJson) {
        std::cout << body.dump(2) << '\n';
        return ExitDone;
    }
    std::cout << "configuration: version " << body["configuration"].value("version", 0) << '\n';
    std::cout << "store: " << (body["store"].value("isDown", false) ? "away" : "answers") << '\n';
    std::cout << "entries:\n";
    for (const json &entry : body["entries"]) {
        std::cout << "  " << std::left << std::setw(20) << entry.value("id", "") << std::setw(10) << entry.value("state", "") << std::setw(14)
                  << entry.value("dataCenter", "") << "v" << entry.value("configuration", 0) << '\n';
    }
    printTargets(body["targets"]);
    std::cout << "coverage (targets that accept new work, for each layer range):\n";
    for (const auto &[model, ranges] : body["coverage"].items()) {
        std::cout << "  " << model << ": " << ranges.dump() << '\n';
    }
    std::cout << "open: " << body.value("streams", 0) << " streams, " << body.value("calls", 0) << " calls\n";
    return ExitDone;
}

int runDump(const CtlOptions &options)
{
    json body;
    if (const int status = fetchJson(options, "/operator/v1/state", body); status != ExitDone) {
        return status;
    }
    std::cout << body.dump(2) << '\n';
    return ExitDone;
}

/// Sum of the accelerator seconds of all kinds, and the seconds of each kind as "kind=seconds" text.
static std::pair<double, std::string> acceleratorSeconds(const json &line)
{
    double sum = 0;
    std::vector<std::string> parts;
    for (const auto &[kind, seconds] : line["acceleratorSeconds"].items()) {
        sum += seconds.get<double>();
        parts.push_back(kind + "=" + std::to_string(seconds.get<double>()));
    }
    return {sum, joined(parts, " ")};
}

static void printReport(const json &body, bool isCsv)
{
    const char *separator = isCsv ? "," : "  ";
    const auto cell = [isCsv](const std::string &text, int width) {
        if (!isCsv) {
            std::cout << std::left << std::setw(width) << text;
        } else {
            std::cout << text;
        }
    };
    cell(body.value("by", ""), 24);
    std::cout << separator << "answered" << separator << "refused" << separator << "unknown" << separator << "worth" << separator << "prompt_tokens"
              << separator << "completion_tokens" << separator << "accelerator_seconds" << separator << "cost" << separator << "by_accelerator\n";
    for (const json &line : body["lines"]) {
        const auto [sum, kinds] = acceleratorSeconds(line);
        cell(line.value("name", ""), 24);
        std::cout << separator << line["answered"] << separator << line["refused"] << separator << line["unknown"] << separator << line["worth"] << separator
                  << line["promptTokens"] << separator << line["completionTokens"] << separator << sum << separator << line["cost"] << separator << kinds
                  << '\n';
    }
}

int runReport(const CtlOptions &options)
{
    std::string path = "/operator/v1/report?by=" + options.by;
    path += options.from.empty() ? "" : "&from=" + options.from;
    path += options.to.empty() ? "" : "&to=" + options.to;
    json body;
    if (const int status = fetchJson(options, path, body); status != ExitDone) {
        return status;
    }
    if (options.isJson) {
        std::cout << body.dump(2) << '\n';
    } else {
        printReport(body, options.isCsv);
    }
    return ExitDone;
}

int runVersion(const CtlOptions &options)
{
    if (options.isJson) {
        std::cout << json{{"version", PARSLEYTRAIL_VERSION}}.dump() << '\n';
    } else {
        std::cout << "parsleyctl " PARSLEYTRAIL_VERSION "\n";
    }
    return ExitDone;
}

// [SECTION] Waiting

/// Ids of the entries and targets on which the version is not yet in force, except those that have timed out.
static std::vector<std::string> findStragglers(const json &status, std::uint64_t version)
{
    std::vector<std::string> names;
    for (const char *kind : {"entries", "targets"}) {
        for (const json &process : status.value(kind, json::array())) {
            const bool isTimedOut = process.value("state", "") == "Silent";
            if (!isTimedOut && process.value("configuration", std::uint64_t{0}) < version) {
                names.push_back(process.value("id", ""));
            }
        }
    }
    return names;
}

int runWait(const CtlOptions &options)
{
    const auto deadline = std::chrono::steady_clock::now() + options.waitTimeout;
    std::uint64_t version = options.version;
    std::vector<std::string> stragglers;
    while (true) {
        json status;
        if (const int failure = fetchJson(options, "/operator/v1/status", status); failure != ExitDone) {
            return failure;
        }
        if (version == 0) {
            version = status["configuration"].value("version", std::uint64_t{0});
        }
        stragglers = findStragglers(status, version);
        if (stragglers.empty() || std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(waitPollInterval);
    }
    if (options.isJson) {
        std::cout << json{{"version", version}, {"isInForceEverywhere", stragglers.empty()}, {"stragglers", stragglers}}.dump(2) << '\n';
    } else if (stragglers.empty()) {
        std::cout << "version " << version << " is in force everywhere\n";
    } else {
        std::cout << "version " << version << " is not in force yet at: " << joined(stragglers, ", ") << '\n';
    }
    return stragglers.empty() ? ExitDone : ExitRefused;
}

} // namespace Parsleytrail
