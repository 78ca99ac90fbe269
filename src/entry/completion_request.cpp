// Index: [SECTION] Errors, [SECTION] Fields, [SECTION] Requests
#include "entry/completion_request.h"

#include "http/problem.h"

#include <nlohmann/json.hpp>

#include <set>

namespace Parsleytrail
{

using nlohmann::json;

// [SECTION] Errors

std::string completionErrorBody(const CompletionError &error)
{
    const json param = error.param.empty() ? json() : json(error.param);
    const json code = error.code.empty() ? json() : json(error.code);
    const json body = {{"error", {{"message", error.message}, {"type", error.type}, {"param", param}, {"code", code}}},
                       {"parsley-outcome", outcomeText(error.outcome)}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void replyCompletionError(const ExchangePtr &exchange, const CompletionError &error, const std::string &requestId)
{
    HttpHeaders headers = {{"Content-Type", "application/json"}, {"parsley-outcome", outcomeText(error.outcome)}, {"X-Request-Id", requestId}};
    if (error.retryAfterSeconds > 0) {
        headers.push_back({"Retry-After", std::to_string(error.retryAfterSeconds)});
    }
    exchange->reply(error.status, headers, completionErrorBody(error));
}

bool refuse(CompletionError &error, const std::string &param, const std::string &message, const char *code)
{
    error.message = message;
    error.param = param;
    error.code = code;
    return false;
}

// [SECTION] Fields

namespace
{

/// Whether the field is accepted and ignored: labels, and sampling parameters, which have no effect on a deterministic model.
bool isIgnoredField(const std::string &field)
{
    static const std::set<std::string> fields = {"temperature", "top_p", "presence_penalty", "frequency_penalty", "seed", "user", "metadata", "store"};
    return fields.count(field) > 0;
}

/// Reads the content of a message: a string, or a list of text parts, which are joined.
bool readContent(const json &content, std::string &text, CompletionError &error)
{
    if (content.is_string()) {
        text = content.get<std::string>();
        return true;
    }
    if (!content.is_array()) {
        return refuse(error, "messages", "expected content to be a string or a list of text parts");
    }
    for (const json &part : content) {
        if (!part.is_object() || part.value("type", json()) != "text" || !part.contains("text") || !part["text"].is_string()) {
            return refuse(error, "messages", "expected parts of type text; other kinds of content are not supported");
        }
        text += part["text"].get<std::string>();
    }
    return true;
}

bool readMessages(const json &messages, CompletionRequest &request, CompletionError &error)
{
    static const std::set<std::string> roles = {"system", "developer", "user", "assistant"};
    if (!messages.is_array() || messages.empty()) {
        return refuse(error, "messages", "expected a list with at least one message");
    }
    for (const json &message : messages) {
        const bool hasRole = message.is_object() && message.contains("role") && message["role"].is_string();
        if (!hasRole || !roles.count(message["role"].get<std::string>()) || !message.contains("content")) {
            return refuse(error, "messages", "expected each message to have a role (system, developer, user, assistant) and content");
        }
        std::string text;
        if (!readContent(message["content"], text, error)) {
            return false;
        }
        request.sharedMessages.push_back(message["role"].get<std::string>() + ": " + text + "\n");
        request.prompt += request.sharedMessages.back();
    }
    request.sharedMessages.pop_back();
    return true;
}

bool readPrompt(const json &prompt, CompletionRequest &request, CompletionError &error)
{
    const bool isListOfOne = prompt.is_array() && prompt.size() == 1 && prompt[0].is_string();
    if (!prompt.is_string() && !isListOfOne) {
        return refuse(error, "prompt", "expected one string; several prompts and lists of tokens are not supported");
    }
    request.prompt = prompt.is_string() ? prompt.get<std::string>() : prompt[0].get<std::string>();
    return true;
}

bool readCount(const json &value, const std::string &field, std::uint32_t &out, CompletionError &error)
{
    constexpr std::uint64_t maxCount = 65536;
    const bool isCount = value.is_number_unsigned() && value.get<std::uint64_t>() >= 1 && value.get<std::uint64_t>() <= maxCount;
    if (!isCount) {
        return refuse(error, field, "expected a whole number from 1 to 65536");
    }
    out = value.get<std::uint32_t>();
    return true;
}

bool readStreamOptions(const json &options, CompletionRequest &request, CompletionError &error)
{
    if (!options.is_object()) {
        return refuse(error, "stream_options", "expected an object");
    }
    for (const auto &[name, value] : options.items()) {
        if (name != "include_usage" || !value.is_boolean()) {
            return refuse(error, "stream_options", "expected include_usage with true or false");
        }
        request.includeUsage = value.get<bool>();
    }
    return true;
}

/// Checks a field of a feature that is not supported: only a value that does not request the feature is accepted. Refuses unknown
/// fields.
bool checkUnsupportedField(const std::string &field, const json &value, CompletionError &error)
{
    if (field == "n" || field == "best_of") {
        return value == 1 || refuse(error, field, "only one choice is supported", "unsupported_value");
    }
    const bool isNeutral = value.is_null() || value == false || (value.is_array() && value.empty()) || (value.is_object() && value.empty());
    if (field == "response_format") {
        const bool isText = value.is_object() && value.value("type", json()) == "text";
        return isNeutral || isText || refuse(error, field, "only the response format text is supported", "unsupported_value");
    }
    static const std::set<std::string> unsupported = {"stop",          "logprobs",   "top_logprobs", "tools",           "tool_choice", "functions",
                                                      "function_call", "logit_bias", "audio",        "modalities",      "prediction",  "parallel_tool_calls",
                                                      "echo",          "suffix",     "service_tier", "reasoning_effort"};
    if (!unsupported.count(field)) {
        return refuse(error, field, "unrecognized request argument: " + field, "unknown_parameter");
    }
    return isNeutral || refuse(error, field, field + " is not supported", "unsupported_parameter");
}

bool readField(const std::string &field, const json &value, CompletionRequest &request, CompletionError &error)
{
    const bool isChat = request.kind == CompletionKind::Chat;
    if (field == "model") {
        if (!value.is_string()) {
            return refuse(error, field, "expected the name of a model");
        }
        request.service = value.get<std::string>();
        return true;
    }
    if (field == "stream") {
        if (!value.is_boolean() && !value.is_null()) {
            return refuse(error, field, "expected true or false");
        }
        request.isStream = value == true;
        return true;
    }
    if (value.is_null() || isIgnoredField(field)) {
        return true;
    }
    if (field == "messages" && isChat) {
        return readMessages(value, request, error);
    }
    if (field == "prompt" && !isChat) {
        return readPrompt(value, request, error);
    }
    if (field == "max_tokens" || (field == "max_completion_tokens" && isChat)) {
        return readCount(value, field, request.maxTokens, error);
    }
    if (field == "stream_options") {
        return readStreamOptions(value, request, error);
    }
    return checkUnsupportedField(field, value, error);
}

} // namespace

// [SECTION] Requests

bool readCompletionRequest(const std::string &body, CompletionKind kind, CompletionRequest &request, CompletionError &error)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return refuse(error, "", "expected a JSON object as the body");
    }
    request.kind = kind;
    for (const auto &[field, value] : object.items()) {
        if (!readField(field, value, request, error)) {
            return false;
        }
    }
    if (request.service.empty()) {
        return refuse(error, "model", "expected the name of a model");
    }
    const char *input = kind == CompletionKind::Chat ? "messages" : "prompt";
    if (!object.contains(input) || object[input].is_null()) {
        return refuse(error, input, std::string("expected the field ") + input);
    }
    return true;
}

} // namespace Parsleytrail
