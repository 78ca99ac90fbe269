// Refuses calls that crash applications. Entries exchange what they observe, so that all of them refuse the same calls.
#pragma once

#include "entry/context.h"
#include "policy/crashing_requests.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace Parsleytrail
{

/// What an entry knows of calls that were open at crashes of applications, and the notices that keep other entries up to date.
class CallGuard
{
public:
    explicit CallGuard(EntryContext &context);
    ~CallGuard();

    /// Called with each notice that must be sent to other entries.
    void onNotices(std::function<void(const CrashNotices &)> handler);

    /// Whether the call is to be refused.
    bool isRefused(std::uint64_t fingerprint) const;
    /// Records that an application crashed while the call was open there. `crash` is the same for all calls that were.
    void recordCrash(std::uint64_t fingerprint, std::uint64_t crash, const ServiceName &service);
    /// Records that an application completed the call.
    void recordCompletion(std::uint64_t fingerprint);
    /// Applies notices of another entry, and passes them on if they are news: not all entries are linked to each other.
    void handleNotices(const CrashNotices &message);
    /// All that is known, for an entry that has just started.
    std::vector<CrashNotices> notices() const;
    /// JSON list of calls that were open at crashes, for the status.
    nlohmann::json describe() const;
    /// Drops what has expired.
    void prune();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
