// Encoding of messages, and frames on links and in datagrams: limits, wire versions, malformed input, unknown peers.
#include "generated/messages.h"
#include "wire/datagrams.h"
#include "wire/link.h"

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <rapidcheck.h>

#include <arpa/inet.h>

using namespace Parsleytrail;

namespace
{

OpenStage exampleOpen()
{
    OpenStage open;
    open.request.value = "r1";
    open.attempt.value = 3;
    open.stageIndex = 1;
    open.stages = {{{"t0"}, {5}, "127.0.0.1", 80, 0, 10}, {{"t1"}, {6}, "127.0.0.1", 81, 10, 20}};
    open.prompt = "hello";
    open.tokens = {1, 2, 3};
    open.maxTokens = 9;
    open.isSuspect = true;
    return open;
}

std::string encoded(const OpenStage &open, std::uint16_t version)
{
    std::string bytes;
    BOOST_REQUIRE(encode(open, version, bytes));
    return bytes;
}

/// A link server that accepts only CloseStream, and the loop for both ends of its links.
struct LinkFixture {
    EventLoop loop;
    int closedCount = 0;
    std::vector<std::uint16_t> received;
    LinkIdentity identity{{Role::Entry, "a", {1}}, currentWireVersion};
    LinkHandlers handlers;
    std::unique_ptr<LinkServer> server;
    Address address;

    LinkFixture()
    {
        handlers.onFrame = [this](const LinkPtr &, const Frame &frame) {
            received.push_back(frame.message);
            return frame.message == CloseStream::messageId;
        };
        handlers.onClosed = [this](const LinkPtr &, const Error &) {
            ++closedCount;
        };
        server = std::make_unique<LinkServer>(loop, identity, handlers);
        auto listening = server->listen({"127.0.0.1", 0});
        BOOST_REQUIRE(listening);
        address = *listening;
    }

    /// Connects a plain socket, sends `bytes` and returns whether the server closed the connection.
    bool isRefused(const std::string &bytes)
    {
        bufferevent *bev = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        bool isClosed = false;
        const auto onEvent = [](bufferevent *, short events, void *arg) {
            *static_cast<bool *>(arg) = *static_cast<bool *>(arg) || (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR));
        };
        bufferevent_setcb(bev, nullptr, nullptr, onEvent, &isClosed);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.port);
        inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
        bufferevent_socket_connect(bev, reinterpret_cast<sockaddr *>(&to), sizeof to);
        bufferevent_write(bev, bytes.data(), bytes.size());
        loop.runUntil(
            [&] {
                return isClosed;
            },
            milliseconds(20000));
        bufferevent_free(bev);
        return isClosed;
    }
};

template<typename Message>
std::string framed(const Message &message)
{
    std::string bytes;
    BOOST_REQUIRE(appendFrame(message, currentWireVersion, bytes));
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire)

BOOST_AUTO_TEST_CASE(messages_round_trip)
{
    OpenStage decoded;
    BOOST_REQUIRE(decode(encoded(exampleOpen(), currentWireVersion), currentWireVersion, decoded));
    BOOST_TEST(decoded.request.value == "r1");
    BOOST_TEST(decoded.stages.size() == 2u);
    BOOST_TEST(decoded.stages[1].port == 81);
    BOOST_TEST(decoded.tokens.size() == 3u);
    BOOST_TEST(decoded.isSuspect);
}

BOOST_AUTO_TEST_CASE(wire_versions_interoperate)
{
    // Wire version 2 added the field isSuspect. It has its default if the writer or the reader uses version 1.
    OpenStage decoded;
    BOOST_REQUIRE(decode(encoded(exampleOpen(), 1), 1, decoded));
    BOOST_TEST(!decoded.isSuspect);
    BOOST_TEST(decoded.maxTokens == 9u);
    OpenStage older;
    BOOST_REQUIRE(decode(encoded(exampleOpen(), 2), 1, older));
    BOOST_TEST(!older.isSuspect);
    BOOST_TEST(older.maxTokens == 9u);
}

/// Guards against messages that are sent and then silently dropped by every reader because a list exceeds its limit.
BOOST_AUTO_TEST_CASE(no_encoder_writes_what_its_reader_refuses)
{
    EntryReport report;
    report.loads.resize(256);
    std::string bytes;
    BOOST_TEST(appendFrame(report, currentWireVersion, bytes));
    const std::string fitting = bytes;
    report.loads.resize(257);
    BOOST_TEST(!appendFrame(report, currentWireVersion, bytes));
    BOOST_TEST(bytes == fitting);
    report.loads.clear();
    report.sender.host.assign(65, '1');
    BOOST_TEST(!encode(report, currentWireVersion, bytes));
}

BOOST_AUTO_TEST_CASE(truncated_messages_are_refused)
{
    const std::string complete = encoded(exampleOpen(), currentWireVersion);
    for (std::size_t size = 0; size < complete.size(); ++size) {
        OpenStage decoded;
        BOOST_TEST(!decode(std::string_view(complete).substr(0, size), currentWireVersion, decoded));
    }
}

BOOST_AUTO_TEST_CASE(random_bytes_neither_crash_nor_allocate_without_bound)
{
    const bool isRight = rc::check([](const std::string &bytes) {
        OpenStage open;
        ActivationFrame activations;
        ConfigurationUpdate update;
        Announcement announcement;
        decode(bytes, currentWireVersion, open);
        decode(bytes, currentWireVersion, activations);
        decode(bytes, currentWireVersion, update);
        decode(bytes, currentWireVersion, announcement);
        RC_ASSERT(activations.activations.size() <= bytes.size());
        RC_ASSERT(update.sections.size() <= bytes.size());
    });
    BOOST_TEST(isRight);
}

BOOST_AUTO_TEST_CASE(a_size_that_the_frame_can_not_hold_is_refused)
{
    // The last four bytes are the number of activations, here set to 4 billion.
    ActivationFrame frame;
    frame.request.value = "r";
    std::string bytes;
    BOOST_REQUIRE(encode(frame, currentWireVersion, bytes));
    for (std::size_t i = bytes.size() - 4; i < bytes.size(); ++i) {
        bytes[i] = '\xff';
    }
    BOOST_TEST(!decode(bytes, currentWireVersion, frame));
}

BOOST_AUTO_TEST_CASE(unknown_peers_and_malformed_frames_are_disconnected)
{
    LinkFixture fixture;
    BOOST_TEST(fixture.isRefused("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
    BOOST_TEST(fixture.isRefused(framed(CloseStream{}))); // no Hello before it
    std::string huge = framed(Hello{Role::Sidecar, "b", {1}});
    huge += framed(CloseStream{});
    huge[huge.size() - 1] = '\x7f';
    std::string overLimit = framed(Hello{Role::Sidecar, "b", {1}});
    const std::size_t frameStart = overLimit.size();
    overLimit += framed(CloseStream{});
    overLimit[frameStart + 11] = '\x7f'; // payload of 2 GB
    BOOST_TEST(fixture.isRefused(overLimit));
    BOOST_TEST(fixture.isRefused(framed(Hello{Role::Sidecar, "b", {1}}) + framed(CallCancel{}))); // a message that the handler refuses
}

BOOST_AUTO_TEST_CASE(a_peer_that_sends_no_hello_is_disconnected)
{
    // The kernel accepts the connection, but no Hello is ever sent: without a timeout, streams to this peer would wait for ever.
    LinkFixture fixture;
    EventLoop &loop = fixture.loop;
    const int unresponsive = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in listenAddress{};
    listenAddress.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &listenAddress.sin_addr);
    BOOST_REQUIRE(bind(unresponsive, reinterpret_cast<sockaddr *>(&listenAddress), sizeof listenAddress) == 0);
    BOOST_REQUIRE(listen(unresponsive, 4) == 0);
    socklen_t size = sizeof listenAddress;
    getsockname(unresponsive, reinterpret_cast<sockaddr *>(&listenAddress), &size);
    LinkPool pool(loop, fixture.identity, fixture.handlers);
    pool.link({"127.0.0.1", ntohs(listenAddress.sin_port)})->send(CloseStream{});
    BOOST_TEST(loop.runUntil(
        [&] {
            return fixture.closedCount == 1;
        },
        milliseconds(20000)));
    close(unresponsive);
}

BOOST_AUTO_TEST_CASE(links_carry_frames_in_order_after_hello)
{
    LinkFixture fixture;
    LinkPool pool(fixture.loop, fixture.identity, fixture.handlers);
    for (int i = 0; i < 100; ++i) {
        pool.link(fixture.address)->send(CloseStream{{"r"}, {static_cast<std::uint32_t>(i)}});
    }
    BOOST_TEST(fixture.loop.runUntil(
        [&] {
            return fixture.received.size() == 100u;
        },
        milliseconds(20000)));
    BOOST_TEST(pool.size() == 1u);
}

BOOST_AUTO_TEST_CASE(malformed_datagrams_are_counted_and_dropped)
{
    EventLoop loop;
    int handledCount = 0;
    DatagramSocket receiver(loop, currentWireVersion, [&handledCount](const Frame &frame, const Address &) {
        ++handledCount;
        return frame.message == LoadReport::messageId;
    });
    DatagramSocket sender(loop, currentWireVersion, [](const Frame &, const Address &) {
        return false;
    });
    LinkFixture ports; // provides a free port number
    BOOST_REQUIRE(receiver.bind(ports.address));
    BOOST_REQUIRE(sender.bind({"127.0.0.1", 0}));
    const int raw = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(ports.address.port);
    inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    for (const std::string &bytes : {std::string("x"), std::string(5000, 'y'), framed(CloseStream{}) + "z"}) {
        sendto(raw, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&to), sizeof to);
    }
    close(raw);
    SuspicionNotice large;
    large.crashes.resize(65);
    sender.send(ports.address, large);
    BOOST_TEST(sender.unsent() == 1u);
    sender.send(ports.address, LoadReport{});
    BOOST_TEST(loop.runUntil(
        [&] {
            return handledCount == 1;
        },
        milliseconds(20000)));
    BOOST_TEST(receiver.refused() == 3u);
    sender.send(ports.address, CloseStream{});
    BOOST_TEST(loop.runUntil(
        [&] {
            return handledCount == 2;
        },
        milliseconds(20000)));
    BOOST_TEST(receiver.refused() == 4u);
}

BOOST_AUTO_TEST_SUITE_END()
