#pragma once

#include "Rattandeck/timer.h"

#include <exception>
#include <functional>
#include <memory>

namespace RattandeckNet {

/// Single-threaded event loop for sockets, signals and a `TimerService`. The timers follow a clock that also advances
/// while the machine is suspended. All handlers of this library run on the thread that calls `run`.
///
/// Thread safety: `post` and `stop` from any thread, the rest from the loop's thread (or before `run`).
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    Rattandeck::TimerService& timers();
    /// Sets the time of the timers to the present, for a handler that may have been suspended since it was called.
    void refreshTime();

    /// Queues `task` for the loop; it never runs within this call.
    void post(std::function<void()> task);
    /// Calls `handler` on the loop each time the process receives the signal `signalNumber`.
    void onSignal(int signalNumber, std::function<void()> handler);

    /// Sets a function that is told of exceptions that leave handlers and timers; the loop goes on after it. Without
    /// one they leave `run`. Precondition: the loop doesn't run yet.
    void onHandlerError(std::function<void(const std::exception&)> handler);

    /// Runs handlers until `stop` is called.
    void run();
    void stop();

    struct Impl;
    /// For use within this library only.
    Impl& internals();

private:
    std::unique_ptr<Impl> impl;
};

}
