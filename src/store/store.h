// Client of the platform's table service, object store and membership list.
//
// The hot path never waits for it. Each call ends with a StoreStatus; Unknown means that a write may or may not have taken
// effect because its response was lost, and the caller must read to find out.
#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "http/client.h"
#include "store/rows.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail
{

/// Result of a call to the platform.
enum class StoreStatus {
    Ok,
    NotFound,    ///< no such row or object
    Conflict,    ///< a condition of a write was not met
    Unavailable, ///< not executed: the store rejected it, or it was never sent; also a read that failed
    Unknown      ///< a write that may have taken effect
};
const char *toString(StoreStatus status);

/// One write of a transaction.
struct RowWrite {
    std::string table;           ///< table name
    std::string key;             ///< key of the row
    std::string value;           ///< new value
    std::uint64_t ifVersion = 0; ///< required current version; 0: the row must be absent
};

/// An instance in the platform's membership list. The list lags behind the actual state.
struct RegisteredInstance {
    std::string id;         ///< id of the entry or target
    std::string role;       ///< entry or sidecar
    Address address;        ///< host and peer port
    bool isLeaving = false; ///< marked as leaving in the list
};

/// Rate limits and timeout of a process's calls to the store.
struct StoreLimits {
    milliseconds timeout{1000}; ///< longest wait for a response
    double readsPerSecond = 5;  ///< share of one process: 2,000 reads a second over 370 nodes
    double writesPerSecond = 1; ///< share of one process: several hundred writes a second over 370 nodes
    double burst = 20;          ///< reads, and writes, that may accumulate while idle
};

/// Client of the platform for one process, with a circuit breaker and rate limits.
class Store
{
public:
    Store(EventLoop &loop, const Clock &clock, HttpClient &client, Address platform, StoreLimits limits);
    ~Store();

    void readRow(const std::string &table, const std::string &key, std::function<void(StoreStatus, const Row &)> done);
    /// Reads at most `limit` rows with keys in [from, to).
    void scanRows(const std::string &table, const std::string &from, const std::string &to, int limit,
                  std::function<void(StoreStatus, const std::vector<Row> &)> done);
    /// Applies all writes atomically.
    void transact(const std::vector<RowWrite> &writes, std::function<void(StoreStatus)> done);
    /// Stores an object unless one of that name exists; the status is Ok in both cases.
    void putObject(const std::string &name, const std::string &bytes, std::function<void(StoreStatus)> done);
    void readObject(const std::string &name, std::function<void(StoreStatus, const std::string &)> done);
    void readMembership(std::function<void(StoreStatus, const std::vector<RegisteredInstance> &)> done);

    /// Whether the circuit is open: calls fail immediately with Unavailable, except for a probe after each pause.
    bool isDown() const;
    /// Time until the next probe, for Retry-After; 0 while the circuit is closed.
    milliseconds retryAfter() const;
    std::uint64_t reads() const;
    std::uint64_t writes() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
