// The queue of one relay: streams that wait a short time for room.
//
//     StreamQueue queue(context);
//     if (queue.hasWaiting(service, priority)) ...        // a new stream does not pass these
//     QueuedStream stream = ...;                          // its place in the order, and what to do when its turn comes
//     const auto ticket = queue.add(std::move(stream));   // 0: refused already
//     queue.recordEnd(service);                           // a stream ended: others are tried after the current iteration
//     queue.check(now);                                   // every forwardingCheckInterval
//
// A stream that waits has not run. It leaves the queue before it is started or refused, so that each happens at most once and never
// both. Used for services whose streams differ in priority. policy/stream_queue.h decides who waits and who is next.
#pragma once

#include "policy/stream_queue.h"
#include "relay/context.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

struct ForwardedRequest;
struct ChainStage;

/// A stream that may wait. The functions are called only by the queue.
struct QueuedStream {
    ServiceName service;
    std::string route;                                 ///< name of its route, for the log
    WaitingRequest order;                              ///< its place in the order; `id` is the attempt id
    std::function<std::vector<ChainStage>()> findRoom; ///< a chain with room for it; empty if there is none
    std::function<void(std::vector<ChainStage>)> run;  ///< sends it to that chain
    std::function<void(std::string_view reason, milliseconds retryAfter, const std::string &inputs)> refuse; ///< refuses it; it has not run
};

class StreamQueue
{
public:
    using Ticket = std::uint64_t; ///< identifies a waiting stream; 0: none

    explicit StreamQueue(RelayContext &context);
    ~StreamQueue();

    /// Whether streams of the service wait that a new one of this priority must not pass.
    bool hasWaiting(const ServiceName &service, int priority) const;
    /// The forecast for a stream as add() would use it, without side effects.
    RoomForecast forecast(const ServiceName &service, const WaitingRequest &stream) const;
    /// Lets a stream wait, or refuses it at once if no room is forecast in time; returns 0 then. If more wait than can start in time, the
    /// last one is refused, which may be this stream: its ticket then identifies no stream any more.
    Ticket add(QueuedStream stream);
    /// Removes a stream whose caller disconnected. Does nothing if it has left already.
    void remove(Ticket ticket);
    /// Records that a stream of the service ended, which makes room.
    void recordEnd(const ServiceName &service);
    /// Tries the next streams of all services, and refuses those that can't start in time any more.
    void check(TimePoint now);
    /// Refuses all streams that wait, and from now on each that would wait: the process is stopping.
    void drain();
    /// Waiting streams and the observed rate of each service, for the state dump.
    nlohmann::json describe() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// The place in the order of a request for a stream of `tokens` tokens (prompt and expected answer).
WaitingRequest makeWaitingRequest(const RelayContext &context, const ForwardedRequest &request, double tokens);

} // namespace Parsleytrail
