#include "endpointsimpl.h"

#include "Rattandeck/digest.h"

#include <algorithm>
#include <cmath>

/// Estimates of the load of instances, and of the latency of a call there.
namespace Rattandeck {

/// Number of reports at which half of their mean is expected of an instance that has not reported.
constexpr double reportsForTrust = 4;

static double age(TimePoint since, TimePoint now) { return std::chrono::duration<double>(now - since).count(); }

bool EndpointTable::Impl::isLearned(const ServiceName& service) const
{
    const auto known = this->work.find(service);
    return this->costs.learnsEverywhere || (known != this->work.end() && known->second.statesPace);
}

ServiceLoad EndpointTable::Impl::loadOf(
    const ServiceName& name, const std::vector<InstanceState*>& instances, TimePoint now) const
{
    double calls = 0;
    std::size_t reports = 0;
    for (const InstanceState* state : instances) {
        if (!state->reportedAt || now - *state->reportedAt >= this->costs.maxReportAge)
            continue;
        calls += state->otherCalls;
        ++reports;
    }
    const auto count = static_cast<double>(reports);
    const auto known = this->work.find(name);
    return { now, reports == 0 ? 0 : calls / count, calls / (count + reportsForTrust),
        known == this->work.end() ? 0 : known->second.failureShare, this->isLearned(name) };
}

double EndpointTable::Impl::expectedLoad(const InstanceState& state, const ServiceLoad& service) const
{
    if (!state.reportedAt)
        return state.ownCalls;
    const double maxAge = std::chrono::duration<double>(this->costs.maxReportAge).count();
    const double weight = std::max(0.0, 1 - age(*state.reportedAt, service.now) / maxAge);
    return state.ownCalls + state.otherCalls * weight + service.meanOtherCalls * (1 - weight);
}

void EndpointTable::Impl::hashParts(const PlacementQuery& query)
{
    this->partHashes.clear();
    for (const PromptPart& part : query.prompt)
        this->partHashes.push_back(hash64(part.id.value));
}

std::int64_t EndpointTable::Impl::cachedTokens(const InstanceState& state, const PlacementQuery& query) const
{
    std::int64_t cached = 0;
    // An engine can reuse a cached part only if all parts before it are cached too.
    for (std::size_t i = 0; i < this->partHashes.size(); ++i) {
        if (!state.parts.contains(this->partHashes[i]))
            break;
        cached += query.prompt[i].tokens.value;
    }
    return cached;
}

double EndpointTable::Impl::workCost(const Candidate& candidate, const PlacementInputs& inputs, bool isPreferred) const
{
    const InstanceState& state = *candidate.state;
    const PlacementQuery& query = inputs.query;
    const double load = candidate.load + (state.reportedAt ? 0 : inputs.service.unreportedCalls);
    const double slots = std::max<std::uint32_t>(state.instance.slots, 1);
    const double batch = std::min(load, slots);
    double cost = batch * this->costs.batchedCallMs * query.relativeLength;
    cost += std::max(0.0, load - slots + 1) * this->costs.queuedCallMs;
    std::int64_t cached = this->cachedTokens(state, query);
    // Earlier turns of the program were probably sent to its preferred instance by other processes: only the last part
    // is new there.
    if (isPreferred)
        cached = std::max(cached, inputs.promptTokens - query.prompt.back().tokens.value);
    cost += static_cast<double>(inputs.promptTokens - cached) / this->costs.prefillTokensPerMs * (1 + batch);
    return (cost + query.workMs) * candidate.workTime;
}

double EndpointTable::Impl::cost(const Candidate& candidate, const PlacementInputs& inputs, bool isPreferred) const
{
    const InstanceState& state = *candidate.state;
    const PlacementQuery& query = inputs.query;
    double cost = this->workCost(candidate, inputs, isPreferred);
    if (state.instance.domain != query.domain)
        cost += this->costs.crossDomainMs;
    if (!query.subject.empty() && state.parts.contains(inputs.subject))
        cost -= this->costs.subjectAffinityMs;
    cost += this->failurePenalty(state, inputs.service);
    if (query.mayBeResumed && state.hasLoneVersion)
        cost += this->costs.loneVersionMs;
    if (state.instance.isDraining)
        cost += this->costs.leavingMs;
    return cost;
}

double EndpointTable::Impl::failurePenalty(const InstanceState& state, const ServiceLoad& service) const
{
    double penalty = 0;
    if (state.failedAt && service.now - *state.failedAt < this->costs.failurePenaltyPeriod)
        penalty += this->costs.recentFailureMs;
    const double excess = state.failureShare - this->costs.toleratedFailures - 2 * service.failureShare;
    if (!service.isLearned || !state.outcomeAt || excess <= 0)
        return penalty;
    const double period = std::chrono::duration<double>(this->costs.failingPeriod).count();
    return penalty + excess * this->costs.failingMs * std::max(0.0, 1 - age(*state.outcomeAt, service.now) / period);
}

// Speed and failures -------------------------------------------------------------------------------------------------

double EndpointTable::onWork(const EndpointId& id, const ObservedWork& work, TimePoint now)
{
    InstanceState* state = this->impl->find(id);
    if (!state || work.milliseconds <= 0 || work.usualMs <= 0)
        return 0;
    const EndpointCosts& costs = this->impl->costs;
    const double slots = std::max<std::uint32_t>(state->instance.slots, 1);
    double expected = work.usualMs * (1 + costs.batchedCallShare * std::min(work.load, slots));
    if (work.includesQueue)
        expected *= 1 + std::max(0.0, work.load - slots + 1) / slots;
    expected *= expectedPace(state->speed, now, costs.speed);
    return observeWork(state->speed, this->impl->work[state->instance.service].spread,
        std::log(work.milliseconds / expected), now, costs.speed);
}

void EndpointTable::onOutcome(const EndpointId& id, bool isFailure, TimePoint now)
{
    constexpr double weight = 0.2;
    constexpr double serviceWeight = 0.02;
    InstanceState* state = this->impl->find(id);
    if (!state)
        return;
    const double outcome = isFailure ? 1 : 0;
    state->failureShare += weight * (outcome - state->failureShare);
    state->outcomeAt = now;
    double& share = this->impl->work[state->instance.service].failureShare;
    share += serviceWeight * (outcome - share);
}

bool EndpointTable::isLearned(const ServiceName& service) const { return this->impl->isLearned(service); }

double EndpointTable::workTime(const EndpointId& id, TimePoint now) const
{
    const InstanceState* state = this->impl->find(id);
    return state && this->impl->isLearned(state->instance.service)
        ? expectedWorkTime(state->speed, now, this->impl->costs.speed)
        : 1;
}

std::size_t EndpointTable::slowInstances(double factor, TimePoint now) const
{
    const auto isSlow = [&](const auto& entry) {
        return expectedWorkTime(entry.second.speed, now, this->impl->costs.speed) >= factor;
    };
    return static_cast<std::size_t>(std::ranges::count_if(this->impl->instances, isSlow));
}

}
