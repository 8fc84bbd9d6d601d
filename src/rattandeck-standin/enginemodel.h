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
    /// Completions with a smaller value run first.
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

/// A model engine with continuous batching. In each step, every running sequence either generates one token or prefills
/// part of its prompt. The duration of a step grows with the number of sequences. The prefix cache holds the last text
/// of each program.
///
/// Thread safety: not synchronised; use from the thread that advances `timers`.
class EngineModel {
public:
    /// `onEvicted` is called for each program whose prefix is evicted for lack of memory. Precondition: `timers`
    /// outlives this object.
    EngineModel(const EngineOptions& options, Rattandeck::TimerService& timers,
        std::function<void(const std::string& program)> onEvicted);
    ~EngineModel();
    EngineModel(const EngineModel&) = delete;
    EngineModel& operator=(const EngineModel&) = delete;

    /// Queues a completion. Returns false when a completion with the same id is queued or running.
    bool start(Completion completion);
    /// Stops a completion. Its callbacks are not called after this. Unknown ids are ignored.
    void cancel(const std::string& id);
    /// Frees the cached prefix of a program. Completions of the program that are running continue.
    void release(const std::string& program);
    /// Frees the cached prefixes of all programs. Running completions continue.
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
        /// Prefill tokens planned for the current step.
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
