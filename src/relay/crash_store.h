// The part of what is known of crashing requests that is kept in the platform's store.
//
// Each crash of a request has a row of its own, so that entries write without conflicts: writing the same row again changes nothing.
// The key is one of maxStoredNotices, by hash: the table stays bounded without removing rows, and an old row may be replaced.
#pragma once

#include "generated/messages.h"
#include "http/client.h"
#include "relay/context.h"

#include <functional>
#include <memory>
#include <vector>

namespace Parsleytrail
{

constexpr std::size_t maxStoredNotices = 256;

/// Reads and writes notices of crashes.
class CrashStore
{
public:
    struct Handlers {
        std::function<bool()> shouldWatch;                               ///< whether this entry watches the store itself
        std::function<void(const std::vector<CrashNotice> &)> onNotices; ///< called with stored notices, with their present age
    };

    CrashStore(RelayContext &context, HttpClient &client, const Address &store, Handlers handlers);
    ~CrashStore();
    /// Reads the table, unless the whole system has just started for the first time, and watches it while shouldWatch().
    void start();
    /// Stores notices; repeats a failed write.
    void write(const std::vector<CrashNotice> &notices);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
