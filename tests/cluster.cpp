#include "tests/cluster.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/text.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace Parsleytrail::Test
{

using nlohmann::json;

std::string defaultConfiguration(const std::string &extra)
{
    return "[model.assistant]\nlayers = 32\nversions = v1, v2\nadapters = clay\n"
           "[service.chat]\nkind = pipeline\nmodel = assistant\nversion = v1\nadapter = clay\n"
           "[service.booking]\nkind = plain\nnon-idempotent = POST /bookings, DELETE /bookings/*\ndeadline = 5s\n"
           "[workspace.studio]\nkey-digests = "
           + sha256Hex(callerKey)
           + "\nservices = chat, booking\nmax-streams = 100000\n[target-class.gpu-a]\naccelerator = a\nmemory-gib = 24\ntokens-per-second = 2000\n" + extra;
}

HttpClientRequest post(const std::string &path, const std::string &body, HttpHeaders headers)
{
    HttpClientRequest request;
    request.method = "POST";
    request.path = path;
    request.headers = std::move(headers);
    request.headers.push_back({"Authorization", std::string("Bearer ") + callerKey});
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = body;
    request.timeout = testTimeout;
    return request;
}

static Address unwrap(Result<Address> result)
{
    BOOST_REQUIRE(result);
    return *result;
}

Cluster::Cluster(ClusterOptions options)
    : client(loop)
    , platform(loop)
    , m_options(std::move(options))
{
    setLogLevel(std::getenv("PARSLEY_TEST_LOG") ? std::getenv("PARSLEY_TEST_LOG") : "error");
    m_platform = unwrap(platform.listen({"127.0.0.1", 0}));
    makeEngines();
    makeSettings();
    for (std::size_t i = 0; i < m_entrySettings.size(); ++i) {
        startEntry(i);
    }
    for (std::size_t i = 0; i < m_sidecarSettings.size(); ++i) {
        startSidecar(i);
    }
    apply(m_options.configuration.empty() ? defaultConfiguration() : m_options.configuration);
    waitReady(m_sidecarSettings.size());
}

Cluster::~Cluster() = default;

void Cluster::makeEngines()
{
    for (const auto &[begin, end] : m_options.ranges) {
        for (std::uint32_t i = 0; i < m_options.enginesPerRange; ++i) {
            StandIn::EngineOptions engine;
            engine.id = "engine-" + std::to_string(engines.size());
            engine.weights = {"assistant", "v1", ""};
            engine.adapters = {"clay"};
            engine.layerBegin = begin;
            engine.layerEnd = end;
            engine.modelLayers = m_options.ranges.back().second;
            if (m_options.tuneEngine) {
                m_options.tuneEngine(engine);
            }
            m_engineOptions.push_back(engine);
            engines.push_back(std::make_unique<StandIn::Engine>(loop, engine));
            engines.back()->recordSteps(true);
            m_targets.push_back(unwrap(engines.back()->listen({"127.0.0.1", 0})));
        }
    }
    for (std::uint32_t i = 0; i < m_options.applications; ++i) {
        applications.push_back(std::make_unique<StandIn::Application>(loop));
        m_targets.push_back(unwrap(applications.back()->listen({"127.0.0.1", 0})));
    }
}

void Cluster::recordEngine(std::size_t index)
{
    for (const StandIn::StepRecord &step : engines[index]->records()) {
        history.push_back(
            json{{"event", "engine-step"}, {"engine", step.engine}, {"stream", step.stream}, {"position", step.position}, {"positions", step.positions}}
                .dump());
    }
}

void Cluster::restartEngine(std::size_t index)
{
    recordEngine(index);
    engines[index].reset();
    StandIn::EngineOptions options = m_engineOptions[index];
    options.id += "#" + std::to_string(++m_engineStarts);
    engines[index] = std::make_unique<StandIn::Engine>(loop, options);
    engines[index]->recordSteps(true);
    unwrap(engines[index]->listen(m_targets[index]));
}

void Cluster::recordStandIns()
{
    for (std::size_t i = 0; i < engines.size(); ++i) {
        recordEngine(i);
    }
    for (const auto &application : applications) {
        for (const StandIn::Booking &booking : application->bookings()) {
            history.push_back(json{{"event", "booked"}, {"reference", booking.reference}}.dump());
        }
    }
}

void Cluster::makeSettings()
{
    for (std::uint32_t i = 0; i < m_options.entries; ++i) {
        EntrySettings settings;
        settings.id = "entry-" + std::to_string(i);
        settings.region = "nl-west";
        settings.dataCenter = "nl-west-" + std::to_string(i % 2);
        settings.callerPort = settings.operatorPort = settings.peerPort = 0;
        settings.operatorKeyDigest = sha256Hex(operatorKey);
        settings.platform = m_platform.toString();
        settings.announceInterval = milliseconds(100);
        settings.configurationPoll = milliseconds(500);
        settings.storeReads = 1000;
        settings.storeWrites = 1000;
        if (m_options.tuneEntry) {
            m_options.tuneEntry(settings);
        }
        m_entrySettings.push_back(settings);
    }
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const bool isEngine = i < engines.size();
        SidecarSettings settings;
        settings.id = (isEngine ? "engine-" : "booking-") + std::to_string(isEngine ? i : i - engines.size());
        settings.region = "nl-west";
        settings.dataCenter = "nl-west-" + std::to_string(i % 2);
        settings.linkPort = settings.operatorPort = 0;
        settings.operatorKeyDigest = sha256Hex(operatorKey);
        settings.platform = m_platform.toString();
        settings.kind = isEngine ? "engine" : "application";
        settings.service = isEngine ? "" : "booking";
        settings.target = m_targets[i].toString();
        settings.targetClass = "gpu-a";
        settings.announceInterval = milliseconds(100);
        if (m_options.tuneSidecar) {
            m_options.tuneSidecar(settings);
        }
        m_sidecarSettings.push_back(settings);
    }
    entries.resize(m_entrySettings.size());
    sidecars.resize(m_sidecarSettings.size());
}

void Cluster::startEntry(std::size_t index)
{
    m_entrySettings[index].entries.clear();
    for (std::size_t other = 0; other < entries.size(); ++other) {
        if (other != index && entries[other]) {
            m_entrySettings[index].entries.push_back(entries[other]->peerAddress().toString());
        }
    }
    entries[index] = std::make_unique<Entry>(loop, clock, m_entrySettings[index]);
    BOOST_REQUIRE(entries[index]->start());
    entries[index]->history().setSink([this](const std::string &line) {
        history.push_back(line);
    });
    platform.listInstance(m_entrySettings[index].id, "entry", entries[index]->peerAddress(), false);
}

void Cluster::startSidecar(std::size_t index)
{
    sidecars[index] = std::make_unique<Sidecar>(loop, clock, m_sidecarSettings[index]);
    BOOST_REQUIRE(sidecars[index]->start());
    sidecars[index]->history().setSink([this](const std::string &line) {
        history.push_back(line);
    });
    platform.listInstance(m_sidecarSettings[index].id, "sidecar", sidecars[index]->linkAddress(), false);
}

void Cluster::killSidecar(std::size_t index)
{
    sidecars[index].reset();
}

void Cluster::killEntry(std::size_t index)
{
    entries[index].reset();
}

void Cluster::wait(const char *what, const std::function<bool()> &done)
{
    const bool isDone = loop.runUntil(done, testTimeout);
    BOOST_REQUIRE_MESSAGE(isDone, "timed out waiting for: " << what);
}

void Cluster::idle(milliseconds time)
{
    loop.runUntil(
        [] {
            return false;
        },
        time);
}

void Cluster::waitReady(std::size_t targets)
{
    for (const auto &entry : entries) {
        wait("a ready entry with its targets", [&] {
            if (!entry) {
                return true;
            }
            if (!entry->isReady()) {
                return false;
            }
            std::size_t usable = 0;
            const json status = json::parse(entry->status());
            for (const json &target : status["targets"]) {
                usable += target["state"] == "Ready" && target["configuration"] == status["configuration"]["version"] ? 1 : 0;
            }
            return usable >= targets;
        });
    }
}

std::size_t Cluster::engineOfStage(std::size_t stage, std::size_t entry)
{
    const json state = json::parse(entries[entry]->state());
    if (state["openStreams"].empty() || state["openStreams"][0]["chain"].size() <= stage) {
        return SIZE_MAX;
    }
    const std::string id = state["openStreams"][0]["chain"][stage];
    return std::stoul(id.substr(id.find('-') + 1));
}

/// Parses the complete events in `remainder` into the answer; leaves an incomplete one there.
static void readEvents(Answer &answer, std::string &remainder)
{
    std::size_t end = 0;
    while ((end = remainder.find("\n\n")) != std::string::npos) {
        std::string event = remainder.substr(0, end);
        remainder.erase(0, end + 2);
        if (event == "data: [DONE]") {
            answer.hasDone = true;
            continue;
        }
        const json data = json::parse(event.substr(std::string("data: ").size()), nullptr, false);
        if (!data.is_object() || !data.contains("choices") || data["choices"].empty()) {
            continue;
        }
        const json &choice = data["choices"][0];
        const std::string content = choice["delta"].value("content", "");
        answer.events += content.empty() ? 0 : 1;
        answer.text += content;
        if (choice["finish_reason"].is_string()) {
            answer.finish = choice["finish_reason"];
        }
    }
}

AnswerPtr Cluster::requestCompletion(const std::string &prompt, std::uint32_t maxTokens, std::size_t entry, const std::string &systemMessage)
{
    const auto answer = std::make_shared<Answer>();
    const auto remainder = std::make_shared<std::string>();
    json messages = json::array();
    if (!systemMessage.empty()) {
        messages.push_back({{"role", "system"}, {"content", systemMessage}});
    }
    messages.push_back({{"role", "user"}, {"content", prompt}});
    const json body = {{"model", "chat"}, {"stream", true}, {"max_tokens", maxTokens}, {"messages", messages}};
    HttpStreamHandlers handlers;
    handlers.onHead = [answer](int status, const HttpHeaders &headers) {
        answer->status = status;
        answer->headers = headers;
    };
    handlers.onData = [answer, remainder](std::string_view bytes) {
        answer->body.append(bytes);
        remainder->append(bytes);
        readEvents(*answer, *remainder);
    };
    handlers.onDone = [answer](const std::optional<HttpFailure> &failure) {
        answer->failure = failure;
        answer->isEnded = true;
    };
    answer->call = client.stream(entries[entry]->callerAddress(), post("/v1/chat/completions", body.dump()), std::move(handlers));
    return answer;
}

std::shared_ptr<std::optional<HttpResult>> Cluster::sendAsync(HttpClientRequest request, std::size_t entry)
{
    const auto result = std::make_shared<std::optional<HttpResult>>();
    client.fetch(entries[entry]->callerAddress(), std::move(request), [result](const HttpResult &answer) {
        *result = answer;
    });
    return result;
}

HttpResult Cluster::send(HttpClientRequest request, std::size_t entry)
{
    const auto result = sendAsync(std::move(request), entry);
    wait("a response", [&] {
        return result->has_value();
    });
    return **result;
}

HttpResult Cluster::sendOperatorRequest(const std::string &method, const std::string &path, const std::string &body, HttpHeaders headers, std::size_t entry)
{
    HttpClientRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = std::move(headers);
    request.headers.push_back({"Authorization", std::string("Bearer ") + operatorKey});
    request.timeout = testTimeout;
    std::optional<HttpResult> result;
    client.fetch(entries[entry]->operatorAddress(), std::move(request), [&](const HttpResult &answer) {
        result = answer;
    });
    wait("a response to an operator", [&] {
        return result.has_value();
    });
    return *result;
}

std::uint64_t Cluster::apply(const std::string &text, std::size_t entry)
{
    const HttpResult result = sendOperatorRequest("PUT", "/operator/v1/configuration", text, {}, entry);
    BOOST_REQUIRE_MESSAGE(result.isOk(), result.status << " " << result.body);
    return json::parse(result.body)["version"];
}

std::string Cluster::expectedText(const std::string &prompt, std::uint32_t maxTokens) const
{
    return StandIn::referenceAnswer("user: " + prompt + "\n", {"assistant", "v1", "clay"}, m_options.ranges.back().second, maxTokens).text;
}

} // namespace Parsleytrail::Test
