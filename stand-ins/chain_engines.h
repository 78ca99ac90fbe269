// Stand-in for engines that hold layer ranges and pass activations among themselves.
//
// They implement the engines' HTTP protocol: requests with a chain, reports, orders to load a layer range and orders to
// move a stream to another chain. The events of a stream are numbered from the one after Last-Event-Id; an event is sent
// only while every engine of the chain responds and holds its layers. Chains that skip, repeat or swap a layer are
// accepted and counted.
#pragma once

#include "base/address.h"
#include "policy/fleet.h"
#include "wire/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail::StandIn
{

/// How the end of a stream is marked.
enum class StreamFraming : std::uint8_t {
    Chunked,   ///< by a last chunk
    UntilClose ///< by closing the connection: neither a length nor chunks
};

/// How a stream is cut in the middle of an event.
enum class StreamCut : std::uint8_t {
    Reset, ///< the connection is reset
    Close, ///< the connection is closed in an orderly way
    End    ///< the stream ends as a complete one does
};

/// Settings shared by all engines of a test.
struct ChainEnginesOptions {
    int layers = 8;                 ///< layers of the model
    int events = 20;                ///< events in a complete response, numbered from 1
    milliseconds eventInterval{10}; ///< time between two events of a stream
    milliseconds loadTime{30};      ///< time to load a layer range after an order
    milliseconds stallTimeout{600}; ///< a stream whose chain has an unavailable engine is closed after this time
    milliseconds prefillTime{0};    ///< time that an engine takes for each stream moved to it, one after the other
    StreamFraming framing = StreamFraming::Chunked;
};

/// Engines that run on the caller's event loop.
class ChainEngines
{
public:
    ChainEngines(EventLoop &loop, ChainEnginesOptions options);
    ~ChainEngines();

    /// Starts an engine; returns the address it listens on. Chains identify it by `registered` if that is given, else by
    /// the returned address.
    Address add(const std::string &id, const Address &registered = {});
    /// The engine accepts connections but never responds, and streams through it stall.
    void makeUnresponsive(const std::string &id);
    /// No stream gets an event for this time. Engines go on to answer probes and orders.
    void holdEvents(milliseconds time);
    /// The engine resets all connections and accepts no new ones.
    void crash(const std::string &id);
    /// Each engine that begins to answer a prompt with this part crashes before its first event. The last part of a prompt never does that.
    void crashOnPromptPart(const std::string &part);
    /// When streams with such a part reached engines, and when engines crashed because of them.
    const std::vector<TimePoint> &arrivalsOfCrashingPart() const;
    const std::vector<TimePoint> &crashesByPromptPart() const;
    bool isCrashed(const std::string &id) const;
    /// The engine refuses new streams whose chain includes it and continues the open ones.
    void refuseNewStreams(const std::string &id);
    /// The engine accepts new streams and never begins them. It answers probes, and open streams continue.
    void ignoreNewStreams(const std::string &id);
    /// The engine neither executes nor answers orders to move a stream.
    void ignoreMoves(const std::string &id);
    /// Cuts all streams whose first engine is this one in the middle of an event.
    void cutStreams(const std::string &id, StreamCut cut = StreamCut::Reset);
    /// From now on the engine ends new streams as complete ones before their first event.
    void endStreamsWithoutEvents(const std::string &id);
    /// Orders to load a range are executed, but get no response.
    void dropOrderResponses(bool drops);

    /// The engine names a limit of requests a second in its responses; zero: none.
    void nameLimit(const std::string &id, double perSecond);
    /// The engine refuses new streams that it is the first engine of, with this Retry-After; empty: it takes them again.
    void requestPauses(const std::string &id, const std::string &retryAfter);
    /// The engine says in all its responses that it is leaving.
    void sayLeaving(const std::string &id);
    /// When it refused each of them.
    const std::vector<TimePoint> &pauseRequests(const std::string &id) const;
    /// When each stream whose first engine is this one was started.
    const std::vector<TimePoint> &streamStarts(const std::string &id) const;

    /// Layers that the engine holds.
    LayerRange layers(const std::string &id) const;
    void setLayers(const std::string &id, LayerRange layers);
    /// Streams started so far, and streams open now.
    int startedStreams() const;
    int openStreams() const;
    /// New streams, and orders to move a stream, that were ignored.
    int ignoredStreams() const;
    int ignoredMoves() const;
    /// Orders to move a stream that were executed.
    int movedStreams() const;
    /// Ids of the requests in the order in which they were moved, and of the accepted ones in the order in which they were started.
    const std::vector<std::string> &movedIds() const;
    const std::vector<std::string> &startedIds() const;
    /// Priority with which a request was last started; empty if it had none.
    std::string requestPriority(const std::string &id) const;
    /// Orders to load a range: accepted ones, and ones refused because the engine was busy or the number of orders that it
    /// had accepted was not the expected one.
    int acceptedPlacements() const;
    int refusedPlacements() const;
    /// Accepted chains, of new streams and of orders to move a stream, that did not cover every layer once and in order.
    int invalidChains() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
