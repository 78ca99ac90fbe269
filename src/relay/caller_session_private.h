// State of callers' connections that CallerSessions and CallerExchange share. Internal to src/relay.
#pragma once

#include "relay/caller_session.h"

#include <set>
#include <vector>

namespace Parsleytrail
{

struct CallerSession;

struct CallerSessions::Private {
    EventLoop &loop;
    const Clock &clock;
    Handler handler;
    SessionLimits limits{};
    std::set<std::shared_ptr<CallerSession>> sessions{};
    std::set<ConnectionPtr> closing{}; ///< connections whose last response is complete and is still being sent
    std::unique_ptr<Timer> tick{};
    std::size_t openExchanges = 0;
    std::uint64_t closedForOthers = 0;
    bool isDraining = false;
    MemoryGuard *memoryGuard = nullptr;
    std::shared_ptr<const MemorySource> memorySource{};

    ClientMemory *memory() const;
    void listHolders(std::vector<MemoryHolder> &holders);
    void closeUnserved();
};

struct CallerExchange::Private {
    std::weak_ptr<CallerSession> session;
    HttpHead head;
    std::string body;
    TimePoint receivedAt{};
    std::function<void()> onDisconnected;
    std::function<void()> onDrained;
    bool isBegun = false;
    bool isOver = false;
    bool isChunked = false;
    bool closes = false; ///< the connection is closed after this response
    MemoryCharge charge; ///< head and body

    explicit Private(ClientMemory *memory)
        : charge(memory, MemoryUse::Receiving)
    {
    }
    void updateCharge();
    std::shared_ptr<CallerSession> detachSession();
};

/// A caller's connection.
struct CallerSession : std::enable_shared_from_this<CallerSession> {
    CallerSessions::Private *owner = nullptr;
    ConnectionPtr connection;
    CallerExchangePtr exchange; ///< request that is being read or answered; null between requests
    BodyReader bodyReader;
    bool isReadingBody = false;
    bool isAnswering = false; ///< the request was passed to the handler or rejected
    TimePoint waitingSince{}; ///< when the first byte of a head, the last part of a body or the end of a response was processed
    TimePoint receiveUntil{}; ///< the body has to be complete by then
    bool hasPartialHead = false;
    bool hasServed = false; ///< a request on this connection was answered
    bool isOver = false;    ///< the connection closes after its last response; nothing more is read from it

    bool isIdle() const;
    bool isReceiving() const;
    void start();
    void handleInput();
    void handleHead();
    void handleBody();
    void refuse(int status, std::string_view text);
    bool refuseForMemory(std::uint64_t bodyBytes);
    void giveUpUnreadResponse();
    void dispatchRequest();
    void finishExchange();
    void end();
    void checkTimeouts(TimePoint now);
};

} // namespace Parsleytrail
