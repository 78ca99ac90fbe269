// Finds out whether a target crashed when it closed a connection before it had answered the request on it.
//
// A closed connection alone shows no crash: targets also reset single requests, and connections over their limit. A target that
// still runs accepts another connection at once; one that crashed takes seconds to start again.
#pragma once

#include "relay/context.h"

#include <functional>
#include <memory>

namespace Parsleytrail
{

/// How a target behaves after it closed a connection.
enum class TargetCondition {
    Running, ///< it accepted another connection
    Crashed, ///< it refused the connection: nothing listens at its address
    Unknown  ///< no answer in time, or it is not registered any more
};
const char *toString(TargetCondition condition);

/// Checks targets, each by one connection at a time however many requests failed there.
class CrashDetector
{
public:
    using Handler = std::function<void(TargetCondition)>;

    explicit CrashDetector(RelayContext &context);
    ~CrashDetector();

    /// Connects to the target and calls `done` with the result, within crashCheckTimeout. Never calls it before it returns.
    void check(const TargetId &id, Handler done);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Connecting within a region takes milliseconds. The request is not retried before the check has ended.
constexpr milliseconds crashCheckTimeout{100};

} // namespace Parsleytrail
