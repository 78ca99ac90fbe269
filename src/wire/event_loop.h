// Event loop and timers, over libevent.
//
// A process has one loop and runs everything on its thread; nothing here is safe to call from another thread.
#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

struct event_base;

namespace Parsleytrail
{

/// Runs callbacks for sockets, timers and signals.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop().
    void run();
    /// Runs callbacks until `done` returns true or `limit` has passed; returns the last result of `done`. For tests and tools.
    bool runUntil(const std::function<bool()> &done, milliseconds limit);
    /// Ends run() after the current callback.
    void stop();
    /// Runs `work` once, from the loop, after the current callback has returned.
    void defer(std::function<void()> work);
    /// Calls `handler` from the loop each time the process receives the signal, for as long as the loop exists.
    void onSignal(int signal, std::function<void()> handler);
    /// libevent's base, for modules that register their own events.
    event_base *base() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// One-shot or repeating timer. Destroying it cancels the pending call.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> handler);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Calls the handler once after `delay`; replaces an earlier start.
    void start(microseconds delay);
    /// Calls the handler every `period`.
    void startRepeating(microseconds period);
    void stop();
    bool isRunning() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
