// Index: [SECTION] Rows and objects, [SECTION] Taking, [SECTION] Polling, [SECTION] Applying, [SECTION] ConfigurationKeeper
#include "entry/configuration_keeper.h"

#include "base/digest.h"
#include "base/log.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace Parsleytrail
{

using nlohmann::json;

// [SECTION] Rows and objects

constexpr const char *configurationTable = "configuration";
constexpr const char *currentRow = "current";
constexpr const char *historyTable = "configuration-history";
constexpr const char *objectPrefix = "configuration-";
constexpr std::size_t maxChangesSinceSnapshot = 32; ///< a process that starts with no peers reads at most so many objects
constexpr int maxTransactTries = 4;                 ///< of one accepted file whose answers are lost

namespace
{

/// Value of the current row.
struct CurrentRow {
    ConfigurationVersion version;     ///< the row's own version
    std::string digest;               ///< of the configuration
    std::vector<std::string> objects; ///< digests of objects: a snapshot, then changes
    std::string writeId;              ///< of the write that made it
};

/// What is written to the row; its version comes from the store.
std::string encodeCurrent(const CurrentRow &row)
{
    return json{{"digest", row.digest}, {"objects", row.objects}, {"write", row.writeId}}.dump();
}

bool decodeCurrent(const Row &row, CurrentRow &current)
{
    const json value = json::parse(row.value, nullptr, false);
    if (!value.is_object()) {
        return false;
    }
    current.version.value = row.version;
    current.digest = value.value("digest", "");
    current.objects = value.value("objects", std::vector<std::string>());
    current.writeId = value.value("write", "");
    return true;
}

/// A difference as an object; an update from version 0 is a snapshot.
std::string encodeObject(const ConfigurationUpdate &update)
{
    json sections = json::object();
    for (const SectionText &section : update.sections) {
        sections[section.name] = section.text;
    }
    return json{{"sections", sections}, {"removed", update.removed}, {"digest", update.digest}}.dump();
}

bool decodeObject(const std::string &text, ConfigurationUpdate &update)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("sections")) {
        return false;
    }
    for (const auto &[name, section] : value["sections"].items()) {
        update.sections.push_back({name, section.get<std::string>()});
    }
    update.removed = value.value("removed", std::vector<std::string>());
    update.digest = value.value("digest", "");
    return true;
}

std::string historyKey(ConfigurationVersion version)
{
    // Newest first in a scan, which goes upwards.
    return absl::StrCat(absl::Dec(UINT64_MAX - version.value, absl::kZeroPad20));
}

std::string describe(const SectionDifference &difference)
{
    const char *sign = difference.change == SectionChange::Added ? "+" : difference.change == SectionChange::Removed ? "-" : "~";
    return sign + difference.name;
}

/// A file on its way to being accepted.
struct Application {
    Configuration wanted;                          ///< as parsed
    std::optional<ConfigurationVersion> ifMatch;   ///< version the operator named
    bool isDryRun = false;                         ///< changes nothing
    std::function<void(const ApplyResult &)> done; ///< called once
    ApplyResult result;                            ///< filled on the way
    CurrentRow next;                               ///< row to write
    std::string object;                            ///< object to write
    int triesLeft = maxTransactTries;              ///< of the transaction
};
using ApplicationPtr = std::shared_ptr<Application>;

/// Objects being read one after the other.
struct Loading {
    CurrentRow row;        ///< what they make up
    std::size_t next = 0;  ///< index of the next object
    Configuration partial; ///< so far; its version counts objects
};

} // namespace

struct ConfigurationKeeper::Private {
    EntryContext &context;
    Store &store;
    Configuration configuration;
    ConfigurationLog log;
    CurrentRow row; ///< last read or written; its objects make up its digest
    std::function<void()> changed;
    bool hasReadRow = false;          ///< since the start
    ConfigurationVersion peerVersion; ///< newest heard of from a peer in service
    bool hasPeer = false;
    bool isPolling = false;
    std::uint64_t bytesSent = 0; ///< of section texts
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void force(Configuration fresh);
    void takeRow(const CurrentRow &read);
    void loadNext(const std::shared_ptr<Loading> &loading);
    void endPoll();

    void finish(const ApplicationPtr &application, ApplyEnd end, ConfigurationVersion version);
    void prepare(const ApplicationPtr &application);
    void putObject(const ApplicationPtr &application);
    void transact(const ApplicationPtr &application);
    void resolve(const ApplicationPtr &application);
    void accept(const ApplicationPtr &application);
    std::string now() const;
};

std::string ConfigurationKeeper::Private::now() const
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromChrono(context.clock.wallTime()), absl::UTCTimeZone());
}

// [SECTION] Taking

void ConfigurationKeeper::Private::force(Configuration fresh)
{
    recordChange(log, configuration, fresh);
    configuration = std::move(fresh);
    logEvent(Event::ConfigurationInForce, {{"version", std::to_string(configuration.version.value)}, {"digest", configuration.digest}});
    if (context.history.isEnabled()) {
        context.history.record("configuration", {{"version", configuration.version.value}, {"digest", configuration.digest}});
    }
    changed();
}

// [SECTION] Polling

void ConfigurationKeeper::Private::endPoll()
{
    isPolling = false;
}

void ConfigurationKeeper::Private::takeRow(const CurrentRow &read)
{
    if (read.version > row.version) {
        row = read;
    }
    if (read.version <= configuration.version) {
        hasReadRow = true;
        return endPoll();
    }
    const auto loading = std::make_shared<Loading>();
    loading->row = read;
    loadNext(loading);
}

void ConfigurationKeeper::Private::loadNext(const std::shared_ptr<Loading> &loading)
{
    if (loading->next == loading->row.objects.size()) {
        endPoll();
        const bool isWhole = loading->partial.digest == loading->row.digest;
        if (!isWhole) {
            logEvent(Event::ConfigurationDamaged, {{"version", std::to_string(loading->row.version.value)}, {"from", "store"}});
            return;
        }
        hasReadRow = true;
        if (loading->row.version > configuration.version) {
            loading->partial.version = loading->row.version;
            force(std::move(loading->partial));
        }
        return;
    }
    const std::string digest = loading->row.objects[loading->next];
    store.readObject(objectPrefix + digest, [this, loading, digest, weak = std::weak_ptr(alive)](StoreStatus status, const std::string &text) {
        if (weak.expired()) {
            return;
        }
        ConfigurationUpdate update;
        const bool isRead = status == StoreStatus::Ok && sha256Hex(text) == digest && decodeObject(text, update);
        if (!isRead) {
            return endPoll(); // the next poll tries again
        }
        update.baseVersion = loading->partial.version;
        update.version.value = loading->next + 1;
        Configuration next;
        if (applyUpdate(loading->partial, update, next) != UpdateResult::Applied) {
            logEvent(Event::ConfigurationDamaged, {{"version", std::to_string(loading->row.version.value)}, {"from", "store"}});
            return endPoll();
        }
        loading->partial = std::move(next);
        ++loading->next;
        loadNext(loading);
    });
}

// [SECTION] Applying

void ConfigurationKeeper::Private::finish(const ApplicationPtr &application, ApplyEnd end, ConfigurationVersion version)
{
    application->result.end = end;
    application->result.version = version;
    application->done(application->result);
}

/// The row was read and is what is in force here: checks the operator's condition and makes the next row.
void ConfigurationKeeper::Private::prepare(const ApplicationPtr &application)
{
    application->result.differences = compareConfigurations(configuration, application->wanted);
    const bool isOther = application->ifMatch && *application->ifMatch != configuration.version;
    if (isOther) {
        return finish(application, ApplyEnd::Conflict, configuration.version);
    }
    if (application->result.differences.empty()) {
        return finish(application, ApplyEnd::Unchanged, configuration.version);
    }
    if (application->isDryRun) {
        return finish(application, ApplyEnd::DryRun, configuration.version);
    }
    application->wanted.version.value = configuration.version.value + 1;
    const bool isSnapshot = row.objects.empty() || row.objects.size() > maxChangesSinceSnapshot;
    ConfigurationLog step;
    recordChange(step, configuration, application->wanted);
    const ConfigurationVersion base = isSnapshot ? ConfigurationVersion{} : configuration.version;
    application->object = encodeObject(makeUpdate(application->wanted, step, base, SectionScope::All));
    application->next.version = application->wanted.version;
    application->next.digest = application->wanted.digest;
    application->next.writeId = randomHex();
    if (!isSnapshot) {
        application->next.objects = row.objects;
    }
    application->next.objects.push_back(sha256Hex(application->object));
    putObject(application);
}

void ConfigurationKeeper::Private::putObject(const ApplicationPtr &application)
{
    const std::string name = objectPrefix + application->next.objects.back();
    store.putObject(name, application->object, [this, application, weak = std::weak_ptr(alive)](StoreStatus status) {
        if (weak.expired()) {
            return;
        }
        if (status == StoreStatus::Ok) {
            return transact(application);
        }
        if (status == StoreStatus::Unknown && --application->triesLeft > 0) {
            return putObject(application); // the same name and content: it can't do harm twice
        }
        finish(application, ApplyEnd::Unavailable, configuration.version);
    });
}

void ConfigurationKeeper::Private::transact(const ApplicationPtr &application)
{
    json changes = json::array();
    for (const SectionDifference &difference : application->result.differences) {
        changes.push_back(describe(difference));
    }
    const json entry = {
        {"digest", application->next.digest}, {"entry", context.settings.id}, {"time", now()}, {"changes", changes}, {"write", application->next.writeId}};
    const std::uint64_t before = application->next.version.value - 1;
    const std::vector<RowWrite> writes = {{configurationTable, currentRow, encodeCurrent(application->next), before},
                                          {historyTable, historyKey(application->next.version), entry.dump(), 0}};
    store.transact(writes, [this, application, weak = std::weak_ptr(alive)](StoreStatus status) {
        if (weak.expired()) {
            return;
        }
        switch (status) {
        case StoreStatus::Ok:
            return accept(application);
        case StoreStatus::Conflict:
        case StoreStatus::Unknown:
            return resolve(application);
        case StoreStatus::NotFound:
        case StoreStatus::Unavailable: {
            // If an earlier try was lost it may have taken effect.
            const bool wasLost = application->triesLeft < maxTransactTries;
            return finish(application, wasLost ? ApplyEnd::Unknown : ApplyEnd::Unavailable, configuration.version);
        }
        }
    });
}

/// Whether the write took effect is not known, or another one came first. The history row of the wanted version tells:
/// it is written together with the current row, once, and stays.
void ConfigurationKeeper::Private::resolve(const ApplicationPtr &application)
{
    --application->triesLeft;
    store.readRow(historyTable, historyKey(application->next.version), [this, application, weak = std::weak_ptr(alive)](StoreStatus status, const Row &read) {
        if (weak.expired()) {
            return;
        }
        if (status == StoreStatus::Ok) {
            const json value = json::parse(read.value, nullptr, false);
            const bool isMine = value.is_object() && value.value("write", "") == application->next.writeId;
            return isMine ? accept(application) : finish(application, ApplyEnd::Conflict, application->next.version);
        }
        if (application->triesLeft <= 0) {
            return finish(application, ApplyEnd::Unknown, configuration.version);
        }
        if (status == StoreStatus::NotFound) {
            return transact(application); // the same write id and condition: it can take effect once only
        }
        resolve(application);
    });
}

void ConfigurationKeeper::Private::accept(const ApplicationPtr &application)
{
    if (application->next.version > row.version) {
        row = application->next;
    }
    // A peer may have pushed a newer one while the answers were lost.
    if (application->wanted.version > configuration.version) {
        force(application->wanted);
    }
    finish(application, ApplyEnd::Accepted, application->next.version);
}

// [SECTION] ConfigurationKeeper

ConfigurationKeeper::ConfigurationKeeper(EntryContext &context, Store &store)
    : d(new Private{context, store})
{
}

ConfigurationKeeper::~ConfigurationKeeper() = default;

const Configuration &ConfigurationKeeper::inForce() const
{
    return d->configuration;
}

void ConfigurationKeeper::onChanged(std::function<void()> handler)
{
    d->changed = std::move(handler);
}

void ConfigurationKeeper::apply(const std::string &text, std::optional<ConfigurationVersion> ifMatch, bool isDryRun,
                                std::function<void(const ApplyResult &)> done)
{
    const auto application = std::make_shared<Application>();
    application->ifMatch = ifMatch;
    application->isDryRun = isDryRun;
    application->done = std::move(done);
    application->wanted = parseConfiguration(text, application->result.problems);
    if (!application->result.problems.empty()) {
        logEvent(Event::ConfigurationRefused, {{"problems", std::to_string(application->result.problems.size())}});
        return d->finish(application, ApplyEnd::Invalid, d->configuration.version);
    }
    d->store.readRow(configurationTable, currentRow, [this, application, weak = std::weak_ptr(d->alive)](StoreStatus status, const Row &read) {
        if (weak.expired()) {
            return;
        }
        CurrentRow current;
        const bool isRead = status == StoreStatus::NotFound || (status == StoreStatus::Ok && decodeCurrent(read, current));
        if (!isRead) {
            return d->finish(application, ApplyEnd::Unavailable, d->configuration.version);
        }
        if (current.version > d->row.version) {
            d->row = current;
        }
        if (current.version != d->configuration.version) {
            // Another entry accepted one just now; this one catches up, and the operator, who has not seen it, asks again.
            poll();
            return d->finish(application, ApplyEnd::Conflict, current.version);
        }
        d->prepare(application);
    });
}

void ConfigurationKeeper::history(int limit, std::function<void(StoreStatus, const std::vector<HistoryEntry> &)> done)
{
    d->store.scanRows(historyTable, "", "", limit, [done = std::move(done)](StoreStatus status, const std::vector<Row> &rows) {
        std::vector<HistoryEntry> entries;
        for (const Row &row : rows) {
            const json value = json::parse(row.value, nullptr, false);
            if (value.is_object()) {
                const ConfigurationVersion version{UINT64_MAX - std::strtoull(row.key.c_str(), nullptr, 10)};
                entries.push_back({version, value.value("digest", ""), value.value("entry", ""), value.value("time", ""),
                                   value.value("changes", std::vector<std::string>())});
            }
        }
        done(status, entries);
    });
}

void ConfigurationKeeper::poll()
{
    if (d->isPolling) {
        return;
    }
    d->isPolling = true;
    d->store.readRow(configurationTable, currentRow, [this, weak = std::weak_ptr(d->alive)](StoreStatus status, const Row &read) {
        if (weak.expired()) {
            return;
        }
        CurrentRow current;
        if (status == StoreStatus::NotFound) {
            d->hasReadRow = true;
        }
        if (status != StoreStatus::Ok || !decodeCurrent(read, current)) {
            return d->endPoll();
        }
        d->takeRow(current);
    });
}

void ConfigurationKeeper::take(const LinkPtr &link, const ConfigurationUpdate &update)
{
    Configuration fresh;
    switch (applyUpdate(d->configuration, update, fresh)) {
    case UpdateResult::Applied:
        d->force(std::move(fresh));
        break;
    case UpdateResult::NotNewer:
        logEvent(Event::ConfigurationOlder, {{"version", std::to_string(update.version.value)}, {"from", link->peer().process}});
        break;
    case UpdateResult::BaseMismatch:
        link->send(ConfigurationWanted{d->configuration.version});
        break;
    case UpdateResult::Damaged:
        logEvent(Event::ConfigurationDamaged, {{"version", std::to_string(update.version.value)}, {"from", link->peer().process}});
        break;
    }
}

void ConfigurationKeeper::sendTo(const LinkPtr &link, ConfigurationVersion known, SectionScope scope)
{
    if (known >= d->configuration.version) {
        return;
    }
    const ConfigurationUpdate update = makeUpdate(d->configuration, d->log, known, scope);
    for (const SectionText &section : update.sections) {
        d->bytesSent += section.name.size() + section.text.size();
    }
    link->send(update);
}

std::uint64_t ConfigurationKeeper::bytesSent() const
{
    return d->bytesSent;
}

bool ConfigurationKeeper::isTrusted() const
{
    const bool hasPeersNewest = d->hasPeer && d->configuration.version >= d->peerVersion;
    return d->configuration.version.value > 0 && (d->hasReadRow || hasPeersNewest);
}

void ConfigurationKeeper::notePeer(ConfigurationVersion version)
{
    d->hasPeer = true;
    d->peerVersion = std::max(d->peerVersion, version);
}

} // namespace Parsleytrail
