// The commands of parsleyctl.
//
// Each prints its result as text or JSON and returns the exit status: 0 done, 1 refused, 2 usage, 3 unreachable,
// 4 the outcome is not known.
#pragma once

#include "ctl/client.h"

#include <cstdint>

namespace Parsleytrail
{

enum ExitStatus { ExitDone = 0, ExitRefused = 1, ExitUsage = 2, ExitUnreachable = 3, ExitUnknown = 4 };

/// Options of all commands.
struct CtlOptions {
    OperatorEndpoint endpoint;       ///< entry to ask
    bool isJson = false;             ///< --format=json
    bool isDryRun = false;           ///< --dry-run: apply changes nothing
    bool shouldWait = false;         ///< --wait: apply waits until the version is in force everywhere
    std::uint64_t version = 0;       ///< --at-version: version that apply expects to replace, or that wait waits for; 0: the newest
    milliseconds waitTimeout{60000}; ///< --timeout: longest wait
    int limit = 20;                  ///< --limit: rows of the history
    bool isCsv = false;              ///< --format=csv: report only
    std::string from;                ///< --from: first hour of the report, UTC
    std::string to;                  ///< --to: hour after the last
    std::string by = "workspace";    ///< --by: workspace, service or model
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
int runVersion(const CtlOptions &options);

} // namespace Parsleytrail
