// The targets that this entry uses: what they announced, whether they are heard, and links to them.
#pragma once

#include "entry/context.h"
#include "policy/target.h"

#include <functional>

namespace Parsleytrail
{

/// Table of targets, fed by announcements and the platform's list.
class Targets
{
public:
    explicit Targets(EntryContext &context);
    ~Targets();

    /// Called when a target can no longer be relied on: silent, restarted, or its engine lost.
    void onLost(std::function<void(const TargetId &)> handler);
    /// Called when a target may have become usable.
    void onUsable(std::function<void()> handler);
    /// Called for a target that has an older configuration in force than this entry; at most once a second for each.
    void onOutdatedConfiguration(std::function<void(const LinkPtr &, ConfigurationVersion)> handler);

    void handleAnnouncement(const Announcement &announcement, ConfigurationVersion inForce);
    /// Takes the load of a target; false if it has not announced itself here.
    bool handleLoadReport(const LoadReport &report);
    /// Marks targets as leaving that the platform's list shows as leaving.
    void markLeaving(const std::vector<TargetId> &leaving);
    /// The link to an address broke: its target gets no new work until it announces itself again.
    void handleLinkLost(const std::string &address);
    /// Finds silent targets, forgets those long gone. Called every few tens of milliseconds; `stall` is the time for which
    /// this process stood still before, which is not counted as silence.
    void tick(milliseconds processPause);

    /// All targets, for the decisions. Valid until the next call that changes the table.
    std::vector<const TargetView *> views() const;
    const TargetView *find(const TargetId &target) const;
    /// Whether the target has not been heard for longer than is usual for it. Earlier than silent; at least progress-timeout.
    bool isOverdue(const TargetId &target) const;
    /// The link to a target; made if there is none.
    LinkPtr link(const TargetId &target);

    void recordOpened(const TargetId &target);
    void recordClosed(const TargetId &target);
    void recordSuccess(const TargetId &target);
    void recordFailure(const TargetId &target);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr milliseconds removeTargetAfter{60000};        ///< a target silent for this long is forgotten
constexpr milliseconds configurationPushInterval{1000}; ///< between pushes to one target

} // namespace Parsleytrail
