// What a platform's adapter tells the relay: names of header fields, and codecs for the messages of the platform.
//
// The relay knows no name of any platform. An adapter fills in a Dialect and decides nothing; all types here hold the
// project's own words.
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

/// Names of header fields.
struct HeaderNames {
    std::string attemptId;           ///< id of one attempt of a caller; targets echo it
    std::string deadline;            ///< milliseconds that the sender still waits
    std::string workspace;           ///< workspace of the caller, towards targets
    std::string expectedTarget;      ///< id of the only target that may run the request
    std::string seal;                ///< proof of a target that an answer is its own
    std::string notExecuted;         ///< on an answer: the target did not run the request
    std::string tokenCounts;         ///< "prompt,answer at most"
    std::string answerEstimate;      ///< the caller's guess at the tokens of the answer
    std::string lastEventId;         ///< a stream goes on after this event
    std::string chain;               ///< engines and layers that a request passes through
    std::string faultyTarget;        ///< on a refusal: address of the engine at fault
    std::string requestPriority;     ///< 0 (first) to 9, towards engines
    std::string authorizationScheme; ///< before the key in Authorization, e.g. "Bearer"
};

/// A request at a first engine that waits for an engine which does not answer.
struct StalledRequest {
    std::string attemptId; ///< the request
    Address address;       ///< engine that it waits for
};

/// What an engine says of itself.
struct EngineReport {
    LayerRange layers;                   ///< held
    bool isBusy = false;                 ///< an order is being carried out
    double slowness = 1;                 ///< times as long as usual for each pass
    std::uint64_t ordersAccepted = 0;    ///< orders begun since its start
    std::uint64_t startedAtMs = 0;       ///< its start, Unix milliseconds
    std::vector<StalledRequest> stalled; ///< requests that entered the chain here and wait
};

/// An order to hold a layer range.
struct PlaceOrder {
    LayerRange layers;                ///< range to hold
    std::uint64_t expectedOrders = 0; ///< refused by the engine if it has accepted another number of orders
    bool dropsStreams = false;        ///< streams in layers that are given up are cut, so that the load begins at once
};

/// Codecs and names of one platform.
class Dialect
{
public:
    virtual ~Dialect() = default;
    virtual const HeaderNames &headers() const = 0;

    /// Path at which the platform asks whether this process takes connections.
    virtual std::string readinessPath() const = 0;

    /// A whole configuration. Fails with the step "decode configuration".
    virtual Result<RouteTable> decodeConfiguration(std::string_view bytes) const = 0;
    /// A target's entry in the registry. Fails with the step "decode target" for entries that name no target to use.
    virtual Result<RegisteredTarget> decodeTarget(const std::string &id, std::string_view bytes) const = 0;

    virtual HttpClientRequest reportRequest() const = 0;
    /// Fails with the step "decode report".
    virtual Result<EngineReport> decodeReport(std::string_view bytes) const = 0;
    virtual HttpClientRequest placeRequest(const PlaceOrder &order) const = 0;
    /// Order to a first engine: a running request goes on through another chain with the same first part.
    virtual HttpClientRequest moveRequest(const std::string &attemptId, const std::vector<ChainStage> &chain) const = 0;
    /// Value of the chain header.
    virtual std::string encodeChain(const std::vector<ChainStage> &chain) const = 0;

    /// Row and table of the operator's configuration, and table of the targets.
    virtual std::string configurationTable() const = 0;
    virtual std::string configurationKey() const = 0;
    virtual std::string targetTable() const = 0;

    virtual HttpClientRequest readRowsRequest(const RowRange &range) const = 0;
    virtual HttpClientRequest watchRowsRequest(const std::string &table, std::uint64_t afterRevision, milliseconds wait) const = 0;
    virtual HttpClientRequest transactionRequest(const RowTransaction &transaction) const = 0;
    /// Answer of any of the three. Fails with the step "decode rows".
    virtual Result<RowPage> decodeRows(std::string_view bytes) const = 0;
};

} // namespace Parsleytrail
