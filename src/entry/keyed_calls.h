// Calls with an Idempotency-Key: one row of the table service for each key, so that a call sent again, at whichever
// entry, gets the first answer and is not run a second time.
//
// The row is inserted before the call is made. An insert whose answer was lost is recognised by its write id. Without
// the store nobody can tell whether a key was used, so that keyed calls are then refused as not run.
#pragma once

#include "entry/context.h"
#include "http/types.h"
#include "store/store.h"

namespace Parsleytrail
{

/// A key of a caller.
struct CallKey {
    WorkspaceName workspace;  ///< of the caller
    ServiceName service;      ///< called
    std::string key;          ///< Idempotency-Key
    std::string bodyDigest;   ///< of method, path and body: the same key may not be used for another call
    milliseconds deadline{0}; ///< longest time the call may take
};

/// An answer as it is kept.
struct StoredResponse {
    int status = 0;      ///< HTTP status
    HttpHeaders headers; ///< as sent
    std::string body;    ///< whole
};

/// What is known of a key.
enum class KeyDecision {
    Run,             ///< the key is this call's: make the call, then finish()
    Replay,          ///< the first answer is known
    RequestMismatch, ///< the key was used for another call
    InProgress,      ///< the first call still runs
    Unknown,         ///< the first call may have run and its answer is lost
    Unavailable      ///< the store can't say
};

/// How a call with a key ended.
enum class KeyOutcome { Answered, NotRun, Unknown };

/// Keys of calls at this entry and in the store.
class KeyedCalls
{
public:
    KeyedCalls(EntryContext &context, Store &store);
    ~KeyedCalls();

    void begin(const CallKey &key, std::function<void(KeyDecision, const StoredResponse &)> done);
    /// Ends a call that begin() told to run. The end is written until the store has taken it.
    void finish(const CallKey &key, KeyOutcome outcome, StoredResponse answer);
    /// Writes ends that the store has not taken yet. Called now and then.
    void flush();

    /// Ends not yet written.
    std::size_t unwritten() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t maxStoredBodyBytes = 64 << 10; ///< longer answers are not kept: a call sent again is told that it ran
constexpr std::size_t maxHeldKeys = 10000;           ///< beyond it, keyed calls are refused until the store takes some

} // namespace Parsleytrail
