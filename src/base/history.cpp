#include "base/history.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace Parsleytrail
{

struct History::Private {
    const Clock &clock;
    std::string process;
    std::uint64_t incarnation;
    std::ofstream file;
    Sink sink;
};

History::History(const Clock &clock, std::string process, std::uint64_t incarnation)
    : d(new Private{clock, std::move(process), incarnation, {}, {}})
{
}

History::~History() = default;

bool History::openFile(const std::string &path)
{
    d->file.open(path, std::ios::app);
    return d->file.is_open();
}

void History::setSink(Sink sink)
{
    d->sink = std::move(sink);
}

bool History::isEnabled() const
{
    return d->sink || d->file.is_open();
}

void History::record(const char *event, std::initializer_list<HistoryField> fields)
{
    if (!isEnabled()) {
        return;
    }
    const auto micros = std::chrono::duration_cast<microseconds>(d->clock.now().time_since_epoch()).count();
    nlohmann::json line = {{"at", micros}, {"process", d->process}, {"incarnation", d->incarnation}, {"event", event}};
    for (const HistoryField &field : fields) {
        std::visit(
            [&](const auto &value) {
                line[field.name] = value;
            },
            field.value);
    }
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (d->sink) {
        d->sink(text);
    }
    if (d->file.is_open()) {
        d->file << text << std::endl;
    }
}

} // namespace Parsleytrail
