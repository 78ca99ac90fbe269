// Stand-in for engines that hold layer ranges and pass activations among themselves.
//
// They speak the engines' protocol: requests with a chain, reports, orders to hold a range and to move a request. A
// stream's events are numbered from the one after Last-Event-Id; each needs every engine of the chain. Requests whose
// chain skips, repeats or swaps a layer are counted.
#pragma once

#include "base/address.h"
#include "policy/fleet.h"
#include "wire/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail::StandIn
{

/// All engines of a test.
struct ChainEnginesOptions {
    int layers = 8;                 ///< of the model
    int events = 20;                ///< of an answer
    milliseconds eventInterval{10}; ///< between events
    milliseconds loadTime{30};      ///< from an order to its end
    milliseconds stallTimeout{600}; ///< a stream that waits for a dead engine is cut after this time
};

/// Engines on the loop of their process.
class ChainEngines
{
public:
    ChainEngines(EventLoop &loop, ChainEnginesOptions options);
    ~ChainEngines();

    /// Starts an engine; returns its address. Chains name it by `registered` if that is given.
    Address add(const std::string &id, const Address &registered = {});
    /// It accepts connections and never answers, and streams through it stall.
    void makeUnresponsive(const std::string &id);
    /// It closes all connections and takes no more.
    void crash(const std::string &id);
    /// It refuses new streams through it and goes on with those that it has.
    void refuseNewStreams(const std::string &id);
    /// Cuts the connections of all streams that entered the chain there, in the middle of an event.
    void cutStreams(const std::string &id);
    /// Orders get no answer, and are carried out all the same.
    void dropOrderResponses(bool drops);

    LayerRange layers(const std::string &id) const;
    void setLayers(const std::string &id, LayerRange layers);
    /// Streams begun, ended by their own end, and open.
    int startedStreams() const;
    int openStreams() const;
    /// Orders to move a request that were carried out.
    int movedStreams() const;
    /// Orders to hold a range that were accepted, and refused because of their count.
    int acceptedPlacements() const;
    int refusedPlacements() const;
    /// Requests whose chain did not apply every layer once and in order.
    int invalidChains() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
