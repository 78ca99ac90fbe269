// parsleyctl explain: prints a relay's explanation of where a request would go.
#include "base/text.h"
#include "ctl/commands.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>

namespace Parsleytrail
{

using nlohmann::json;

static std::string percentEncoded(const std::string &text)
{
    const std::unique_ptr<char, decltype(&std::free)> encoded(evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
    return encoded.get();
}

static std::string explainPath(const ExplainOptions &options)
{
    std::string path = "/explain?host=" + percentEncoded(options.host) + "&path=" + percentEncoded(options.path);
    path += options.workspace.empty() ? "" : "&workspace=" + percentEncoded(options.workspace);
    path += options.prompt.empty() ? "" : "&prompt=" + percentEncoded(options.prompt);
    path += options.answer.empty() ? "" : "&answer=" + percentEncoded(options.answer);
    return path;
}

static std::string numberText(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

/// "0-39" for the half-open range [0, 40).
static std::string layersText(const json &layers)
{
    const int from = layers.at(0);
    const int to = layers.at(1);
    return to > from ? std::to_string(from) + "-" + std::to_string(to - 1) : "none";
}

/// The terms that are not zero.
static std::string termsText(const json &terms)
{
    static constexpr std::pair<const char *, const char *> names[] = {{"steps", "steps"},
                                                                      {"kvPressure", "KV pressure"},
                                                                      {"avoidedByPeers", "avoided by peers"},
                                                                      {"hops", "hops"},
                                                                      {"remoteStart", "start in another data centre"},
                                                                      {"backlog", "backlog of prompts"}};
    std::vector<std::string> parts;
    for (const auto &[key, name] : names) {
        if (const double value = terms.value(key, 0.0); value != 0) {
            parts.push_back(std::string(name) + " " + numberText(value));
        }
    }
    return joined(parts, " + ");
}

static void printChains(const json &body)
{
    std::cout << "best chain of each data centre (* is selected):\n";
    for (const json &chain : body.at("chains")) {
        const bool isSelected = chain == body.at("selected");
        std::cout << (isSelected ? "* " : "  ") << chain.value("dataCenter", "") << "  cost " << numberText(chain.value("costMs", 0.0))
                  << " ms = " << termsText(chain.at("costTermsMs"));
        if (chain.at("firstEventMs").is_number()) {
            std::cout << "; first event after " << numberText(chain.value("firstEventMs", 0.0)) << " ms";
        }
        std::cout << '\n';
        for (const json &stage : chain.at("engines")) {
            std::cout << "    " << std::left << std::setw(20) << stage.value("engine", "") << std::setw(14) << stage.value("dataCenter", "") << "layers "
                      << std::setw(10) << layersText(stage.at("layers")) << "backlog " << numberText(stage.value("backlogMs", 0.0)) << " ms\n";
        }
    }
    if (body.at("chains").empty()) {
        std::cout << "  none\n";
    }
}

static void printExcluded(const json &excluded)
{
    std::cout << "engines that are not usable:\n";
    for (const json &engine : excluded) {
        std::cout << "  " << std::left << std::setw(22) << engine.value("engine", "") << std::setw(14) << engine.value("dataCenter", "") << "layers "
                  << std::setw(10) << layersText(engine.at("layers")) << engine.value("reason", "");
        if (const std::int64_t left = engine.value("timeLeftMs", std::int64_t{0}); left > 0) {
            std::cout << ", " << left << " ms left";
        }
        if (engine.value("isOnlyAsFirst", false)) {
            std::cout << " (as first engine only; open " << engine.value("openRequests", 0) << ", slots " << engine.value("slots", 0) << ")";
        }
        std::cout << '\n';
    }
    if (excluded.empty()) {
        std::cout << "  none\n";
    }
}

/// A forecast of the first event; null if there is no chain.
static std::string forecastText(const json &forecast)
{
    return forecast.is_number() ? numberText(forecast.get<double>()) + " ms" : "no chain";
}

static void printChoice(const json &choice)
{
    std::cout << "choice of the data centre: " << choice.value("reason", "") << "; first event local " << forecastText(choice.at("localFirstEventMs"));
    for (const json &other : choice.at("others")) {
        std::cout << ", " << other.value("dataCenter", "") << ' ' << forecastText(other.at("firstEventMs"));
    }
    if (choice.at("timeLeftMs").is_number()) {
        std::cout << "; wanted within " << numberText(choice.value("timeLeftMs", 0.0)) << " ms";
    }
    std::cout << "; share that leaves " << numberText(100 * choice.value("share", 0.0)) << " %\n";
}

static void printStream(const json &body)
{
    const json &demand = body.at("demand");
    std::cout << "size: prompt " << numberText(demand.value("promptTokens", 0.0)) << " tokens, answer " << numberText(demand.value("answerTokens", 0.0))
              << " tokens\n";
    if (const auto choice = body.find("choice"); choice != body.end() && choice->is_object()) {
        printChoice(*choice);
    }
    printChains(body);
    printExcluded(body.at("excluded"));
    std::cout << "free capacity:\n";
    for (const json &capacity : body.at("freeCapacity")) {
        std::cout << "  " << std::left << std::setw(14) << capacity.value("dataCenter", "") << "engines " << capacity.value("usableEngines", 0)
                  << ", free slots " << capacity.value("freeSlots", 0) << ", streams that fit " << capacity.value("streamsThatFit", 0) << " (layer "
                  << capacity.value("bottleneckLayer", 0) << ")\n";
    }
}

static void printTargets(const json &targets)
{
    std::cout << "targets:\n";
    for (const json &target : targets) {
        std::cout << "  " << std::left << std::setw(22) << target.value("target", "") << std::setw(14) << target.value("dataCenter", "") << "use "
                  << std::setw(13) << target.value("use", "") << "open " << target.value("openRequests", 0) << ", slots " << target.value("slots", 0);
        if (const double limit = target.value("limitPerSecond", 0.0); limit > 0) {
            std::cout << ", limit " << numberText(limit) << "/s, wanted " << numberText(target.value("wantedPerSecond", 0.0)) << "/s";
        }
        const std::string reason = target.value("reason", "");
        std::cout << (reason.empty() ? "" : ", " + reason) << '\n';
    }
}

static void printLimits(const json &limits)
{
    const json &retries = limits.at("retryBudget");
    const int openLimit = limits.value("openRequestsLimit", 0);
    std::cout << "limits: retries " << numberText(retries.value("available", 0.0)) << " of " << numberText(retries.value("burst", 0.0)) << "; open requests "
              << limits.value("openRequests", 0) << " of " << (openLimit > 0 ? std::to_string(openLimit) : "any number");
    if (limits.contains("crossDataCenter")) {
        const json &link = limits["crossDataCenter"];
        std::cout << "; chains across data centres "
                  << (!link.value("isLimited", false)  ? "not limited"
                      : link.value("hasBudget", false) ? "within their budget"
                                                       : "over their budget");
    }
    std::cout << (limits.value("isDraining", false) ? "; the relay is draining" : "") << '\n';
}

static void printExplanation(const json &body)
{
    const json &route = body.at("route");
    std::cout << "route " << route.value("name", "") << " (" << route.value("host", "") << route.value("prefix", "") << "), " << route.value("kind", "")
              << "; service " << (body.at("service").is_string() ? body.value("service", "") : "none") << "; priority " << body.value("priority", 0)
              << "; configuration " << body.value("configurationVersion", std::uint64_t{0}) << "; relay in " << body.value("dataCenter", "") << '\n';
    std::cout << "outcome: " << body.value("outcome", "") << (body.contains("reason") ? ", " + body.value("reason", "") : "") << '\n';
    if (body.contains("queue") && body.value("outcome", "") != "sent") {
        std::cout << "queue: " << (body["queue"]["wouldHold"].is_null() ? "holds it if room is forecast in time" : "would not hold it") << '\n';
    }
    if (body.contains("chains")) {
        printStream(body);
    }
    if (body.contains("targets")) {
        printTargets(body["targets"]);
    }
    if (body.contains("limits")) {
        printLimits(body["limits"]);
    }
}

static int reportRefusal(const json &body)
{
    std::cerr << "refused: " << body.value("error", "") << '\n';
    if (body.contains("prefixesOfHost")) {
        std::cerr << "  paths with a route on this host: " << joined(body.value("prefixesOfHost", std::vector<std::string>()), ", ") << '\n';
    }
    return ExitRefused;
}

int runExplain(const CtlOptions &options)
{
    OperatorEndpoint relay;
    relay.address = options.explain.relay;
    const HttpResult result = sendOperatorRequest(relay, "GET", explainPath(options.explain));
    if (result.failure) {
        std::cerr << "unreachable: " << result.failure->error.toString() << '\n';
        return ExitUnreachable;
    }
    const json body = json::parse(result.body, nullptr, false);
    if (!body.is_object()) {
        std::cerr << "the relay's response (status " << result.status << ") is not a JSON object\n";
        return ExitUnreachable;
    }
    if (options.isJson) {
        std::cout << body.dump(2) << '\n';
        return result.isOk() ? ExitDone : ExitRefused;
    }
    if (!result.isOk()) {
        return reportRefusal(body);
    }
    try {
        printExplanation(body);
    } catch (const json::exception &error) {
        std::cerr << "the relay's response has another form than expected: " << error.what() << '\n';
        return ExitUnreachable;
    }
    return ExitDone;
}

} // namespace Parsleytrail
