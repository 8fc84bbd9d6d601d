#include "engine.h"

#include <algorithm>
#include <utility>

using namespace Rattandeck;

namespace RattandeckBench {

namespace {
    // Times are rounded to nanoseconds, which leaves remainders. A call whose remaining tokens are below the tolerance
    // is complete.
    constexpr double tokenTolerance = 1e-4;
}

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::max(0.0, seconds))) + Duration(1);
}

Engine::Engine(const EngineModel& engineModel, TimerService& timerService, EvictionRule rule,
    std::function<void(const EngineFinish&)> onFinished)
    : model(engineModel)
    , timers(timerService)
    , evictionRule(std::move(rule))
    , finished(std::move(onFinished))
{
}

// Calls --------------------------------------------------------------------------------------------------------------

bool Engine::start(const EngineCall& call)
{
    if (this->calls.size() >= this->model.maxCalls)
        return false;
    this->advance();
    const std::int64_t needed = call.promptTokens + call.outputTokens;
    const auto held = this->idle.find(call.program);
    const std::int64_t heldNow = held == this->idle.end() ? 0 : held->second.tokens;
    IdlePrefix own;
    if (held != this->idle.end()) {
        // The own prefix is removed before `makeRoom`, which could evict it otherwise.
        own = held->second;
        this->idleTokens -= heldNow;
        this->idle.erase(held);
    }
    if (!this->makeRoom(needed)) {
        if (heldNow > 0) {
            this->idle.emplace(call.program, own);
            this->idleTokens += heldNow;
        }
        return false;
    }
    Call started;
    started.call = call;
    started.cachedTokens = std::min(heldNow, call.promptTokens);
    double importTokens = 0;
    if (const auto found = this->exported.find(call.program); found != this->exported.end()) {
        started.cachedTokens = std::min(found->second, call.promptTokens);
        importTokens = static_cast<double>(started.cachedTokens);
        this->exported.erase(found);
    }
    started.prefillLeft = static_cast<double>(call.promptTokens - started.cachedTokens)
        + importTokens * this->model.prefillTokensPerSecond / this->model.importTokensPerSecond;
    this->runningTokens += needed;
    Call& stored = this->calls.emplace(call.id, started).first->second;
    if (stored.prefillLeft > 0)
        this->prefillQueue.push_back(call.id);
    else
        this->beginDecoding(stored);
    this->schedule();
    return true;
}

void Engine::beginDecoding(Call& call)
{
    call.decoding = true;
    call.decodeStart = toSeconds(this->timers.now().time_since_epoch());
    call.doneAt = this->decodedTokensPerCall + static_cast<double>(call.call.outputTokens);
    this->decoding.emplace(call.doneAt, call.call.id);
}

void Engine::cancel(std::uint64_t id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    this->advance();
    const Call& call = found->second;
    std::erase(this->prefillQueue, id);
    std::erase_if(this->decoding, [id](const auto& entry) { return entry.second == id; });
    this->runningTokens -= call.call.promptTokens + call.call.outputTokens;
    this->calls.erase(found);
    this->schedule();
}

void Engine::finish(std::uint64_t id)
{
    const auto found = this->calls.find(id);
    const Call call = found->second;
    const double now = toSeconds(this->timers.now().time_since_epoch());
    const std::int64_t tokens = call.call.promptTokens + call.call.outputTokens;
    this->runningTokens -= tokens;
    this->calls.erase(found);
    this->idle[call.call.program] = { tokens, now, 0 };
    this->idleTokens += tokens;
    const double perToken = (now - call.decodeStart) / static_cast<double>(call.call.outputTokens);
    this->finished({ id, call.cachedTokens, perToken });
}

void Engine::crash()
{
    this->advance();
    this->calls.clear();
    this->prefillQueue.clear();
    this->decoding.clear();
    while (!this->idle.empty())
        this->dropIdle(this->idle.begin());
    this->exported.clear();
    this->runningTokens = 0;
    this->schedule();
}

void Engine::setSlowness(double value)
{
    this->advance();
    this->slowness = value;
    this->schedule();
}

// Memory -------------------------------------------------------------------------------------------------------------

bool Engine::makeRoom(std::int64_t needed)
{
    if (this->runningTokens + needed > this->model.memoryTokens)
        return false;
    const double now = toSeconds(this->timers.now().time_since_epoch());
    while (this->runningTokens + this->idleTokens + needed > this->model.memoryTokens) {
        auto lowest = this->idle.begin();
        double lowestValue = this->evictionRule(lowest->second, now);
        for (auto it = std::next(lowest); it != this->idle.end(); ++it) {
            const double value = this->evictionRule(it->second, now);
            if (value >= lowestValue)
                continue;
            lowest = it;
            lowestValue = value;
        }
        ++this->counted.evictions;
        this->dropIdle(lowest);
    }
    return true;
}

void Engine::dropIdle(std::map<std::uint32_t, IdlePrefix>::iterator prefix)
{
    const double now = toSeconds(this->timers.now().time_since_epoch());
    const IdlePrefix& droppedPrefix = prefix->second;
    this->counted.unusedTokenSeconds += static_cast<double>(droppedPrefix.tokens) * (now - droppedPrefix.idleSince);
    this->idleTokens -= droppedPrefix.tokens;
    this->dropped.push_back(prefix->first);
    this->idle.erase(prefix);
}

void Engine::setPause(std::uint32_t program, double expectedSeconds)
{
    if (const auto found = this->idle.find(program); found != this->idle.end())
        found->second.expectedPauseSeconds = expectedSeconds;
}

void Engine::drop(std::uint32_t program)
{
    this->exported.erase(program);
    if (const auto found = this->idle.find(program); found != this->idle.end())
        this->dropIdle(found);
}

void Engine::exportPrefix(std::uint32_t program)
{
    const auto found = this->idle.find(program);
    if (found == this->idle.end())
        return;
    this->exported[program] = found->second.tokens;
    this->idleTokens -= found->second.tokens;
    this->idle.erase(found);
}

void Engine::countRemainingPrefixes()
{
    while (!this->idle.empty())
        this->dropIdle(this->idle.begin());
}

std::int64_t Engine::heldTokens(std::uint32_t program) const
{
    if (const auto found = this->exported.find(program); found != this->exported.end())
        return found->second;
    const auto found = this->idle.find(program);
    return found == this->idle.end() ? 0 : found->second.tokens;
}

// Progress -----------------------------------------------------------------------------------------------------------

double Engine::iterationSeconds() const
{
    double seconds
        = this->model.stepSeconds + this->model.stepSecondsPerCall * static_cast<double>(this->decoding.size());
    if (!this->prefillQueue.empty())
        seconds += this->model.chunkTokens / this->model.prefillTokensPerSecond;
    return seconds * this->slowness;
}

void Engine::advance()
{
    const double now = toSeconds(this->timers.now().time_since_epoch());
    const double iterations = (now - this->lastAdvance) / this->iterationSeconds();
    this->lastAdvance = now;
    if (!this->decoding.empty())
        this->decodedTokensPerCall += iterations;
    if (!this->prefillQueue.empty())
        this->calls[this->prefillQueue.front()].prefillLeft -= iterations * this->model.chunkTokens;
}

void Engine::schedule()
{
    this->timers.cancel(this->timer);
    std::optional<double> iterations;
    if (!this->decoding.empty())
        iterations = this->decoding.begin()->first - this->decodedTokensPerCall;
    if (!this->prefillQueue.empty()) {
        const double left = this->calls[this->prefillQueue.front()].prefillLeft / this->model.chunkTokens;
        iterations = iterations ? std::min(*iterations, left) : left;
    }
    if (iterations)
        this->timer = this->timers.subscribeAfter(
            fromSeconds(*iterations * this->iterationSeconds()), [this] { this->onEvent(); });
}

void Engine::onEvent()
{
    this->advance();
    if (!this->prefillQueue.empty()) {
        Call& head = this->calls[this->prefillQueue.front()];
        if (head.prefillLeft < tokenTolerance) {
            this->prefillQueue.erase(this->prefillQueue.begin());
            this->beginDecoding(head);
        }
    }
    std::vector<std::uint64_t> done;
    while (!this->decoding.empty() && this->decoding.begin()->first - this->decodedTokensPerCall < tokenTolerance) {
        done.push_back(this->decoding.begin()->second);
        this->decoding.erase(this->decoding.begin());
    }
    for (const std::uint64_t id : done)
        this->finish(id);
    this->schedule();
}

}
