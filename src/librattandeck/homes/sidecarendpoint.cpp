#include "sidecarimpl.h"

#include "Rattandeck/cachepolicy.h"
#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Weight of a new measurement in the moving averages.
    constexpr double measurementWeight = 0.2;
    // Limit on remembered fingerprints of crashing requests. Homes keep further ones in quarantine objects.
    constexpr std::size_t maxCrashFingerprints = 4096;
    // Longest pause that a home can announce for a prefix, as a multiple of the prefix lease.
    constexpr int maxPauseLeases = 5;

    void updateMovingAverage(double& average, double sample)
    {
        average = average > 0 ? average + measurementWeight * (sample - average) : sample;
    }

}

// Events -----------------------------------------------------------------------------------------------------------

void SidecarCore::Impl::onTokens(OrderId id, const std::string& text, TokenCount tokens)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || !found->second.running)
        return;
    SidecarCall& call = found->second;
    if (!call.firstTokens)
        call.firstTokens = this->now();
    const auto part = static_cast<std::uint32_t>(call.parts.size());
    call.text += text;
    call.textTokens.value += tokens.value;
    call.parts.push_back({ call.text.size(), tokens });
    for (const Subscriber& subscriber : call.subscribers) {
        if (subscriber.streams && this->isReachable(subscriber))
            this->sendTo(subscriber.node, OrderTokens { subscriber.order, part, text, tokens });
    }
}

void SidecarCore::Impl::onFinished(OrderId id, const EndpointResult& result)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || !found->second.running)
        return;
    SidecarCall& call = found->second;
    this->updateMeasurements(call, result);
    this->accountPrefix(call, result);
    // The request has completed, so it did not cause the crash during which it was running.
    const auto suspect = this->crashCounts.find(call.fingerprint);
    if (suspect != this->crashCounts.end() && suspect->second < this->settings.crashLimit)
        this->crashCounts.erase(suspect);

    TurnRecord record = *findTurn(this->records, call.order.program.id, call.order.turn);
    record.state = RecordState::Finished;
    record.output = result.output;
    record.charged = this->chargedTokens(call, result.outputTokens);
    record.headAfter = chainDigest(record.headBefore, record.turn, record.input, record.output);
    OrderEnded end;
    end.cachedTokens = result.cachedTokens;
    end.prefilledTokens = result.prefilledTokens;
    this->finish(id, std::move(record), end);
}

void SidecarCore::Impl::onFailed(OrderId id, EndpointFailure failure)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || !found->second.running)
        return;
    SidecarCall& call = found->second;
    if (failure == EndpointFailure::NotStarted) {
        ProgramRecords& program = this->records.programs[call.order.program.id];
        if (call.replacedRecord)
            program.turns[call.order.turn] = *call.replacedRecord;
        else
            program.turns.erase(call.order.turn);
        --this->running;
        this->limit = limitAfterRejection(this->limit, this->running);
        this->refuseCall(id, RefusalReason::Overloaded);
        this->startQueued();
        return;
    }
    TurnRecord record = *findTurn(this->records, call.order.program.id, call.order.turn);
    record.state = RecordState::Failed;
    record.charged = this->chargedTokens(call, call.textTokens);
    OrderEnded end;
    end.endpointCrashed = failure == EndpointFailure::Crashed;
    if (end.endpointCrashed)
        this->recordCrash(call);
    else
        this->keepPartialPrefix(call);
    this->finish(id, std::move(record), end);
}

void SidecarCore::Impl::finish(OrderId id, TurnRecord record, const OrderEnded& end)
{
    const SidecarCall call = std::move(this->calls.at(id));
    this->calls.erase(id);
    --this->running;
    const ProgramId program = record.program;
    ProgramRecords& held = upsertProgram(this->records, call.order.program, this->now());
    TurnRecord& stored = held.turns[record.turn];
    stored = std::move(record);

    OrderEnded message = end;
    message.record = stored;
    for (const Subscriber& subscriber : call.subscribers) {
        message.id = subscriber.order;
        if (this->isReachable(subscriber)) {
            this->sendTo(subscriber.node, message);
            continue;
        }
        EntryLink* link = this->findLink(subscriber.node);
        const bool mayReturn = link && link->hello.incarnation == subscriber.incarnation;
        if (mayReturn && link->unsentEnds.size() < maxUnsentEnds)
            link->unsentEnds.push_back({ subscriber.order, program, stored.turn });
    }
    if (call.programEnded)
        this->endProgramHere(program);
    this->startQueued();
    this->reportToEntriesWithoutCredits();
    this->checkDrained();
}

// Input and output tokens, limited to what the home has reserved.
TokenCount SidecarCore::Impl::chargedTokens(const SidecarCall& call, TokenCount outputTokens) const
{
    const std::int64_t used = call.order.inputTokens.value + outputTokens.value;
    return TokenCount(std::min(call.order.reserved.value, used));
}

// Measurements -----------------------------------------------------------------------------------------------------

void SidecarCore::Impl::updateMeasurements(const SidecarCall& call, const EndpointResult& result)
{
    const double callSeconds = seconds(this->now() - call.started);
    updateMovingAverage(this->speed.callSeconds, callSeconds);
    double paceSeconds = callSeconds;
    if (this->settings.modelEngine && call.firstTokens) {
        const double prefillSeconds = seconds(*call.firstTokens - call.started);
        if (result.prefilledTokens.value > 0 && prefillSeconds > 0)
            updateMovingAverage(
                this->speed.prefillTokensPerSecond, static_cast<double>(result.prefilledTokens.value) / prefillSeconds);
        const double decodeSeconds = callSeconds - prefillSeconds;
        if (result.outputTokens.value > 1 && decodeSeconds > 0) {
            paceSeconds = decodeSeconds / static_cast<double>(result.outputTokens.value);
            updateMovingAverage(this->speed.decodeTokensPerSecond, 1 / paceSeconds);
        }
    }
    this->limit = limitAfterCall(this->limit, paceSeconds, this->running);
}

// Cache ------------------------------------------------------------------------------------------------------------

void SidecarCore::Impl::accountPrefix(const SidecarCall& call, const EndpointResult& result)
{
    this->counters.prefilledTokens.value += result.prefilledTokens.value;
    this->counters.cachedTokens.value += result.cachedTokens.value;
    if (!this->settings.modelEngine)
        return;
    const ProgramId& program = call.order.program.id;
    const std::int64_t prompt = call.order.historyTokens.value + call.order.inputTokens.value;
    const auto previous = this->previouslyHeld.find(program);
    if (previous != this->previouslyHeld.end()) {
        const std::int64_t reusable = std::min(previous->second.value, prompt);
        this->counters.wastedTokens.value += std::max<std::int64_t>(0, reusable - result.cachedTokens.value);
    }
    const TokenCount tokens(prompt + result.outputTokens.value);
    this->previouslyHeld[program] = tokens;
    holdPrefix(this->prefixes, program, tokens, this->now() + this->settings.prefixLease);
}

// The engine may hold the prompt of a call that did not finish. It is tracked, and released, like any other prefix.
void SidecarCore::Impl::keepPartialPrefix(const SidecarCall& call)
{
    if (!this->settings.modelEngine)
        return;
    const ProgramId& program = call.order.program.id;
    const std::int64_t prompt = call.order.historyTokens.value + call.order.inputTokens.value;
    const std::int64_t held = std::max(prompt, heldTokens(this->prefixes, program).value);
    holdPrefix(this->prefixes, program, TokenCount(held), this->now() + this->settings.prefixLease);
}

bool SidecarCore::Impl::isActive(const ProgramId& program) const
{
    return std::ranges::any_of(this->calls, [&](const auto& item) { return item.second.order.program.id == program; });
}

bool SidecarCore::Impl::isRunning(const ProgramId& program, TurnNumber turn) const
{
    return std::ranges::any_of(this->calls, [&](const auto& item) {
        const SidecarCall& call = item.second;
        return call.running && call.order.program.id == program && call.order.turn == turn;
    });
}

void SidecarCore::Impl::releasePrefix(const ProgramId& program)
{
    dropPrefix(this->prefixes, program);
    this->effects.releasePrefix(program);
}

// Releases idle prefixes, those cheapest to rebuild first, until `wanted` tokens fit into the engine's memory.
void SidecarCore::Impl::evictPrefixes(TokenCount wanted, const ProgramId& except)
{
    if (!this->settings.modelEngine)
        return;
    std::int64_t used = totalHeldTokens(this->prefixes).value - heldTokens(this->prefixes, except).value;
    for (const auto& [id, call] : this->calls) {
        if (call.running && call.order.program.id != except)
            used += call.order.maxOutputTokens.value;
    }
    while (used + wanted.value > this->settings.cacheCapacity.value) {
        std::optional<ProgramId> cheapest;
        double lowest = 0;
        for (const auto& [program, prefix] : this->prefixes.held) {
            if (program == except || this->isActive(program))
                continue;
            const double value = evictionValue(this->pausedPrefix(prefix));
            if (!cheapest || value < lowest) {
                cheapest = program;
                lowest = value;
            }
        }
        if (!cheapest)
            return;
        used -= heldTokens(this->prefixes, *cheapest).value;
        this->releasePrefix(*cheapest);
    }
}

PausedPrefix SidecarCore::Impl::pausedPrefix(const CachedPrefix& prefix) const
{
    PausedPrefix paused { prefix.tokens, prefix.expectedPause };
    if (this->speed.prefillTokensPerSecond > 0) {
        const std::chrono::duration<double> rebuild(
            static_cast<double>(prefix.tokens.value) / this->speed.prefillTokensPerSecond);
        paused.rebuildTime = std::chrono::duration_cast<Duration>(rebuild);
    }
    // Exporting prefixes is not implemented: moving one costs as much as rebuilding it.
    paused.moveTime = paused.rebuildTime;
    return paused;
}

void SidecarCore::Impl::onHoldPrefix(const HoldPrefix& hold)
{
    const auto found = this->prefixes.held.find(hold.program);
    if (found == this->prefixes.held.end() || this->isActive(hold.program))
        return;
    CachedPrefix& prefix = found->second;
    const Milliseconds pause = std::min(hold.expectedPause, maxPauseLeases * this->settings.prefixLease);
    prefix.expectedPause = pause;
    prefix.leaseUntil = this->now() + std::max(pause, this->settings.prefixLease);

    CachePressure pressure { this->settings.cacheCapacity, totalHeldTokens(this->prefixes) };
    for (const auto& [id, call] : this->calls) {
        if (!call.running)
            pressure.wanted.value += call.order.historyTokens.value + call.order.inputTokens.value;
    }
    if (choosePrefixAction(this->pausedPrefix(prefix), pressure) == PrefixAction::Drop)
        this->releasePrefix(hold.program);
}

// Crashes ----------------------------------------------------------------------------------------------------------

void SidecarCore::Impl::recordCrash(SidecarCall& call)
{
    // This is the first call that ends because of this crash: decide for all running calls whether they are suspects.
    // If some of them also ran during an earlier crash, only these are suspects.
    if (!call.crashSuspect) {
        ++this->counters.crashes;
        const bool anySuspect = std::ranges::any_of(this->calls, [this](const auto& item) {
            return item.second.running && this->crashCounts.contains(item.second.fingerprint);
        });
        for (auto& [id, other] : this->calls) {
            if (other.running)
                other.crashSuspect = !anySuspect || this->crashCounts.contains(other.fingerprint);
        }
        // The engine has lost its cached prefixes in the crash.
        while (!this->prefixes.held.empty()) {
            const ProgramId program = this->prefixes.held.begin()->first;
            dropPrefix(this->prefixes, program);
        }
    }
    this->effects.logEvent("endpoint crashed", "while running a request with fingerprint " + call.fingerprint.value);
    if (!*call.crashSuspect)
        return;
    if (this->crashCounts.size() >= maxCrashFingerprints && !this->crashCounts.contains(call.fingerprint))
        this->crashCounts.erase(this->crashCounts.begin());
    ++this->crashCounts[call.fingerprint];
}

}
