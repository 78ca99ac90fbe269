#include "entry/targets.h"

#include "base/log.h"
#include "policy/progress.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace Parsleytrail
{

namespace
{

/// A target's view with data that only this table uses.
struct TargetRecord {
    TargetView view;
    TimePoint configurationPushedAt{}; ///< last push of configuration; zero before the first
    TimeEstimate receiveIntervals;     ///< intervals between messages received from it, in seconds
};

} // namespace

struct Targets::Private {
    EntryContext &context;
    std::map<TargetId, TargetRecord> targets;
    std::unordered_map<std::uint64_t, TargetId> targetOfKey; ///< by the target key in load reports
    std::function<void(const TargetId &)> lost;
    std::function<void()> usable;
    std::function<void(const LinkPtr &, ConfigurationVersion)> outdatedConfiguration;

    void recordReceived(TargetRecord &target);
    void handleNewIncarnation(TargetRecord &target, const Announcement &announcement);
    void pushConfigurationIfOutdated(TargetRecord &target, ConfigurationVersion inForce);
};

static Address addressOf(const Announcement &announcement)
{
    return {announcement.host, announcement.port};
}

Targets::Targets(EntryContext &context)
    : d(new Private{context})
{
}

Targets::~Targets() = default;

void Targets::onLost(std::function<void(const TargetId &)> handler)
{
    d->lost = std::move(handler);
}

void Targets::onUsable(std::function<void()> handler)
{
    d->usable = std::move(handler);
}

void Targets::onOutdatedConfiguration(std::function<void(const LinkPtr &, ConfigurationVersion)> handler)
{
    d->outdatedConfiguration = std::move(handler);
}

void Targets::Private::handleNewIncarnation(TargetRecord &target, const Announcement &announcement)
{
    const bool isRestart = target.view.last.incarnation != Incarnation{};
    targetOfKey.erase(targetKeyOf(announcement.target, target.view.last.incarnation));
    targetOfKey[targetKeyOf(announcement.target, announcement.incarnation)] = announcement.target;
    const std::uint32_t openCount = target.view.localOpenCount;
    target.view = TargetView{};
    target.view.localOpenCount = openCount;
    target.view.joinedAt = context.clock.now();
    logEvent(Event::TargetJoined, {{"target", announcement.target.value},
                                   {"address", addressOf(announcement).toString()},
                                   {"dataCenter", announcement.dataCenter},
                                   {"layers", std::to_string(announcement.layerBegin) + "-" + std::to_string(announcement.layerEnd)}});
    if (isRestart) {
        lost(announcement.target);
    }
}

void Targets::Private::pushConfigurationIfOutdated(TargetRecord &target, ConfigurationVersion inForce)
{
    const TimePoint now = context.clock.now();
    const bool isDue = target.configurationPushedAt == TimePoint{} || now - target.configurationPushedAt >= configurationPushInterval;
    if (target.view.last.configuration >= inForce || !isDue) {
        return;
    }
    target.configurationPushedAt = now;
    outdatedConfiguration(context.links.link(addressOf(target.view.last)), target.view.last.configuration);
}

void Targets::handleAnnouncement(const Announcement &announcement, ConfigurationVersion inForce)
{
    if (announcement.region != d->context.settings.region) {
        return;
    }
    TargetRecord &target = d->targets[announcement.target];
    const bool isOld = announcement.incarnation < target.view.last.incarnation
                       || (announcement.incarnation == target.view.last.incarnation && announcement.sequence <= target.view.last.sequence);
    if (isOld) {
        return; // UDP may reorder and duplicate datagrams
    }
    if (announcement.incarnation > target.view.last.incarnation) {
        d->handleNewIncarnation(target, announcement);
    }
    const TargetState before = target.view.last.state;
    const bool wasUsable = acceptsNewWork(target.view, d->context.clock.now());
    target.view.last = announcement;
    d->recordReceived(target);
    if (announcement.state == TargetState::Draining && before != TargetState::Draining) {
        logEvent(Event::TargetDraining, {{"target", announcement.target.value}});
    }
    if (announcement.state == TargetState::Joining && before == TargetState::Ready) {
        d->lost(announcement.target); // its engine no longer responds
    }
    d->context.links.link(addressOf(announcement));
    d->pushConfigurationIfOutdated(target, inForce);
    if (!wasUsable && acceptsNewWork(target.view, d->context.clock.now())) {
        d->usable();
    }
}

void Targets::Private::recordReceived(TargetRecord &target)
{
    const TimePoint now = context.clock.now();
    if (target.view.lastReceivedAt != TimePoint{}) {
        recordTime(target.receiveIntervals, std::chrono::duration<double>(now - target.view.lastReceivedAt).count());
    }
    target.view.lastReceivedAt = now;
    if (target.view.isTimedOut) {
        target.view.isTimedOut = false;
        logEvent(Event::TargetBack, {{"target", target.view.last.target.value}});
    }
}

bool Targets::handleLoadReport(const LoadReport &report)
{
    const auto key = d->targetOfKey.find(report.targetKey);
    const auto it = key == d->targetOfKey.end() ? d->targets.end() : d->targets.find(key->second);
    if (it == d->targets.end()) {
        return false;
    }
    if (report.sequence <= it->second.view.last.sequence) {
        return true;
    }
    TargetRecord &target = it->second;
    Announcement &last = target.view.last;
    last.sequence = report.sequence;
    last.streams = report.streams;
    last.queued = report.queued;
    last.stepMicros = report.stepMicros;
    last.kvUsed = report.kvUsed;
    const bool wasTimedOut = target.view.isTimedOut;
    d->recordReceived(target);
    d->context.links.link(addressOf(last));
    if (wasTimedOut) {
        d->usable();
    }
    return true;
}

void Targets::markLeaving(const std::vector<TargetId> &leaving)
{
    for (auto &[id, target] : d->targets) {
        target.view.isLeaving = std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    }
}

void Targets::handleLinkLost(const std::string &address)
{
    for (auto &[id, target] : d->targets) {
        if (addressOf(target.view.last).toString() == address) {
            // Otherwise new requests would be sent to a dead sidecar until silence-timeout has passed.
            target.view.isTimedOut = true;
        }
    }
}

void Targets::tick(milliseconds processPause)
{
    const TimePoint now = d->context.clock.now();
    for (auto &[id, target] : d->targets) {
        target.view.lastReceivedAt = creditProcessPause(target.view.lastReceivedAt, processPause, now);
        if (!target.view.isTimedOut && now - target.view.lastReceivedAt >= d->context.settings.silenceTimeout) {
            target.view.isTimedOut = true;
            logEvent(Event::TargetSilent, {{"target", id.value}});
            d->lost(id);
        }
    }
    std::erase_if(d->targets, [this, now](const auto &item) {
        const TargetView &view = item.second.view;
        const bool isExpired = now - view.lastReceivedAt >= removeTargetAfter && view.localOpenCount == 0;
        if (isExpired) {
            d->targetOfKey.erase(targetKeyOf(item.first, view.last.incarnation));
        }
        return isExpired;
    });
}

std::vector<const TargetView *> Targets::views() const
{
    std::vector<const TargetView *> views;
    views.reserve(d->targets.size());
    for (const auto &[id, target] : d->targets) {
        views.push_back(&target.view);
    }
    return views;
}

const TargetView *Targets::find(const TargetId &target) const
{
    const auto it = d->targets.find(target);
    return it == d->targets.end() ? nullptr : &it->second.view;
}

bool Targets::isOverdue(const TargetId &target) const
{
    const auto it = d->targets.find(target);
    if (it == d->targets.end()) {
        return true;
    }
    const EntrySettings &settings = d->context.settings;
    const milliseconds timeout =
        adaptiveTimeout(it->second.receiveIntervals, std::min(settings.progressTimeout, settings.silenceTimeout), settings.silenceTimeout);
    return d->context.clock.now() - it->second.view.lastReceivedAt >= timeout;
}

LinkPtr Targets::link(const TargetId &target)
{
    const TargetView *view = find(target);
    return view ? d->context.links.link(addressOf(view->last)) : nullptr;
}

void Targets::recordOpened(const TargetId &target)
{
    if (const auto it = d->targets.find(target); it != d->targets.end()) {
        ++it->second.view.localOpenCount;
    }
}

void Targets::recordClosed(const TargetId &target)
{
    const auto it = d->targets.find(target);
    if (it != d->targets.end() && it->second.view.localOpenCount > 0) {
        --it->second.view.localOpenCount;
    }
}

void Targets::recordSuccess(const TargetId &target)
{
    if (const auto it = d->targets.find(target); it != d->targets.end()) {
        recordTargetSuccess(it->second.view);
    }
}

void Targets::recordFailure(const TargetId &target)
{
    const auto it = d->targets.find(target);
    if (it == d->targets.end()) {
        return;
    }
    const TimePoint now = d->context.clock.now();
    std::size_t ejected = 0;
    std::size_t reachable = 0;
    for (const auto &[id, other] : d->targets) {
        ejected += now < other.view.ejectedUntil ? 1 : 0;
        reachable += other.view.isTimedOut ? 0 : 1;
    }
    const bool isAlreadyEjected = now < it->second.view.ejectedUntil;
    if (!isAlreadyEjected) {
        recordTargetFailure(it->second.view, now, ejected, reachable);
    }
}

} // namespace Parsleytrail
