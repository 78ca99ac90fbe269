// Relays with their stand-ins in one process, on one loop and on real sockets. Stopping a relay is destroying its object.
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

/// A caller's connection and what came on it.
struct RawCall {
    ConnectionPtr connection;
    std::string received; ///< all bytes
    bool isClosed = false;

    /// Status of the first answer; 0 if its head is not there yet.
    int status() const;
    /// Value of a field of the first answer.
    std::string field(std::string_view name) const;
    /// Body of the first answer, without its framing; whole or not.
    std::string body() const;
    /// Whether the first answer is whole.
    bool hasCompleteResponse() const;
    /// Ids of the events received, in order.
    std::vector<int> eventIds() const;
};
using RawCallPtr = std::shared_ptr<RawCall>;

/// What the system is made of.
struct RelaySystemOptions {
    int relays = 1;                                 ///< entries
    int engines = 0;                                ///< engines of the service "chat"
    StandIn::ChainEnginesOptions engineOptions;     ///< of all engines
    int version = 1;                                ///< of the configuration
    milliseconds callTimeout{2000};                 ///< of the routes of plain services
    std::function<void(RelaySettings &)> tuneRelay; ///< changes settings
};

class RelaySystem
{
public:
    explicit RelaySystem(RelaySystemOptions options = {});
    ~RelaySystem();

    /// Runs the loop until `done`; fails the test if it takes longer than a minute.
    void wait(const char *what, const std::function<bool()> &done);
    /// Runs the loop for a while; only for "nothing happens" checks.
    void idle(milliseconds time);

    /// Lists a target of the plain service "shop" that a test scripts.
    StandIn::RawTarget &addTarget(const std::string &id, StandIn::RawTarget::Handler handler);
    /// Lists an entry of the registry, or changes it.
    void registerTarget(const std::string &id, const std::string &service, const Address &address, const std::string &state = "ready");
    void registerEngine(const std::string &id, const std::string &state = "ready");
    void unregister(const std::string &id);
    /// Puts a configuration; `keys` are the keys of the workspace "studio".
    void configure(int version, const std::vector<std::string> &keys = {"key-1"});
    /// Whether a relay says that it takes connections.
    bool isReady(std::size_t relay = 0);
    void waitReady();
    /// Waits until the first relay's state, as text, holds this.
    void waitState(const std::string &text);
    /// Waits until chains hold all layers, and all relays know.
    void waitPlaced();

    /// Sends raw bytes on a new connection.
    RawCallPtr send(const std::string &bytes, std::size_t relay = 0);
    /// A whole request with the usual fields.
    std::string request(const std::string &method, const std::string &path, const std::string &id, const std::string &body = {},
                        const std::string &extraFields = {}) const;
    RawCallPtr call(const std::string &method, const std::string &path, const std::string &id, const std::string &body = {},
                    const std::string &extraFields = {});
    RawCallPtr stream(const std::string &id, const std::string &extraFields = {});

    EventLoop &loop();
    StandIn::TableStore &store();
    StandIn::ChainEngines &engines();
    Relay &relay(std::size_t index = 0);
    void stopRelay(std::size_t index);
    void startRelay(std::size_t index);

private:
    bool hasReceivedLayers(const Relay &relay) const;

    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::Test
