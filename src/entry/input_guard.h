// Refuses inputs that crash engines. Entries exchange what they record, so that all of them refuse the same inputs.
#pragma once

#include "entry/context.h"
#include "policy/quarantine.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace Parsleytrail
{

/// The suspect and quarantined inputs that an entry holds, and the notices that keep other entries up to date.
class InputGuard
{
public:
    explicit InputGuard(EntryContext &context);
    ~InputGuard();

    /// Called with each notice that must be sent to other entries.
    void onNotice(std::function<void(const SuspicionNotice &)> handler);

    /// Classifies an input. A quarantined input whose fingerprint is in `allowed`, the service's allow-inputs, is only suspect.
    InputStatus classify(std::uint64_t fingerprint, const std::vector<std::string> &allowed) const;
    /// Records that an engine crashed with the input in flight. `crash` identifies the crash: it is the same for all inputs that were
    /// in flight there.
    void recordEngineCrash(std::uint64_t fingerprint, std::uint64_t crash, const ServiceName &service, const WorkspaceName &workspace,
                           const RequestId &request);
    /// Clears a suspect input that has run past the point at which it became suspect.
    void clearInput(std::uint64_t fingerprint);
    /// Applies a notice from another entry, and forwards it if it changed anything here.
    void handleNotice(const SuspicionNotice &notice);
    /// Notices for all suspect and quarantined inputs, for an entry that has just started.
    std::vector<SuspicionNotice> notices() const;
    /// Drops inputs whose lifetime since their last crash has expired.
    void prune();

    /// JSON list of suspect and quarantined inputs, for the status.
    nlohmann::json describe() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
