// The targets that this entry uses: their announcements, whether they have timed out, and the links to them.
#pragma once

#include "entry/context.h"
#include "policy/target.h"

#include <functional>

namespace Parsleytrail
{

/// Table of targets, updated from announcements, load reports and the platform's membership list.
class Targets
{
public:
    explicit Targets(EntryContext &context);
    ~Targets();

    /// Called when a target's streams can't continue there: it timed out, restarted, or lost its engine.
    void onLost(std::function<void(const TargetId &)> handler);
    /// Called when a target may have become usable for new work.
    void onUsable(std::function<void()> handler);
    /// Called when a target announces an older configuration version than this entry's; at most once per
    /// configurationPushInterval for each target.
    void onOutdatedConfiguration(std::function<void(const LinkPtr &, ConfigurationVersion)> handler);

    void handleAnnouncement(const Announcement &announcement, ConfigurationVersion inForce);
    /// Updates the load of a target; false if this entry has no announcement of it.
    bool handleLoadReport(const LoadReport &report);
    /// Marks exactly these targets as leaving, as the platform's membership list shows them.
    void markLeaving(const std::vector<TargetId> &leaving);
    /// The link to an address was lost: its target gets no new work until its next announcement or load report.
    void handleLinkLost(const std::string &address);
    /// Marks targets that have timed out and removes those after removeTargetAfter. Called every 50 ms; `processPause` is the
    /// time for which this process was paused or its loop was blocked before the call, which doesn't count towards timeouts.
    void tick(milliseconds processPause);

    /// All targets. The pointers are valid until the next call that changes the table.
    std::vector<const TargetView *> views() const;
    const TargetView *find(const TargetId &target) const;
    /// Whether nothing has been received from the target for longer than its usual intervals allow: after progress-timeout at the
    /// earliest, after silence-timeout at the latest. True for an unknown target.
    bool isOverdue(const TargetId &target) const;
    /// The link to a target, opened if there is none; null for an unknown target.
    LinkPtr link(const TargetId &target);

    void recordOpened(const TargetId &target);
    void recordClosed(const TargetId &target);
    void recordSuccess(const TargetId &target);
    void recordFailure(const TargetId &target);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr milliseconds removeTargetAfter{60000};        ///< a target is removed after this long without a message, unless this entry has work open there
constexpr milliseconds configurationPushInterval{1000}; ///< between pushes of configuration to one target

} // namespace Parsleytrail
