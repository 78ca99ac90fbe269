#include "stand-ins/application.h"

#include "base/text.h"
#include "http/server.h"

#include <nlohmann/json.hpp>

#include <list>

namespace Parsleytrail::StandIn
{

using nlohmann::json;

struct Application::Private {
    EventLoop &loop;
    std::unique_ptr<HttpServer> server;
    std::vector<Booking> bookings;
    ApplicationCrash crash = ApplicationCrash::None;
    milliseconds responseDelay{0};
    std::string crashingQuery; ///< empty: none
    Address address;
    int crashes = 0;
    std::list<std::unique_ptr<Timer>> timers;

    Result<Address> listen(const Address &at);
    void handle(const ExchangePtr &exchange);
    void crashNow(const ExchangePtr &exchange);
    void route(const ExchangePtr &exchange);
    void book(const ExchangePtr &exchange);
    void list(const ExchangePtr &exchange) const;
    void cancel(const ExchangePtr &exchange, std::string_view number);
    void setFaults(const ExchangePtr &exchange);
};

static void answer(const ExchangePtr &exchange, int status, const json &body)
{
    exchange->reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

void Application::Private::book(const ExchangePtr &exchange)
{
    const json body = json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object()) {
        return answer(exchange, 400, {{"error", "expected a JSON object"}});
    }
    const Booking booking{bookings.size() + 1, body.value("wheel", ""), findHeader(exchange->request().headers, "X-Request-Id"), false};
    bookings.push_back(booking);
    if (crash == ApplicationCrash::After) {
        return exchange->abort();
    }
    answer(exchange, 201, {{"booking", booking.number}, {"wheel", booking.wheel}});
}

void Application::Private::list(const ExchangePtr &exchange) const
{
    json items = json::array();
    for (const Booking &booking : bookings) {
        if (!booking.isCancelled) {
            items.push_back({{"booking", booking.number}, {"wheel", booking.wheel}, {"reference", booking.reference}});
        }
    }
    answer(exchange, 200, {{"bookings", items}});
}

void Application::Private::cancel(const ExchangePtr &exchange, std::string_view number)
{
    std::size_t index = 0;
    const bool isKnown = parseNumber(number, index) && index >= 1 && index <= bookings.size() && !bookings[index - 1].isCancelled;
    if (!isKnown) {
        return answer(exchange, 404, {{"error", "no such booking"}});
    }
    bookings[index - 1].isCancelled = true;
    answer(exchange, 200, {{"cancelled", index}});
}

void Application::Private::setFaults(const ExchangePtr &exchange)
{
    const json body = json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object()) {
        return answer(exchange, 400, {{"error", "expected a JSON object"}});
    }
    const std::string when = body.value("crash", "none");
    crash = when == "before" ? ApplicationCrash::Before : when == "after" ? ApplicationCrash::After : ApplicationCrash::None;
    responseDelay = milliseconds(body.value("slow-ms", std::int64_t{0}));
    answer(exchange, 200, json::object());
}

void Application::Private::route(const ExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    std::string_view path = request.path;
    if (path == "/bookings") {
        return request.method == "POST" ? book(exchange) : list(exchange);
    }
    if (request.method == "DELETE" && consumePrefix(path, "/bookings/")) {
        return cancel(exchange, path);
    }
    if (path == "/bytes") {
        const int count = std::atoi(queryParameter(request.query, "count").value_or("0").c_str());
        exchange->beginStream(200, {{"Content-Type", "application/octet-stream"}});
        const int chunk = std::atoi(queryParameter(request.query, "chunk").value_or("65536").c_str());
        for (int sent = 0; sent < count; sent += chunk) {
            exchange->pushChunk(std::string(static_cast<std::size_t>(std::min(chunk, count - sent)), 'x'));
        }
        return exchange->endStream();
    }
    if (path == "/events") {
        const bool isCut = queryParameter(request.query, "cut").has_value();
        exchange->beginStream(200, {{"Content-Type", "text/event-stream"}});
        exchange->pushChunk("id: 1\ndata: a\n\nid: 2\nda");
        exchange->pushChunk(isCut ? "ta: " : "ta: b\n\n");
        return exchange->endStream();
    }
    if (path == "/echo") {
        json headers = json::object();
        for (const HttpHeader &header : request.headers) {
            headers[header.name] = header.value;
        }
        return answer(exchange, 200,
                      {{"method", request.method}, {"path", request.path}, {"query", request.query}, {"headers", headers}, {"body", request.body}});
    }
    answer(exchange, 404, {{"error", "no such path"}});
}

void Application::Private::handle(const ExchangePtr &exchange)
{
    if (exchange->request().path == "/faults") {
        return setFaults(exchange);
    }
    if (crash == ApplicationCrash::Before) {
        return exchange->abort();
    }
    if (!crashingQuery.empty() && exchange->request().query.find(crashingQuery) != std::string::npos) {
        return crashNow(exchange);
    }
    if (responseDelay.count() == 0) {
        return route(exchange);
    }
    auto timer = std::make_unique<Timer>(loop, [this, exchange] {
        route(exchange);
    });
    timer->start(responseDelay);
    timers.push_back(std::move(timer));
}

Application::Application(EventLoop &loop)
    : d(new Private{loop})
{
}

Application::~Application() = default;

Result<Address> Application::Private::listen(const Address &at)
{
    HttpLimits limits;
    limits.maxBodyBytes = 32u << 20;
    server = std::make_unique<HttpServer>(loop, limits, [this](const ExchangePtr &exchange) {
        handle(exchange);
    });
    BOOST_LEAF_ASSIGN(address, server->listen(at));
    return address;
}

void Application::Private::crashNow(const ExchangePtr &exchange)
{
    ++crashes;
    exchange->abort();
    // The server can't be destroyed while it handles a request.
    loop.defer([this] {
        server.reset();
    });
}

Result<Address> Application::listen(const Address &address)
{
    return d->listen(address);
}

void Application::crashOnQuery(const std::string &text)
{
    d->crashingQuery = text;
}

int Application::crashes() const
{
    return d->crashes;
}

bool Application::isDown() const
{
    return !d->server;
}

bool Application::restart()
{
    Error error;
    return runCatching(
        [this]() -> Result<void> {
            BOOST_LEAF_CHECK(d->listen(d->address));
            return {};
        },
        error);
}

const std::vector<Booking> &Application::bookings() const
{
    return d->bookings;
}

void Application::setCrash(ApplicationCrash crash)
{
    d->crash = crash;
}

void Application::setResponseDelay(milliseconds delay)
{
    d->responseDelay = delay;
}

} // namespace Parsleytrail::StandIn
