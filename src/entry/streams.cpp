// Index: [SECTION] State, [SECTION] Attempts, [SECTION] Ends, [SECTION] Frames, [SECTION] Standing still, [SECTION] Streams
#include "entry/streams.h"

#include "base/log.h"
#include "policy/progress.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

namespace Parsleytrail
{

// [SECTION] State

constexpr milliseconds longestProgressTimeout{5000}; ///< before anything is known of a model's times, and for answers of stages that are heard
constexpr milliseconds exclusionLife{500};           ///< a waiting stream takes back targets that failed it after this time
constexpr double retryRefillPerSecond = 0.1;         ///< share of the open streams that may get a new attempt each second, beyond the share of requests

namespace
{

/// An open stream.
struct OpenStream {
    StreamRequest request;
    std::shared_ptr<const StreamHandlers> handlers;
    Attempt attempt;                                   ///< current; 0 before the first
    std::vector<StageAddress> chain;                   ///< current stages; empty while waiting for a target
    std::vector<StageAddress> opened;                  ///< stages that may hold state of this stream
    std::vector<std::uint32_t> emitted;                ///< tokens given to the caller
    std::set<TargetId> excluded;                       ///< failed this stream
    TimePoint openedAt{};                              ///< request taken
    TimePoint progressAt{};                            ///< last token, or start of the attempt
    TimePoint failedAt{};                              ///< first failure since the last token; zero: none
    TimePoint waitingSince{};                          ///< no chain since; zero: has one
    bool isSuspect = false;                            ///< an engine died under it; cleared by the next token
    bool isAttemptSuspect = false;                     ///< the current attempt was opened as a suspect: its first steps run alone
    TimePoint notBefore{};                             ///< no new attempt before
    bool hasQuery = false;                             ///< StageQuery is out
    TimePoint askedAt{};                               ///< when StageQuery went out
    std::vector<std::optional<StageProgress>> reports; ///< answers to it
    std::uint32_t idleQueries = 0;                     ///< see judgeStall()
};

/// Times of one model's streams.
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
    std::unordered_map<RequestId, OpenStream> streams;
    std::map<ModelName, ModelTimes> times;
    TimePoint refilledAt{};
    Timer suspectTimer; ///< tries suspects again as soon as their pause is over
    std::uint64_t &replaced;
    std::uint64_t &tokensEmitted;
    std::uint64_t &tokensDropped;
    TimeHistogram &firstToken;
    TimeHistogram &betweenTokens;
    TimeHistogram &recovery;

    Private(EntryContext &entryContext, Targets &entryTargets, InputGuard &inputGuard)
        : context(entryContext)
        , targets(entryTargets)
        , guard(inputGuard)
        , suspectTimer(context.loop,
                       [this] {
                           retryWaiting();
                       })
        , replaced(context.metrics.counter("parsley_stages_replaced", "New attempts made because a stage failed."))
        , tokensEmitted(context.metrics.counter("parsley_tokens_emitted", "Tokens given to callers."))
        , tokensDropped(context.metrics.counter("parsley_tokens_dropped", "Tokens that came twice, from an old attempt, or for no open stream."))
        , firstToken(context.metrics.histogram("parsley_first_token_seconds", "Time from a request to its first token."))
        , betweenTokens(context.metrics.histogram("parsley_between_tokens_seconds", "Time between two tokens of a stream."))
        , recovery(context.metrics.histogram("parsley_recovery_seconds", "Time from the last token before a failure to the first after it."))
    {
    }

    OpenStream *find(const RequestId &request);
    ChainOptions chainOptions(const OpenStream &stream) const;
    bool chooseStages(OpenStream &stream);
    StageAddress toStage(const TargetView &target) const;
    void startAttempt(OpenStream &stream);
    void wait(OpenStream &stream);
    void retryWaiting();
    void replaceStage(OpenStream &stream, std::uint32_t stageIndex, const Error &error, bool isTargetsFault);
    void renew(OpenStream &stream, const Error &error);

    void closeStage(const OpenStream &stream, const StageAddress &stage);
    void closeStages(const OpenStream &stream);
    void closeLeftStages(OpenStream &stream);
    void finish(OpenStream &stream, FinishReason reason, std::uint32_t promptTokens);
    void fail(OpenStream &stream, const Error &error, StreamFailure failure = {});

    void takeToken(const TokenFrame &frame);
    void takeFailure(const StageFailed &frame);
    bool noteDeath(OpenStream &stream, const StageFailed &frame);
    void refuseConvicted(OpenStream &stream, const Error &error);
    void takeReport(const StageReport &frame);

    milliseconds progressTimeout(const OpenStream &stream);
    bool isAnswerOverdue(const OpenStream &stream, TimePoint now) const;
    void askStages(OpenStream &stream, TimePoint now);
    void checkProgress(OpenStream &stream, TimePoint now);
    void judge(OpenStream &stream);
    void replaceWhere(const std::function<bool(const StageAddress &)> &matches, const Error &error, bool isTargetsFault);
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
    options.excluded = &stream.excluded;
    return options;
}

StageAddress Streams::Private::toStage(const TargetView &target) const
{
    const Announcement &last = target.last;
    return {last.target, last.incarnation, last.host, last.port, last.layerBegin, last.layerEnd};
}

bool Streams::Private::chooseStages(OpenStream &stream)
{
    const std::vector<const TargetView *> views = targets.views();
    const std::vector<std::size_t> chosen = selectChain(views, stream.request.need, chainOptions(stream), context.clock.now(), context.random);
    stream.chain.clear();
    for (const std::size_t index : chosen) {
        stream.chain.push_back(toStage(*views[index]));
    }
    return !stream.chain.empty();
}

void Streams::Private::startAttempt(OpenStream &stream)
{
    ++stream.attempt.value;
    stream.waitingSince = {};
    stream.hasQuery = false;
    stream.progressAt = context.clock.now();
    closeLeftStages(stream);
    OpenStage open;
    open.request = stream.request.id;
    open.attempt = stream.attempt;
    open.stages = stream.chain;
    open.model = stream.request.need.model;
    open.version = stream.request.need.version;
    open.adapter = stream.request.need.adapter;
    open.tokens = stream.emitted;
    open.maxTokens = stream.request.maxTokens;
    open.priority = stream.request.priority;
    open.isSuspect = guard.judge(stream.request.fingerprint, stream.request.allowedInputs) != InputStatus::Clear;
    stream.isAttemptSuspect = open.isSuspect;
    for (std::uint32_t i = 0; i < stream.chain.size(); ++i) {
        const StageAddress &stage = stream.chain[i];
        open.stageIndex = i;
        open.prompt = i == 0 ? stream.request.prompt : std::string();
        context.links.link(addressOf(stage))->send(open);
        const bool isNew = std::none_of(stream.opened.begin(), stream.opened.end(), [&](const StageAddress &other) {
            return other.target == stage.target;
        });
        if (isNew) {
            stream.opened.push_back(stage);
            targets.noteOpened(stage.target);
        }
    }
    if (context.history.isEnabled()) {
        context.history.record(
            "attempt",
            {{"request", stream.request.id.value}, {"attempt", std::uint64_t{stream.attempt.value}}, {"emitted", std::uint64_t{stream.emitted.size()}}});
    }
}

/// Leaves the stream to a later try, on the chain that is set if there is one.
void Streams::Private::wait(OpenStream &stream)
{
    if (stream.waitingSince == TimePoint{}) {
        stream.waitingSince = context.clock.now();
    }
}

/// Starts a new attempt on the chain that is set, or on a new one; waits if there is none or the budget is spent.
void Streams::Private::renew(OpenStream &stream, const Error &error)
{
    if (stream.attempt.value >= maxAttempts) {
        return fail(stream, error);
    }
    if (stream.isSuspect && guard.judge(stream.request.fingerprint, stream.request.allowedInputs) == InputStatus::Quarantined) {
        return refuseConvicted(stream, error);
    }
    const bool hasChain = !stream.chain.empty() || chooseStages(stream);
    const bool isFirst = stream.attempt == Attempt{};
    const bool isTooEarly = context.clock.now() < stream.notBefore;
    if (!hasChain || isTooEarly || (!isFirst && !tryConsumeRetry(context.retries))) {
        return wait(stream);
    }
    if (!isFirst) {
        ++replaced;
    }
    startAttempt(stream);
}

void Streams::Private::replaceStage(OpenStream &stream, std::uint32_t stageIndex, const Error &error, bool isTargetsFault)
{
    if (stageIndex >= stream.chain.size()) {
        return;
    }
    const StageAddress lost = stream.chain[stageIndex];
    stream.idleQueries = 0;
    stream.excluded.insert(lost.target);
    if (isTargetsFault) {
        targets.noteFailure(lost.target);
    }
    if (stream.failedAt == TimePoint{}) {
        stream.failedAt = stream.progressAt;
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
        selectReplacement(views, stream.request.need, lost.layerBegin, lost.layerEnd, chainOptions(stream), context.clock.now(), context.random);
    if (index < views.size()) {
        stream.chain[stageIndex] = toStage(*views[index]);
    } else {
        stream.chain.clear();
    }
    renew(stream, error);
}

// [SECTION] Ends

void Streams::Private::closeStage(const OpenStream &stream, const StageAddress &stage)
{
    targets.noteClosed(stage.target);
    const LinkPtr link = context.links.find(addressOf(stage));
    if (link) {
        link->send(CloseStream{stream.request.id, stream.attempt});
    }
}

void Streams::Private::closeStages(const OpenStream &stream)
{
    for (const StageAddress &stage : stream.opened) {
        closeStage(stream, stage);
    }
}

/// Tells stages that the chain has left to free the stream: they may be well, and hold KV cache for it.
void Streams::Private::closeLeftStages(OpenStream &stream)
{
    std::erase_if(stream.opened, [&](const StageAddress &stage) {
        const bool isStillThere = std::any_of(stream.chain.begin(), stream.chain.end(), [&stage](const StageAddress &other) {
            return other.target == stage.target;
        });
        if (!isStillThere) {
            closeStage(stream, stage);
        }
        return !isStillThere;
    });
}

void Streams::Private::finish(OpenStream &stream, FinishReason reason, std::uint32_t promptTokens)
{
    closeStages(stream);
    for (const StageAddress &stage : stream.chain) {
        targets.noteSuccess(stage.target);
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

void Streams::Private::takeToken(const TokenFrame &frame)
{
    OpenStream *stream = find(frame.request);
    const bool isNext = stream && frame.attempt == stream->attempt && frame.index == stream->emitted.size();
    if (!isNext) {
        // Late frames of an attempt that was given up must not reach the caller: their token was emitted already.
        ++tokensDropped;
        return;
    }
    const TimePoint now = context.clock.now();
    const double gap = secondsBetween(stream->emitted.empty() ? stream->openedAt : stream->progressAt, now);
    ModelTimes &modelTimes = times[stream->request.need.model];
    if (stream->failedAt != TimePoint{}) {
        recovery.record(secondsBetween(stream->failedAt, now));
        stream->failedAt = {};
    } else {
        recordTime(stream->emitted.empty() ? modelTimes.firstToken : modelTimes.betweenTokens, gap);
    }
    (stream->emitted.empty() ? firstToken : betweenTokens).record(gap);
    if (stream->isSuspect) {
        stream->isSuspect = false;
        guard.notePass(stream->request.fingerprint);
    }
    stream->emitted.push_back(frame.token);
    stream->progressAt = now;
    stream->idleQueries = 0;
    stream->hasQuery = false;
    ++tokensEmitted;
    if (context.history.isEnabled()) {
        context.history.record("token", {{"request", frame.request.value},
                                         {"index", std::uint64_t{frame.index}},
                                         {"token", std::uint64_t{frame.token}},
                                         {"attempt", std::uint64_t{frame.attempt.value}}});
    }
    // The handler may cancel the stream.
    const auto handlers = stream->handlers;
    handlers->onToken(frame);
    stream = find(frame.request);
    if (stream && frame.finish != FinishReason::None) {
        finish(*stream, frame.finish, frame.promptLength);
    }
}

/// An engine died with the stream in flight. Returns false if the stream was ended because its input is convicted.
bool Streams::Private::noteDeath(OpenStream &stream, const StageFailed &frame)
{
    const StreamRequest &request = stream.request;
    // A second death under an attempt that did not run alone yet says nothing new: a stream is in flight at several
    // stages, and two of their engines may die together of something else.
    const bool saysNothingNew = stream.isSuspect && !stream.isAttemptSuspect;
    if (saysNothingNew) {
        return true;
    }
    guard.noteDeath(request.fingerprint, frame.crash, request.service, request.workspace, request.id);
    stream.isSuspect = true;
    stream.notBefore = context.clock.now() + suspectPause;
    if (!suspectTimer.isRunning()) {
        suspectTimer.start(suspectPause + milliseconds(1));
    }
    if (guard.judge(request.fingerprint, request.allowedInputs) != InputStatus::Quarantined) {
        return true;
    }
    if (frame.stageIndex < stream.chain.size()) {
        targets.noteFailure(stream.chain[frame.stageIndex].target);
    }
    refuseConvicted(stream, {frame.step, frame.peer, ""});
    return false;
}

void Streams::Private::refuseConvicted(OpenStream &stream, const Error &error)
{
    StreamFailure failure;
    failure.isConvicted = true;
    fail(stream, {error.step, error.peer, "the input was in flight at two separate deaths of engines"}, failure);
}

void Streams::Private::takeFailure(const StageFailed &frame)
{
    OpenStream *stream = find(frame.request);
    if (!stream || frame.attempt != stream->attempt) {
        return;
    }
    if (frame.crash != 0 && !noteDeath(*stream, frame)) {
        return;
    }
    const bool isTargetsFault = frame.kind == FailureKind::TargetLost || frame.kind == FailureKind::TargetTimeout || frame.kind == FailureKind::NextStageLost;
    replaceStage(*stream, frame.stageIndex, {frame.step, frame.peer, toString(frame.kind)}, isTargetsFault);
}

void Streams::Private::takeReport(const StageReport &frame)
{
    OpenStream *stream = find(frame.request);
    const bool isExpected = stream && stream->hasQuery && frame.stageIndex < stream->reports.size();
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
        judge(*stream);
    }
}

// [SECTION] Standing still

milliseconds Streams::Private::progressTimeout(const OpenStream &stream)
{
    const ModelTimes &modelTimes = times[stream.request.need.model];
    const TimeEstimate &estimate = stream.emitted.empty() ? modelTimes.firstToken : modelTimes.betweenTokens;
    const milliseconds shortest = context.settings.progressTimeout;
    return adaptiveTimeout(estimate, shortest, std::max(shortest, longestProgressTimeout));
}

void Streams::Private::checkProgress(OpenStream &stream, TimePoint now)
{
    if (stream.hasQuery) {
        if (isAnswerOverdue(stream, now)) {
            judge(stream);
        }
        return;
    }
    const milliseconds timeout = progressTimeout(stream);
    if (now - stream.progressAt < timeout) {
        return;
    }
    askStages(stream, now);
}

/// Whether a stage that has not answered is to be taken as gone. One that is still heard is only slow to answer, as is this
/// process if it is slow to read: replaced for that, all stages of a busy system would be, one after the other.
bool Streams::Private::isAnswerOverdue(const OpenStream &stream, TimePoint now) const
{
    const auto waited = now - stream.askedAt;
    if (waited < context.settings.progressTimeout / 2) {
        return false;
    }
    bool isSilent = false;
    for (std::size_t i = 0; i < stream.reports.size(); ++i) {
        isSilent = isSilent || (!stream.reports[i] && targets.isOverdue(stream.chain[i].target));
    }
    return isSilent || waited >= longestProgressTimeout;
}

void Streams::Private::askStages(OpenStream &stream, TimePoint now)
{
    stream.hasQuery = true;
    stream.askedAt = now;
    stream.reports.assign(stream.chain.size(), std::nullopt);
    for (std::uint32_t i = 0; i < stream.chain.size(); ++i) {
        context.links.link(addressOf(stream.chain[i]))->send(StageQuery{stream.request.id, stream.attempt, i});
    }
}

void Streams::Private::judge(OpenStream &stream)
{
    stream.hasQuery = false;
    const StallDecision verdict = decideStallAction(stream.reports, stream.idleQueries);
    if (verdict.action == StallAction::Replace) {
        const std::string peer = stream.chain[verdict.diagnosis.stage].target.value;
        return replaceStage(stream, verdict.diagnosis.stage, {"wait for token", peer, std::string("no progress: ") + toString(verdict.diagnosis.fault)}, true);
    }
    stream.progressAt = context.clock.now();
    if (verdict.action == StallAction::Renew) {
        renew(stream, {"wait for token", "", "no stage is at fault"});
    }
}

/// Replaces the matching stage of every stream that has one.
void Streams::Private::replaceWhere(const std::function<bool(const StageAddress &)> &matches, const Error &error, bool isTargetsFault)
{
    std::vector<RequestId> users;
    for (const auto &[request, stream] : streams) {
        if (std::any_of(stream.chain.begin(), stream.chain.end(), matches)) {
            users.push_back(request);
        }
    }
    for (const RequestId &request : users) {
        OpenStream *stream = find(request);
        if (!stream) {
            continue;
        }
        const auto stage = std::find_if(stream->chain.begin(), stream->chain.end(), matches);
        replaceStage(*stream, static_cast<std::uint32_t>(stage - stream->chain.begin()), error, isTargetsFault);
    }
}

// [SECTION] Streams

Streams::Streams(EntryContext &context, Targets &targets, InputGuard &guard)
    : d(std::make_unique<Private>(context, targets, guard))
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
    stream.progressAt = stream.openedAt;
    recordRequest(d->context.retries);
    d->renew(stream, {});
}

void Streams::cancel(const RequestId &request)
{
    if (const OpenStream *stream = d->find(request)) {
        d->closeStages(*stream);
        d->streams.erase(request);
    }
}

bool Streams::takeFrame(const Frame &frame)
{
    switch (frame.message) {
    case TokenFrame::messageId:
        return decodeAnd<TokenFrame>(frame, [&](const TokenFrame &message) {
            d->takeToken(message);
        });
    case StageFailed::messageId:
        return decodeAnd<StageFailed>(frame, [&](const StageFailed &message) {
            d->takeFailure(message);
        });
    case StageReport::messageId:
        return decodeAnd<StageReport>(frame, [&](const StageReport &message) {
            d->takeReport(message);
        });
    default:
        return false;
    }
}

void Streams::linkGone(const std::string &address, const Error &error)
{
    d->replaceWhere(
        [&address](const StageAddress &stage) {
            return addressOf(stage).toString() == address;
        },
        error, true);
}

void Streams::targetGone(const TargetId &target)
{
    d->replaceWhere(
        [&target](const StageAddress &stage) {
            return stage.target == target;
        },
        {"hear from target", target.value, "silent or restarted"}, false);
}

void Streams::targetsChanged()
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
        if (now - stream->waitingSince >= exclusionLife) {
            stream->excluded.clear();
        }
        renew(*stream, {"choose chain", "", "no target holds the layers"});
    }
}

void Streams::tick()
{
    const TimePoint now = d->context.clock.now();
    RetryBudget &budget = d->context.retries;
    budget.burst = std::max(20.0, static_cast<double>(d->streams.size()));
    if (d->refilledAt != TimePoint{}) {
        budget.available = std::min(budget.burst, budget.available + budget.burst * retryRefillPerSecond * secondsBetween(d->refilledAt, now));
    }
    d->refilledAt = now;
    targetsChanged();
    std::vector<RequestId> requests;
    for (const auto &[request, stream] : d->streams) {
        requests.push_back(request);
    }
    for (const RequestId &request : requests) {
        OpenStream *stream = d->find(request);
        if (!stream) {
            continue;
        }
        if (now - stream->openedAt >= stream->request.deadline) {
            StreamFailure late;
            late.isTimeout = true;
            d->fail(*stream, {"answer in time", "", "the deadline passed"}, late);
        } else if (stream->waitingSince == TimePoint{}) {
            d->checkProgress(*stream, now);
        } else if (now - stream->waitingSince >= (stream->emitted.empty() ? longestWaitToBegin : longestWaitForTarget)) {
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
                        {"model", stream.request.need.model.value},
                        {"attempt", stream.attempt.value},
                        {"chain", chain},
                        {"emitted", stream.emitted.size()},
                        {"ageSeconds", secondsBetween(stream.openedAt, now)},
                        {"isWaiting", stream.waitingSince != TimePoint{}}});
    }
    return list.dump();
}

} // namespace Parsleytrail
