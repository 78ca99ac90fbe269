// Forwarding of streams to engines. Each attempt selects a chain of engines, relays complete events one by one, and resumes
// after the last event relayed before it.
#include "relay/target_forwarding.h"

#include "base/log.h"
#include "base/text.h"
#include "policy/chain_health.h"
#include "policy/cross_data_center_budget.h"
#include "policy/departure.h"
#include "relay/chain_search.h"
#include "relay/data_center_search.h"
#include "relay/request_inputs.h"
#include "relay/stream_demand.h"
#include "relay/stream_queue.h"
#include "relay/stream_recovery.h"
#include "relay/workspace_reports.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Parsleytrail
{

/// Reading from an engine pauses while more than this is buffered for its caller.
constexpr std::size_t maxUnsentBytes = 64 * 1024;
/// How long a stream whose response has begun waits for a chain to continue. Callers disconnect after two seconds without an
/// event; the wait is longer, so that it is the caller that ends the response.
constexpr milliseconds maxCallerPause{2500};
/// Interval of searching for a chain while waiting for one.
constexpr milliseconds chainSearchInterval{150};
/// A stream that has no chain within the data centre that avoids a leaving engine is restarted elsewhere after this time, as
/// the engine's next loads of layers wait until the stream has left.
constexpr milliseconds leavingRestartDelay{400};
/// Interval of searching for a chain around a failed engine: loading lost layers takes some hundred milliseconds, and a first
/// engine responds to an order within a few milliseconds.
constexpr milliseconds moveRetryInterval{150};
/// A response that is not a stream, such as an error, is buffered up to this size.
constexpr std::size_t maxBufferedResponseBytes = 64 * 1024;
/// A stream is not retried with less time than this remaining, as processing its prompt takes some hundred milliseconds.
constexpr milliseconds minAttemptTime{300};
/// After this long without an event the first engine is queried for a report: several times the duration of a pass through an
/// entire chain.
constexpr milliseconds eventStallTimeout{350};
/// The same before the first event, while the prompt is processed in parts between the passes of other streams.
constexpr milliseconds firstEventStallTimeout{900};
/// Upper bound of a gap's contribution to the average gap, so that stalls don't raise the stall threshold.
constexpr double maxAveragedGapMs = 250;
/// Interval of querying a stalled stream's first engine.
constexpr milliseconds stallQueryInterval{250};
/// No new report is requested while the last one is younger: engines are slow for seconds, and every entry requests reports.
constexpr milliseconds minReportAge{2000};
/// After this many stall timeouts without an event the stream is restarted even if the faulty engine is unknown.
constexpr int stallsBeforeRestart = 4;
/// Estimated time until uncovered layers are loaded again: an order, a load of some layers, and the report of it.
constexpr milliseconds coverageRetryAfter{1800};
/// Estimated time until KV cache is free again: a fraction of the duration of a usual response, with a random spread so that
/// callers don't retry simultaneously.
constexpr milliseconds capacityRetryAfter{1200};
constexpr milliseconds capacityRetrySpread{2800};

/// With so many events, more than a possible cause of a crash has, a run shows that no part of its prompt crashes engines.
constexpr int eventsOfSoundRun = 8;

class StreamForwarding final : public TargetForwarding
{
public:
    StreamForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks)
        : TargetForwarding(context, std::move(request), hooks)
    {
    }

    void begin() override;
    void checkTimeouts(TimePoint now) override;
    void handleFailedTarget(const TargetId &id) override;
    void moveOffLeavingEngines() override;
    StreamActivity activity() const override
    {
        const bool usesEngines = !m_isOver && !m_chain.empty();
        return {usesEngines ? &m_chain : nullptr, m_lastProgressAt, m_hasEvents};
    }
    RecoveryState recoveryState(TimePoint now) const override;

private:
    ChainSelectionContext makeSelectionContext() const;
    void startFirstAttempt();
    bool isFirstSearch() const;
    void waitForRoom();
    void handleOver() override;
    milliseconds shortenedByPause(milliseconds retryAfter, milliseconds jitter) const;
    void startAttempt();
    void startOnChain(std::vector<ChainStage> chain);
    std::vector<ChainStage> findMove();
    void moveTo(std::vector<ChainStage> chain, double multiplier);
    bool startMove();
    double tokensSoFar() const;
    void queueRecovery(std::function<void()> recover);
    bool recover(const TargetId &lost);
    RecoveryAction chooseAction(const StreamMove &move);
    void giveWay(const StreamMove &move);
    void checkGivingWay(TimePoint now);
    void endGivingWay();
    bool isRetryReserved() const;
    bool isLeaveDue(TimePoint now);
    void handleMoveResult(bool isMoved, int move, const std::vector<ChainStage> &previousChain);
    int startedAttempts() const;
    bool canRestart() const;
    void restartOnOtherChain(std::string_view reason);
    void retryChainSearch(TimePoint now);
    void handleMissingChain(const ChainSelectionContext &selectionContext);
    void reserve(int direction);
    void handleHead(const HttpHead &head) override;
    void handleBody(std::string &body) override;
    void handleEvents(std::string &body);
    void relayEvent(const StreamEvent &event);
    void recordFirstEvent(TimePoint now);
    void requestReportsAfterLongGap(TimePoint now);
    bool restartIfFirstEngineIsSilent(TimePoint now);
    void restartWithoutItsEngines();
    void handleEnd() override;
    void handleRefusal(const HttpHead &head);
    void recordRefusedStage(const TargetId &id, int status);
    void handleFailure(const TargetFailure &failure) override;
    void retryOrEnd(std::string_view reason, bool mayHaveRun);
    void endAttempt() override;
    bool canRetryAfterRun() const override
    {
        return m_request.route->isResumable && !findQuarantinedInput(m_context, m_request);
    }
    int eventsOfAttempt() const override
    {
        return m_eventsOfAttempt;
    }
    std::string firstTarget() const
    {
        return m_chain.empty() ? std::string() : m_chain.front().id.value;
    }

    StreamDemand m_demand;
    std::vector<ChainStage> m_chain;
    std::set<TargetId> m_excluded;
    std::string m_bufferedBody;        ///< body of a response that is not a stream
    std::uint64_t m_lastEventId = 0;   ///< id of the last event relayed
    std::uint64_t m_resumeAfterId = 0; ///< the caller requested the events after this id
    TimePoint m_lastProgressAt{};      ///< start of the attempt or its last event
    TimePoint m_chainSince{};          ///< when the request was sent to the engines of its chain, or moved there
    TimePoint m_chainSearchedAt{};     ///< last search for a chain while waiting for one
    TimePoint m_leaveAt{};             ///< when the stream leaves a draining engine of its chain; zero: none drains
    TimePoint m_leavingSince{};        ///< since when an engine of the chain is leaving and no chain of the data centre avoids it
    TimePoint m_queriedAt{};           ///< when the first engine was last queried because of a stall
    TimePoint m_firstByteAt{};
    TimePoint m_lastEventAt{};         ///< when the last event was relayed
    milliseconds m_longestGap{0};      ///< longest time between two relayed events
    int m_refusals = 0;                ///< number of attempts refused by engines without running them
    bool m_isStream = false;           ///< the response of this attempt is an event stream
    bool m_hasEvents = false;          ///< events of this attempt were relayed
    int m_eventsOfAttempt = 0;         ///< number of events of this attempt that were relayed
    double m_backlogAtStartMs = 0;     ///< forecast backlog of the chain when the request was sent to it
    bool m_crossesDataCenters = false; ///< the chain has engines in several data centres
    bool m_isReserved = false;
    bool m_isWaitingForChain = false;      ///< the response has begun, and there is no chain to continue it
    TimePoint m_moveAttemptedAt{};         ///< last search for another chain for the running request
    int m_moves = 0;                       ///< identifies the last move; results of earlier ones are ignored
    TimePoint m_givesWayUntil{};           ///< latest time of the move of a stream that gives way; zero: it does not
    std::vector<ChainStage> m_awaited;     ///< stages whose engines it waits for while it gives way
    double m_recoveryMultiplier = 1;       ///< of the engine that it lost, until it is moved or restarted
    bool m_isRecoveryQueued = false;       ///< it is recovered at the end of this event loop iteration
    int m_recoveries = 0;                  ///< identifies the last queued recovery; earlier ones are ignored
    bool m_isEventMissing = false;         ///< an event is missing, so that this attempt can't be relayed
    StreamQueue::Ticket m_queueTicket = 0; ///< the request waits for room and has not been sent; 0: it does not
    bool m_isCounted = false;              ///< the stream counts as started by its workspace
};

/// A stream is not retried after this many refusals by engines: each costs a round trip and a share of the retry budget.
constexpr int maxRefusals = 3;

static std::string capacityText(const std::vector<DataCenterFreeCapacity> &capacities)
{
    std::vector<std::string> parts;
    parts.reserve(capacities.size());
    for (const DataCenterFreeCapacity &capacity : capacities) {
        parts.push_back(absl::StrCat(capacity.dataCenter, " engines ", capacity.engines, " slots ", capacity.freeSlots, " streams ", capacity.streams,
                                     " at layer ", capacity.bottleneckLayer));
    }
    return joined(parts, ", ");
}

void StreamForwarding::begin()
{
    const HttpHead &head = m_request.exchange->head();
    const HeaderNames &names = m_context.adapter.headers();
    m_demand = readStreamDemand(head, names, *m_request.service->engine);
    parseNumber(head.find(names.lastEventId), m_resumeAfterId);
    m_lastEventId = m_resumeAfterId;
    installCallerHandlers();
    startFirstAttempt();
}

/// Whether the request was never sent and may wait for room.
bool StreamForwarding::isFirstSearch() const
{
    return m_request.service->hasPriorities && m_chainSince == TimePoint();
}

void StreamForwarding::startFirstAttempt()
{
    if (isFirstSearch() && m_hooks.streamQueue->hasWaiting(m_request.service->name, m_request.priority)) {
        return waitForRoom();
    }
    startAttempt();
}

/// Waits in the relay's queue, which refuses the request if there is no room in time.
void StreamForwarding::waitForRoom()
{
    QueuedStream stream;
    stream.service = m_request.service->name;
    stream.route = m_request.route->name;
    stream.order = makeWaitingRequest(m_context, m_request, m_demand.promptTokens + m_demand.answerTokens);
    // `this` is valid while the stream is queued: endAttempt() removes it from the queue.
    stream.findRoom = [this] {
        // The first search has counted the request as wanted at engines that name a limit. Each further search would count it again.
        return findUnlimitedChain(m_context, *m_request.service, makeSelectionContext(), m_demand);
    };
    stream.run = [self = weak_from_this(), this](std::vector<ChainStage> chain) {
        const auto keep = self.lock();
        m_queueTicket = 0;
        // The request may have been quarantined while it waited.
        if (findQuarantinedInput(m_context, m_request)) {
            return retryOrEnd("the request crashes its targets", false);
        }
        startOnChain(std::move(chain));
    };
    stream.refuse = [self = weak_from_this(), this](std::string_view reason, milliseconds retryAfter, const std::string &inputs) {
        const auto keep = self.lock();
        m_queueTicket = 0;
        const FleetFreeCapacity capacity = freeCapacityLeft(m_context.fleet, makeSelectionContext(), m_demand);
        const milliseconds jitter = std::chrono::duration_cast<milliseconds>(capacityRetrySpread * drawShare(m_context.random));
        refuseRequest(m_context, m_request, {reason, shortenedByPause(retryAfter, jitter), absl::StrCat(capacityText(capacity.dataCenters), "; ", inputs)},
                      m_attempts);
        end();
    };
    recordLackOfRoom(m_context, *m_request.service);
    m_queueTicket = m_hooks.streamQueue->add(std::move(stream));
}

void StreamForwarding::handleOver()
{
    if (m_request.service->hasPriorities && m_chainSince != TimePoint()) {
        m_hooks.streamQueue->recordEnd(m_request.service->name);
    }
}

/// Adds (`direction` +1) or removes (-1) the request and its planned KV cache at the engines of its chain.
void StreamForwarding::reserve(int direction)
{
    m_isReserved = direction > 0;
    const double tokens = plannedKvTokens(m_demand);
    for (const ChainStage &stage : m_chain) {
        if (Target *target = findTarget(m_context.fleet, stage.id)) {
            target->openRequests = std::max(0, target->openRequests + direction);
            target->kvTokenLayers = std::max(0.0, target->kvTokenLayers + direction * tokens * stage.layers.count());
        }
    }
}

/// A Retry-After time, shortened if a pause that an engine requested ends before.
milliseconds StreamForwarding::shortenedByPause(milliseconds retryAfter, milliseconds jitter) const
{
    const milliseconds pauseLeft = timeUntilPauseEnds(m_context.fleet, m_request.service->name, m_context.clock.now());
    return pauseLeft > milliseconds(0) ? std::min(retryAfter, pauseLeft + jitter / 4) : retryAfter;
}

void StreamForwarding::handleMissingChain(const ChainSelectionContext &selectionContext)
{
    if (m_mayHaveRun && selectionContext.now - m_lastEventAt < maxCallerPause) {
        // The caller has received a part of its response; uncovered layers are often loaded before it disconnects.
        m_isWaitingForChain = true;
        m_chain.clear();
        return;
    }
    const FleetFreeCapacity capacity = freeCapacityLeft(m_context.fleet, selectionContext, m_demand);
    const bool isFull = capacity.coversAllLayers;
    const std::string_view reason = isFull ? "no-room" : "no-chain";
    if (isFull) {
        recordLackOfRoom(m_context, *m_request.service);
    }
    if (m_mayHaveRun) {
        failRequest(m_context, m_request, reason, firstTarget(), m_attempts);
        return end();
    }
    // A chain that only limits of requests a second rule out has room: waiting for the end of a stream would not help.
    if (isFull && isFirstSearch() && findChain(m_context, *m_request.service, selectionContext, m_demand).empty()) {
        return waitForRoom();
    }
    std::uniform_int_distribution<std::int64_t> spread(0, capacityRetrySpread.count());
    const milliseconds jitter(spread(m_context.random));
    milliseconds retryAfter = isFull ? capacityRetryAfter + jitter : coverageRetryAfter + jitter / 2;
    retryAfter = shortenedByPause(retryAfter, jitter);
    refuseRequest(m_context, m_request, {reason, retryAfter, capacityText(capacity.dataCenters)}, m_attempts);
    end();
}

ChainSelectionContext StreamForwarding::makeSelectionContext() const
{
    ChainSelectionContext selectionContext;
    selectionContext.model = &*m_request.service->engine;
    selectionContext.service = m_request.service->name;
    selectionContext.dataCenter = m_context.settings.dataCenter;
    selectionContext.now = m_context.clock.now();
    selectionContext.excluded = m_excluded;
    const bool isBegun = m_lastEventAt != TimePoint();
    const milliseconds target = isBegun ? m_request.route->targetGap : m_request.route->targetLatency;
    if (target > milliseconds(0)) {
        selectionContext.nextEventDue = (isBegun ? m_lastEventAt : m_request.exchange->receivedAt()) + target;
    }
    return selectionContext;
}

void StreamForwarding::startAttempt()
{
    const ChainSelectionContext selectionContext = makeSelectionContext();
    std::vector<ChainStage> chain = findAdmittedChain(m_context, *m_request.service, selectionContext, m_demand);
    if (chain.empty()) {
        return handleMissingChain(selectionContext);
    }
    startOnChain(std::move(chain));
}

void StreamForwarding::startOnChain(std::vector<ChainStage> chain)
{
    const TimePoint now = m_context.clock.now();
    m_isWaitingForChain = false;
    m_leavingSince = TimePoint();
    m_leaveAt = TimePoint();
    m_chain = std::move(chain);
    const ServiceSpec &service = *m_request.service;
    const double crossBytes = crossDataCenterBytes(m_context.fleet, *service.engine, m_chain, m_demand);
    m_crossesDataCenters = crossBytes > 0;
    consumeCrossDataCenterBudget(crossDataCenterBudget(m_context, service), crossBytes);
    m_backlogAtStartMs = chainBacklogMs(m_context.fleet, m_chain, now);
    reserve(+1);
    // A resumed stream processes its prompt and the answer up to its last event; each event is the answer tokens of a pass.
    const double tokens = m_demand.promptTokens + static_cast<double>(m_lastEventId) * service.engine->stepsPerPass;
    addChainPrefill(m_context.fleet, *service.engine, m_chain, tokens, std::exchange(m_recoveryMultiplier, 1), now);
    if (!std::exchange(m_isCounted, true)) {
        recordStartedStream(m_context, m_request.workspace, m_demand);
    }
    const HeaderNames &names = m_context.adapter.headers();
    std::vector<AddedField> added = {{names.chain, m_context.adapter.encodeChain(m_chain)}};
    if (m_lastEventId > m_resumeAfterId) {
        added.push_back({names.lastEventId, std::to_string(m_lastEventId)});
    }
    if (service.hasPriorities) {
        added.push_back({names.requestPriority, std::to_string(m_request.priority)});
    }
    m_bufferedBody.clear();
    m_isStream = false;
    m_hasEvents = false;
    m_eventsOfAttempt = 0;
    m_isEventMissing = false;
    m_lastProgressAt = now;
    m_chainSince = now;
    m_queriedAt = now;
    sendTo(m_chain.front().id, m_chain.front().address, added);
}

void StreamForwarding::endAttempt()
{
    if (const StreamQueue::Ticket ticket = std::exchange(m_queueTicket, 0)) {
        m_hooks.streamQueue->remove(ticket);
    }
    if (m_isReserved) {
        reserve(-1);
    }
    // A move that was not answered yet concerned this attempt. Its result must not replace the chain of the next one.
    ++m_moves;
    ++m_recoveries;
    m_isRecoveryQueued = false;
    m_givesWayUntil = TimePoint();
    cancelExchange();
}

void StreamForwarding::handleHead(const HttpHead &head)
{
    m_isStream = head.status == 200 && isAuthenticResponse(m_context.adapter.headers(), head, m_request.attemptId);
    if (m_isStream) {
        ++m_attempts;
    }
}

void StreamForwarding::handleBody(std::string &body)
{
    if (m_isStream) {
        return handleEvents(body);
    }
    if (m_bufferedBody.size() + body.size() > maxBufferedResponseBytes) {
        return handleFailure({"no answer, and without end", true, false, true});
    }
    m_bufferedBody += body;
    body.clear();
    chargeBufferedResponse(m_bufferedBody);
}

/// Relays complete events; an incomplete one stays in `body` until its end arrives.
void StreamForwarding::handleEvents(std::string &body)
{
    std::size_t used = 0;
    StreamEvent event;
    ParseResult result = parseEvent(body, event);
    while (!m_isEventMissing && result == ParseResult::Complete) {
        used += event.bytes.size();
        relayEvent(event);
        result = parseEvent(std::string_view(body).substr(used), event);
    }
    body.erase(0, used);
    if (!m_isEventMissing && result == ParseResult::TooLarge) {
        return handleFailure({"event without end", true, false, true});
    }
    if (m_isEventMissing) {
        return retryOrEnd("event missing", true);
    }
    if (m_request.exchange->unsentBytes() > maxUnsentBytes && m_exchange) {
        m_exchange->pauseReading(true);
    }
}

void StreamForwarding::relayEvent(const StreamEvent &event)
{
    // A resumed run may repeat events that the caller already has. One that skips events would leave a gap.
    if (event.hasId && event.id <= m_lastEventId) {
        return;
    }
    if (event.hasId && event.id != m_lastEventId + 1) {
        m_isEventMissing = true;
        return;
    }
    const TimePoint now = m_context.clock.now();
    m_givesWayUntil = TimePoint(); // the engines of the chain work again
    if (!m_request.exchange->isBegun()) {
        m_firstByteAt = now;
        m_request.exchange->begin(m_exchange->head(), nullptr);
    } else {
        m_longestGap = std::max(m_longestGap, std::chrono::duration_cast<milliseconds>(now - m_lastEventAt));
        const double gap = std::chrono::duration<double>(now - m_lastEventAt).count();
        requestReportsAfterLongGap(now);
        if (m_crossesDataCenters) {
            recordCrossDataCenterGap(m_context.observedLinks[m_request.service->name], gap * 1000, m_request.route->targetGap);
        }
        m_context.metrics.eventGap.record(gap);
        constexpr double newShare = 0.02; // averages over about fifty events, which take a second or less
        m_context.averageEventGapMs += newShare * (std::min(gap * 1000, maxAveragedGapMs) - m_context.averageEventGapMs);
    }
    m_lastEventAt = now;
    m_request.exchange->send(event.bytes);
    if (event.hasId) {
        m_lastEventId = event.id;
    }
    if (!m_hasEvents) {
        recordFirstEvent(now);
    }
    m_hasEvents = true;
    if (++m_eventsOfAttempt == eventsOfSoundRun) {
        m_hooks.recordBegunRun(m_request);
    }
    m_lastProgressAt = now;
    ++m_context.metrics.events;
}

void StreamForwarding::recordFirstEvent(TimePoint now)
{
    // A request that was moved waited for other engines too.
    const bool isUndisturbed = m_moveAttemptedAt < m_lastProgressAt;
    if (isUndisturbed) {
        const double delayMs = std::chrono::duration<double, std::milli>(now - m_lastProgressAt).count();
        recordFirstEventOf(m_context, *m_request.service, m_chain, delayMs - m_backlogAtStartMs);
        recordDelay(m_context.firstEventDelay, std::chrono::duration_cast<milliseconds>(now - m_lastProgressAt));
    }
    if (Target *first = findTarget(m_context.fleet, m_chain.front().id)) {
        recordStreamBegun(*first, now);
    }
}

/// Requests reports from the engines of the chain after a gap of more than half of the route's target gap.
///
/// An engine that became slow still responds and forwards events, so that only its report distinguishes it from the others,
/// while all streams through it are late. Once it has reported its slowdown factor, new chains avoid it.
void StreamForwarding::requestReportsAfterLongGap(TimePoint now)
{
    const milliseconds allowed = m_request.route->targetGap;
    if (allowed <= milliseconds(0) || now - m_lastEventAt <= allowed / 2) {
        return;
    }
    for (const ChainStage &stage : m_chain) {
        const Target *target = findTarget(m_context.fleet, stage.id);
        if (target && now - target->reportedAt >= minReportAge) {
            m_hooks.requestEngineReport(stage.id);
        }
    }
}

void StreamForwarding::handleEnd()
{
    const HttpHead &head = m_exchange->head();
    if (!m_isStream) {
        return handleRefusal(head);
    }
    // Without a length or chunks nothing shows that a run was whole if it sent no events.
    const bool isEndShown = m_exchange->framing() != BodyFraming::UntilClose;
    const bool hasEarlierEvents = m_lastEventId != m_resumeAfterId;
    if (!m_hasEvents && !(hasEarlierEvents && isEndShown)) {
        return retryOrEnd("stream without events", true);
    }
    for (const ChainStage &stage : m_chain) {
        if (Target *target = findTarget(m_context.fleet, stage.id)) {
            recordSuccess(*target, m_chainSince);
        }
    }
    m_request.exchange->complete();
    m_hooks.recordCompletedRun(m_request);
    const TargetExchange &exchange = *m_exchange;
    recordServed(m_context, m_request, {head.status, firstTarget(), m_attempts, m_firstByteAt, m_longestGap, exchange.framing(), exchange.unconsumedBytes()});
    end();
}

/// Handles a complete response that is not a stream.
void StreamForwarding::handleRefusal(const HttpHead &head)
{
    const HeaderNames &names = m_context.adapter.headers();
    if (reportsNotExecuted(names, head)) {
        ++m_refusals;
        const std::string_view at = head.find(names.faultyTarget);
        TargetId faulty = m_chain.front().id;
        for (const ChainStage &stage : m_chain) {
            if (stage.address.toString() == at) {
                faulty = stage.id;
            }
        }
        m_excluded.insert(faulty);
        recordRefusedStage(faulty, head.status);
        return retryOrEnd("not executed", false);
    }
    ++m_attempts;
    const bool isAuthenticFailure = head.status >= 400 && !guaranteesNotRun(head.status) && isAuthenticResponse(names, head, m_request.attemptId);
    const bool canRetry = canRetryAfterRun() && head.status >= 500 && m_attempts < m_request.route->maxAttempts;
    if (isAuthenticFailure && !canRetry && !m_request.exchange->isBegun()) {
        const std::uint64_t length = m_bufferedBody.size();
        m_request.exchange->begin(head, &length);
        m_request.exchange->send(m_bufferedBody);
        m_request.exchange->complete();
        recordServed(m_context, m_request, {head.status, firstTarget(), m_attempts, m_context.clock.now(), {}, m_exchange->framing()});
        return end();
    }
    retryOrEnd(isAuthenticFailure ? "engine failed" : "answer is not the engine's own", true);
}

/// Records that an engine refused its stage, because it drains, holds other layers, or has no free capacity.
void StreamForwarding::recordRefusedStage(const TargetId &id, int status)
{
    Target *target = findTarget(m_context.fleet, id);
    if (!target) {
        return;
    }
    recordRefusal(*target, m_context.clock.now());
    logEvent(Event::PartRefused, {{"id", m_request.attemptId},
                                  {"target", id.value},
                                  {"status", std::to_string(status)},
                                  {"refusals", std::to_string(target->refusalsInRow)},
                                  {"open", std::to_string(totalOpenRequests(*target))}});
    m_hooks.requestEngineReport(id);
}

void StreamForwarding::handleFailure(const TargetFailure &failure)
{
    if (failure.mayHaveRun && !m_isStream) {
        ++m_attempts;
    }
    if (failure.isReused && failure.mayHaveRun && !failure.hasResponseHead) {
        --m_attempts;
        return retryOrEnd("kept connection was stale", true);
    }
    if (!m_chain.empty()) {
        m_excluded.insert(m_chain.front().id);
        avoidTarget(m_context, m_chain.front().id, failure.text);
        m_hooks.requestEngineReport(m_chain.front().id);
    }
    // The connections of a lost engine close together: the most urgent streams get the retry budget.
    endAttempt();
    queueRecovery([this, reason = failure.text, mayHaveRun = failure.mayHaveRun] {
        retryOrEnd(reason, mayHaveRun);
    });
}

void StreamForwarding::retryOrEnd(std::string_view reason, bool mayHaveRun)
{
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    endAttempt();
    const bool isAllowed = m_mayHaveRun ? canRetryAfterRun() : !findQuarantinedInput(m_context, m_request);
    const bool hasTime = m_context.clock.now() + minAttemptTime < m_request.deadline;
    const bool hasAttempts = m_attempts < m_request.route->maxAttempts && m_refusals < maxRefusals;
    const bool isReserved = isAllowed && hasTime && hasAttempts && isRetryReserved();
    if (isAllowed && hasTime && hasAttempts && !isReserved && tryConsumeServiceRetry(m_context, m_request.service->name)) {
        recordRetry(m_context, m_request, reason, firstTarget(), m_attempts);
        return startAttempt();
    }
    if (isReserved) {
        ++m_context.metrics.retriesLeft;
        logEvent(
            Event::RetryLeft,
            {{"id", m_request.attemptId}, {"route", m_request.route->name}, {"priority", std::to_string(m_request.priority)}, {"reason", std::string(reason)}});
    }
    if (isAllowed && hasTime && !mayHaveRun && m_request.exchange->isBegun()) {
        // This attempt has not run, and the caller has received a part of its response: wait, as a chain and a retry often become
        // available before it disconnects.
        m_isWaitingForChain = true;
        return;
    }
    if (m_mayHaveRun) {
        failRequest(m_context, m_request, reason, firstTarget(), m_attempts);
    } else {
        refuseRequest(m_context, m_request, {reason, capacityRetryAfter}, m_attempts);
    }
    end();
}

/// Selects a chain through other engines of the data centre for the running request. Engines that stay in the chain keep their KV
/// cache, and the caller sees a short pause. Empty if there is no such chain.
///
/// Chains through other data centres are excluded: the activations of all tokens so far would be transferred, some 15 MB a
/// stream, and the streams of one lost engine would fill the shared link for ten seconds or more. Processing the prompt again
/// elsewhere takes a tenth of a second.
std::vector<ChainStage> StreamForwarding::findMove()
{
    ChainTuning localTuning;
    localTuning.allowsCrossDataCenter = false;
    ChainSelectionContext selectionContext = makeSelectionContext();
    selectionContext.current = m_chain;
    reserve(-1);
    std::vector<ChainStage> chain = selectChain(m_context.fleet, selectionContext, m_demand, m_context.random, localTuning);
    reserve(+1);
    return chain;
}

/// Orders the first engine to continue through `chain`. The tokens that its other engines have to process are multiplied by
/// `multiplier` in their forecast; see recoveryMultiplier().
void StreamForwarding::moveTo(std::vector<ChainStage> chain, double multiplier)
{
    addPrefillOfMove(m_context, *m_request.service->engine, {m_chain, chain, tokensSoFar(), multiplier});
    reserve(-1);
    std::vector<ChainStage> previousChain = std::exchange(m_chain, std::move(chain));
    reserve(+1);
    m_moveAttemptedAt = m_context.clock.now();
    m_chainSince = m_moveAttemptedAt;
    const int move = ++m_moves;
    m_hooks.moveStream(m_request.attemptId, m_chain, [weak = weak_from_this(), this, move, previousChain = std::move(previousChain)](bool isMoved) {
        if (const auto self = weak.lock()) {
            handleMoveResult(isMoved, move, previousChain);
        }
    });
}

/// Moves the stream off an engine that still works, if there is another chain.
bool StreamForwarding::startMove()
{
    std::vector<ChainStage> chain = findMove();
    if (chain.empty()) {
        return false;
    }
    moveTo(std::move(chain), 1);
    return true;
}

/// Tokens that an engine without the stream's KV cache has to process.
double StreamForwarding::tokensSoFar() const
{
    return m_demand.promptTokens + static_cast<double>(m_lastEventId) * m_request.service->engine->stepsPerPass;
}

RecoveryState StreamForwarding::recoveryState(TimePoint now) const
{
    const Route &route = *m_request.route;
    const bool isBegun = m_request.exchange->isBegun();
    const milliseconds target = isBegun ? route.targetGap : route.targetLatency;
    const TimePoint since = isBegun ? m_lastEventAt : m_request.exchange->receivedAt();
    LostStream urgency{m_request.service->hasPriorities, m_request.priority};
    if (target > milliseconds(0)) {
        urgency.msLeft = std::chrono::duration<double, std::milli>(since + target - now).count();
    }
    return {m_request.service, urgency, m_givesWayUntil, m_request.attemptId};
}

/// Calls `recover` together with the recoveries of other streams in this event loop iteration, in order of urgency. Without
/// priorities each stream is recovered at once.
void StreamForwarding::queueRecovery(std::function<void()> recover)
{
    if (!m_request.service->hasPriorities) {
        return recover();
    }
    m_isRecoveryQueued = true;
    const LostStream urgency = recoveryState(m_context.clock.now()).urgency;
    m_hooks.recoverInOrder(urgency, [weak = weak_from_this(), this, number = ++m_recoveries, recover = std::move(recover)] {
        const auto self = weak.lock();
        if (self && !m_isOver && number == m_recoveries) {
            m_isRecoveryQueued = false;
            recover();
        }
    });
}

/// Recovers the running request from the loss of an engine behind the first one: by a move, a restart, or by giving way to streams
/// that can still be on time. Returns false if it can't be moved.
bool StreamForwarding::recover(const TargetId &lost)
{
    const double multiplier = rememberedMultiplier(m_context.lostEngines, m_context.fleet, lost, m_context.clock.now());
    std::vector<ChainStage> chain = findMove();
    if (chain.empty()) {
        return false;
    }
    const StreamMove move{m_chain, chain, tokensSoFar(), multiplier};
    const ServiceSpec &service = *m_request.service;
    const bool hasForecast = service.hasPriorities && service.engine->prefillChunkTokens > 0;
    switch (hasForecast ? chooseAction(move) : RecoveryAction::Move) {
    case RecoveryAction::Move:
        m_context.metrics.recoveryMoves += hasForecast ? 1 : 0;
        moveTo(std::move(chain), multiplier);
        break;
    case RecoveryAction::Restart:
        ++m_context.metrics.recoveryRestarts;
        restartOnOtherChain("a move would be late");
        break;
    case RecoveryAction::GiveWay:
        ++m_context.metrics.recoveryGiveWays;
        giveWay(move);
        break;
    }
    return true;
}

RecoveryAction StreamForwarding::chooseAction(const StreamMove &move)
{
    const ServiceSpec &service = *m_request.service;
    RecoveryForecast forecast;
    forecast.msLeft = recoveryState(m_context.clock.now()).urgency.msLeft;
    forecast.moveMs = eventDelayOfMove(m_context, *service.engine, move);
    // More than half of the budget must be left: streams that can't be moved need it more.
    if (forecast.moveMs > forecast.msLeft && canRestart() && hasAmpleRetryBudget(m_context, service.name)) {
        forecast.restartMs = eventDelayOfStart(m_context, findChain(m_context, service, makeSelectionContext(), m_demand));
    }
    const RecoveryAction action = chooseRecovery(forecast);
    logEvent(Event::RecoveryChosen, {{"id", m_request.attemptId},
                                     {"route", m_request.route->name},
                                     {"priority", std::to_string(m_request.priority)},
                                     {"action", toString(action)},
                                     {"left_ms", std::to_string(forecast.msLeft)},
                                     {"move_ms", std::to_string(forecast.moveMs)},
                                     {"restart_ms", std::to_string(forecast.restartMs)}});
    return action;
}

void StreamForwarding::giveWay(const StreamMove &move)
{
    const TimePoint lastEventAt = m_request.exchange->isBegun() ? m_lastEventAt : m_lastProgressAt;
    m_givesWayUntil = giveWayUntil(m_context.clock.now(), lastEventAt, m_request.route->targetGap);
    m_awaited = addedStages(move);
    m_recoveryMultiplier = move.multiplier;
}

/// Moves a stream that gives way once it is its turn. Of streams whose turn comes together, each sees the backlog of those before it.
void StreamForwarding::checkGivingWay(TimePoint now)
{
    if (isGiveWayOver(m_givesWayUntil, largestBacklogMs(m_context, m_awaited), now)) {
        queueRecovery([this] {
            endGivingWay();
        });
    }
}

void StreamForwarding::endGivingWay()
{
    const double backlogMs = largestBacklogMs(m_context, m_awaited);
    if (m_givesWayUntil == TimePoint() || !isGiveWayOver(m_givesWayUntil, backlogMs, m_context.clock.now())) {
        return;
    }
    m_givesWayUntil = TimePoint();
    m_moveAttemptedAt = m_context.clock.now();
    logEvent(Event::GiveWayOver, {{"id", m_request.attemptId},
                                  {"priority", std::to_string(m_request.priority)},
                                  {"backlog_ms", std::to_string(backlogMs)},
                                  {"gap_ms", std::to_string(std::chrono::duration_cast<milliseconds>(m_moveAttemptedAt - m_lastProgressAt).count())}});
    std::vector<ChainStage> chain = findMove();
    if (chain.empty()) {
        return restartOnOtherChain("engine of the chain is dead");
    }
    moveTo(std::move(chain), std::exchange(m_recoveryMultiplier, 1));
}

/// Whether the retries that are left are reserved for more urgent streams.
bool StreamForwarding::isRetryReserved() const
{
    const ServiceSpec &service = *m_request.service;
    const bool isScarce = hasRetryBudget(m_context, service.name) && !mayConsumeServiceRetry(m_context, service.name, true);
    return service.hasPriorities && isScarce && m_hooks.hasMoreUrgentStreams(service.name, m_request.priority);
}

/// Whether the stream is to leave an engine now: released layers at once, a draining engine after a random delay.
bool StreamForwarding::isLeaveDue(TimePoint now)
{
    if (hasReleasedStage(m_context.fleet, m_chain)) {
        return true;
    }
    if (!hasDrainingStage(m_context.fleet, m_chain)) {
        m_leaveAt = TimePoint();
        return false;
    }
    if (m_leaveAt == TimePoint()) {
        m_leaveAt = now + drawLeaveDelay(m_context.settings.targetDrainTime, m_context.random);
    }
    return now >= m_leaveAt;
}

/// A draining engine continues to serve for seconds, and one that gives up layers waits for the streams in them before it
/// loads others. Leaving early costs processing the tokens once more; leaving late costs a stall.
void StreamForwarding::moveOffLeavingEngines()
{
    const bool isRecovering = m_isRecoveryQueued || m_givesWayUntil != TimePoint();
    if (m_isOver || !m_hasEvents || !m_exchange || isRecovering) {
        return;
    }
    const TimePoint now = m_context.clock.now();
    if (!isLeaveDue(now)) {
        return;
    }
    if (startMove()) {
        m_leaveAt = TimePoint();
        return;
    }
    m_leavingSince = m_leavingSince == TimePoint() ? now : m_leavingSince;
    const bool mayRestart = m_attempts < m_request.route->maxAttempts && hasAmpleRetryBudget(m_context, m_request.service->name);
    if (now - m_leavingSince >= leavingRestartDelay && mayRestart) {
        restartOnOtherChain("engine of the chain is about to go");
    }
}

/// Handles the first engine's response to an order to move the stream. `previousChain` is the chain before the order.
void StreamForwarding::handleMoveResult(bool isMoved, int move, const std::vector<ChainStage> &previousChain)
{
    if (m_isOver || move != m_moves) {
        return;
    }
    logEvent(Event::StreamMoved, {{"id", m_request.attemptId},
                                  {"chain", m_context.adapter.encodeChain(m_chain)},
                                  {"outcome", isMoved ? "moved" : "refused"},
                                  {"event", std::to_string(m_lastEventId)},
                                  {"gap_ms", std::to_string(std::chrono::duration_cast<milliseconds>(m_context.clock.now() - m_lastEventAt).count())}});
    if (!isMoved) {
        // The request still runs in its previous chain. Monitoring and reservations must refer to that chain, also if the stream
        // can't be restarted.
        reserve(-1);
        m_chain = previousChain;
        reserve(+1);
        restartOnOtherChain("engine of the chain is dead");
    }
}

void StreamForwarding::handleFailedTarget(const TargetId &id)
{
    const bool isInChain = !m_isOver && std::any_of(m_chain.begin(), m_chain.end(), [&](const ChainStage &stage) {
        return stage.id == id;
    });
    const bool isWaiting = m_context.clock.now() - m_lastProgressAt >= stallThreshold(m_context.averageEventGapMs) / 2;
    if (!isInChain || !isWaiting) {
        return;
    }
    m_excluded.insert(id);
    const bool isFirst = m_chain.front().id == id;
    const bool isRecovering = m_isRecoveryQueued || (m_givesWayUntil != TimePoint() && !isFirst);
    if (isRecovering) {
        return;
    }
    if (isFirst || !recover(id)) {
        m_recoveryMultiplier = rememberedMultiplier(m_context.lostEngines, m_context.fleet, id, m_context.clock.now());
        restartOnOtherChain("engine of the chain is dead");
    }
}

/// Attempts that an engine may have started, with the current one.
int StreamForwarding::startedAttempts() const
{
    return m_isStream ? m_attempts : m_attempts + 1;
}

/// Whether attempts, time and retry budget allow to run the request once more.
bool StreamForwarding::canRestart() const
{
    const bool hasTime = m_context.clock.now() + minAttemptTime < m_request.deadline;
    return canRetryAfterRun() && startedAttempts() < m_request.route->maxAttempts && hasTime && hasRetryBudget(m_context, m_request.service->name)
           && !isRetryReserved();
}

/// Restarts the stream on another chain after its last event, if attempts, time and retry budget allow it. Otherwise the
/// stream stays where it is: an unresponsive engine may resume, whereas a response aborted here is certainly lost.
void StreamForwarding::restartOnOtherChain(std::string_view reason)
{
    if (!canRestart()) {
        return;
    }
    m_attempts = startedAttempts();
    retryOrEnd(reason, true);
}

/// Searches for a chain again, until the caller is expected to have disconnected.
void StreamForwarding::retryChainSearch(TimePoint now)
{
    if (now - m_lastEventAt >= maxCallerPause) {
        failRequest(m_context, m_request, "no chain to go on", firstTarget(), m_attempts);
        return end();
    }
    if (now - m_chainSearchedAt < chainSearchInterval) {
        return;
    }
    m_chainSearchedAt = now;
    if (isRetryReserved()) {
        return;
    }
    // The search consumes nothing; a retry is consumed only if there is a chain.
    std::vector<ChainStage> chain = findAdmittedChain(m_context, *m_request.service, makeSelectionContext(), m_demand);
    if (!chain.empty() && tryConsumeServiceRetry(m_context, m_request.service->name)) {
        startOnChain(std::move(chain));
    }
}

/// Restarts a stream on another chain if its first engine does not begin it.
///
/// An engine may answer probes and forward the activations of running streams while it starts no new ones: its callers would
/// wait until they disconnect.
bool StreamForwarding::restartIfFirstEngineIsSilent(TimePoint now)
{
    Target *first = m_hasEvents || m_chain.empty() ? nullptr : findTarget(m_context.fleet, m_chain.front().id);
    if (!first || hasFailedStage(m_context.fleet, m_chain, now)) {
        return false;
    }
    const FirstEventWait wait{std::max(m_lastProgressAt, m_moveAttemptedAt), first->lastBegunAt};
    if (!isFirstEngineSilent(wait, m_context.firstEventDelay, now) || !canRestart()) {
        return false;
    }
    recordSilence(*first, now);
    m_excluded.insert(first->registered.id);
    // Without another chain the request stays: an engine that is only slow may still begin it.
    if (!hasUnlimitedChain(m_context, *m_request.service, makeSelectionContext(), m_demand)) {
        return false;
    }
    logEvent(Event::StreamNotBegun, {{"id", m_request.attemptId},
                                     {"target", first->registered.id.value},
                                     {"silences", std::to_string(first->silencesInRow)},
                                     {"waited_ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - wait.since).count())}});
    restartOnOtherChain("first engine is silent");
    return true;
}

void StreamForwarding::checkTimeouts(TimePoint now)
{
    if (m_isOver || m_queueTicket != 0 || failAtStop(now)) {
        return; // the queue refuses a waiting request before its deadline
    }
    if (now >= m_request.deadline) {
        failRequest(m_context, m_request, "time is up", firstTarget(), m_attempts);
        return end();
    }
    if (m_isRecoveryQueued) {
        return;
    }
    if (m_isWaitingForChain) {
        return retryChainSearch(now);
    }
    if (m_givesWayUntil != TimePoint()) {
        return checkGivingWay(now);
    }
    const bool isMoveDue = now - m_lastProgressAt >= stallThreshold(m_context.averageEventGapMs) && now - m_moveAttemptedAt >= moveRetryInterval;
    // A stream that can't be restarted, because its attempts or the retry budget are used up, stays at its first engine until others
    // hold the lost layers again.
    if (const ChainStage *lost = isMoveDue ? findFailedStage(m_context.fleet, m_chain, now) : nullptr) {
        m_moveAttemptedAt = now;
        if (m_request.service->hasPriorities) {
            return queueRecovery([this, id = lost->id] {
                recover(id);
            });
        }
        if (recover(TargetId(lost->id))) {
            return;
        }
    }
    if (restartIfFirstEngineIsSilent(now)) {
        return;
    }
    const milliseconds stall = m_hasEvents ? eventStallTimeout : firstEventStallTimeout;
    if (m_chain.empty() || now - m_lastProgressAt < stall || now - m_queriedAt < stallQueryInterval) {
        return;
    }
    m_queriedAt = now;
    m_hooks.requestEngineReport(m_chain.front().id);
    if (now - m_lastProgressAt > stall * stallsBeforeRestart) {
        restartWithoutItsEngines();
    }
}

/// Restarts a stream that gets no events on a chain of other engines, as it is unknown which of its own fails. Without such a chain it
/// stays, as its engines may go on.
void StreamForwarding::restartWithoutItsEngines()
{
    ChainSelectionContext selectionContext = makeSelectionContext();
    for (const ChainStage &stage : m_chain) {
        selectionContext.excluded.insert(stage.id);
    }
    if (!canRestart() || !hasUnlimitedChain(m_context, *m_request.service, selectionContext, m_demand)) {
        return;
    }
    m_excluded = selectionContext.excluded;
    restartOnOtherChain("no event for long");
}

ForwardingPtr makeForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks)
{
    const bool isChained = request.route->kind == CallKind::Stream && request.service->engine;
    if (!isChained) {
        return makeCallForwarding(context, std::move(request), hooks);
    }
    return std::make_shared<StreamForwarding>(context, std::move(request), hooks);
}

} // namespace Parsleytrail
