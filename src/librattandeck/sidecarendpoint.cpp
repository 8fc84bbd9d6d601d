#include "sidecarimpl.h"

#include "Rattandeck/cachepolicy.h"
#include "Rattandeck/digest.h"

#include <algorithm>

namespace Rattandeck {

namespace {

    // Weight of one more measurement against all earlier ones.
    constexpr double measurementWeight = 0.2;
    // Fingerprints of crashing requests that are remembered; the homes know more, in quarantine objects.
    constexpr std::size_t maxCrashFingerprints = 4096;
    // Longest pause that a home can announce for a prefix, in prefix leases.
    constexpr int maxPauseLeases = 5;

    void smooth(double& average, double sample)
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
    this->measure(call, result);
    this->accountPrefix(call, result);
    // Whatever crashed the endpoint beside this request, the request itself ran through.
    const auto suspect = this->crashCounts.find(call.fingerprint);
    if (suspect != this->crashCounts.end() && suspect->second < this->settings.crashLimit)
        this->crashCounts.erase(suspect);

    TurnRecord record = *findTurn(this->records, call.order.program.id, call.order.turn);
    record.state = RecordState::Finished;
    record.output = result.output;
    record.charged = this->chargeOf(call, result.outputTokens);
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
        if (call.formerRecord)
            program.turns[call.order.turn] = *call.formerRecord;
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
    record.charged = this->chargeOf(call, call.textTokens);
    OrderEnded end;
    end.endpointCrashed = failure == EndpointFailure::Crashed;
    if (end.endpointCrashed)
        this->noteCrash(call);
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
    ProgramRecords& held = touchProgram(this->records, call.order.program, this->now());
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
        if (mayReturn && link->missedEnds.size() < maxMissedEnds)
            link->missedEnds.push_back({ subscriber.order, program, stored.turn });
    }
    if (call.programEnded)
        this->endProgramHere(program);
    this->startQueued();
    this->reportToHungry();
    this->checkDrained();
}

// The input and what was generated; never more than the home has reserved.
TokenCount SidecarCore::Impl::chargeOf(const SidecarCall& call, TokenCount outputTokens) const
{
    const std::int64_t used = call.order.inputTokens.value + outputTokens.value;
    return TokenCount(std::min(call.order.reserved.value, used));
}

// Measurements -----------------------------------------------------------------------------------------------------

void SidecarCore::Impl::measure(const SidecarCall& call, const EndpointResult& result)
{
    const double callSeconds = seconds(this->now() - call.started);
    smooth(this->speed.callSeconds, callSeconds);
    double paceSeconds = callSeconds;
    if (this->settings.modelEngine && call.firstTokens) {
        const double prefillSeconds = seconds(*call.firstTokens - call.started);
        if (result.prefilledTokens.value > 0 && prefillSeconds > 0)
            smooth(
                this->speed.prefillTokensPerSecond, static_cast<double>(result.prefilledTokens.value) / prefillSeconds);
        const double decodeSeconds = callSeconds - prefillSeconds;
        if (result.outputTokens.value > 1 && decodeSeconds > 0) {
            paceSeconds = decodeSeconds / static_cast<double>(result.outputTokens.value);
            smooth(this->speed.decodeTokensPerSecond, 1 / paceSeconds);
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
    const auto once = this->onceHeld.find(program);
    if (once != this->onceHeld.end()) {
        const std::int64_t reusable = std::min(once->second.value, prompt);
        this->counters.wastedTokens.value += std::max<std::int64_t>(0, reusable - result.cachedTokens.value);
    }
    const TokenCount tokens(prompt + result.outputTokens.value);
    this->onceHeld[program] = tokens;
    holdPrefix(this->prefixes, program, tokens, this->now() + this->settings.prefixLease);
}

// The engine may hold the prompt of a call that did not finish; it goes free like any other prefix.
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

// Releases idle prefixes, cheapest to rebuild first, until `wanted` tokens fit in the engine's memory.
void SidecarCore::Impl::makeRoom(TokenCount wanted, const ProgramId& except)
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
    // Prefixes can't be exported from here yet: moving one costs as much as building it again.
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

void SidecarCore::Impl::noteCrash(SidecarCall& call)
{
    // The first call whose end tells of the crash: decide for all that ran. If some had been there in an earlier
    // crash, only these are suspected.
    if (!call.crashSuspect) {
        ++this->counters.crashes;
        const bool anySuspect = std::ranges::any_of(this->calls, [this](const auto& item) {
            return item.second.running && this->crashCounts.contains(item.second.fingerprint);
        });
        for (auto& [id, other] : this->calls) {
            if (other.running)
                other.crashSuspect = !anySuspect || this->crashCounts.contains(other.fingerprint);
        }
        // The engine's memory went with it.
        while (!this->prefixes.held.empty()) {
            const ProgramId program = this->prefixes.held.begin()->first;
            dropPrefix(this->prefixes, program);
        }
    }
    this->effects.logEvent("endpoint crashed", "under a request with fingerprint " + call.fingerprint.value);
    if (!*call.crashSuspect)
        return;
    if (this->crashCounts.size() >= maxCrashFingerprints && !this->crashCounts.contains(call.fingerprint))
        this->crashCounts.erase(this->crashCounts.begin());
    ++this->crashCounts[call.fingerprint];
}

}
