#include "stand-ins/raw_target.h"

#include <map>
#include <set>

namespace Parsleytrail::StandIn
{

std::string RawRequest::field(std::string_view name) const
{
    HttpHead parsed;
    parseRequestHead(head, head.size(), parsed);
    return std::string(parsed.find(name));
}

/// An accepted connection and its number.
struct RawConnection {
    ConnectionPtr connection;
    int number = 0;
};

struct RawTarget::Private {
    Private(EventLoop &eventLoop, Handler onRequest)
        : loop(eventLoop)
        , handler(std::move(onRequest))
    {
    }

    EventLoop &loop;
    Handler handler;
    std::unique_ptr<Listener> listener;
    std::vector<RawRequest> requests;
    std::map<int, ConnectionPtr> connections; ///< open, by number
    std::set<ConnectionPtr> closing;          ///< still writing their last response
    std::vector<std::unique_ptr<Timer>> delayTimers;
    Address address;
    bool isCrashed = false;
    int accepted = 0;
    int closed = 0;

    void handleInput(int number);
    void reply(int number, const RawReply &reply);
    void listen();
    void crash();
};

void RawTarget::Private::handleInput(int number)
{
    const auto it = connections.find(number);
    if (it == connections.end()) {
        return;
    }
    std::string &input = it->second->input();
    HttpHead head;
    if (parseRequestHead(input, 1 << 20, head) != ParseResult::Complete) {
        return;
    }
    BodyPlan plan = planRequestBody(head);
    RawRequest request;
    const std::size_t used = readBody(plan.reader, std::string_view(input).substr(head.text.size()), request.body);
    if (!plan.reader.isComplete) {
        return;
    }
    request.head = head.text;
    request.connection = number;
    input.erase(0, head.text.size() + used);
    requests.push_back(request);
    const RawReply answer = handler(request);
    if (answer.delay == milliseconds(0)) {
        return reply(number, answer);
    }
    delayTimers.push_back(std::make_unique<Timer>(loop, [this, number, answer] {
        reply(number, answer);
    }));
    delayTimers.back()->start(answer.delay);
}

void RawTarget::Private::reply(int number, const RawReply &reply)
{
    const auto it = connections.find(number);
    if (it == connections.end()) {
        return;
    }
    if (reply.crashes) {
        return crash();
    }
    const ConnectionPtr connection = it->second;
    connection->write(reply.bytes);
    if (reply.resets || reply.closes) {
        connections.erase(it);
        if (reply.resets) {
            connection->reset();
        } else {
            closing.insert(connection);
            connection->closeAfterWriting([this, connection = connection.get()] {
                closing.erase(connection->shared_from_this());
            });
        }
    }
}

void RawTarget::Private::listen()
{
    listener = std::make_unique<Listener>(loop, [this](int socket) {
        const int number = ++accepted;
        const ConnectionPtr connection = Connection::adopt(loop, socket);
        connections[number] = connection;
        Connection::Handlers handlers;
        handlers.onInput = [this, number] {
            handleInput(number);
        };
        handlers.onEnd = [this, number](ConnectionEnd) {
            ++closed;
            connections.erase(number);
        };
        connection->setHandlers(std::move(handlers));
    });
    Error error;
    runCatching(
        [this] {
            return listener->listen(address);
        },
        error);
    address.port = listener->port();
}

void RawTarget::Private::crash()
{
    isCrashed = true;
    listener.reset();
    delayTimers.clear();
    for (const auto &[number, connection] : std::exchange(connections, {})) {
        connection->reset();
    }
}

RawTarget::RawTarget(EventLoop &loop, Handler handler)
    : d(std::make_unique<Private>(loop, std::move(handler)))
{
    d->address = {"127.0.0.1", 0};
    d->listen();
}

RawTarget::~RawTarget()
{
    closeConnections();
    for (const ConnectionPtr &connection : std::exchange(d->closing, {})) {
        connection->close();
    }
}

Address RawTarget::address() const
{
    return d->address;
}

const std::vector<RawRequest> &RawTarget::requests() const
{
    return d->requests;
}

int RawTarget::closedConnections() const
{
    return d->closed;
}

void RawTarget::sendUnsolicited(const std::string &bytes)
{
    for (const auto &[number, connection] : d->connections) {
        connection->write(bytes);
    }
}

void RawTarget::crash()
{
    d->crash();
}

void RawTarget::restart()
{
    d->isCrashed = false;
    d->listen();
}

bool RawTarget::isCrashed() const
{
    return d->isCrashed;
}

void RawTarget::closeConnections()
{
    for (const auto &[number, connection] : std::exchange(d->connections, {})) {
        connection->close();
    }
}

std::string sealedAnswer(const RawRequest &request, const std::string &body, const std::string &statusLine, const std::string &extraFields)
{
    return statusLine + "\r\nX-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\nX-Response-Seal: seal-1\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n" + extraFields + "\r\n" + body;
}

} // namespace Parsleytrail::StandIn
