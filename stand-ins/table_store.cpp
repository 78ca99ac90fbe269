#include "stand-ins/table_store.h"

#include "base/text.h"
#include "http/server.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <list>
#include <map>

namespace Parsleytrail::StandIn
{

using Json = nlohmann::json;

/// A row; a deleted one stays, so that watches report the deletion.
struct StoredRow {
    std::string value;
    std::uint64_t version = 0;
    bool isDeleted = false;
};

/// A long-polling watch whose table has not changed yet.
struct OpenWatch {
    ExchangePtr exchange;
    std::string table;
    std::uint64_t after = 0; ///< reports rows with a later version
    std::unique_ptr<Timer> timeoutTimer;
};

struct TableStore::Private {
    explicit Private(EventLoop &eventLoop)
        : loop(eventLoop)
    {
    }

    EventLoop &loop;
    std::unique_ptr<HttpServer> server;
    std::map<std::string, std::map<std::string, StoredRow>> tables;
    std::list<OpenWatch> watches;
    std::vector<ExchangePtr> unanswered; ///< calls kept open because of a fault
    TableStoreFaults faults;
    std::uint64_t revision = 0; ///< revision of the last write to any table
    std::uint64_t calls = 0;

    void answer(const ExchangePtr &exchange, int status, Json body);
    void handle(const ExchangePtr &exchange);
    void read(const ExchangePtr &exchange);
    void watch(const ExchangePtr &exchange);
    void transact(const ExchangePtr &exchange);
    Json changes(const std::string &table, std::uint64_t after) const;
    void write(const std::string &table, const std::string &key, const std::string &value, bool isDeleted);
    void notifyWatches();
};

static Json rowJson(const std::string &table, const std::string &key, const StoredRow &row)
{
    Json json = {{"table", table}, {"part", ""}, {"key", key}, {"schemaVersion", row.version}};
    if (row.isDeleted) {
        json["deleted"] = true;
    } else {
        json["value"] = absl::Base64Escape(row.value);
    }
    return json;
}

void TableStore::Private::answer(const ExchangePtr &exchange, int status, Json body)
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    body["schemaVersion"] = revision;
    body["nowMs"] = std::chrono::duration_cast<milliseconds>(now).count();
    exchange->reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

/// Rows of the table with a version later than `after`, in the order of their versions.
Json TableStore::Private::changes(const std::string &table, std::uint64_t after) const
{
    std::map<std::uint64_t, Json> ordered;
    const auto it = tables.find(table);
    if (it != tables.end()) {
        for (const auto &[key, row] : it->second) {
            if (row.version > after) {
                ordered[row.version] = rowJson(table, key, row);
            }
        }
    }
    Json rows = Json::array();
    for (auto &[version, row] : ordered) {
        rows.push_back(std::move(row));
    }
    return rows;
}

void TableStore::Private::notifyWatches()
{
    watches.remove_if([this](const OpenWatch &watch) {
        Json rows = changes(watch.table, watch.after);
        const bool hasChanges = !rows.empty();
        if (hasChanges) {
            answer(watch.exchange, 200, {{"rows", std::move(rows)}});
        }
        return hasChanges;
    });
}

void TableStore::Private::write(const std::string &table, const std::string &key, const std::string &value, bool isDeleted)
{
    tables[table][key] = {value, ++revision, isDeleted};
}

void TableStore::Private::read(const ExchangePtr &exchange)
{
    const std::string &query = exchange->request().query;
    const std::string table = queryParameter(query, "table").value_or("");
    const std::string from = queryParameter(query, "from").value_or("");
    const std::string to = queryParameter(query, "to").value_or("");
    Json rows = Json::array();
    for (const auto &[key, row] : tables[table]) {
        if (!row.isDeleted && key >= from && (to.empty() || key < to)) {
            rows.push_back(rowJson(table, key, row));
        }
    }
    answer(exchange, 200, {{"rows", rows}, {"hasMore", false}});
}

void TableStore::Private::watch(const ExchangePtr &exchange)
{
    const std::string &query = exchange->request().query;
    const std::string table = queryParameter(query, "table").value_or("");
    std::uint64_t after = 0;
    std::int64_t waitMs = 0;
    parseNumber(queryParameter(query, "after").value_or("0"), after);
    parseNumber(queryParameter(query, "waitMs").value_or("0"), waitMs);
    if (faults.hasNoChangeHistory) {
        return answer(exchange, 410, Json::object());
    }
    Json rows = changes(table, after);
    if (!rows.empty()) {
        return answer(exchange, 200, {{"rows", std::move(rows)}});
    }
    auto timeoutTimer = std::make_unique<Timer>(loop, [this, exchange] {
        answer(exchange, 200, {{"rows", Json::array()}});
        watches.remove_if([&](const OpenWatch &watch) {
            return watch.exchange == exchange;
        });
    });
    timeoutTimer->start(milliseconds(waitMs));
    watches.push_back({exchange, table, after, std::move(timeoutTimer)});
}

void TableStore::Private::transact(const ExchangePtr &exchange)
{
    const Json body = Json::parse(exchange->request().body);
    for (const Json &condition : body.at("expectedRevision")) {
        const StoredRow &row = tables[condition.at("table")][condition.at("key")];
        const std::uint64_t version = row.isDeleted ? 0 : row.version;
        if (version != condition.at("schemaVersion").get<std::uint64_t>()) {
            return answer(exchange, 412, {{"rows", Json::array({rowJson(condition.at("table"), condition.at("key"), row)})}});
        }
    }
    for (const Json &put : body.at("puts")) {
        std::string value;
        absl::Base64Unescape(put.at("value").get<std::string>(), &value);
        write(put.at("table"), put.at("key"), value, false);
    }
    for (const Json &removal : body.value("remove", Json::array())) {
        write(removal.at("table"), removal.at("key"), {}, true);
    }
    if (faults.leavesWritesUnanswered) {
        unanswered.push_back(exchange);
    } else {
        answer(exchange, 200, Json::object());
    }
    notifyWatches();
}

void TableStore::Private::handle(const ExchangePtr &exchange)
{
    ++calls;
    if (faults.isUnresponsive) {
        unanswered.push_back(exchange);
        return;
    }
    if (faults.isDown) {
        return exchange->reply(503, {}, {});
    }
    const std::string &path = exchange->request().path;
    if (path == "/rows-get") {
        read(exchange);
    } else if (path == "/rows-feed") {
        watch(exchange);
    } else if (path == "/rows-tx") {
        transact(exchange);
    } else {
        exchange->reply(404, {}, {});
    }
}

TableStore::TableStore(EventLoop &loop)
    : d(std::make_unique<Private>(loop))
{
}

TableStore::~TableStore() = default;

Result<Address> TableStore::listen(const Address &address)
{
    d->server = std::make_unique<HttpServer>(d->loop, HttpLimits(), [this](const ExchangePtr &exchange) {
        d->handle(exchange);
    });
    return d->server->listen(address);
}

TableStoreFaults &TableStore::faults()
{
    return d->faults;
}

void TableStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    d->write(table, key, value, false);
    d->notifyWatches();
}

void TableStore::remove(const std::string &table, const std::string &key)
{
    d->write(table, key, {}, true);
    d->notifyWatches();
}

std::string TableStore::value(const std::string &table, const std::string &key) const
{
    const auto it = d->tables.find(table);
    const auto row = it == d->tables.end() ? decltype(it->second.find(key))() : it->second.find(key);
    return it == d->tables.end() || row == it->second.end() ? std::string() : row->second.value;
}

std::uint64_t TableStore::calls() const
{
    return d->calls;
}

} // namespace Parsleytrail::StandIn
