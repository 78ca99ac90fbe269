#include "relay/forwarded_request.h"

#include "base/log.h"
#include "base/text.h"
#include "relay/request_inputs.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace Parsleytrail
{

static std::string millisecondsText(TimePoint from, TimePoint to)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(to - from).count());
}

static std::string versionText(const ForwardedRequest &request)
{
    return std::to_string(request.routes->version.value);
}

/// Whether a field of the caller's request is dropped, because the relay sets it or targets must not see it.
static bool isRelayField(const HeaderNames &names, std::string_view name)
{
    const std::string_view relayFields[] = {names.deadline,  names.workspace, names.expectedTarget, names.chain, names.requestPriority,
                                            "Authorization", "Expect"};
    return std::any_of(std::begin(relayFields), std::end(relayFields), [name](std::string_view field) {
        return equalsIgnoringCase(field, name);
    });
}

static void appendField(std::string &bytes, std::string_view name, std::string_view value)
{
    bytes.append(name);
    bytes += ": ";
    bytes.append(value);
    bytes += "\r\n";
}

std::string serializeRequest(const RelayContext &context, const ForwardedRequest &request, const TargetId &target, const std::vector<AddedField> &added)
{
    const HeaderNames &names = context.adapter.headers();
    const HttpHead &head = request.exchange->head();
    const std::string &body = request.exchange->body();
    std::string bytes;
    bytes.reserve(head.text.size() + body.size() + 512);
    absl::StrAppend(&bytes, std::string(head.method), " ", std::string(head.target), " HTTP/1.1\r\n");
    for (const HeadField &field : head.fields) {
        const bool isReplaced = std::any_of(added.begin(), added.end(), [&](const AddedField &other) {
            return equalsIgnoringCase(other.name, field.name);
        });
        if (!isConnectionField(head, field.name) && !isRelayField(names, field.name) && !isReplaced) {
            appendField(bytes, field.name, field.value);
        }
    }
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(request.deadline - context.clock.now());
    appendField(bytes, names.deadline, std::to_string(std::max<std::int64_t>(timeLeft.count(), 1)));
    appendField(bytes, names.expectedTarget, target.value);
    if (!request.workspace.isEmpty()) {
        appendField(bytes, names.workspace, request.workspace.value);
    }
    for (const AddedField &field : added) {
        appendField(bytes, field.name, field.value);
    }
    if (head.has("Content-Length") || head.has("Transfer-Encoding")) {
        appendField(bytes, "Content-Length", std::to_string(body.size()));
    }
    bytes += "\r\n";
    bytes += body;
    return bytes;
}

milliseconds clampedRetryAfter(milliseconds wanted, milliseconds timeLeft)
{
    constexpr double usableShare = 0.3; // callers wait for up to a third of their remaining time
    const milliseconds maxRetryAfter{static_cast<std::int64_t>(static_cast<double>(timeLeft.count()) * usableShare)};
    return std::clamp(wanted, milliseconds(1), std::max(maxRetryAfter, milliseconds(1)));
}

void refuseRequest(RelayContext &context, const ForwardedRequest &request, const Refusal &refusal, int attempts)
{
    ++context.metrics.refused;
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(request.deadline - context.clock.now());
    const milliseconds retryAfter = refusal.isLasting ? refusal.retryAfter : clampedRetryAfter(refusal.retryAfter, timeLeft);
    const double seconds = static_cast<double>(retryAfter.count()) / 1000;
    logEvent(Event::RequestRefused, {{"id", request.attemptId},
                                     {"route", request.route->name},
                                     {"workspace", request.workspace.value},
                                     {"reason", std::string(refusal.reason)},
                                     {"attempts", std::to_string(attempts)},
                                     {"retry_after_ms", std::to_string(retryAfter.count())},
                                     {"held_ms", millisecondsText(request.exchange->receivedAt(), context.clock.now())},
                                     {"inputs", refusal.inputs},
                                     {"configuration", versionText(request)}});
    request.exchange->reply(503, {{"Retry-After", absl::StrCat(seconds)}}, refusal.reason);
}

void failRequest(RelayContext &context, const ForwardedRequest &request, std::string_view reason, std::string_view target, int attempts)
{
    ++context.metrics.failed;
    const TimePoint now = context.clock.now();
    const bool isDeadlineOver = now >= request.deadline;
    const int status = request.exchange->isBegun() ? 0 : isDeadlineOver ? 504 : 502;
    logEvent(Event::RequestFailed, {{"id", request.attemptId},
                                    {"route", request.route->name},
                                    {"workspace", request.workspace.value},
                                    {"reason", std::string(reason)},
                                    {"target", std::string(target)},
                                    {"attempts", std::to_string(attempts)},
                                    {"status", status == 0 ? "cut" : std::to_string(status)},
                                    {"total_ms", millisecondsText(request.exchange->receivedAt(), now)},
                                    {"input", inputText(request)},
                                    {"configuration", versionText(request)}});
    if (status == 0) {
        request.exchange->abort();
    } else {
        request.exchange->reply(status, {}, reason);
    }
}

void recordServed(RelayContext &context, const ForwardedRequest &request, const ServedResponse &response)
{
    ++context.metrics.served;
    context.metrics.servedUntilClose += response.framing == BodyFraming::UntilClose ? 1 : 0;
    const TimePoint receivedAt = request.exchange->receivedAt();
    context.metrics.firstByte.record(std::chrono::duration<double>(response.firstByteAt - receivedAt).count());
    logEvent(Event::RequestServed, {{"id", request.attemptId},
                                    {"route", request.route->name},
                                    {"priority", std::to_string(request.priority)},
                                    {"workspace", request.workspace.value},
                                    {"target", response.target},
                                    {"status", std::to_string(response.status)},
                                    {"attempts", std::to_string(response.attempts)},
                                    {"first_ms", millisecondsText(receivedAt, response.firstByteAt)},
                                    {"gap_ms", std::to_string(response.longestGap.count())},
                                    {"framing", toString(response.framing)},
                                    {"left_bytes", std::to_string(response.leftBytes)},
                                    {"total_ms", millisecondsText(receivedAt, context.clock.now())},
                                    {"configuration", versionText(request)}});
}

void recordCallerDisconnected(RelayContext &context, const ForwardedRequest &request, int attempts)
{
    ++context.metrics.callersDisconnected;
    logEvent(Event::CallerGone, {{"id", request.attemptId},
                                 {"route", request.route->name},
                                 {"attempts", std::to_string(attempts)},
                                 {"after_ms", millisecondsText(request.exchange->receivedAt(), context.clock.now())}});
}

void recordRetry(RelayContext &context, const ForwardedRequest &request, std::string_view reason, std::string_view target, int attempts)
{
    ++context.metrics.retries;
    logEvent(Event::RequestRetried, {{"id", request.attemptId},
                                     {"reason", std::string(reason)},
                                     {"target", std::string(target)},
                                     {"attempts", std::to_string(attempts)},
                                     {"input", inputText(request)},
                                     {"after_ms", millisecondsText(request.exchange->receivedAt(), context.clock.now())}});
}

bool reportsNotExecuted(const HeaderNames &names, const HttpHead &head)
{
    return head.status == 421 || (head.status >= 400 && head.has(names.notExecuted));
}

bool isAuthenticResponse(const HeaderNames &names, const HttpHead &head, const std::string &attemptId)
{
    return head.find(names.attemptId) == attemptId && head.has(names.seal) && !head.has("Content-Encoding");
}

double parseRequestLimit(std::string_view text)
{
    double limit = 0;
    const bool isNumber = parseNumber(trimmed(text), limit);
    return isNumber && std::isfinite(limit) ? std::max(limit, 0.0) : 0;
}

milliseconds parseRetryAfter(std::string_view text)
{
    constexpr double maxSeconds = 1e6; // far above any use, and can't overflow milliseconds
    double seconds = 0;
    const bool isNumber = parseNumber(trimmed(text), seconds);
    const bool isPositive = isNumber && seconds > 0; // false for NaN too
    return isPositive ? milliseconds(static_cast<std::int64_t>(std::ceil(std::min(seconds, maxSeconds) * 1000))) : milliseconds(0);
}

bool guaranteesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace Parsleytrail
