// Client of the platform: table service, object store and membership list.
//
// Nothing on the hot path waits for it. Each call ends in one of a few statuses; Unknown means that a write may or
// may not have taken effect (its answer was lost), and whoever wrote must find out by reading.
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

/// How a call to the platform ended.
enum class StoreStatus {
    Ok,
    NotFound,    ///< no such row or object
    Conflict,    ///< the condition of a write did not hold
    Unavailable, ///< not done: the store refused it, or it was never sent
    Unknown      ///< a write that may have taken effect
};
const char *toString(StoreStatus status);

/// One write of a transaction.
struct RowWrite {
    std::string table;           ///< table
    std::string key;             ///< row
    std::string value;           ///< new value
    std::uint64_t ifVersion = 0; ///< version that must be there; 0: the row must be absent
};

/// An instance on the platform's list. The list lags.
struct RegisteredInstance {
    std::string id;         ///< id of the instance
    std::string role;       ///< entry or sidecar
    Address address;        ///< peer port
    bool isLeaving = false; ///< marked as leaving
};

/// Rates and times of a process's use of the store.
struct StoreLimits {
    milliseconds timeout{1000}; ///< longest wait for an answer
    double readsPerSecond = 5;  ///< a process's share: 2,000 reads a second over 370 nodes
    double writesPerSecond = 1; ///< a process's share: several hundred writes a second over 370 nodes
    double burst = 20;          ///< reads or writes saved up while idle
};

/// One process's view of the platform, behind a circuit and a budget.
class Store
{
public:
    Store(EventLoop &loop, const Clock &clock, HttpClient &client, Address platform, StoreLimits limits);
    ~Store();

    void readRow(const std::string &table, const std::string &key, std::function<void(StoreStatus, const Row &)> done);
    /// Rows with keys in [from, to), at most `limit`.
    void scanRows(const std::string &table, const std::string &from, const std::string &to, int limit,
                  std::function<void(StoreStatus, const std::vector<Row> &)> done);
    /// Writes all or none.
    void transact(const std::vector<RowWrite> &writes, std::function<void(StoreStatus)> done);
    /// Puts an object if there is none of that name; Ok also if there is.
    void putObject(const std::string &name, const std::string &bytes, std::function<void(StoreStatus)> done);
    void readObject(const std::string &name, std::function<void(StoreStatus, const std::string &)> done);
    void readMembership(std::function<void(StoreStatus, const std::vector<RegisteredInstance> &)> done);

    /// Whether the circuit is open: calls fail at once with Unavailable.
    bool isDown() const;
    /// Time until the next probe while the circuit is open; for Retry-After.
    milliseconds retryAfter() const;
    std::uint64_t reads() const;
    std::uint64_t writes() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
