// Routes, services and workspaces of a relay, and their lookup.
//
//     RouteTable table = ...;            // decoded by the platform adapter
//     indexRoutes(table);                // once, after the table is filled
//     const Route *route = findRoute(table, "host.example", "/orders/7");
//
// Pure data: a table is built and put in force as a unit and never changed afterwards.
#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Parsleytrail
{

/// Which retries are allowed for a request.
enum class CallKind : std::uint8_t {
    Idempotent,    ///< may run more than once
    NonIdempotent, ///< runs at most once per attempt of the caller
    Stream         ///< a series of numbered events; may be resumed if the route allows it
};

constexpr int lowestPriority = 9;  ///< priorities are 0 to 9; 0 is the most urgent
constexpr int defaultPriority = 5; ///< of a route or a workspace that states none

/// A service that a route sends requests to.
struct WeightedService {
    ServiceName service; ///< name in the table
    double weight = 1;   ///< share of the route's requests, relative to the other services
};

/// Where requests with a given host and path prefix are sent.
struct Route {
    std::string name;                        ///< name of the route in logs
    std::string host;                        ///< value of Host, lower case, without port
    std::string prefix;                      ///< begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent; ///< defaults to the kind with the fewest retries
    milliseconds timeout{0};                 ///< longest time that a caller waits; 0: no limit
    milliseconds targetLatency{0};           ///< time to the response, or to the first event of a stream, that earns full worth
    milliseconds targetGap{0};               ///< longest pause between two events of a stream that earns full worth
    int priority = defaultPriority;          ///< orders requests of workspaces with the same priority
    int maxAttempts = 1;                     ///< maximum number of targets tried for one attempt of a caller
    bool isPublic = false;                   ///< requires no key
    bool isResumable = false;                ///< a stream may continue at another target after its last event
    std::vector<WeightedService> services;   ///< one or more
};

/// A kind of accelerator, compared with the reference accelerator of the engine's constants.
struct AcceleratorKind {
    std::string name;                 ///< as reported by engines
    double memoryMb = 0;              ///< memory for layers and KV cache
    double decodeSlowdownFactor = 1;  ///< slowdown factor of a decoding step
    double prefillSlowdownFactor = 1; ///< slowdown factor of processing a prompt (prefill)
};

/// Configured delay of a link between two data centres.
struct DataCenterDelay {
    std::string from; ///< data centre at one end
    std::string to;   ///< data centre at the other end
    double ms = 0;    ///< one way
};

/// Constants of a service whose engines hold layer ranges of a model.
struct EngineModel {
    std::string modelName;               ///< as named in requests
    int layers = 0;                      ///< layers of the model
    double layerMb = 0;                  ///< memory of one layer
    double kvTokenBytes = 0;             ///< KV cache of one token over all layers
    double stepMs = 0;                   ///< one decoding step of all layers on the reference accelerator
    double stepMsPerSequence = 0;        ///< added to a step for each decoding sequence
    double prefillTokensPerMs = 1;       ///< prefill rate over all layers, prompt tokens per millisecond
    int stepsPerPass = 1;                ///< decoding steps per pass; each pass yields one event
    int prefillChunkTokens = 0;          ///< most prompt tokens that a step processes beside decoding; 0: not configured
    double activationBytes = 0;          ///< sent for each token from one engine of a chain to the next
    double dataCenterLinkMbps = 0;       ///< capacity of the link that all activations between data centres share; 0: unknown
    int batchSlots = 0;                  ///< concurrent sequences of a first engine
    double loadSeconds = 0;              ///< time to load all layers
    int maxConcurrentLoads = 1;          ///< concurrent loads that run at full speed
    double meanPromptTokens = 0;         ///< mean prompt length of requests; 0: not configured
    double meanAnswerTokens = 0;         ///< mean answer length of requests; 0: not configured
    std::vector<AcceleratorKind> kinds;  ///< all kinds in use
    std::vector<DataCenterDelay> delays; ///< links between data centres
};
/// Delay in ms, one way, between two data centres; zero if none is configured.
double dataCenterDelayMs(const EngineModel &model, std::string_view from, std::string_view to);
const AcceleratorKind *findKind(const EngineModel &model, std::string_view name);

/// A service.
struct ServiceSpec {
    ServiceName name;                  ///< unique
    std::string healthPath;            ///< path of health probes (GET)
    int maxConnections = 0;            ///< connections that a target accepts from all callers together
    std::optional<EngineModel> engine; ///< set if its targets hold layer ranges of a model
    bool hasPriorities = false;        ///< its stream routes differ in priority, so that the order of its streams matters; see indexRoutes()
};

/// Owner of an API key.
struct KeyOwner {
    WorkspaceName workspace;     ///< workspace of the key's callers
    std::optional<int> priority; ///< goes before the route's priority
};

/// Limits on what callers send.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16384;  ///< head of a request; above it: 431
    std::size_t maxBodyBytes = 1u << 20; ///< above it: 413
    milliseconds headerTimeout{5000};    ///< from the first byte of a head to its end
    milliseconds idleTimeout{15000};     ///< between requests
};

/// The complete configuration of a relay.
struct RouteTable {
    ConfigurationVersion version; ///< set by the operator
    std::vector<Route> routes;    ///< in the operator's order
    std::unordered_map<ServiceName, ServiceSpec> services;
    std::unordered_map<std::string, KeyOwner> keyOwners; ///< by key
    bool requiresKeys = false;                           ///< routes that are not public require a key
    CallerLimits limits;

    std::unordered_map<std::string, std::size_t> routeIndex; ///< host + prefix -> index of the route; see indexRoutes()
    std::map<int, int> priorityRanks;                        ///< combined priority of workspace and route -> rank from 0; see requestPriority()
};

/// Fills in routeIndex, priorityRanks and ServiceSpec::hasPriorities. Of two routes with the same host and prefix the first one is used.
void indexRoutes(RouteTable &table);
/// Rank of a request, 0 (the most urgent) to lowestPriority: its workspace's priority decides, among equal ones the route's. If there are
/// more than ten combinations, the least urgent share the last rank.
int requestPriority(const RouteTable &table, const Route &route, std::optional<int> ofWorkspace);
/// The route on that host with the longest prefix that matches `path`; null if there is none. `path` excludes the query.
const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path);
/// Selects the service for one request; `draw` is uniform in [0, 1). Null if none of the route's services is in the table.
const ServiceSpec *pickService(const RouteTable &table, const Route &route, double draw);

} // namespace Parsleytrail
