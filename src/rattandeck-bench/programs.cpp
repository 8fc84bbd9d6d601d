#include "simulation.h"

#include <algorithm>
#include <cmath>

using namespace Rattandeck;

namespace RattandeckBench {

namespace {

    /// A caller abandons its program after this multiple of the latency target.
    constexpr double abandonOverTarget = 2;
    /// Maximum number of times that a refused caller retries the opening.
    constexpr std::uint32_t maxOpeningRetries = 3;
    /// Callers announce the duration of about half of the pauses, with an error of this standard deviation of the
    /// logarithm.
    constexpr double pauseSpread = 0.5;
    constexpr double plainPauseSeconds = 0.3;
    constexpr double subAgentPauseSeconds = 10;
    constexpr double fairnessHalfLifeSeconds = 150;
    /// Number of endpoint crashes after which a request is quarantined. Without quarantine, its caller gives up after
    /// `callerCrashLimit` crashes.
    constexpr std::uint32_t crashLimit = 2;
    /// Time until an engine that a call has crashed is restarted.
    constexpr double restartSeconds = 15;
    constexpr double healthCheckSeconds = 0.5;
    constexpr std::uint32_t callerCrashLimit = 6;

}

// Opening ------------------------------------------------------------------------------------------------------------

std::optional<Milliseconds> Simulation::refusal(const Program& program)
{
    Entry& entry = this->entries[program.plan->entry];
    const double passed = this->now() - entry.organisationsAt;
    entry.organisationsAt = this->now();
    for (OrganisationUse& use : entry.organisations)
        use = decayed(use, passed, fairnessHalfLifeSeconds);
    const std::size_t organisation = program.plan->organisation;
    if (program.refusals == 0)
        entry.organisations[organisation].demand += 1;

    AdmissionView view;
    view.loadPressure = Simulation::loadPressure(entry.services[0]);
    view.cachePressure = Simulation::cachePressure(entry.services[0]);
    view.organisationShare = this->spec.policy.fairness ? organisationShare(entry.organisations, organisation) : 1;
    view.expectedWaitSeconds = 5 * view.loadPressure;
    auto refused = this->spec.policy.earlyRefusal ? refuseOpening(view, {}, this->random()) : std::nullopt;
    if (!refused)
        entry.organisations[organisation].granted += 1;
    return refused;
}

void Simulation::arrive(std::uint32_t index)
{
    Program& program = this->programs[index];
    if (const auto retryAfter = this->refusal(program)) {
        const double seconds = toSeconds(*retryAfter);
        const double late = this->now() + seconds - program.plan->arrivalSeconds;
        if (++program.refusals > maxOpeningRetries || late > program.plan->latencyTargetSeconds)
            this->end(index, ProgramState::Refused);
        else
            this->after(seconds, [this, index] { this->arrive(index); });
        return;
    }
    const double abandonTime = program.plan->arrivalSeconds + abandonOverTarget * program.plan->latencyTargetSeconds;
    this->after(abandonTime - this->now(), [this, index] { this->abandon(index); });
    this->begin(index);
}

void Simulation::begin(std::uint32_t index)
{
    Program& program = this->programs[index];
    program.state = ProgramState::Open;
    program.startedAt = this->now();
    this->startTurn(index);
}

// Turns --------------------------------------------------------------------------------------------------------------

void Simulation::startTurn(std::uint32_t index)
{
    Program& program = this->programs[index];
    const Turn& turn = program.plan->turns[program.turn];
    Call call;
    call.id = ++this->lastCall;
    call.program = index;
    call.promptTokens = program.historyTokens + turn.inputTokens;
    call.outputTokens = turn.outputTokens;
    call.askedAt = this->now();
    call.crashesEngine = program.plan->crashesEngine && program.turn == 1;
    this->calls.emplace(call.id, call);
    this->place(call.id);
}

void Simulation::callDone(std::uint64_t id, std::int64_t cachedTokens)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    const Call call = found->second;
    this->calls.erase(found);
    Program& program = this->programs[call.program];
    this->updateViewAfterCall(call);
    if (call.plain) {
        this->onAwaitedDone(call.program);
        return;
    }
    ServiceView& view = this->entries[program.plan->entry].services[0];
    constexpr double gain = 0.02;
    view.meanOutput += gain * (static_cast<double>(call.outputTokens) - view.meanOutput);
    view.sidecars[call.runner].suspicion *= 0.5;

    const std::int64_t missing = call.promptTokens - cachedTokens;
    const EngineModel& model = this->services[0].model;
    this->programs[program.root].attained += static_cast<double>(missing) / model.prefillTokensPerSecond
        + static_cast<double>(call.outputTokens) * model.stepSeconds;
    if (program.plan->arrivalSeconds >= this->spec.warmUpSeconds || program.plan->isSubAgent)
        this->result.refilledTokens
            += static_cast<double>(std::max<std::int64_t>(0, program.historyTokens - cachedTokens));
    program.historyTokens = call.promptTokens + call.outputTokens;
    if (program.lastRunner != noIndex && program.lastRunner != call.runner)
        ++this->result.moves;
    program.lastRunner = call.runner;
    program.lastOrder = call.id;
    if (this->spec.policy.releaseAtEnd) {
        // The latest prefix is on this runner, so the older prefixes on other runners are released.
        this->release(call.program, call.runner);
        program.holders.clear();
    }
    program.possibleHolders.push_back(call.runner);
    std::erase_if(program.holders, [&](const PrefixHolder& held) { return held.index == call.runner; });
    program.holders.push_back({ call.runner, TokenCount(program.historyTokens) });
    this->afterTurn(call.program);
}

void Simulation::afterTurn(std::uint32_t index)
{
    Program& program = this->programs[index];
    if (program.turn + 1 == program.plan->turns.size()) {
        this->end(index, ProgramState::Completed);
        return;
    }
    this->startPause(index);
}

double Simulation::expectedPause(const Turn& turn, Entry& entry)
{
    if (!turn.subAgents.empty())
        return subAgentPauseSeconds;
    if (turn.plainUnits > 0)
        return plainPauseSeconds;
    constexpr double gain = 0.05;
    entry.meanPause += gain * (turn.pauseSeconds - entry.meanPause);
    if (this->uniform() < 0.5)
        return entry.meanPause;
    return turn.pauseSeconds * std::lognormal_distribution<double>(0, pauseSpread)(this->random);
}

void Simulation::startPause(std::uint32_t index)
{
    Program& program = this->programs[index];
    const Turn& turn = program.plan->turns[program.turn];
    program.awaited = 1 + static_cast<std::uint32_t>(turn.subAgents.size());
    const double expected = this->expectedPause(turn, this->entries[program.plan->entry]);
    const std::uint32_t runner = program.lastRunner;
    this->after(this->delay(program.plan->entry, 0, runner),
        [this, index, runner, expected] { this->services[0].runners[runner]->pause(index, expected); });
    for (const std::uint32_t child : turn.subAgents)
        this->begin(child);
    if (turn.plainUnits == 0) {
        this->after(turn.pauseSeconds, [this, index] { this->onAwaitedDone(index); });
        return;
    }
    Call call;
    call.id = ++this->lastCall;
    call.program = index;
    call.plain = true;
    call.outputTokens = turn.plainUnits;
    call.askedAt = this->now();
    this->calls.emplace(call.id, call);
    this->place(call.id);
}

void Simulation::onAwaitedDone(std::uint32_t index)
{
    Program& program = this->programs[index];
    if (program.state != ProgramState::Open || --program.awaited > 0)
        return;
    ++program.turn;
    this->startTurn(index);
}

// Ends and failures --------------------------------------------------------------------------------------------------

void Simulation::end(std::uint32_t index, ProgramState state)
{
    Program& program = this->programs[index];
    program.state = state;
    program.endedAt = this->now();
    if (this->spec.policy.releaseAtEnd)
        this->release(index, noIndex);
    if (program.parent != noIndex && state == ProgramState::Completed)
        this->onAwaitedDone(program.parent);
}

void Simulation::release(std::uint32_t index, std::uint32_t except)
{
    Program& program = this->programs[index];
    for (const std::uint32_t runner : program.possibleHolders) {
        if (runner == except)
            continue;
        this->after(this->delay(program.plan->entry, 0, runner), [this, index, runner] {
            // The program may have moved back to this runner before the release arrives.
            const Program& now = this->programs[index];
            if (now.state != ProgramState::Open || now.lastRunner != runner)
                this->services[0].runners[runner]->engine().drop(index);
        });
    }
    program.possibleHolders.clear();
}

void Simulation::abandon(std::uint32_t root)
{
    if (this->programs[root].state != ProgramState::Open)
        return;
    std::vector<std::uint64_t> abandonedCalls;
    for (const auto& [id, call] : this->calls) {
        if (this->programs[call.program].root == root)
            abandonedCalls.push_back(id);
    }
    std::sort(abandonedCalls.begin(), abandonedCalls.end());
    for (const std::uint64_t id : abandonedCalls) {
        const Call call = this->calls.at(id);
        this->calls.erase(id);
        if (call.runner != noIndex)
            this->services[call.plain ? 1 : 0].runners[call.runner]->cancel(id);
    }
    for (const Turn& turn : this->programs[root].plan->turns) {
        for (const std::uint32_t child : turn.subAgents) {
            if (this->programs[child].state == ProgramState::Open)
                this->end(child, ProgramState::Abandoned);
        }
    }
    this->end(root, ProgramState::Abandoned);
}

void Simulation::callFailed(std::uint64_t id, bool crashed)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    Call call = found->second;
    this->calls.erase(found);
    Program& program = this->programs[call.program];
    if (call.crashesEngine && crashed) {
        const std::uint32_t limit = this->spec.policy.quarantine ? crashLimit : callerCrashLimit;
        if (++program.crashesSeen >= limit) {
            this->end(call.program, ProgramState::Refused);
            return;
        }
    }
    Entry& entry = this->entries[program.plan->entry];
    entry.services[call.plain ? 1 : 0].sidecars[call.runner].suspicion += 1;
    std::erase_if(program.holders, [&](const PrefixHolder& held) { return held.index == call.runner; });
    if (!call.plain)
        program.possibleHolders.push_back(call.runner);
    // Assigns a new order id, so that a late answer to the old order is recognised.
    call.id = ++this->lastCall;
    ++call.attempt;
    call.runner = noIndex;
    ++this->result.resent;
    this->calls.emplace(call.id, call);
    constexpr double backOffSeconds = 1;
    if (tryWithdrawRetry(entry.retries))
        this->place(call.id);
    else
        this->after(backOffSeconds * (0.5 + this->uniform()), [this, id = call.id] { this->place(id); });
}

void Simulation::runnerCrashed(std::size_t service, std::uint32_t runner)
{
    ++this->result.crashes;
    // Health checks notify all entries under every policy.
    for (std::uint32_t e = 0; e < entryCount; ++e) {
        this->after(healthCheckSeconds, [this, e, service, runner] {
            if (!this->services[service].runners[runner]->isAlive())
                this->onLink(e, service, runner, false);
        });
        this->after(restartSeconds, [this, e, service, runner] { this->onLink(e, service, runner, true); });
    }
    this->after(restartSeconds, [this, service, runner] { this->services[service].runners[runner]->restart(); });
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : this->calls) {
        if (call.runner == runner && (call.plain ? 1 : 0) == service)
            lost.push_back(id);
    }
    std::sort(lost.begin(), lost.end());
    for (const std::uint64_t id : lost) {
        const double seconds = this->delay(this->programs[this->calls.at(id).program].plan->entry, service, runner);
        this->after(seconds, [this, id] { this->callFailed(id, true); });
    }
}

}
