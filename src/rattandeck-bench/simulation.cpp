#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace Rattandeck;

namespace RattandeckBench {

namespace {

    constexpr double sameDomainSeconds = 0.0005;
    constexpr double crossDomainSeconds = 0.004;
    constexpr double jitterSeconds = 0.001;
    constexpr double lossShare = 0.005;
    constexpr double retransmitSeconds = 0.2;
    /// Delay until a lost link is detected.
    constexpr double linkDownSeconds = 1.0;

    constexpr double faultStartSeconds = 120;
    constexpr double outageSeconds = 60;
    constexpr double cutSeconds = 30;
    constexpr double slowness = 3;
    constexpr double plainSlowness = 30;
    constexpr std::size_t crashingPrograms = 3;

    double quantile(const std::vector<double>& sorted, double share)
    {
        if (sorted.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
        return sorted[std::max<std::size_t>(rank, 1) - 1];
    }

}

Simulation::Simulation(const TrialSpec& trialSpec)
    : spec(trialSpec)
    , random(trialSpec.seed * 7919 + 13)
    , plans(makePrograms(trialSpec.shape, trialSpec.programsPerSecond, trialSpec.seconds, trialSpec.seed))
{
    this->services[1].model = plainServiceModel();
    this->addService(this->services[0], 0, this->spec.shape.runners);
    this->addService(this->services[1], 1, this->spec.shape.plainInstances);
    this->addEntries();

    this->programs.resize(this->plans.size());
    for (std::uint32_t i = 0; i < this->plans.size(); ++i) {
        Program& program = this->programs[i];
        program.plan = &this->plans[i];
        program.root = i;
        std::normal_distribution<double> errorDistribution(0, this->spec.policy.targetError + 1e-9);
        program.perceivedTarget = program.plan->latencyTargetSeconds * std::exp(errorDistribution(this->random));
    }
    for (std::uint32_t i = 0; i < this->plans.size(); ++i) {
        for (const Turn& turn : this->plans[i].turns) {
            for (const std::uint32_t child : turn.subAgents) {
                this->programs[child].root = i;
                this->programs[child].parent = i;
            }
        }
    }
}

void Simulation::addService(Service& service, std::size_t index, std::uint32_t count)
{
    service.lastReported.resize(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        service.domains.push_back(this->spec.shape.domains[i % this->spec.shape.domains.size()]);
        RunnerEvents events;
        events.finished = [this, index, i](const RunnerCall& call, const EngineFinish& finish) {
            const double seconds = this->delay(call.entry, index, i);
            this->after(seconds, [this, id = call.id, finish] { this->callDone(id, finish.cachedTokens); });
        };
        events.crashed = [this, index, i] { this->runnerCrashed(index, i); };
        service.runners.push_back(std::make_unique<Runner>(service.model, this->spec.policy, this->timers, events));
    }
}

void Simulation::addEntries()
{
    for (std::uint32_t i = 0; i < entryCount; ++i) {
        Entry entry;
        entry.domain = this->spec.shape.domains[i % this->spec.shape.domains.size()];
        entry.organisations.resize(this->spec.shape.organisations);
        for (std::size_t s = 0; s < this->services.size(); ++s) {
            const Service& service = this->services[s];
            ServiceView& view = entry.services[s];
            view.sidecars.resize(service.runners.size());
            view.unaccounted.resize(service.runners.size());
            view.accounted.resize(service.runners.size());
            view.linkUp.assign(service.runners.size(), true);
            for (std::size_t r = 0; r < service.runners.size(); ++r) {
                view.sidecars[r].node = NodeId(std::to_string(r));
                view.sidecars[r].domain = FailureDomain(service.domains[r]);
            }
        }
        this->entries.push_back(std::move(entry));
    }
}

double Simulation::now() const { return toSeconds(this->timers.now().time_since_epoch()); }

void Simulation::after(double seconds, std::function<void()> action)
{
    this->timers.subscribeAfter(fromSeconds(seconds), std::move(action));
}

double Simulation::delay(std::uint32_t entry, std::size_t service, std::uint32_t runner)
{
    const std::string& from = this->entries[entry].domain;
    const std::string& to = this->services[service].domains[runner];
    if (from == to)
        return sameDomainSeconds;
    double seconds = crossDomainSeconds - jitterSeconds * std::log(1 - this->uniform());
    if (this->uniform() < lossShare)
        seconds += retransmitSeconds;
    // Messages are delayed until the end of a network partition, as with TCP retransmission.
    if (this->now() < this->cutEnds && (from == this->cutDomain || to == this->cutDomain))
        seconds += this->cutEnds - this->now();
    return seconds;
}

// Faults -------------------------------------------------------------------------------------------------------------

void Simulation::setLinks(const std::function<bool(std::uint32_t, std::uint32_t, std::size_t)>& up)
{
    for (std::uint32_t e = 0; e < entryCount; ++e) {
        for (std::size_t s = 0; s < this->services.size(); ++s) {
            for (std::uint32_t r = 0; r < this->services[s].runners.size(); ++r)
                this->onLink(e, s, r, up(e, r, s));
        }
    }
}

void Simulation::planFaults()
{
    const auto allUp = [](std::uint32_t, std::uint32_t, std::size_t) { return true; };
    if (this->spec.fault == Fault::RunnerDies) {
        this->after(faultStartSeconds, [this] { this->services[0].runners[0]->crash(); });
        this->after(faultStartSeconds + linkDownSeconds,
            [this] { this->setLinks([](std::uint32_t, std::uint32_t r, std::size_t s) { return s != 0 || r != 0; }); });
        this->after(faultStartSeconds + outageSeconds, [this, allUp] {
            this->services[0].runners[0]->restart();
            this->setLinks(allUp);
        });
    }
    if (this->spec.fault == Fault::SlowRunner)
        this->after(faultStartSeconds, [this] { this->services[0].runners[0]->engine().setSlowness(slowness); });
    if (this->spec.fault == Fault::SlowPlainInstance)
        this->after(faultStartSeconds, [this] { this->services[1].runners[0]->engine().setSlowness(plainSlowness); });
    if (this->spec.fault == Fault::CutDomain) {
        this->after(faultStartSeconds, [this] {
            this->cutDomain = this->spec.shape.domains[1];
            this->cutEnds = faultStartSeconds + cutSeconds;
        });
        this->after(faultStartSeconds + linkDownSeconds, [this] {
            this->setLinks([this](std::uint32_t e, std::uint32_t r, std::size_t s) {
                const bool entryInside = this->entries[e].domain == this->cutDomain;
                return entryInside == (this->services[s].domains[r] == this->cutDomain);
            });
        });
        this->after(faultStartSeconds + cutSeconds, [this, allUp] { this->setLinks(allUp); });
    }
    if (this->spec.fault != Fault::CrashingRequest)
        return;
    std::size_t marked = 0;
    for (ProgramPlan& plan : this->plans) {
        if (plan.isSubAgent || plan.arrivalSeconds < faultStartSeconds || plan.turns.size() < 2
            || marked == crashingPrograms)
            continue;
        plan.crashesEngine = true;
        ++marked;
    }
}

// Run and measure ----------------------------------------------------------------------------------------------------

TrialResult Simulation::run()
{
    this->planFaults();
    this->startReports();
    for (std::uint32_t i = 0; i < this->plans.size(); ++i) {
        if (!this->plans[i].isSubAgent)
            this->after(this->plans[i].arrivalSeconds, [this, i] { this->arrive(i); });
    }
    // Reports are sent without end, so the run stops when all programs have ended.
    constexpr double stepSeconds = 10;
    const auto isOver = [](const Program& program) {
        return program.plan->isSubAgent
            || (program.state != ProgramState::Waiting && program.state != ProgramState::Open);
    };
    for (double until = stepSeconds; until < this->spec.seconds || !std::ranges::all_of(this->programs, isOver);
         until += stepSeconds)
        this->timers.advanceTo(TimePoint(fromSeconds(until)));
    return this->measure();
}

TrialResult Simulation::measure()
{
    std::vector<double> latencies;
    double overBoundSum = 0;
    double within = 0;
    std::vector<double> offered(this->spec.shape.organisations);
    std::vector<double> served(this->spec.shape.organisations);
    std::vector<std::uint32_t> counts(this->spec.shape.organisations);
    for (const Program& program : this->programs) {
        const ProgramPlan& plan = *program.plan;
        if (plan.isSubAgent || plan.arrivalSeconds < this->spec.warmUpSeconds || plan.crashesEngine)
            continue;
        ++this->result.programs;
        offered[plan.organisation] += plan.workSeconds;
        ++counts[plan.organisation];
        if (program.state == ProgramState::Refused) {
            ++this->result.refused;
            continue;
        }
        // The latency of an abandoned program is the time after which its caller gave up.
        const double latency = program.endedAt - plan.arrivalSeconds;
        latencies.push_back(latency);
        overBoundSum += latency / plan.boundSeconds;
        if (program.state == ProgramState::Abandoned) {
            ++this->result.abandoned;
            continue;
        }
        ++this->result.completed;
        served[plan.organisation] += plan.workSeconds;
        if (latency <= plan.latencyTargetSeconds)
            within += 1;
    }
    std::sort(latencies.begin(), latencies.end());
    this->result.p50 = quantile(latencies, 0.50);
    this->result.p95 = quantile(latencies, 0.95);
    this->result.p99 = quantile(latencies, 0.99);
    this->result.overBound = latencies.empty() ? 0 : overBoundSum / static_cast<double>(latencies.size());
    this->result.withinLatencyTarget = within / std::max<double>(1, static_cast<double>(this->result.programs));
    this->result.goodputPerSecond = within / (this->spec.seconds - this->spec.warmUpSeconds);

    // Organisations with few programs are excluded, since their share is not statistically meaningful.
    constexpr std::uint32_t minPrograms = 20;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i] < minPrograms)
            offered[i] = served[i] = 0;
    }
    this->result.minFairShare = minFairShare(offered, served);
    this->result.offeredWork = offered;
    this->result.servedWork = served;
    for (const auto& runner : this->services[0].runners) {
        runner->engine().countRemainingPrefixes();
        this->result.unusedTokenSeconds += runner->engine().counters().unusedTokenSeconds;
    }
    const EngineModel& model = this->services[0].model;
    this->result.wastedEngineSeconds = this->result.refilledTokens / model.prefillTokensPerSecond
        + this->result.unusedTokenSeconds / static_cast<double>(model.memoryTokens);
    return this->result;
}

double minFairShare(const std::vector<double>& offered, const std::vector<double>& served)
{
    const std::vector<double> fair = fairShares(offered, std::accumulate(served.begin(), served.end(), 0.0));
    double minimum = 1;
    for (std::size_t i = 0; i < fair.size(); ++i) {
        if (fair[i] > 0)
            minimum = std::min(minimum, served[i] / fair[i]);
    }
    return minimum;
}

TrialResult runTrial(const TrialSpec& spec) { return Simulation(spec).run(); }

std::string toString(Fault fault)
{
    switch (fault) {
    case Fault::None:
        return "none";
    case Fault::RunnerDies:
        return "runner-dies";
    case Fault::SlowRunner:
        return "slow-runner";
    case Fault::SlowPlainInstance:
        return "slow-plain";
    case Fault::CutDomain:
        return "cut-domain";
    case Fault::LaggingReports:
        return "lagging-reports";
    case Fault::CrashingRequest:
        return "crashing-request";
    }
    return "";
}

TrialPolicy baseline(const std::string& name, PlacementRule placement)
{
    TrialPolicy policy;
    policy.name = name;
    policy.placement = placement;
    policy.programOrder = false;
    policy.adaptiveLimit = false;
    policy.evictByValue = false;
    policy.releaseAtEnd = false;
    policy.earlyRefusal = false;
    policy.fairness = false;
    policy.quarantine = false;
    return policy;
}

}
