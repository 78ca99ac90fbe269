// Stand-in for the table store of the users' platform: tables of versioned rows, transactions and watches.
//
// HTTP interface (JSON):
//   GET  /rows-get?table=&from=&to=        rows of a key range
//   GET  /rows-feed?table=&after=&waitMs=  long poll for rows changed after a revision; 410 if the store no longer
//                                          has the changes since then
//   POST /rows-tx {"expectedRevision":[...],"puts":[...],"remove"?:[...]}
//                                        all changes or none; 412 if a row has another version
#pragma once

#include "base/address.h"
#include "wire/event_loop.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Parsleytrail::StandIn
{

/// Faults that can be injected.
struct TableStoreFaults {
    bool isDown = false;                 ///< every call is answered with 503
    bool isUnresponsive = false;         ///< calls are accepted but never answered
    bool leavesWritesUnanswered = false; ///< transactions take effect but get no response
    bool hasNoChangeHistory = false;     ///< watches are answered with 410, as if the changes were no longer stored
};

/// The store's HTTP server; runs on the caller's event loop.
class TableStore
{
public:
    explicit TableStore(EventLoop &loop);
    ~TableStore();

    /// Listens on the address; port 0 picks a free one. Returns the bound address.
    Result<Address> listen(const Address &address);
    TableStoreFaults &faults();
    /// Writes or removes a row directly and notifies the watches, as a transaction of an operator or a target does.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// Value of a row; empty if there is none.
    std::string value(const std::string &table, const std::string &key) const;
    /// HTTP requests received, whatever their result.
    std::uint64_t calls() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
