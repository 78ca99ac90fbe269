// Keeps inputs that kill engines away from them, together with the other entries.
#pragma once

#include "entry/context.h"
#include "policy/quarantine.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace Parsleytrail
{

/// What an entry knows of suspect inputs, and how it tells others.
class InputGuard
{
public:
    explicit InputGuard(EntryContext &context);
    ~InputGuard();

    /// Called with notices that other entries must have.
    void onNotice(std::function<void(const SuspicionNotice &)> handler);

    /// What is known of an input, unless the service's section allows it.
    InputStatus classify(std::uint64_t fingerprint, const std::vector<std::string> &allowed) const;
    /// An engine died with the input in flight. `crash` is the same for all that were in flight there.
    void recordEngineCrash(std::uint64_t fingerprint, std::uint64_t crash, const ServiceName &service, const WorkspaceName &workspace,
                           const RequestId &request);
    /// The input has run past the point at which it was suspected.
    void clearInput(std::uint64_t fingerprint);
    /// Another entry told; tells it on if it was news.
    void handleNotice(const SuspicionNotice &notice);
    /// Everything known, for an entry that has just come up.
    std::vector<SuspicionNotice> notices() const;
    void prune();

    /// Suspect and convicted inputs, for the status.
    nlohmann::json describe() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Fingerprint of an input: 16 hexadecimal digits.
std::string fingerprintText(std::uint64_t fingerprint);

} // namespace Parsleytrail
