#include "wire/event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <deque>
#include <vector>

namespace Parsleytrail
{

static timeval toTimeval(microseconds time)
{
    timeval result{};
    result.tv_sec = time.count() / 1000000;
    result.tv_usec = time.count() % 1000000;
    return result;
}

struct SignalHandler {
    event *handle = nullptr;       ///< owned signal event
    std::function<void()> handler; ///< called from the loop
};

struct EventLoop::Private {
    event_base *base = nullptr;
    event *deferredEvent = nullptr; ///< owned; activated to run `deferred`
    std::deque<std::function<void()>> deferred;
    std::deque<SignalHandler> signals; ///< a deque, since libevent holds the address of each element
};

static void runDeferred(std::deque<std::function<void()>> &queue)
{
    // Work that the batch defers runs in the next iteration of the loop, so that socket events are not starved.
    std::deque<std::function<void()>> batch;
    batch.swap(queue);
    for (auto &work : batch) {
        work();
    }
}

EventLoop::EventLoop()
    : d(std::make_unique<Private>())
{
    // A write to a connection that the peer has closed must fail with EPIPE and not end the process by SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    // Without this flag libevent reads the kernel's coarse clock, which ticks every 4 ms: a timer of 0.5 ms would fire after 4 ms.
    event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    d->base = event_base_new_with_config(config);
    event_config_free(config);
    const auto run = [](evutil_socket_t, short, void *arg) {
        runDeferred(static_cast<Private *>(arg)->deferred);
    };
    d->deferredEvent = event_new(d->base, -1, 0, run, d.get());
}

EventLoop::~EventLoop()
{
    for (SignalHandler &signal : d->signals) {
        event_free(signal.handle);
    }
    d->deferred.clear();
    // libevent closes a connection that is freed while one of its events is active only when that event is processed. A
    // stopped loop leaves such events pending; without this last iteration, which processes all of them, the peer would see
    // the connection stay open and its memory would leak.
    event_base_loop(d->base, EVLOOP_NONBLOCK);
    event_free(d->deferredEvent);
    event_base_free(d->base);
}

void EventLoop::run()
{
    event_base_loop(d->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

bool EventLoop::runUntil(const std::function<bool()> &done, milliseconds limit)
{
    bool isTimedOut = false;
    Timer deadline(*this, [&] {
        isTimedOut = true;
    });
    deadline.start(limit);
    while (!done() && !isTimedOut) {
        event_base_loop(d->base, EVLOOP_ONCE);
    }
    return done();
}

void EventLoop::stop()
{
    event_base_loopbreak(d->base);
}

void EventLoop::defer(std::function<void()> work)
{
    d->deferred.push_back(std::move(work));
    event_active(d->deferredEvent, EV_TIMEOUT, 0);
}

void EventLoop::onSignal(int signal, std::function<void()> handler)
{
    SignalHandler &entry = d->signals.emplace_back(SignalHandler{nullptr, std::move(handler)});
    const auto call = [](evutil_socket_t, short, void *arg) {
        static_cast<SignalHandler *>(arg)->handler();
    };
    entry.handle = evsignal_new(d->base, signal, call, &entry);
    event_add(entry.handle, nullptr);
}

event_base *EventLoop::base() const
{
    return d->base;
}

struct Timer::Private {
    event *handle = nullptr;
    std::function<void()> handler;
    bool isRepeating = false;
    timeval period{};
};

Timer::Timer(EventLoop &loop, std::function<void()> handler)
    : d(std::make_unique<Private>())
{
    d->handler = std::move(handler);
    const auto call = [](evutil_socket_t, short, void *arg) {
        auto *timer = static_cast<Private *>(arg);
        if (timer->isRepeating) {
            event_add(timer->handle, &timer->period);
        }
        // Calls a copy, since the handler may destroy the timer.
        const auto handler = timer->handler;
        handler();
    };
    d->handle = event_new(loop.base(), -1, 0, call, d.get());
}

Timer::~Timer()
{
    event_free(d->handle);
}

void Timer::start(microseconds delay)
{
    const timeval time = toTimeval(delay);
    d->isRepeating = false;
    event_add(d->handle, &time);
}

void Timer::startRepeating(microseconds period)
{
    d->period = toTimeval(period);
    d->isRepeating = true;
    event_add(d->handle, &d->period);
}

void Timer::stop()
{
    d->isRepeating = false;
    event_del(d->handle);
}

bool Timer::isRunning() const
{
    return event_pending(d->handle, EV_TIMEOUT, nullptr) != 0;
}

} // namespace Parsleytrail
