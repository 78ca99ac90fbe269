// Refuses requests that crash targets, and requests whose prompt has a part that crashes engines. Entries tell each other what they
// observe, so that all of them refuse the same requests.
//
// What entries observe travels as notices in datagrams beside the load exchange. What is known of a request that was open at two crashes
// is also kept in the platform's store, for entries that start while no other runs, or that no other reaches.
#pragma once

#include "http/client.h"
#include "relay/crash_detector.h"
#include "relay/crash_store.h"
#include "relay/forwarded_request.h"

#include <memory>
#include <vector>

namespace Parsleytrail
{

/// Records crashes and completions in RelayContext::crashingRequests and exchanges them with other entries.
class CrashGuard
{
public:
    struct Handlers {
        std::function<bool()> watchesStore; ///< whether this entry reads the store itself, not through another entry
        std::function<bool()> isAlone;      ///< whether no other entry is reachable
    };

    CrashGuard(RelayContext &context, HttpClient &client, const Address &store, Handlers handlers);
    ~CrashGuard();
    /// Begins to read what was stored. After the first start of the whole system there is nothing yet.
    void start();

    /// See CrashDetector::check().
    void checkForCrash(const TargetId &target, CrashDetector::Handler done);
    /// Records that a target crashed while the request was open there.
    void recordCrashedRun(const ForwardedRequest &request, const SentRequest &sent);
    /// Records that a target completed the request.
    void recordCompletedRun(const ForwardedRequest &request);
    /// Records that a target has been answering the request for a while, so that no part of its prompt crashes targets.
    void recordBegunRun(const ForwardedRequest &request);

    /// Notices for a message to another entry: the news, and from time to time some of the others in turn.
    std::vector<CrashNotice> noticesToSend();
    void applyNotices(const std::vector<CrashNotice> &notices);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
