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
    std::list<std::unique_ptr<Timer>> timers;

    void handle(const ExchangePtr &exchange);
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

Result<Address> Application::listen(const Address &address)
{
    HttpLimits limits;
    limits.maxBodyBytes = 32u << 20;
    d->server = std::make_unique<HttpServer>(d->loop, limits, [this](const ExchangePtr &exchange) {
        d->handle(exchange);
    });
    return d->server->listen(address);
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
