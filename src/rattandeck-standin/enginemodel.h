#pragma once

#include "standin.h"

#include "Rattandeck/timer.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace RattandeckStandin {

struct Completion {
    std::string id;
    std::string program;
    std::string prompt;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    /// Smaller runs first.
    double priority = 0;
    std::function<void(const std::string& text, std::int64_t tokens)> onToken;
    std::function<void(std::int64_t output, std::int64_t cached, std::int64_t prefilled)> onDone;
};

struct EngineLoad {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::int64_t cacheUsed = 0;
    std::int64_t cacheCapacity = 0;
};

/// A model engine with continuous batching: in each step every running sequence gets one token, or a share of the
/// step's prefill; steps take longer the more sequences there are. A prefix cache keeps the last text of each program.
///
/// Thread safety: not synchronised; use from the thread that advances `timers`.
class EngineModel {
public:
    /// `onEvicted` is called for each program whose prefix had to make room. Precondition: `timers` outlives this.
    EngineModel(const EngineOptions& options, Rattandeck::TimerService& timers,
        std::function<void(const std::string& program)> onEvicted);
    ~EngineModel();
    EngineModel(const EngineModel&) = delete;
    EngineModel& operator=(const EngineModel&) = delete;

    /// Queues a completion. Returns false when one with this id is queued or running.
    bool start(Completion completion);
    /// Stops a completion; its callbacks are not called any more. Unknown ids are ignored.
    void cancel(const std::string& id);
    /// Frees the memory held for a program that runs nothing.
    void release(const std::string& program);
    /// Frees the prefixes of all programs; running completions go on.
    void releaseAll();
    EngineLoad load() const;

private:
    struct Sequence {
        Completion completion;
        std::uint64_t seed = 0;
        std::int64_t length = 0;
        std::int64_t cached = 0;
        std::int64_t missing = 0;
        std::int64_t generated = 0;
        std::string output;
        /// Prefill tokens planned for the present step.
        std::int64_t planned = 0;
    };
    struct Prefix {
        std::string program;
        std::string text;
        std::int64_t tokens = 0;
    };

    void admit();
    std::list<Prefix>::iterator findPrefix(const std::string& program);
    bool makeRoom(const Completion& completion);
    std::int64_t usedTokens() const;
    Sequence prepare(Completion completion);
    void storePrefix(const std::string& program, std::string text, std::int64_t tokens);
    void beginStep();
    void endStep();
    void advance(Sequence& sequence);

    EngineOptions options;
    Rattandeck::TimerService& timers;
    std::function<void(const std::string&)> onEvicted;
    std::list<Completion> waiting;
    std::list<Sequence> batch;
    /// Least recently used first.
    std::list<Prefix> prefixes;
    std::optional<Rattandeck::TimerId> step;
};

}
