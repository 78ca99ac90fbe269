// The commands of parsleyctl.
//
// Each prints its result as text or JSON and returns the exit status: 0 done, 1 refused, 2 wrong usage, 3 unreachable,
// 4 outcome unknown.
#pragma once

#include "ctl/client.h"

#include <cstdint>

namespace Parsleytrail
{

enum ExitStatus { ExitDone = 0, ExitRefused = 1, ExitUsage = 2, ExitUnreachable = 3, ExitUnknown = 4 };

/// The request that explain asks a relay about; empty values are not sent.
struct ExplainOptions {
    Address relay;         ///< --relay: metrics port of the relay
    std::string host;      ///< --host: value of the request's Host field
    std::string path;      ///< --path: path of the request
    std::string workspace; ///< --workspace: its own priority goes before the route's
    std::string prompt;    ///< --prompt: length of the prompt, tokens
    std::string answer;    ///< --answer: expected length of the answer, tokens
};

/// Command-line options of all commands.
struct CtlOptions {
    OperatorEndpoint endpoint;       ///< operator port of the entry to contact
    bool isJson = false;             ///< --format=json
    bool isDryRun = false;           ///< --dry_run: apply changes nothing
    bool shouldWait = false;         ///< --wait: apply waits until the version is in force everywhere
    std::uint64_t version = 0;       ///< --at_version: version that apply expects to replace, or that wait waits for; 0: the one in force at the entry
    milliseconds waitTimeout{60000}; ///< --timeout: longest wait for a version to be in force everywhere
    int limit = 20;                  ///< --limit: number of versions that history shows
    bool isCsv = false;              ///< --format=csv, for report only
    std::string from;                ///< --from: first hour or day of the report, UTC
    std::string to;                  ///< --to: hour or day after the last, UTC
    std::string by = "workspace";    ///< --by: workspace, service or model
    ExplainOptions explain;          ///< for explain only
};

int runCheck(const CtlOptions &options, const std::string &file);
int runApply(const CtlOptions &options, const std::string &file);
int runDiff(const CtlOptions &options, const std::string &file);
int runShow(const CtlOptions &options);
int runHistory(const CtlOptions &options);
int runStatus(const CtlOptions &options);
int runWait(const CtlOptions &options);
int runDump(const CtlOptions &options);
int runReport(const CtlOptions &options);
int runExplain(const CtlOptions &options);
int runVersion(const CtlOptions &options);

} // namespace Parsleytrail
