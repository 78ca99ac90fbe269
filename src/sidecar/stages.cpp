// Index: [SECTION] State, [SECTION] Sending results, [SECTION] Engine steps, [SECTION] Frames, [SECTION] Peers, [SECTION] Stages
#include "sidecar/stages.h"

#include "base/log.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

namespace Parsleytrail
{

// [SECTION] State

constexpr std::size_t maxEarlyFrames = 64;       ///< maximum number of frames kept for one stream that is not open yet
constexpr std::size_t maxEarlyStreams = 4096;    ///< maximum number of streams with early frames
constexpr milliseconds earlyFrameLifetime{5000}; ///< an OpenStage that has not arrived by then will not arrive

namespace
{

/// A stream: its protocol state, which does no I/O, and what connects it to the entry and the engine.
struct SidecarStream {
    StageStream core;                         ///< protocol state: positions and results
    OpenStage open;                           ///< request that opened the newest attempt
    LinkPtr entry;                            ///< receives failures and tokens; null once it closed
    TimePoint orphanedAt{};                   ///< when the link to the entry closed
    std::uint64_t generation = 0;             ///< changes when the stream is opened anew or starts over; results of steps of other generations are ignored
    bool isAtEngine = false;                  ///< the engine holds state of the stream
    bool isSuspect = false;                   ///< the next step must have the engine to itself
    std::uint64_t acceleratorMicros = 0;      ///< accelerator time used by the stream at this stage
    std::uint32_t requestedFrom = UINT32_MAX; ///< position of the last ResumeFrom sent; UINT32_MAX if none since the attempt was opened or inputs were accepted
};

/// Frames that arrived before the OpenStage of their attempt: neighbouring stages may receive theirs earlier and start to send.
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

    void count(InputDecision decision)
    {
        switch (decision) {
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
    std::unordered_map<RequestId, SidecarStream> streams;
    std::unordered_map<RequestId, EarlyFrames> earlyFrames;
    std::uint64_t nextGeneration = 1;
    std::size_t totalKeptBytes = 0; ///< bytes of kept activations of all streams
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

    SidecarStream *find(const RequestId &request);
    EarlyFrames *earlyFramesFor(const RequestId &request);
    void erase(const RequestId &request);
    void reportFailure(const SidecarStream &stream, std::uint32_t stageIndex, FailureKind kind, std::string step, std::string peer, std::uint64_t crash = 0);
    static void refuse(const LinkPtr &link, const OpenStage &open, FailureKind kind, const char *step);

    void requestResume(SidecarStream &stream);
    void sendActivations(SidecarStream &stream);
    void sendTokens(SidecarStream &stream);
    void sendTokenToFirstStage(SidecarStream &stream, const TokenFrame &frame);
    void limitKeptResults();

    void advance(SidecarStream &stream);
    void finishStep(const RequestId &request, std::uint64_t generation, std::uint32_t position, const StepResult &result);
    bool recordTokens(SidecarStream &stream, const StepResult &result);

    void open(const LinkPtr &link, const OpenStage &open);
    void replayEarlyFrames(const RequestId &request);
    void handleActivationFrame(const ActivationFrame &frame);
    void handleTokenFrame(const TokenFrame &frame);
    void handleResume(const ResumeFrom &frame);
    void close(const CloseStream &frame);
    void handleQuery(const LinkPtr &link, const StageQuery &query);
};

SidecarStream *Stages::Private::find(const RequestId &request)
{
    const auto it = streams.find(request);
    return it == streams.end() ? nullptr : &it->second;
}

EarlyFrames *Stages::Private::earlyFramesFor(const RequestId &request)
{
    const bool isFull = earlyFrames.size() >= maxEarlyStreams && !earlyFrames.count(request);
    if (isFull) {
        return nullptr;
    }
    EarlyFrames &frames = earlyFrames[request];
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
    totalKeptBytes -= it->second.core.kept.size() * sizeof(std::uint64_t);
    if (it->second.isAtEngine) {
        engine.cancel({request});
    }
    streams.erase(it);
}

void Stages::Private::reportFailure(const SidecarStream &stream, std::uint32_t stageIndex, FailureKind kind, std::string step, std::string peer,
                                    std::uint64_t crash)
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

// [SECTION] Sending results

void Stages::Private::requestResume(SidecarStream &stream)
{
    const std::uint32_t from = received(stream.core);
    if (stream.core.isFirst || stream.requestedFrom == from) {
        return;
    }
    stream.requestedFrom = from;
    const std::uint32_t before = stream.core.stageIndex - 1;
    context.peers.link(addressOf(stream.open.stages[before]))->send(ResumeFrom{stream.core.request, stream.core.attempt, before, from});
}

void Stages::Private::sendActivations(SidecarStream &stream)
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

void Stages::Private::sendTokenToFirstStage(SidecarStream &stream, const TokenFrame &frame)
{
    if (stream.core.isFirst) {
        handleToken(stream.core, frame.attempt, frame.index, frame.token);
        return;
    }
    context.peers.link(addressOf(stream.open.stages.front()))->send(frame);
}

void Stages::Private::sendTokens(SidecarStream &stream)
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
            sendTokenToFirstStage(stream, frame);
        }
    }
}

/// Frees kept results, those of the largest stream first, until they fit into kept-activation-bytes. They only save time: if a
/// later stage must be replaced, its inputs are then recomputed by running this stage again.
void Stages::Private::limitKeptResults()
{
    const auto limit = static_cast<std::size_t>(context.settings.keptActivationBytes);
    while (totalKeptBytes > limit) {
        SidecarStream *largest = nullptr;
        for (auto &[request, stream] : streams) {
            if (!largest || stream.core.kept.size() > largest->core.kept.size()) {
                largest = &stream;
            }
        }
        const std::size_t freed = largest ? dropKeptResults(largest->core) : 0;
        if (freed == 0) {
            return;
        }
        totalKeptBytes -= freed;
    }
}

// [SECTION] Engine steps

void Stages::Private::advance(SidecarStream &stream)
{
    sendActivations(stream);
    sendTokens(stream);
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
    item.isExclusive = stream.isSuspect;
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

bool Stages::Private::recordTokens(SidecarStream &stream, const StepResult &result)
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
    SidecarStream *stream = find(request);
    if (!stream) {
        // The stream was closed while the step waited here or at the engine. The cancellation may have overtaken the step, which
        // then opened the stream again at the engine, where nothing else would cancel it.
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
        reportFailure(*stream, stream->core.stageIndex, kind, "engine step: " + result.error.substr(0, 100), context.targetAddress.toString(), result.crash);
        // It is unknown whether the engine applied the positions, so its state of the stream can't be reused.
        return erase(request);
    }
    stream->isSuspect = false;
    stream->acceleratorMicros += result.acceleratorMicros;
    const std::size_t keptBefore = stream->core.kept.size();
    endStep(stream->core, result.promptLength, result.positions, result.activations);
    positionsApplied += result.positions;
    totalKeptBytes += (stream->core.kept.size() - keptBefore) * sizeof(std::uint64_t);
    if (context.history.isEnabled()) {
        context.history.record("applied", {{"request", request.value},
                                           {"attempt", std::uint64_t{stream->core.attempt.value}},
                                           {"position", std::uint64_t{position}},
                                           {"positions", std::uint64_t{result.positions}},
                                           {"layerBegin", std::uint64_t{stream->core.layerBegin}},
                                           {"layerEnd", std::uint64_t{stream->core.layerEnd}},
                                           {"generation", generation}});
    }
    if (!recordTokens(*stream, result)) {
        logEvent(Event::TokenMismatch, {{"request", request.value}, {"target", context.settings.id}});
        reportFailure(*stream, stream->core.stageIndex, FailureKind::ResultMismatch, "compare token", context.targetAddress.toString());
        return erase(request);
    }
    advance(*stream);
    limitKeptResults();
}

// [SECTION] Frames

void Stages::Private::open(const LinkPtr &link, const OpenStage &open)
{
    if (open.stageIndex >= open.stages.size()) {
        return;
    }
    SidecarStream *known = find(open.request);
    const StageAddress &self = open.stages[open.stageIndex];
    const EngineState &engineState = engine.engineState();
    const bool isAddressedHere = self.target.value == context.settings.id && self.incarnation == context.incarnation;
    const bool holdsLayers = self.layerBegin == engineState.layerBegin && self.layerEnd == engineState.layerEnd && open.model == engineState.model
                             && open.version == engineState.version;
    if (!isAddressedHere || !holdsLayers) {
        return refuse(link, open, FailureKind::Refused, isAddressedHere ? "open stage: other layers are loaded" : "open stage: other incarnation");
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
        totalKeptBytes -= keptBefore * sizeof(std::uint64_t);
        known->generation = nextGeneration++;
        known->isAtEngine = false;
    }
    known->open = open;
    known->entry = link;
    known->isSuspect = open.isSuspect;
    known->requestedFrom = UINT32_MAX;
    if (open.attempt > Attempt{1}) {
        requestResume(*known);
    }
    replayEarlyFrames(open.request);
    if (SidecarStream *stream = find(open.request)) {
        advance(*stream);
    }
}

void Stages::Private::replayEarlyFrames(const RequestId &request)
{
    const auto it = earlyFrames.find(request);
    if (it == earlyFrames.end()) {
        return;
    }
    const EarlyFrames frames = std::move(it->second);
    earlyFrames.erase(it);
    for (const ResumeFrom &frame : frames.resumes) {
        handleResume(frame);
    }
    for (const ActivationFrame &frame : frames.activations) {
        handleActivationFrame(frame);
    }
    for (const TokenFrame &frame : frames.tokens) {
        handleTokenFrame(frame);
    }
}

void Stages::Private::handleActivationFrame(const ActivationFrame &frame)
{
    SidecarStream *stream = find(frame.request);
    const InputDecision decision = stream ? handleActivations(stream->core, frame) : InputDecision::NewerAttempt;
    if (decision == InputDecision::NewerAttempt) {
        if (EarlyFrames *frames = earlyFramesFor(frame.request)) {
            frames->activations.push_back(frame);
        }
        return;
    }
    drops.count(decision);
    if (decision == InputDecision::Gap) {
        requestResume(*stream);
    }
    if (decision == InputDecision::Accept) {
        stream->requestedFrom = UINT32_MAX;
        advance(*stream);
    }
}

void Stages::Private::handleTokenFrame(const TokenFrame &frame)
{
    SidecarStream *stream = find(frame.request);
    const InputDecision decision = stream ? handleToken(stream->core, frame.attempt, frame.index, frame.token) : InputDecision::NewerAttempt;
    if (decision == InputDecision::NewerAttempt) {
        if (EarlyFrames *frames = earlyFramesFor(frame.request)) {
            frames->tokens.push_back(frame);
        }
        return;
    }
    drops.count(decision);
    if (decision == InputDecision::Accept) {
        advance(*stream);
    }
}

void Stages::Private::handleResume(const ResumeFrom &frame)
{
    SidecarStream *stream = find(frame.request);
    if (!stream || frame.attempt > stream->core.attempt) {
        if (EarlyFrames *frames = earlyFramesFor(frame.request)) {
            frames->resumes.push_back(frame);
        }
        return;
    }
    if (frame.attempt < stream->core.attempt) {
        ++drops.oldAttempt;
        return;
    }
    if (!resumeFrom(stream->core, frame.position)) {
        // The results were dropped to save memory: they must be recomputed by running this stage again from its inputs.
        reportFailure(*stream, stream->core.stageIndex, FailureKind::InputGap, "resume", "");
        return erase(frame.request);
    }
    advance(*stream);
}

void Stages::Private::close(const CloseStream &frame)
{
    earlyFrames.erase(frame.request);
    const SidecarStream *stream = find(frame.request);
    if (stream && frame.attempt >= stream->core.attempt) {
        if (stream->entry) {
            stream->entry->send(StageUsage{frame.request, {context.settings.id}, stream->acceleratorMicros});
        }
        erase(frame.request);
    }
}

void Stages::Private::handleQuery(const LinkPtr &link, const StageQuery &query)
{
    StageReport response;
    response.request = query.request;
    response.askedAttempt = query.attempt;
    response.stageIndex = query.stageIndex;
    if (const SidecarStream *stream = find(query.request)) {
        response.attempt = stream->core.attempt;
        response.stageIndex = stream->core.stageIndex;
        response.received = received(stream->core);
        response.applied = stream->core.applied;
        response.sent = stream->core.sent;
        response.isEngineMoving = engine.isMakingProgress();
    }
    link->send(response);
}

// [SECTION] Stages

Stages::Stages(SidecarContext &context, EngineClient &engine)
    : d(std::make_unique<Private>(context, engine))
{
}

Stages::~Stages() = default;

bool Stages::handleFrame(const LinkPtr &link, const Frame &frame)
{
    switch (frame.message) {
    case OpenStage::messageId:
        return decodeAndHandle<OpenStage>(frame, [&](const OpenStage &message) {
            d->open(link, message);
        });
    case ActivationFrame::messageId:
        return decodeAndHandle<ActivationFrame>(frame, [&](const ActivationFrame &message) {
            d->handleActivationFrame(message);
        });
    case TokenFrame::messageId:
        return decodeAndHandle<TokenFrame>(frame, [&](const TokenFrame &message) {
            d->handleTokenFrame(message);
        });
    case ResumeFrom::messageId:
        return decodeAndHandle<ResumeFrom>(frame, [&](const ResumeFrom &message) {
            d->handleResume(message);
        });
    case CloseStream::messageId:
        return decodeAndHandle<CloseStream>(frame, [&](const CloseStream &message) {
            d->close(message);
        });
    case StageQuery::messageId:
        return decodeAndHandle<StageQuery>(frame, [&](const StageQuery &message) {
            d->handleQuery(link, message);
        });
    default:
        return false;
    }
}

// [SECTION] Peers

void Stages::onPeerDisconnected(const LinkPtr &link)
{
    for (auto &[request, stream] : d->streams) {
        if (stream.entry == link) {
            stream.entry = nullptr;
            stream.orphanedAt = d->context.clock.now();
        }
    }
}

void Stages::onNextStageDisconnected(const std::string &address, const Error &error)
{
    const auto sendsTo = [&](const SidecarStream &stream, std::uint32_t stage) {
        return stage < stream.open.stages.size() && addressOf(stream.open.stages[stage]).toString() == address;
    };
    for (auto &[request, stream] : d->streams) {
        const std::uint32_t next = stream.core.isLast ? 0 : stream.core.stageIndex + 1;
        if (sendsTo(stream, next)) {
            d->reportFailure(stream, next, FailureKind::NextStageLost, error.step, address);
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
    std::erase_if(d->earlyFrames, [&](const auto &item) {
        return now - item.second.since >= earlyFrameLifetime;
    });
}

std::size_t Stages::openCount() const
{
    return d->streams.size();
}

std::size_t Stages::keptBytes() const
{
    return d->totalKeptBytes;
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
