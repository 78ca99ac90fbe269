// Index: [SECTION] State, [SECTION] Tables, [SECTION] Objects and membership, [SECTION] Platform
#include "stand-ins/platform.h"

#include "base/text.h"
#include "http/server.h"
#include "policy/budget.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace Parsleytrail::StandIn
{

using nlohmann::json;

// [SECTION] State

namespace
{

/// A row of a table.
struct StoredRow {
    std::uint64_t version = 0; ///< increases by one with each write
    std::string value;         ///< not interpreted
};
using Table = std::map<std::string, StoredRow>;

/// A response before it is sent.
struct Answer {
    int status = 200;           ///< HTTP status
    json body = json::object(); ///< JSON body
    std::string raw;            ///< sent instead of `body` if not empty
    bool isWrite = false;       ///< a write took effect
};

/// An instance in the membership list, whose changes become visible after PlatformFaults::membershipLag.
struct Member {
    json visible;          ///< state that readers of the list see; null if none
    json actual;           ///< latest state; null if deleted
    TimePoint changedAt{}; ///< when `actual` changed
};

std::string decodePath(const std::string &text)
{
    char *decoded = evhttp_uridecode(text.c_str(), 0, nullptr);
    const std::string result = decoded ? decoded : "";
    free(decoded);
    return result;
}

} // namespace

struct Platform::Private {
    EventLoop &loop;
    SystemClock clock;
    std::unique_ptr<HttpServer> server;
    PlatformFaults faults;
    std::map<std::string, Table> tables;
    std::map<std::string, std::string> objects;
    std::map<std::string, Member> members;
    TokenBucket weightBudget{10, 10, 0, {}}; ///< limits requests to /weights/ to 10 per second, with bursts of 10
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    std::set<std::unique_ptr<Timer>> timers;
    std::vector<ExchangePtr> unanswered; ///< calls kept open by PlatformFaults::isUnresponsive

    void handle(const ExchangePtr &exchange);
    Answer route(const HttpRequest &request);
    Answer handleTableRequest(const HttpRequest &request, std::string_view subpath);
    Answer handleRowRequest(const HttpRequest &request, Table &table, const std::string &key);
    Answer scan(const HttpRequest &request, const Table &table) const;
    Answer transaction(const json &body);
    Answer handleObjectRequest(const HttpRequest &request, const std::string &name);
    Answer handleMembershipRequest(const HttpRequest &request, const std::string &id);
    Answer setFaults(const json &body);
    void runAfter(milliseconds delay, std::function<void()> work);
};

// [SECTION] Tables

/// Whether the row has this version; 0 means that there is no row.
static bool hasVersion(const Table &table, const std::string &key, std::uint64_t version)
{
    const auto row = table.find(key);
    return (row == table.end() ? 0 : row->second.version) == version;
}

static std::uint64_t put(Table &table, const std::string &key, std::string value)
{
    StoredRow &row = table[key];
    row.value = std::move(value);
    return ++row.version;
}

Answer Platform::Private::handleRowRequest(const HttpRequest &request, Table &table, const std::string &key)
{
    if (request.method == "GET") {
        const auto row = table.find(key);
        if (row == table.end()) {
            return {404, {{"error", "no such row"}}};
        }
        return {200, {{"key", key}, {"version", row->second.version}, {"value", row->second.value}}};
    }
    if (request.method == "DELETE") {
        const std::string version = queryParameter(request.query, "if-version").value_or("0");
        if (!hasVersion(table, key, std::strtoull(version.c_str(), nullptr, 10))) {
            return {409, {{"error", "other version"}}};
        }
        table.erase(key);
        return {200, json::object(), "", true};
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return {400, {{"error", "malformed JSON"}}};
    }
    if (!hasVersion(table, key, body.value("if-version", std::uint64_t{0}))) {
        return {409, {{"error", "other version"}}};
    }
    return {200, {{"version", put(table, key, body.value("value", ""))}}, "", true};
}

Answer Platform::Private::scan(const HttpRequest &request, const Table &table) const
{
    const std::string from = queryParameter(request.query, "from").value_or("");
    const std::string to = queryParameter(request.query, "to").value_or("");
    const int limit = std::atoi(queryParameter(request.query, "limit").value_or("1000").c_str());
    json rows = json::array();
    for (auto row = table.lower_bound(from); row != table.end() && (to.empty() || row->first < to) && static_cast<int>(rows.size()) < limit; ++row) {
        rows.push_back({{"key", row->first}, {"version", row->second.version}, {"value", row->second.value}});
    }
    return {200, {{"rows", rows}}};
}

Answer Platform::Private::handleTableRequest(const HttpRequest &request, std::string_view subpath)
{
    const std::size_t slash = subpath.find('/');
    if (slash == std::string_view::npos) {
        return {404, {{"error", "no such path"}}};
    }
    Table &table = tables[std::string(subpath.substr(0, slash))];
    std::string_view tablePath = subpath.substr(slash);
    if (tablePath == "/rows") {
        return scan(request, table);
    }
    if (!consumePrefix(tablePath, "/rows/")) {
        return {404, {{"error", "no such path"}}};
    }
    return handleRowRequest(request, table, decodePath(std::string(tablePath)));
}

Answer Platform::Private::transaction(const json &body)
{
    if (!body.is_object() || !body.contains("writes")) {
        return {400, {{"error", "malformed JSON"}}};
    }
    for (const json &write : body["writes"]) {
        if (!hasVersion(tables[write.value("table", "")], write.value("key", ""), write.value("if-version", std::uint64_t{0}))) {
            return {409, {{"error", "other version"}, {"key", write.value("key", "")}}};
        }
    }
    for (const json &write : body["writes"]) {
        put(tables[write.value("table", "")], write.value("key", ""), write.value("value", ""));
    }
    return {200, json::object(), "", true};
}

// [SECTION] Objects and membership

Answer Platform::Private::handleObjectRequest(const HttpRequest &request, const std::string &name)
{
    const auto object = objects.find(name);
    if (request.method == "PUT") {
        const bool existed = object != objects.end();
        if (!existed) {
            objects[name] = request.body;
        }
        return {existed ? 200 : 201, json::object(), "", true};
    }
    if (object == objects.end()) {
        return {404, {{"error", "no such object"}}};
    }
    return {200, json::object(), object->second};
}

Answer Platform::Private::handleMembershipRequest(const HttpRequest &request, const std::string &id)
{
    const TimePoint now = clock.now();
    for (auto &[memberId, member] : members) {
        if (now - member.changedAt >= faults.membershipLag) {
            member.visible = member.actual;
        }
    }
    if (request.method == "PUT" || request.method == "DELETE") {
        Member &member = members[id];
        member.actual = request.method == "PUT" ? json::parse(request.body, nullptr, false) : json();
        if (member.actual.is_object()) {
            member.actual["id"] = id;
        }
        member.changedAt = now;
        return {200, json::object()};
    }
    json instances = json::array();
    for (const auto &[memberId, member] : members) {
        if (member.visible.is_object()) {
            instances.push_back(member.visible);
        }
    }
    return {200, {{"instances", instances}}};
}

Answer Platform::Private::setFaults(const json &body)
{
    if (!body.is_object()) {
        return {400, {{"error", "malformed JSON"}}};
    }
    faults.isDown = body.value("down", faults.isDown);
    faults.isUnresponsive = body.value("silent", faults.isUnresponsive);
    faults.responseDelay = milliseconds(body.value("slow-ms", faults.responseDelay.count()));
    faults.unansweredWrites = body.value("lose-answers", faults.unansweredWrites);
    faults.membershipLag = milliseconds(body.value("list-lag-ms", faults.membershipLag.count()));
    return {};
}

Answer Platform::Private::route(const HttpRequest &request)
{
    std::string_view path = request.path;
    if (consumePrefix(path, "/tables/")) {
        return handleTableRequest(request, path);
    }
    if (path == "/transactions" && request.method == "POST") {
        return transaction(json::parse(request.body, nullptr, false));
    }
    if (consumePrefix(path, "/objects/")) {
        return handleObjectRequest(request, decodePath(std::string(path)));
    }
    if (consumePrefix(path, "/membership")) {
        consumePrefix(path, "/");
        return handleMembershipRequest(request, decodePath(std::string(path)));
    }
    if (path.starts_with("/weights/")) {
        const bool isAllowed = tryConsume(weightBudget, clock.now());
        return {isAllowed ? 200 : 429, json::object()};
    }
    return {404, {{"error", "no such path"}}};
}

// [SECTION] Platform

void Platform::Private::runAfter(milliseconds delay, std::function<void()> work)
{
    auto timer = std::make_unique<Timer>(loop, std::move(work));
    timer->start(delay);
    timers.insert(std::move(timer));
}

void Platform::Private::handle(const ExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const auto send = [exchange](const Answer &answer) {
        const std::string body = answer.raw.empty() ? answer.body.dump() : answer.raw;
        exchange->reply(answer.status, {{"Content-Type", "application/json"}}, body);
    };
    if (request.path == "/faults") {
        return send(setFaults(json::parse(request.body, nullptr, false)));
    }
    if (request.path == "/counters") {
        return send({200, {{"reads", reads}, {"writes", writes}, {"refused", refused}}});
    }
    if (faults.isDown) {
        ++refused;
        return send({503, {{"error", "down"}}});
    }
    if (faults.isUnresponsive) {
        ++refused;
        unanswered.push_back(exchange);
        return;
    }
    ++(request.method == "GET" ? reads : writes);
    Answer answer;
    try {
        answer = route(request);
    } catch (const json::exception &error) {
        answer = {400, {{"error", error.what()}}};
    }
    if (answer.isWrite && faults.unansweredWrites > 0) {
        --faults.unansweredWrites;
        return exchange->abort();
    }
    if (faults.responseDelay.count() > 0) {
        return runAfter(faults.responseDelay, [send, answer] {
            send(answer);
        });
    }
    send(answer);
}

Platform::Platform(EventLoop &loop)
    : d(new Private{loop})
{
}

Platform::~Platform() = default;

Result<Address> Platform::listen(const Address &address)
{
    HttpLimits limits;
    limits.maxBodyBytes = 32u << 20;
    d->server = std::make_unique<HttpServer>(d->loop, limits, [this](const ExchangePtr &exchange) {
        d->handle(exchange);
    });
    return d->server->listen(address);
}

PlatformFaults &Platform::faults()
{
    return d->faults;
}

std::uint64_t Platform::reads() const
{
    return d->reads;
}

std::uint64_t Platform::writes() const
{
    return d->writes;
}

void Platform::writeRow(const std::string &table, const std::string &key, const std::string &value)
{
    put(d->tables[table], key, value);
}

void Platform::listInstance(const std::string &id, const std::string &role, const Address &address, bool isLeaving)
{
    json item = {{"id", id}, {"role", role}, {"host", address.host}, {"port", address.port}, {"state", isLeaving ? "leaving" : "live"}};
    Member &member = d->members[id];
    member.actual = item;
    member.changedAt = d->clock.now();
    if (d->faults.membershipLag.count() == 0) {
        member.visible = item;
    }
}

} // namespace Parsleytrail::StandIn
