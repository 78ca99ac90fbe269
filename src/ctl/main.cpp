// parsleyctl: the operators' command-line tool.
#include "base/command_line.h"
#include "ctl/commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, entry, "", "operator port of an entry, host:port; default $PARSLEY_ENTRY or 127.0.0.1:8081");
ABSL_FLAG(std::string, key_file, "", "file with the operators' credential; default $PARSLEY_OPERATOR_KEY");
ABSL_FLAG(std::string, format, "text", "text or json");
ABSL_FLAG(bool, dry_run, false, "apply: change nothing");
ABSL_FLAG(bool, wait, false, "apply: wait until in force everywhere");
ABSL_FLAG(uint64_t, at_version, 0, "apply: version to replace; wait: version to wait for");
ABSL_FLAG(int, timeout, 60, "wait: longest wait, seconds");
ABSL_FLAG(std::string, from, "", "report: first hour or day, UTC");
ABSL_FLAG(std::string, to, "", "report: hour or day after the last, UTC");
ABSL_FLAG(std::string, by, "workspace", "report: workspace, service or model");
ABSL_FLAG(int, limit, 20, "history: number of versions");
ABSL_FLAG(std::string, relay, "", "explain: metrics port of a relay, host:port");
ABSL_FLAG(std::string, host, "", "explain: host of the request");
ABSL_FLAG(std::string, path, "", "explain: path of the request");
ABSL_FLAG(std::string, workspace, "", "explain: workspace of the caller");
ABSL_FLAG(std::string, prompt, "", "explain: length of the prompt, tokens");
ABSL_FLAG(std::string, answer, "", "explain: expected length of the answer, tokens");

using namespace Parsleytrail;

static constexpr const char *helpText = R"(parsleyctl: apply configuration files and inspect the running system.

Usage: parsleyctl [OPTIONS] COMMAND [FILE]

Commands:
  check FILE    check a configuration file without contacting an entry
  diff FILE     show what applying the file would change
  apply FILE    check the file, show the changes and apply it as a whole
  show          show the configuration in force
  history       list accepted versions, newest first
  status        show entries, targets, coverage and versions
  wait          wait until a version is in force everywhere; lists the processes without it
  report        report usage: requests, worth, tokens, accelerator time and cost
  dump          print the state dump of the entry
  explain       show where a request would go now and why, as a relay decides it; nothing is sent
  version       print the version of this program

Options:
  --entry=HOST:PORT   operator port of an entry (default $PARSLEY_ENTRY, or 127.0.0.1:8081)
  --key_file=FILE     file with the operators' credential (default $PARSLEY_OPERATOR_KEY)
  --format=text|json  output format; for report also csv
  --dry_run           apply: let the entry check the file, change nothing
  --wait              apply: wait until in force everywhere
  --at_version=N      apply: replace exactly this version; wait: wait for this one
  --timeout=SECONDS   wait: longest wait (default 60)
  --from, --to        report: hours or days, UTC, as 2026-12-03T14 or 2026-12-03 (default the last 24 hours)
  --by=WHAT           report: workspace, service or model
  --limit=N           history: number of versions (default 20)
  --relay=HOST:PORT   explain: metrics port of the relay
  --host, --path      explain: host and path of the request
  --workspace=NAME    explain: workspace whose own priority counts
  --prompt=N          explain: length of the prompt, tokens (default the model's usual one)
  --answer=N          explain: expected length of the answer, tokens (default the model's usual one)

Exit: 0 done, 1 refused, 2 wrong usage, 3 unreachable, 4 outcome unknown.

Examples:
  parsleyctl check studio.ini
  parsleyctl apply studio.ini --wait
  parsleyctl status --format=json
  parsleyctl report --from=2026-12-01 --to=2026-12-02 --by=workspace --format=csv
  parsleyctl explain --relay=10.0.0.5:9100 --host=host.example --path=/chat/x --prompt=900
)";

static std::string environmentValue(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value ? value : fallback;
}

/// Sets the address and credential of the entry from the flags and the environment. Prints the reason and returns false if a
/// flag is invalid.
static bool readEndpoint(CtlOptions &options)
{
    const std::string entry = absl::GetFlag(FLAGS_entry).empty() ? environmentValue("PARSLEY_ENTRY", "127.0.0.1:8081") : absl::GetFlag(FLAGS_entry);
    Error error;
    const auto parse = [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(options.endpoint.address, parseAddress(entry));
        return {};
    };
    if (!runCatching(parse, error)) {
        std::cerr << "--entry: " << error.toString() << '\n';
        return false;
    }
    options.endpoint.key = environmentValue("PARSLEY_OPERATOR_KEY", "");
    if (!absl::GetFlag(FLAGS_key_file).empty()) {
        std::ifstream file(absl::GetFlag(FLAGS_key_file));
        if (!std::getline(file, options.endpoint.key)) {
            std::cerr << "--key_file: the file cannot be read or is empty\n";
            return false;
        }
    }
    return true;
}

/// Sets the options of explain from the flags. Prints the reason and returns false if one is missing or invalid.
static bool readExplainOptions(ExplainOptions &options)
{
    options.host = absl::GetFlag(FLAGS_host);
    options.path = absl::GetFlag(FLAGS_path);
    options.workspace = absl::GetFlag(FLAGS_workspace);
    options.prompt = absl::GetFlag(FLAGS_prompt);
    options.answer = absl::GetFlag(FLAGS_answer);
    Error error;
    const auto parse = [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(options.relay, parseAddress(absl::GetFlag(FLAGS_relay)));
        return {};
    };
    if (!runCatching(parse, error)) {
        std::cerr << "--relay: " << error.toString() << '\n';
        return false;
    }
    if (options.host.empty() || options.path.empty()) {
        std::cerr << "explain: expected --host and --path\n";
        return false;
    }
    return true;
}

static int runCommand(const CtlOptions &options, const std::vector<std::string> &arguments)
{
    const std::map<std::string, std::function<int(const CtlOptions &, const std::string &)>> commandsWithFile = {
        {"check", runCheck}, {"apply", runApply}, {"diff", runDiff}};
    const std::map<std::string, std::function<int(const CtlOptions &)>> commandsWithoutFile = {
        {"show", runShow}, {"history", runHistory}, {"status", runStatus},   {"wait", runWait},
        {"dump", runDump}, {"report", runReport},   {"explain", runExplain}, {"version", runVersion}};
    const bool hasCommand = !arguments.empty();
    if (hasCommand && arguments.size() == 2 && commandsWithFile.count(arguments[0])) {
        return commandsWithFile.at(arguments[0])(options, arguments[1]);
    }
    if (hasCommand && arguments.size() == 1 && commandsWithoutFile.count(arguments[0])) {
        return commandsWithoutFile.at(arguments[0])(options);
    }
    std::cerr << "parsleyctl: expected a command" << (hasCommand ? ", found '" + arguments[0] + "' or the wrong number of files" : "")
              << "; see parsleyctl --help\n";
    return ExitUsage;
}

int main(int argc, char **argv)
{
    if (wantsHelp(argc, argv)) {
        std::cout << helpText;
        return ExitDone;
    }
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    const std::string format = absl::GetFlag(FLAGS_format);
    const bool isReport = positional.size() == 2 && std::string(positional[1]) == "report";
    if (format != "text" && format != "json" && !(format == "csv" && isReport)) {
        std::cerr << "--format: expected text or json, or csv for report\n";
        return ExitUsage;
    }
    CtlOptions options;
    options.isJson = format == "json";
    options.isCsv = format == "csv";
    options.from = absl::GetFlag(FLAGS_from);
    options.to = absl::GetFlag(FLAGS_to);
    options.by = absl::GetFlag(FLAGS_by);
    options.isDryRun = absl::GetFlag(FLAGS_dry_run);
    options.shouldWait = absl::GetFlag(FLAGS_wait);
    options.version = absl::GetFlag(FLAGS_at_version);
    options.waitTimeout = std::chrono::seconds(absl::GetFlag(FLAGS_timeout));
    options.limit = absl::GetFlag(FLAGS_limit);
    const bool isExplain = positional.size() == 2 && std::string(positional[1]) == "explain";
    if (!(isExplain ? readExplainOptions(options.explain) : readEndpoint(options))) {
        return ExitUsage;
    }
    return runCommand(options, {positional.begin() + 1, positional.end()});
}
