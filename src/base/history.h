// Event history of a process as JSON lines, from which tests and benchmarks check the guarantees of a run afterwards.
// Disabled unless a file or a sink is set.
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
    const char *name;                               ///< JSON key
    std::variant<std::string, std::uint64_t> value; ///< JSON value
};

/// Recorder of the events of one process.
class History
{
public:
    using Sink = std::function<void(const std::string &line)>;

    /// Every event carries `process` and `incarnation`.
    History(const Clock &clock, std::string process, std::uint64_t incarnation);
    ~History();

    /// Opens the file to append events to. Returns false if it can't be opened.
    bool openFile(const std::string &path);
    void setSink(Sink sink);
    /// Whether events are recorded. Hot paths check it before they build the fields.
    bool isEnabled() const;
    void record(const char *event, std::initializer_list<HistoryField> fields);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
