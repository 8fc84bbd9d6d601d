#pragma once

#include "trial.h"

#include "Rattandeck/timer.h"

#include <functional>
#include <random>

namespace RattandeckProve {

using namespace Rattandeck;

/// True time, chance and the record of what happened: shared by all parts of a trial.
///
/// Thread safety: none; a trial is single-threaded.
struct World {
    explicit World(std::uint64_t seed)
        : random(seed)
    {
    }

    TimePoint now() const { return this->clock.now(); }
    void after(Duration delay, std::function<void()> callback)
    {
        this->clock.subscribeAfter(delay, std::move(callback));
    }
    void record(HistoryFact fact) { this->history.events.push_back({ this->now(), std::move(fact) }); }
    void note(const std::string& line)
    {
        const auto at = std::chrono::duration_cast<Milliseconds>(this->now().time_since_epoch()).count();
        if (this->keepLog)
            this->log.push_back(std::to_string(at) + " ms: " + line);
    }
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : this->random() % bound; }
    bool chance(double probability) { return static_cast<double>(this->below(1000000)) < probability * 1000000; }
    Duration between(Milliseconds low, Milliseconds high)
    {
        const auto span = static_cast<std::uint64_t>(Duration(high - low).count());
        return Duration(low) + Duration(static_cast<std::int64_t>(this->below(span + 1)));
    }

    TimerService clock;
    std::mt19937_64 random;
    History history;
    bool keepLog = false;
    std::vector<std::string> log;
};

}
