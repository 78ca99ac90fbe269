// Index: [SECTION] State, [SECTION] Passing on, [SECTION] Engine steps, [SECTION] Frames, [SECTION] Peers, [SECTION] Stages
#include "sidecar/stages.h"

#include "base/log.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

namespace Parsleytrail
{

// [SECTION] State

constexpr std::size_t maxEarlyFrames = 64;    ///< frames kept for one stream that is not open yet
constexpr std::size_t maxEarlyStreams = 4096; ///< streams for which early frames are kept
constexpr milliseconds earlyFrameLife{5000};  ///< an OpenStage that has not come by then won't come

namespace
{

/// A stream with what the sidecar needs around its pure state.
struct HeldStream {
    StageStream core;                     ///< positions and results
    OpenStage open;                       ///< newest
    LinkPtr entry;                        ///< where failures and tokens go; null once it closed
    TimePoint orphanedAt{};               ///< when the entry's link closed
    std::uint64_t generation = 0;         ///< tells apart streams that reuse a request's id here
    bool isAtEngine = false;              ///< the engine knows the stream
    bool isSuspect = false;               ///< the next step runs alone
    std::uint64_t acceleratorMicros = 0;  ///< spent on it here
    std::uint32_t askedFrom = UINT32_MAX; ///< position of the last ResumeFrom sent in this attempt
};

/// Frames that came before their OpenStage: neighbours may get theirs first.
struct EarlyFrames {
    std::vector<ActivationFrame> activations;
    std::vector<TokenFrame> tokens;
    std::vector<ResumeFrom> resumes;
    TimePoint since{};

    std::size_t size() const
    {
        return activations.size() + tokens.size() + resumes.size();
    }
};

/// Counters of frames that were not applied.
struct DropCounters {
    std::uint64_t &duplicate;
    std::uint64_t &gap;
    std::uint64_t &oldAttempt;
    std::uint64_t &wrongLayer;

    explicit DropCounters(Metrics &metrics)
        : duplicate(metrics.counter("parsley_frames_duplicate", "Frames dropped because their positions were received before."))
        , gap(metrics.counter("parsley_frames_gap", "Frames dropped because positions before them are missing."))
        , oldAttempt(metrics.counter("parsley_frames_old_attempt", "Frames dropped because a newer attempt is known."))
        , wrongLayer(metrics.counter("parsley_frames_wrong_layer", "Frames dropped because other layers must come first."))
    {
    }

    void count(InputDecision verdict)
    {
        switch (verdict) {
        case InputDecision::Duplicate:
            ++duplicate;
            return;
        case InputDecision::Gap:
            ++gap;
            return;
        case InputDecision::OldAttempt:
            ++oldAttempt;
            return;
        case InputDecision::WrongLayer:
            ++wrongLayer;
            return;
        case InputDecision::Accept:
        case InputDecision::NewerAttempt:
            return;
        }
    }
};

Address addressOf(const StageAddress &stage)
{
    return {stage.host, stage.port};
}

} // namespace

struct Stages::Private {
    SidecarContext &context;
    EngineClient &engine;
    DropCounters drops;
    std::uint64_t &opened;
    std::uint64_t &failed;
    std::uint64_t &positionsApplied;
    std::unordered_map<RequestId, HeldStream> streams;
    std::unordered_map<RequestId, EarlyFrames> early;
    std::uint64_t nextGeneration = 1;
    std::size_t kept = 0; ///< bytes of kept activations
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Private(SidecarContext &sidecarContext, EngineClient &engineClient)
        : context(sidecarContext)
        , engine(engineClient)
        , drops(context.metrics)
        , opened(context.metrics.counter("parsley_stages_opened", "Streams and attempts opened."))
        , failed(context.metrics.counter("parsley_stages_failed", "Failures reported to entries."))
        , positionsApplied(context.metrics.counter("parsley_positions_applied", "Positions applied by the engine."))
    {
    }

    HeldStream *find(const RequestId &request);
    EarlyFrames *earlyFor(const RequestId &request);
    void erase(const RequestId &request);
    void report(const HeldStream &stream, std::uint32_t stageIndex, FailureKind kind, std::string step, std::string peer, std::uint64_t crash = 0);
    static void refuse(const LinkPtr &link, const OpenStage &open, FailureKind kind, const char *step);

    void askResume(HeldStream &stream);
    void passOn(HeldStream &stream);
    void passTokens(HeldStream &stream);
    void feedBack(HeldStream &stream, const TokenFrame &frame);
    void limitKept();

    void pump(HeldStream &stream);
    void finishStep(const RequestId &request, std::uint64_t generation, std::uint32_t position, const StepResult &result);
    bool noteTokens(HeldStream &stream, const StepResult &result);

    void open(const LinkPtr &link, const OpenStage &open);
    void replayEarly(const RequestId &request);
    void takeActivationFrame(const ActivationFrame &frame);
    void takeTokenFrame(const TokenFrame &frame);
    void takeResume(const ResumeFrom &frame);
    void close(const CloseStream &frame);
    void answerQuery(const LinkPtr &link, const StageQuery &query);
};

HeldStream *Stages::Private::find(const RequestId &request)
{
    const auto it = streams.find(request);
    return it == streams.end() ? nullptr : &it->second;
}

EarlyFrames *Stages::Private::earlyFor(const RequestId &request)
{
    const bool isFull = early.size() >= maxEarlyStreams && !early.count(request);
    if (isFull) {
        return nullptr;
    }
    EarlyFrames &frames = early[request];
    if (frames.since == TimePoint{}) {
        frames.since = context.clock.now();
    }
    return frames.size() < maxEarlyFrames ? &frames : nullptr;
}

void Stages::Private::erase(const RequestId &request)
{
    const auto it = streams.find(request);
    if (it == streams.end()) {
        return;
    }
    kept -= it->second.core.kept.size() * sizeof(std::uint64_t);
    if (it->second.isAtEngine) {
        engine.cancel({request});
    }
    streams.erase(it);
}

void Stages::Private::report(const HeldStream &stream, std::uint32_t stageIndex, FailureKind kind, std::string step, std::string peer, std::uint64_t crash)
{
    ++failed;
    if (stream.entry) {
        stream.entry->send(StageFailed{stream.core.request, stream.core.attempt, stageIndex, kind, std::move(step), std::move(peer), crash});
    }
}

void Stages::Private::refuse(const LinkPtr &link, const OpenStage &open, FailureKind kind, const char *step)
{
    link->send(StageFailed{open.request, open.attempt, open.stageIndex, kind, step, ""});
}

// [SECTION] Passing on

void Stages::Private::askResume(HeldStream &stream)
{
    const std::uint32_t from = received(stream.core);
    if (stream.core.isFirst || stream.askedFrom == from) {
        return;
    }
    stream.askedFrom = from;
    const std::uint32_t before = stream.core.stageIndex - 1;
    context.peers.link(addressOf(stream.open.stages[before]))->send(ResumeFrom{stream.core.request, stream.core.attempt, before, from});
}

void Stages::Private::passOn(HeldStream &stream)
{
    StageStream &core = stream.core;
    const std::uint32_t position = core.sent;
    std::vector<std::uint64_t> results = consumeResults(core);
    if (results.empty()) {
        return;
    }
    ActivationFrame frame;
    frame.request = core.request;
    frame.attempt = core.attempt;
    frame.stageIndex = core.stageIndex + 1;
    frame.position = position;
    frame.promptLength = core.promptLength;
    frame.layersDone = core.layerEnd;
    frame.activations = std::move(results);
    context.peers.link(addressOf(stream.open.stages[frame.stageIndex]))->send(frame);
}

void Stages::Private::feedBack(HeldStream &stream, const TokenFrame &frame)
{
    if (stream.core.isFirst) {
        handleToken(stream.core, frame.attempt, frame.index, frame.token);
        return;
    }
    context.peers.link(addressOf(stream.open.stages.front()))->send(frame);
}

void Stages::Private::passTokens(HeldStream &stream)
{
    StageStream &core = stream.core;
    while (core.isLast && core.sent < core.tokens.size()) {
        const KeptToken &token = core.tokens[core.sent];
        const TokenFrame frame{core.request, core.attempt, core.sent, token.token, token.text, token.finish, core.promptLength};
        ++core.sent;
        if (stream.entry) {
            stream.entry->send(frame);
        }
        if (token.finish == FinishReason::None) {
            feedBack(stream, frame);
        }
    }
}

/// Frees kept results of the largest streams first. They are only a shortcut: a stage that must be replaced behind such
/// a stream is then fed by running this stage again.
void Stages::Private::limitKept()
{
    const auto limit = static_cast<std::size_t>(context.settings.keptActivationBytes);
    while (kept > limit) {
        HeldStream *largest = nullptr;
        for (auto &[request, stream] : streams) {
            if (!largest || stream.core.kept.size() > largest->core.kept.size()) {
                largest = &stream;
            }
        }
        const std::size_t freed = largest ? dropKeptResults(largest->core) : 0;
        if (freed == 0) {
            return;
        }
        kept -= freed;
    }
}

// [SECTION] Engine steps

void Stages::Private::pump(HeldStream &stream)
{
    passOn(stream);
    passTokens(stream);
    std::optional<StepInput> input = beginStep(stream.core);
    if (!input) {
        return;
    }
    StepItem item;
    item.request = stream.core.request;
    item.isReset = !stream.isAtEngine;
    item.model = stream.open.model;
    item.version = stream.open.version;
    item.adapter = stream.open.adapter;
    item.isFirst = stream.core.isFirst;
    item.promptLength = stream.core.promptLength;
    item.priority = stream.open.priority;
    item.isAlone = stream.isSuspect;
    if (input->withPrompt) {
        item.prompt = stream.open.prompt;
    }
    item.input = std::move(*input);
    stream.isAtEngine = true;
    const std::uint32_t position = item.input.position;
    engine.submit(std::move(item),
                  [this, request = stream.core.request, generation = stream.generation, position, weak = std::weak_ptr(alive)](const StepResult &result) {
                      if (!weak.expired()) {
                          finishStep(request, generation, position, result);
                      }
                  });
}

bool Stages::Private::noteTokens(HeldStream &stream, const StepResult &result)
{
    for (const KeptToken &token : result.tokens) {
        if (stream.core.isFinished) {
            return true;
        }
        if (!recordToken(stream.core, token, stream.open.tokens)) {
            return false;
        }
    }
    return true;
}

void Stages::Private::finishStep(const RequestId &request, std::uint64_t generation, std::uint32_t position, const StepResult &result)
{
    HeldStream *stream = find(request);
    if (!stream) {
        // The stream was closed while the step waited here or at the engine. The cancel may have overtaken the step, which
        // then began the stream anew there; nobody would ever cancel it again.
        engine.cancel({request});
        return;
    }
    if (stream->generation != generation) {
        return;
    }
    if (result.end != StepEnd::Done) {
        const FailureKind kind = result.end == StepEnd::TimedOut ? FailureKind::TargetTimeout
                                 : result.end == StepEnd::Lost   ? FailureKind::TargetLost
                                                                 : FailureKind::Refused;
        report(*stream, stream->core.stageIndex, kind, "engine step: " + result.error.substr(0, 100), context.targetAddress.toString(), result.crash);
        // Whether the engine applied the positions is not known, so that its state can't be used again.
        return erase(request);
    }
    stream->isSuspect = false;
    stream->acceleratorMicros += result.acceleratorMicros;
    const std::size_t keptBefore = stream->core.kept.size();
    endStep(stream->core, result.promptLength, result.positions, result.activations);
    positionsApplied += result.positions;
    kept += (stream->core.kept.size() - keptBefore) * sizeof(std::uint64_t);
    if (context.history.isEnabled()) {
        context.history.record("applied", {{"request", request.value},
                                           {"attempt", std::uint64_t{stream->core.attempt.value}},
                                           {"position", std::uint64_t{position}},
                                           {"positions", std::uint64_t{result.positions}},
                                           {"layerBegin", std::uint64_t{stream->core.layerBegin}},
                                           {"layerEnd", std::uint64_t{stream->core.layerEnd}},
                                           {"generation", generation}});
    }
    if (!noteTokens(*stream, result)) {
        logEvent(Event::TokenMismatch, {{"request", request.value}, {"target", context.settings.id}});
        report(*stream, stream->core.stageIndex, FailureKind::ResultMismatch, "compare token", context.targetAddress.toString());
        return erase(request);
    }
    pump(*stream);
    limitKept();
}

// [SECTION] Frames

void Stages::Private::open(const LinkPtr &link, const OpenStage &open)
{
    if (open.stageIndex >= open.stages.size()) {
        return;
    }
    HeldStream *known = find(open.request);
    const StageAddress &self = open.stages[open.stageIndex];
    const EngineState &report = engine.report();
    const bool isForMe = self.target.value == context.settings.id && self.incarnation == context.incarnation;
    const bool holdsLayers =
        self.layerBegin == report.layerBegin && self.layerEnd == report.layerEnd && open.model == report.model && open.version == report.version;
    if (!isForMe || !holdsLayers) {
        return refuse(link, open, FailureKind::Refused, isForMe ? "open stage: other layers are loaded" : "open stage: other incarnation");
    }
    if (!known && context.isDraining) {
        return refuse(link, open, FailureKind::Draining, "open stage");
    }
    if (!known && streams.size() >= static_cast<std::size_t>(context.settings.maxStreams)) {
        return refuse(link, open, FailureKind::Refused, "open stage: max-streams reached");
    }
    if (!known) {
        known = &streams[open.request];
        known->generation = nextGeneration++;
        context.history.record("opened", {{"request", open.request.value}, {"attempt", std::uint64_t{open.attempt.value}}});
    }
    const std::size_t keptBefore = known->core.kept.size();
    const bool isStale = !openAttempt(known->core, open);
    if (isStale) {
        ++drops.oldAttempt;
        return;
    }
    ++opened;
    const bool startsOver = received(known->core) == 0 && known->isAtEngine;
    if (startsOver) {
        kept -= keptBefore * sizeof(std::uint64_t);
        known->generation = nextGeneration++;
        known->isAtEngine = false;
    }
    known->open = open;
    known->entry = link;
    known->isSuspect = open.isSuspect;
    known->askedFrom = UINT32_MAX;
    if (open.attempt > Attempt{1}) {
        askResume(*known);
    }
    replayEarly(open.request);
    if (HeldStream *stream = find(open.request)) {
        pump(*stream);
    }
}

void Stages::Private::replayEarly(const RequestId &request)
{
    const auto it = early.find(request);
    if (it == early.end()) {
        return;
    }
    const EarlyFrames frames = std::move(it->second);
    early.erase(it);
    for (const ResumeFrom &frame : frames.resumes) {
        takeResume(frame);
    }
    for (const ActivationFrame &frame : frames.activations) {
        takeActivationFrame(frame);
    }
    for (const TokenFrame &frame : frames.tokens) {
        takeTokenFrame(frame);
    }
}

void Stages::Private::takeActivationFrame(const ActivationFrame &frame)
{
    HeldStream *stream = find(frame.request);
    const InputDecision verdict = stream ? handleActivations(stream->core, frame) : InputDecision::NewerAttempt;
    if (verdict == InputDecision::NewerAttempt) {
        if (EarlyFrames *frames = earlyFor(frame.request)) {
            frames->activations.push_back(frame);
        }
        return;
    }
    drops.count(verdict);
    if (verdict == InputDecision::Gap) {
        askResume(*stream);
    }
    if (verdict == InputDecision::Accept) {
        stream->askedFrom = UINT32_MAX;
        pump(*stream);
    }
}

void Stages::Private::takeTokenFrame(const TokenFrame &frame)
{
    HeldStream *stream = find(frame.request);
    const InputDecision verdict = stream ? handleToken(stream->core, frame.attempt, frame.index, frame.token) : InputDecision::NewerAttempt;
    if (verdict == InputDecision::NewerAttempt) {
        if (EarlyFrames *frames = earlyFor(frame.request)) {
            frames->tokens.push_back(frame);
        }
        return;
    }
    drops.count(verdict);
    if (verdict == InputDecision::Accept) {
        pump(*stream);
    }
}

void Stages::Private::takeResume(const ResumeFrom &frame)
{
    HeldStream *stream = find(frame.request);
    if (!stream || frame.attempt > stream->core.attempt) {
        if (EarlyFrames *frames = earlyFor(frame.request)) {
            frames->resumes.push_back(frame);
        }
        return;
    }
    if (frame.attempt < stream->core.attempt) {
        ++drops.oldAttempt;
        return;
    }
    if (!resumeFrom(stream->core, frame.position)) {
        // The results were dropped to save memory: this stage must run again from its own inputs.
        report(*stream, stream->core.stageIndex, FailureKind::InputGap, "resume", "");
        return erase(frame.request);
    }
    pump(*stream);
}

void Stages::Private::close(const CloseStream &frame)
{
    early.erase(frame.request);
    const HeldStream *stream = find(frame.request);
    if (stream && frame.attempt >= stream->core.attempt) {
        if (stream->entry) {
            stream->entry->send(StageUsage{frame.request, {context.settings.id}, stream->acceleratorMicros});
        }
        erase(frame.request);
    }
}

void Stages::Private::answerQuery(const LinkPtr &link, const StageQuery &query)
{
    StageReport answer;
    answer.request = query.request;
    answer.askedAttempt = query.attempt;
    answer.stageIndex = query.stageIndex;
    if (const HeldStream *stream = find(query.request)) {
        answer.attempt = stream->core.attempt;
        answer.stageIndex = stream->core.stageIndex;
        answer.received = received(stream->core);
        answer.applied = stream->core.applied;
        answer.sent = stream->core.sent;
        answer.isEngineMoving = engine.isMoving();
    }
    link->send(answer);
}

// [SECTION] Stages

Stages::Stages(SidecarContext &context, EngineClient &engine)
    : d(std::make_unique<Private>(context, engine))
{
}

Stages::~Stages() = default;

bool Stages::takeFrame(const LinkPtr &link, const Frame &frame)
{
    switch (frame.message) {
    case OpenStage::messageId:
        return decodeAnd<OpenStage>(frame, [&](const OpenStage &message) {
            d->open(link, message);
        });
    case ActivationFrame::messageId:
        return decodeAnd<ActivationFrame>(frame, [&](const ActivationFrame &message) {
            d->takeActivationFrame(message);
        });
    case TokenFrame::messageId:
        return decodeAnd<TokenFrame>(frame, [&](const TokenFrame &message) {
            d->takeTokenFrame(message);
        });
    case ResumeFrom::messageId:
        return decodeAnd<ResumeFrom>(frame, [&](const ResumeFrom &message) {
            d->takeResume(message);
        });
    case CloseStream::messageId:
        return decodeAnd<CloseStream>(frame, [&](const CloseStream &message) {
            d->close(message);
        });
    case StageQuery::messageId:
        return decodeAnd<StageQuery>(frame, [&](const StageQuery &message) {
            d->answerQuery(link, message);
        });
    default:
        return false;
    }
}

// [SECTION] Peers

void Stages::peerGone(const LinkPtr &link)
{
    for (auto &[request, stream] : d->streams) {
        if (stream.entry == link) {
            stream.entry = nullptr;
            stream.orphanedAt = d->context.clock.now();
        }
    }
}

void Stages::nextStageGone(const std::string &address, const Error &error)
{
    const auto sendsTo = [&](const HeldStream &stream, std::uint32_t stage) {
        return stage < stream.open.stages.size() && addressOf(stream.open.stages[stage]).toString() == address;
    };
    for (auto &[request, stream] : d->streams) {
        const std::uint32_t next = stream.core.isLast ? 0 : stream.core.stageIndex + 1;
        if (sendsTo(stream, next)) {
            d->report(stream, next, FailureKind::NextStageLost, error.step, address);
        }
    }
}

void Stages::sweep()
{
    const TimePoint now = d->context.clock.now();
    std::vector<RequestId> orphans;
    for (const auto &[request, stream] : d->streams) {
        if (!stream.entry && now - stream.orphanedAt >= d->context.settings.orphanTimeout) {
            orphans.push_back(request);
        }
    }
    for (const RequestId &request : orphans) {
        d->erase(request);
    }
    if (!orphans.empty()) {
        logEvent(Event::OrphansFreed, {{"streams", std::to_string(orphans.size())}});
    }
    std::erase_if(d->early, [&](const auto &item) {
        return now - item.second.since >= earlyFrameLife;
    });
}

std::size_t Stages::open() const
{
    return d->streams.size();
}

std::size_t Stages::keptBytes() const
{
    return d->kept;
}

std::string Stages::dump() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[request, stream] : d->streams) {
        const StageStream &core = stream.core;
        list.push_back({{"request", request.value},
                        {"attempt", core.attempt.value},
                        {"stage", core.stageIndex},
                        {"received", received(core)},
                        {"applied", core.applied},
                        {"atEngine", core.inStep},
                        {"sent", core.sent},
                        {"kept", core.kept.size()},
                        {"hasEntry", stream.entry != nullptr}});
    }
    return list.dump();
}

} // namespace Parsleytrail
