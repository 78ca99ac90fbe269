// Index: [SECTION] State, [SECTION] Attempts, [SECTION] Closing, [SECTION] Frames, [SECTION] Stalls, [SECTION] Streams
#include "entry/streams.h"

#include "base/log.h"
#include "policy/progress.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

namespace Parsleytrail
{

// [SECTION] State

/// Longest progress timeout, unless the setting is longer, and the one used before a model has samples; also the longest wait for
/// reports of reachable stages.
constexpr milliseconds maxProgressTimeout{5000};
constexpr milliseconds exclusionLifetime{500}; ///< after waiting this long, a stream may use targets again that failed it
/// Engines crash when they begin to answer: a stream with more tokens is not the cause, and one with many shows that no message of it is.
constexpr std::size_t maxTokensOfSuspect = 2;
constexpr std::size_t tokensOfSoundRun = 8;
constexpr double retryRefillPerSecond = 0.1; ///< new attempts earned each second, as a share of the open streams, beyond those earned by requests

namespace
{

/// An open stream.
struct OpenStream {
    StreamRequest request;
    std::shared_ptr<const StreamHandlers> handlers;
    Attempt attempt;                                   ///< current attempt; 0 before the first
    std::vector<StageAddress> chain;                   ///< current stages; empty if no targets could be selected
    std::vector<StageAddress> openedStages;            ///< stages that may hold state of this stream
    std::vector<std::uint32_t> emitted;                ///< tokens passed to the caller
    std::set<TargetId> excludedTargets;                ///< targets that failed this stream
    TimePoint openedAt{};                              ///< when the stream was opened
    TimePoint lastProgressAt{};                        ///< last token, start of the attempt, or query that found no stage to replace
    TimePoint failedAt{};                              ///< last progress before the first failure since the last token; zero: no failure
    TimePoint waitingSince{};                          ///< since when the stream waits for its next attempt; zero: not waiting
    bool isSuspect = false;                            ///< an engine crashed with it in flight; cleared by the next token
    bool isAttemptSuspect = false;                     ///< the current attempt was opened as suspect, so that its first steps run alone
    TimePoint retryNotBefore{};                        ///< earliest time of the next attempt
    bool isQueryPending = false;                       ///< a StageQuery was sent whose reports are not evaluated yet
    TimePoint queriedAt{};                             ///< when the StageQuery was sent
    std::vector<std::optional<StageProgress>> reports; ///< received reports, by stage
    std::uint32_t inconclusiveQueries = 0;             ///< see decideStallAction()
};

/// Token latencies of one model's streams.
struct ModelTimes {
    TimeEstimate firstToken;
    TimeEstimate betweenTokens;
};

Address addressOf(const StageAddress &stage)
{
    return {stage.host, stage.port};
}

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

struct Streams::Private {
    EntryContext &context;
    Targets &targets;
    InputGuard &guard;
    EntryCrashGuard &crashGuard;
    std::unordered_map<RequestId, OpenStream> streams;
    std::map<ModelName, ModelTimes> timesByModel;
    TimePoint refilledAt{};
    Timer suspectTimer; ///< retries suspect streams as soon as their delay is over
    std::uint64_t &stagesReplaced;
    std::uint64_t &tokensEmitted;
    std::uint64_t &tokensDropped;
    TimeHistogram &firstToken;
    TimeHistogram &betweenTokens;
    TimeHistogram &recovery;

    Private(EntryContext &entryContext, Targets &entryTargets, InputGuard &inputGuard, EntryCrashGuard &entryCrashGuard)
        : context(entryContext)
        , targets(entryTargets)
        , guard(inputGuard)
        , crashGuard(entryCrashGuard)
        , suspectTimer(context.loop,
                       [this] {
                           retryWaiting();
                       })
        , stagesReplaced(context.metrics.counter("parsley_stages_replaced", "New attempts made because a stage failed."))
        , tokensEmitted(context.metrics.counter("parsley_tokens_emitted", "Tokens given to callers."))
        , tokensDropped(context.metrics.counter("parsley_tokens_dropped", "Tokens that came twice, from an old attempt, or for no open stream."))
        , firstToken(context.metrics.histogram("parsley_first_token_seconds", "Time from a request to its first token."))
        , betweenTokens(context.metrics.histogram("parsley_between_tokens_seconds", "Time between two tokens of a stream."))
        , recovery(context.metrics.histogram("parsley_recovery_seconds", "Time from the last token before a failure to the first after it."))
    {
    }

    OpenStream *find(const RequestId &request);
    ChainOptions chainOptions(const OpenStream &stream) const;
    bool selectStages(OpenStream &stream);
    StageAddress toStageAddress(const TargetView &target) const;
    void startAttempt(OpenStream &stream);
    void markWaiting(OpenStream &stream);
    void retryWaiting();
    void replaceStage(OpenStream &stream, std::uint32_t stageIndex, const Error &error, bool isTargetFault);
    void tryNextAttempt(OpenStream &stream, const Error &error);

    void closeStage(const OpenStream &stream, const StageAddress &stage);
    void closeStages(const OpenStream &stream);
    void closeRemovedStages(OpenStream &stream);
    void finish(OpenStream &stream, FinishReason reason, std::uint32_t promptTokens);
    void fail(OpenStream &stream, const Error &error, StreamFailure failure = {});

    void handleToken(const TokenFrame &frame);
    void handleStageFailure(const StageFailed &frame);
    bool recordEngineCrash(OpenStream &stream, const StageFailed &frame);
    void refuseQuarantined(OpenStream &stream, const Error &error);
    void handleReport(const StageReport &frame);

    milliseconds progressTimeout(const OpenStream &stream);
    bool isReportOverdue(const OpenStream &stream, TimePoint now) const;
    void queryStages(OpenStream &stream, TimePoint now);
    void checkProgress(OpenStream &stream, TimePoint now);
    void resolveStall(OpenStream &stream);
    void replaceMatchingStages(const std::function<bool(const StageAddress &)> &matches, const Error &error, bool isTargetFault);
};

OpenStream *Streams::Private::find(const RequestId &request)
{
    const auto it = streams.find(request);
    return it == streams.end() ? nullptr : &it->second;
}

// [SECTION] Attempts

ChainOptions Streams::Private::chainOptions(const OpenStream &stream) const
{
    ChainOptions options;
    options.dataCenter = context.settings.dataCenter;
    options.excluded = &stream.excludedTargets;
    return options;
}

StageAddress Streams::Private::toStageAddress(const TargetView &target) const
{
    const Announcement &last = target.last;
    return {last.target, last.incarnation, last.host, last.port, last.layerBegin, last.layerEnd};
}

bool Streams::Private::selectStages(OpenStream &stream)
{
    const std::vector<const TargetView *> views = targets.views();
    const std::vector<std::size_t> selected = selectChain(views, stream.request.requirements, chainOptions(stream), context.clock.now(), context.random);
    stream.chain.clear();
    for (const std::size_t index : selected) {
        stream.chain.push_back(toStageAddress(*views[index]));
    }
    return !stream.chain.empty();
}

void Streams::Private::startAttempt(OpenStream &stream)
{
    ++stream.attempt.value;
    stream.waitingSince = {};
    stream.isQueryPending = false;
    stream.lastProgressAt = context.clock.now();
    closeRemovedStages(stream);
    OpenStage open;
    open.request = stream.request.id;
    open.attempt = stream.attempt;
    open.stages = stream.chain;
    open.model = stream.request.requirements.model;
    open.version = stream.request.requirements.version;
    open.adapter = stream.request.requirements.adapter;
    open.tokens = stream.emitted;
    open.maxTokens = stream.request.maxTokens;
    open.priority = stream.request.priority;
    open.isSuspect = guard.classify(stream.request.fingerprint, stream.request.allowedInputs) != InputStatus::Clear;
    stream.isAttemptSuspect = open.isSuspect;
    for (std::uint32_t i = 0; i < stream.chain.size(); ++i) {
        const StageAddress &stage = stream.chain[i];
        open.stageIndex = i;
        open.prompt = i == 0 ? stream.request.prompt : std::string();
        context.links.link(addressOf(stage))->send(open);
        const bool isNew = std::none_of(stream.openedStages.begin(), stream.openedStages.end(), [&](const StageAddress &other) {
            return other.target == stage.target;
        });
        if (isNew) {
            stream.openedStages.push_back(stage);
            targets.recordOpened(stage.target);
        }
    }
    if (context.history.isEnabled()) {
        context.history.record(
            "attempt",
            {{"request", stream.request.id.value}, {"attempt", std::uint64_t{stream.attempt.value}}, {"emitted", std::uint64_t{stream.emitted.size()}}});
    }
}

/// Marks the stream to be retried later, on its current chain if it has one.
void Streams::Private::markWaiting(OpenStream &stream)
{
    if (stream.waitingSince == TimePoint{}) {
        stream.waitingSince = context.clock.now();
    }
}

/// Starts the next attempt on the current chain, or on a newly selected one if there is none. The stream waits if no chain is
/// found, the retry budget is spent or a suspect's delay is not over; it fails if it has used all its attempts or its input is
/// quarantined.
void Streams::Private::tryNextAttempt(OpenStream &stream, const Error &error)
{
    if (stream.attempt.value >= maxAttempts) {
        return fail(stream, error);
    }
    const bool isQuarantined = guard.classify(stream.request.fingerprint, stream.request.allowedInputs) == InputStatus::Quarantined;
    if (stream.isSuspect && (isQuarantined || crashGuard.isRefused(inputsOf(stream.request), stream.request.allowedInputs))) {
        return refuseQuarantined(stream, error);
    }
    const bool hasChain = !stream.chain.empty() || selectStages(stream);
    const bool isFirst = stream.attempt == Attempt{};
    const bool isTooEarly = context.clock.now() < stream.retryNotBefore;
    if (!hasChain || isTooEarly || (!isFirst && !tryConsumeRetry(context.retryBudget))) {
        return markWaiting(stream);
    }
    if (!isFirst) {
        ++stagesReplaced;
    }
    startAttempt(stream);
}

void Streams::Private::replaceStage(OpenStream &stream, std::uint32_t stageIndex, const Error &error, bool isTargetFault)
{
    if (stageIndex >= stream.chain.size()) {
        return;
    }
    const StageAddress lost = stream.chain[stageIndex];
    stream.inconclusiveQueries = 0;
    stream.excludedTargets.insert(lost.target);
    if (isTargetFault) {
        targets.recordFailure(lost.target);
    }
    if (stream.failedAt == TimePoint{}) {
        stream.failedAt = stream.lastProgressAt;
    }
    logEvent(Event::StageReplaced, {{"request", stream.request.id.value},
                                    {"attempt", std::to_string(stream.attempt.value)},
                                    {"stage", std::to_string(stageIndex)},
                                    {"target", lost.target.value},
                                    {"step", error.step},
                                    {"peer", error.peer},
                                    {"reason", error.text}});
    const std::vector<const TargetView *> views = targets.views();
    const std::size_t index =
        selectReplacement(views, stream.request.requirements, lost.layerBegin, lost.layerEnd, chainOptions(stream), context.clock.now(), context.random);
    if (index < views.size()) {
        stream.chain[stageIndex] = toStageAddress(*views[index]);
    } else {
        stream.chain.clear();
    }
    tryNextAttempt(stream, error);
}

// [SECTION] Closing

void Streams::Private::closeStage(const OpenStream &stream, const StageAddress &stage)
{
    targets.recordClosed(stage.target);
    const LinkPtr link = context.links.find(addressOf(stage));
    if (link) {
        link->send(CloseStream{stream.request.id, stream.attempt});
    }
}

void Streams::Private::closeStages(const OpenStream &stream)
{
    for (const StageAddress &stage : stream.openedStages) {
        closeStage(stream, stage);
    }
}

/// Closes the stream at stages that are no longer in its chain: they may be healthy and hold KV cache for it.
void Streams::Private::closeRemovedStages(OpenStream &stream)
{
    std::erase_if(stream.openedStages, [&](const StageAddress &stage) {
        const bool isInChain = std::any_of(stream.chain.begin(), stream.chain.end(), [&stage](const StageAddress &other) {
            return other.target == stage.target;
        });
        if (!isInChain) {
            closeStage(stream, stage);
        }
        return !isInChain;
    });
}

void Streams::Private::finish(OpenStream &stream, FinishReason reason, std::uint32_t promptTokens)
{
    closeStages(stream);
    for (const StageAddress &stage : stream.chain) {
        targets.recordSuccess(stage.target);
    }
    const auto handlers = stream.handlers;
    streams.erase(stream.request.id);
    handlers->onEnd(reason, promptTokens);
}

void Streams::Private::fail(OpenStream &stream, const Error &error, StreamFailure failure)
{
    closeStages(stream);
    failure.error = error;
    failure.outcome = stream.attempt == Attempt{} ? Outcome::NotRun : Outcome::Unknown;
    logEvent(Event::StreamFailed, {{"request", stream.request.id.value},
                                   {"attempt", std::to_string(stream.attempt.value)},
                                   {"step", error.step},
                                   {"peer", error.peer},
                                   {"reason", error.text}});
    if (context.history.isEnabled()) {
        context.history.record("stream-ended", {{"request", stream.request.id.value}, {"outcome", failure.outcome == Outcome::NotRun ? "not-run" : "unknown"}});
    }
    const auto handlers = stream.handlers;
    streams.erase(stream.request.id);
    handlers->onFail(failure);
}

// [SECTION] Frames

void Streams::Private::handleToken(const TokenFrame &frame)
{
    OpenStream *stream = find(frame.request);
    const bool isNext = stream && frame.attempt == stream->attempt && frame.index == stream->emitted.size();
    if (!isNext) {
        // Late frames of an abandoned attempt must not reach the caller: their token has already been emitted.
        ++tokensDropped;
        return;
    }
    const TimePoint now = context.clock.now();
    const double seconds = secondsBetween(stream->emitted.empty() ? stream->openedAt : stream->lastProgressAt, now);
    ModelTimes &modelTimes = timesByModel[stream->request.requirements.model];
    if (stream->failedAt != TimePoint{}) {
        recovery.record(secondsBetween(stream->failedAt, now));
        stream->failedAt = {};
    } else {
        recordTime(stream->emitted.empty() ? modelTimes.firstToken : modelTimes.betweenTokens, seconds);
    }
    (stream->emitted.empty() ? firstToken : betweenTokens).record(seconds);
    if (stream->isSuspect) {
        stream->isSuspect = false;
        guard.clearInput(stream->request.fingerprint);
    }
    stream->emitted.push_back(frame.token);
    if (stream->emitted.size() == tokensOfSoundRun || frame.finish != FinishReason::None) {
        crashGuard.recordSoundParts(stream->request.parts);
    }
    stream->lastProgressAt = now;
    stream->inconclusiveQueries = 0;
    stream->isQueryPending = false;
    ++tokensEmitted;
    if (context.history.isEnabled()) {
        context.history.record("token", {{"request", frame.request.value},
                                         {"index", std::uint64_t{frame.index}},
                                         {"token", std::uint64_t{frame.token}},
                                         {"attempt", std::uint64_t{frame.attempt.value}}});
    }
    // The handler may cancel the stream, which destroys it.
    const auto handlers = stream->handlers;
    handlers->onToken(frame);
    stream = find(frame.request);
    if (stream && frame.finish != FinishReason::None) {
        finish(*stream, frame.finish, frame.promptLength);
    }
}

/// Records that an engine crashed with the stream in flight. Returns false if the stream was ended because its input is
/// quarantined.
bool Streams::Private::recordEngineCrash(OpenStream &stream, const StageFailed &frame)
{
    const StreamRequest &request = stream.request;
    // A second crash during an attempt that did not run alone is no evidence against the input: a stream is in flight at several
    // stages, and two of their engines may crash together for another reason.
    const bool isInconclusive = stream.isSuspect && !stream.isAttemptSuspect;
    if (isInconclusive) {
        return true;
    }
    guard.recordEngineCrash(request.fingerprint, frame.crash, request.service, request.workspace, request.id);
    if (stream.emitted.size() <= maxTokensOfSuspect) {
        crashGuard.recordCrash(inputsOf(request), frame.crash, request.service);
    }
    stream.isSuspect = true;
    stream.retryNotBefore = context.clock.now() + suspectRetryDelay;
    if (!suspectTimer.isRunning()) {
        suspectTimer.start(suspectRetryDelay + milliseconds(1));
    }
    const bool isQuarantined = guard.classify(request.fingerprint, request.allowedInputs) == InputStatus::Quarantined;
    if (!isQuarantined && !crashGuard.isRefused(inputsOf(request), request.allowedInputs)) {
        return true;
    }
    if (frame.stageIndex < stream.chain.size()) {
        targets.recordFailure(stream.chain[frame.stageIndex].target);
    }
    refuseQuarantined(stream, {frame.step, frame.peer, ""});
    return false;
}

void Streams::Private::refuseQuarantined(OpenStream &stream, const Error &error)
{
    StreamFailure failure;
    failure.isQuarantined = true;
    fail(stream, {error.step, error.peer, "the input, or a message of it, was in flight at separate crashes of engines"}, failure);
}

void Streams::Private::handleStageFailure(const StageFailed &frame)
{
    OpenStream *stream = find(frame.request);
    if (!stream || frame.attempt != stream->attempt) {
        return;
    }
    if (frame.crash != 0 && !recordEngineCrash(*stream, frame)) {
        return;
    }
    const bool isTargetFault = frame.kind == FailureKind::TargetLost || frame.kind == FailureKind::TargetTimeout || frame.kind == FailureKind::NextStageLost;
    replaceStage(*stream, frame.stageIndex, {frame.step, frame.peer, toString(frame.kind)}, isTargetFault);
}

void Streams::Private::handleReport(const StageReport &frame)
{
    OpenStream *stream = find(frame.request);
    const bool isExpected = stream && stream->isQueryPending && frame.stageIndex < stream->reports.size();
    if (!isExpected) {
        return;
    }
    const bool isKnown = frame.attempt == stream->attempt;
    const bool isAnswer = isKnown || frame.askedAttempt == stream->attempt;
    if (!isAnswer) {
        return;
    }
    stream->reports[frame.stageIndex] = StageProgress{frame.received, frame.applied, frame.sent, isKnown, frame.isEngineMoving};
    const bool isComplete = std::all_of(stream->reports.begin(), stream->reports.end(), [](const auto &report) {
        return report.has_value();
    });
    if (isComplete) {
        resolveStall(*stream);
    }
}

// [SECTION] Stalls

milliseconds Streams::Private::progressTimeout(const OpenStream &stream)
{
    const ModelTimes &modelTimes = timesByModel[stream.request.requirements.model];
    const TimeEstimate &estimate = stream.emitted.empty() ? modelTimes.firstToken : modelTimes.betweenTokens;
    const milliseconds shortest = context.settings.progressTimeout;
    return adaptiveTimeout(estimate, shortest, std::max(shortest, maxProgressTimeout));
}

void Streams::Private::checkProgress(OpenStream &stream, TimePoint now)
{
    if (stream.isQueryPending) {
        if (isReportOverdue(stream, now)) {
            resolveStall(stream);
        }
        return;
    }
    const milliseconds timeout = progressTimeout(stream);
    if (now - stream.lastProgressAt < timeout) {
        return;
    }
    queryStages(stream, now);
}

/// Whether a stage that has not reported is considered lost. While messages from its target still arrive, it is given up to
/// maxProgressTimeout, as it is only slow to report, or this process slow to read: if that led to a replacement, a busy system
/// would replace all its stages, one after another.
bool Streams::Private::isReportOverdue(const OpenStream &stream, TimePoint now) const
{
    const auto waited = now - stream.queriedAt;
    if (waited < context.settings.progressTimeout / 2) {
        return false;
    }
    bool isUnreachable = false;
    for (std::size_t i = 0; i < stream.reports.size(); ++i) {
        isUnreachable = isUnreachable || (!stream.reports[i] && targets.isOverdue(stream.chain[i].target));
    }
    return isUnreachable || waited >= maxProgressTimeout;
}

void Streams::Private::queryStages(OpenStream &stream, TimePoint now)
{
    stream.isQueryPending = true;
    stream.queriedAt = now;
    stream.reports.assign(stream.chain.size(), std::nullopt);
    for (std::uint32_t i = 0; i < stream.chain.size(); ++i) {
        context.links.link(addressOf(stream.chain[i]))->send(StageQuery{stream.request.id, stream.attempt, i});
    }
}

void Streams::Private::resolveStall(OpenStream &stream)
{
    stream.isQueryPending = false;
    const StallDecision decision = decideStallAction(stream.reports, stream.inconclusiveQueries);
    if (decision.action == StallAction::Replace) {
        const std::string peer = stream.chain[decision.diagnosis.stage].target.value;
        return replaceStage(stream, decision.diagnosis.stage, {"wait for token", peer, std::string("no progress: ") + toString(decision.diagnosis.fault)},
                            true);
    }
    stream.lastProgressAt = context.clock.now();
    if (decision.action == StallAction::Renew) {
        tryNextAttempt(stream, {"wait for token", "", "no stage is at fault"});
    }
}

/// Replaces the first matching stage of every stream that has one.
void Streams::Private::replaceMatchingStages(const std::function<bool(const StageAddress &)> &matches, const Error &error, bool isTargetFault)
{
    std::vector<RequestId> affected;
    for (const auto &[request, stream] : streams) {
        if (std::any_of(stream.chain.begin(), stream.chain.end(), matches)) {
            affected.push_back(request);
        }
    }
    for (const RequestId &request : affected) {
        OpenStream *stream = find(request);
        if (!stream) {
            continue;
        }
        const auto stage = std::find_if(stream->chain.begin(), stream->chain.end(), matches);
        replaceStage(*stream, static_cast<std::uint32_t>(stage - stream->chain.begin()), error, isTargetFault);
    }
}

// [SECTION] Streams

RequestInputs inputsOf(const StreamRequest &request)
{
    return {requestFingerprint(request.fingerprint), request.parts};
}

Streams::Streams(EntryContext &context, Targets &targets, InputGuard &guard, EntryCrashGuard &crashGuard)
    : d(std::make_unique<Private>(context, targets, guard, crashGuard))
{
}

Streams::~Streams() = default;

void Streams::open(StreamRequest request, StreamHandlers handlers)
{
    const RequestId id = request.id;
    OpenStream &stream = d->streams[id];
    stream.request = std::move(request);
    stream.handlers = std::make_shared<const StreamHandlers>(std::move(handlers));
    stream.openedAt = d->context.clock.now();
    stream.lastProgressAt = stream.openedAt;
    recordRequest(d->context.retryBudget);
    d->tryNextAttempt(stream, {});
}

void Streams::cancel(const RequestId &request)
{
    if (const OpenStream *stream = d->find(request)) {
        d->closeStages(*stream);
        d->streams.erase(request);
    }
}

bool Streams::handleFrame(const Frame &frame)
{
    switch (frame.message) {
    case TokenFrame::messageId:
        return decodeAndHandle<TokenFrame>(frame, [&](const TokenFrame &message) {
            d->handleToken(message);
        });
    case StageFailed::messageId:
        return decodeAndHandle<StageFailed>(frame, [&](const StageFailed &message) {
            d->handleStageFailure(message);
        });
    case StageReport::messageId:
        return decodeAndHandle<StageReport>(frame, [&](const StageReport &message) {
            d->handleReport(message);
        });
    default:
        return false;
    }
}

void Streams::handleLinkLost(const std::string &address, const Error &error)
{
    d->replaceMatchingStages(
        [&address](const StageAddress &stage) {
            return addressOf(stage).toString() == address;
        },
        error, true);
}

void Streams::handleTargetLost(const TargetId &target)
{
    d->replaceMatchingStages(
        [&target](const StageAddress &stage) {
            return stage.target == target;
        },
        {"hear from target", target.value, "silent or restarted"}, false);
}

void Streams::handleTargetsChanged()
{
    d->retryWaiting();
}

void Streams::Private::retryWaiting()
{
    std::vector<RequestId> waiting;
    for (const auto &[request, stream] : streams) {
        if (stream.waitingSince != TimePoint{}) {
            waiting.push_back(request);
        }
    }
    const TimePoint now = context.clock.now();
    for (const RequestId &request : waiting) {
        OpenStream *stream = find(request);
        if (!stream) {
            continue;
        }
        if (now - stream->waitingSince >= exclusionLifetime) {
            stream->excludedTargets.clear();
        }
        tryNextAttempt(*stream, {"choose chain", "", "no target holds the layers"});
    }
}

void Streams::tick()
{
    const TimePoint now = d->context.clock.now();
    RetryBudget &budget = d->context.retryBudget;
    budget.burst = std::max(20.0, static_cast<double>(d->streams.size()));
    if (d->refilledAt != TimePoint{}) {
        budget.available = std::min(budget.burst, budget.available + budget.burst * retryRefillPerSecond * secondsBetween(d->refilledAt, now));
    }
    d->refilledAt = now;
    handleTargetsChanged();
    std::vector<RequestId> requests;
    for (const auto &[request, stream] : d->streams) {
        requests.push_back(request);
    }
    for (const RequestId &request : requests) {
        OpenStream *stream = d->find(request);
        if (!stream) {
            continue;
        }
        const bool isEnding = now >= d->context.answerBy;
        if (isEnding || now - stream->openedAt >= stream->request.deadline) {
            StreamFailure timedOut;
            timedOut.isTimeout = true;
            d->fail(*stream, {"answer in time", "", isEnding ? "this entry is stopping" : "the deadline passed"}, timedOut);
        } else if (stream->waitingSince == TimePoint{}) {
            d->checkProgress(*stream, now);
        } else if (now - stream->waitingSince >= (stream->emitted.empty() ? maxWaitBeforeFirstToken : maxWaitAfterFirstToken)) {
            d->fail(*stream, {"choose chain", "", "no targets hold all layers of the model"});
        }
    }
}

std::size_t Streams::size() const
{
    return d->streams.size();
}

std::string Streams::dump() const
{
    const TimePoint now = d->context.clock.now();
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[request, stream] : d->streams) {
        nlohmann::json chain = nlohmann::json::array();
        for (const StageAddress &stage : stream.chain) {
            chain.push_back(stage.target.value);
        }
        list.push_back({{"request", request.value},
                        {"model", stream.request.requirements.model.value},
                        {"attempt", stream.attempt.value},
                        {"chain", chain},
                        {"emitted", stream.emitted.size()},
                        {"ageSeconds", secondsBetween(stream.openedAt, now)},
                        {"isWaiting", stream.waitingSince != TimePoint{}}});
    }
    return list.dump();
}

} // namespace Parsleytrail
