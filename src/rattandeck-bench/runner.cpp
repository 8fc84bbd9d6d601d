#include "runner.h"

#include "Rattandeck/cachepolicy.h"

#include <algorithm>

using namespace Rattandeck;

namespace RattandeckBench {

namespace {

    // Maximum number of calls that wait at a sidecar; see `SidecarSettings::queueLimit`.
    constexpr double queueLimit = 64;
    double secondsOf(TimePoint time) { return toSeconds(time.time_since_epoch()); }

    PausedPrefix pausedPrefix(const EngineModel& model, std::int64_t tokens, double pauseSeconds)
    {
        PausedPrefix prefix;
        prefix.tokens = TokenCount(tokens);
        prefix.expectedPause = fromSeconds(pauseSeconds);
        prefix.rebuildTime = fromSeconds(static_cast<double>(tokens) / model.prefillTokensPerSecond);
        return prefix;
    }

    EvictionRule evictionRule(const EngineModel& model, const TrialPolicy& policy)
    {
        if (!policy.evictByValue)
            return [](const IdlePrefix& prefix, double /*now*/) { return prefix.idleSince; };
        return [&model](const IdlePrefix& prefix, double now) {
            // A pause that lasts longer than expected is likely to last as long again, so the remaining time is
            // assumed to be at least the time that has passed.
            const double idle = now - prefix.idleSince;
            const double left = std::max(prefix.expectedPauseSeconds - idle, idle);
            return evictionValue(pausedPrefix(model, prefix.tokens, left));
        };
    }

}

Runner::Runner(const EngineModel& engineModel, const TrialPolicy& trialPolicy, TimerService& timerService,
    RunnerEvents runnerEvents)
    : model(engineModel)
    , policy(trialPolicy)
    , timers(timerService)
    , events(std::move(runnerEvents))
    , engineState(engineModel, timerService, evictionRule(engineModel, trialPolicy),
          [this](const EngineFinish& finish) { this->onFinished(finish); })
{
    if (!this->policy.adaptiveLimit)
        this->concurrency.limit = this->model.maxCalls;
}

void Runner::arrive(RunnerCall call)
{
    if (!this->alive)
        return;
    call.arrivedAt = secondsOf(this->timers.now());
    this->accounted[call.entry] = std::max(this->accounted[call.entry], call.id);
    // The prefix is needed as soon as the call starts, so its remaining pause is 0.
    this->engineState.setPause(call.program, 0);
    this->queue.push_back(call);
    this->startQueuedCalls();
}

std::size_t Runner::nextInQueue() const
{
    if (!this->policy.programOrder)
        return 0;
    const double now = secondsOf(this->timers.now());
    std::vector<QueuedCall> waiting;
    waiting.reserve(this->queue.size());
    for (const RunnerCall& call : this->queue) {
        const Duration waited = fromSeconds(now - call.arrivedAt);
        waiting.push_back({ call.priority, waited, {}, TokenCount(call.promptTokens + call.outputTokens) });
    }
    return *nextCall(waiting, {});
}

void Runner::startQueuedCalls()
{
    // A call that ends within `start` calls this function recursively.
    if (this->isStartingCalls || !this->alive)
        return;
    this->isStartingCalls = true;
    const auto room = [this] { return static_cast<double>(this->engineState.running()) < this->concurrency.limit; };
    while (!this->queue.empty() && room()) {
        const std::size_t index = this->nextInQueue();
        const RunnerCall call = this->queue[index];
        if (call.crashesEngine) {
            this->isStartingCalls = false;
            this->crash();
            this->events.crashed();
            return;
        }
        if (!this->engineState.start({ call.id, call.program, call.promptTokens, call.outputTokens })) {
            if (this->policy.adaptiveLimit)
                this->concurrency
                    = limitAfterRejection(this->concurrency, static_cast<std::uint32_t>(this->engineState.running()));
            break;
        }
        this->running.emplace(call.id, call);
        this->queue.erase(this->queue.begin() + static_cast<std::ptrdiff_t>(index));
    }
    this->isStartingCalls = false;
}

void Runner::onFinished(const EngineFinish& finish)
{
    const auto found = this->running.find(finish.id);
    const RunnerCall call = found->second;
    this->running.erase(found);
    const auto together = static_cast<std::uint32_t>(this->running.size() + 1);
    ConcurrencyLimit after = limitAfterCall(this->concurrency, finish.secondsPerToken, together);
    if (!this->policy.adaptiveLimit)
        after.limit = this->concurrency.limit;
    this->concurrency = after;
    this->events.finished(call, finish);
    this->startQueuedCalls();
}

void Runner::cancel(std::uint64_t id)
{
    std::erase_if(this->queue, [id](const RunnerCall& call) { return call.id == id; });
    if (this->running.erase(id) == 0)
        return;
    this->engineState.cancel(id);
    this->startQueuedCalls();
}

void Runner::crash()
{
    this->alive = false;
    this->queue.clear();
    this->running.clear();
    this->engineState.crash();
}

void Runner::pause(std::uint32_t program, double expectedSeconds)
{
    this->engineState.setPause(program, expectedSeconds);
}

std::uint32_t Runner::outstandingCalls() const
{
    return static_cast<std::uint32_t>(this->engineState.running() + this->queue.size());
}

LoadReport Runner::report(std::uint32_t entry)
{
    LoadReport report;
    report.sequence = ++this->reports;
    report.running = static_cast<std::uint32_t>(this->engineState.running());
    report.waiting = static_cast<std::uint32_t>(this->queue.size());
    report.limit = static_cast<std::uint32_t>(this->concurrency.limit);
    std::int64_t waiting = 0;
    for (const RunnerCall& call : this->queue)
        waiting += call.promptTokens + call.outputTokens;
    report.waitingTokens = TokenCount(waiting);
    const double perToken = this->concurrency.currentSeconds;
    report.decodeTokensPerSecond = perToken > 0 ? 1 / perToken : 0;
    report.prefillTokensPerSecond = this->model.prefillTokensPerSecond / this->engineState.currentSlowness();
    report.cacheCapacity = TokenCount(this->model.memoryTokens);
    report.cacheUsed = TokenCount(this->engineState.usedTokens());
    report.accountedOrder = OrderId(this->accounted[entry]);
    const double room = this->concurrency.limit + queueLimit - this->outstandingCalls();
    report.credits.count = static_cast<std::uint32_t>(std::max(0.0, room) / entryCount);
    return report;
}

}
