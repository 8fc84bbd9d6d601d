#pragma once

#include "Rattandeck/timer.h"

#include <functional>
#include <memory>

namespace RattandeckNet {

/// One thread's loop over sockets, signals and a `TimerService` that it advances on a clock that runs through
/// suspension. Everything in this library runs on the thread that calls `run`.
///
/// Thread safety: `post` and `stop` from any thread, the rest from the loop's thread (or before `run`).
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    Rattandeck::TimerService& timers();

    /// Runs `task` soon, never from within this call.
    void post(std::function<void()> task);
    /// Calls `handler` on the loop each time the process gets `signalNumber`.
    void onSignal(int signalNumber, std::function<void()> handler);

    /// Returns after `stop`.
    void run();
    void stop();

    struct Impl;
    /// For the other parts of this library.
    Impl& internals();

private:
    std::unique_ptr<Impl> impl;
};

}
