// Random fault schedules whose history is checked against the promises of the system, and tests that the checker detects
// violations.
//
// PARSLEY_FAULT_SEEDS=FROM-TO runs other seeds than the default 1-10. A failure names its seed; the same seed gives the same
// schedule of actions, but their interleaving with socket events differs from run to run.
#include "bench/history_checker.h"
#include "tests/cluster.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace Parsleytrail;
using namespace Parsleytrail::Test;
using nlohmann::json;

namespace
{

constexpr int actionsInRun = 50;

/// A completion in progress.
struct OpenCompletion {
    std::string prompt;
    std::uint32_t maxTokens = 0;
    AnswerPtr answer;
};

/// A booking that is sent until it is answered or no sends are left.
struct OpenBooking {
    std::string reference; ///< X-Request-Id, and Idempotency-Key if it has one
    bool hasKey = false;
    int sendsLeft = 1;
    std::shared_ptr<std::optional<HttpResult>> result;
};

/// One run of random actions on a small cluster.
class FaultRun
{
public:
    explicit FaultRun(std::uint64_t seed)
        : m_cluster(options())
        , m_random(seed)
    {
    }

    /// Runs the schedule to its end and returns the violations found.
    std::vector<Violation> run();
    int answered() const
    {
        return m_answered;
    }
    int requested() const
    {
        return m_requested;
    }

private:
    static ClusterOptions options();
    std::size_t pick(std::size_t count);
    void performAction();
    void requestCompletion();
    void book();
    void sendBooking(OpenBooking &booking);
    void injectFault();
    void restoreAll();
    void collectResults();
    std::size_t pickRunningEntry();
    void recordEvent(const json &event);

    Cluster m_cluster;
    std::mt19937_64 m_random;
    std::vector<OpenCompletion> m_completions;
    std::vector<OpenBooking> m_bookings;
    std::vector<std::size_t> m_stoppedSidecars;
    std::vector<std::size_t> m_hangingEngines;
    int m_requested = 0;
    int m_answered = 0;
    int m_bookingCount = 0;
    int m_configurationCount = 0;
};

ClusterOptions FaultRun::options()
{
    ClusterOptions options;
    options.enginesPerRange = 3;
    options.applications = 2;
    options.configuration = defaultConfiguration();
    options.configuration.replace(options.configuration.find("deadline = 5s"), 13, "deadline = 1s");
    options.tuneEngine = [](StandIn::EngineOptions &engine) {
        engine.fixedStepTime = microseconds(1000);
    };
    options.tuneEntry = [](EntrySettings &entry) {
        entry.progressTimeout = milliseconds(200);
        entry.silenceTimeout = milliseconds(600);
        entry.storeTimeout = milliseconds(300);
    };
    options.tuneSidecar = [](SidecarSettings &sidecar) {
        sidecar.orphanTimeout = milliseconds(300);
        sidecar.stepTimeout = milliseconds(500);
    };
    return options;
}

std::size_t FaultRun::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

void FaultRun::recordEvent(const json &event)
{
    m_cluster.history.push_back(event.dump());
}

std::size_t FaultRun::pickRunningEntry()
{
    const std::size_t preferred = pick(2);
    return m_cluster.entries[preferred] ? preferred : 1 - preferred;
}

void FaultRun::requestCompletion()
{
    OpenCompletion completion;
    completion.prompt = "question " + std::to_string(m_requested++);
    completion.maxTokens = static_cast<std::uint32_t>(5 + pick(60));
    completion.answer = m_cluster.requestCompletion(completion.prompt, completion.maxTokens, pickRunningEntry());
    m_completions.push_back(std::move(completion));
}

void FaultRun::sendBooking(OpenBooking &booking)
{
    HttpHeaders headers = {{"X-Request-Id", booking.reference}};
    if (booking.hasKey) {
        headers.push_back({"Idempotency-Key", booking.reference});
    }
    --booking.sendsLeft;
    booking.result = m_cluster.sendAsync(post("/services/booking/bookings", json{{"wheel", booking.reference}}.dump(), headers), pickRunningEntry());
}

void FaultRun::book()
{
    OpenBooking booking;
    booking.reference = "booking-" + std::to_string(m_bookingCount++);
    booking.hasKey = pick(2) == 0;
    booking.sendsLeft = booking.hasKey ? 4 : 1;
    sendBooking(booking);
    m_bookings.push_back(std::move(booking));
}

void FaultRun::injectFault()
{

    auto &platform = m_cluster.platform.faults();
    const std::size_t engine = pick(m_cluster.engines.size());
    switch (pick(10)) {
    case 0:
        return m_cluster.engines[engine]->die();
    case 1:
        m_hangingEngines.push_back(engine);
        return m_cluster.engines[engine]->setHanging(true);
    case 2:
        m_stoppedSidecars.push_back(engine);
        return m_cluster.killSidecar(engine);
    case 3: {
        const std::size_t sidecar = m_cluster.engines.size() + pick(2);
        m_stoppedSidecars.push_back(sidecar);
        return m_cluster.killSidecar(sidecar);
    }
    case 4:
        platform.isDown = true;
        return;
    case 5:
        platform.isUnresponsive = true;
        return;
    case 6:
        platform.unansweredWrites = 3;
        return;
    case 7:
        return m_cluster.applications[pick(2)]->setCrash(pick(2) == 0 ? StandIn::ApplicationCrash::Before : StandIn::ApplicationCrash::After);
    case 8:
        if (m_cluster.entries[0] && m_cluster.entries[1]) {
            m_cluster.killEntry(pick(2));
        }
        return;
    default:
        if (m_cluster.sidecars[engine]) {
            const std::string id = json::parse(m_cluster.sidecars[engine]->state())["id"];
            recordEvent(
                {{"event", "left"}, {"target", id}, {"at", std::chrono::duration_cast<microseconds>(m_cluster.clock.now().time_since_epoch()).count()}});
            m_cluster.sidecars[engine]->drain([] {});
            m_stoppedSidecars.push_back(engine);
        }
    }
}

void FaultRun::restoreAll()
{
    m_cluster.platform.faults() = {};
    for (const std::size_t engine : m_hangingEngines) {
        m_cluster.engines[engine]->setHanging(false);
    }
    m_hangingEngines.clear();
    for (std::size_t i = 0; i < m_cluster.engines.size(); ++i) {
        if (m_cluster.engines[i]->isDead()) {
            m_cluster.restartEngine(i);
        }
    }
    for (const std::size_t sidecar : m_stoppedSidecars) {
        m_cluster.killSidecar(sidecar);
        m_cluster.startSidecar(sidecar);
        recordEvent({{"event", "started"}, {"process", json::parse(m_cluster.sidecars[sidecar]->state())["id"]}});
    }
    m_stoppedSidecars.clear();
    for (const auto &application : m_cluster.applications) {
        application->setCrash(StandIn::ApplicationCrash::None);
    }
    for (std::size_t i = 0; i < 2; ++i) {
        if (!m_cluster.entries[i]) {
            m_cluster.startEntry(i);
        }
    }
}

void FaultRun::collectResults()
{
    for (auto completion = m_completions.begin(); completion != m_completions.end();) {
        if (!completion->answer->isEnded) {
            ++completion;
            continue;
        }
        if (completion->answer->hasDone) {
            ++m_answered;
            recordEvent({{"event", "caller-answer"},
                         {"request", completion->prompt},
                         {"text", completion->answer->text},
                         {"expected", m_cluster.expectedText(completion->prompt, completion->maxTokens)}});
        }
        completion = m_completions.erase(completion);
    }
    for (auto booking = m_bookings.begin(); booking != m_bookings.end();) {
        if (!booking->result->has_value()) {
            ++booking;
            continue;
        }
        const HttpResult result = **booking->result;
        if (!result.failure) {
            recordEvent({{"event", "caller-outcome"}, {"reference", booking->reference}, {"outcome", findHeader(result.headers, "parsley-outcome")}});
        }
        const bool isAnswered = !result.failure && result.status == 201;
        if (!isAnswered && booking->sendsLeft > 0) {
            sendBooking(*booking);
            ++booking;
        } else {
            booking = m_bookings.erase(booking);
        }
    }
}

void FaultRun::performAction()
{
    const std::size_t choice = pick(20);
    if (choice < 9) {
        requestCompletion();
    } else if (choice < 14) {
        book();
    } else if (choice < 18) {
        injectFault();
    } else if (choice < 19) {
        restoreAll();
    } else {
        const std::size_t entry = pickRunningEntry();
        const std::string extra = "[target-class.c" + std::to_string(m_configurationCount++) + "]\naccelerator = x\nmemory-gib = 1\ntokens-per-second = 1\n";
        HttpClientRequest request;
        request.method = "PUT";
        request.path = "/operator/v1/configuration";
        request.headers = {{"Authorization", std::string("Bearer ") + operatorKey}};
        request.body = options().configuration + extra;
        m_cluster.client.fetch(m_cluster.entries[entry]->operatorAddress(), request, [](const HttpResult &) {});
    }
}

std::vector<Violation> FaultRun::run()
{
    for (int i = 0; i < actionsInRun; ++i) {
        performAction();
        m_cluster.idle(milliseconds(5 + static_cast<int>(pick(40))));
        collectResults();
    }
    restoreAll();
    m_cluster.wait("all completions and bookings to end", [&] {
        collectResults();
        return m_completions.empty() && m_bookings.empty();
    });
    m_cluster.recordStandIns();
    return checkHistory(m_cluster.history);
}

std::pair<std::uint64_t, std::uint64_t> seedRange()
{
    const char *range = std::getenv("PARSLEY_FAULT_SEEDS");
    std::uint64_t from = 1;
    std::uint64_t to = 10;
    if (range) {
        std::sscanf(range, "%lu-%lu", &from, &to);
    }
    return {from, to};
}

} // namespace

BOOST_AUTO_TEST_SUITE(faults)

BOOST_AUTO_TEST_CASE(no_promise_is_broken_under_random_faults)
{
    // Completions and bookings are sent while engines, sidecars, entries, applications and the platform fail and recover. None of
    // these failures, alone or together, may break a promise that the history checker checks.
    const auto [from, to] = seedRange();
    for (std::uint64_t seed = from; seed <= to; ++seed) {
        FaultRun run(seed);
        const std::vector<Violation> violations = run.run();
        for (const Violation &violation : violations) {
            BOOST_ERROR("seed " << seed << ": " << toString(violation.guarantee) << ": " << violation.text << ": " << violation.event);
        }
        BOOST_TEST_MESSAGE("seed " << seed << ": " << run.answered() << " of " << run.requested() << " answered, " << violations.size() << " violations");
        BOOST_TEST(run.answered() > 0);
    }
}

BOOST_AUTO_TEST_CASE(the_checker_fails_for_each_promise)
{
    // Events that violate one guarantee are added to the history of a clean run: the checker must report a violation of that guarantee.
    // Guards against a checker that passes whatever happens.
    Cluster cluster;
    const AnswerPtr answer = cluster.requestCompletion("clean", 10);
    cluster.wait("the answer", [&] {
        return answer->isEnded;
    });
    HttpClientRequest booking = post("/services/booking/bookings", "{}", {{"X-Request-Id", "r1"}});
    cluster.send(booking);
    cluster.apply(defaultConfiguration("[target-class.x]\naccelerator = x\nmemory-gib = 1\ntokens-per-second = 1\n"));
    cluster.waitReady(7);
    cluster.recordStandIns();
    const std::vector<std::string> clean = cluster.history;
    for (const Violation &violation : checkHistory(clean)) {
        BOOST_ERROR(violation.text << violation.event);
    }
    const auto firstOf = [&clean](const char *event) {
        for (const std::string &line : clean) {
            const json parsed = json::parse(line);
            if (parsed["event"] == event) {
                return parsed;
            }
        }
        BOOST_FAIL("the clean run has no event " << event);
        return json();
    };
    const json applied = firstOf("applied");
    const json token = firstOf("token");
    const json booked = firstOf("booked");
    const json handedOver = firstOf("handed-over");
    const json configuration = firstOf("configuration");
    const std::vector<std::pair<Guarantee, std::vector<json>>> defects = {
        {Guarantee::LayersOnceInOrder, {applied}}, // a stage applies its positions a second time
        {Guarantee::LayersOnceInOrder,
         {firstOf("engine-step"),
          {{"event", "engine-step"},
           {"engine", firstOf("engine-step")["engine"]},
           {"stream", firstOf("engine-step")["stream"]},
           {"position", 99},
           {"positions", 1}}}},                    // positions are skipped
        {Guarantee::OwnCompleteResponse, {token}}, // a token is emitted again
        {Guarantee::OwnCompleteResponse, {{{"event", "caller-answer"}, {"request", "a"}, {"text", "b's answer"}, {"expected", "a's answer"}}}},
        {Guarantee::NotRunIsReliable, {{{"event", "stream-ended"}, {"request", applied["request"]}, {"outcome", "not-run"}}}},
        {Guarantee::NotRunIsReliable, {{{"event", "booked"}, {"reference", "r2"}}, {{"event", "caller-outcome"}, {"reference", "r2"}, {"outcome", "not-run"}}}},
        {Guarantee::AtMostOnce, {booked}},
        {Guarantee::AtMostOnce, {handedOver}},
        {Guarantee::NoWorkWhenLeaving,
         {{{"event", "left"}, {"target", "t"}, {"at", 1}}, {{"event", "opened"}, {"process", "t"}, {"at", 2 + leavingGraceMicros}}}},
        {Guarantee::GracefulStop, {{{"event", "drained"}, {"process", "e"}, {"open", 1}}}},
        {Guarantee::NewestConfiguration, {configuration}},
        {Guarantee::NewestConfiguration, {{{"event", "configuration"}, {"process", "other"}, {"version", 1}, {"digest", "another"}}}},
    };
    for (const auto &[guarantee, events] : defects) {
        std::vector<std::string> lines = clean;
        for (const json &event : events) {
            lines.push_back(event.dump());
        }
        const std::vector<Violation> found = checkHistory(lines);
        BOOST_REQUIRE_MESSAGE(!found.empty(), toString(guarantee) << " was not caught: " << events.back().dump());
        BOOST_TEST((found.front().guarantee == guarantee), toString(guarantee));
    }
}

BOOST_AUTO_TEST_CASE(an_engine_that_skips_a_layer_is_seen_in_the_answer)
{
    // The tokens of the stand-in depend on every layer in order: an engine that holds one layer less than it announces gives a
    // wrong answer, not a shorter one, so that comparing the texts detects it.
    const StandIn::Weights weights{"assistant", "v1", "clay"};
    const auto right = StandIn::referenceAnswer("x", weights, 32, 12);
    const auto skipped = StandIn::referenceAnswer("x", weights, 31, 12);
    BOOST_TEST(right.text != skipped.text);
}

BOOST_AUTO_TEST_SUITE_END()
