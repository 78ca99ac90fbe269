// Interface between the relay and the platform that it runs on: header field names, and codecs for the platform's messages.
//
// The relay contains no platform-specific names. A PlatformAdapter only translates and makes no decisions; the types here use the
// project's own terms.
#pragma once

#include "base/errors.h"
#include "http/client.h"
#include "policy/chain_selection.h"
#include "policy/fleet.h"
#include "policy/routes.h"
#include "store/rows.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// Names of the platform's HTTP header fields.
struct HeaderNames {
    std::string attemptId;           ///< id of one attempt of a caller; targets echo it in their response
    std::string deadline;            ///< milliseconds until the sender stops waiting
    std::string workspace;           ///< workspace of the caller; sent to targets
    std::string expectedTarget;      ///< id of the only target that may run the request
    std::string seal;                ///< set by a target to prove that a response is its own
    std::string notExecuted;         ///< in a response: the target did not run the request
    std::string model;               ///< name of the model that a request is for
    std::string tokenCounts;         ///< two numbers, such as "100,20": tokens of the prompt, maximum tokens of the answer
    std::string promptParts;         ///< the parts of the prompt; see PlatformAdapter::decodePromptParts()
    std::string answerEstimate;      ///< the caller's estimate of the tokens of the answer
    std::string lastEventId;         ///< the stream resumes after the event with this id
    std::string chain;               ///< engines and layers that a request passes through
    std::string faultyTarget;        ///< in a refusal: address of the engine at fault
    std::string requestPriority;     ///< 0 (highest) to 9, for engines; the caller's value is not forwarded
    std::string requestLimit;        ///< in a response: requests a second that the target takes from all entries together, a decimal number
    std::string targetLeaves;        ///< in a response: "1" if the target is leaving
    std::string authorizationScheme; ///< scheme before the key in Authorization, e.g. "Bearer"
};

/// A request at the first engine of a chain that waits for an unresponsive engine.
struct StalledRequest {
    std::string attemptId; ///< attempt id of the request
    Address address;       ///< address of the engine that it waits for
};

/// State of an engine as it reports it.
struct EngineReport {
    LayerRange layers;                   ///< layers that it holds
    bool hasOrderInProgress = false;     ///< it is carrying out an order
    double passSlowdownFactor = 1;       ///< slowdown factor of each pass; 1: usual speed
    std::uint64_t ordersAccepted = 0;    ///< number of orders begun since its start
    std::uint64_t startedAtMs = 0;       ///< start time of the engine that reports, Unix milliseconds; 0: not stated
    std::vector<StalledRequest> stalled; ///< requests that entered their chain here and are stalled
};

/// A command to an engine to hold a layer range.
struct PlaceOrder {
    LayerRange layers;                ///< range to hold
    std::uint64_t expectedOrders = 0; ///< the engine refuses the order if it has accepted another number of orders
    bool dropsStreams = false;        ///< cut streams that use layers to be unloaded, so that loading begins at once
};

/// Message codecs and outer names of one platform.
class PlatformAdapter
{
public:
    virtual ~PlatformAdapter() = default;
    virtual const HeaderNames &headers() const = 0;

    /// Path at which the platform queries whether this process accepts connections.
    virtual std::string readinessPath() const = 0;

    /// Decodes a complete configuration. Fails with the step "decode configuration".
    virtual Result<RouteTable> decodeConfiguration(std::string_view bytes) const = 0;
    /// Decodes a target's row in the registry. Fails with the step "decode target" if the row describes no usable target.
    virtual Result<RegisteredTarget> decodeTarget(const std::string &id, std::string_view bytes) const = 0;

    /// The requests to an engine name it: after it has ended, another target may have its address, which refuses them with 421.
    virtual HttpClientRequest reportRequest(const TargetId &engine) const = 0;
    /// Fails with the step "decode report".
    virtual Result<EngineReport> decodeReport(std::string_view bytes) const = 0;
    virtual HttpClientRequest placeRequest(const TargetId &engine, const PlaceOrder &order) const = 0;
    /// Command to the first engine of a chain: a running request continues through another chain with the same first stage.
    virtual HttpClientRequest moveRequest(const std::string &attemptId, const std::vector<ChainStage> &chain) const = 0;
    /// Decodes the value of the field that lists the parts of a prompt: their ids in order. Requests share parts, but never the last one.
    virtual std::vector<std::string> decodePromptParts(std::string_view text) const = 0;
    /// Encodes the value of the chain header field.
    virtual std::string encodeChain(const std::vector<ChainStage> &chain) const = 0;

    /// Table and row key of the operator's configuration, and table of the targets.
    virtual std::string configurationTable() const = 0;
    virtual std::string configurationKey() const = 0;
    virtual std::string targetTable() const = 0;

    virtual HttpClientRequest readRowsRequest(const RowRange &range) const = 0;
    virtual HttpClientRequest watchRowsRequest(const std::string &table, std::uint64_t afterRevision, milliseconds wait) const = 0;
    virtual HttpClientRequest transactionRequest(const RowTransaction &transaction) const = 0;
    /// Decodes the response to any of the three requests above. Fails with the step "decode rows".
    virtual Result<RowPage> decodeRows(std::string_view bytes) const = 0;
};

} // namespace Parsleytrail
