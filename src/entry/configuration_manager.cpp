// Index: [SECTION] Rows and objects, [SECTION] In force, [SECTION] Polling, [SECTION] Applying, [SECTION] ConfigurationManager
#include "entry/configuration_manager.h"

#include "base/digest.h"
#include "base/log.h"
#include "base/text.h"
#include "store/json_rows.h"

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
constexpr std::size_t maxChangesSinceSnapshot = 32; ///< limits the objects that a process reads when it starts without peers
constexpr int maxTransactAttempts = 4;              ///< attempts to write one file's object and rows, if responses of the store are lost

namespace
{

/// Contents of the row that names the current configuration.
struct CurrentRow {
    ConfigurationVersion version;     ///< the row's version in the store
    std::string digest;               ///< digest of the configuration
    std::vector<std::string> objects; ///< digests of objects: a snapshot, then changes
    std::string writeId;              ///< identifies the write that produced this row
};

/// Encodes the value of the row; the version is the store's own.
std::string encodeCurrent(const CurrentRow &row)
{
    return json{{"digest", row.digest}, {"objects", row.objects}, {"write", row.writeId}}.dump();
}

bool decodeCurrent(const Row &row, CurrentRow &current)
{
    return decodeObject(row.value, [&](const json &value) {
        current.version.value = row.version;
        current.digest = value.value("digest", "");
        current.objects = value.value("objects", std::vector<std::string>());
        current.writeId = value.value("write", "");
        // A row that names nothing would otherwise read as a configuration without workspaces, and put that in force.
        if (current.digest.empty() || current.objects.empty()) {
            throw std::invalid_argument("no configuration");
        }
    });
}

/// Encodes a change as an object; an update from version 0 is a snapshot.
std::string encodeChange(const ConfigurationUpdate &update)
{
    json sections = json::object();
    for (const SectionText &section : update.sections) {
        sections[section.name] = section.text;
    }
    return json{{"sections", sections}, {"removed", update.removed}, {"digest", update.digest}}.dump();
}

bool decodeChange(const std::string &text, ConfigurationUpdate &update)
{
    return decodeObject(text, [&update](const json &value) {
        for (const auto &[name, section] : value.at("sections").items()) {
            update.sections.push_back({name, section.get<std::string>()});
        }
        update.removed = value.value("removed", std::vector<std::string>());
        update.digest = value.value("digest", "");
    });
}

std::string historyKey(ConfigurationVersion version)
{
    // Scans go in ascending order; the inverted version puts the newest first.
    return absl::StrCat(absl::Dec(UINT64_MAX - version.value, absl::kZeroPad20));
}

std::string describe(const SectionDifference &difference)
{
    const char *sign = difference.change == SectionChange::Added ? "+" : difference.change == SectionChange::Removed ? "-" : "~";
    return sign + difference.name;
}

/// An operator's file that is being applied.
struct PendingApply {
    Configuration wanted;                          ///< parsed from the file
    std::optional<ConfigurationVersion> ifMatch;   ///< version that the operator expects to be in force
    bool isDryRun = false;                         ///< only check, don't write
    std::function<void(const ApplyResult &)> done; ///< called once
    ApplyResult result;                            ///< completed step by step
    CurrentRow next;                               ///< row to write
    std::string object;                            ///< object to write
    int attemptsLeft = maxTransactAttempts;        ///< for putting the object and for the transaction
};
using PendingApplyPtr = std::shared_ptr<PendingApply>;

/// State of reading the objects of a row, one after another.
struct LoadProgress {
    CurrentRow row;        ///< row that names the objects
    std::size_t next = 0;  ///< index of the next object
    Configuration partial; ///< result of the objects read so far; its version is their number
};

} // namespace

struct ConfigurationManager::Private {
    EntryContext &context;
    Store &store;
    Configuration configuration;
    ConfigurationLog log;
    CurrentRow row; ///< newest row read or written; its objects make up the configuration of its digest
    std::function<void()> changed;
    bool hasReadCurrentRow = false;   ///< since this process started
    ConfigurationVersion peerVersion; ///< newest version announced by a ready peer
    bool hasReadyPeer = false;
    bool isPolling = false;
    std::uint64_t bytesSent = 0; ///< bytes of section texts sent to peers and sidecars
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void activate(Configuration fresh);
    void handleRow(const CurrentRow &read);
    void loadNext(const std::shared_ptr<LoadProgress> &loading);
    void endPoll();

    void finish(const PendingApplyPtr &pending, ApplyOutcome outcome, ConfigurationVersion version);
    void prepare(const PendingApplyPtr &pending);
    void putObject(const PendingApplyPtr &pending);
    void transact(const PendingApplyPtr &pending);
    void resolve(const PendingApplyPtr &pending);
    void accept(const PendingApplyPtr &pending);
    std::string now() const;
};

std::string ConfigurationManager::Private::now() const
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromChrono(context.clock.wallTime()), absl::UTCTimeZone());
}

// [SECTION] In force

void ConfigurationManager::Private::activate(Configuration fresh)
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

void ConfigurationManager::Private::endPoll()
{
    isPolling = false;
}

void ConfigurationManager::Private::handleRow(const CurrentRow &read)
{
    if (read.version > row.version) {
        row = read;
    }
    if (read.version <= configuration.version) {
        hasReadCurrentRow = true;
        return endPoll();
    }
    const auto loading = std::make_shared<LoadProgress>();
    loading->row = read;
    loadNext(loading);
}

void ConfigurationManager::Private::loadNext(const std::shared_ptr<LoadProgress> &loading)
{
    if (loading->next == loading->row.objects.size()) {
        endPoll();
        const bool isComplete = loading->partial.digest == loading->row.digest;
        if (!isComplete) {
            logEvent(Event::ConfigurationDamaged, {{"version", std::to_string(loading->row.version.value)}, {"from", "store"}});
            return;
        }
        hasReadCurrentRow = true;
        if (loading->row.version > configuration.version) {
            loading->partial.version = loading->row.version;
            activate(std::move(loading->partial));
        }
        return;
    }
    const std::string digest = loading->row.objects[loading->next];
    store.readObject(objectPrefix + digest, [this, loading, digest, weak = std::weak_ptr(alive)](StoreStatus status, const std::string &text) {
        if (weak.expired()) {
            return;
        }
        ConfigurationUpdate update;
        const bool isRead = status == StoreStatus::Ok && sha256Hex(text) == digest && decodeChange(text, update);
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

void ConfigurationManager::Private::finish(const PendingApplyPtr &pending, ApplyOutcome outcome, ConfigurationVersion version)
{
    pending->result.outcome = outcome;
    pending->result.version = version;
    pending->done(pending->result);
}

/// Checks the operator's condition and prepares the next row. The row in the store is the version in force here.
void ConfigurationManager::Private::prepare(const PendingApplyPtr &pending)
{
    pending->result.differences = compareConfigurations(configuration, pending->wanted);
    const bool isVersionMismatch = pending->ifMatch && *pending->ifMatch != configuration.version;
    if (isVersionMismatch) {
        return finish(pending, ApplyOutcome::Conflict, configuration.version);
    }
    if (pending->result.differences.empty()) {
        return finish(pending, ApplyOutcome::Unchanged, configuration.version);
    }
    if (pending->isDryRun) {
        return finish(pending, ApplyOutcome::DryRun, configuration.version);
    }
    pending->wanted.version.value = configuration.version.value + 1;
    const bool isSnapshot = row.objects.empty() || row.objects.size() > maxChangesSinceSnapshot;
    ConfigurationLog step;
    recordChange(step, configuration, pending->wanted);
    const ConfigurationVersion base = isSnapshot ? ConfigurationVersion{} : configuration.version;
    pending->object = encodeChange(makeUpdate(pending->wanted, step, base, SectionScope::All));
    pending->next.version = pending->wanted.version;
    pending->next.digest = pending->wanted.digest;
    pending->next.writeId = randomHex();
    if (!isSnapshot) {
        pending->next.objects = row.objects;
    }
    pending->next.objects.push_back(sha256Hex(pending->object));
    putObject(pending);
}

void ConfigurationManager::Private::putObject(const PendingApplyPtr &pending)
{
    const std::string name = objectPrefix + pending->next.objects.back();
    store.putObject(name, pending->object, [this, pending, weak = std::weak_ptr(alive)](StoreStatus status) {
        if (weak.expired()) {
            return;
        }
        if (status == StoreStatus::Ok) {
            return transact(pending);
        }
        if (status == StoreStatus::Unknown && --pending->attemptsLeft > 0) {
            return putObject(pending); // idempotent: same name and content
        }
        finish(pending, ApplyOutcome::Unavailable, configuration.version);
    });
}

void ConfigurationManager::Private::transact(const PendingApplyPtr &pending)
{
    json changes = json::array();
    for (const SectionDifference &difference : pending->result.differences) {
        changes.push_back(describe(difference));
    }
    const json entry = {
        {"digest", pending->next.digest}, {"entry", context.settings.id}, {"time", now()}, {"changes", changes}, {"write", pending->next.writeId}};
    const std::uint64_t before = pending->next.version.value - 1;
    const std::vector<RowWrite> writes = {{configurationTable, currentRow, encodeCurrent(pending->next), before},
                                          {historyTable, historyKey(pending->next.version), entry.dump(), 0}};
    store.transact(writes, [this, pending, weak = std::weak_ptr(alive)](StoreStatus status) {
        if (weak.expired()) {
            return;
        }
        switch (status) {
        case StoreStatus::Ok:
            return accept(pending);
        case StoreStatus::Conflict:
        case StoreStatus::Unknown:
            return resolve(pending);
        case StoreStatus::NotFound:
        case StoreStatus::Unavailable: {
            // An earlier attempt whose response was lost may have taken effect.
            const bool wasLost = pending->attemptsLeft < maxTransactAttempts;
            return finish(pending, wasLost ? ApplyOutcome::Unknown : ApplyOutcome::Unavailable, configuration.version);
        }
        }
    });
}

/// Finds out whether the write took effect, after a lost response or a conflict. The history row of the wanted version decides:
/// it is written once, in the same transaction as the current row, and never changes.
void ConfigurationManager::Private::resolve(const PendingApplyPtr &pending)
{
    --pending->attemptsLeft;
    store.readRow(historyTable, historyKey(pending->next.version), [this, pending, weak = std::weak_ptr(alive)](StoreStatus status, const Row &read) {
        if (weak.expired()) {
            return;
        }
        if (status == StoreStatus::Ok) {
            bool isMine = false;
            decodeObject(read.value, [&](const json &value) {
                isMine = value.value("write", "") == pending->next.writeId;
            });
            return isMine ? accept(pending) : finish(pending, ApplyOutcome::Conflict, pending->next.version);
        }
        if (pending->attemptsLeft <= 0) {
            return finish(pending, ApplyOutcome::Unknown, configuration.version);
        }
        if (status == StoreStatus::NotFound) {
            return transact(pending); // same write id and condition: it takes effect at most once
        }
        resolve(pending);
    });
}

void ConfigurationManager::Private::accept(const PendingApplyPtr &pending)
{
    if (pending->next.version > row.version) {
        row = pending->next;
    }
    // A peer may have sent a newer version while the store's responses were lost.
    if (pending->wanted.version > configuration.version) {
        activate(pending->wanted);
    }
    finish(pending, ApplyOutcome::Accepted, pending->next.version);
}

// [SECTION] ConfigurationManager

ConfigurationManager::ConfigurationManager(EntryContext &context, Store &store)
    : d(new Private{context, store})
{
}

ConfigurationManager::~ConfigurationManager() = default;

const Configuration &ConfigurationManager::inForce() const
{
    return d->configuration;
}

void ConfigurationManager::onChanged(std::function<void()> handler)
{
    d->changed = std::move(handler);
}

void ConfigurationManager::apply(const std::string &text, std::optional<ConfigurationVersion> ifMatch, bool isDryRun,
                                 std::function<void(const ApplyResult &)> done)
{
    const auto pending = std::make_shared<PendingApply>();
    pending->ifMatch = ifMatch;
    pending->isDryRun = isDryRun;
    pending->done = std::move(done);
    pending->wanted = parseConfiguration(text, pending->result.problems);
    if (!pending->result.problems.empty()) {
        logEvent(Event::ConfigurationRefused, {{"problems", std::to_string(pending->result.problems.size())}});
        return d->finish(pending, ApplyOutcome::Invalid, d->configuration.version);
    }
    d->store.readRow(configurationTable, currentRow, [this, pending, weak = std::weak_ptr(d->alive)](StoreStatus status, const Row &read) {
        if (weak.expired()) {
            return;
        }
        CurrentRow current;
        const bool isRead = status == StoreStatus::NotFound || (status == StoreStatus::Ok && decodeCurrent(read, current));
        if (!isRead) {
            return d->finish(pending, ApplyOutcome::Unavailable, d->configuration.version);
        }
        if (current.version > d->row.version) {
            d->row = current;
        }
        if (current.version != d->configuration.version) {
            // Another entry has accepted a version that this one lacks: fetch it, and let the operator review it and retry.
            poll();
            return d->finish(pending, ApplyOutcome::Conflict, current.version);
        }
        d->prepare(pending);
    });
}

void ConfigurationManager::history(int limit, std::function<void(StoreStatus, const std::vector<HistoryEntry> &)> done)
{
    d->store.scanRows(historyTable, "", "", limit, [done = std::move(done)](StoreStatus status, const std::vector<Row> &rows) {
        std::vector<HistoryEntry> entries;
        for (const Row &row : rows) {
            std::uint64_t inverted = 0;
            if (!parseNumber(row.key, inverted)) {
                continue;
            }
            decodeObject(row.value, [&](const json &value) {
                entries.push_back({ConfigurationVersion{UINT64_MAX - inverted}, value.value("digest", ""), value.value("entry", ""), value.value("time", ""),
                                   value.value("changes", std::vector<std::string>())});
            });
        }
        done(status, entries);
    });
}

void ConfigurationManager::poll()
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
            d->hasReadCurrentRow = true;
        }
        if (status != StoreStatus::Ok || !decodeCurrent(read, current)) {
            return d->endPoll();
        }
        d->handleRow(current);
    });
}

void ConfigurationManager::handleUpdate(const LinkPtr &link, const ConfigurationUpdate &update)
{
    Configuration fresh;
    switch (applyUpdate(d->configuration, update, fresh)) {
    case UpdateResult::Applied:
        d->activate(std::move(fresh));
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

void ConfigurationManager::sendTo(const LinkPtr &link, ConfigurationVersion known, SectionScope scope)
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

std::uint64_t ConfigurationManager::bytesSent() const
{
    return d->bytesSent;
}

bool ConfigurationManager::isTrusted() const
{
    const bool hasPeersNewest = d->hasReadyPeer && d->configuration.version >= d->peerVersion;
    return d->configuration.version.value > 0 && (d->hasReadCurrentRow || hasPeersNewest);
}

void ConfigurationManager::recordPeerVersion(ConfigurationVersion version)
{
    d->hasReadyPeer = true;
    d->peerVersion = std::max(d->peerVersion, version);
}

} // namespace Parsleytrail
