// A small system in one process: stand-ins of the platform, of engines and of an application, with real sidecars and entries,
// all on one event loop with real sockets. Destroying an object stands for killing its process.
#pragma once

#include "entry/entry.h"
#include "http/client.h"
#include "sidecar/sidecar.h"
#include "stand-ins/application.h"
#include "stand-ins/engine.h"
#include "stand-ins/platform.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail::Test
{

constexpr milliseconds testTimeout{60000}; ///< longest wait for any condition; reached only if the test fails

/// Size and settings of the system.
struct ClusterOptions {
    std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges = {{0, 10}, {10, 22}, {22, 32}}; ///< layer range of each stage
    std::uint32_t enginesPerRange = 2;                                                           ///< engines for each layer range
    std::uint32_t entries = 2;                                                                   ///< number of entries
    std::uint32_t applications = 1;                                                              ///< number of booking applications
    std::function<void(EntrySettings &)> tuneEntry;                                              ///< changes the settings of each entry
    std::function<void(SidecarSettings &)> tuneSidecar;                                          ///< changes the settings of each sidecar
    std::function<void(StandIn::EngineOptions &)> tuneEngine;                                    ///< changes the options of each engine
    std::string configuration;                                                                   ///< file applied at the start; defaultConfiguration() if empty
};

/// Streamed response to a completion request, filled as it arrives.
struct Answer {
    int status = 0;                     ///< HTTP status
    HttpHeaders headers;                ///< response headers
    std::string body;                   ///< raw body
    std::string text;                   ///< concatenated content of the events
    std::string finish;                 ///< finish_reason
    std::uint32_t events = 0;           ///< number of events with content
    bool hasDone = false;               ///< [DONE] was received
    bool isEnded = false;               ///< the response is complete or was cut off
    std::optional<HttpFailure> failure; ///< set if the response was cut off
    HttpCallPtr call;                   ///< to cancel the request
};
using AnswerPtr = std::shared_ptr<Answer>;

/// The running system.
class Cluster
{
public:
    explicit Cluster(ClusterOptions options = {});
    ~Cluster();

    /// Runs the loop until `done` returns true; fails the test if that takes longer than `testTimeout`.
    void wait(const char *what, const std::function<bool()> &done);
    /// Runs the loop for a fixed time; only for checks that something does not happen, and to pace a test.
    void idle(milliseconds time);

    /// Sends a streamed completion request to an entry, with a message of the system before the prompt unless it is empty.
    AnswerPtr requestCompletion(const std::string &prompt, std::uint32_t maxTokens, std::size_t entry = 0, const std::string &systemMessage = {});
    /// Sends a request to an entry's port for callers and waits for the response.
    HttpResult send(HttpClientRequest request, std::size_t entry = 0);
    /// Sends a request without waiting; the result is set when the response has arrived.
    std::shared_ptr<std::optional<HttpResult>> sendAsync(HttpClientRequest request, std::size_t entry = 0);
    /// Sends a request to an entry's port for operators and waits for the response.
    HttpResult sendOperatorRequest(const std::string &method, const std::string &path, const std::string &body = {}, HttpHeaders headers = {},
                                   std::size_t entry = 0);
    /// Applies a configuration file through an entry; fails the test if it is not accepted. Returns the new version.
    std::uint64_t apply(const std::string &text, std::size_t entry = 0);
    /// Text that a correct run responds with.
    std::string expectedText(const std::string &prompt, std::uint32_t maxTokens) const;

    /// Destroys an engine if it runs, and starts one without state on the same port.
    void restartEngine(std::size_t index);
    /// Adds the engine steps and bookings that the stand-ins ran to the history.
    void recordStandIns();
    void killSidecar(std::size_t index);
    void startSidecar(std::size_t index);
    void killEntry(std::size_t index);
    void startEntry(std::size_t index);
    /// Waits until each running entry is ready and has this many ready targets with its configuration version.
    void waitReady(std::size_t targets);
    /// Index of the engine that runs this stage of the entry's first open stream; SIZE_MAX if none.
    std::size_t engineOfStage(std::size_t stage, std::size_t entry = 0);

    EventLoop loop;
    SystemClock clock;
    HttpClient client;
    StandIn::Platform platform;
    std::vector<std::unique_ptr<StandIn::Engine>> engines; ///< by layer range, enginesPerRange each
    std::vector<std::unique_ptr<StandIn::Application>> applications;
    std::vector<std::unique_ptr<Sidecar>> sidecars; ///< those of the engines, then those of the applications
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::string> history; ///< history lines of all processes

private:
    void makeEngines();
    void recordEngine(std::size_t index);
    void makeSettings();

    ClusterOptions m_options;
    Address m_platform;
    std::vector<Address> m_targets;
    std::vector<StandIn::EngineOptions> m_engineOptions;
    int m_engineStarts = 0;
    std::vector<SidecarSettings> m_sidecarSettings;
    std::vector<EntrySettings> m_entrySettings;
};

/// Configuration with the model assistant of 32 layers, the services chat and booking, and one workspace, followed by `extra`.
std::string defaultConfiguration(const std::string &extra = {});
/// Makes a POST of JSON to a path, with the workspace's key.
HttpClientRequest post(const std::string &path, const std::string &body, HttpHeaders headers = {});

constexpr const char *callerKey = "caller-key";
constexpr const char *operatorKey = "operator-key";

} // namespace Parsleytrail::Test
