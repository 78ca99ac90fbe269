#include "entry/admission_queue.h"

#include "policy/progress.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace Parsleytrail
{

namespace
{

/// What a waiting request calls.
struct Callbacks {
    std::function<void()> start;
    std::function<void()> refuse;
};

/// Streams of one model.
struct Lane {
    AdmissionLimit limit;
    FairShareLedger shares;
    std::size_t running = 0;
    std::vector<WaitingRequest> waiting; ///< parallel to callbacks
    std::vector<Callbacks> callbacks;
    TimeEstimate firstToken; ///< from start to first token

    /// Takes a waiting request out.
    Callbacks take(std::size_t index)
    {
        Callbacks result = std::move(callbacks[index]);
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
        callbacks.erase(callbacks.begin() + static_cast<std::ptrdiff_t>(index));
        return result;
    }
    bool hasRoom() const
    {
        return static_cast<double>(running) < limit.limit;
    }
};

} // namespace

struct AdmissionQueue::Private {
    EntryContext &context;
    std::map<ModelName, Lane> lanes;
    std::uint64_t &refused;

    void startNext(Lane &lane);
};

AdmissionQueue::AdmissionQueue(EntryContext &context)
    : d(new Private{context, {}, context.metrics.counter("parsley_admission_refused", "Requests refused because their first token would have been late.")})
{
}

AdmissionQueue::~AdmissionQueue() = default;

void AdmissionQueue::Private::startNext(Lane &lane)
{
    const TimePoint now = context.clock.now();
    while (lane.hasRoom()) {
        const std::size_t next = selectNext(lane.waiting, lane.shares, now);
        if (next == lane.waiting.size()) {
            return;
        }
        recordStart(lane.shares, lane.waiting[next], now);
        ++lane.running;
        const Callbacks callbacks = lane.take(next);
        callbacks.start();
    }
}

void AdmissionQueue::admit(AdmissionRequest request, std::function<void()> start, std::function<void()> refuse)
{
    Lane &lane = d->lanes[request.model];
    const bool isLimited = request.betweenTokens.count() > 0;
    if (!isLimited) {
        ++lane.running;
        return start();
    }
    if (lane.waiting.size() >= maxWaiting) {
        ++d->refused;
        return refuse();
    }
    // By the mean alone, half of those that start last would have their first token too late.
    const milliseconds expected =
        lane.firstToken.meanSeconds > 0 ? adaptiveTimeout(lane.firstToken, milliseconds(0), request.firstTokenDeadline) : milliseconds(0);
    request.waiting.arrivedAt = d->context.clock.now();
    request.waiting.startBy = request.waiting.arrivedAt + std::max<microseconds>(request.firstTokenDeadline - expected, milliseconds(1));
    lane.waiting.push_back(std::move(request.waiting));
    lane.callbacks.push_back({std::move(start), std::move(refuse)});
    d->startNext(lane);
}

bool AdmissionQueue::cancel(const ModelName &model, const RequestId &request)
{
    Lane &lane = d->lanes[model];
    const auto it = std::find_if(lane.waiting.begin(), lane.waiting.end(), [&request](const WaitingRequest &waiting) {
        return waiting.id == request;
    });
    if (it == lane.waiting.end()) {
        return false;
    }
    lane.take(static_cast<std::size_t>(it - lane.waiting.begin()));
    return true;
}

void AdmissionQueue::noteEnd(const ModelName &model)
{
    Lane &lane = d->lanes[model];
    --lane.running;
    d->startNext(lane);
}

void AdmissionQueue::noteFirstToken(const ModelName &model, double seconds, double targetSeconds)
{
    recordTime(d->lanes[model].firstToken, seconds);
    noteGap(model, seconds, targetSeconds);
}

void AdmissionQueue::noteGap(const ModelName &model, double seconds, double targetSeconds)
{
    if (targetSeconds > 0) {
        Lane &lane = d->lanes[model];
        Parsleytrail::recordLatency(lane.limit, seconds, targetSeconds, lane.running, d->context.clock.now());
    }
}

void AdmissionQueue::tick()
{
    const TimePoint now = d->context.clock.now();
    for (auto &[model, lane] : d->lanes) {
        d->startNext(lane);
        std::vector<Callbacks> late;
        const std::vector<std::size_t> indices = expiredRequests(lane.waiting, now);
        for (auto index = indices.rbegin(); index != indices.rend(); ++index) {
            late.push_back(lane.take(*index));
        }
        d->refused += late.size();
        for (const Callbacks &callbacks : late) {
            callbacks.refuse();
        }
    }
}

std::string AdmissionQueue::describe() const
{
    nlohmann::json lanes = nlohmann::json::object();
    for (const auto &[model, lane] : d->lanes) {
        lanes[model.value] = {{"running", lane.running}, {"waiting", lane.waiting.size()}, {"limit", lane.limit.limit}};
    }
    return lanes.dump();
}

} // namespace Parsleytrail
