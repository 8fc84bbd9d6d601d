#pragma once

#include "engine.h"
#include "Rattandeck/limits.h"
#include "Rattandeck/messages.h"
#include "trial.h"

#include <array>

namespace RattandeckBench {

/// A call that an entry sends to a runner.
struct RunnerCall {
    /// Also serves as the order id.
    std::uint64_t id = 0;
    std::uint32_t program = 0;
    std::uint32_t entry = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    double priority = 0;
    double arrivedAt = 0;
    bool crashesEngine = false;
};

struct RunnerEvents {
    std::function<void(const RunnerCall&, const EngineFinish&)> finished;
    std::function<void()> crashed;
};

/// An engine together with the policy of its sidecar: queue, order, concurrency limit, eviction and credits.
class Runner {
public:
    Runner(const EngineModel& model, const TrialPolicy& policy, Rattandeck::TimerService& timers, RunnerEvents events);

    void arrive(RunnerCall call);
    void cancel(std::uint64_t id);
    /// Drops all calls and prefixes. Calls that arrive before `restart` are ignored.
    void crash();
    void restart() { this->alive = true; }
    bool isAlive() const { return this->alive; }
    /// The program pauses. `expectedSeconds` is the duration that its home expects.
    void pause(std::uint32_t program, double expectedSeconds);

    Rattandeck::LoadReport report(std::uint32_t entry);
    /// Number of running and waiting calls.
    std::uint32_t outstandingCalls() const;
    double limit() const { return this->concurrency.limit; }
    Engine& engine() { return this->engineState; }

private:
    void startQueuedCalls();
    std::size_t nextInQueue() const;
    void onFinished(const EngineFinish& finish);

    const EngineModel& model;
    const TrialPolicy& policy;
    Rattandeck::TimerService& timers;
    RunnerEvents events;
    Engine engineState;
    Rattandeck::ConcurrencyLimit concurrency;
    std::vector<RunnerCall> queue;
    std::unordered_map<std::uint64_t, RunnerCall> running;
    std::array<std::uint64_t, entryCount> accounted {};
    std::uint64_t reports = 0;
    bool alive = true;
    bool isStartingCalls = false;
};

}
