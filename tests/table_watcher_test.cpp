// A table of the store that relays copy from each other, at second hand too.
#include "platform/platform_adapter.h"
#include "relay/table_watcher.h"
#include "stand-ins/table_store.h"
#include "tests/relay_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

using namespace Parsleytrail;

namespace
{

constexpr const char *table = "servers";

/// A store and the parts that watchers of its table need.
struct StoreAndLoop {
    EventLoop loop;
    SystemClock clock;
    std::unique_ptr<PlatformAdapter> adapter = makePlatformAdapter();
    RelaySettings settings;
    RelayContext context{loop, clock, *adapter, settings, nullptr, TargetConnectionPool(loop, clock)};
    HttpClient client{loop};
    StandIn::TableStore store{loop};
    Address address;

    StoreAndLoop()
    {
        Error error;
        runCatching(
            [this]() -> Result<void> {
                BOOST_LEAF_ASSIGN(address, store.listen({"127.0.0.1", 0}));
                return {};
            },
            error);
    }
    void wait(const std::function<bool()> &done)
    {
        BOOST_REQUIRE(loop.runUntil(done, milliseconds(60000)));
    }
};

/// One relay's view of the table.
struct View {
    std::set<std::string> keys; ///< of the rows that it knows
    TableWatcher watcher;

    explicit View(StoreAndLoop &system)
        : watcher(system.context, system.client, system.address, table, milliseconds(300), milliseconds(300),
                  {[this](const Row &row) {
                       keys.insert(row.key);
                   },
                   [this](const std::string &key) {
                       keys.erase(key);
                   },
                   [] {}, [](bool) {}})
    {
    }
    void copyFrom(const View &other)
    {
        watcher.applyCopy(other.watcher.copyRows(watcher.isRead() ? watcher.lastChange() : 0));
    }
};

/// The store removes a row and discards its history, so that only a whole read shows the removal.
void removeWithoutHistory(StoreAndLoop &system, View &reader, const std::string &key)
{
    system.store.faults().hasNoChangeHistory = true;
    system.store.remove(table, key);
    system.wait([&] {
        return !reader.keys.contains(key);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(TableWatcherTest)

/// Guards against a relay that keeps a target for good: the removal was found by a whole read and did not reach those that copy at second hand.
BOOST_AUTO_TEST_CASE(aRemovalFoundByAWholeReadReachesRelaysAtSecondAndThirdHand)
{
    StoreAndLoop system;
    system.store.put(table, "stays", "{}");
    system.store.put(table, "leaves", "{}");
    View reader(system);
    View second(system);
    View third(system);
    View fourth(system);
    reader.watcher.start(milliseconds(0));
    system.wait([&] {
        return reader.watcher.isRead();
    });
    second.copyFrom(reader);
    third.copyFrom(second);
    fourth.copyFrom(third);
    removeWithoutHistory(system, reader, "leaves");
    second.copyFrom(reader);
    third.copyFrom(second);
    fourth.copyFrom(third);
    for (const View *view : {&reader, &second, &third, &fourth}) {
        BOOST_TEST((view->keys == std::set<std::string>{"stays"}));
        BOOST_TEST(view->watcher.lastChange() == reader.watcher.lastChange());
    }
}

/// Guards against the same where the relay in the middle learnt of the row only by its removal.
BOOST_AUTO_TEST_CASE(aRemovalOfARowThatTheRelayInTheMiddleNeverHadIsPassedOn)
{
    StoreAndLoop system;
    system.store.put(table, "stays", "{}");
    View reader(system);
    View second(system);
    View third(system);
    reader.watcher.start(milliseconds(0));
    system.wait([&] {
        return reader.watcher.isRead();
    });
    second.copyFrom(reader);
    system.store.put(table, "leaves", "{}");
    system.wait([&] {
        return reader.keys.contains("leaves");
    });
    third.copyFrom(reader);
    removeWithoutHistory(system, reader, "leaves");
    second.copyFrom(reader);
    third.copyFrom(second);
    BOOST_TEST((third.keys == std::set<std::string>{"stays"}));
}

/// Guards against a removed row that comes back for good: a row that was missing in one whole read and is there in the next.
BOOST_AUTO_TEST_CASE(aRowThatIsWrittenAgainAfterItsRemovalReachesAll)
{
    StoreAndLoop system;
    system.store.put(table, "stays", "{}");
    system.store.put(table, "leaves", "{}");
    View reader(system);
    View second(system);
    View third(system);
    reader.watcher.start(milliseconds(0));
    system.wait([&] {
        return reader.watcher.isRead();
    });
    second.copyFrom(reader);
    third.copyFrom(second);
    removeWithoutHistory(system, reader, "leaves");
    second.copyFrom(reader);
    third.copyFrom(second);
    system.store.put(table, "leaves", "{}");
    system.wait([&] {
        return reader.keys.contains("leaves");
    });
    second.copyFrom(reader);
    third.copyFrom(second);
    BOOST_TEST((third.keys == std::set<std::string>{"leaves", "stays"}));
}

BOOST_AUTO_TEST_SUITE_END()
