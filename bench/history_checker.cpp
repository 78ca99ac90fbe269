// Index: [SECTION] Events, [SECTION] Streams, [SECTION] Calls, [SECTION] Leaving and stopping, [SECTION] Configuration
#include "bench/history_checker.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace Parsleytrail
{

using nlohmann::json;

// [SECTION] Events

const char *toString(Promise promise)
{
    switch (promise) {
    case Promise::LayersOnceInOrder:
        return "every layer once, in order";
    case Promise::OwnWholeAnswer:
        return "the whole answer to its own caller";
    case Promise::NotRunIsTrue:
        return "not-run is true";
    case Promise::AtMostOnce:
        return "at most once";
    case Promise::NoWorkWhenLeaving:
        return "no new work when leaving";
    case Promise::GracefulStop:
        return "a graceful stop cuts nothing";
    case Promise::NewestConfiguration:
        return "never an older configuration";
    }
    return "?";
}

namespace
{

/// One run being judged.
struct Judge {
    std::vector<Violation> violations;

    void violate(Promise promise, const std::string &text, const json &event)
    {
        violations.push_back({promise, text, event.dump()});
    }
};

std::string text(const json &event, const char *name)
{
    const auto it = event.find(name);
    return it != event.end() && it->is_string() ? it->get<std::string>() : std::string();
}

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

/// Each stage's applied positions, and each engine's, follow each other without gap or overlap; an engine may start a
/// stream over, which it does at position 0.
void checkLayers(const std::vector<json> &events, Judge &judge)
{
    std::map<std::string, std::uint64_t> next;
    for (const json &event : events) {
        const bool isStage = isKind(event, "applied");
        const bool isEngine = isKind(event, "engine-step");
        if (!isStage && !isEngine) {
            continue;
        }
        const std::string who =
            isStage ? text(event, "process") + "/" + std::to_string(number(event, "incarnation")) + "/" + std::to_string(number(event, "generation"))
                    : "engine " + text(event, "engine");
        std::uint64_t &expected = next[who + "/" + text(event, isStage ? "request" : "stream")];
        const std::uint64_t position = number(event, "position");
        const bool startsOver = position == 0 && isEngine;
        if (position != expected && !startsOver) {
            judge.violate(Promise::LayersOnceInOrder, "position " + std::to_string(position) + " where " + std::to_string(expected) + " is next", event);
        }
        expected = position + number(event, "positions");
    }
}

/// Tokens of a request leave the entry once each, in order; a caller's whole answer is the expected one.
void checkAnswers(const std::vector<json> &events, Judge &judge)
{
    std::map<std::string, std::uint64_t> nextToken;
    for (const json &event : events) {
        if (isKind(event, "token")) {
            std::uint64_t &expected = nextToken[text(event, "process") + "/" + text(event, "request")];
            if (number(event, "index") != expected) {
                judge.violate(Promise::OwnWholeAnswer, "token " + std::to_string(number(event, "index")) + " where " + std::to_string(expected) + " is next",
                              event);
            }
            expected = number(event, "index") + 1;
        }
        if (isKind(event, "caller-answer") && text(event, "text") != text(event, "expected")) {
            judge.violate(Promise::OwnWholeAnswer, "not the answer to this request", event);
        }
    }
}

// [SECTION] Calls

void checkNotRun(const std::vector<json> &events, Judge &judge)
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
    // A reference may be sent again after a not-run, so that only what callers were told last and alone is judged there.
    std::map<std::string, std::vector<const json *>> told;
    for (const json &event : events) {
        const bool isNotRun = text(event, "outcome") == "not-run";
        if (isKind(event, "stream-ended") && isNotRun && ran.count(text(event, "request"))) {
            judge.violate(Promise::NotRunIsTrue, "a stage had applied it", event);
        }
        if (isKind(event, "caller-outcome")) {
            told[text(event, "reference")].push_back(&event);
        }
    }
    for (const auto &[reference, outcomes] : told) {
        const bool isOnlyNotRun = std::all_of(outcomes.begin(), outcomes.end(), [](const json *event) {
            return text(*event, "outcome") == "not-run";
        });
        if (isOnlyNotRun && booked.count(reference)) {
            judge.violate(Promise::NotRunIsTrue, "the application had run it", *outcomes.back());
        }
    }
}

void checkAtMostOnce(const std::vector<json> &events, Judge &judge)
{
    std::map<std::string, int> handedOver;
    std::map<std::string, int> booked;
    for (const json &event : events) {
        if (isKind(event, "handed-over") && number(event, "nonIdempotent") == 1 && ++handedOver[text(event, "request")] > 1) {
            judge.violate(Promise::AtMostOnce, "handed over a second time", event);
        }
        if (isKind(event, "booked") && ++booked[text(event, "reference")] > 1) {
            judge.violate(Promise::AtMostOnce, "booked a second time", event);
        }
    }
}

// [SECTION] Leaving and stopping

void checkLeaving(const std::vector<json> &events, Judge &judge)
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
            judge.violate(Promise::NoWorkWhenLeaving, "new work after it was asked to leave", event);
        }
    }
}

void checkStops(const std::vector<json> &events, Judge &judge)
{
    for (const json &event : events) {
        if (isKind(event, "drained") && number(event, "open") > 0) {
            judge.violate(Promise::GracefulStop, "ended with open requests", event);
        }
    }
}

// [SECTION] Configuration

void checkConfiguration(const std::vector<json> &events, Judge &judge)
{
    std::map<std::string, std::uint64_t> inForce;
    std::map<std::uint64_t, std::string> digests;
    for (const json &event : events) {
        if (!isKind(event, "configuration")) {
            continue;
        }
        const std::uint64_t version = number(event, "version");
        std::uint64_t &before = inForce[text(event, "process") + "/" + std::to_string(number(event, "incarnation"))];
        if (version <= before) {
            judge.violate(Promise::NewestConfiguration, "version " + std::to_string(version) + " after " + std::to_string(before), event);
        }
        before = version;
        const std::string digest = text(event, "digest");
        if (digest.empty()) {
            continue; // sidecars hold a part of it
        }
        const auto [known, isNew] = digests.emplace(version, digest);
        if (!isNew && known->second != digest) {
            judge.violate(Promise::NewestConfiguration, "another file under the same version", event);
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
    Judge judge;
    checkLayers(events, judge);
    checkAnswers(events, judge);
    checkNotRun(events, judge);
    checkAtMostOnce(events, judge);
    checkLeaving(events, judge);
    checkStops(events, judge);
    checkConfiguration(events, judge);
    return std::move(judge.violations);
}

} // namespace Parsleytrail
