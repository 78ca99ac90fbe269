#include "entry/admission_queue.h"

#include "policy/progress.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace Parsleytrail
{

namespace
{

/// Callbacks of a waiting request; at most one of them is called.
struct Callbacks {
    std::function<void()> start;
    std::function<void()> refuse;
};

/// Running streams and waiting requests of one model.
struct ModelQueue {
    AdmissionLimit limit;
    FairShareLedger shares;
    std::size_t running = 0;
    std::vector<WaitingRequest> waiting; ///< in the same order as `callbacks`
    std::vector<Callbacks> callbacks;
    TimeEstimate firstToken; ///< time from start to first token

    /// Removes a waiting request and returns its callbacks.
    Callbacks removeWaiting(std::size_t index)
    {
        Callbacks result = std::move(callbacks[index]);
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
        callbacks.erase(callbacks.begin() + static_cast<std::ptrdiff_t>(index));
        return result;
    }
    bool hasFreeSlot() const
    {
        return static_cast<double>(running) < limit.limit;
    }
};

} // namespace

struct AdmissionQueue::Private {
    EntryContext &context;
    std::map<ModelName, ModelQueue> queues;
    std::uint64_t &refused;

    void startNext(ModelQueue &queue);
};

AdmissionQueue::AdmissionQueue(EntryContext &context)
    : d(new Private{context, {}, context.metrics.counter("parsley_admission_refused", "Requests refused because their first token would have been late.")})
{
}

AdmissionQueue::~AdmissionQueue() = default;

void AdmissionQueue::Private::startNext(ModelQueue &queue)
{
    const TimePoint now = context.clock.now();
    while (queue.hasFreeSlot()) {
        const std::size_t next = selectNext(queue.waiting, queue.shares, now);
        if (next == queue.waiting.size()) {
            return;
        }
        recordStart(queue.shares, queue.waiting[next], now);
        ++queue.running;
        const Callbacks callbacks = queue.removeWaiting(next);
        callbacks.start();
    }
}

void AdmissionQueue::admit(AdmissionRequest request, std::function<void()> start, std::function<void()> refuse)
{
    ModelQueue &queue = d->queues[request.model];
    const bool isLimited = request.betweenTokens.count() > 0;
    if (!isLimited) {
        ++queue.running;
        return start();
    }
    if (queue.waiting.size() >= maxWaitingPerModel) {
        ++d->refused;
        return refuse();
    }
    // The mean plus a margin for deviation: with the mean alone, half of the requests that start at the last possible time would
    // get their first token too late.
    const milliseconds expected =
        queue.firstToken.meanSeconds > 0 ? adaptiveTimeout(queue.firstToken, milliseconds(0), request.firstTokenDeadline) : milliseconds(0);
    request.waiting.arrivedAt = d->context.clock.now();
    request.waiting.startBy = request.waiting.arrivedAt + std::max<microseconds>(request.firstTokenDeadline - expected, milliseconds(1));
    queue.waiting.push_back(std::move(request.waiting));
    queue.callbacks.push_back({std::move(start), std::move(refuse)});
    d->startNext(queue);
}

bool AdmissionQueue::cancel(const ModelName &model, const RequestId &request)
{
    ModelQueue &queue = d->queues[model];
    const auto it = std::find_if(queue.waiting.begin(), queue.waiting.end(), [&request](const WaitingRequest &waiting) {
        return waiting.id == request;
    });
    if (it == queue.waiting.end()) {
        return false;
    }
    queue.removeWaiting(static_cast<std::size_t>(it - queue.waiting.begin()));
    return true;
}

void AdmissionQueue::recordEnd(const ModelName &model)
{
    ModelQueue &queue = d->queues[model];
    --queue.running;
    d->startNext(queue);
}

void AdmissionQueue::recordFirstToken(const ModelName &model, double seconds, double targetSeconds)
{
    recordTime(d->queues[model].firstToken, seconds);
    recordTokenGap(model, seconds, targetSeconds);
}

void AdmissionQueue::recordTokenGap(const ModelName &model, double seconds, double targetSeconds)
{
    if (targetSeconds > 0) {
        ModelQueue &queue = d->queues[model];
        Parsleytrail::recordLatency(queue.limit, seconds, targetSeconds, queue.running, d->context.clock.now());
    }
}

void AdmissionQueue::tick()
{
    const TimePoint now = d->context.clock.now();
    const bool isEnding = now >= d->context.answerBy; // what starts now would be cut
    for (auto &[model, queue] : d->queues) {
        if (!isEnding) {
            d->startNext(queue);
        }
        std::vector<Callbacks> expired;
        const std::vector<std::size_t> indices = expiredRequests(queue.waiting, isEnding ? TimePoint::max() : now);
        for (auto index = indices.rbegin(); index != indices.rend(); ++index) {
            expired.push_back(queue.removeWaiting(*index));
        }
        d->refused += expired.size();
        for (const Callbacks &callbacks : expired) {
            callbacks.refuse();
        }
    }
}

std::string AdmissionQueue::describe() const
{
    nlohmann::json queues = nlohmann::json::object();
    for (const auto &[model, queue] : d->queues) {
        queues[model.value] = {{"running", queue.running}, {"waiting", queue.waiting.size()}, {"limit", queue.limit.limit}};
    }
    return queues.dump();
}

} // namespace Parsleytrail
