#include "relay/stream_queue.h"

#include "base/log.h"
#include "relay/forwarding.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace Parsleytrail
{

/// A stream needs this long before its deadline to be started; see minAttemptTime of stream_forwarding.cpp.
constexpr milliseconds minTimeToDeadline{300};

/// Streams of one service that wait, and how fast its streams end.
struct ServiceQueue {
    EndRate ends;
    std::vector<WaitingRequest> order; ///< in the same order as `streams`
    std::vector<std::pair<StreamQueue::Ticket, QueuedStream>> streams;

    QueuedStream take(std::size_t index)
    {
        QueuedStream stream = std::move(streams[index].second);
        order.erase(order.begin() + static_cast<std::ptrdiff_t>(index));
        streams.erase(streams.begin() + static_cast<std::ptrdiff_t>(index));
        return stream;
    }
};

struct StreamQueue::Private {
    RelayContext &context;
    Timer roomTimer; ///< runs after the iteration of the event loop in which streams ended
    std::map<ServiceName, ServiceQueue> queues{};
    Ticket lastTicket = 0;
    bool isDraining = false;

    void startNext(ServiceQueue &queue, TimePoint now);
    void startNextOfAll();
    void refuseExpired(ServiceQueue &queue, TimePoint now);
    void refuse(const ServiceQueue &queue, const QueuedStream &stream, std::string_view outcome, const RoomForecast &forecast);
    QueuedStream take(ServiceQueue &queue, std::size_t index);
    FairShareLedger ledger(const ServiceQueue &queue) const;
    RoomForecast forecastRoom(const ServiceQueue &queue, const WaitingRequest &stream, TimePoint now) const;
};

static std::size_t priorityIndex(const WaitingRequest &stream)
{
    return static_cast<std::size_t>(std::clamp(stream.priority, 0, lowestPriority));
}

static std::string millisecondsSince(TimePoint from, TimePoint to)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(to - from).count());
}

static std::string forecastText(const RoomForecast &forecast)
{
    return absl::StrCat("ahead ", forecast.ahead, " ends_per_s ", forecast.endsPerSecond, " room_ms ", forecast.roomIn.count(), " allowed_ms ",
                        forecast.allowedWait.count());
}

WaitingRequest makeWaitingRequest(const RelayContext &context, const ForwardedRequest &request, double tokens)
{
    const TimePoint arrivedAt = request.exchange->receivedAt();
    const milliseconds firstEventDelay(static_cast<std::int64_t>(context.firstEventDelay.averageMs));
    WaitingRequest stream;
    stream.id = {request.attemptId};
    stream.workspace = request.workspace;
    stream.cost = tokens;
    stream.arrivedAt = arrivedAt;
    stream.startBy = std::min(latestStart(arrivedAt, request.route->targetLatency, firstEventDelay), request.deadline - minTimeToDeadline);
    stream.priority = request.priority;
    return stream;
}

/// Tokens that the workspaces of the waiting streams started lately, at all relays.
FairShareLedger StreamQueue::Private::ledger(const ServiceQueue &queue) const
{
    return fleetLedger(context.workspaces, queue.order, context.clock.now());
}

RoomForecast StreamQueue::Private::forecastRoom(const ServiceQueue &queue, const WaitingRequest &stream, TimePoint now) const
{
    std::vector<WaitingRequest> withStream = queue.order;
    withStream.push_back(stream);
    const FairShareLedger used = fleetLedger(context.workspaces, withStream, now);
    return Parsleytrail::forecastRoom(queue.order, used, stream, endsPerSecond(queue.ends, now), now);
}

QueuedStream StreamQueue::Private::take(ServiceQueue &queue, std::size_t index)
{
    QueuedStream stream = queue.take(index);
    --*context.metrics.streamQueue.waiting[priorityIndex(stream.order)];
    return stream;
}

/// Refuses a stream that was never in the queue, or was removed from it.
void StreamQueue::Private::refuse(const ServiceQueue &queue, const QueuedStream &stream, std::string_view outcome, const RoomForecast &forecast)
{
    const TimePoint now = context.clock.now();
    const milliseconds retryAfter = roomRetryAfter(queue.streams.size(), forecast.endsPerSecond, drawShare(context.random));
    ++*context.metrics.streamQueue.refused[priorityIndex(stream.order)];
    logEvent(Event::StreamWaitRefused, {{"id", stream.order.id.value},
                                        {"route", stream.route},
                                        {"priority", std::to_string(stream.order.priority)},
                                        {"outcome", std::string(outcome)},
                                        {"held_ms", millisecondsSince(stream.order.arrivedAt, now)},
                                        {"inputs", forecastText(forecast)},
                                        {"waiting", std::to_string(queue.streams.size())},
                                        {"retry_after_ms", std::to_string(retryAfter.count())}});
    stream.refuse(isDraining ? "stopping" : "no-room", retryAfter, forecastText(forecast));
}

/// Starts waiting streams in their order until one finds no room. Later ones are not tried then, as small streams would always pass a large one.
void StreamQueue::Private::startNext(ServiceQueue &queue, TimePoint now)
{
    for (;;) {
        const std::size_t next = nextStream(queue.order, ledger(queue), now);
        if (next == queue.order.size()) {
            return;
        }
        std::vector<ChainStage> chain = queue.streams[next].second.findRoom();
        if (chain.empty()) {
            return;
        }
        const QueuedStream stream = take(queue, next);
        ++*context.metrics.streamQueue.started[priorityIndex(stream.order)];
        logEvent(Event::StreamWaitEnded, {{"id", stream.order.id.value},
                                          {"route", stream.route},
                                          {"priority", std::to_string(stream.order.priority)},
                                          {"held_ms", millisecondsSince(stream.order.arrivedAt, now)},
                                          {"left_ms", millisecondsSince(now, stream.order.startBy)},
                                          {"waiting", std::to_string(queue.streams.size())}});
        stream.run(std::move(chain));
    }
}

void StreamQueue::Private::startNextOfAll()
{
    const TimePoint now = context.clock.now();
    for (auto &[service, queue] : queues) {
        startNext(queue, now);
    }
}

void StreamQueue::Private::refuseExpired(ServiceQueue &queue, TimePoint now)
{
    // One at a time: a refusal completes an exchange, and its connection may deliver a request that is added here.
    for (std::vector<std::size_t> expired = expiredRequests(queue.order, now); !expired.empty(); expired = expiredRequests(queue.order, now)) {
        const QueuedStream stream = take(queue, expired.front());
        refuse(queue, stream, "late", forecastRoom(queue, stream.order, now));
    }
}

StreamQueue::StreamQueue(RelayContext &context)
    : d(new Private{context, Timer(context.loop, [this] {
                        d->startNextOfAll();
                    })})
{
}

StreamQueue::~StreamQueue() = default;

bool StreamQueue::hasWaiting(const ServiceName &service, int priority) const
{
    const auto it = d->queues.find(service);
    return it != d->queues.end() && Parsleytrail::hasWaiting(it->second.order, priority, d->context.clock.now());
}

RoomForecast StreamQueue::forecast(const ServiceName &service, const WaitingRequest &stream) const
{
    const TimePoint now = d->context.clock.now();
    const auto it = d->queues.find(service);
    return d->forecastRoom(it == d->queues.end() ? ServiceQueue() : it->second, stream, now);
}

StreamQueue::Ticket StreamQueue::add(QueuedStream stream)
{
    const TimePoint now = d->context.clock.now();
    ServiceQueue &queue = d->queues[stream.service];
    const RoomForecast forecast = d->forecastRoom(queue, stream.order, now);
    if (d->isDraining || !forecast.isInTime) {
        d->refuse(queue, stream, d->isDraining ? "stopping" : "not in time", forecast);
        return 0;
    }
    const Ticket ticket = ++d->lastTicket;
    ++*d->context.metrics.streamQueue.waited[priorityIndex(stream.order)];
    ++*d->context.metrics.streamQueue.waiting[priorityIndex(stream.order)];
    logEvent(Event::StreamWaits, {{"id", stream.order.id.value},
                                  {"route", stream.route},
                                  {"priority", std::to_string(stream.order.priority)},
                                  {"workspace", stream.order.workspace.value},
                                  {"inputs", forecastText(forecast)},
                                  {"waiting", std::to_string(queue.streams.size())}});
    queue.order.push_back(stream.order);
    queue.streams.emplace_back(ticket, std::move(stream));
    const std::size_t displaced = displacedStream(queue.order, d->ledger(queue), forecast.endsPerSecond, now);
    if (displaced < queue.order.size()) {
        const QueuedStream last = d->take(queue, displaced);
        d->refuse(queue, last, "displaced", d->forecastRoom(queue, last.order, now));
    }
    return ticket;
}

void StreamQueue::remove(Ticket ticket)
{
    for (auto &[service, queue] : d->queues) {
        const auto it = std::find_if(queue.streams.begin(), queue.streams.end(), [ticket](const auto &item) {
            return item.first == ticket;
        });
        if (it == queue.streams.end()) {
            continue;
        }
        const QueuedStream stream = d->take(queue, static_cast<std::size_t>(it - queue.streams.begin()));
        logEvent(Event::StreamWaitAbandoned, {{"id", stream.order.id.value},
                                              {"route", stream.route},
                                              {"priority", std::to_string(stream.order.priority)},
                                              {"held_ms", millisecondsSince(stream.order.arrivedAt, d->context.clock.now())},
                                              {"waiting", std::to_string(queue.streams.size())}});
        return;
    }
}

void StreamQueue::recordEnd(const ServiceName &service)
{
    ServiceQueue &queue = d->queues[service];
    Parsleytrail::recordEnd(queue.ends, d->context.clock.now());
    if (!queue.order.empty() && !d->roomTimer.isRunning()) {
        d->roomTimer.start(microseconds(0));
    }
}

void StreamQueue::check(TimePoint now)
{
    for (auto &[service, queue] : d->queues) {
        d->refuseExpired(queue, now);
        d->startNext(queue, now);
    }
}

void StreamQueue::drain()
{
    d->isDraining = true;
    const TimePoint now = d->context.clock.now();
    for (auto &[service, queue] : d->queues) {
        while (!queue.order.empty()) {
            const QueuedStream stream = d->take(queue, 0);
            d->refuse(queue, stream, "stopping", d->forecastRoom(queue, stream.order, now));
        }
    }
}

nlohmann::json StreamQueue::describe() const
{
    const TimePoint now = d->context.clock.now();
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[service, queue] : d->queues) {
        nlohmann::json &described = result[service.value];
        described = {{"waiting", queue.order.size()}, {"endsPerSecond", endsPerSecond(queue.ends, now)}, {"streams", nlohmann::json::array()}};
        for (const WaitingRequest &stream : queue.order) {
            described["streams"].push_back({{"id", stream.id.value},
                                            {"priority", stream.priority},
                                            {"effectivePriority", effectivePriority(stream, now)},
                                            {"workspace", stream.workspace.value},
                                            {"heldMs", std::chrono::duration_cast<milliseconds>(now - stream.arrivedAt).count()},
                                            {"leftMs", std::chrono::duration_cast<milliseconds>(stream.startBy - now).count()}});
        }
    }
    return result;
}

} // namespace Parsleytrail
