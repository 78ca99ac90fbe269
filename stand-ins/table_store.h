// Stand-in for the table store of the users' platform: tables of versioned rows, transactions and watches.
//
// HTTP interface (JSON): GET /rows-get, GET /rows-feed, POST /rows-tx, as their protocol page describes them.
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Parsleytrail::StandIn
{

/// Faults that can be set.
struct TableStoreFaults {
    bool isDown = false;                 ///< every call gets 503
    bool isUnresponsive = false;         ///< calls are taken and never answered
    bool leavesWritesUnanswered = false; ///< writes are done and not answered
    bool hasNoChangeHistory = false;     ///< watches get 410
};

/// The store on the loop of its process.
class TableStore
{
public:
    explicit TableStore(EventLoop &loop);
    ~TableStore();

    Result<Address> listen(const Address &address);
    TableStoreFaults &faults();
    /// Writes a row, as the operator or a target does.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// Value of a row; empty if there is none.
    std::string value(const std::string &table, const std::string &key) const;
    std::uint64_t calls() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
