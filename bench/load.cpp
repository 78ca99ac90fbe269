// parsley-load: open-loop and closed-loop load generator for entries that compares every response with the reference.
//
// Prints one "name value unit" line for each result.
#include "base/digest.h"
#include "base/metrics.h"
#include "base/text.h"
#include "http/client.h"
#include "stand-ins/process.h"
#include "stand-ins/token_function.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>
#include <random>

ABSL_FLAG(std::vector<std::string>, entries, {}, "caller addresses of the entries, host:port");
ABSL_FLAG(std::string, key, "studio-demo-key", "API key of the workspace");
ABSL_FLAG(std::string, service, "chat", "pipeline service");
ABSL_FLAG(std::string, model, "assistant", "model, for the reference response");
ABSL_FLAG(std::string, model_version, "v1", "version, for the reference response");
ABSL_FLAG(std::string, adapter, "clay", "adapter, for the reference response");
ABSL_FLAG(uint32_t, layers, 32, "layers, for the reference response");
ABSL_FLAG(uint32_t, streams, 0, "closed loop: number of concurrent streams; 0: open loop");
ABSL_FLAG(uint32_t, requests, 0, "closed loop: total number of requests; 0: for --seconds");
ABSL_FLAG(double, rate, 10, "open loop: mean requests per second");
ABSL_FLAG(double, seconds, 10, "open loop, or closed loop without --requests: duration of the run");
ABSL_FLAG(uint32_t, prompt_words, 40, "median number of words in a prompt");
ABSL_FLAG(uint32_t, max_tokens, 32, "maximum tokens per response");
ABSL_FLAG(double, first_token_ms, 300, "latency target for the first token, in milliseconds");
ABSL_FLAG(double, gap_ms, 39, "target for the mean time between tokens of a response, in milliseconds");
ABSL_FLAG(uint64_t, seed, 1, "random seed for prompts and arrival times");
ABSL_FLAG(std::string, direct, "", "host:port of an engine that holds all layers, to be loaded without the router");
ABSL_FLAG(std::string, label, "", "prefix of each result name");

using namespace Parsleytrail;
using nlohmann::json;

static constexpr const char *helpText = R"(parsley-load: load generator for entries that checks every response.

Usage: parsley-load --entries=HOST:PORT,... [--streams=N --requests=N | --rate=R --seconds=S] [--prompt_words=N]
                    [--max_tokens=N] [--seed=N] [--label=TEXT]

Closed loop (--streams): keeps N streams open until --requests requests have ended, or for --seconds without --requests.
Direct (--direct=HOST:PORT --streams=N --requests=N): sends the same streams to one engine, for comparison.
Open loop (--rate): sends requests at random times for --seconds, without waiting for responses.

Prints "name value unit" lines: requests by outcome, wrong responses among them, time to first token, time between
tokens, tokens per second. Exit: 0 if no response was wrong, 1 otherwise, 2 if the addresses are missing or malformed.

Example: parsley-load --entries=127.0.0.1:18001,127.0.0.1:18004 --streams=200 --requests=1000
)";

namespace
{

/// Results of a run.
struct Totals {
    std::uint64_t sent = 0;          ///< requests sent
    std::uint64_t answered = 0;      ///< complete responses equal to the reference
    std::uint64_t wrong = 0;         ///< complete responses that differ from the reference
    std::uint64_t truncated = 0;     ///< responses that ended without [DONE]
    std::uint64_t refused = 0;       ///< responses with a status other than 200, and requests without a response
    std::uint64_t tokens = 0;        ///< events with text
    std::uint64_t withinTargets = 0; ///< answered, with the first token and the mean time between tokens within their targets
    TimeHistogram firstToken;
    TimeHistogram betweenTokens;
    TimeHistogram completeResponse; ///< time from sending to the end of a complete response, correct or wrong
};

/// A request that has not ended.
struct PendingRequest {
    std::string prompt;                             ///< content of the only message
    std::string unparsed;                           ///< received bytes not parsed yet
    std::string text;                               ///< text received so far
    int status = 0;                                 ///< HTTP status; 0 if no response head was received
    bool hasDone = false;                           ///< [DONE] was received
    std::chrono::steady_clock::time_point sentAt{}; ///< when the request was sent
    std::chrono::steady_clock::time_point lastAt{}; ///< when the last token was received
    double firstTokenSeconds = 0;                   ///< time from sending to the first token
    std::uint32_t tokens = 0;                       ///< events with text
};

double secondsSince(std::chrono::steady_clock::time_point from)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
}

/// Generates the load and collects the results.
class Load
{
public:
    Load(EventLoop &loop, std::vector<Address> entries)
        : m_loop(loop)
        , m_client(loop)
        , m_entries(std::move(entries))
        , m_random(absl::GetFlag(FLAGS_seed))
        , m_arrivalTimer(loop, [this] {
            sendNextArrival();
        })
    {
    }

    /// Sends the requests and waits until all have ended, at most 10 minutes.
    void run();
    /// Prints the results; returns the exit status.
    int report() const;

private:
    std::string makePrompt();
    void send();
    void sendNextArrival();
    void handleData(PendingRequest &pending, std::string_view bytes);
    void finish(PendingRequest &pending);

    EventLoop &m_loop;
    HttpClient m_client;
    std::vector<Address> m_entries;
    std::mt19937_64 m_random;
    Timer m_arrivalTimer;
    void sendDirect();
    void stepDirect(const std::shared_ptr<PendingRequest> &pending, std::uint32_t position, std::uint32_t token);

    Totals m_totals;
    std::uint64_t m_open = 0; ///< requests that have not ended
    std::chrono::steady_clock::time_point m_startedAt{};
    double m_seconds = 0;
};

/// Random words of a vocabulary of 10000; their number is log-normally distributed. One prompt in four, on average, starts
/// with a shared prefix.
std::string Load::makePrompt()
{
    std::lognormal_distribution<double> lengths(std::log(absl::GetFlag(FLAGS_prompt_words)), 0.6);
    std::uniform_int_distribution<int> word(0, 9999);
    const auto count = static_cast<std::uint32_t>(std::clamp(lengths(m_random), 1.0, 4000.0));
    std::string prompt = word(m_random) % 4 == 0 ? "You answer questions about clay and wheels." : "";
    for (std::uint32_t i = 0; i < count; ++i) {
        prompt += " w" + std::to_string(word(m_random));
    }
    return prompt;
}

void Load::handleData(PendingRequest &pending, std::string_view bytes)
{
    pending.unparsed.append(bytes);
    std::size_t end = 0;
    while ((end = pending.unparsed.find("\n\n")) != std::string::npos) {
        const std::string event = pending.unparsed.substr(0, end);
        pending.unparsed.erase(0, end + 2);
        if (event == "data: [DONE]") {
            pending.hasDone = true;
            continue;
        }
        const json data = json::parse(event.substr(std::min<std::size_t>(event.size(), 6)), nullptr, false);
        if (!data.is_object() || !data.contains("choices") || data["choices"].empty()) {
            continue;
        }
        const std::string content = data["choices"][0]["delta"].value("content", "");
        if (content.empty()) {
            continue;
        }
        const double seconds = secondsSince(pending.tokens == 0 ? pending.sentAt : pending.lastAt);
        (pending.tokens == 0 ? m_totals.firstToken : m_totals.betweenTokens).record(seconds);
        pending.firstTokenSeconds = pending.tokens == 0 ? seconds : pending.firstTokenSeconds;
        pending.lastAt = std::chrono::steady_clock::now();
        pending.text += content;
        ++pending.tokens;
    }
}

void Load::finish(PendingRequest &pending)
{
    --m_open;
    m_totals.tokens += pending.tokens;
    if (pending.status != 200) {
        ++m_totals.refused;
    } else if (!pending.hasDone) {
        ++m_totals.truncated;
    } else {
        const StandIn::Weights weights{absl::GetFlag(FLAGS_model), absl::GetFlag(FLAGS_model_version), absl::GetFlag(FLAGS_adapter)};
        const auto reference =
            StandIn::referenceAnswer("user: " + pending.prompt + "\n", weights, absl::GetFlag(FLAGS_layers), absl::GetFlag(FLAGS_max_tokens));
        ++(reference.text == pending.text ? m_totals.answered : m_totals.wrong);
        const double gaps = std::max<double>(pending.tokens, 2) - 1;
        const double meanGap = (std::chrono::duration<double>(pending.lastAt - pending.sentAt).count() - pending.firstTokenSeconds) / gaps;
        const bool isInTime = pending.firstTokenSeconds <= absl::GetFlag(FLAGS_first_token_ms) / 1000 && meanGap <= absl::GetFlag(FLAGS_gap_ms) / 1000;
        m_totals.withinTargets += reference.text == pending.text && isInTime ? 1 : 0;
        m_totals.completeResponse.record(secondsSince(pending.sentAt));
    }
    const bool isClosedLoop = absl::GetFlag(FLAGS_streams) > 0;
    const bool hasMoreToSend =
        absl::GetFlag(FLAGS_requests) > 0 ? m_totals.sent < absl::GetFlag(FLAGS_requests) : secondsSince(m_startedAt) < absl::GetFlag(FLAGS_seconds);
    if (isClosedLoop && hasMoreToSend) {
        send();
    }
}

/// Requests one token of a stream directly from an engine, with the step that the first and only stage of a chain would
/// send.
void Load::stepDirect(const std::shared_ptr<PendingRequest> &pending, std::uint32_t position, std::uint32_t token)
{
    json item = {{"stream", std::to_string(reinterpret_cast<std::uintptr_t>(pending.get()))},
                 {"position", position},
                 {"model", absl::GetFlag(FLAGS_model)},
                 {"version", absl::GetFlag(FLAGS_model_version)},
                 {"adapter", absl::GetFlag(FLAGS_adapter)}};
    if (position == 0) {
        item["reset"] = true;
        item["prompt"] = "user: " + pending->prompt + "\n";
    } else {
        item["tokens"] = {token};
    }
    HttpClientRequest request;
    request.method = "POST";
    request.path = "/engine/v1/step";
    request.body = json{{"items", {item}}}.dump();
    m_client.fetch(m_entries.front(), std::move(request), [this, pending, position](const HttpResult &result) {
        pending->status = result.status;
        const json answer = json::parse(result.body, nullptr, false);
        if (!result.isOk() || !answer.is_object() || !answer["items"][0].contains("tokens")) {
            return finish(*pending);
        }
        const json &step = answer["items"][0];
        const json &last = step["tokens"].back();
        (pending->tokens == 0 ? m_totals.firstToken : m_totals.betweenTokens).record(secondsSince(pending->tokens == 0 ? pending->sentAt : pending->lastAt));
        pending->lastAt = std::chrono::steady_clock::now();
        pending->text += last[1].get<std::string>();
        ++pending->tokens;
        pending->hasDone = last[2].get<bool>() || pending->tokens >= absl::GetFlag(FLAGS_max_tokens);
        if (pending->hasDone) {
            return finish(*pending);
        }
        stepDirect(pending, position + step["positions"].get<std::uint32_t>(), last[0].get<std::uint32_t>());
    });
}

void Load::sendDirect()
{
    const auto pending = std::make_shared<PendingRequest>();
    pending->prompt = makePrompt();
    pending->sentAt = std::chrono::steady_clock::now();
    ++m_totals.sent;
    ++m_open;
    stepDirect(pending, 0, 0);
}

void Load::send()
{
    if (!absl::GetFlag(FLAGS_direct).empty()) {
        return sendDirect();
    }
    const auto pending = std::make_shared<PendingRequest>();
    pending->prompt = makePrompt();
    const json body = {{"model", absl::GetFlag(FLAGS_service)},
                       {"stream", true},
                       {"max_tokens", absl::GetFlag(FLAGS_max_tokens)},
                       {"messages", {{{"role", "user"}, {"content", pending->prompt}}}}};
    HttpClientRequest request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer " + absl::GetFlag(FLAGS_key)}, {"Content-Type", "application/json"}};
    request.body = body.dump();
    request.timeout = milliseconds(120000);
    request.maxBodyBytes = SIZE_MAX;
    pending->sentAt = std::chrono::steady_clock::now();
    HttpStreamHandlers handlers;
    handlers.onHead = [pending](int status, const HttpHeaders &) {
        pending->status = status;
    };
    handlers.onData = [this, pending](std::string_view bytes) {
        handleData(*pending, bytes);
    };
    handlers.onDone = [this, pending](const std::optional<HttpFailure> &) {
        finish(*pending);
    };
    const Address &entry = m_entries[m_totals.sent % m_entries.size()];
    ++m_totals.sent;
    ++m_open;
    m_client.stream(entry, std::move(request), std::move(handlers));
}

void Load::sendNextArrival()
{
    send();
    if (secondsSince(m_startedAt) < absl::GetFlag(FLAGS_seconds)) {
        std::exponential_distribution<double> gaps(absl::GetFlag(FLAGS_rate));
        m_arrivalTimer.start(microseconds(static_cast<std::int64_t>(gaps(m_random) * 1e6)));
    }
}

void Load::run()
{
    m_startedAt = std::chrono::steady_clock::now();
    const std::uint32_t streams = absl::GetFlag(FLAGS_streams);
    if (streams > 0) {
        for (std::uint32_t i = 0; i < streams; ++i) {
            send();
        }
    } else {
        sendNextArrival();
    }
    const auto isOver = [&] {
        return m_open == 0 && (streams > 0 || !m_arrivalTimer.isRunning());
    };
    m_loop.runUntil(isOver, milliseconds(600000));
    m_seconds = secondsSince(m_startedAt);
}

int Load::report() const
{
    const std::string label = absl::GetFlag(FLAGS_label).empty() ? "" : absl::GetFlag(FLAGS_label) + ".";
    const auto line = [&label](const std::string &name, double value, const char *unit) {
        std::cout << label << name << ' ' << std::setprecision(6) << value << ' ' << unit << '\n';
    };
    const auto quantiles = [&line](const std::string &name, const TimeHistogram &histogram) {
        line(name + "_p50", histogram.quantile(0.5) * 1000, "ms");
        line(name + "_p95", histogram.quantile(0.95) * 1000, "ms");
        line(name + "_p99", histogram.quantile(0.99) * 1000, "ms");
    };
    line("sent", static_cast<double>(m_totals.sent), "requests");
    line("answered", static_cast<double>(m_totals.answered), "requests");
    line("wrong", static_cast<double>(m_totals.wrong), "requests");
    line("cut", static_cast<double>(m_totals.truncated), "requests");
    line("refused", static_cast<double>(m_totals.refused), "requests");
    line("unfinished", static_cast<double>(m_open), "requests");
    line("answered_per_second", static_cast<double>(m_totals.answered) / m_seconds, "requests/s");
    line("good", static_cast<double>(m_totals.withinTargets), "requests");
    line("good_per_second", static_cast<double>(m_totals.withinTargets) / m_seconds, "requests/s");
    line("tokens_per_second", static_cast<double>(m_totals.tokens) / m_seconds, "tokens/s");
    quantiles("first_token", m_totals.firstToken);
    quantiles("between_tokens", m_totals.betweenTokens);
    quantiles("whole_answer", m_totals.completeResponse);
    return m_totals.wrong == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (StandIn::printHelp(argc, argv, helpText)) {
        return 0;
    }
    absl::ParseCommandLine(argc, argv);
    std::vector<Address> entries;
    Error error;
    const auto parse = [&]() -> Result<void> {
        const bool isDirect = !absl::GetFlag(FLAGS_direct).empty();
        for (const std::string &text : isDirect ? std::vector<std::string>{absl::GetFlag(FLAGS_direct)} : absl::GetFlag(FLAGS_entries)) {
            BOOST_LEAF_AUTO(address, parseAddress(text));
            entries.push_back(address);
        }
        return {};
    };
    if (!runCatching(parse, error) || entries.empty()) {
        std::cerr << "--entries: expected HOST:PORT,... " << error.toString() << '\n';
        return 2;
    }
    EventLoop loop;
    Load load(loop, entries);
    load.run();
    return load.report();
}
