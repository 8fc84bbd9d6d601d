#pragma once

#include "librattandeckprove/chance.h"
#include "trial.h"

#include "Rattandeck/digest.h"
#include "Rattandeck/timer.h"

#include <functional>

namespace RattandeckProve {

using namespace Rattandeck;

/// The simulated time and the recorded history, shared by all components of a trial.
///
/// Not thread-safe; a trial is single-threaded.
struct World {
    explicit World(std::uint64_t initial)
        : seed(initial)
    {
    }

    /// Returns a random generator for one component. Each component has its own, so that removing a fault that concerns
    /// one component does not change the random choices of the others.
    Chance chanceFor(std::uint64_t part) const { return Chance(hash64(std::to_string(part), this->seed)); }

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
    TimerService clock;
    std::uint64_t seed = 0;
    History history;
    bool keepLog = false;
    std::vector<std::string> log;
};

}
