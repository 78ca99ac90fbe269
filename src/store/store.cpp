#include "store/store.h"

#include "base/log.h"
#include "policy/budget.h"
#include "policy/circuit_breaker.h"
#include "store/json_rows.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace Parsleytrail
{

using nlohmann::json;

const char *toString(StoreStatus status)
{
    switch (status) {
    case StoreStatus::Ok:
        return "ok";
    case StoreStatus::NotFound:
        return "not found";
    case StoreStatus::Conflict:
        return "conflict";
    case StoreStatus::Unavailable:
        return "unavailable";
    case StoreStatus::Unknown:
        return "unknown";
    }
    return "?";
}

enum class Access { Read, Write };

struct Store::Private {
    EventLoop &loop;
    const Clock &clock;
    HttpClient &client;
    Address platform;
    StoreLimits limits;
    CircuitBreaker circuit;
    TokenBucket readBudget;
    TokenBucket writeBudget;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< lets callbacks detect that this object was destroyed

    using Done = std::function<void(StoreStatus, const std::string &)>;
    void call(Access access, HttpClientRequest request, Done done);
    void rejectCall(const Done &done, const char *why);
    StoreStatus classifyResult(Access access, const HttpResult &result);
};

void Store::Private::rejectCall(const Done &done, const char *why)
{
    loop.defer([done, text = std::string(why)] {
        done(StoreStatus::Unavailable, text);
    });
}

StoreStatus Store::Private::classifyResult(Access access, const HttpResult &result)
{
    const bool hasFailed = result.failure || result.status >= 500;
    if (!hasFailed) {
        if (recordSuccess(circuit)) {
            logEvent(Event::StoreBack, {{"peer", platform.toString()}});
        }
        return result.status == 404   ? StoreStatus::NotFound
               : result.status == 409 ? StoreStatus::Conflict
               : result.status < 300  ? StoreStatus::Ok
                                      : StoreStatus::Unavailable;
    }
    if (recordFailure(circuit, clock.now())) {
        logEvent(Event::StoreUnreachable,
                 {{"peer", platform.toString()}, {"reason", result.failure ? result.failure->error.text : std::to_string(result.status)}});
    }
    const bool mayHaveRun = access == Access::Write && (!result.failure || result.failure->mayHaveBeenSent) && result.status != 503;
    return mayHaveRun ? StoreStatus::Unknown : StoreStatus::Unavailable;
}

void Store::Private::call(Access access, HttpClientRequest request, Done done)
{
    const TimePoint now = clock.now();
    if (!tryAcquireCall(circuit, now)) {
        return rejectCall(done, "circuit open");
    }
    if (!tryConsume(access == Access::Read ? readBudget : writeBudget, now)) {
        circuit.isProbing = false;
        return rejectCall(done, "over this process's share of the store");
    }
    ++(access == Access::Read ? reads : writes);
    request.timeout = limits.timeout;
    client.fetch(platform, std::move(request), [this, access, done, alive = std::weak_ptr(alive)](const HttpResult &result) {
        if (!alive.expired()) {
            done(classifyResult(access, result), result.body);
        }
    });
}

Store::Store(EventLoop &loop, const Clock &clock, HttpClient &client, Address platform, StoreLimits limits)
    : d(new Private{loop, clock, client, std::move(platform), limits, {}, {limits.readsPerSecond, limits.burst}, {limits.writesPerSecond, limits.burst}})
{
}

Store::~Store() = default;

/// Status of a read whose response has no decoded content. One that is not of the store's protocol counts as none.
static StoreStatus failedRead(StoreStatus status)
{
    return status == StoreStatus::Ok ? StoreStatus::Unavailable : status;
}

static Row toRow(const json &item)
{
    return {item.value("key", ""), integerOr(item, "version", std::uint64_t{0}), item.value("value", "")};
}

static RegisteredInstance toInstance(const json &item)
{
    RegisteredInstance instance;
    instance.id = item.at("id").get<std::string>();
    instance.role = item.value("role", "");
    instance.isLeaving = item.value("state", "") == "leaving";
    instance.address = {item.at("host").get<std::string>(), integerOr(item, "port", std::uint16_t{0})};
    in_addr parsed{};
    const bool isUsable = !instance.id.empty() && instance.address.port > 0 && inet_pton(AF_INET, instance.address.host.c_str(), &parsed) == 1;
    return isUsable ? instance : throw std::invalid_argument("no instance");
}

/// Percent-encodes all characters except the unreserved ones of RFC 3986.
static std::string percentEncode(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        const bool isUnreserved = std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == '~';
        if (isUnreserved) {
            escaped += c;
        } else {
            absl::StrAppend(&escaped, "%", absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
        }
    }
    return escaped;
}

void Store::readRow(const std::string &table, const std::string &key, std::function<void(StoreStatus, const Row &)> done)
{
    HttpClientRequest request;
    request.path = absl::StrCat("/tables/", table, "/rows/", percentEncode(key));
    d->call(Access::Read, std::move(request), [done = std::move(done)](StoreStatus status, const std::string &body) {
        Row row;
        const bool isDecoded = status == StoreStatus::Ok && decodeObject(body, [&row](const json &response) {
                                   row = toRow(response);
                               });
        done(isDecoded ? status : failedRead(status), row);
    });
}

void Store::scanRows(const std::string &table, const std::string &from, const std::string &to, int limit,
                     std::function<void(StoreStatus, const std::vector<Row> &)> done)
{
    HttpClientRequest request;
    request.path = absl::StrCat("/tables/", table, "/rows?from=", percentEncode(from), "&to=", percentEncode(to), "&limit=", limit);
    d->call(Access::Read, std::move(request), [done = std::move(done)](StoreStatus status, const std::string &body) {
        std::vector<Row> rows;
        const bool isDecoded = status == StoreStatus::Ok && decodeObject(body, [&rows](const json &response) {
                                   for (const json &item : arrayOr(response, "rows")) {
                                       rows.push_back(toRow(item));
                                   }
                               });
        if (!isDecoded) {
            rows.clear();
        }
        done(isDecoded ? status : failedRead(status), rows);
    });
}

void Store::transact(const std::vector<RowWrite> &writes, std::function<void(StoreStatus)> done)
{
    json items = json::array();
    for (const RowWrite &write : writes) {
        items.push_back({{"table", write.table}, {"key", write.key}, {"value", write.value}, {"if-version", write.ifVersion}});
    }
    HttpClientRequest request;
    request.method = "POST";
    request.path = "/transactions";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = json{{"writes", items}}.dump();
    d->call(Access::Write, std::move(request), [done = std::move(done)](StoreStatus status, const std::string &) {
        done(status);
    });
}

void Store::putObject(const std::string &name, const std::string &bytes, std::function<void(StoreStatus)> done)
{
    HttpClientRequest request;
    request.method = "PUT";
    request.path = absl::StrCat("/objects/", percentEncode(name));
    request.body = bytes;
    d->call(Access::Write, std::move(request), [done = std::move(done)](StoreStatus status, const std::string &) {
        done(status);
    });
}

void Store::readObject(const std::string &name, std::function<void(StoreStatus, const std::string &)> done)
{
    HttpClientRequest request;
    request.path = absl::StrCat("/objects/", percentEncode(name));
    d->call(Access::Read, std::move(request), std::move(done));
}

void Store::readMembership(std::function<void(StoreStatus, const std::vector<RegisteredInstance> &)> done)
{
    HttpClientRequest request;
    request.path = "/membership";
    d->call(Access::Read, std::move(request), [done = std::move(done)](StoreStatus status, const std::string &body) {
        std::vector<RegisteredInstance> instances;
        const bool isDecoded = status == StoreStatus::Ok && decodeObject(body, [&instances](const json &response) {
                                   for (const json &item : arrayOr(response, "instances")) {
                                       // Other writers add to the list too: an entry that names no instance hides no other.
                                       decodeItem(item, [&instances](const json &entry) {
                                           instances.push_back(toInstance(entry));
                                       });
                                   }
                               });
        done(isDecoded ? status : failedRead(status), instances);
    });
}

bool Store::isDown() const
{
    return isOpen(d->circuit);
}

milliseconds Store::retryAfter() const
{
    if (!isDown()) {
        return milliseconds(0);
    }
    const auto remaining = std::chrono::duration_cast<milliseconds>(d->circuit.probeAt - d->clock.now());
    return std::max(remaining, milliseconds(0));
}

std::uint64_t Store::reads() const
{
    return d->reads;
}

std::uint64_t Store::writes() const
{
    return d->writes;
}

} // namespace Parsleytrail
