// Rows of the platform's tables, shared by the store client of store.h and the relay's platform adapters.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Parsleytrail
{

/// A row of a table.
struct Row {
    std::string key;           ///< unique within its table
    std::uint64_t version = 0; ///< increases with each write; 0: the row is absent
    std::string value;         ///< content, opaque to the store
    bool isDeleted = false;    ///< only in a watch: the row was removed
};

/// Range of a table: rows with keys in [from, to). An empty bound is open.
struct RowRange {
    std::string table; ///< table name
    std::string from;  ///< first key
    std::string to;    ///< exclusive upper bound
};

/// A page of rows from a consistent read, or of changes from a watch.
struct RowPage {
    std::vector<Row> rows;        ///< in key order, or in the order of changes
    std::uint64_t revision = 0;   ///< newest revision of the store, from which a watch continues
    std::int64_t storeTimeMs = 0; ///< the store's monotonic clock, milliseconds
    bool hasMore = false;         ///< further rows of the range follow the last one
};

/// One row of a transaction, as a condition or a write.
struct RowChange {
    std::string table;         ///< table name
    std::string key;           ///< key of the row
    std::string value;         ///< new value
    std::uint64_t version = 0; ///< required current version; 0: the row must be absent
};

/// Changes that are applied atomically.
struct RowTransaction {
    std::vector<RowChange> conditions; ///< required versions; values are ignored
    std::vector<RowChange> writes;     ///< new values; versions are ignored
};

} // namespace Parsleytrail
