#pragma once

#include "Rattandeck/types.h"

#include <functional>
#include <memory>
#include <optional>

namespace Rattandeck {

/// Handle of one subscription. 0 names none.
using TimerId = Strong<struct TimerIdTag, std::uint64_t>;

/// Tells the time and calls subscribers when theirs has come. It has no clock: whoever drives it (the event loop, or a
/// test under virtual time) advances it, so the same code runs in production and in a simulated hour.
///
/// Thread safety: not synchronised; use from the thread that advances it.
class TimerService {
public:
    TimerService();
    ~TimerService();
    TimerService(const TimerService&) = delete;
    TimerService& operator=(const TimerService&) = delete;

    /// The time given to the last `advanceTo`.
    TimePoint now() const;

    /// Calls `callback` once, from `advanceTo`, when `when` has come. Subscribers of the same instant are called in the
    /// order of their subscription. A `when` in the past is due at the next `advanceTo`.
    TimerId subscribeAt(TimePoint when, std::function<void()> callback);
    /// As `subscribeAt(now() + delay)`.
    TimerId subscribeAfter(Duration delay, std::function<void()> callback);
    /// Forgets a subscription. Unknown and already called ids are ignored.
    void cancel(TimerId id);

    /// When the next subscriber is due, or nothing.
    std::optional<TimePoint> nextDue() const;

    /// Moves time forward and calls everyone who is due, in order of time; `now()` is each subscriber's own instant
    /// while it runs. A `time` before `now()` is ignored.
    void advanceTo(TimePoint time);

    /// Sets the time without calling anyone: for a thread that was paused and must see the true time before it acts.
    void updateNow(TimePoint time);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
