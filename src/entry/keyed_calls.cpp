// Index: [SECTION] Rows, [SECTION] Beginning, [SECTION] Ending, [SECTION] KeyedCalls
#include "entry/keyed_calls.h"

#include "base/digest.h"
#include "store/json_rows.h"

#include <nlohmann/json.hpp>

#include <map>

namespace Parsleytrail
{

using nlohmann::json;

// [SECTION] Rows

constexpr const char *callTable = "calls";
constexpr int maxInsertAttempts = 3;             ///< attempts to insert one row, if responses of the store are lost
constexpr milliseconds graceAfterDeadline{5000}; ///< after its deadline a call counts as running for this long, then as lost
constexpr milliseconds writeRetryInterval{500};  ///< between attempts to write one outcome

namespace
{

/// Contents of a key's row.
struct KeyRow {
    std::string state;           ///< started, answered, not-run or unknown
    std::string bodyDigest;      ///< as in CallKey
    std::string writeId;         ///< identifies the insert
    std::int64_t startedMs = 0;  ///< wall time, Unix epoch
    std::int64_t deadlineMs = 0; ///< longest time the call may take
    StoredResponse answer;       ///< only for state answered
};

std::string encodeRow(const KeyRow &row)
{
    json value = {{"state", row.state}, {"body", row.bodyDigest}, {"write", row.writeId}, {"started", row.startedMs}, {"deadline", row.deadlineMs}};
    if (row.state == "answered") {
        json headers = json::array();
        for (const HttpHeader &header : row.answer.headers) {
            headers.push_back({header.name, header.value});
        }
        value["status"] = row.answer.status;
        value["headers"] = headers;
        value["answer"] = row.answer.body;
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

constexpr std::int64_t maxTimeMs = std::int64_t{1} << 52; ///< later times in a row are odd; sums of two don't overflow

bool decodeRow(const std::string &text, KeyRow &row)
{
    return decodeObject(text, [&row](const json &value) {
        row.state = value.value("state", "");
        row.bodyDigest = value.value("body", "");
        row.writeId = value.value("write", "");
        row.startedMs = integerOr(value, "started", std::int64_t{0});
        row.deadlineMs = integerOr(value, "deadline", std::int64_t{0});
        row.answer.status = integerOr(value, "status", 0);
        row.answer.body = value.value("answer", "");
        for (const json &header : arrayOr(value, "headers")) {
            row.answer.headers.push_back({header.at(0).get<std::string>(), header.at(1).get<std::string>()});
        }
        const bool isSound = row.startedMs >= 0 && row.startedMs <= maxTimeMs && row.deadlineMs >= 0 && row.deadlineMs <= maxTimeMs
                             && (row.state != "answered" || (row.answer.status >= 200 && row.answer.status <= 599));
        if (!isSound) {
            throw std::out_of_range("row of a key");
        }
    });
}

std::string rowKey(const CallKey &key)
{
    // Callers choose the keys; the digest bounds their length and alphabet.
    return key.workspace.value + "/" + key.service.value + "/" + sha256Hex(key.key);
}

/// A key that a call of this entry has reserved.
struct HeldKey {
    KeyRow row;                ///< contents in the store, or to be written there
    std::uint64_t version = 0; ///< version of the row in the store
    bool isRunning = true;     ///< finish() has not been called yet
    bool isWriting = false;    ///< a write of the outcome is in progress
    TimePoint nextWrite{};     ///< earliest time of the next attempt
};

} // namespace

struct KeyedCalls::Private {
    using Done = std::function<void(KeyDecision, const StoredResponse &)>;

    EntryContext &context;
    Store &store;
    std::map<std::string, HeldKey> held; ///< by row key: running here, or with an unwritten outcome
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void insert(const std::string &name, KeyRow row, std::uint64_t ifVersion, int attemptsLeft, Done done);
    void readBack(const std::string &name, const KeyRow &mine, int attemptsLeft, const Done &done);
    void classifyRow(const std::string &name, const KeyRow &mine, const Row &row, const Done &done);
    void write(const std::string &name);
    std::int64_t nowMs() const;
};

std::int64_t KeyedCalls::Private::nowMs() const
{
    return std::chrono::duration_cast<milliseconds>(context.clock.wallTime().time_since_epoch()).count();
}

// [SECTION] Beginning

void KeyedCalls::Private::insert(const std::string &name, KeyRow row, std::uint64_t ifVersion, int attemptsLeft, Done done)
{
    const std::string value = encodeRow(row);
    store.transact({{callTable, name, value, ifVersion}}, [this, name, row, ifVersion, attemptsLeft, done, weak = std::weak_ptr(alive)](StoreStatus status) {
        if (weak.expired()) {
            return;
        }
        if (status == StoreStatus::Ok) {
            held[name] = {row, ifVersion + 1, true, false, {}};
            return done(KeyDecision::Run, {});
        }
        if (status == StoreStatus::Conflict) {
            return readBack(name, row, attemptsLeft, done);
        }
        if (status == StoreStatus::Unknown && attemptsLeft > 1) {
            // Same write id: if the lost insert took effect, this one conflicts and the row is read back.
            return insert(name, row, ifVersion, attemptsLeft - 1, done);
        }
        if (status == StoreStatus::Unknown) {
            // The row may exist. The call is not made, so the outcome is `not-run`; it is written once the store is available
            // again, and the key stays reserved at this entry until then.
            held[name] = {row, ifVersion + 1, false, false, {}};
            held[name].row.state = "not-run";
        }
        done(KeyDecision::Unavailable, {});
    });
}

void KeyedCalls::Private::readBack(const std::string &name, const KeyRow &mine, int attemptsLeft, const Done &done)
{
    store.readRow(callTable, name, [this, name, mine, attemptsLeft, done, weak = std::weak_ptr(alive)](StoreStatus status, const Row &row) {
        if (weak.expired()) {
            return;
        }
        if (status == StoreStatus::NotFound && attemptsLeft > 1) {
            return insert(name, mine, 0, attemptsLeft - 1, done);
        }
        if (status != StoreStatus::Ok) {
            return done(KeyDecision::Unavailable, {});
        }
        classifyRow(name, mine, row, done);
    });
}

void KeyedCalls::Private::classifyRow(const std::string &name, const KeyRow &mine, const Row &row, const Done &done)
{
    KeyRow known;
    if (!decodeRow(row.value, known)) {
        return done(KeyDecision::Unavailable, {});
    }
    if (known.writeId == mine.writeId && known.state == "started") {
        held[name] = {mine, row.version, true, false, {}};
        return done(KeyDecision::Run, {});
    }
    if (known.bodyDigest != mine.bodyDigest) {
        return done(KeyDecision::RequestMismatch, {});
    }
    if (known.state == "answered") {
        return done(KeyDecision::Replay, known.answer);
    }
    if (known.state == "not-run") {
        return insert(name, mine, row.version, 1, done);
    }
    const bool mayStillRun = known.state == "started" && nowMs() < known.startedMs + known.deadlineMs + graceAfterDeadline.count();
    done(mayStillRun ? KeyDecision::InProgress : KeyDecision::Unknown, {});
}

// [SECTION] Ending

void KeyedCalls::Private::write(const std::string &name)
{
    HeldKey &key = held[name];
    key.isWriting = true;
    key.nextWrite = context.clock.now() + writeRetryInterval;
    const std::string value = encodeRow(key.row);
    store.transact({{callTable, name, value, key.version}}, [this, name, weak = std::weak_ptr(alive)](StoreStatus status) {
        const auto it = weak.expired() ? held.end() : held.find(name);
        if (weak.expired() || it == held.end()) {
            return;
        }
        it->second.isWriting = false;
        // While the row is `started` with this entry's write id, only this entry writes it. A conflict therefore means that an
        // earlier write of the outcome took effect, or that the insert never did: nothing is left to write in either case.
        const bool isSettled = status == StoreStatus::Ok || status == StoreStatus::Conflict;
        if (isSettled) {
            held.erase(it);
        }
    });
}

// [SECTION] KeyedCalls

KeyedCalls::KeyedCalls(EntryContext &context, Store &store)
    : d(new Private{context, store, {}})
{
}

KeyedCalls::~KeyedCalls() = default;

void KeyedCalls::begin(const CallKey &key, std::function<void(KeyDecision, const StoredResponse &)> done)
{
    const std::string name = rowKey(key);
    const auto here = d->held.find(name);
    if (here != d->held.end()) {
        const HeldKey &known = here->second;
        if (known.row.bodyDigest != key.bodyDigest) {
            return done(KeyDecision::RequestMismatch, {});
        }
        if (known.isRunning) {
            return done(KeyDecision::InProgress, {});
        }
        if (known.row.state == "answered") {
            return done(KeyDecision::Replay, known.row.answer);
        }
        return done(known.row.state == "not-run" ? KeyDecision::Unavailable : KeyDecision::Unknown, {});
    }
    if (d->held.size() >= maxHeldKeys) {
        return done(KeyDecision::Unavailable, {});
    }
    KeyRow row;
    row.state = "started";
    row.bodyDigest = key.bodyDigest;
    row.writeId = randomHex();
    row.startedMs = d->nowMs();
    row.deadlineMs = key.deadline.count();
    d->insert(name, std::move(row), 0, maxInsertAttempts, std::move(done));
}

void KeyedCalls::finish(const CallKey &key, KeyOutcome outcome, StoredResponse answer)
{
    const std::string name = rowKey(key);
    const auto it = d->held.find(name);
    if (it == d->held.end()) {
        return;
    }
    HeldKey &known = it->second;
    known.isRunning = false;
    known.row.state = outcome == KeyOutcome::Answered ? "answered" : outcome == KeyOutcome::NotRun ? "not-run" : "unknown";
    if (outcome == KeyOutcome::Answered) {
        known.row.answer = std::move(answer);
    }
    d->write(name);
}

void KeyedCalls::flush()
{
    const TimePoint now = d->context.clock.now();
    std::vector<std::string> due;
    for (const auto &[name, key] : d->held) {
        if (!key.isRunning && !key.isWriting && now >= key.nextWrite) {
            due.push_back(name);
        }
    }
    for (const std::string &name : due) {
        if (d->store.isDown() && d->store.retryAfter().count() > 0) {
            return;
        }
        d->write(name);
    }
}

std::size_t KeyedCalls::unwritten() const
{
    std::size_t count = 0;
    for (const auto &[name, key] : d->held) {
        count += key.isRunning ? 0 : 1;
    }
    return count;
}

} // namespace Parsleytrail
