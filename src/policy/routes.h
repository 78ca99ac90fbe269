// Routes, services and workspaces of a relay, and their look-up.
//
//     RouteTable table = ...;            // decoded by the platform's adapter
//     indexRoutes(table);                // once, after it was filled
//     const Route *route = findRoute(table, "host.example", "/orders/7");
//
// Pure data: a table is built whole, put in force whole and never changed afterwards.
#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Parsleytrail
{

/// What may be repeated of a request.
enum class CallKind : std::uint8_t {
    Idempotent,    ///< may run more than once
    NonIdempotent, ///< runs at most once for each attempt of the caller
    Stream         ///< a series of numbered events; may be resumed if the route says so
};

/// A service that a route sends requests to.
struct WeightedService {
    ServiceName service; ///< service of the table
    double weight = 1;   ///< share of the route's requests, relative to the other services
};

/// Where requests with a host and a path prefix go.
struct Route {
    std::string name;                        ///< for logs
    std::string host;                        ///< value of Host, lower case, without port
    std::string prefix;                      ///< begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent; ///< the careful one unless told otherwise
    milliseconds timeout{0};                 ///< longest time that a caller is kept waiting; 0: no limit
    milliseconds targetLatency{0};           ///< time to the answer, or to the first event of a stream, that earns full worth
    milliseconds targetGap{0};               ///< longest pause between two events of a stream that earns full worth
    int priority = 5;                        ///< 0 is the most urgent
    int maxAttempts = 1;                     ///< most targets that one attempt of a caller is sent to
    bool isPublic = false;                   ///< needs no key
    bool isResumable = false;                ///< a stream may go on at another target after its last event
    std::vector<WeightedService> services;   ///< one or more
};

/// A kind of accelerator and how it compares with the reference accelerator of the engine's constants.
struct AcceleratorKind {
    std::string name;                 ///< as engines report it
    double memoryMb = 0;              ///< memory for layers and KV cache together
    double decodeSlowdownFactor = 1;  ///< times as long for a decoding step
    double prefillSlowdownFactor = 1; ///< times as long for reading a prompt
};

/// Constants of the engines of a service whose model is held in layer ranges.
struct EngineModel {
    std::string modelName;              ///< as requests name it
    int layers = 0;                     ///< layers of the model
    double layerMb = 0;                 ///< memory of one layer
    double kvTokenBytes = 0;            ///< KV cache of one token over all layers
    double stepMs = 0;                  ///< one decoding step of all layers on the reference accelerator
    double stepMsPerSequence = 0;       ///< more for each sequence that is decoding
    double prefillTokensPerMs = 1;      ///< prompt tokens read in a millisecond over all layers
    int stepsPerPass = 1;               ///< decoding steps in one pass, which is one event
    double activationBytes = 0;         ///< passed on for each token from an engine of a chain to the next
    double dataCenterLinkMbps = 0;      ///< that all activations between data centres share
    int batchSlots = 0;                 ///< sequences that a first engine takes at once
    double loadSeconds = 0;             ///< loading all layers
    int maxConcurrentLoads = 1;         ///< loads that run side by side at full speed
    double meanPromptTokens = 0;        ///< mean
    double meanAnswerTokens = 0;        ///< mean
    std::vector<AcceleratorKind> kinds; ///< all kinds in use
};
const AcceleratorKind *findKind(const EngineModel &model, std::string_view name);

/// A service.
struct ServiceSpec {
    ServiceName name;                  ///< unique
    std::string healthPath;            ///< GET it to learn whether a target is healthy
    int maxConnections = 0;            ///< connections that a target takes from all callers together
    std::optional<EngineModel> engine; ///< set if its targets hold layer ranges of a model
};

/// Who a key belongs to.
struct KeyOwner {
    WorkspaceName workspace;     ///< workspace
    std::optional<int> priority; ///< goes before the route's, if set
};

/// Limits on what callers send.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16384;  ///< head of a request; over it: 431
    std::size_t maxBodyBytes = 1u << 20; ///< over it: 413
    milliseconds headerTimeout{5000};    ///< from the first byte of a head to its end
    milliseconds idleTimeout{15000};     ///< between requests
};

/// A whole configuration of a relay.
struct RouteTable {
    ConfigurationVersion version; ///< of the operator
    std::vector<Route> routes;    ///< in the operator's order
    std::unordered_map<ServiceName, ServiceSpec> services;
    std::unordered_map<std::string, KeyOwner> keyOwners; ///< by key
    bool requiresKeys = false;                           ///< routes that are not public need a key
    CallerLimits limits;

    std::unordered_map<std::string, std::size_t> routeIndex; ///< host + prefix -> index of the route; see indexRoutes()
};

/// Fills in routeIndex. Of two routes with the same host and prefix the first counts.
void indexRoutes(RouteTable &table);
/// The route with the longest prefix of `path` on that host; null if there is none. `path` comes without its query.
const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path);
/// The service for one request; `draw` is uniform in [0, 1). Null if the route names no service of the table.
const ServiceSpec *pickService(const RouteTable &table, const Route &route, double draw);

} // namespace Parsleytrail
