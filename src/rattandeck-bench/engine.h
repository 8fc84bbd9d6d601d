#pragma once

#include "Rattandeck/timer.h"
#include "workload.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace RattandeckBench {

double toSeconds(Rattandeck::Duration duration);
Rattandeck::Duration fromSeconds(double seconds);

struct EngineCall {
    std::uint64_t id = 0;
    std::uint32_t program = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
};

struct EngineFinish {
    std::uint64_t id = 0;
    std::int64_t cachedTokens = 0;
    double secondsPerToken = 0;
};

/// Cached prefix of a program that has no running call.
struct IdlePrefix {
    std::int64_t tokens = 0;
    double idleSince = 0;
    double expectedPauseSeconds = 0;
};

struct EngineCounters {
    /// Sum over the prefixes that were dropped unused: tokens times the seconds for which they were held.
    double unusedTokenSeconds = 0;
    std::uint64_t evictions = 0;
};

/// Returns the value of an idle prefix. The prefix with the lowest value is evicted first.
using EvictionRule = std::function<double(const IdlePrefix&, double now)>;

/// One engine with continuous batching: each iteration generates one token for every decoding call and prefills one
/// chunk of the oldest prompt. Between events, progress is modelled as continuous (fluid model).
class Engine {
public:
    Engine(const EngineModel& model, Rattandeck::TimerService& timers, EvictionRule evictionRule,
        std::function<void(const EngineFinish&)> finished);

    /// Starts a call and evicts idle prefixes as needed. Returns false when the memory or the batch is full.
    bool start(const EngineCall& call);
    void cancel(std::uint64_t id);
    /// Drops all calls and prefixes.
    void crash();
    /// Factor on the duration of each iteration; 1 is the nominal speed.
    void setSlowness(double slowness);
    void setPause(std::uint32_t program, double expectedSeconds);
    void drop(std::uint32_t program);
    /// Moves an idle prefix to host memory. The next call of the program imports it.
    void exportPrefix(std::uint32_t program);
    /// Drops the prefixes that are still idle and counts them as unused.
    void countRemainingPrefixes();

    double currentSlowness() const { return this->slowness; }
    std::size_t running() const { return this->calls.size(); }
    std::int64_t usedTokens() const { return this->runningTokens + this->idleTokens; }
    std::int64_t heldTokens(std::uint32_t program) const;
    /// Returns the programs whose prefix was dropped since the last call of this function.
    std::vector<std::uint32_t> takeDropped() { return std::exchange(this->dropped, {}); }
    const EngineCounters& counters() const { return this->counted; }

private:
    struct Call {
        EngineCall call;
        std::int64_t cachedTokens = 0;
        double prefillLeft = 0;
        bool decoding = false;
        double decodeStart = 0;
        /// Value of `decodedTokensPerCall` at which the call is complete.
        double doneAt = 0;
    };

    bool makeRoom(std::int64_t needed);
    void dropIdle(std::map<std::uint32_t, IdlePrefix>::iterator prefix);
    void advance();
    void schedule();
    void onEvent();
    void beginDecoding(Call& call);
    void finish(std::uint64_t id);
    double iterationSeconds() const;

    const EngineModel& model;
    Rattandeck::TimerService& timers;
    EvictionRule evictionRule;
    std::function<void(const EngineFinish&)> finished;
    std::unordered_map<std::uint64_t, Call> calls;
    std::vector<std::uint64_t> prefillQueue;
    /// Decoding calls, by the value of `decodedTokensPerCall` at which they are complete.
    std::multimap<double, std::uint64_t> decoding;
    std::map<std::uint32_t, IdlePrefix> idle;
    std::unordered_map<std::uint32_t, std::int64_t> exported;
    std::vector<std::uint32_t> dropped;
    std::int64_t runningTokens = 0;
    std::int64_t idleTokens = 0;
    double decodedTokensPerCall = 0;
    double lastAdvance = 0;
    double slowness = 1;
    Rattandeck::TimerId timer;
    EngineCounters counted;
};

}
