// A store that falls silent for one relay alone, while the others reach it.
#include "policy/store_outage.h"
#include "policy/table_source.h"
#include "tests/relay_system.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using Json = nlohmann::json;

namespace
{

constexpr milliseconds configurationBound{2000}; ///< from the acknowledgement of a configuration until it must be in force

Json stateOf(RelaySystem &system, std::size_t relay)
{
    return Json::parse(system.relay(relay).dumpState());
}

/// Two relays of one data centre of which one reads the store for both.
struct ReaderAndNeighbour {
    RelaySystem system;
    std::size_t reader = 0;
    std::size_t neighbour = 1;

    static RelaySystemOptions options()
    {
        RelaySystemOptions options;
        options.relays = 2;
        options.hasStorePaths = true;
        options.tuneRelay = [](RelaySettings &settings) {
            settings.storeWatch = milliseconds(2000);
        };
        return options;
    }
    ReaderAndNeighbour()
        : system(options())
    {
        system.waitReady();
        system.wait("one reader", [this] {
            const bool first = stateOf(system, 0)["readsStore"];
            const bool second = stateOf(system, 1)["readsStore"];
            reader = first ? 0 : 1;
            neighbour = 1 - reader;
            const Json state = stateOf(system, neighbour);
            return first != second && !state["tablesFrom"].get<std::string>().empty() && !state["isQueryingStore"].get<bool>();
        });
    }
    int statusAtNeighbour(const std::string &id)
    {
        const RawCallPtr call = system.send(system.request("GET", "/read/x", id), neighbour);
        system.wait("an answer", [&call] {
            return call->hasCompleteResponse();
        });
        return call->status();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayStoreSilenceTest)

/// Guards against requests with revoked keys at a relay whose own path to the store is sound: it relied on a reader that was cut off.
BOOST_AUTO_TEST_CASE(aNeighbourDoesNotWaitForACutOffReaderToGiveUp)
{
    ReaderAndNeighbour pair;
    pair.system.cutStore(pair.reader);
    pair.system.configure(2, {"key-2"});
    int number = 0;
    pair.system.wait("the revoked key to be refused", [&] {
        return pair.statusAtNeighbour("c" + std::to_string(++number)) == 401;
    });
    BOOST_TEST(!stateOf(pair.system, pair.reader)["isStorePathLost"].get<bool>());
}

/// Guards against a relay that keeps an older configuration because it alone does not reach the store.
BOOST_AUTO_TEST_CASE(aCutOffReaderCopiesFromItsNeighbour)
{
    ReaderAndNeighbour pair;
    pair.system.cutStore(pair.reader);
    pair.system.configure(2, {"key-2"});
    pair.system.wait("the configuration at the reader", [&] {
        return stateOf(pair.system, pair.reader)["configurationVersion"] == 2;
    });
    BOOST_TEST(!stateOf(pair.system, pair.reader)["readsStore"].get<bool>());
}

/// Guards against requests to a target that has left: a relay that alone had been cut off kept it as if the store had lost its row.
BOOST_AUTO_TEST_CASE(aRemovalAfterACutOfOneRelayCountsAtOnce)
{
    ReaderAndNeighbour pair;
    const auto knows = [&pair](std::size_t relay, const char *id) {
        return stateOf(pair.system, relay).value("targets", Json::object()).contains(id);
    };
    const auto answer = [](const StandIn::RawRequest &request) {
        return StandIn::RawReply{StandIn::sealedAnswer(request, "fine")};
    };
    pair.system.addTarget("leaves", answer);
    pair.system.wait("the target at both", [&] {
        return knows(0, "leaves") && knows(1, "leaves");
    });
    pair.system.cutStore(pair.reader);
    pair.system.wait("the path to be lost", [&] {
        return stateOf(pair.system, pair.reader)["isStorePathLost"].get<bool>();
    });
    pair.system.healStore(pair.reader);
    pair.system.wait("the reader to read again", [&] {
        return stateOf(pair.system, pair.reader)["readsStore"].get<bool>();
    });
    pair.system.unregister("leaves");
    pair.system.addTarget("comes", answer);
    pair.system.wait("the next change at the reader", [&] {
        return knows(pair.reader, "comes");
    });
    BOOST_TEST(!knows(pair.reader, "leaves"));
}

/// Guards against two readers for good: after the cut the best aggregator reads for its neighbour again.
BOOST_AUTO_TEST_CASE(oneRelayReadsAgainAfterACut)
{
    ReaderAndNeighbour pair;
    pair.system.cutStore(pair.reader);
    pair.system.wait("the neighbour to read", [&] {
        return stateOf(pair.system, pair.neighbour)["readsStore"].get<bool>();
    });
    pair.system.healStore(pair.reader);
    pair.system.wait("the reader to read again, and its neighbour to copy", [&] {
        return stateOf(pair.system, pair.reader)["readsStore"].get<bool>() && !stateOf(pair.system, pair.neighbour)["readsStore"].get<bool>();
    });
}

/// Guards against a member that keeps an older configuration because its aggregator and the standby are both cut off.
BOOST_AUTO_TEST_CASE(aMemberReadsByItselfBeforeAConfigurationIsDue)
{
    constexpr int others = 3;
    constexpr double lastTurn = 0.999;
    constexpr int messagesUntilKnown = 2; // of the aggregator's silence
    const TimePoint now{std::chrono::hours(1)};
    MemberPatience patience;
    recordSource(patience, others, lastTurn, now);
    const auto waits = std::chrono::duration_cast<milliseconds>(patience.readsAt - now);
    BOOST_TEST(contactLimits(configurationBound).maxSilence + messagesUntilKnown * exchangeInterval + waits < configurationBound);
}

/// Guards against requests to a target that was removed while its relay, which knows of no other, was cut off: it noticed the end of the cut late,
/// and then kept the target as if the store had been away.
BOOST_AUTO_TEST_CASE(aRemovedTargetIsNotKeptUntilTheRelayIsInTouchAgain)
{
    constexpr milliseconds inTouchAfter{3000}; // the end of a disruption, in the deployments with the shortest time
    constexpr milliseconds callTime{20};       // of the first call that the store answers again
    for (const double share : {0.0, 0.5, 0.999}) {
        for (int failures = 1; failures < 20; ++failures) {
            const milliseconds untilNoticed = std::max(retryInterval(failures, maxTargetsRetryInterval, share), lostWatchTimeout);
            BOOST_TEST(untilNoticed + callTime + expiredEntryGrace < inTouchAfter);
        }
    }
}

/// Guards against a store that is called without a pause while it refuses all calls at once, and by all relays in the same moment.
BOOST_AUTO_TEST_CASE(aFailingStoreIsCalledLessAndLessOften)
{
    constexpr double lastShare = 0.999;
    milliseconds earlier{0};
    for (int failures = 1; failures < 6; ++failures) {
        const milliseconds interval = retryInterval(failures, maxRetryInterval, 0);
        BOOST_TEST(interval > earlier);
        BOOST_TEST(retryInterval(failures, maxRetryInterval, lastShare) > interval * 3 / 2);
        earlier = interval;
    }
    BOOST_TEST(retryInterval(1000, maxRetryInterval, lastShare) <= maxRetryInterval);
    BOOST_TEST(retryInterval(1000, maxTargetsRetryInterval, 0) >= milliseconds(200));
}

BOOST_AUTO_TEST_CASE(aStoreIsSilentOnceItHasNotAnsweredForTooLong)
{
    const TimePoint asked{std::chrono::hours(1)};
    for (const milliseconds bound : {milliseconds(0), configurationBound, milliseconds(5000), milliseconds(60000)}) {
        const ContactLimits limits = contactLimits(bound);
        BOOST_TEST(!isStoreSilent({asked, {}}, limits.maxSilence, asked + limits.maxSilence));
        BOOST_TEST(isStoreSilent({asked, {}}, limits.maxSilence, asked + limits.maxSilence + milliseconds(1)));
        BOOST_TEST(!isStoreSilent({asked, asked + limits.maxSilence}, limits.maxSilence, asked + 2 * limits.maxSilence));
        BOOST_TEST(limits.interval < limits.maxSilence);
        BOOST_TEST(limits.maxSilence < std::max(bound, configurationBound));
    }
}

BOOST_AUTO_TEST_SUITE_END()
