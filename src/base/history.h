// History of what a process did, as JSON lines, for checking the promises of a run afterwards. Off unless a file or a
// sink is set; used by tests and the bench.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <variant>

namespace Parsleytrail
{

/// One field of a history event.
struct HistoryField {
    const char *name;                               ///< key
    std::variant<std::string, std::uint64_t> value; ///< value
};

/// Where a process records its events.
class History
{
public:
    using Sink = std::function<void(const std::string &line)>;

    /// `process` and its start stand in every event.
    History(const Clock &clock, std::string process, std::uint64_t incarnation);
    ~History();

    /// Appends to a file. Returns false if it can't be opened.
    bool openFile(const std::string &path);
    void setSink(Sink sink);
    /// Whether events are kept; callers on hot paths ask first.
    bool isEnabled() const;
    void record(const char *event, std::initializer_list<HistoryField> fields);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
