// Index: [SECTION] Events, [SECTION] Streams, [SECTION] Calls, [SECTION] Leaving and stopping, [SECTION] Configuration
#include "bench/history_checker.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace Parsleytrail
{

using nlohmann::json;

// [SECTION] Events

const char *toString(Guarantee guarantee)
{
    switch (guarantee) {
    case Guarantee::LayersOnceInOrder:
        return "every layer once, in order";
    case Guarantee::OwnCompleteResponse:
        return "the whole answer to its own caller";
    case Guarantee::NotRunIsReliable:
        return "not-run is true";
    case Guarantee::AtMostOnce:
        return "at most once";
    case Guarantee::NoWorkWhenLeaving:
        return "no new work when leaving";
    case Guarantee::GracefulStop:
        return "a graceful stop cuts nothing";
    case Guarantee::NewestConfiguration:
        return "never an older configuration";
    }
    return "?";
}

namespace
{

/// Collects the violations found in one run.
struct ViolationCollector {
    std::vector<Violation> violations;

    void addViolation(Guarantee guarantee, const std::string &text, const json &event)
    {
        violations.push_back({guarantee, text, event.dump()});
    }
};

/// Value of a string field; empty if there is none.
std::string text(const json &event, const char *name)
{
    const auto it = event.find(name);
    return it != event.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Value of a number field; 0 if there is none.
std::uint64_t number(const json &event, const char *name)
{
    const auto it = event.find(name);
    return it != event.end() && it->is_number() ? it->get<std::uint64_t>() : 0;
}

bool isKind(const json &event, const char *kind)
{
    return text(event, "event") == kind;
}

// [SECTION] Streams

/// Checks that the positions applied by each stage, and by each engine, follow each other without gap or overlap. An engine
/// may restart a stream, from position 0.
void checkLayers(const std::vector<json> &events, ViolationCollector &collector)
{
    std::map<std::string, std::uint64_t> next;
    for (const json &event : events) {
        const bool isStage = isKind(event, "applied");
        const bool isEngine = isKind(event, "engine-step");
        if (!isStage && !isEngine) {
            continue;
        }
        const std::string source =
            isStage ? text(event, "process") + "/" + std::to_string(number(event, "incarnation")) + "/" + std::to_string(number(event, "generation"))
                    : "engine " + text(event, "engine");
        std::uint64_t &expected = next[source + "/" + text(event, isStage ? "request" : "stream")];
        const std::uint64_t position = number(event, "position");
        const bool restarts = position == 0 && isEngine;
        if (position != expected && !restarts) {
            collector.addViolation(Guarantee::LayersOnceInOrder, "position " + std::to_string(position) + " where " + std::to_string(expected) + " is next",
                                   event);
        }
        expected = position + number(event, "positions");
    }
}

/// Checks that an entry emits each token of a request once and in order, and that callers receive the expected response.
void checkAnswers(const std::vector<json> &events, ViolationCollector &collector)
{
    std::map<std::string, std::uint64_t> nextToken;
    for (const json &event : events) {
        if (isKind(event, "token")) {
            std::uint64_t &expected = nextToken[text(event, "process") + "/" + text(event, "request")];
            if (number(event, "index") != expected) {
                collector.addViolation(Guarantee::OwnCompleteResponse,
                                       "token " + std::to_string(number(event, "index")) + " where " + std::to_string(expected) + " is next", event);
            }
            expected = number(event, "index") + 1;
        }
        if (isKind(event, "caller-answer") && text(event, "text") != text(event, "expected")) {
            collector.addViolation(Guarantee::OwnCompleteResponse, "not the answer to this request", event);
        }
    }
}

// [SECTION] Calls

/// Checks that no request reported as not run was applied by a stage or run by the application.
void checkNotRun(const std::vector<json> &events, ViolationCollector &collector)
{
    std::set<std::string> ran;
    std::set<std::string> booked;
    for (const json &event : events) {
        if (isKind(event, "applied")) {
            ran.insert(text(event, "request"));
        }
        if (isKind(event, "booked")) {
            booked.insert(text(event, "reference"));
        }
    }
    // A caller may retry a reference after not-run. A booking therefore contradicts not-run only if every outcome that was
    // reported for the reference is not-run.
    std::map<std::string, std::vector<const json *>> outcomesByReference;
    for (const json &event : events) {
        const bool isNotRun = text(event, "outcome") == "not-run";
        if (isKind(event, "stream-ended") && isNotRun && ran.count(text(event, "request"))) {
            collector.addViolation(Guarantee::NotRunIsReliable, "a stage had applied it", event);
        }
        if (isKind(event, "caller-outcome")) {
            outcomesByReference[text(event, "reference")].push_back(&event);
        }
    }
    for (const auto &[reference, outcomes] : outcomesByReference) {
        const bool isAlwaysNotRun = std::all_of(outcomes.begin(), outcomes.end(), [](const json *event) {
            return text(*event, "outcome") == "not-run";
        });
        if (isAlwaysNotRun && booked.count(reference)) {
            collector.addViolation(Guarantee::NotRunIsReliable, "the application had run it", *outcomes.back());
        }
    }
}

/// Checks that sidecars hand no non-idempotent request over to an application twice, and that the application books no
/// reference twice.
void checkAtMostOnce(const std::vector<json> &events, ViolationCollector &collector)
{
    std::map<std::string, int> handedOver;
    std::map<std::string, int> booked;
    for (const json &event : events) {
        if (isKind(event, "handed-over") && number(event, "nonIdempotent") == 1 && ++handedOver[text(event, "request")] > 1) {
            collector.addViolation(Guarantee::AtMostOnce, "handed over a second time", event);
        }
        if (isKind(event, "booked") && ++booked[text(event, "reference")] > 1) {
            collector.addViolation(Guarantee::AtMostOnce, "booked a second time", event);
        }
    }
}

// [SECTION] Leaving and stopping

/// Checks that a target opens no new work later than leavingGraceMicros after it was asked to leave, until it restarts.
void checkLeaving(const std::vector<json> &events, ViolationCollector &collector)
{
    std::map<std::string, std::uint64_t> leftAt;
    for (const json &event : events) {
        if (isKind(event, "left")) {
            leftAt[text(event, "target")] = number(event, "at");
        }
        if (isKind(event, "started")) {
            leftAt.erase(text(event, "process"));
        }
        if (!isKind(event, "opened")) {
            continue;
        }
        const auto left = leftAt.find(text(event, "process"));
        if (left != leftAt.end() && number(event, "at") > left->second + leavingGraceMicros) {
            collector.addViolation(Guarantee::NoWorkWhenLeaving, "new work after it was asked to leave", event);
        }
    }
}

/// Checks that no request was still open when a process reported the end of its drain.
void checkStops(const std::vector<json> &events, ViolationCollector &collector)
{
    for (const json &event : events) {
        if (isKind(event, "drained") && number(event, "open") > 0) {
            collector.addViolation(Guarantee::GracefulStop, "ended with open requests", event);
        }
    }
}

// [SECTION] Configuration

/// Checks that the version in force grows within each process, and that a version has the same digest in all of them.
void checkConfiguration(const std::vector<json> &events, ViolationCollector &collector)
{
    std::map<std::string, std::uint64_t> inForce;
    std::map<std::uint64_t, std::string> digests;
    for (const json &event : events) {
        if (!isKind(event, "configuration")) {
            continue;
        }
        const std::uint64_t version = number(event, "version");
        std::uint64_t &previousVersion = inForce[text(event, "process") + "/" + std::to_string(number(event, "incarnation"))];
        if (version <= previousVersion) {
            collector.addViolation(Guarantee::NewestConfiguration, "version " + std::to_string(version) + " after " + std::to_string(previousVersion), event);
        }
        previousVersion = version;
        const std::string digest = text(event, "digest");
        if (digest.empty()) {
            continue; // sidecars hold only some sections and record no digest
        }
        const auto [known, isNew] = digests.emplace(version, digest);
        if (!isNew && known->second != digest) {
            collector.addViolation(Guarantee::NewestConfiguration, "another file under the same version", event);
        }
    }
}

} // namespace

std::vector<Violation> checkHistory(const std::vector<std::string> &lines)
{
    std::vector<json> events;
    events.reserve(lines.size());
    for (const std::string &line : lines) {
        json event = json::parse(line, nullptr, false);
        if (event.is_object()) {
            events.push_back(std::move(event));
        }
    }
    ViolationCollector collector;
    checkLayers(events, collector);
    checkAnswers(events, collector);
    checkNotRun(events, collector);
    checkAtMostOnce(events, collector);
    checkLeaving(events, collector);
    checkStops(events, collector);
    checkConfiguration(events, collector);
    return std::move(collector.violations);
}

} // namespace Parsleytrail
