#include "enginemodel.h"

#include "modeltext.h"

#include <algorithm>
#include <cstdlib>

namespace RattandeckStandin {

/// Duration of one step at speed 1: fixed part, part for each sequence, and prefill rate.
constexpr double baseStepSeconds = 0.020;
constexpr double secondsPerSequence = 0.0007;
constexpr double prefillTokensPerSecond = 6000;
/// Maximum number of prefill tokens in one step. The limit bounds the time for which prefills delay the running
/// sequences.
constexpr std::int64_t maxPrefillTokensPerStep = 1024;
/// A prompt that contains this text aborts the process.
constexpr std::string_view crashMarker = "crash-me";

EngineModel::EngineModel(const EngineOptions& options, Rattandeck::TimerService& timers,
    std::function<void(const std::string& program)> onEvicted)
    : options(options)
    , timers(timers)
    , onEvicted(std::move(onEvicted))
{
}

EngineModel::~EngineModel()
{
    if (this->step)
        this->timers.cancel(*this->step);
}

// Requests -------------------------------------------------------------------------------------------------------

bool EngineModel::start(Completion completion)
{
    const auto isSame = [&](const Completion& other) { return other.id == completion.id; };
    const bool isKnown = std::any_of(this->waiting.begin(), this->waiting.end(), isSame)
        || std::any_of(this->batch.begin(), this->batch.end(),
            [&](const Sequence& sequence) { return isSame(sequence.completion); });
    if (isKnown)
        return false;
    const auto later = std::find_if(this->waiting.begin(), this->waiting.end(),
        [&](const Completion& other) { return other.priority > completion.priority; });
    this->waiting.insert(later, std::move(completion));
    if (!this->step)
        this->beginStep();
    return true;
}

void EngineModel::cancel(const std::string& id)
{
    this->waiting.remove_if([&](const Completion& completion) { return completion.id == id; });
    const auto found = std::find_if(
        this->batch.begin(), this->batch.end(), [&](const Sequence& sequence) { return sequence.completion.id == id; });
    if (found == this->batch.end())
        return;
    // The computed prefix stays in the cache until it is evicted.
    const Completion& completion = found->completion;
    if (found->missing == 0)
        this->storePrefix(completion.program, completion.prompt, completion.promptTokens);
    this->batch.erase(found);
}

void EngineModel::release(const std::string& program)
{
    this->prefixes.remove_if([&](const Prefix& prefix) { return prefix.program == program; });
}

void EngineModel::releaseAll() { this->prefixes.clear(); }

EngineLoad EngineModel::load() const
{
    return { this->batch.size(), this->waiting.size(), this->usedTokens(), this->options.cacheTokens };
}

// Cache ----------------------------------------------------------------------------------------------------------

std::int64_t EngineModel::usedTokens() const
{
    std::int64_t used = 0;
    for (const Prefix& prefix : this->prefixes)
        used += prefix.tokens;
    for (const Sequence& sequence : this->batch)
        used += sequence.completion.promptTokens + sequence.length;
    return used;
}

std::list<EngineModel::Prefix>::iterator EngineModel::findPrefix(const std::string& program)
{
    return std::find_if(
        this->prefixes.begin(), this->prefixes.end(), [&](const Prefix& prefix) { return prefix.program == program; });
}

bool EngineModel::makeRoom(const Completion& completion)
{
    // The sequence replaces the prefix of its own program, so this prefix moves to the end of the eviction order.
    const auto own = this->findPrefix(completion.program);
    std::int64_t needed = this->usedTokens() + completion.promptTokens + completion.maxTokens;
    if (own != this->prefixes.end()) {
        needed -= own->tokens;
        this->prefixes.splice(this->prefixes.end(), this->prefixes, own);
    }
    while (needed > this->options.cacheTokens && !this->prefixes.empty() && this->prefixes.begin() != own) {
        const Prefix evicted = std::move(this->prefixes.front());
        this->prefixes.pop_front();
        needed -= evicted.tokens;
        this->onEvicted(evicted.program);
    }
    return needed <= this->options.cacheTokens;
}

void EngineModel::storePrefix(const std::string& program, std::string text, std::int64_t tokens)
{
    this->release(program);
    this->prefixes.push_back({ program, std::move(text), tokens });
}

// Batch ----------------------------------------------------------------------------------------------------------

EngineModel::Sequence EngineModel::prepare(Completion completion)
{
    Sequence sequence;
    sequence.seed = textSeed(completion.program, completion.prompt);
    sequence.length = answerLength(sequence.seed, completion.maxTokens);
    const auto held = this->findPrefix(completion.program);
    if (held != this->prefixes.end()) {
        // The prefix is removed from the cache while the sequence uses it, so that it can't be evicted.
        if (completion.prompt.starts_with(held->text))
            sequence.cached = std::min(held->tokens, completion.promptTokens);
        this->prefixes.erase(held);
    }
    sequence.missing = completion.promptTokens - sequence.cached;
    sequence.completion = std::move(completion);
    return sequence;
}

void EngineModel::admit()
{
    while (!this->waiting.empty() && this->batch.size() < this->options.maxBatch) {
        // A completion that is larger than the memory of the engine runs alone.
        if (!this->makeRoom(this->waiting.front()) && !this->batch.empty())
            return;
        if (this->waiting.front().prompt.find(crashMarker) != std::string::npos)
            std::abort();
        this->batch.push_back(this->prepare(std::move(this->waiting.front())));
        this->waiting.pop_front();
    }
}

void EngineModel::beginStep()
{
    this->admit();
    this->step.reset();
    if (this->batch.empty())
        return;
    std::int64_t prefill = 0;
    for (Sequence& sequence : this->batch) {
        sequence.planned = std::min(sequence.missing, maxPrefillTokensPerStep - prefill);
        prefill += sequence.planned;
    }
    const double seconds = baseStepSeconds + secondsPerSequence * static_cast<double>(this->batch.size())
        + static_cast<double>(prefill) / prefillTokensPerSecond;
    const std::chrono::duration<double> scaled(seconds / this->options.speed);
    this->step = this->timers.subscribeAfter(
        std::chrono::duration_cast<Rattandeck::Duration>(scaled), [this] { this->endStep(); });
}

void EngineModel::advance(Sequence& sequence)
{
    if (sequence.missing > 0) {
        sequence.missing -= sequence.planned;
        return;
    }
    if (sequence.generated >= sequence.length)
        return;
    const std::string token = tokenAt(sequence.seed, static_cast<std::uint64_t>(sequence.generated));
    ++sequence.generated;
    sequence.output += token;
    sequence.completion.onToken(token, 1);
}

void EngineModel::endStep()
{
    for (auto sequence = this->batch.begin(); sequence != this->batch.end();) {
        this->advance(*sequence);
        const bool isDone = sequence->missing == 0 && sequence->generated >= sequence->length;
        if (!isDone) {
            ++sequence;
            continue;
        }
        const Completion& completion = sequence->completion;
        const std::int64_t prefilled = completion.promptTokens - sequence->cached;
        completion.onDone(sequence->length, sequence->cached, prefilled);
        this->storePrefix(
            completion.program, completion.prompt + sequence->output, completion.promptTokens + sequence->length);
        sequence = this->batch.erase(sequence);
    }
    this->beginStep();
}

}
