// A small system in one process: the platform's stand-in, engines, an application, their sidecars, and entries, all on
// one loop and on real sockets. Killing a process is destroying its object.
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

constexpr milliseconds testTimeout{60000}; ///< longest wait for anything; only a broken run gets there

/// What the system is made of.
struct ClusterOptions {
    std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges = {{0, 10}, {10, 22}, {22, 32}}; ///< layer ranges
    std::uint32_t enginesPerRange = 2;                                                           ///< engines for each range
    std::uint32_t entries = 2;                                                                   ///< entries
    std::uint32_t applications = 1;                                                              ///< booking applications
    std::function<void(EntrySettings &)> tuneEntry;                                              ///< changes settings
    std::function<void(SidecarSettings &)> tuneSidecar;                                          ///< changes settings
    std::function<void(StandIn::EngineOptions &)> tuneEngine;                                    ///< changes options
    std::string configuration;                                                                   ///< file applied at the start; empty: the usual one
};

/// One answer of the completion protocol, as it comes.
struct Answer {
    int status = 0;                     ///< of the answer
    HttpHeaders headers;                ///< of the answer
    std::string body;                   ///< raw
    std::string text;                   ///< joined content of the events
    std::string finish;                 ///< finish_reason
    std::uint32_t events = 0;           ///< events with content
    bool hasDone = false;               ///< [DONE] came
    bool isEnded = false;               ///< complete or broken
    std::optional<HttpFailure> failure; ///< broken
    HttpCallPtr call;                   ///< to cancel it
};
using AnswerPtr = std::shared_ptr<Answer>;

/// The system.
class Cluster
{
public:
    explicit Cluster(ClusterOptions options = {});
    ~Cluster();

    /// Runs the loop until `done`; fails the test if it takes longer than `patience`.
    void wait(const char *what, const std::function<bool()> &done);
    /// Runs the loop for a while; only for "nothing happens" checks.
    void idle(milliseconds time);

    /// Sends a streamed question to an entry.
    AnswerPtr requestCompletion(const std::string &prompt, std::uint32_t maxTokens, std::size_t entry = 0);
    /// Sends any request to an entry's callers' port and waits for the answer.
    HttpResult send(HttpClientRequest request, std::size_t entry = 0);
    /// Sends a request without waiting.
    std::shared_ptr<std::optional<HttpResult>> sendAsync(HttpClientRequest request, std::size_t entry = 0);
    /// Sends a request to an entry's operators' port and waits.
    HttpResult sendOperatorRequest(const std::string &method, const std::string &path, const std::string &body = {}, HttpHeaders headers = {},
                                   std::size_t entry = 0);
    /// Applies a file through an entry; fails the test if it is not accepted. Returns the version.
    std::uint64_t apply(const std::string &text, std::size_t entry = 0);
    /// Text of the answer that a correct run gives.
    std::string expectedText(const std::string &prompt, std::uint32_t maxTokens) const;

    /// Ends an engine if it lives, and starts an empty one on its port.
    void restartEngine(std::size_t index);
    /// Adds what the stand-ins ran to the history.
    void recordStandIns();
    void killSidecar(std::size_t index);
    void startSidecar(std::size_t index);
    void killEntry(std::size_t index);
    void startEntry(std::size_t index);
    /// Waits until each living entry is ready and sees so many usable targets.
    void waitReady(std::size_t targets);
    /// Index of the engine whose sidecar carries this stage of the only open stream; SIZE_MAX if none.
    std::size_t engineOfStage(std::size_t stage, std::size_t entry = 0);

    EventLoop loop;
    SystemClock clock;
    HttpClient client;
    StandIn::Platform platform;
    std::vector<std::unique_ptr<StandIn::Engine>> engines; ///< ranges x holders
    std::vector<std::unique_ptr<StandIn::Application>> applications;
    std::vector<std::unique_ptr<Sidecar>> sidecars; ///< of the engines, then of the applications
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::string> history; ///< lines of all processes

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

/// The usual configuration: model assistant with 32 layers, services chat and booking, one workspace.
std::string defaultConfiguration(const std::string &extra = {});
/// A POST of JSON to a path, as the workspace's caller.
HttpClientRequest post(const std::string &path, const std::string &body, HttpHeaders headers = {});

constexpr const char *callerKey = "caller-key";
constexpr const char *operatorKey = "operator-key";

} // namespace Parsleytrail::Test
