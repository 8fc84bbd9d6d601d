#pragma once

#include "Rattandeck/types.h"

#include <functional>
#include <memory>
#include <optional>

namespace Rattandeck {

/// Handle of a scheduled callback; 0 if there is none.
using TimerId = Strong<struct TimerIdTag, std::uint64_t>;

/// Provides the current time and runs scheduled callbacks. It reads no clock of its own: the event loop, or a test with
/// virtual time, advances it, so that the same code runs in production and under simulation.
///
/// Thread safety: not synchronised; use from the thread that advances it.
class TimerService {
public:
    TimerService();
    ~TimerService();
    TimerService(const TimerService&) = delete;
    TimerService& operator=(const TimerService&) = delete;

    /// The time set by the last `advanceTo` or `updateNow`.
    TimePoint now() const;
    /// While `advanceTo` runs callbacks, the time that it advances to: those that are long overdue show by it that the
    /// process was paused. Otherwise the same as `now()`.
    TimePoint target() const;

    /// Runs `callback` once, from `advanceTo`, when the time `when` is reached. Callbacks of the same instant run in
    /// the order in which they were scheduled. A `when` in the past is due at the next `advanceTo`.
    TimerId subscribeAt(TimePoint when, std::function<void()> callback);
    /// Same as `subscribeAt(now() + delay, callback)`.
    TimerId subscribeAfter(Duration delay, std::function<void()> callback);
    /// Cancels a scheduled callback. Unknown ids, and ids of callbacks that have run, are ignored.
    void cancel(TimerId id);

    /// Time of the next scheduled callback, or nothing.
    std::optional<TimePoint> nextDue() const;

    /// Advances the time and runs all callbacks that are due, in order of time. While a callback runs, `now()` is the
    /// time for which it was scheduled. A `time` before `now()` is ignored.
    void advanceTo(TimePoint time);

    /// Advances the time without running callbacks: for a thread that was suspended and needs the actual time before it
    /// continues.
    void updateNow(TimePoint time);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
