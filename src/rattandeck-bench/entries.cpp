#include "simulation.h"

#include <algorithm>
#include <cmath>

using namespace Rattandeck;

namespace RattandeckBench {

namespace {

    constexpr double reportSeconds = 1.0;
    constexpr double reportDelaySeconds = 0.1;
    /// A change of the load by this share of the batch size is reported at the next check.
    constexpr double reportChange = 0.25;
    constexpr double checkSeconds = 0.25;
    constexpr double lostDropShare = 0.1;

    constexpr double laggingReportSeconds = 3.0;
    constexpr double laggingDelaySeconds = 1.0;
    constexpr double laggingLossShare = 0.3;
    constexpr double laggingLostDropShare = 0.5;

    double loadOf(const SidecarView& view)
    {
        const double counted = view.report.running + view.report.waiting + view.placedSinceReport;
        return std::max(0.0, counted - view.endedSinceReport);
    }

}

// Placement ----------------------------------------------------------------------------------------------------------

double Simulation::priorityOf(const Program& program) const
{
    const Program& root = this->programs[program.root];
    ProgramProgress progress;
    progress.timeSinceOpen = fromSeconds(this->now() - root.plan->arrivalSeconds);
    progress.latencyTarget = fromSeconds(root.perceivedTarget);
    progress.attainedService = fromSeconds(root.attained);
    progress.turnsDone = static_cast<std::uint32_t>(root.turn);
    return callPriority(progress, {});
}

void Simulation::place(std::uint64_t id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    Call& call = found->second;
    const std::uint32_t runner = this->choose(call);
    if (runner == noIndex)
        this->entries[this->programs[call.program].plan->entry].unplaced.push_back(id);
    else
        this->send(call, runner);
}

std::uint32_t Simulation::choose(Call& call)
{
    return this->spec.policy.placement == PlacementRule::Core ? this->chooseByCore(call) : this->chooseByBaseline(call);
}

std::uint32_t Simulation::chooseByCore(const Call& call)
{
    const TrialPolicy& policy = this->spec.policy;
    const Program& program = this->programs[call.program];
    Entry& entry = this->entries[program.plan->entry];
    const ServiceView& view = entry.services[call.plain ? 1 : 0];

    CallShape shape;
    shape.program.serial = call.program;
    shape.promptTokens = TokenCount(call.promptTokens);
    shape.expectedOutputTokens = TokenCount(call.plain ? 10 : static_cast<std::int64_t>(view.meanOutput));
    PlacementSettings settings;
    settings.ownDomain = FailureDomain(entry.domain);
    settings.waitWeight = policy.waitWeight;
    settings.missingPrefixWeight = policy.missingPrefixFactor * this->spec.shape.missingPrefixWeight;
    settings.transferWeight = policy.transferWeight;
    settings.candidateCount = policy.candidateCount;
    const std::span<const PrefixHolder> holders = call.plain ? std::span<const PrefixHolder>() : program.holders;
    const PlacementDecision decision = choosePlacement(view.sidecars, shape, settings, this->random(), holders);
    return decision.choice.value.empty() ? noIndex : static_cast<std::uint32_t>(std::stoul(decision.choice.value));
}

std::uint32_t Simulation::chooseByBaseline(const Call& call)
{
    const Program& program = this->programs[call.program];
    Entry& entry = this->entries[program.plan->entry];
    ServiceView& view = entry.services[call.plain ? 1 : 0];
    const auto count = static_cast<std::uint32_t>(view.sidecars.size());
    const PlacementRule rule = this->spec.policy.placement;
    if (rule == PlacementRule::RoundRobin) {
        for (std::uint32_t i = 0; i < count; ++i) {
            const auto next = static_cast<std::uint32_t>(view.roundRobinPosition++ % count);
            if (view.linkUp[next])
                return next;
        }
        return noIndex;
    }
    const bool sticky = rule == PlacementRule::Sticky && !call.plain;
    if (sticky && program.lastRunner != noIndex && view.linkUp[program.lastRunner])
        return program.lastRunner;

    // The search starts at a random sidecar, so that ties are broken at random.
    const auto start = static_cast<std::uint32_t>(this->random() % count);
    std::uint32_t best = noIndex;
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint32_t candidate = (start + i) % count;
        if (!view.linkUp[candidate])
            continue;
        if (best == noIndex || loadOf(view.sidecars[candidate]) < loadOf(view.sidecars[best]))
            best = candidate;
    }
    const std::uint32_t batch = this->services[call.plain ? 1 : 0].model.maxCalls;
    if (rule == PlacementRule::FirstFree && best != noIndex && loadOf(view.sidecars[best]) >= batch)
        return noIndex;
    return best;
}

void Simulation::send(Call& call, std::uint32_t runner)
{
    const Program& program = this->programs[call.program];
    const std::uint32_t entryIndex = program.plan->entry;
    const std::size_t service = call.plain ? 1 : 0;
    ServiceView& view = this->entries[entryIndex].services[service];
    SidecarView& sidecar = view.sidecars[runner];
    if (call.attempt == 1)
        depositFirstAttempt(this->entries[entryIndex].retries);
    // Ids must increase in the order of sending, because a report acknowledges all orders up to an id.
    const std::uint64_t oldId = call.id;
    Call sent = call;
    this->calls.erase(oldId);
    sent.id = ++this->lastCall;
    sent.runner = runner;
    sent.sentAt = this->now();
    const std::uint64_t id = sent.id;
    this->calls.emplace(id, sent);

    const std::int64_t tokens = sent.promptTokens + sent.outputTokens;
    view.unaccounted[runner].push_back({ id, tokens });
    if (this->spec.policy.ownCorrection) {
        ++sidecar.placedSinceReport;
        sidecar.tokensPlacedSinceReport.value += tokens;
    }
    if (sidecar.creditsLeft > 0)
        --sidecar.creditsLeft;
    ++this->result.orders;
    if (sidecar.domain.value != this->entries[entryIndex].domain)
        ++this->result.ordersAcrossDomains;

    RunnerCall order { id, sent.program, entryIndex, sent.promptTokens, sent.outputTokens, this->priorityOf(program), 0,
        sent.crashesEngine };
    const double seconds = this->delay(entryIndex, service, runner);
    this->after(seconds, [this, order, service, runner] {
        if (!this->calls.contains(order.id))
            return;
        Runner& target = *this->services[service].runners[runner];
        if (target.isAlive()) {
            target.arrive(order);
            return;
        }
        constexpr double noticeSeconds = 1;
        this->after(noticeSeconds, [this, id = order.id] { this->callFailed(id, false); });
    });
}

void Simulation::updateViewAfterCall(const Call& call)
{
    ServiceView& view = this->entries[this->programs[call.program].plan->entry].services[call.plain ? 1 : 0];
    SidecarView& sidecar = view.sidecars[call.runner];
    std::deque<SentOrder>& unaccounted = view.unaccounted[call.runner];
    const auto found = std::ranges::find(unaccounted, call.id, &SentOrder::id);
    if (!this->spec.policy.ownCorrection)
        return;
    if (found == unaccounted.end()) {
        ++sidecar.endedSinceReport;
        return;
    }
    sidecar.tokensPlacedSinceReport.value -= found->tokens;
    --sidecar.placedSinceReport;
    unaccounted.erase(found);
}

void Simulation::placeWaitingCalls(std::uint32_t entryIndex)
{
    Entry& entry = this->entries[entryIndex];
    std::vector<std::uint64_t> waiting = std::exchange(entry.unplaced, {});
    std::erase_if(waiting, [this](std::uint64_t id) { return !this->calls.contains(id); });
    if (this->spec.policy.programOrder) {
        std::vector<std::pair<double, std::uint64_t>> keyed;
        keyed.reserve(waiting.size());
        for (const std::uint64_t id : waiting)
            keyed.emplace_back(this->priorityOf(this->programs[this->calls.at(id).program]), id);
        std::sort(keyed.begin(), keyed.end());
        std::ranges::transform(keyed, waiting.begin(), [](const auto& pair) { return pair.second; });
    }
    for (const std::uint64_t id : waiting)
        this->place(id);
}

// Reports ------------------------------------------------------------------------------------------------------------

double Simulation::loadPressure(const ServiceView& view)
{
    double load = 0;
    double limit = 0;
    for (std::size_t r = 0; r < view.sidecars.size(); ++r) {
        if (!view.linkUp[r])
            continue;
        load += loadOf(view.sidecars[r]);
        limit += std::max<double>(1, view.sidecars[r].report.limit);
    }
    return load / std::max(1.0, limit);
}

double Simulation::cachePressure(const ServiceView& view)
{
    double used = 0;
    double capacity = 0;
    for (std::size_t r = 0; r < view.sidecars.size(); ++r) {
        if (!view.linkUp[r])
            continue;
        used += static_cast<double>(view.sidecars[r].report.cacheUsed.value);
        capacity += static_cast<double>(view.sidecars[r].report.cacheCapacity.value);
    }
    return used / std::max(1.0, capacity);
}

void Simulation::startReports()
{
    const bool lagging = this->spec.fault == Fault::LaggingReports;
    for (std::size_t s = 0; s < this->services.size(); ++s) {
        for (std::uint32_t r = 0; r < this->services[s].runners.size(); ++r) {
            this->sendReport(s, r);
            const double interval = lagging ? laggingReportSeconds : reportSeconds;
            // Two periodic timers: one sends the regular report, one sends a report when the load has changed.
            auto regular = std::make_shared<std::function<void()>>();
            *regular = [this, s, r, interval, self = std::weak_ptr(regular)] {
                this->sendReport(s, r);
                this->after(interval, *self.lock());
            };
            this->repeating.push_back(regular);
            this->after(interval * this->uniform(), *regular);
            if (lagging)
                continue;
            auto check = std::make_shared<std::function<void()>>();
            *check = [this, s, r, self = std::weak_ptr(check)] {
                const auto seen = static_cast<double>(this->services[s].runners[r]->outstandingCalls());
                const double change = std::abs(seen - this->services[s].lastReported[r]);
                if (change >= reportChange * this->services[s].model.maxCalls)
                    this->sendReport(s, r);
                this->after(checkSeconds, *self.lock());
            };
            this->repeating.push_back(check);
            this->after(checkSeconds * this->uniform(), *check);
        }
    }
}

void Simulation::sendReport(std::size_t service, std::uint32_t runner)
{
    Runner& reporter = *this->services[service].runners[runner];
    if (!reporter.isAlive())
        return;
    const bool lagging = this->spec.fault == Fault::LaggingReports;
    const double lag = lagging ? laggingDelaySeconds : reportDelaySeconds;
    const double loss = lagging && this->now() > 0 ? laggingLossShare : 0;
    const double missing = lagging ? laggingLostDropShare : lostDropShare;
    this->services[service].lastReported[runner] = reporter.outstandingCalls();
    std::vector<std::uint32_t> dropped = reporter.engine().takeDropped();
    std::erase_if(dropped, [&](std::uint32_t) { return this->uniform() < missing; });
    for (std::uint32_t e = 0; e < entryCount; ++e) {
        if (this->uniform() < loss)
            continue;
        const LoadReport report = reporter.report(e);
        this->after(this->delay(e, service, runner) + lag,
            [this, e, service, runner, report, dropped] { this->onReport(e, service, runner, report, dropped); });
    }
}

void Simulation::onReport(std::uint32_t entryIndex, std::size_t service, std::uint32_t runner, const LoadReport& report,
    const std::vector<std::uint32_t>& dropped)
{
    Entry& entry = this->entries[entryIndex];
    ServiceView& view = entry.services[service];
    SidecarView& sidecar = view.sidecars[runner];
    if (report.sequence <= sidecar.report.sequence)
        return;
    sidecar.report = report;
    std::deque<SentOrder>& unaccounted = view.unaccounted[runner];
    while (!unaccounted.empty() && unaccounted.front().id <= report.accountedOrder.value)
        unaccounted.pop_front();
    sidecar.placedSinceReport = 0;
    sidecar.endedSinceReport = 0;
    sidecar.tokensPlacedSinceReport = TokenCount(0);
    const auto open = static_cast<std::uint32_t>(unaccounted.size());
    if (this->spec.policy.ownCorrection) {
        sidecar.placedSinceReport = open;
        for (const SentOrder& order : unaccounted)
            sidecar.tokensPlacedSinceReport.value += order.tokens;
    }
    sidecar.creditsLeft = report.credits.count > open ? report.credits.count - open : 0;
    if (!view.linkUp[runner])
        sidecar.creditsLeft = 0;
    for (const std::uint32_t program : dropped) {
        Program& owner = this->programs[program];
        if (owner.plan->entry != entryIndex || service != 0)
            continue;
        // The program has run on this runner again since the prefix was dropped.
        if (owner.lastRunner == runner && owner.lastOrder > report.accountedOrder.value)
            continue;
        std::erase_if(owner.holders, [runner](const PrefixHolder& held) { return held.index == runner; });
    }
    this->placeWaitingCalls(entryIndex);
}

void Simulation::onLink(std::uint32_t entryIndex, std::size_t service, std::uint32_t runner, bool up)
{
    ServiceView& view = this->entries[entryIndex].services[service];
    if (view.linkUp[runner] == up)
        return;
    view.linkUp[runner] = up;
    view.sidecars[runner].creditsLeft = 0;
    if (up) {
        view.unaccounted[runner].clear();
        return;
    }
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : this->calls) {
        const bool here = call.runner == runner && (call.plain ? 1 : 0) == service;
        if (here && this->programs[call.program].plan->entry == entryIndex && !call.plain)
            lost.push_back(id);
    }
    std::sort(lost.begin(), lost.end());
    for (const std::uint64_t id : lost)
        this->callFailed(id, false);
}

}
