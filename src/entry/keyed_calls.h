// Calls with an Idempotency-Key: one row of the table service for each key, so that a retried call gets the first response
// at any entry and does not run a second time.
//
// The row is inserted before the call is made. An insert whose response was lost is recognised by its write id. Without the
// store an entry can't tell whether a key was used: it then refuses keyed calls with the outcome `unknown`.
#pragma once

#include "entry/context.h"
#include "http/types.h"
#include "store/store.h"

namespace Parsleytrail
{

/// A caller's idempotency key and the call it stands for.
struct CallKey {
    WorkspaceName workspace;  ///< workspace of the caller
    ServiceName service;      ///< service that is called
    std::string key;          ///< value of Idempotency-Key
    std::string bodyDigest;   ///< digest of method, path and body; the key is refused for a call with another one
    milliseconds deadline{0}; ///< longest time the call may take
};

/// A response as it is stored for retries.
struct StoredResponse {
    int status = 0;      ///< HTTP status
    HttpHeaders headers; ///< as sent to the caller
    std::string body;    ///< complete body
};

/// What to do with a call, by the state of its key.
enum class KeyDecision {
    Run,             ///< the key is reserved for this call: make it, then call finish()
    Replay,          ///< the first call's response is stored: send it
    RequestMismatch, ///< the key was used for another call
    InProgress,      ///< the first call may still be running
    Unknown,         ///< the first call may have run; its response is lost or was too long to store
    Unavailable      ///< the state can't be read or written now, or too many keys are held
};

/// Outcome of a call with a key.
enum class KeyOutcome { Answered, NotRun, Unknown };

/// Reserves keys in the store and records the outcomes of their calls.
class KeyedCalls
{
public:
    KeyedCalls(EntryContext &context, Store &store);
    ~KeyedCalls();

    void begin(const CallKey &key, std::function<void(KeyDecision, const StoredResponse &)> done);
    /// Records the outcome of a call for which begin() decided Run. The write is retried until it succeeds.
    void finish(const CallKey &key, KeyOutcome outcome, StoredResponse answer);
    /// Retries the outcome writes that are due. Called every 50 ms.
    void flush();

    /// Number of outcomes not yet written.
    std::size_t unwritten() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

constexpr std::size_t maxStoredBodyBytes = 64 << 10; ///< longer responses are not stored: a retry gets `unknown` instead
constexpr std::size_t maxHeldKeys = 10000;           ///< running calls and unwritten outcomes; further keyed calls are refused

} // namespace Parsleytrail
