// Rows of the platform's tables, as the two back ends of the store share them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Parsleytrail
{

/// A row of a table.
struct Row {
    std::string key;           ///< unique in its table
    std::uint64_t version = 0; ///< grows with each write; 0: absent
    std::string value;         ///< opaque
    bool isDeleted = false;    ///< in a watch: the row was removed
};

/// Rows of a table with keys in [from, to); empty bounds are open.
struct RowRange {
    std::string table; ///< table
    std::string from;  ///< first key
    std::string to;    ///< key after the last
};

/// Rows as of one moment, or changes in order.
struct RowPage {
    std::vector<Row> rows;        ///< in key order, or in the order of the changes
    std::uint64_t revision = 0;   ///< newest revision of the store; a watch goes on from here
    std::int64_t storeTimeMs = 0; ///< the store's monotonic clock
    bool hasMore = false;         ///< the range goes on after the last row
};

/// One row of a transaction: what must be there, or what is written.
struct RowChange {
    std::string table;         ///< table
    std::string key;           ///< row
    std::string value;         ///< new value
    std::uint64_t version = 0; ///< version that must be there; 0: the row must be absent
};

/// Changes applied all or none.
struct RowTransaction {
    std::vector<RowChange> conditions; ///< versions that must be there; values are not looked at
    std::vector<RowChange> writes;     ///< new values; versions are not looked at
};

} // namespace Parsleytrail
