#include "Rattandeck/timer.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace Rattandeck {

struct TimerService::Impl {
    // Callbacks of the same instant are ordered by id, which is the order in which they were scheduled.
    using Key = std::pair<TimePoint, TimerId>;

    TimePoint now {};
    TimePoint target {};
    std::uint64_t lastId = 0;
    std::map<Key, std::function<void()>> callbacks;
    std::unordered_map<TimerId, TimePoint> dueTimes;
};

TimerService::TimerService()
    : impl(std::make_unique<Impl>())
{
}

TimerService::~TimerService() = default;

TimePoint TimerService::now() const { return this->impl->now; }

TimePoint TimerService::target() const { return std::max(this->impl->now, this->impl->target); }

TimerId TimerService::subscribeAt(TimePoint when, std::function<void()> callback)
{
    const TimerId id { ++this->impl->lastId };
    this->impl->callbacks.emplace(Impl::Key { when, id }, std::move(callback));
    this->impl->dueTimes.emplace(id, when);
    return id;
}

TimerId TimerService::subscribeAfter(Duration delay, std::function<void()> callback)
{
    return this->subscribeAt(this->impl->now + delay, std::move(callback));
}

void TimerService::cancel(TimerId id)
{
    const auto found = this->impl->dueTimes.find(id);
    if (found == this->impl->dueTimes.end())
        return;
    this->impl->callbacks.erase({ found->second, id });
    this->impl->dueTimes.erase(found);
}

std::optional<TimePoint> TimerService::nextDue() const
{
    if (this->impl->callbacks.empty())
        return std::nullopt;
    return this->impl->callbacks.begin()->first.first;
}

void TimerService::advanceTo(TimePoint time)
{
    this->impl->target = std::max(this->impl->target, time);
    while (!this->impl->callbacks.empty()) {
        const auto first = this->impl->callbacks.begin();
        const auto [due, id] = first->first;
        if (due > time)
            break;
        const auto callback = std::move(first->second);
        this->impl->callbacks.erase(first);
        this->impl->dueTimes.erase(id);
        this->impl->now = std::max(this->impl->now, due);
        callback();
    }
    this->impl->now = std::max(this->impl->now, time);
}

void TimerService::updateNow(TimePoint time) { this->impl->now = std::max(this->impl->now, time); }

}
