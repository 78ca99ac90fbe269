// Relays with their stand-ins in one process, on one event loop and real sockets. A relay is stopped by destroying its object.
#pragma once

#include "platform/platform_adapter.h"
#include "relay/connection.h"
#include "relay/relay.h"
#include "stand-ins/chain_engines.h"
#include "stand-ins/raw_target.h"
#include "stand-ins/table_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail::Test
{

/// A caller's connection and the bytes that it received.
struct RawCall {
    ConnectionPtr connection;
    std::string received; ///< all bytes received so far
    bool isClosed = false;
    bool isReset = false; ///< closed, and not in an orderly way

    /// Status of the first response; 0 until its head is complete.
    int status() const;
    /// Value of a header field of the first response.
    std::string field(std::string_view name) const;
    /// Body of the first response received so far, without framing.
    std::string body() const;
    /// Whether the first response was received completely.
    bool hasCompleteResponse() const;
    /// Ids of the events received, in order.
    std::vector<int> eventIds() const;
};
using RawCallPtr = std::shared_ptr<RawCall>;

/// Number of calls whose first response has this status.
std::size_t countStatus(const std::vector<RawCallPtr> &calls, int status);

/// Size and settings of a RelaySystem.
struct RelaySystemOptions {
    int relays = 1;                                 ///< number of relays
    int engines = 0;                                ///< number of engines of the service "chat"
    StandIn::ChainEnginesOptions engineOptions;     ///< options of all engines
    int version = 1;                                ///< version of the configuration
    milliseconds callTimeout{2000};                 ///< timeout of the routes of plain services
    bool hasPriorities = false;                     ///< adds a route of less urgent streams; all stream routes have a target gap of 250 ms
    int slots = 6;                                  ///< concurrent requests of each target
    int maxBodyBytes = 65536;                       ///< of a request, as configured
    double prefillTokensPerMs = 100;                ///< of the engines, as configured
    bool hasStorePaths = false;                     ///< each relay reaches the store by a path of its own, see cutStore()
    int talkPriority = 1;                           ///< priority of the route /talk/; that of /chat/ is 1
    milliseconds streamTarget{300};                 ///< target latency of the streams of the service "chat"
    std::function<void(RelaySettings &)> tuneRelay; ///< changes the settings of each relay before its start
};

/// A table store, relays, engines and scripted targets on one event loop.
class RelaySystem
{
public:
    explicit RelaySystem(RelaySystemOptions options = {});
    ~RelaySystem();

    /// Runs the loop until `done`; fails the test if it takes longer than a minute.
    void wait(const char *what, const std::function<bool()> &done);
    /// Runs the loop for `time`; only for checks that nothing happens.
    void idle(milliseconds time);

    /// Adds and registers a target of the plain service "shop" whose responses a test scripts.
    StandIn::RawTarget &addTarget(const std::string &id, StandIn::RawTarget::Handler handler, StandIn::RawTargetOptions options = {});
    /// Adds or changes a target's row in the registry.
    void registerTarget(const std::string &id, const std::string &service, const Address &address, const std::string &state = "ready");
    void registerEngine(const std::string &id, const std::string &state = "ready");
    void unregister(const std::string &id);
    /// From now on engines write their registry entries again and again, and one that crashed is replaced after `downTime` by an empty one
    /// with another id, as a supervisor would start it.
    void superviseEngines(milliseconds downTime);
    /// Ids of all engines that are registered.
    std::vector<std::string> engineIds() const;
    /// Writes a configuration; `keys` are the API keys of the workspace "studio".
    void configure(int version, const std::vector<std::string> &keys = {"key-1"});
    /// Whether a relay reports that it accepts connections.
    bool isReady(std::size_t relay = 0);
    void waitReady();
    /// Waits until the first relay's state dump contains `text`.
    void waitState(const std::string &text);
    /// Waits until the engines hold all layers, and all relays have received which.
    void waitPlaced();

    /// Sends raw bytes on a new connection.
    RawCallPtr send(const std::string &bytes, std::size_t relay = 0);
    /// A complete request with the usual header fields.
    std::string request(const std::string &method, const std::string &path, const std::string &id, const std::string &body = {},
                        const std::string &extraFields = {}) const;
    RawCallPtr call(const std::string &method, const std::string &path, const std::string &id, const std::string &body = {},
                    const std::string &extraFields = {});
    RawCallPtr stream(const std::string &id, const std::string &extraFields = {});
    /// The same on the route of less urgent streams.
    RawCallPtr lessUrgentStream(const std::string &id, const std::string &extraFields = {});
    /// The same on the route whose streams can't be resumed.
    RawCallPtr unresumableStream(const std::string &id, const std::string &httpVersion = "HTTP/1.1");
    /// A stream on a given path whose prompt has `promptTokens` tokens.
    RawCallPtr sizedStream(const std::string &path, const std::string &id, int promptTokens, const std::string &extraFields = {});

    /// Calls `start` at each `interval` for `time`, with numbers from 0, and waits until all responses are complete.
    std::vector<RawCallPtr> startRepeatedly(milliseconds interval, milliseconds time, const std::function<RawCallPtr(std::size_t)> &start);

    EventLoop &loop();
    /// The store falls silent for one relay alone.
    void cutStore(std::size_t relay);
    void healStore(std::size_t relay);
    StandIn::TableStore &store();
    StandIn::ChainEngines &engines();
    Relay &relay(std::size_t index = 0);
    void stopRelay(std::size_t index);
    void startRelay(std::size_t index);

private:
    bool hasReceivedLayers(const Relay &relay) const;
    void writeEngineEntries(milliseconds downTime);

    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::Test
