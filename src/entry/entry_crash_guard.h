// Refuses calls that crash applications, and completions with a message that crashes engines. Entries exchange what they observe, so
// that all of them refuse the same calls and completions.
#pragma once

#include "entry/context.h"
#include "policy/crashing_requests.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace Parsleytrail
{

/// What an entry knows of calls and messages that were open at crashes, and the notices that keep other entries up to date.
class EntryCrashGuard
{
public:
    explicit EntryCrashGuard(EntryContext &context);
    ~EntryCrashGuard();

    /// Called with each notice that must be sent to other entries.
    void onNotices(std::function<void(const CrashNotices &)> handler);

    /// Whether the call is to be refused.
    bool isRefused(std::uint64_t fingerprint) const;
    /// Whether a completion is to be refused for its messages, unless the fingerprint of the message is in `allowed`.
    bool isRefused(const RequestInputs &inputs, const std::vector<std::string> &allowed) const;
    /// Records that an application crashed while the call was open there. `crash` is the same for all calls that were.
    void recordCrash(std::uint64_t fingerprint, std::uint64_t crash, const ServiceName &service);
    /// The same of an engine and a completion, for the input itself and for its messages.
    void recordCrash(const RequestInputs &inputs, std::uint64_t crash, const ServiceName &service);
    /// Records that engines have run completions with these messages well.
    void recordSoundParts(const std::vector<std::uint64_t> &parts);
    /// Records that an application completed the call.
    void recordCompletion(std::uint64_t fingerprint);
    /// Applies notices of another entry, and passes them on if they are news: not all entries are linked to each other.
    void handleNotices(const CrashNotices &message);
    /// All that is known, for an entry that has just started.
    std::vector<CrashNotices> notices() const;
    /// JSON list of calls and messages that were open at crashes, for the status.
    nlohmann::json describe() const;
    /// Drops what has expired.
    void prune();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
