// The one loop of a process, and timers on it.
//
// Everything in a process runs on this loop's thread; nothing here is safe to call from another thread.
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
    /// Runs callbacks until `done` returns true or `limit` has passed; returns done(). For tests and tools.
    bool runUntil(const std::function<bool()> &done, milliseconds limit);
    /// Ends run() after the current callback.
    void stop();
    /// Runs `work` once, soon, outside the current call stack.
    void defer(std::function<void()> work);
    /// Calls `handler` when the process gets the signal. Lasts as long as the loop.
    void onSignal(int signal, std::function<void()> handler);
    /// libevent's base, for modules that register their own events.
    event_base *base() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Calls a function later, once or again and again. Destroying it cancels the call.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> handler);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Calls once after `delay`; replaces an earlier start.
    void start(microseconds delay);
    /// Calls every `period`.
    void startRepeating(microseconds period);
    void stop();
    bool isRunning() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
