#include "entry/operator_api.h"

#include "base/text.h"
#include "http/problem.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace Parsleytrail
{

using nlohmann::json;

constexpr int defaultHistoryLimit = 20;

static const HttpHeaders jsonHeaders = {{"Content-Type", "application/json"}};

static std::string quoted(ConfigurationVersion version)
{
    return "\"" + std::to_string(version.value) + "\"";
}

static json toJson(const std::vector<SectionDifference> &differences)
{
    json list = json::array();
    for (const SectionDifference &difference : differences) {
        const char *change = difference.change == SectionChange::Added ? "added" : difference.change == SectionChange::Removed ? "removed" : "changed";
        list.push_back({{"section", difference.name}, {"change", change}});
    }
    return list;
}

static json toJson(const std::vector<IniProblem> &problems)
{
    json list = json::array();
    for (const IniProblem &problem : problems) {
        list.push_back({{"section", problem.section}, {"key", problem.key}, {"line", problem.line}, {"text", problem.text}});
    }
    return list;
}

static void replyApplied(const ExchangePtr &exchange, const ApplyResult &result, const char *resultText)
{
    const json body = {{"result", resultText}, {"version", result.version.value}, {"changes", toJson(result.differences)}};
    exchange->reply(200, {{"Content-Type", "application/json"}, {"ETag", quoted(result.version)}}, body.dump());
}

static void replyApply(const ExchangePtr &exchange, const ApplyResult &result)
{
    switch (result.outcome) {
    case ApplyOutcome::Accepted:
        return replyApplied(exchange, result, "accepted");
    case ApplyOutcome::Unchanged:
        return replyApplied(exchange, result, "unchanged");
    case ApplyOutcome::DryRun:
        return replyApplied(exchange, result, "dry-run");
    case ApplyOutcome::Invalid: {
        json body = json::parse(problemBody({422, "Configuration has errors", "the file was not accepted"}));
        body["errors"] = toJson(result.problems);
        return exchange->reply(422, problemHeaders({422}), body.dump());
    }
    case ApplyOutcome::Conflict: {
        json body = json::parse(problemBody({412, "Another version is in force", "look at what changed and apply again"}));
        body["version"] = result.version.value;
        return exchange->reply(412, problemHeaders({412}), body.dump());
    }
    case ApplyOutcome::Unavailable:
        return replyProblem(exchange, {503, "", "the platform's store is away; the file was not accepted", Outcome::NotRun, 2});
    case ApplyOutcome::Unknown:
        return replyProblem(exchange,
                            {504, "", "the store's answers were lost: the file may be accepted yet; read the version before applying again", Outcome::Unknown});
    }
}

/// Reads the version in an If-Match header; leaves `version` empty if there is none or it is `*`. Returns false if malformed.
static bool readIfMatch(const HttpRequest &request, std::optional<ConfigurationVersion> &version)
{
    const std::string header = findHeader(request.headers, "If-Match");
    std::string_view field = header;
    if (field.empty() || field == "*") {
        return true;
    }
    if (field.size() >= 2 && field.front() == '"' && field.back() == '"') {
        field = field.substr(1, field.size() - 2);
    }
    ConfigurationVersion parsed;
    if (!parseNumber(field, parsed.value)) {
        return false;
    }
    version = parsed;
    return true;
}

static void serveConfiguration(const ExchangePtr &exchange, ConfigurationManager &configurationManager)
{
    const HttpRequest &request = exchange->request();
    if (request.method == "GET") {
        const Configuration &inForce = configurationManager.inForce();
        return exchange->reply(200, {{"Content-Type", "text/plain; charset=utf-8"}, {"ETag", quoted(inForce.version)}}, configurationText(inForce));
    }
    std::optional<ConfigurationVersion> ifMatch;
    if (request.method != "PUT") {
        return replyProblem(exchange, {405, "", "expected GET or PUT"});
    }
    if (!readIfMatch(request, ifMatch)) {
        return replyProblem(exchange, {400, "", "expected If-Match with a version in quotes"});
    }
    const bool isDryRun = queryParameter(request.query, "dry-run").has_value();
    configurationManager.apply(request.body, ifMatch, isDryRun, [exchange](const ApplyResult &result) {
        replyApply(exchange, result);
    });
}

static void serveHistory(const ExchangePtr &exchange, ConfigurationManager &configurationManager)
{
    int limit = defaultHistoryLimit;
    const std::optional<std::string> wanted = queryParameter(exchange->request().query, "limit");
    if (wanted && (!parseNumber(*wanted, limit) || limit < 1 || limit > 1000)) {
        return replyProblem(exchange, {400, "", "expected limit from 1 to 1000"});
    }
    configurationManager.history(limit, [exchange](StoreStatus status, const std::vector<HistoryEntry> &entries) {
        if (status != StoreStatus::Ok) {
            return replyProblem(exchange, {503, "", "the platform's store is away", Outcome::NotRun, 2});
        }
        json list = json::array();
        for (const HistoryEntry &entry : entries) {
            list.push_back(
                {{"version", entry.version.value}, {"digest", entry.digest}, {"entry", entry.entry}, {"time", entry.time}, {"changes", entry.changes}});
        }
        exchange->reply(200, jsonHeaders, json{{"history", list}}.dump());
    });
}

void addConfigurationPaths(OperatorServer &server, ConfigurationManager &configurationManager)
{
    server.addPath("/configuration", [&configurationManager](const ExchangePtr &exchange) {
        serveConfiguration(exchange, configurationManager);
    });
    server.addPath("/configuration/history", [&configurationManager](const ExchangePtr &exchange) {
        serveHistory(exchange, configurationManager);
    });
}

// [SECTION] Report

/// Reads a query parameter with an hour such as 2026-12-03T14 (UTC) or a day; `fallback` if there is none. Returns false if
/// malformed.
static bool readHour(const HttpRequest &request, const char *name, std::int64_t fallback, std::int64_t &hour)
{
    const std::optional<std::string> text = queryParameter(request.query, name);
    hour = fallback;
    if (!text) {
        return true;
    }
    absl::Time time;
    std::string error;
    const std::string format = text->find('T') == std::string::npos ? "%Y-%m-%d" : "%Y-%m-%dT%H";
    if (!absl::ParseTime(format, *text, &time, &error)) {
        return false;
    }
    hour = absl::ToUnixSeconds(time) / 3600;
    return true;
}

static json toJson(const UsageLine &line)
{
    json seconds = json::object();
    for (const auto &[kind, micros] : line.counters.acceleratorMicros) {
        seconds[kind] = static_cast<double>(micros) / 1e6;
    }
    return {{"name", line.name},
            {"answered", line.counters.answered},
            {"refused", line.counters.refused},
            {"unknown", line.counters.unknown},
            {"worth", line.counters.worth},
            {"promptTokens", line.counters.promptTokens},
            {"completionTokens", line.counters.completionTokens},
            {"acceleratorSeconds", seconds},
            {"cost", line.cost}};
}

static void serveReport(const ExchangePtr &exchange, UsageRecorder &usageRecorder, const ConfigurationManager &configurationManager)
{
    const HttpRequest &request = exchange->request();
    std::int64_t from = 0;
    std::int64_t to = 0;
    UsageGrouping grouping = UsageGrouping::Workspace;
    const std::string by = queryParameter(request.query, "by").value_or("workspace");
    const bool isRead =
        readHour(request, "from", usageRecorder.currentHour() - 23, from) && readHour(request, "to", usageRecorder.currentHour() + 1, to) && from < to;
    if (!isRead || !parseGrouping(by, grouping)) {
        return replyProblem(exchange,
                            {400, "", "expected from and to as 2026-12-03 or 2026-12-03T14 (UTC, to after from), and by as workspace, service or model"});
    }
    usageRecorder.read(from, to, [exchange, grouping, by, from, to, &configurationManager](StoreStatus status, const UsageLedger &ledger) {
        if (status != StoreStatus::Ok) {
            return replyProblem(exchange, {503, "", "the platform's store is away", Outcome::NotRun, 2});
        }
        std::map<std::string, double> prices;
        for (const auto &[name, targetClass] : configurationManager.inForce().targetClasses) {
            prices[targetClass.accelerator] = targetClass.pricePerHour;
        }
        json lines = json::array();
        for (const UsageLine &line : summarize(ledger, grouping, prices)) {
            lines.push_back(toJson(line));
        }
        exchange->reply(200, jsonHeaders, json{{"by", by}, {"fromHour", from}, {"toHour", to}, {"lines", lines}}.dump());
    });
}

void addReportPath(OperatorServer &server, UsageRecorder &usageRecorder, const ConfigurationManager &configurationManager)
{
    server.addPath("/report", [&usageRecorder, &configurationManager](const ExchangePtr &exchange) {
        serveReport(exchange, usageRecorder, configurationManager);
    });
}

// [SECTION] Status

static json describeTarget(const TargetView &view)
{
    const Announcement &last = view.last;
    json item = {{"id", last.target.value},
                 {"kind", last.kind == TargetKind::Engine ? "engine" : "application"},
                 {"dataCenter", last.dataCenter},
                 {"state", view.isTimedOut ? "Silent" : toString(last.state)},
                 {"isLeaving", view.isLeaving},
                 {"configuration", last.configuration.value},
                 {"streams", last.streams},
                 {"queued", last.queued},
                 {"stepMicros", last.stepMicros},
                 {"openHere", view.localOpenCount},
                 {"failuresInRow", view.consecutiveFailures}};
    if (last.kind == TargetKind::Application) {
        item["service"] = last.service.value;
        return item;
    }
    item["model"] = last.model.value;
    item["version"] = last.version;
    item["layers"] = std::to_string(last.layerBegin) + "-" + std::to_string(last.layerEnd);
    item["kvUsed"] = last.kvUsed;
    item["kvCapacity"] = last.kvCapacity;
    return item;
}

/// Number of engines that accept new work, by model and layer range.
static json describeCoverage(const std::vector<const TargetView *> &views, TimePoint now)
{
    json coverage = json::object();
    for (const TargetView *view : views) {
        const Announcement &last = view->last;
        if (last.kind != TargetKind::Engine || last.model.isEmpty()) {
            continue;
        }
        const std::string range = std::to_string(last.layerBegin) + "-" + std::to_string(last.layerEnd);
        json &holders = coverage[last.model.value + "@" + last.version][range];
        holders = (holders.is_null() ? 0 : holders.get<int>()) + (acceptsNewWork(*view, now) ? 1 : 0);
    }
    return coverage;
}

json describeSystem(const EntryContext &context, const ConfigurationManager &configurationManager, const Peers &peers, const Targets &targets)
{
    const Configuration &inForce = configurationManager.inForce();
    json entries = json::array();
    json stragglers = json::array();
    entries.push_back({{"id", context.settings.id},
                       {"dataCenter", context.settings.dataCenter},
                       {"state", context.isDraining ? "Draining" : "Ready"},
                       {"configuration", inForce.version.value}});
    for (const auto &[id, view] : peers.views()) {
        entries.push_back({{"id", id.value},
                           {"dataCenter", view.last.dataCenter},
                           {"state", view.isTimedOut ? "Silent" : toString(view.last.state)},
                           {"configuration", view.last.configuration.value}});
        if (!view.isTimedOut && view.last.configuration < inForce.version) {
            stragglers.push_back(id.value);
        }
    }
    json list = json::array();
    const std::vector<const TargetView *> views = targets.views();
    for (const TargetView *view : views) {
        list.push_back(describeTarget(*view));
        if (!view->isTimedOut && view->last.configuration < inForce.version) {
            stragglers.push_back(view->last.target.value);
        }
    }
    return {{"configuration", {{"version", inForce.version.value}, {"digest", inForce.digest}, {"isTrusted", configurationManager.isTrusted()}}},
            {"entries", entries},
            {"targets", list},
            {"stragglers", stragglers},
            {"coverage", describeCoverage(views, context.clock.now())}};
}

} // namespace Parsleytrail
