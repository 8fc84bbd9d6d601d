#pragma once

#include "librattandeckprove/chance.h"
#include "trial.h"

#include "Rattandeck/digest.h"
#include "Rattandeck/timer.h"

#include <functional>

namespace RattandeckProve {

using namespace Rattandeck;

/// True time and the record of what happened: shared by all parts of a trial.
///
/// Thread safety: none; a trial is single-threaded.
struct World {
    explicit World(std::uint64_t initial)
        : seed(initial)
    {
    }

    /// Chance for one part: a fault less in one part must not change what happens in the others.
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
