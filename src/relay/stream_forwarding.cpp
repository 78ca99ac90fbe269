// Forwarding to engines: a chain for each attempt, events passed on one by one, resumed where they broke off.
#include "relay/target_forwarding.h"

#include "base/log.h"
#include "base/text.h"
#include "policy/crossing.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace Parsleytrail
{

/// Reading from an engine stops while its caller has this much to take.
constexpr std::size_t maxUnsentBytes = 64 * 1024;
/// A stream that has begun waits this long for a chain to go on. Callers leave after two seconds without an event: it is
/// theirs to end the answer.
constexpr milliseconds maxCallerPause{2500};
/// Between two looks for a chain.
constexpr milliseconds chainSearchInterval{150};
/// A stream with no near way around an engine that is about to go begins anew elsewhere after this time: loads that the
/// engine is to make wait for it.
constexpr milliseconds leavingRestartDelay{400};
/// A stream with a dead engine in its chain looks for a way around it this often: loads of lost layers take some hundred
/// milliseconds, and an order to a first engine is answered within a few.
constexpr milliseconds moveRetryInterval{150};
/// An answer that is no stream (a failure) is held up to this size.
constexpr std::size_t maxBufferedResponseBytes = 64 * 1024;
/// A stream is not sent again with less time than this left: reading its prompt takes some hundred milliseconds.
constexpr milliseconds minAttemptTime{300};
/// A stream without an event for this long is looked into: several times what passes through a whole chain take.
constexpr milliseconds eventStallTimeout{350};
/// The same before the first event, when the prompt is read piece by piece between the passes of others.
constexpr milliseconds firstEventStallTimeout{900};
/// A stalled stream's gap counts as this much at most, so that stalls do not make stalls look usual.
constexpr double maxUsualGapMs = 250;
/// Shortest and longest time without an event that counts as a stall; a stream is late after some 200 ms, and asking all
/// engines of its chain costs little. In calm times 99 of 100 streams have no gap over 105 ms.
constexpr double minStallMs = 90;
constexpr double maxStallMs = 350;
/// Stall threshold as a multiple of the usual gap.
constexpr double stallFactor = 1.9;
/// How often a stalled stream's first engine is asked again.
constexpr milliseconds stallQueryInterval{250};
/// A report is not asked for again before: engines are slow for seconds, and every entry asks.
constexpr milliseconds minReportAge{2000};
/// After this many stall times without an event, the stream is moved though nobody knows which engine is at fault.
constexpr int stallsBeforeRestart = 4;
/// When layers without a holder are expected to be loaded again: an order, a load of some layers, and the report of it.
constexpr milliseconds coverageRetryAfter{1800};
/// When KV cache is expected to be free again: a fraction of a usual answer's time, spread so that callers do not return together.
constexpr milliseconds capacityRetryAfter{1200};
constexpr milliseconds capacityRetrySpread{2800};

milliseconds stallThreshold(const RelayContext &context)
{
    return milliseconds(static_cast<std::int64_t>(std::clamp(context.usualGapMs * stallFactor, minStallMs, maxStallMs)));
}

class StreamForwarding final : public TargetForwarding
{
public:
    StreamForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks)
        : TargetForwarding(context, std::move(request))
        , m_hooks(hooks)
    {
    }

    void begin() override;
    void checkTimeouts(TimePoint now) override;
    void handleFailedTarget(const TargetId &id) override;
    void moveOffLeavingEngines() override;
    const std::vector<ChainPart> &chain() const override
    {
        return m_chain;
    }
    TimePoint lastProgressAt() const override
    {
        return m_lastProgressAt;
    }

private:
    void readDemand();
    ChainSituation currentSituation() const;
    std::vector<ChainPart> findChain(const ChainSituation &situation);
    void startAttempt();
    void startOnChain(std::vector<ChainPart> chain);
    bool startMove();
    bool isChainBroken(TimePoint now) const;
    void handleMoveResult(bool isMoved, int move, const std::vector<ChainPart> &previousChain);
    void restartOnOtherChain(std::string_view reason);
    void retryChainSearch(TimePoint now);
    void handleMissingChain(const ChainSituation &situation);
    void reserve(int direction);
    void handleHead(const HttpHead &head) override;
    void handleBody(std::string &body) override;
    void handleEvents(std::string &body);
    void relayEvent(const StreamEvent &event);
    void requestReportsAfterLongGap(TimePoint now);
    void handleEnd() override;
    void handleRefusal(const HttpHead &head);
    void recordRefusedStage(const TargetId &id, int status);
    void handleFailure(const TargetFailure &failure) override;
    void retryOrEnd(std::string_view reason, bool mayHaveRun);
    void endAttempt() override;
    bool canRetryAfterRun() const override
    {
        return m_request.route->isResumable;
    }
    std::string firstTarget() const
    {
        return m_chain.empty() ? std::string() : m_chain.front().id.value;
    }

    const ForwardingHooks &m_hooks;
    StreamDemand m_demand;
    std::vector<ChainPart> m_chain;
    std::set<TargetId> m_excluded;
    std::string m_bufferedBody;        ///< of an answer that is no stream
    std::uint64_t m_lastEventId = 0;   ///< id of the last event passed on
    std::uint64_t m_resumeAfterId = 0; ///< id after which the caller wants events
    TimePoint m_lastProgressAt{};      ///< of the start of the attempt or its last event
    TimePoint m_chainSearchedAt{};     ///< when a chain was last looked for while waiting
    TimePoint m_leavingSince{};        ///< when an engine of the chain was first seen to be about to go, with no near way around it
    TimePoint m_queriedAt{};           ///< when the first engine was last asked for stalls
    TimePoint m_firstByteAt{};
    TimePoint m_lastEventAt{};    ///< of the last event passed on
    milliseconds m_longestGap{0}; ///< between two events passed on
    int m_refusals = 0;           ///< attempts that engines refused without running them
    bool m_isStream = false;      ///< this attempt's answer is an event stream
    bool m_hasEvents = false;     ///< this attempt has brought events
    bool m_isReserved = false;
    bool m_isWaitingForChain = false; ///< the answer has begun and no chain is there to go on
    TimePoint m_moveAttemptedAt{};    ///< when another chain was last looked for while the request runs
    int m_moves = 0;                  ///< times the running request was given another chain
    bool m_isEventMissing = false;    ///< an event was missing: this attempt can't be passed on
};

/// Refusals by engines after which a stream is not tried elsewhere: each costs a round trip and a share of the budget.
constexpr int maxRefusals = 3;

void StreamForwarding::begin()
{
    readDemand();
    installCallerHandlers();
    startAttempt();
}

void StreamForwarding::readDemand()
{
    const HeaderNames &names = m_context.dialect.headers();
    const HttpHead &head = m_request.exchange->head();
    const EngineModel &model = *m_request.service->engine;
    m_demand.promptTokens = model.usualPromptTokens;
    m_demand.answerTokens = model.usualAnswerTokens;
    const std::vector<std::string> counts = splitList(head.find(names.tokenCounts), ',');
    double maxAnswerTokens = 0;
    if (counts.size() == 2 && parseNumber(counts[0], m_demand.promptTokens) && parseNumber(counts[1], maxAnswerTokens)) {
        double estimate = 0;
        // The caller's estimate is right at the median but often far off: it is mixed with the usual length.
        if (parseNumber(head.find(names.answerEstimate), estimate)) {
            m_demand.answerTokens = (estimate + model.usualAnswerTokens) / 2;
        }
        m_demand.answerTokens = std::min(m_demand.answerTokens, maxAnswerTokens);
    }
    parseNumber(head.find(names.lastEventId), m_resumeAfterId);
    m_lastEventId = m_resumeAfterId;
}

void StreamForwarding::reserve(int direction)
{
    m_isReserved = direction > 0;
    const double tokens = plannedTokens(m_demand);
    for (const ChainPart &stage : m_chain) {
        if (Target *target = findTarget(m_context.fleet, stage.id)) {
            target->openRequests = std::max(0, target->openRequests + direction);
            target->kvTokenLayers = std::max(0.0, target->kvTokenLayers + direction * tokens * stage.layers.count());
        }
    }
}

static std::string capacityText(const std::vector<DataCenterRoom> &rooms)
{
    std::vector<std::string> parts;
    parts.reserve(rooms.size());
    for (const DataCenterRoom &capacity : rooms) {
        parts.push_back(absl::StrCat(capacity.dataCenter, " engines ", capacity.engines, " slots ", capacity.slots, " streams ", capacity.streams, " at layer ",
                                     capacity.narrowestLayer));
    }
    return joined(parts, ", ");
}

void StreamForwarding::handleMissingChain(const ChainSituation &situation)
{
    if (m_mayHaveRun && situation.now - m_lastEventAt < maxCallerPause) {
        // The caller has a part of its answer and waits for the rest; a gap is often filled in this time.
        m_isWaitingForChain = true;
        m_chain.clear();
        return;
    }
    const FleetRoom capacity = roomLeft(m_context.fleet, situation, m_demand);
    const bool isFull = capacity.coversAllLayers;
    const std::string_view reason = isFull ? "no-room" : "no-chain";
    if (m_mayHaveRun) {
        failRequest(m_context, m_request, reason, firstTarget(), m_attempts);
        return end();
    }
    std::uniform_int_distribution<std::int64_t> spread(0, capacityRetrySpread.count());
    const milliseconds jitter(spread(m_context.random));
    const milliseconds retryAfter = isFull ? capacityRetryAfter + jitter : coverageRetryAfter + jitter / 2;
    refuseRequest(m_context, m_request, {reason, retryAfter, capacityText(capacity.dataCenters)}, m_attempts);
    end();
}

ChainSituation StreamForwarding::currentSituation() const
{
    ChainSituation situation;
    situation.model = &*m_request.service->engine;
    situation.service = m_request.service->name;
    situation.dataCenter = m_context.settings.dataCenter;
    situation.now = m_context.clock.now();
    situation.excluded = m_excluded;
    return situation;
}

/// A chain inside one data centre, or else one across them while the pipe between them has room.
std::vector<ChainPart> StreamForwarding::findChain(const ChainSituation &situation)
{
    ChainTuning tuning;
    tuning.mayCross = false;
    std::vector<ChainPart> chain = chooseChain(m_context.fleet, situation, m_demand, m_context.random, tuning);
    if (chain.empty() && mayCross(crossingBudget(m_context, *m_request.service), situation.now)) {
        tuning.mayCross = true;
        chain = chooseChain(m_context.fleet, situation, m_demand, m_context.random, tuning);
    }
    return chain;
}

void StreamForwarding::startAttempt()
{
    const ChainSituation situation = currentSituation();
    std::vector<ChainPart> chain = findChain(situation);
    if (chain.empty()) {
        return handleMissingChain(situation);
    }
    startOnChain(std::move(chain));
}

void StreamForwarding::startOnChain(std::vector<ChainPart> chain)
{
    const TimePoint now = m_context.clock.now();
    m_isWaitingForChain = false;
    m_leavingSince = TimePoint();
    m_chain = std::move(chain);
    const ServiceSpec &service = *m_request.service;
    noteCrossing(crossingBudget(m_context, service), crossingBytes(m_context.fleet, *service.engine, m_chain, m_demand));
    reserve(+1);
    const HeaderNames &names = m_context.dialect.headers();
    std::vector<AddedField> added = {{names.chain, m_context.dialect.encodeChain(m_chain)}};
    if (m_lastEventId > m_resumeAfterId) {
        added.push_back({names.lastEventId, std::to_string(m_lastEventId)});
    }
    m_bufferedBody.clear();
    m_isStream = false;
    m_hasEvents = false;
    m_isEventMissing = false;
    m_lastProgressAt = now;
    m_queriedAt = now;
    sendTo(m_chain.front().id, m_chain.front().address, added);
}

void StreamForwarding::endAttempt()
{
    if (m_isReserved) {
        reserve(-1);
    }
    cancelExchange();
}

void StreamForwarding::handleHead(const HttpHead &head)
{
    m_isStream = head.status == 200 && isAuthenticResponse(m_context.dialect.headers(), head, m_request.attemptId);
    if (m_isStream) {
        ++m_attempts;
    }
}

void StreamForwarding::handleBody(std::string &body)
{
    if (m_isStream) {
        return handleEvents(body);
    }
    if (m_bufferedBody.size() < maxBufferedResponseBytes) {
        m_bufferedBody += body;
    }
    body.clear();
}

/// Passes on whole events; a part of one stays until its end comes.
void StreamForwarding::handleEvents(std::string &body)
{
    std::size_t used = 0;
    StreamEvent event;
    while (!m_isEventMissing && parseEvent(std::string_view(body).substr(used), event) == ParseResult::Complete) {
        used += event.bytes.size();
        relayEvent(event);
    }
    body.erase(0, used);
    if (m_isEventMissing) {
        return retryOrEnd("event missing", true);
    }
    if (m_request.exchange->unsentBytes() > maxUnsentBytes && m_exchange) {
        m_exchange->pauseReading(true);
    }
}

void StreamForwarding::relayEvent(const StreamEvent &event)
{
    // A resumed run may begin with events that the caller has; one that begins later would leave a hole.
    if (event.hasId && event.id <= m_lastEventId) {
        return;
    }
    if (event.hasId && event.id != m_lastEventId + 1) {
        m_isEventMissing = true;
        return;
    }
    const TimePoint now = m_context.clock.now();
    if (!m_request.exchange->isBegun()) {
        m_firstByteAt = now;
        m_request.exchange->begin(m_exchange->head(), nullptr);
    } else {
        m_longestGap = std::max(m_longestGap, std::chrono::duration_cast<milliseconds>(now - m_lastEventAt));
        const double gap = std::chrono::duration<double>(now - m_lastEventAt).count();
        requestReportsAfterLongGap(now);
        m_context.metrics.eventGap.record(gap);
        constexpr double newShare = 0.02; // an average over the last fifty events: a second or less
        m_context.usualGapMs += newShare * (std::min(gap * 1000, maxUsualGapMs) - m_context.usualGapMs);
    }
    m_lastEventAt = now;
    m_request.exchange->send(event.bytes);
    if (event.hasId) {
        m_lastEventId = event.id;
    }
    m_hasEvents = true;
    m_lastProgressAt = now;
    ++m_context.metrics.events;
}

/// Asks the engines of the chain for reports after a pause of more than half of what the route allows.
///
/// An engine that turned slow answers and passes events on, so that nothing else tells it from the others; all streams that
/// pass through it are late. Once it has reported how slow it is, new chains pass by it.
void StreamForwarding::requestReportsAfterLongGap(TimePoint now)
{
    const milliseconds allowed = m_request.route->targetGap;
    if (allowed <= milliseconds(0) || now - m_lastEventAt <= allowed / 2) {
        return;
    }
    for (const ChainPart &stage : m_chain) {
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
    const bool hasNoEvents = !m_hasEvents && m_lastEventId == m_resumeAfterId;
    if (hasNoEvents) {
        return retryOrEnd("stream without events", true);
    }
    for (const ChainPart &stage : m_chain) {
        if (Target *target = findTarget(m_context.fleet, stage.id)) {
            noteSuccess(*target);
        }
    }
    m_request.exchange->complete();
    recordServed(m_context, m_request, {head.status, firstTarget(), m_attempts, m_firstByteAt, m_longestGap});
    end();
}

/// The engine's answer is no stream.
void StreamForwarding::handleRefusal(const HttpHead &head)
{
    const HeaderNames &names = m_context.dialect.headers();
    if (reportsNotExecuted(names, head)) {
        ++m_refusals;
        const std::string_view at = head.find(names.faultyTarget);
        TargetId faulty = m_chain.front().id;
        for (const ChainPart &stage : m_chain) {
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
        recordServed(m_context, m_request, {head.status, firstTarget(), m_attempts, m_context.clock.now(), {}});
        return end();
    }
    retryOrEnd(isAuthenticFailure ? "engine failed" : "answer is not the engine's own", true);
}

/// An engine refused its part: it drains, holds other layers, or is full.
void StreamForwarding::recordRefusedStage(const TargetId &id, int status)
{
    Target *target = findTarget(m_context.fleet, id);
    if (!target) {
        return;
    }
    noteRefusal(*target, m_context.clock.now());
    logEvent(Event::PartRefused, {{"id", m_request.attemptId},
                                  {"target", id.value},
                                  {"status", std::to_string(status)},
                                  {"refusals", std::to_string(target->refusalsInRow)},
                                  {"open", std::to_string(allOpenRequests(*target))}});
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
    retryOrEnd(failure.text, failure.mayHaveRun);
}

void StreamForwarding::retryOrEnd(std::string_view reason, bool mayHaveRun)
{
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    endAttempt();
    const bool isAllowed = !m_mayHaveRun || canRetryAfterRun();
    const bool hasTime = m_context.clock.now() + minAttemptTime < m_request.deadline;
    const bool hasAttempts = m_attempts < m_request.route->maxAttempts && m_refusals < maxRefusals;
    if (isAllowed && hasTime && hasAttempts && tryRetry(m_context, m_request.service->name)) {
        recordRetry(m_context, m_request, reason, firstTarget(), m_attempts);
        return startAttempt();
    }
    if (isAllowed && hasTime && !mayHaveRun && m_request.exchange->isBegun()) {
        // Refused elsewhere without having run: the caller has a part of its answer, and a chain or a retry is often there soon.
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

/// Lets the first engine go on through other engines of its data centre: what the kept ones have read stays, and the caller
/// sees a short pause. Returns false if there is no such chain.
///
/// Not through other data centres: all tokens so far would cross, some 15 MB a stream; the streams of one lost engine fill
/// the pipe that all share for ten seconds and more. Reading the prompt anew elsewhere takes a tenth of a second.
bool StreamForwarding::startMove()
{
    ChainTuning localTuning;
    localTuning.mayCross = false;
    ChainSituation situation = currentSituation();
    situation.current = m_chain;
    reserve(-1);
    std::vector<ChainPart> chain = chooseChain(m_context.fleet, situation, m_demand, m_context.random, localTuning);
    if (chain.empty()) {
        reserve(+1);
        return false;
    }
    m_chain = std::move(chain);
    reserve(+1);
    m_moveAttemptedAt = situation.now;
    const int move = ++m_moves;
    m_hooks.moveStream(m_request.attemptId, m_chain, [weak = weak_from_this(), this, move, previousChain = std::move(situation.current)](bool isMoved) {
        if (const auto self = weak.lock()) {
            handleMoveResult(isMoved, move, previousChain);
        }
    });
    return true;
}

/// Whether an engine of the chain, other than the first, is gone or does not answer.
///
/// A stream whose engine died and that may not begin anew (its attempts or the retry budget are spent) stays at its first
/// engine. Within a second its layers are often held by others again; until it is moved there its caller sees nothing, and
/// leaves after some two seconds.
bool StreamForwarding::isChainBroken(TimePoint now) const
{
    return m_chain.size() > 1 && std::any_of(m_chain.begin() + 1, m_chain.end(), [&](const ChainPart &stage) {
               const Target *target = findTarget(m_context.fleet, stage.id);
               return !target || isFailing(*target, now);
           });
}

/// A draining engine goes on for seconds, and one that gives up layers waits for the streams in them before it loads
/// others: leaving early costs reading the tokens once more, leaving late a stall.
void StreamForwarding::moveOffLeavingEngines()
{
    if (m_isOver || !m_hasEvents || !m_exchange) {
        return;
    }
    const bool isEngineLeaving = std::any_of(m_chain.begin() + 1, m_chain.end(), [this](const ChainPart &stage) {
        const Target *target = findTarget(m_context.fleet, stage.id);
        return target && (target->listed.isDraining || !target->listed.layers.contains(stage.layers));
    });
    if (!isEngineLeaving) {
        return;
    }
    if (startMove()) {
        return;
    }
    const TimePoint now = m_context.clock.now();
    m_leavingSince = m_leavingSince == TimePoint() ? now : m_leavingSince;
    const bool canRestart = m_attempts < m_request.route->maxAttempts && hasSpareRetries(m_context, m_request.service->name);
    if (now - m_leavingSince >= leavingRestartDelay && canRestart) {
        restartOnOtherChain("engine of the chain is about to go");
    }
}

/// The first engine's answer to an order to move the stream; `before` is the chain that it had.
void StreamForwarding::handleMoveResult(bool isMoved, int move, const std::vector<ChainPart> &previousChain)
{
    if (m_isOver || move != m_moves) {
        return;
    }
    logEvent(Event::StreamMoved, {{"id", m_request.attemptId},
                                  {"chain", m_context.dialect.encodeChain(m_chain)},
                                  {"outcome", isMoved ? "moved" : "refused"},
                                  {"event", std::to_string(m_lastEventId)},
                                  {"gap_ms", std::to_string(std::chrono::duration_cast<milliseconds>(m_context.clock.now() - m_lastEventAt).count())}});
    if (!isMoved) {
        // It still waits in the chain it had: what is looked at and reserved must be that one, also if it may not begin anew.
        reserve(-1);
        m_chain = previousChain;
        reserve(+1);
        restartOnOtherChain("engine of the chain is dead");
    }
}

void StreamForwarding::handleFailedTarget(const TargetId &id)
{
    const bool isInChain = !m_isOver && std::any_of(m_chain.begin(), m_chain.end(), [&](const ChainPart &stage) {
        return stage.id == id;
    });
    const bool isWaiting = m_context.clock.now() - m_lastProgressAt >= stallThreshold(m_context) / 2;
    if (!isInChain || !isWaiting) {
        return;
    }
    m_excluded.insert(id);
    const bool isFirst = m_chain.front().id == id;
    if (isFirst || !startMove()) {
        restartOnOtherChain("engine of the chain is dead");
    }
}

/// Begins again after the last event at another chain, if that may be. If not, the stream stays where it is: an engine that
/// is silent may go on, and an answer that is cut here is lost for certain.
void StreamForwarding::restartOnOtherChain(std::string_view reason)
{
    const int attempts = m_isStream ? m_attempts : m_attempts + 1;
    const bool hasTime = m_context.clock.now() + minAttemptTime < m_request.deadline;
    const bool canRestart = canRetryAfterRun() && attempts < m_request.route->maxAttempts && hasTime && hasRetry(m_context, m_request.service->name);
    if (!canRestart) {
        return;
    }
    m_attempts = attempts;
    retryOrEnd(reason, true);
}

/// Looks for a chain again, until the caller would have left.
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
    // Looking costs nothing; a retry is taken only for a chain that is there.
    std::vector<ChainPart> chain = findChain(currentSituation());
    if (!chain.empty() && tryRetry(m_context, m_request.service->name)) {
        startOnChain(std::move(chain));
    }
}

void StreamForwarding::checkTimeouts(TimePoint now)
{
    if (m_isOver) {
        return;
    }
    if (now >= m_request.deadline) {
        failRequest(m_context, m_request, "time is up", firstTarget(), m_attempts);
        return end();
    }
    if (m_isWaitingForChain) {
        return retryChainSearch(now);
    }
    const bool isMoveDue = now - m_lastProgressAt >= stallThreshold(m_context) && now - m_moveAttemptedAt >= moveRetryInterval;
    if (isMoveDue && isChainBroken(now)) {
        m_moveAttemptedAt = now;
        if (startMove()) {
            return;
        }
    }
    const milliseconds stall = m_hasEvents ? eventStallTimeout : firstEventStallTimeout;
    if (m_chain.empty() || now - m_lastProgressAt < stall || now - m_queriedAt < stallQueryInterval) {
        return;
    }
    m_queriedAt = now;
    m_hooks.requestEngineReport(m_chain.front().id);
    if (now - m_lastProgressAt > stall * stallsBeforeRestart && m_attempts < m_request.route->maxAttempts) {
        for (const ChainPart &stage : m_chain) {
            m_excluded.insert(stage.id);
        }
        restartOnOtherChain("no event for long");
    }
}

ForwardingPtr makeForwarding(RelayContext &context, ForwardedRequest request, const ForwardingHooks &hooks)
{
    const bool isChained = request.route->kind == CallKind::Stream && request.service->engine;
    if (!isChained) {
        return makeCallForwarding(context, std::move(request));
    }
    return std::make_shared<StreamForwarding>(context, std::move(request), hooks);
}

} // namespace Parsleytrail
